package mesh

import (
	"cmp"
	"context"
	"hash/fnv"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/follow"
)

const (
	// watchersPerZone is how many nodes of a zone read the records of all nodes
	// from the log. Each record wakes each reader, and each read is paid for; the
	// log's rate would not do for every node of a large deployment. With two, news
	// goes on while one of them is lost.
	watchersPerZone = 2
	// watchWait is how long a watcher holds an answer while nothing changes. A
	// watcher whose process is frozen keeps its followers from news for as long.
	watchWait = 5 * time.Second
	// watchGather is how long it waits for further changes after one.
	watchGather = 100 * time.Millisecond
	// aloneTime is how long a node reads the log itself after no watcher could be
	// followed.
	aloneTime = 5 * time.Second
)

// watch decides which nodes of a zone read the records of all nodes from the
// log, and follows one of them at the others. Nodes that can't be reached have no
// part in the choice, so it needs no agreement: if two nodes choose differently,
// one more or one fewer of them reads the log for a while.
type watch struct {
	balancer *balancer
	exchange *exchange
	events   recorder
	// alone is until when this node reads the log for want of a watcher, in Unix
	// nanoseconds.
	alone atomic.Int64
}

func newWatch(b *balancer, e *exchange, events recorder) *watch {
	w := &watch{balancer: b, exchange: e, events: events}
	e.watches = w.duty
	return w
}

// duty reports whether this node reads the log itself.
func (w *watch) duty() bool {
	return time.Now().UnixNano() < w.alone.Load() || len(w.watchers()) == 0
}

// watchers returns the nodes that this one may follow, or none if it is a watcher.
func (w *watch) watchers() (peers []*peer) {
	peers = w.balancer.zone()
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.order, b.order) })
	peers = peers[:min(watchersPerZone, len(peers))]
	for _, p := range peers {
		if p.node == w.balancer.place.Node {
			return nil
		}
	}
	return peers
}

// run follows a watcher while this node is none, until the context ends.
func (w *watch) run(ctx context.Context) {
	seen, table := int64(0), int64(0)
	for ctx.Err() == nil {
		watchers := w.watchers()
		if len(watchers) == 0 || !w.exchange.directory.Reachable() {
			follow.Pause(ctx, aloneInterval)
			continue
		}
		followed := false
		for _, p := range watchers {
			message := w.exchange.message()
			message.WaitMs, message.Table, message.Seen = watchWait.Milliseconds(), table, seen
			received, err := w.exchange.send(ctx, p, message)
			if err != nil {
				w.balancer.lose(p, err.Error())
				continue
			}
			seen, table = received.Seen, received.Table
			if followed = received.Watches; followed {
				break
			}
		}
		if !followed && ctx.Err() == nil {
			w.alone.Store(time.Now().Add(aloneTime).UnixNano())
			w.events.Record(event.WatcherMissing, slog.Int("asked", len(watchers)))
			follow.Pause(ctx, aloneInterval)
		}
	}
}

// orderOf is the place of a node in the choice of watchers.
func orderOf(node string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(node))
	return h.Sum64()
}
