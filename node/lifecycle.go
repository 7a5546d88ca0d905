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
	// syncInterval is how often changes of members and settings are applied to
	// the data path, and expired entries are removed from the tables.
	syncInterval = 200 * time.Millisecond
	// leaveTimeout bounds the announcement to other nodes and the log service that
	// this node leaves.
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

// start begins to serve and to discover other nodes. It waits for neither the log
// service nor other nodes, because a node must start while they are unavailable.
func (l *lifecycle) start(context.Context) (err error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.backend.applySettings = l.applySettings
	l.servers.start()
	// Run returns only when the context ends; earlier errors are recorded as events.
	l.background.Go(func() { _ = l.follower.Run(ctx) })
	l.background.Go(func() { _ = l.gossip.Run(ctx) })
	l.background.Go(func() { l.syncLoop(ctx) })
	l.events.Record(event.NodeStarted, attrNode(l.config.node), slog.String("peer", l.servers.listeners.peer.Addr().String()))
	return nil
}

// stop ends the node in steps, so that no sender uses an address at the moment at
// which it closes: it refuses new calls for the backend server; asks callers to
// use other nodes by closing their connections; waits for calls in progress;
// announces to the other nodes that this node has left, so that they stop sending
// bookings with its keys; and only then closes the address for other nodes.
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

// leave announces to the other nodes and the log service that this node stops on
// purpose.
func (l *lifecycle) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	// If this fails, the probes of the other nodes detect that this node has stopped.
	_ = l.gossip.Leave(ctx)
}

// wait returns when the channel is closed, the timeout passes or the context ends.
func wait(ctx context.Context, done <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// syncLoop calls syncOnce at regular intervals until the context ends.
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

// syncOnce applies members and settings to the data path and runs all periodic
// work. Members are applied only after a change, because with 1,100 members
// replacing them would be most of the work.
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

// applyMembers replaces the members known to the data path.
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

// applySettings applies the settings to the booking tables and those of this
// node's service to its limiter and its connections.
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

// updateGauges sets the gauges of the metrics and records changes of the load.
func (l *lifecycle) updateGauges(now time.Time) {
	l.metrics.SetSettingsOffset(l.follower.Offset())
	load := l.limiter.load()
	l.loadMonitor.observe(now, load, l.limiter.overloadRefusalCount(), l.backend.service())
	l.metrics.SetLoad(l.backend.service(), metrics.Load{Running: load.Running, Limit: load.Limit, Queued: load.Queued})
}
