// Package mesh implements the node process that runs beside each backend server
// of a service call graph, on the users' platform. The node carries every
// request: it accepts requests of the callers on its VM, which include its own
// backend server, and forwards each to the node beside a backend server of the
// service that the desired state names for the request's route.
//
// # Usage
//
//	settings, err := platform.ReadSettings()
//	n, err := mesh.New(settings, mesh.WithLogger(logger))
//	err = n.Start(ctx)
//	...
//	err = n.Stop(ctx)
//
// # Terms
//
// The ingress node of a request is the node that receives it from its caller. An
// attempt sends the request to one node, which queues it for a slot of its
// backend server and either runs or refuses it. The pressure level of a service
// states how many customer requests that need the service must be refused: at 0
// none, at 1 all but a few of the lowest priority, and at 2 all but a few of the
// next priority too. A backend server is leaving if it is draining or has
// deregistered. A leaf is a service that calls no other services. A watcher is a
// node that reads the records of all nodes and the desired state from the log service
// on behalf of the other nodes of its zone.
//
// # Files
//
// The path of a request is ingress.go (accepts requests and decides on attempts),
// workspaces.go (admits requests by their key), customer_admission.go and
// fair_shares.go (refuse customer requests under pressure, by the shares of workspaces, and
// tell their callers when to return), level_sources.go and level_messages.go (ask other nodes
// for the pressure when few responses state it), node_selector.go and
// balancer.go (choose the next node), known_peers.go (selects known nodes by where they are
// and whether they can be reached), retry_budget.go (decides whether a failed request
// is sent again), quota.go and quota_messages.go (apply the caps of workspaces), and
// sidecar.go (runs requests at the backend server, over the connections of
// instance_pool.go). capacity.go estimates what the server handles well if it states its
// pace. crash.go detects that the server has crashed under a request, quarantine.go shares
// with other nodes which requests do that, and evidence.go sends what is known of a request
// along with it and with its result. repeats.go estimates which calls belong to repeated
// runs, and call_success.go how many calls can succeed. announcements.go tracks the backend
// server, desired_state.go the operator's desired state, and exchange.go and watchers.go
// other nodes. freshness.go proves that the desired state is the newest, by the clock in
// clock.go. servers.go serves callers and other nodes, connections.go decides when their
// connections are closed, client_limits.go refuses heads over the limits, client_bodies.go
// bodies, client_answers.go requests whose responses can't be held and client_connections.go
// connections, client_refusals.go reports refusals, and connection_ends.go records connections
// that end without an answer. lifecycle.go starts and stops everything, and stop_schedule.go
// decides which requests a stopping node accepts, by the response times in longest_times.go.
package mesh

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/quarantine"
	"github.com/lacewingslip/lacewingslip/timeline"
	"github.com/lacewingslip/lacewingslip/upstream"
)

// timelineCapacity is the number of events that a process keeps for the
// timeline. It is small because a node may use 256 MB of memory in total.
const timelineCapacity = 2048

// Option configures a new node.
type Option func(*options)

type options struct {
	logger *slog.Logger
}

// WithLogger sets the logger that receives the node's events. By default
// nothing is logged.
func WithLogger(logger *slog.Logger) Option { return func(o *options) { o.logger = logger } }

// Node is one node process. Its components are wired and run by fx.
type Node struct {
	app       *fx.App
	lifecycle *lifecycle
}

// New builds a node and opens its listeners.
func New(settings nodeconfig.Config, opts ...Option) (n *Node, err error) {
	defer func() { err = eris.Wrapf(err, "build node %q", settings.Node) }()
	o := options{logger: slog.New(slog.DiscardHandler)}
	for _, opt := range opts {
		opt(&o)
	}
	n = &Node{}
	n.app = fx.New(
		module(settings, o),
		fx.Populate(&n.lifecycle),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(2*settings.Bounds.Grace+defaultGrace),
	)
	if err = n.app.Err(); err != nil {
		// Only the root cause is useful to operators, not the chain of fx
		// constructors around it.
		return nil, dig.RootCause(err)
	}
	return n, nil
}

// Start starts the servers and background work. It returns once the node
// listens.
func (n *Node) Start(ctx context.Context) (err error) {
	return eris.Wrap(n.app.Start(ctx), "start node")
}

// Stop drains the node: it returns when the requests in progress have ended, or
// shortly before the platform would send SIGKILL.
func (n *Node) Stop(ctx context.Context) (err error) {
	return eris.Wrap(n.app.Stop(ctx), "stop node")
}

// Reload applies the bounds of changed settings. The node's location, its
// listen addresses and the address of its backend server remain those that were
// set when the process started.
func (n *Node) Reload(settings nodeconfig.Config) { n.lifecycle.reload(settings) }

func module(settings nodeconfig.Config, o options) fx.Option {
	return fx.Module("mesh",
		fx.Supply(settings),
		fx.Provide(
			func() *timeline.Recorder {
				return timeline.NewRecorder(settings.Node, timeline.WithLogger(o.logger), timeline.WithCapacity(timelineCapacity))
			},
			func(r *timeline.Recorder) eventRecorder { return r },
			follow.NewEraTracker,
			func(era *follow.EraTracker) *platform.LogClient {
				return platform.NewLogClient(settings.Log, platform.WithEraObserver(era.Observe))
			},
			func() *upstream.Tracker {
				return upstream.New(settings.Service, settings.Backend, upstream.WithUnknownPast(time.Now()))
			},
			func(dir *fleet.Directory) *retryBudget { return newRetryBudget(settings.Bounds, dir.Table().Len) },
			metrics.New, newListeners, newDesiredState, newCallSuccess, newBalancer, newSidecar, newDirectory, newExchange, newWatcherSelection, newLifecycle,
			newAnnouncementHandler, newCustomerAdmission, newAccessControl, newBootClock, newProofs, newCaps, newLevelQuestions, quarantine.New, newQuarantineSync, newIngress, newPeerHandler, newClientLimits, newServers,
		),
		fx.Invoke(func(lc fx.Lifecycle, l *lifecycle, s *servers, b *balancer, e *exchange, w *watcherSelection, a *announcementHandler, sc *sidecar, d *desiredState, dir *fleet.Directory, q *quarantineSync, p *proofs, cp *caps, lq *levelQuestions) {
			l.components = components{servers: s, balancer: b, exchange: e, watchers: w, announcements: a, sidecar: sc, desired: d, directory: dir, quarantine: q, proofs: p, caps: cp, levels: lq}
			sc.crashes.onSuspects, sc.crashes.onReleased, sc.crashes.awaitTold = q.serverCrashed, q.requestReleased, q.awaitTold
			s.caller.Handler = l.trackActive(s.caller.Handler)
			b.limit = s.limits.own
			sc.backend.setLimit(s.limits.own)
			p.watchers = w
			dir.SetReadsLog(w.readsLog)
			d.readsLog, d.maxWait, d.recovered = w.readsDesiredState, w.maxWaitForDesiredState, w.shareRecovery
			dir.OnPublishError(func() { e.sendOwnRecord(context.Background()) })
			lc.Append(fx.Hook{OnStart: l.start, OnStop: l.stop})
		}),
	)
}

func newDirectory(settings nodeconfig.Config, logClient *platform.LogClient, era *follow.EraTracker, b *balancer, q *quarantineSync, events eventRecorder) *fleet.Directory {
	table := fleet.NewTable()
	address := settings.Listen.Peer
	if settings.Listen.Advertised != "" {
		address = settings.Listen.Advertised
	}
	self := fleet.Member{
		Node: settings.Node, Address: address, Region: settings.Region, Zone: settings.Zone, Service: settings.Service,
	}
	return fleet.NewDirectory(self, table, logClient, events, func() {
		q.restore(b.setMembers(table.Members))
	}, fleet.WithEra(era))
}

func newAnnouncementHandler(settings nodeconfig.Config, t *upstream.Tracker, s *sidecar, dir *fleet.Directory, e *exchange, d *desiredState, events eventRecorder) *announcementHandler {
	return &announcementHandler{settings: settings, tracker: t, sidecar: s, directory: dir, exchange: e, desired: d, events: events, released: make(chan struct{})}
}

func newIngress(settings nodeconfig.Config, d *desiredState, b *balancer, s *sidecar, e *exchange, events eventRecorder, m *metrics.Metrics, l *lifecycle, admission *customerAdmission, access *accessControl, c *caps, retries *retryBudget, list *quarantine.List) *ingress {
	return &ingress{
		settings: settings, desired: d, splitter: desired.NewSplitter(), balancer: b, sidecar: s, exchange: e,
		budget: retries, events: events, metrics: m, lifecycle: l, admission: admission, access: access, caps: c, quarantine: list,
		responseTimes: newLongestTimes(),
	}
}
