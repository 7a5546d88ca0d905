// Package node is the process beside each backend server. It carries calls in
// three roles: as ingress for callers, as sidecar in front of its own backend
// server, and as egress for the child calls that the backend server makes.
//
// # Usage
//
// A daemon reads its node file and runs until it is told to stop:
//
//	file, err := node.ReadFile("node.yaml")
//	n, err := node.New(file, node.WithLogger(logger))
//	err = n.Start(ctx)
//	...
//	err = n.Stop(ctx)
//
// Programs built on fx take [Module] into their application instead.
//
// # Reading order
//
// ingress.go and egress.go accept calls, sender.go decides on attempts,
// attempt.go makes one, sidecar.go takes it to the backend server, and relay.go
// copies bodies.
package node

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/membership"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/retry"
	"github.com/lacewingslip/lacewingslip/routing"
	"github.com/lacewingslip/lacewingslip/settings"
	"github.com/lacewingslip/lacewingslip/timeline"
)

// peerIdle is shorter than the idle timeout of the servers, so that no call is
// sent on a connection that its receiver is just closing.
const peerIdle = 30 * time.Second

// Option changes how a node is built.
type Option func(*options)

type options struct {
	logger  *slog.Logger
	journal appendlog.Journal
}

// WithLogger sets the logger for numbered events. By default nothing is logged.
func WithLogger(logger *slog.Logger) Option { return func(o *options) { o.logger = logger } }

// WithJournal replaces the client of the log service.
func WithJournal(j appendlog.Journal) Option { return func(o *options) { o.journal = j } }

// Node is one process of the system, built and run by fx.
type Node struct {
	app       *fx.App
	listeners *listeners
	routes    *routes
	follower  *settings.Follower
	gate      *gate
}

// New builds a node and opens its addresses.
func New(file File, opts ...Option) (n *Node, err error) {
	defer func() { err = eris.Wrapf(err, "build node %q", file.node) }()
	n = &Node{}
	n.app = fx.New(
		Module(file, opts...),
		fx.Populate(&n.listeners, &n.routes, &n.follower, &n.gate),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(file.stopDeadline+startTimeout),
		fx.StopTimeout(file.stopDeadline+startTimeout),
	)
	if err = n.app.Err(); err != nil {
		// The cause is for operators; how fx came to it is not.
		return nil, dig.RootCause(err)
	}
	return n, nil
}

// startTimeout bounds the start of a node, and the work of a stop that comes
// after its deadline.
const startTimeout = 15 * time.Second

// Start begins to serve. It returns once the node listens.
func (n *Node) Start(ctx context.Context) (err error) {
	return eris.Wrap(n.app.Start(ctx), "start node")
}

// Stop ends the node after the calls in progress, or at the stop deadline.
func (n *Node) Stop(ctx context.Context) (err error) {
	return eris.Wrap(n.app.Stop(ctx), "stop node")
}

// CallerAddress is where callers send calls.
func (n *Node) CallerAddress() string { return n.listeners.caller.Addr().String() }

// BackendAddress is where the node's own backend server announces itself and
// sends child calls.
func (n *Node) BackendAddress() string { return n.listeners.backend.Addr().String() }

// PeerAddress is where other nodes send calls and control messages.
func (n *Node) PeerAddress() string { return n.listeners.peer.Addr().String() }

// Upstreams returns the number of upstreams that this node sends calls to.
func (n *Node) Upstreams() int { return n.routes.count() }

// SettingsOffset returns how far this node has read the settings in the log.
func (n *Node) SettingsOffset() int64 { return n.follower.Offset() }

// Draining reports whether the node refuses new work for its backend server.
func (n *Node) Draining() bool { return n.gate.isDraining() }

// OperatorAddress serves status, metrics, health and events.
func (n *Node) OperatorAddress() string { return n.listeners.operator.Addr().String() }

// Module provides a node to an fx application.
func Module(file File, opts ...Option) fx.Option {
	o := options{logger: slog.New(slog.DiscardHandler), journal: appendlog.New(file.log)}
	for _, opt := range opts {
		opt(&o)
	}
	return fx.Module("node",
		fx.Supply(file, o.logger),
		fx.Provide(
			func() appendlog.Journal { return o.journal },
			newIncarnation, newClock, newRecorder, metrics.New, newListeners,
			newFollower, newGossip, newGate, newBookings, newLedger, newClaims,
			newTable, newPeersOf, newDirectory, newAttemptWatch, newSender, newIngress, newEgress, newSidecar, newBackendServer, newOperator,
			newBufferPool, newServers, newLife,
		),
		fx.Invoke(func(lc fx.Lifecycle, life *life) {
			lc.Append(fx.Hook{OnStart: life.start, OnStop: life.stop})
		}),
	)
}

// incarnation identifies one run of the process.
type incarnation struct {
	number  uint64
	started time.Time
}

func newIncarnation() (i incarnation) {
	var bits [8]byte
	// crypto/rand.Read never fails: it aborts the program instead.
	_, _ = rand.Read(bits[:])
	return incarnation{number: binary.BigEndian.Uint64(bits[:]), started: time.Now()}
}

func newClock() *timeline.Clock { return timeline.NewClock() }

func newRecorder(file File, clock *timeline.Clock, logger *slog.Logger) *timeline.Recorder {
	return timeline.NewRecorder(file.node, timeline.WithClock(clock), timeline.WithLogger(logger))
}

func newBookings(i incarnation) *booking.Ledger { return booking.New(i.number, i.started) }

func newLedger() *retry.Ledger { return retry.New() }

func newClaims(j appendlog.Journal, events *timeline.Recorder) *booking.Claims {
	return booking.NewClaims(j, booking.WithRecorder(events))
}

func newTable(file File) *routes { return newRoutes(routing.New(file.region, file.zone)) }

func newPeersOf(gossip *membership.Gossip) *peers { return newPeers(gossip) }

func newFollower(file File, j appendlog.Journal, d *directory, events *timeline.Recorder) *settings.Follower {
	return settings.NewFollower(j, settings.NewHistory(file.rootPublicKey), settings.WithRecorder(events),
		settings.WithPeers(d.peers), settings.WithMembers(d.count))
}

func newGossip(file File, i incarnation, l *listeners, j appendlog.Journal, clock *timeline.Clock,
	follower *settings.Follower, d *directory, events *timeline.Recorder,
) *membership.Gossip {
	self := membership.Self{
		Node: file.node, Incarnation: i.number, Started: i.started,
		Peer: l.peer.Addr().String(), Caller: l.caller.Addr().String(), Operator: l.operator.Addr().String(),
		Region: file.region, Zone: file.zone, System: systemOf(file.rootPublicKey),
	}
	return membership.New(self, membership.WithSeeds(file.seeds...), membership.WithJournal(j),
		membership.WithRecorder(events),
		membership.WithClock(func() string { return clock.Now().String() }, func(text string) { _ = clock.ObserveText(text) }), membership.WithSettingsOffset(follower.Offset),
		membership.OnBehind(follower.Behind), membership.OnChange(func() { d.changed.Store(true) }))
}

// systemOf tells the nodes of one organisation from those of another by the
// root key that they trust.
func systemOf(key ed25519.PublicKey) (system string) {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:4])
}

func newSender(r *routes, p *peers, clock *timeline.Clock, events *timeline.Recorder, watch *attemptWatch) *sender {
	return &sender{transport: newTransport(0, peerIdle), routes: r, peers: p, clock: clock, events: events, watch: watch}
}

func newIngress(f *settings.Follower, s *sender, r *routes, p *peers, c *booking.Claims, events *timeline.Recorder,
	m *metrics.Metrics, buffers *bufferPool,
) *ingress {
	return &ingress{
		tree: f, sender: s, routes: r, peers: p, claims: c, events: events,
		meter: meter{metrics: m, hop: metrics.Ingress}, buffers: buffers,
	}
}

func newEgress(i *ingress, running *retry.Ledger, m *metrics.Metrics) *egress {
	own := *i
	own.meter = meter{metrics: m, hop: metrics.Egress}
	return &egress{ingress: &own, running: running}
}

func newSidecar(f *settings.Follower, g *gate, b *backendServer, bookings *booking.Ledger, running *retry.Ledger,
	clock *timeline.Clock, events *timeline.Recorder, m *metrics.Metrics, buffers *bufferPool,
) *sidecar {
	return &sidecar{
		tree: f, gate: g, backend: b, bookings: bookings, running: running, clock: clock, events: events,
		meter: meter{metrics: m, hop: metrics.Sidecar}, buffers: buffers,
	}
}

func newBackendServer(g *gate, gossip *membership.Gossip, events *timeline.Recorder) *backendServer {
	return &backendServer{gate: g, members: gossip, events: events, applySettings: func() {}}
}
