package mesh

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

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
	// are none.
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
)

// watcherSelection decides which nodes of a zone are watchers. On a node that is
// not a watcher, it follows all of them: one that the log does not serve goes on
// answering, without the changes that it does not see. If none of them has the newest desired
// state, the node notices by the age of its proof (package freshness). Each node selects from
// the nodes that it can reach, without coordination: if two nodes select different watchers,
// one node more or fewer reads the log for a while.
type watcherSelection struct {
	balancer  *balancer
	exchange  *exchange
	startedAt time.Time
	// followed has the watchers that this node follows, with the functions that end it. Only
	// tick uses it. following counts those that have not ended yet.
	followed  map[*peer]context.CancelFunc
	following sync.WaitGroup

	mu sync.Mutex
	// positions has, for each watcher by its node's name, the changes that it has sent.
	positions map[string]watcherPosition
	// sharedVersion and sharedEra are those that were shared at the last recovery.
	sharedVersion, sharedEra int64
}

// watcherPosition identifies the last change that a watcher has sent. See exchangeMessage.
type watcherPosition struct{ seenChanges, tableID int64 }

func newWatcherSelection(b *balancer, e *exchange) *watcherSelection {
	w := &watcherSelection{balancer: b, exchange: e, startedAt: time.Now(), positions: make(map[string]watcherPosition), followed: make(map[*peer]context.CancelFunc)}
	e.readsLog = w.readsLog
	return w
}

// readsLog reports whether this node is a watcher.
func (w *watcherSelection) readsLog() bool { return len(w.watchersToFollow()) == 0 }

// isSettled reports whether this node has been running for long enough to know other nodes.
func (w *watcherSelection) isSettled() bool { return time.Since(w.startedAt) > settleTime }

// readsDesiredState reports whether this node follows the desired state in the log.
func (w *watcherSelection) readsDesiredState() bool {
	return w.isSettled() && w.readsLog()
}

// maxWaitForDesiredState returns the longest time for which a read of the desired state waits.
func (w *watcherSelection) maxWaitForDesiredState() time.Duration {
	watchers := 0
	for _, nodes := range w.balancer.reachableByZone() {
		watchers += min(nodes, watchersPerZone)
	}
	return min(max(time.Duration(watchers)*waitPerWatcher, minDesiredStateWait), maxDesiredStateWait)
}

// shareRecovery tells the watchers of all zones the version in force and the era of the log
// once this node, if it is a watcher, has read the log again. A read that they sent to a
// silent log may go on for maxWaitForDesiredState, and ends when they hear of a higher era.
func (w *watcherSelection) shareRecovery() {
	if !w.readsDesiredState() || !w.recoveryIsNews() {
		return
	}
	for _, p := range w.balancer.otherWatchers() {
		// Errors are ignored: the other node reads the log itself, if later.
		go func() { _ = w.exchange.exchangeWith(context.Background(), p, false) }()
	}
}

// recoveryIsNews reports whether the version or the era is above those at the last recovery.
func (w *watcherSelection) recoveryIsNews() bool {
	version, era := w.exchange.desired.version(), w.exchange.era.Known()
	w.mu.Lock()
	defer w.mu.Unlock()
	news := version > w.sharedVersion || era > w.sharedEra
	w.sharedVersion, w.sharedEra = max(version, w.sharedVersion), max(era, w.sharedEra)
	return news
}

// watchersToFollow returns the watchers of the zone, or none if this node is
// one of them.
func (w *watcherSelection) watchersToFollow() (peers []*peer) {
	peers = w.balancer.zoneWatchers()
	for _, p := range peers {
		if p.node == w.balancer.settings.Node {
			return nil
		}
	}
	return peers
}

// tick follows the watchers that the zone has now, until the context ends, unless this node is
// one of them.
func (w *watcherSelection) tick(ctx context.Context) {
	watchers := w.watchersToFollow()
	for p, stop := range w.followed {
		if !slices.Contains(watchers, p) {
			stop()
			delete(w.followed, p)
		}
	}
	for _, p := range watchers {
		if _, known := w.followed[p]; !known {
			followCtx, stop := context.WithCancel(ctx)
			w.followed[p] = stop
			w.following.Go(func() { w.follow(followCtx, p) })
		}
	}
}

// follow requests the changes that a watcher sees, one after the other, until the context
// ends.
func (w *watcherSelection) follow(ctx context.Context, watcher *peer) {
	for ctx.Err() == nil {
		message, position := w.exchange.ownMessage(), w.position(watcher.node)
		message.WaitMs, message.TableID, message.SeenChanges = maxChangeWait.Milliseconds(), position.tableID, position.seenChanges
		received, err := w.exchange.send(ctx, watcher, message)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			w.balancer.markUnreachable(watcher, err.Error())
			follow.Pause(ctx, peerPollInterval)
			continue
		}
		w.mu.Lock()
		w.positions[watcher.node] = watcherPosition{received.SeenChanges, received.TableID}
		w.mu.Unlock()
		if !received.ReadsLog {
			follow.Pause(ctx, peerPollInterval)
		}
	}
}

func (w *watcherSelection) position(watcher string) watcherPosition {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.positions[watcher]
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
