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

// life starts and stops a node.
type life struct {
	file      File
	servers   *servers
	follower  *settings.Follower
	gossip    *membership.Gossip
	gate      *gate
	bookings  *booking.Ledger
	backend   *backendServer
	routes    *routes
	peers     *peers
	directory *directory
	claims    *booking.Claims
	running   *retry.Ledger
	metrics   *metrics.Metrics
	events    recorder
	ready     *readiness
	attempts  *attemptWatch
	load      *loadWatch

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

func newLife(file File, s *servers, f *settings.Follower, g *membership.Gossip, gate *gate, b *booking.Ledger,
	backend *backendServer, r *routes, p *peers, d *directory, c *booking.Claims, running *retry.Ledger, m *metrics.Metrics, events *timeline.Recorder, watch *attemptWatch, o *operator,
) *life {
	return &life{
		file: file, servers: s, follower: f, gossip: g, gate: gate, bookings: b, backend: backend,
		routes: r, peers: p, directory: d, claims: c, running: running, metrics: m, events: events, ready: o.ready,
		attempts: watch, load: &loadWatch{events: events},
	}
}

// start begins to serve and to look for other nodes. It waits for neither the
// log service nor other nodes, because a node must start while they are away.
func (l *life) start(context.Context) (err error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.backend.applySettings = l.applySettings
	l.servers.start()
	// Run ends with the context; what went wrong before is in its events.
	l.loops.Go(func() { _ = l.follower.Run(ctx) })
	l.loops.Go(func() { _ = l.gossip.Run(ctx) })
	l.loops.Go(func() { l.tick(ctx) })
	l.events.Record(event.NodeStarted, attrNode(l.file.node), slog.String("peer", l.servers.listeners.peer.Addr().String()))
	return nil
}

// stop ends the node step by step, so that nobody is sending to an address at
// the moment at which it closes: no new work for the backend server; callers are
// asked to go elsewhere; the calls in progress end; other nodes hear that this
// one has left, and stop sending bookings with its keys; only then the address
// for them closes.
func (l *life) stop(ctx context.Context) (err error) {
	l.events.Record(event.NodeStopping, attrNode(l.file.node))
	l.ready.stopping.Store(true)
	l.backend.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, l.file.stopDeadline)
	defer cancel()
	empty := l.backend.drain()
	l.servers.announceClose()
	wait(ctx, nil, l.file.stopDelay)
	wait(ctx, empty, l.file.stopDeadline)
	err = l.servers.caller.Shutdown(ctx)
	l.leave()
	wait(ctx, nil, l.file.stopDelay)
	err = errors.Join(err, l.servers.shutdown(ctx))
	if ctx.Err() != nil {
		l.events.Record(event.StopDeadlineExceeded, attrNode(l.file.node),
			slog.Duration("deadline", l.file.stopDeadline), slog.Int("running", l.gate.load().Running))
	}
	l.servers.close()
	l.cancel()
	l.loops.Wait()
	l.events.Record(event.NodeStopped, attrNode(l.file.node))
	return err
}

// leave tells the other nodes and the log that this node is gone on purpose.
func (l *life) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	// Without the news the other nodes find out by probes.
	_ = l.gossip.Leave(ctx)
}

// wait waits for the channel, for the time, or for the end of the context.
func wait(ctx context.Context, done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// tick runs the time-driven work until the context ends.
func (l *life) tick(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		l.sync(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sync carries members and settings into the data path. Members are carried
// only after a change: with 1,100 of them that is most of the work.
func (l *life) sync(now time.Time) {
	if l.directory.changed.Swap(false) {
		l.carryMembers(l.gossip.Members())
	}
	l.routes.tick(now)
	l.bookings.Tick(now)
	l.backend.probe()
	l.running.Tick(now)
	l.applySettings()
	l.attempts.forget(now)
	l.measure(now)
}

// carryMembers takes over a changed membership table.
func (l *life) carryMembers(members []membership.Member) {
	l.directory.replace(members)
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
func (l *life) applySettings() {
	tree := l.follower.Tree()
	l.bookings.SetValidity(tree.KeyValidity())
	l.claims.SetValidity(tree.CallerKeyValidity())
	service, ok := tree.Service(l.backend.service())
	if !ok {
		return
	}
	l.gate.configure(admission.Limits{
		Slots: l.backend.slots(service.Slots), Floor: service.Floor, QueueLength: service.QueueLength, WarmUp: service.WarmUp,
	})
	l.backend.limitConnections(service.Connections)
}

// measure states the gauges.
func (l *life) measure(now time.Time) {
	l.metrics.SetSettingsOffset(l.follower.Offset())
	load := l.gate.load()
	l.load.look(now, load, l.gate.refused(), l.backend.service())
	l.metrics.SetLoad(l.backend.service(), metrics.Load{Running: load.Running, Limit: load.Limit, Queued: load.Queued})
}
