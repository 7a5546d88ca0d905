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
	// watchersPerZone is the number of nodes of a zone that read the records of all
	// nodes and the desired state from the log. Each new record wakes every reader,
	// and each read is charged and counts toward the rate limit of the log, which does
	// not allow every node of a large deployment to read. With two watchers, changes
	// still arrive while one of them is down.
	watchersPerZone = 2
	// maxChangeWait is how long a watcher holds a request for changes while there
	// are none. If the process of a watcher is frozen, the nodes that follow it
	// receive no changes for that time and the exchange time-out, unless other nodes
	// that they send requests to state a newer version.
	maxChangeWait = time.Second
	// changeBatchDelay is how long a watcher collects further changes after the
	// first one.
	changeBatchDelay = 100 * time.Millisecond
	// settleTime is how long a node that has started does not follow the desired state
	// in the log after its first read. When all nodes start together, none knows the
	// others yet, and each would take itself for a watcher. It is shorter than the time
	// after which the platform expects a restarted VM to be up to date.
	settleTime = 2 * time.Second
	// If the log keeps waiting reads while it is restored, a version that is written
	// afterwards is only read when one of them ends. It must be in force within 2.5 s in the
	// users' first deployments. The waits of different watchers end at different times, so
	// each read may wait for waitPerWatcher times the number of watchers of all zones,
	// within the bounds.
	waitPerWatcher      = 500 * time.Millisecond
	minDesiredStateWait = 2 * time.Second
	maxDesiredStateWait = 8 * time.Second
	// fallbackReadTime is how long a node reads the log itself after it could not
	// follow any watcher.
	fallbackReadTime = 5 * time.Second
)

// watcherSelection decides which nodes of a zone are watchers. On a node that is
// not a watcher, it follows one of them. Each node selects from the nodes that it
// can reach, without coordination: if two nodes select different watchers, one
// node more or fewer reads the log for a while.
type watcherSelection struct {
	balancer *balancer
	exchange *exchange
	events   eventRecorder
	// readsLogUntil is the time up to which this node reads the log because it
	// could not follow a watcher, in Unix nanoseconds.
	readsLogUntil atomic.Int64
	startedAt     time.Time
}

func newWatcherSelection(b *balancer, e *exchange, events eventRecorder) *watcherSelection {
	w := &watcherSelection{balancer: b, exchange: e, events: events, startedAt: time.Now()}
	e.readsLog = w.readsLog
	return w
}

// readsLog reports whether this node reads the log itself: because it is a
// watcher, or because it could not follow one.
func (w *watcherSelection) readsLog() bool {
	return time.Now().UnixNano() < w.readsLogUntil.Load() || len(w.watchersToFollow()) == 0
}

// readsDesiredState reports whether this node follows the desired state in the log.
func (w *watcherSelection) readsDesiredState() bool {
	return time.Since(w.startedAt) > settleTime && w.readsLog()
}

// maxWaitForDesiredState returns the longest time for which a read of the desired state waits.
func (w *watcherSelection) maxWaitForDesiredState() time.Duration {
	watchers := 0
	for _, nodes := range w.balancer.reachableByZone() {
		watchers += min(nodes, watchersPerZone)
	}
	return min(max(time.Duration(watchers)*waitPerWatcher, minDesiredStateWait), maxDesiredStateWait)
}

// watchersToFollow returns the watchers of the zone, or none if this node is
// one of them. Half of the nodes prefer the second watcher, so that they hear of changes
// from different ones.
func (w *watcherSelection) watchersToFollow() (peers []*peer) {
	peers = w.balancer.reachableInZone()
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.watcherOrder, b.watcherOrder) })
	peers = peers[:min(watchersPerZone, len(peers))]
	for _, p := range peers {
		if p.node == w.balancer.settings.Node {
			return nil
		}
	}
	if watcherOrder(w.balancer.settings.Node)%2 == 1 {
		slices.Reverse(peers)
	}
	return peers
}

// run follows a watcher while this node is not one itself, until the context
// ends.
func (w *watcherSelection) run(ctx context.Context) {
	seenChanges, tableID := int64(0), int64(0)
	for ctx.Err() == nil {
		watchers := w.watchersToFollow()
		if len(watchers) == 0 || !w.exchange.directory.LogReachable() {
			follow.Pause(ctx, peerPollInterval)
			continue
		}
		succeeded := false
		for _, p := range watchers {
			message := w.exchange.ownMessage()
			message.WaitMs, message.TableID, message.SeenChanges = maxChangeWait.Milliseconds(), tableID, seenChanges
			received, err := w.exchange.send(ctx, p, message)
			if err != nil {
				w.balancer.markUnreachable(p, err.Error())
				continue
			}
			seenChanges, tableID = received.SeenChanges, received.TableID
			if succeeded = received.ReadsLog; succeeded {
				break
			}
		}
		if !succeeded && ctx.Err() == nil {
			w.readsLogUntil.Store(time.Now().Add(fallbackReadTime).UnixNano())
			w.events.Record(event.WatcherMissing, slog.Int("asked", len(watchers)))
			follow.Pause(ctx, peerPollInterval)
		}
	}
}

// watcherOrder returns a hash of the node's name. The reachable nodes of a zone
// with the lowest values are its watchers.
func watcherOrder(node string) uint64 { return hashOf(node) }

func hashOf(text string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
