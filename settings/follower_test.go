package settings

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/internal/standin/logservice"
)

var (
	rootPrivateKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	teamPrivateKey = ed25519.NewKeyFromSeed([]byte("seed of the key of team orders.."))
)

func publicKey(private ed25519.PrivateKey) ed25519.PublicKey {
	return private.Public().(ed25519.PublicKey)
}

// rootChange returns a root change that lists the team orders with the key.
func rootChange(t testing.TB, base int64, key ed25519.PrivateKey) Change {
	text := fmt.Sprintf("teams:\n  orders:\n    publicKey: %s\n    services: [orders]\n", base64.StdEncoding.EncodeToString(publicKey(key)))
	c, err := NewChange(RootBranch, base, []byte(text))
	must.NoError(t, err)
	return c.Sign(rootPrivateKey)
}

// ordersChange returns a change that sets the slots of the service orders.
func ordersChange(t testing.TB, base int64, slots int) Change {
	c, err := NewChange("orders", base, fmt.Appendf(nil, "services:\n  orders: {slots: %d, connections: 10000, routes: []}\n", slots))
	must.NoError(t, err)
	return c.Sign(teamPrivateKey)
}

func slotsOf(tree *Tree) int {
	s, _ := tree.Service("orders")
	return s.Slots
}

// fleet is a log service and a set of nodes. Peers exchange their offsets every
// second, as in the membership exchange.
type fleet struct {
	t        *testing.T
	log      *logservice.Service
	ctx      context.Context
	operator *History
	mu       sync.Mutex
	nodes    []*testNode
}

type testNode struct {
	fleet          *fleet
	name           string
	follower       *Follower
	isolated       atomic.Bool // can't exchange requests with other nodes
	logUnreachable atomic.Bool
	events         sync.Map
}

func runFleet(t *testing.T, scenario func(f *fleet), opts ...logservice.Option) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fleet{t: t, log: logservice.New(opts...), ctx: ctx, operator: NewHistory(publicKey(rootPrivateKey))}
		go f.exchange()
		scenario(f)
	})
}

func (f *fleet) start(opts ...Option) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &testNode{fleet: f, name: fmt.Sprintf("node%d", len(f.nodes))}
	highest := 0
	opts = append([]Option{
		WithHTTPClient(&http.Client{Transport: n}), WithRecorder(n), WithPeers(f.names), WithMembers(func() int { return 3 }),
		OnChange(func(tree *Tree) {
			test.LessEq(f.t, slotsOf(tree), highest, test.Sprintf("%s reverted", n.name))
			highest = slotsOf(tree)
		}),
	}, opts...)
	n.follower = NewFollower(n, NewHistory(publicKey(rootPrivateKey)), opts...)
	f.nodes = append(f.nodes, n)
	go func() { _ = n.follower.Run(f.ctx) }()
	return n
}

func (f *fleet) names() (names []string) {
	for _, n := range f.allNodes() {
		names = append(names, n.name)
	}
	return names
}

func (f *fleet) allNodes() []*testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*testNode(nil), f.nodes...)
}

func (f *fleet) exchange() {
	for f.ctx.Err() == nil {
		nodes := f.allNodes()
		for i, n := range nodes {
			peer := nodes[(i+1)%len(nodes)]
			if !n.isolated.Load() && !peer.isolated.Load() {
				n.follower.NotifyPeerOffset(peer.follower.Offset(), peer.name)
				peer.follower.NotifyPeerOffset(n.follower.Offset(), n.name)
			}
		}
		select {
		case <-f.ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// publish publishes the changes in order, as an operator with access to the log.
func (f *fleet) publish(changes ...Change) {
	ctx, cancel := context.WithTimeout(f.ctx, time.Hour)
	defer cancel()
	for _, c := range changes {
		v, err := Publish(ctx, f.log, f.operator, c, Nodes{})
		must.NoError(f.t, err)
		must.Eq(f.t, Accepted, v.Kind, must.Sprint(v.Reason))
	}
}

// expectSlots checks that all nodes have the number of slots after 15 s. Changes must
// reach all nodes within 19 s.
func (f *fleet) expectSlots(slots int) {
	time.Sleep(15 * time.Second)
	for _, n := range f.allNodes() {
		test.Eq(f.t, slots, slotsOf(n.follower.Tree()), test.Sprintf("slots at %s", n.name))
	}
}

func (n *testNode) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if n.logUnreachable.Load() {
		return 0, logservice.ErrFault
	}
	return n.fleet.log.Append(ctx, stream, data)
}

func (n *testNode) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (appendlog.Page, error) {
	if n.logUnreachable.Load() {
		return appendlog.Page{}, logservice.ErrFault
	}
	return n.fleet.log.Read(ctx, stream, from, limit, wait)
}

func (n *testNode) Record(id event.ID, _ ...slog.Attr) { n.events.Store(id, true) }

func (n *testNode) recorded(id event.ID) bool { _, ok := n.events.Load(id); return ok }

// RoundTrip passes the request to the handler of the addressed node.
func (n *testNode) RoundTrip(r *http.Request) (*http.Response, error) {
	for _, peer := range n.fleet.allNodes() {
		if peer.name == r.URL.Host && peer != n && !n.isolated.Load() && !peer.isolated.Load() {
			w := httptest.NewRecorder()
			peer.follower.Handler().ServeHTTP(w, r)
			return w.Result(), nil
		}
	}
	return nil, logservice.ErrFault
}

// Guards against accepting two concurrent changes of which the second was made
// without knowledge of the first.
func TestTwoOperatorsAtOnce(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start()
		f.start()
		f.publish(rootChange(t, 0, teamPrivateKey))
		kinds := make([]VerdictKind, 2)
		var wait sync.WaitGroup
		for i := range kinds {
			wait.Go(func() {
				v, err := Publish(f.ctx, f.log, NewHistory(publicKey(rootPrivateKey)), ordersChange(t, 0, 1+i), Nodes{})
				test.NoError(t, err)
				kinds[i] = v.Kind
			})
		}
		wait.Wait()
		must.SliceContains(t, kinds, Accepted)
		must.SliceContains(t, kinds, Rejected)
		winner := 1
		if kinds[1] == Accepted {
			winner = 2
		}
		f.expectSlots(winner)
	})
}

// Guards against reporting a change as failed although it takes effect, and against
// a change that takes effect twice, when the responses to appends are lost.
func TestLostAppendAnswers(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start()
		f.log.SetFaults(logservice.Faults{LoseAnswers: 3})
		f.publish(rootChange(t, 0, teamPrivateKey), ordersChange(t, 0, 1), ordersChange(t, 1, 2), ordersChange(t, 2, 3))
		f.expectSlots(3)
		page, err := f.log.Read(f.ctx, Stream, 0, 100, 0)
		must.NoError(t, err)
		changes := 0
		for _, r := range page.Records {
			if _, err := DecodeChange(r.Data); err == nil {
				changes++
			}
		}
		must.Eq(t, 4, changes)
	})
}

// Guards against reporting a change as failed although it may still be accepted.
func TestPublishUndecided(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.log.SetFaults(logservice.Faults{Down: true})
		ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
		defer cancel()
		_, err := Publish(ctx, f.log, f.operator, rootChange(t, 0, teamPrivateKey), Nodes{})
		var undecided *UndecidedError
		must.True(t, errors.As(err, &undecided))
		must.ErrorIs(t, err, logservice.ErrFault)
	})
}

// Guards against settings that are lost or delayed by an outage of the log, and
// against a node that has no settings because it started during the outage.
func TestLongOutage(t *testing.T) {
	runFleet(t, func(f *fleet) {
		first := f.start()
		f.start()
		f.publish(rootChange(t, 0, teamPrivateKey), ordersChange(t, 0, 1))
		f.expectSlots(1)
		f.log.SetFaults(logservice.Faults{Down: true})
		time.Sleep(3 * time.Hour)
		f.start()
		f.expectSlots(1)
		must.True(t, first.recorded(event.LogUnavailable))
		f.log.SetFaults(logservice.Faults{})
		f.publish(ordersChange(t, 1, 2))
		f.expectSlots(2)
	})
}

// Guards against a new node that has no settings or outdated ones after all records
// expired during an outage of the log.
func TestRetentionDuringOutage(t *testing.T) {
	runFleet(t, func(f *fleet) {
		old := f.start()
		outdated := f.start()
		f.publish(rootChange(t, 0, teamPrivateKey), ordersChange(t, 0, 1))
		f.expectSlots(1)
		outdated.logUnreachable.Store(true)
		outdated.isolated.Store(true)
		f.publish(ordersChange(t, 1, 2))
		time.Sleep(15 * time.Second)
		must.Eq(t, 2, slotsOf(old.follower.Tree()))
		f.log.SetFaults(logservice.Faults{Down: true})
		time.Sleep(5 * time.Hour)
		f.log.SetFaults(logservice.Faults{})
		outdated.logUnreachable.Store(false)
		time.Sleep(15 * time.Second)
		outdated.isolated.Store(false)
		f.start().isolated.Store(true) // must start from a snapshot
		f.expectSlots(2)
		must.True(t, outdated.recorded(event.SettingsGap) || outdated.recorded(event.SettingsRestored))
	}, logservice.WithRetention(0, 4*time.Hour))
}

// Guards against nodes that can never apply changes again after records expired
// that none of them had read, and against a skip that is not signed with the root
// key.
func TestSkipOfUnreadRecords(t *testing.T) {
	runFleet(t, func(f *fleet) {
		nodes := []*testNode{f.start(), f.start()}
		f.publish(rootChange(t, 0, teamPrivateKey), ordersChange(t, 0, 1))
		f.expectSlots(1)
		for _, n := range nodes {
			n.logUnreachable.Store(true)
		}
		for i := range 5 { // the log retains the last three records
			f.publish(ordersChange(t, int64(i)+1, i+2))
		}
		for _, n := range nodes {
			n.logUnreachable.Store(false)
		}
		f.expectSlots(1)
		skip := func(key ed25519.PrivateKey) {
			data, err := EncodeSkip(nodes[0].follower.Offset(), f.operator.Offset()-3, key)
			must.NoError(t, err)
			_, err = f.log.Append(f.ctx, Stream, data)
			must.NoError(t, err)
		}
		before := nodes[0].follower.Offset()
		skip(teamPrivateKey)
		f.expectSlots(1)
		must.Eq(t, before, nodes[0].follower.Offset())
		skip(rootPrivateKey)
		f.expectSlots(1)
		_, err := f.log.Append(f.ctx, Stream, encode(t, ordersChange(t, 1, 7)))
		must.NoError(t, err)
		f.expectSlots(7)
		f.start()
		f.expectSlots(7)
	}, logservice.WithRetention(3, 0))
}

// Guards against a gap that stays open although another node has the records.
func TestGapIsFilledByPeers(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start()
		for _, c := range []Change{rootChange(t, 0, teamPrivateKey), ordersChange(t, 0, 1), ordersChange(t, 1, 2), ordersChange(t, 2, 3)} {
			f.publish(c)
			time.Sleep(2 * time.Second)
		}
		f.expectSlots(3)
		late := f.start()
		f.expectSlots(3)
		must.True(t, late.recorded(event.SettingsFromPeer))
	}, logservice.WithRetention(2, 0))
}

// Guards against a stale snapshot, written late by a paused node, that reverts other
// nodes or a new reader to old settings.
func TestStaleSnapshot(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start()
		stale := NewHistory(publicKey(rootPrivateKey))
		f.publish(rootChange(t, 0, teamPrivateKey), ordersChange(t, 0, 1))
		_, _, err := stale.CatchUp(f.ctx, f.log)
		must.NoError(t, err)
		old, err := stale.Snapshot(time.Now())
		must.NoError(t, err)
		for i := range 8 {
			f.publish(ordersChange(t, int64(i)+1, i+2))
			time.Sleep(2 * time.Second)
		}
		f.expectSlots(9)
		_, err = f.log.Append(f.ctx, Stream, old)
		must.NoError(t, err)
		// A new reader finds only the stale snapshot, which covers too few records.
		late := f.start()
		late.isolated.Store(true)
		time.Sleep(15 * time.Second)
		must.Eq(t, 0, slotsOf(late.follower.Tree()))
		late.isolated.Store(false)
		f.expectSlots(9)
	}, logservice.WithRetention(6, 0))
}

// Guards against a node that never receives a change because it can't reach the log,
// and against a node that reverts a change when its connection is restored.
func TestPartition(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start()
		withoutLog, cutOff := f.start(), f.start()
		f.publish(rootChange(t, 0, teamPrivateKey), ordersChange(t, 0, 1))
		f.expectSlots(1)
		withoutLog.logUnreachable.Store(true)
		cutOff.logUnreachable.Store(true)
		cutOff.isolated.Store(true)
		f.publish(ordersChange(t, 1, 2))
		time.Sleep(15 * time.Second)
		test.Eq(t, 2, slotsOf(withoutLog.follower.Tree()))
		test.Eq(t, 1, slotsOf(cutOff.follower.Tree()))
		cutOff.isolated.Store(false)
		f.expectSlots(2)
	})
}

// Guards against changes that are delayed until the next poll. In a large fleet the
// poll interval is longer than the time within which a change must take effect.
func TestHintsOutpacePolls(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start()
		f.start(WithMembers(func() int { return 100 * maxPollsPerSecond }))
		time.Sleep(time.Second)
		f.publish(rootChange(t, 0, teamPrivateKey), ordersChange(t, 0, 1))
		f.expectSlots(1)
	})
}

// Guards against a node that misses a change or a snapshot when many changes follow
// in quick succession and the log retains few records.
func TestChangesInQuickSuccession(t *testing.T) {
	runFleet(t, func(f *fleet) {
		nodes := []*testNode{f.start(), f.start(), f.start()}
		f.publish(rootChange(t, 0, teamPrivateKey))
		for i := range 450 {
			f.publish(ordersChange(t, int64(i), i+1))
			time.Sleep(20 * time.Millisecond)
		}
		f.expectSlots(450)
		f.start().isolated.Store(true)
		f.expectSlots(450)
		must.True(t, nodes[0].recorded(event.SnapshotWritten) || nodes[1].recorded(event.SnapshotWritten) || nodes[2].recorded(event.SnapshotWritten))
	}, logservice.WithRetention(300, 0))
}

// Guards against a fleet that exceeds the allowed rate of polls.
func TestPollInterval(t *testing.T) {
	for members, interval := range map[int]time.Duration{0: time.Second, 1: time.Second, 50: time.Second, 100: 2 * time.Second, 1100: 22 * time.Second} {
		test.Eq(t, interval, PollInterval(members))
	}
}
