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

var otherPrivate = ed25519.NewKeyFromSeed([]byte("seed of a second key of the team"))

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

// Guards against changes that a team may not make, or that some nodes accept and
// others reject.
func TestRejectedChanges(t *testing.T) {
	tampered := ordersChange(t, 1, 9)
	tampered.content = strings.Replace(tampered.content, "9", "8", 1)
	for name, c := range map[string]struct {
		change Change
		reason string
	}{
		"stale base":      {ordersChange(t, 0, 2), `made from revision 0 of branch "orders", which is at revision 1`},
		"future base":     {ordersChange(t, 2, 2), `made from revision 2 of branch "orders", which is at revision 1`},
		"unknown team":    {change(t, "stock", "stock", 0, "", teamPrivate), `no team "stock" in the root branch`},
		"other's branch":  {change(t, RootBranch, "orders", 1, "", teamPrivate), `team "orders" may not change branch "root"`},
		"other's key":     {change(t, "orders", "orders", 1, "", otherPrivate), `signature is not by the key of team "orders"`},
		"root by team":    {change(t, RootBranch, RootBranch, 1, "", teamPrivate), `signature is not by the key of team "root"`},
		"tampered":        {tampered, `signature is not by the key of team "orders"`},
		"other's service": {change(t, "orders", "orders", 1, "services: {stock: {slots: 1, connections: 1, routes: []}}", teamPrivate), `orders.yaml:1:12: service "stock" does not belong to team "orders"`},
		"invalid content": {change(t, "orders", "orders", 1, "x", teamPrivate), `orders.yaml:1:1: the branch of team orders is "x"; expected a mapping`},
		"team with work":  {change(t, RootBranch, RootBranch, 1, "teams: {}", rootPrivate), `orders.yaml:1:1: no team "orders" in the root branch`},
		"invalid root":    {change(t, RootBranch, RootBranch, 1, "", rootPrivate), `root.yaml:1:1: file is empty; expected the key "teams"`},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory(publicKey(rootPrivate))
			must.Eq(t, Accepted, h.Apply(0, encode(t, rootChange(t, 0, teamPrivate))).Kind)
			must.Eq(t, Accepted, h.Apply(1, encode(t, ordersChange(t, 0, 1))).Kind)
			v := h.Apply(2, encode(t, c.change))
			test.Eq(t, Rejected, v.Kind)
			test.StrHasPrefix(t, c.reason, v.Reason)
			test.Eq(t, 1, slotsOf(h.Tree()))
		})
	}
}

// Guards against a change of a removed team that takes effect again when the
// team comes back.
func TestTeamComesBack(t *testing.T) {
	h := NewHistory(publicKey(rootPrivate))
	old := encode(t, ordersChange(t, 0, 1))
	for i, c := range []Change{
		rootChange(t, 0, teamPrivate), ordersChange(t, 0, 1), change(t, "orders", "orders", 1, "", teamPrivate),
		change(t, RootBranch, RootBranch, 1, "teams: {}", rootPrivate), rootChange(t, 2, teamPrivate),
	} {
		must.Eq(t, Accepted, h.Apply(int64(i), encode(t, c)).Kind)
	}
	must.Eq(t, Rejected, h.Apply(5, old).Kind)
	must.Eq(t, Accepted, h.Apply(6, encode(t, ordersChange(t, 2, 2))).Kind)
}

// Guards against snapshots that a new reader can't use, since the team's key was
// replaced after its last change, and against forged ones.
func TestSnapshotAfterKeyChange(t *testing.T) {
	h := NewHistory(publicKey(rootPrivate))
	for i, c := range []Change{rootChange(t, 0, teamPrivate), ordersChange(t, 0, 1), rootChange(t, 1, otherPrivate)} {
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
			reader := NewHistory(publicKey(rootPrivate))
			must.Eq(t, c.kind, reader.Apply(3, data).Kind)
			if c.kind != Restored {
				must.Eq(t, 0, reader.Offset())
				return
			}
			// The restored history writes a usable snapshot in turn.
			again := NewHistory(publicKey(rootPrivate))
			must.NoError(t, again.restore(reader.snapshotWire(time.Now())))
			must.Eq(t, 1, slotsOf(again.Tree()))
			must.Eq(t, Rejected, again.Apply(4, encode(t, ordersChange(t, 1, 2))).Kind)
		})
	}
}

// memoryLog is a log whose oldest records are removed on demand.
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

// Guards against any order of changes, stale snapshots, expiring records,
// restarts and pulls from peers after which a node has settings that differ from
// those of a node that read everything, or that are older than before.
func TestHistoriesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := &memoryLog{}
		fresh := func() *History { return NewHistory(publicKey(rootPrivate)) }
		complete := fresh()
		truth := map[int64]string{0: complete.summary()}
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
			truth[complete.Offset()] = complete.summary()
		}
		key := func() ed25519.PrivateKey {
			return rapid.SampledFrom([]ed25519.PrivateKey{teamPrivate, otherPrivate}).Draw(rt, "key")
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
				_, err := to.merge(from.answer(to.Offset(), time.Now()))
				must.NoError(rt, err)
				must.GreaterEq(rt, from.Offset(), to.Offset())
			},
			"forget": func(*rapid.T) { reader().tail = nil },
			"restart": func(rt *rapid.T) {
				readers[rapid.IntRange(0, len(readers)-1).Draw(rt, "index")] = fresh()
			},
			"": func(rt *rapid.T) {
				for _, h := range readers {
					must.Eq(rt, truth[h.Offset()], h.summary())
				}
			},
		})
	})
}

// Guards against a panic on a record or an answer that anyone can send, and
// against an encoding that does not keep a change as it was signed.
func FuzzDecodeRecord(f *testing.F) {
	h := NewHistory(publicKey(rootPrivate))
	h.Apply(0, encode(f, rootChange(f, 0, teamPrivate)))
	h.Apply(1, encode(f, ordersChange(f, 0, 1)))
	snapshot, err := h.Snapshot(time.UnixMilli(1))
	must.NoError(f, err)
	skip, err := EncodeSkip(0, 7, rootPrivate)
	must.NoError(f, err)
	for _, seed := range []string{
		string(encode(f, ordersChange(f, 1, 2))), string(snapshot), string(skip), `{"skip":{}}`, `{}`, `{"change":{}}`, `{"snapshot":{}}`, `{"change":null} {}`,
		`{"snapshot":{"next":1,"branches":[{"branch":"root"}],"roots":[{}]}}`, `{"change":{"base":9223372036854775807}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		NewHistory(publicKey(rootPrivate)).Apply(7, data)
		NewHistory(publicKey(rootPrivate)).Apply(0, data)
		c, err := DecodeChange(data)
		if err != nil {
			return
		}
		again, err := c.Encode()
		if err != nil {
			return // escapes can make the text longer than allowed
		}
		decoded, err := DecodeChange(again)
		must.NoError(t, err)
		must.Eq(t, string(c.payload()), string(decoded.payload()))
	})
}

// Guards against an answer of another node that moves a history back or stops it.
func FuzzDecodePeerBody(f *testing.F) {
	h := NewHistory(publicKey(rootPrivate))
	h.Apply(0, encode(f, rootChange(f, 0, teamPrivate)))
	for _, from := range []int64{0, 1} {
		data, err := marshal(h.answer(from, time.UnixMilli(1)))
		must.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"records":[{"offset":0,"data":"e30="},{"offset":2,"data":""}],"next":3}`))
	f.Add([]byte(`{"snapshot":{"next":9},"next":9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := decodePeerBody(data)
		if err != nil {
			return
		}
		reader := NewHistory(publicKey(rootPrivate))
		reader.Apply(0, encode(t, rootChange(t, 0, teamPrivate)))
		_, _ = reader.merge(body)
		must.GreaterEq(t, 1, reader.Offset())
		_, revision := reader.Branch(RootBranch)
		must.GreaterEq(t, 1, revision)
	})
}
