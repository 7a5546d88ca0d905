package mesh

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/site"
)

const (
	// tickInterval is how often the time-driven work is done.
	tickInterval = 100 * time.Millisecond
	// A stopping node takes requests of other nodes for peerTime, and of customers
	// for carryOnTime: the platform needs two failed probes, one a second, to send
	// callers elsewhere, and goes on to send some where many nodes stop. After
	// that it carries only the calls of its own backend server, and none from
	// callsTime on: the longest customer request takes 1.5 s, and a request that is
	// taken later could not end before SIGKILL.
	peerTime    = 2200 * time.Millisecond
	carryOnTime = 2700 * time.Millisecond
	callsTime   = 3700 * time.Millisecond
	// graceMargin of the time until SIGKILL is left for the end of the process.
	graceMargin = 700 * time.Millisecond
	// Nodes are counted by whether this one can reach them.
	healthReachable = "reachable"
	healthLost      = "lost"
	// defaultGrace applies where the settings do not say.
	defaultGrace = 5 * time.Second
	// settleInterval is how often a stopping node looks whether all requests
	// have ended.
	settleInterval = 20 * time.Millisecond
	// quietTime without a request must pass before a stopping node closes its
	// addresses.
	quietTime = 300 * time.Millisecond
)

// life starts and stops a node and does its time-driven work.
type life struct {
	place    site.Site
	events   recorder
	metrics  *metrics.Metrics
	parts    parts
	bounds   atomic.Pointer[site.Bounds]
	stopping atomic.Bool
	// closed refuses requests of customers shortly before the end.
	closed atomic.Bool
	// closedToAll refuses the calls of the backend server too.
	closedToAll atomic.Bool
	// active counts the requests of callers in progress, and lastActive is when
	// the last one began or ended, in Unix nanoseconds.
	active     atomic.Int64
	lastActive atomic.Int64

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// parts are what a life starts. They are set after everything has been built.
type parts struct {
	servers       *servers
	balancer      *balancer
	exchange      *exchange
	watch         *watch
	announcements *announcements
	sidecar       *sidecar
	desired       *desired
	directory     interface{ Run(ctx context.Context) }
}

func newLife(place site.Site, m *metrics.Metrics, events recorder) *life {
	l := &life{place: place, metrics: m, events: events}
	l.bounds.Store(&place.Bounds)
	return l
}

// start begins to serve and to look for other nodes. It waits for neither the
// log service nor other nodes, because a node must start while they are away.
func (l *life) start(context.Context) (err error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.parts.servers.start()
	l.loops.Go(func() { l.parts.desired.run(ctx) })
	l.loops.Go(func() { l.parts.directory.Run(ctx) })
	l.loops.Go(func() { l.parts.exchange.runAlone(ctx) })
	l.loops.Go(func() { l.parts.watch.run(ctx) })
	l.loops.Go(func() { l.parts.announcements.restore(ctx) })
	l.loops.Go(func() { l.tick(ctx) })
	l.events.Record(event.NodeStarted, attrService(l.place.Service))
	return nil
}

// count keeps account of the requests of callers in progress.
func (l *life) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.active.Add(1)
		defer func() {
			l.active.Add(-1)
			l.lastActive.Store(time.Now().UnixNano())
		}()
		next.ServeHTTP(w, r)
	})
}

// stop ends the node step by step: it says that it is not ready, goes on to
// serve callers until the platform sends them elsewhere, refuses requests of
// other nodes, and lets those in progress end.
func (l *life) stop(context.Context) (err error) {
	started := time.Now()
	l.events.Record(event.NodeStopping, attrService(l.place.Service))
	l.stopping.Store(true)
	grace := l.bounds.Load().Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	follow.Pause(context.Background(), min(peerTime, grace/3))
	l.parts.sidecar.stopping.Store(true)
	follow.Pause(context.Background(), min(carryOnTime-peerTime, grace/6))
	l.closed.Store(true)
	callsEnd := started.Add(min(callsTime, 6*grace/10))
	for time.Since(started) < grace-graceMargin && !l.quiet() {
		if time.Now().After(callsEnd) {
			l.closedToAll.Store(true)
		}
		follow.Pause(context.Background(), settleInterval)
	}
	if active := l.active.Load(); active > 0 {
		l.events.Record(event.StopDeadlineExceeded, attrMs("afterMs", time.Since(started)))
	}
	l.parts.servers.close()
	l.cancel()
	l.loops.Wait()
	l.events.Record(event.NodeStopped, attrMs("tookMs", time.Since(started)))
	return nil
}

// reload takes changed bounds over.
func (l *life) reload(place site.Site) {
	l.bounds.Store(&place.Bounds)
	l.events.Record(event.NodeReloaded, attrMs("graceMs", place.Bounds.Grace))
}

// refuses reports whether a stopping node takes no more requests of an origin.
// Where the origin is not known, the request is a call only if the backend server
// runs something.
func (l *life) refuses(origin calltree.Origin) bool {
	switch {
	case l.closedToAll.Load():
		return true
	case !l.closed.Load():
		return false
	default:
		return origin == calltree.Customers || origin == calltree.Unknown && l.parts.sidecar.slots.Load().Running == 0
	}
}

// quiet reports whether no request is in progress and none came for a while.
func (l *life) quiet() bool {
	if l.active.Load() > 0 || l.parts.sidecar.slots.Load().Running > 0 {
		return false
	}
	return time.Since(time.Unix(0, l.lastActive.Load())) > quietTime
}

// serveReady tells the platform whether callers may be sent here.
func (l *life) serveReady(w http.ResponseWriter, _ *http.Request) {
	if l.stopping.Load() || l.parts.desired.current() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (l *life) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.parts.balancer.tick(now)
			l.parts.sidecar.tick(now, l.parts.balancer.services())
			l.parts.servers.idle.sweep(now)
			l.parts.exchange.probe(ctx, now)
			l.measure()
		}
	}
}

// measure states what this node believes.
func (l *life) measure() {
	reachable, lost := l.parts.balancer.counts()
	l.metrics.SetMembers(healthReachable, reachable)
	l.metrics.SetMembers(healthLost, lost)
	l.metrics.SetDesiredVersion(l.parts.desired.version())
}
