package mesh

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

const (
	// tickInterval is the interval of the periodic work.
	tickInterval = 100 * time.Millisecond
	// A stopping node accepts requests of other nodes for peerAcceptTime, and of
	// customers for customerAcceptTime. The platform needs two failed readiness
	// probes, sent one per second, before it directs callers to other nodes, and
	// keeps sending some requests when many nodes stop at once. After
	// customerAcceptTime the node accepts only the calls of its own backend server,
	// and after childCallAcceptTime none at all: the longest customer request takes
	// 1.5 s, and a request that is accepted later could not finish before SIGKILL.
	peerAcceptTime      = 2200 * time.Millisecond
	customerAcceptTime  = 2700 * time.Millisecond
	childCallAcceptTime = 3700 * time.Millisecond
	// maxExitMargin and maxExitMarginShare bound the time before SIGKILL that is reserved
	// for the exit of the process, the latter as a share of the grace time. The share is
	// below a sixth, because only requests that run into the last sixth may be cut.
	maxExitMargin      = 700 * time.Millisecond
	maxExitMarginShare = 0.12
	// Values of the metrics label that states whether this node can reach a node.
	healthReachable = "reachable"
	healthLost      = "lost"
	// defaultGrace is the time until SIGKILL that is assumed if the settings do not
	// give one.
	defaultGrace = 5 * time.Second
	// drainPollInterval is how often a stopping node checks whether all requests
	// have ended.
	drainPollInterval = 20 * time.Millisecond
	// minIdleTime must pass without a request before a stopping node closes its
	// listeners.
	minIdleTime = 300 * time.Millisecond
	// connectionDrainTimeout bounds the time for the rest of a request to arrive before its
	// connection is closed.
	connectionDrainTimeout = 300 * time.Millisecond
	// waitingRefusalTime is how long before its deadline a stopping node refuses the
	// requests that wait for a slot, which leaves time to answer them.
	waitingRefusalTime = 300 * time.Millisecond
)

// lifecycle starts and stops a node and does its periodic work.
type lifecycle struct {
	settings   nodeconfig.Config
	events     eventRecorder
	metrics    *metrics.Metrics
	components components
	bounds     atomic.Pointer[nodeconfig.Bounds]
	stopping   atomic.Bool
	// refusesCustomers is set late in a planned stop, to refuse requests of
	// customers.
	refusesCustomers atomic.Bool
	// refusesAll is set after refusesCustomers, to refuse the calls of the backend
	// server too.
	refusesAll atomic.Bool
	// active is the number of requests of callers and of other nodes in progress.
	// lastActive is when the last request of a caller ended, in Unix nanoseconds.
	active     atomic.Int64
	lastActive atomic.Int64

	cancel     context.CancelFunc
	background sync.WaitGroup
}

// components holds the components that a lifecycle starts. They are set once all
// of them have been built.
type components struct {
	servers       *servers
	balancer      *balancer
	exchange      *exchange
	watchers      *watcherSelection
	announcements *announcementHandler
	sidecar       *sidecar
	desired       *desiredState
	directory     interface{ Run(ctx context.Context) }
	quarantine    *quarantineSync
}

func newLifecycle(settings nodeconfig.Config, m *metrics.Metrics, events eventRecorder) *lifecycle {
	l := &lifecycle{settings: settings, metrics: m, events: events}
	l.bounds.Store(&settings.Bounds)
	return l
}

// start starts the servers and the background work. It does not wait for the
// log service or for other nodes, because a node must be able to start while
// they are unavailable.
func (l *lifecycle) start(context.Context) (err error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.components.servers.start()
	l.background.Go(func() { l.components.desired.run(ctx) })
	l.background.Go(func() { l.components.directory.Run(ctx) })
	l.background.Go(func() { l.components.exchange.pollPeers(ctx) })
	l.background.Go(func() { l.components.watchers.run(ctx) })
	l.background.Go(func() { l.components.announcements.restoreServerState(ctx) })
	l.background.Go(func() { l.runPeriodicWork(ctx) })
	l.events.Record(event.NodeStarted, attrService(l.settings.Service))
	return nil
}

// trackActive wraps a handler to count the caller requests in progress.
func (l *lifecycle) trackActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.active.Add(1)
		defer func() {
			l.lastActive.Store(time.Now().UnixNano())
			l.active.Add(-1)
		}()
		next.ServeHTTP(w, r)
	})
}

// stop drains the node step by step. It fails the readiness probe, so that the
// platform directs callers to other nodes. It then refuses requests of other
// nodes, of customers, and finally of its own backend server, and waits for the
// requests in progress to end. Those that still wait for a slot are refused shortly
// before the deadline.
func (l *lifecycle) stop(context.Context) (err error) {
	started := time.Now()
	l.events.Record(event.NodeStopping, attrService(l.settings.Service))
	l.stopping.Store(true)
	grace := l.bounds.Load().Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	deadline := started.Add(grace - exitMargin(grace))
	refusal := time.AfterFunc(time.Until(deadline.Add(-waitingRefusalTime)), l.components.sidecar.slots.Close)
	defer refusal.Stop()
	follow.Pause(context.Background(), min(peerAcceptTime, grace/3))
	l.components.sidecar.stopping.Store(true)
	follow.Pause(context.Background(), min(customerAcceptTime-peerAcceptTime, grace/6))
	l.refusesCustomers.Store(true)
	childCallEnd := started.Add(min(childCallAcceptTime, 6*grace/10))
	for time.Now().Before(deadline) && !l.isIdle() {
		if time.Now().After(childCallEnd) {
			l.refusesAll.Store(true)
		}
		follow.Pause(context.Background(), drainPollInterval)
	}
	l.finishRequests(deadline)
	l.cancel()
	l.background.Wait()
	l.events.Record(event.NodeStopped, attrMs("tookMs", time.Since(started)))
	return nil
}

// exitMargin returns the time before SIGKILL that is reserved for the exit of the process.
func exitMargin(grace time.Duration) time.Duration {
	return min(maxExitMargin, time.Duration(maxExitMarginShare*float64(grace)))
}

// finishRequests refuses new requests, waits until those in progress have been answered or
// the deadline has passed, and closes all connections.
func (l *lifecycle) finishRequests(deadline time.Time) {
	l.refusesAll.Store(true)
	for time.Now().Before(deadline) && l.active.Load() > 0 {
		follow.Pause(context.Background(), drainPollInterval)
	}
	if active := l.active.Load(); active > 0 {
		l.events.Record(event.StopDeadlineExceeded, slog.Int64("requests", active))
	}
	l.components.exchange.endWaits()
	l.components.servers.drain(deadline)
	l.components.servers.close()
}

// reload applies the bounds of changed settings.
func (l *lifecycle) reload(settings nodeconfig.Config) {
	l.bounds.Store(&settings.Bounds)
	l.events.Record(event.NodeReloaded, attrMs("graceMs", settings.Bounds.Grace))
}

// refusesOrigin reports whether a stopping node refuses requests with the
// origin. A request of unknown origin can be a call of the backend server only
// while that server runs a request, so it is refused otherwise.
func (l *lifecycle) refusesOrigin(origin calltree.Origin) bool {
	switch {
	case l.refusesAll.Load():
		return true
	case !l.refusesCustomers.Load():
		return false
	default:
		return origin == calltree.Customers || origin == calltree.Unknown && l.components.sidecar.slots.Load().Running == 0
	}
}

// isIdle reports whether no request is in progress and none has ended in the
// last minIdleTime.
func (l *lifecycle) isIdle() bool {
	if l.active.Load() > 0 || l.components.sidecar.slots.Load().Running > 0 {
		return false
	}
	return time.Since(time.Unix(0, l.lastActive.Load())) > minIdleTime
}

// serveReadiness responds to the platform's readiness probe, which decides
// whether callers are directed to this node.
func (l *lifecycle) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if l.stopping.Load() || l.components.desired.current() == nil || !l.components.exchange.hasAskedPeers() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (l *lifecycle) runPeriodicWork(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.components.balancer.tick(now)
			l.components.sidecar.tick(now, l.components.balancer.countServices())
			l.components.quarantine.tick(now)
			l.closeIdleConnections(now)
			l.components.exchange.probeUnreachable(ctx, now)
			l.updateMetrics()
		}
	}
}

// closeIdleConnections closes the connections of callers that have been idle for longer
// than the desired state allows.
func (l *lifecycle) closeIdleConnections(now time.Time) {
	state := l.components.desired.current()
	if state == nil || state.Limits().IdleTimeout <= 0 {
		return
	}
	limit := state.Limits().IdleTimeout
	if closed, longest := l.components.servers.callerConnections.closeExpired(now, limit); closed > 0 {
		l.events.Record(event.IdleConnectionsClosed, slog.Int("connections", closed), attrMs("idleMs", longest),
			attrMs("limitMs", limit), slog.Int64("version", state.Version()))
	}
}

// updateMetrics exports the number of reachable and unreachable nodes and the
// version of the desired state.
func (l *lifecycle) updateMetrics() {
	reachable, unreachable := l.components.balancer.countPeers()
	l.metrics.SetMembers(healthReachable, reachable)
	l.metrics.SetMembers(healthLost, unreachable)
	l.metrics.SetDesiredVersion(l.components.desired.version())
}
