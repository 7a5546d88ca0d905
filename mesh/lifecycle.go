package mesh

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

const (
	// tickInterval is the interval of the periodic work.
	tickInterval = 100 * time.Millisecond
	// metricsInterval is the interval at which gauges are set. Scrapes are further apart.
	metricsInterval = time.Second
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
)

// lifecycle starts and stops a node and does its periodic work.
type lifecycle struct {
	settings   nodeconfig.Config
	events     eventRecorder
	metrics    *metrics.Metrics
	components components
	bounds     atomic.Pointer[nodeconfig.Bounds]
	stopping   atomic.Bool
	// schedule decides which requests are accepted during a planned stop. It is nil
	// before.
	schedule atomic.Pointer[stopSchedule]
	// refusesAll is set once the requests in progress have ended or the deadline of a
	// planned stop is near, to refuse all further ones.
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
	proofs        *proofs
	caps          *caps
	levels        *levelQuestions
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
	l.components.proofs.start()
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
// platform directs callers to other nodes. It then refuses requests as the schedule says,
// and waits for the requests in progress to end. Those that still wait for a slot are
// refused when they could not finish any more.
func (l *lifecycle) stop(context.Context) (err error) {
	started := time.Now()
	l.events.Record(event.NodeStopping, attrService(l.settings.Service))
	grace := l.bounds.Load().Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	schedule := newStopSchedule(started, grace)
	l.schedule.Store(&schedule)
	l.stopping.Store(true)
	sidecar := l.components.sidecar
	refusal := time.AfterFunc(time.Until(schedule.waitingRefusal(sidecar.longestRuns.ofAll(started))), sidecar.slots.Close)
	defer refusal.Stop()
	follow.Pause(context.Background(), time.Until(schedule.peerEnd))
	sidecar.stopping.Store(true)
	follow.Pause(context.Background(), time.Until(schedule.customerEnd))
	for time.Now().Before(schedule.deadline) && !l.isIdle() {
		follow.Pause(context.Background(), drainPollInterval)
	}
	l.finishRequests(schedule.deadline)
	l.cancel()
	l.background.Wait()
	l.events.Record(event.NodeStopped, attrMs("tookMs", time.Since(started)))
	return nil
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
	l.components.proofs.reload(settings.Bounds)
	l.events.Record(event.NodeReloaded, attrMs("graceMs", settings.Bounds.Grace))
}

// accepts reports whether the node accepts a request that arrives now.
func (l *lifecycle) accepts(now time.Time, r lateRequest) bool {
	if l.refusesAll.Load() {
		return false
	}
	schedule := l.schedule.Load()
	return schedule == nil || schedule.accepts(now, r)
}

// stopDeadline returns when a planned stop that is in progress closes the connections of
// the requests in progress, or the zero time if there is none.
func (l *lifecycle) stopDeadline() time.Time {
	if schedule := l.schedule.Load(); schedule != nil {
		return schedule.deadline
	}
	return time.Time{}
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
	defer l.components.watchers.following.Wait()
	var metricsAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.components.watchers.tick(ctx)
			l.components.proofs.tick(ctx)
			l.components.balancer.tick(now)
			l.components.sidecar.tick(now, l.components.balancer.countServices())
			l.components.quarantine.tick(now)
			l.components.caps.tick()
			l.components.levels.tick(ctx, now)
			l.components.servers.limits.tick(now)
			l.closeIdleConnections(now)
			l.components.exchange.probeUnreachable(ctx, now)
			if now.Sub(metricsAt) >= metricsInterval {
				metricsAt = now
				l.updateMetrics(now)
			}
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

// updateMetrics exports the load of the backend server, the number of reachable and
// unreachable nodes, the version of the desired state and what clients take.
func (l *lifecycle) updateMetrics(now time.Time) {
	l.components.sidecar.updateMetrics()
	reachable, unreachable := l.components.balancer.countPeers()
	l.metrics.SetMembers(healthReachable, reachable)
	l.metrics.SetMembers(healthLost, unreachable)
	l.metrics.SetDesiredVersion(l.components.desired.version())
	l.components.servers.limits.updateMetrics(now)
}
