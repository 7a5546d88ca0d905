// Package node implements the process that runs beside each backend server. It
// forwards calls in three roles: as ingress for callers, as sidecar in front of its
// own backend server, and as egress for the child calls of that backend server.
//
// # Usage
//
// A daemon reads its node file, starts the node and stops it at shutdown:
//
//	config, err := node.ReadFile("node.yaml")
//	n, err := node.New(config, node.WithLogger(logger))
//	err = n.Start(ctx)
//	...
//	err = n.Stop(ctx)
//
// Programs built on fx include [Module] in their application instead.
//
// # Reading order
//
// ingress.go and egress.go accept calls, sender.go decides on attempts and
// retries, attempt.go makes a single attempt, sidecar.go forwards it to the backend
// server, and relay.go streams bodies.
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

// peerIdleTimeout is shorter than the idle timeout of the servers, so that no call
// is sent on a connection that its receiver is about to close.
const peerIdleTimeout = 30 * time.Second

// Option configures a node.
type Option func(*options)

type options struct {
	logger  *slog.Logger
	journal appendlog.Journal
}

// WithLogger sets the logger for numbered events. Nothing is logged by default.
func WithLogger(logger *slog.Logger) Option { return func(o *options) { o.logger = logger } }

// WithJournal replaces the default client of the log service.
func WithJournal(j appendlog.Journal) Option { return func(o *options) { o.journal = j } }

// Node is a node of the system. Its components are built and run by fx.
type Node struct {
	app       *fx.App
	listeners *listeners
	routes    *routeTable
	follower  *settings.Follower
	limiter   *limiter
}

// New builds a node and opens its listeners.
func New(config Config, opts ...Option) (n *Node, err error) {
	defer func() { err = eris.Wrapf(err, "build node %q", config.node) }()
	n = &Node{}
	n.app = fx.New(
		Module(config, opts...),
		fx.Populate(&n.listeners, &n.routes, &n.follower, &n.limiter),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(config.stopDeadline+startTimeout),
		fx.StopTimeout(config.stopDeadline+startTimeout),
	)
	if err = n.app.Err(); err != nil {
		// The chain of constructors that fx adds does not help operators.
		return nil, dig.RootCause(err)
	}
	return n, nil
}

// startTimeout bounds the start of a node, and the steps of a stop that follow its
// deadline.
const startTimeout = 15 * time.Second

// Start starts the node. It returns once the node accepts requests.
func (n *Node) Start(ctx context.Context) (err error) {
	return eris.Wrap(n.app.Start(ctx), "start node")
}

// Stop stops the node once its calls in progress have ended, or at the stop
// deadline.
func (n *Node) Stop(ctx context.Context) (err error) {
	return eris.Wrap(n.app.Stop(ctx), "stop node")
}

// CallerAddress returns the address to which callers send calls.
func (n *Node) CallerAddress() string { return n.listeners.caller.Addr().String() }

// BackendAddress returns the address at which the node's own backend server
// announces itself and to which it sends child calls.
func (n *Node) BackendAddress() string { return n.listeners.backend.Addr().String() }

// PeerAddress returns the address to which other nodes send calls and control
// messages.
func (n *Node) PeerAddress() string { return n.listeners.peer.Addr().String() }

// Upstreams returns the number of upstreams to which this node can send calls.
func (n *Node) Upstreams() int { return n.routes.upstreamCount() }

// SettingsOffset returns the log offset up to which this node has read the
// settings.
func (n *Node) SettingsOffset() int64 { return n.follower.Offset() }

// Draining reports whether the node refuses new calls for its backend server.
func (n *Node) Draining() bool { return n.limiter.isDraining() }

// OperatorAddress returns the address that serves status, metrics, health and
// events.
func (n *Node) OperatorAddress() string { return n.listeners.operator.Addr().String() }

// Module returns an fx module that provides and runs a node.
func Module(config Config, opts ...Option) fx.Option {
	o := options{logger: slog.New(slog.DiscardHandler), journal: appendlog.New(config.log)}
	for _, opt := range opts {
		opt(&o)
	}
	return fx.Module("node",
		fx.Supply(config, o.logger),
		fx.Provide(
			func() appendlog.Journal { return o.journal },
			newIncarnation, newClock, newRecorder, metrics.New, newListeners,
			newFollower, newGossip, newLimiter, newBookings, newRetryLedger, newClaims,
			newRoutes, newPeers, newMemberSnapshot, newAttemptMonitor, newSender, newIngress, newEgress, newSidecar, newBackendServer, newOperatorAPI,
			newBufferPool, newServers, newLifecycle,
		),
		fx.Invoke(func(lc fx.Lifecycle, l *lifecycle) {
			lc.Append(fx.Hook{OnStart: l.start, OnStop: l.stop})
		}),
	)
}

// incarnation identifies one run of the process. Each restart begins a new one.
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

func newRecorder(config Config, clock *timeline.Clock, logger *slog.Logger) *timeline.Recorder {
	return timeline.NewRecorder(config.node, timeline.WithClock(clock), timeline.WithLogger(logger))
}

func newBookings(i incarnation) *booking.Ledger { return booking.New(i.number, i.started) }

func newRetryLedger() *retry.Ledger { return retry.New() }

func newClaims(j appendlog.Journal, events *timeline.Recorder) *booking.Claims {
	return booking.NewClaims(j, booking.WithRecorder(events))
}

func newRoutes(c Config) *routeTable { return newRouteTable(routing.New(c.region, c.zone)) }

func newPeers(gossip *membership.Gossip) *peerTable { return newPeerTable(gossip) }

func newFollower(config Config, j appendlog.Journal, d *memberSnapshot, events *timeline.Recorder) *settings.Follower {
	return settings.NewFollower(j, settings.NewHistory(config.rootPublicKey), settings.WithRecorder(events),
		settings.WithPeers(d.peerAddresses), settings.WithMembers(d.nodeCount))
}

func newGossip(config Config, i incarnation, l *listeners, j appendlog.Journal, clock *timeline.Clock,
	follower *settings.Follower, d *memberSnapshot, events *timeline.Recorder,
) *membership.Gossip {
	self := membership.Self{
		Node: config.node, Incarnation: i.number, Started: i.started,
		Peer: l.peer.Addr().String(), Caller: l.caller.Addr().String(), Operator: l.operator.Addr().String(),
		Region: config.region, Zone: config.zone, System: systemID(config.rootPublicKey),
	}
	return membership.New(self, membership.WithSeeds(config.seeds...), membership.WithJournal(j),
		membership.WithRecorder(events),
		membership.WithClock(func() string { return clock.Now().String() }, func(text string) { _ = clock.ObserveText(text) }), membership.WithSettingsOffset(follower.Offset),
		membership.OnNewerSettings(follower.NotifyPeerOffset), membership.OnChange(func() { d.changed.Store(true) }))
}

// systemID returns a short hash of the trusted root key. It distinguishes the nodes
// of different organisations.
func systemID(key ed25519.PublicKey) (system string) {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:4])
}

func newSender(r *routeTable, p *peerTable, clock *timeline.Clock, events *timeline.Recorder, monitor *attemptMonitor) *sender {
	return &sender{transport: newTransport(0, peerIdleTimeout), routes: r, peers: p, clock: clock, events: events, monitor: monitor}
}

func newIngress(f *settings.Follower, s *sender, r *routeTable, p *peerTable, c *booking.Claims, events *timeline.Recorder,
	m *metrics.Metrics, buffers *bufferPool,
) *ingress {
	return &ingress{
		settings: f, sender: s, routes: r, peers: p, claims: c, events: events,
		meter: meter{metrics: m, hop: metrics.Ingress}, buffers: buffers,
	}
}

func newEgress(i *ingress, running *retry.Ledger, m *metrics.Metrics) *egress {
	copied := *i
	copied.meter = meter{metrics: m, hop: metrics.Egress}
	return &egress{ingress: &copied, running: running}
}

func newSidecar(f *settings.Follower, l *limiter, b *backendServer, bookings *booking.Ledger, running *retry.Ledger,
	clock *timeline.Clock, events *timeline.Recorder, m *metrics.Metrics, buffers *bufferPool,
) *sidecar {
	return &sidecar{
		settings: f, limiter: l, backend: b, bookings: bookings, running: running, clock: clock, events: events,
		meter: meter{metrics: m, hop: metrics.Sidecar}, buffers: buffers,
	}
}

func newBackendServer(l *limiter, gossip *membership.Gossip, events *timeline.Recorder) *backendServer {
	return &backendServer{limiter: l, members: gossip, events: events, applySettings: func() {}}
}
