package node

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/membership"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/retry"
	"github.com/lacewingslip/lacewingslip/settings"
	"github.com/lacewingslip/lacewingslip/timeline"
)

const (
	// syncInterval is how often news of members and settings reach the data
	// path, and old entries leave the tables.
	syncInterval = 200 * time.Millisecond
	// leaveTimeout bounds the last message to the log service.
	leaveTimeout = 2 * time.Second
)

// lifecycle starts and stops a node.
type lifecycle struct {
	config         Config
	servers        *servers
	follower       *settings.Follower
	gossip         *membership.Gossip
	limiter        *limiter
	bookings       *booking.Ledger
	backend        *backendServer
	routes         *routeTable
	peers          *peerTable
	members        *memberSnapshot
	claims         *booking.Claims
	running        *retry.Ledger
	metrics        *metrics.Metrics
	events         recorder
	readiness      *readiness
	attemptMonitor *attemptMonitor
	loadMonitor    *loadMonitor

	cancel     context.CancelFunc
	background sync.WaitGroup
}

func newLifecycle(config Config, s *servers, f *settings.Follower, g *membership.Gossip, l *limiter, b *booking.Ledger,
	backend *backendServer, r *routeTable, p *peerTable, d *memberSnapshot, c *booking.Claims, running *retry.Ledger, m *metrics.Metrics, events *timeline.Recorder, monitor *attemptMonitor, api *operatorAPI,
) *lifecycle {
	return &lifecycle{
		config: config, servers: s, follower: f, gossip: g, limiter: l, bookings: b, backend: backend,
		routes: r, peers: p, members: d, claims: c, running: running, metrics: m, events: events, readiness: api.readiness,
		attemptMonitor: monitor, loadMonitor: &loadMonitor{events: events},
	}
}

// start begins to serve and to look for other nodes. It waits for neither the
// log service nor other nodes, because a node must start while they are away.
func (l *lifecycle) start(context.Context) (err error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.backend.applySettings = l.applySettings
	l.servers.start()
	// Run ends with the context; what went wrong before is in its events.
	l.background.Go(func() { _ = l.follower.Run(ctx) })
	l.background.Go(func() { _ = l.gossip.Run(ctx) })
	l.background.Go(func() { l.syncLoop(ctx) })
	l.events.Record(event.NodeStarted, attrNode(l.config.node), slog.String("peer", l.servers.listeners.peer.Addr().String()))
	return nil
}

// stop ends the node step by step, so that nobody is sending to an address at
// the moment at which it closes: no new work for the backend server; callers are
// asked to go elsewhere; the calls in progress end; other nodes hear that this
// one has left, and stop sending bookings with its keys; only then the address
// for them closes.
func (l *lifecycle) stop(ctx context.Context) (err error) {
	l.events.Record(event.NodeStopping, attrNode(l.config.node))
	l.readiness.stopping.Store(true)
	l.backend.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, l.config.stopDeadline)
	defer cancel()
	drained := l.backend.drain()
	l.servers.closeConnections()
	wait(ctx, nil, l.config.stopDelay)
	wait(ctx, drained, l.config.stopDeadline)
	err = l.servers.caller.Shutdown(ctx)
	l.leave()
	wait(ctx, nil, l.config.stopDelay)
	err = errors.Join(err, l.servers.shutdown(ctx))
	if ctx.Err() != nil {
		l.events.Record(event.StopDeadlineExceeded, attrNode(l.config.node),
			slog.Duration("deadline", l.config.stopDeadline), slog.Int("running", l.limiter.load().Running))
	}
	l.servers.close()
	l.cancel()
	l.background.Wait()
	l.events.Record(event.NodeStopped, attrNode(l.config.node))
	return err
}

// leave tells the other nodes and the log that this node is gone on purpose.
func (l *lifecycle) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	// Without the news the other nodes find out by probes.
	_ = l.gossip.Leave(ctx)
}

// wait waits for the channel, for the time, or for the end of the context.
func wait(ctx context.Context, done <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// syncLoop runs the time-driven work until the context ends.
func (l *lifecycle) syncLoop(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		l.syncOnce(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// syncOnce carries members and settings into the data path. Members are carried
// only after a change: with 1,100 of them that is most of the work.
func (l *lifecycle) syncOnce(now time.Time) {
	if l.members.changed.Swap(false) {
		l.applyMembers(l.gossip.Members())
	}
	l.routes.tick(now)
	l.bookings.Tick(now)
	l.backend.probe()
	l.running.Tick(now)
	l.applySettings()
	l.attemptMonitor.prune(now)
	l.updateGauges(now)
}

// applyMembers takes over a changed membership table.
func (l *lifecycle) applyMembers(members []membership.Member) {
	l.members.replace(members)
	l.peers.replace(members)
	l.routes.replace(members)
	byHealth := make(map[membership.Health]int)
	for _, m := range members {
		byHealth[m.Health]++
	}
	for _, health := range []membership.Health{membership.Alive, membership.Suspect, membership.Unreachable, membership.Left} {
		l.metrics.SetMembers(health.String(), byHealth[health])
	}
}

// applySettings gives the settings of this node's service to admission.
func (l *lifecycle) applySettings() {
	tree := l.follower.Tree()
	l.bookings.SetValidity(tree.KeyValidity())
	l.claims.SetValidity(tree.CallerKeyValidity())
	service, ok := tree.Service(l.backend.service())
	if !ok {
		return
	}
	l.limiter.configure(admission.Limits{
		Slots: l.backend.slotLimit(service.Slots), Floor: service.Floor, QueueLength: service.QueueLength, WarmUp: service.WarmUp,
	})
	l.backend.applyConnectionLimit(service.Connections)
}

// updateGauges states the gauges.
func (l *lifecycle) updateGauges(now time.Time) {
	l.metrics.SetSettingsOffset(l.follower.Offset())
	load := l.limiter.load()
	l.loadMonitor.observe(now, load, l.limiter.overloadRefusalCount(), l.backend.service())
	l.metrics.SetLoad(l.backend.service(), metrics.Load{Running: load.Running, Limit: load.Limit, Queued: load.Queued})
}
