package settings

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingslip/lacewingslip/appendlog"
)

var otherTeamPrivateKey = ed25519.NewKeyFromSeed([]byte("seed of a second key of the team"))

func encode(t testing.TB, c Change) []byte {
	data, err := c.Encode()
	must.NoError(t, err)
	return data
}

func change(t testing.TB, branch, team string, base int64, content string, key ed25519.PrivateKey) Change {
	c, err := NewChange(branch, base, []byte(content))
	must.NoError(t, err)
	c.team = team
	return c.Sign(key)
}

// Guards against changes that a team is not allowed to make but that are accepted by
// all nodes or by some of them.
func TestRejectedChanges(t *testing.T) {
	tampered := ordersChange(t, 1, 9)
	tampered.content = strings.Replace(tampered.content, "9", "8", 1)
	for name, c := range map[string]struct {
		change Change
		reason string
	}{
		"stale base":      {ordersChange(t, 0, 2), `made from revision 0 of branch "orders", which is at revision 1`},
		"future base":     {ordersChange(t, 2, 2), `made from revision 2 of branch "orders", which is at revision 1`},
		"unknown team":    {change(t, "stock", "stock", 0, "", teamPrivateKey), `no team "stock" in the root branch`},
		"other's branch":  {change(t, RootBranch, "orders", 1, "", teamPrivateKey), `team "orders" may not change branch "root"`},
		"other's key":     {change(t, "orders", "orders", 1, "", otherTeamPrivateKey), `signature is not by the key of team "orders"`},
		"root by team":    {change(t, RootBranch, RootBranch, 1, "", teamPrivateKey), `signature is not by the key of team "root"`},
		"tampered":        {tampered, `signature is not by the key of team "orders"`},
		"other's service": {change(t, "orders", "orders", 1, "services: {stock: {slots: 1, connections: 1, routes: []}}", teamPrivateKey), `orders.yaml:1:12: service "stock" does not belong to team "orders"`},
		"invalid content": {change(t, "orders", "orders", 1, "x", teamPrivateKey), `orders.yaml:1:1: the branch of team orders is "x"; expected a mapping`},
		"team with work":  {change(t, RootBranch, RootBranch, 1, "teams: {}", rootPrivateKey), `orders.yaml:1:1: no team "orders" in the root branch`},
		"invalid root":    {change(t, RootBranch, RootBranch, 1, "", rootPrivateKey), `root.yaml:1:1: file is empty; expected the key "teams"`},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory(publicKey(rootPrivateKey))
			must.Eq(t, Accepted, h.Apply(0, encode(t, rootChange(t, 0, teamPrivateKey))).Kind)
			must.Eq(t, Accepted, h.Apply(1, encode(t, ordersChange(t, 0, 1))).Kind)
			v := h.Apply(2, encode(t, c.change))
			test.Eq(t, Rejected, v.Kind)
			test.StrHasPrefix(t, c.reason, v.Reason)
			test.Eq(t, 1, slotsOf(h.Tree()))
		})
	}
}

// Guards against an old change of a removed team that takes effect again when the
// team is added again.
func TestTeamComesBack(t *testing.T) {
	h := NewHistory(publicKey(rootPrivateKey))
	old := encode(t, ordersChange(t, 0, 1))
	for i, c := range []Change{
		rootChange(t, 0, teamPrivateKey), ordersChange(t, 0, 1), change(t, "orders", "orders", 1, "", teamPrivateKey),
		change(t, RootBranch, RootBranch, 1, "teams: {}", rootPrivateKey), rootChange(t, 2, teamPrivateKey),
	} {
		must.Eq(t, Accepted, h.Apply(int64(i), encode(t, c)).Kind)
	}
	must.Eq(t, Rejected, h.Apply(5, old).Kind)
	must.Eq(t, Accepted, h.Apply(6, encode(t, ordersChange(t, 2, 2))).Kind)
}

// Guards against forged snapshots, and against snapshots that a new reader can't
// verify because a team's key was replaced after the team's last change.
func TestSnapshotAfterKeyChange(t *testing.T) {
	h := NewHistory(publicKey(rootPrivateKey))
	for i, c := range []Change{rootChange(t, 0, teamPrivateKey), ordersChange(t, 0, 1), rootChange(t, 1, otherTeamPrivateKey)} {
		must.Eq(t, Accepted, h.Apply(int64(i), encode(t, c)).Kind)
	}
	for name, c := range map[string]struct {
		alter func(*snapshotWire)
		kind  VerdictKind
	}{
		"honest":            {func(*snapshotWire) {}, Restored},
		"without old root":  {func(w *snapshotWire) { w.Roots = nil }, Held},
		"forged content":    {func(w *snapshotWire) { w.Branches[0].Content = "services: {}" }, Held},
		"forged root":       {func(w *snapshotWire) { w.Branches[1].Content = "teams: {}" }, Held},
		"branch twice":      {func(w *snapshotWire) { w.Branches = append(w.Branches, w.Branches[0]) }, Held},
		"without root":      {func(w *snapshotWire) { w.Branches = w.Branches[:1] }, Held},
		"covers the future": {func(w *snapshotWire) { w.Next = 100 }, Held},
		"covers too little": {func(w *snapshotWire) { w.Next = 2 }, Held},
		"old root":          {func(w *snapshotWire) { w.Branches[1], w.Roots[0] = w.Roots[0], w.Branches[1] }, Held},
	} {
		t.Run(name, func(t *testing.T) {
			wire := h.snapshotWire(time.Now())
			c.alter(&wire)
			data, err := marshal(recordWire{Snapshot: &wire})
			must.NoError(t, err)
			reader := NewHistory(publicKey(rootPrivateKey))
			must.Eq(t, c.kind, reader.Apply(3, data).Kind)
			if c.kind != Restored {
				must.Eq(t, 0, reader.Offset())
				return
			}
			// A snapshot of the restored history must be usable too.
			again := NewHistory(publicKey(rootPrivateKey))
			must.NoError(t, again.restore(reader.snapshotWire(time.Now())))
			must.Eq(t, 1, slotsOf(again.Tree()))
			must.Eq(t, Rejected, again.Apply(4, encode(t, ordersChange(t, 1, 2))).Kind)
		})
	}
}

// memoryLog is an in-memory log. The test removes the oldest records by raising
// oldest.
type memoryLog struct {
	oldest  int64
	records [][]byte
}

func (l *memoryLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.records = append(l.records, data)
	return int64(len(l.records)) - 1, nil
}

func (l *memoryLog) Read(_ context.Context, _ string, from int64, limit int, _ time.Duration) (appendlog.Page, error) {
	page := appendlog.Page{Oldest: l.oldest, Next: int64(len(l.records))}
	for offset := max(from, l.oldest); offset < page.Next && len(page.Records) < limit; offset++ {
		page.Records = append(page.Records, appendlog.Record{Offset: offset, Data: l.records[offset]})
	}
	return page, nil
}

func (h *History) summary() string {
	root, rootRevision := h.Branch(RootBranch)
	orders, ordersRevision := h.Branch("orders")
	return fmt.Sprint(rootRevision, root, ordersRevision, orders, slotsOf(h.Tree()))
}

// Guards against a node whose settings are reverted, or differ from those of a node
// that read all records, after any sequence of changes, stale snapshots, expired
// records, restarts and pulls from peers.
func TestHistoriesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := &memoryLog{}
		fresh := func() *History { return NewHistory(publicKey(rootPrivateKey)) }
		complete := fresh()
		expectedSummaries := map[int64]string{0: complete.summary()}
		readers := []*History{fresh(), fresh(), fresh()}
		reader := func() *History { return rapid.SampledFrom(readers).Draw(rt, "reader") }
		write := func(data []byte) {
			offset, _ := log.Append(rt.Context(), Stream, data)
			_, root := complete.Branch(RootBranch)
			_, orders := complete.Branch("orders")
			complete.Apply(offset, data)
			_, rootAfter := complete.Branch(RootBranch)
			_, ordersAfter := complete.Branch("orders")
			must.GreaterEq(rt, root, rootAfter)
			must.GreaterEq(rt, orders, ordersAfter)
			expectedSummaries[complete.Offset()] = complete.summary()
		}
		key := func() ed25519.PrivateKey {
			return rapid.SampledFrom([]ed25519.PrivateKey{teamPrivateKey, otherTeamPrivateKey}).Draw(rt, "key")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"root": func(*rapid.T) {
				_, revision := reader().Branch(RootBranch)
				write(encode(t, rootChange(t, revision, key())))
			},
			"orders": func(*rapid.T) {
				_, revision := reader().Branch("orders")
				write(encode(t, ordersChange(t, revision, len(log.records)+1).Sign(key())))
			},
			"garbage":  func(rt *rapid.T) { write(rapid.SliceOf(rapid.Byte()).Draw(rt, "data")) },
			"snapshot": func(*rapid.T) { data, _ := reader().Snapshot(time.Now()); write(data) },
			"expire": func(rt *rapid.T) {
				log.oldest += rapid.Int64Range(0, int64(len(log.records))-log.oldest).Draw(rt, "count")
			},
			"read": func(rt *rapid.T) {
				_, _, err := reader().CatchUp(rt.Context(), log)
				must.NoError(rt, err)
			},
			"pull": func(rt *rapid.T) {
				to, from := reader(), reader()
				_, err := to.merge(from.responseFrom(to.Offset(), time.Now()))
				must.NoError(rt, err)
				must.GreaterEq(rt, from.Offset(), to.Offset())
			},
			"dropTail": func(*rapid.T) { reader().tail = nil },
			"restart": func(rt *rapid.T) {
				readers[rapid.IntRange(0, len(readers)-1).Draw(rt, "index")] = fresh()
			},
			"": func(rt *rapid.T) {
				for _, h := range readers {
					must.Eq(rt, expectedSummaries[h.Offset()], h.summary())
				}
			},
		})
	})
}

// Guards against a panic on a record, which anyone can append to the log, and
// against an encoding that alters the signed content of a change.
func FuzzDecodeRecord(f *testing.F) {
	h := NewHistory(publicKey(rootPrivateKey))
	h.Apply(0, encode(f, rootChange(f, 0, teamPrivateKey)))
	h.Apply(1, encode(f, ordersChange(f, 0, 1)))
	snapshot, err := h.Snapshot(time.UnixMilli(1))
	must.NoError(f, err)
	skip, err := EncodeSkip(0, 7, rootPrivateKey)
	must.NoError(f, err)
	for _, seed := range []string{
		string(encode(f, ordersChange(f, 1, 2))), string(snapshot), string(skip), `{"skip":{}}`, `{}`, `{"change":{}}`, `{"snapshot":{}}`, `{"change":null} {}`,
		`{"snapshot":{"next":1,"branches":[{"branch":"root"}],"roots":[{}]}}`, `{"change":{"base":9223372036854775807}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		NewHistory(publicKey(rootPrivateKey)).Apply(7, data)
		NewHistory(publicKey(rootPrivateKey)).Apply(0, data)
		c, err := DecodeChange(data)
		if err != nil {
			return
		}
		again, err := c.Encode()
		if err != nil {
			return // JSON escapes can make the record longer than allowed
		}
		decoded, err := DecodeChange(again)
		must.NoError(t, err)
		must.Eq(t, string(c.payload()), string(decoded.payload()))
	})
}

// Guards against a response of another node that reverts a history or makes it
// panic.
func FuzzDecodePeerBody(f *testing.F) {
	h := NewHistory(publicKey(rootPrivateKey))
	h.Apply(0, encode(f, rootChange(f, 0, teamPrivateKey)))
	for _, from := range []int64{0, 1} {
		data, err := marshal(h.responseFrom(from, time.UnixMilli(1)))
		must.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"records":[{"offset":0,"data":"e30="},{"offset":2,"data":""}],"next":3}`))
	f.Add([]byte(`{"snapshot":{"next":9},"next":9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := decodePeerResponse(data)
		if err != nil {
			return
		}
		reader := NewHistory(publicKey(rootPrivateKey))
		reader.Apply(0, encode(t, rootChange(t, 0, teamPrivateKey)))
		_, _ = reader.merge(body)
		must.GreaterEq(t, 1, reader.Offset())
		_, revision := reader.Branch(RootBranch)
		must.GreaterEq(t, 1, revision)
	})
}
