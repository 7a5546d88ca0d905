// Package mesh is the node beside each backend server of a service call graph,
// run on the users' platform. It carries every request: from callers on its VM,
// among them its own backend server, to the node beside a backend server of the
// service that the desired state names.
//
// # Usage
//
//	place, err := platform.ReadSettings()
//	n, err := mesh.New(place, mesh.WithLogger(logger))
//	err = n.Start(ctx)
//	...
//	err = n.Stop(ctx)
//
// # Reading order
//
// ingress.go accepts requests and decides on attempts, balancer.go chooses the
// next node, sidecar.go takes a request to the backend server, announce.go
// follows that server, desired.go the operator, exchange.go other nodes, and
// life.go starts and stops it all.
package mesh

import (
	"context"
	"log/slog"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/lacewingslip/lacewingslip/config"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/site"
	"github.com/lacewingslip/lacewingslip/timeline"
	"github.com/lacewingslip/lacewingslip/upstream"
)

// keptEvents is the number of events that a process keeps for the time line. A
// node has 256 MB for everything.
const keptEvents = 2048

// Option changes how a node is built.
type Option func(*options)

type options struct {
	logger *slog.Logger
}

// WithLogger sets the logger for numbered events. By default nothing is logged.
func WithLogger(logger *slog.Logger) Option { return func(o *options) { o.logger = logger } }

// Node is one process of the system, built and run by fx.
type Node struct {
	app  *fx.App
	life *life
}

// New builds a node and opens its addresses.
func New(place site.Site, opts ...Option) (n *Node, err error) {
	defer func() { err = eris.Wrapf(err, "build node %q", place.Node) }()
	o := options{logger: slog.New(slog.DiscardHandler)}
	for _, opt := range opts {
		opt(&o)
	}
	n = &Node{}
	n.app = fx.New(
		module(place, o),
		fx.Populate(&n.life),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(2*place.Bounds.Grace+defaultGrace),
	)
	if err = n.app.Err(); err != nil {
		// The cause is for operators; how fx came to it is not.
		return nil, dig.RootCause(err)
	}
	return n, nil
}

// Start begins to serve. It returns once the node listens.
func (n *Node) Start(ctx context.Context) (err error) {
	return eris.Wrap(n.app.Start(ctx), "start node")
}

// Stop ends the node after the requests in progress, or shortly before the
// platform would kill it.
func (n *Node) Stop(ctx context.Context) (err error) {
	return eris.Wrap(n.app.Stop(ctx), "stop node")
}

// Reload takes changed settings over. The node's place, its addresses and its
// backend server stay as they were at the start.
func (n *Node) Reload(place site.Site) { n.life.reload(place) }

func module(place site.Site, o options) fx.Option {
	return fx.Module("mesh",
		fx.Supply(place),
		fx.Provide(
			func() *timeline.Recorder {
				return timeline.NewRecorder(place.Node, timeline.WithLogger(o.logger), timeline.WithCapacity(keptEvents))
			},
			func(r *timeline.Recorder) recorder { return r },
			func() *platform.Store { return platform.NewStore(place.Log) },
			func() *upstream.Tracker { return upstream.New(place.Service, place.Backend) },
			metrics.New, newListeners, newDesired, newBalancer, newSidecar, newDirectory, newExchange, newWatch, newLife,
			newAnnouncements, newEntrance, newIngress, newPeerHandler, newServers,
		),
		fx.Invoke(func(lc fx.Lifecycle, l *life, s *servers, b *balancer, e *exchange, w *watch, a *announcements, sc *sidecar, d *desired, dir *fleet.Directory) {
			l.parts = parts{servers: s, balancer: b, exchange: e, watch: w, announcements: a, sidecar: sc, desired: d, directory: dir}
			s.caller.Handler = l.count(s.caller.Handler)
			dir.OnDuty(w.duty)
			dir.OnUnpublished(func() { e.announce(context.Background()) })
			lc.Append(fx.Hook{OnStart: l.start, OnStop: l.stop})
		}),
	)
}

func newDirectory(place site.Site, s *platform.Store, b *balancer, events recorder) *fleet.Directory {
	table := fleet.NewTable()
	address := place.Listen.Peer
	if place.Listen.Advertised != "" {
		address = place.Listen.Advertised
	}
	own := fleet.Member{
		Node: place.Node, Address: address, Region: place.Region, Zone: place.Zone, Service: place.Service,
	}
	return fleet.NewDirectory(own, table, s, events, func() { b.replace(table.Members()) })
}

func newAnnouncements(place site.Site, t *upstream.Tracker, s *sidecar, dir *fleet.Directory, d *desired, events recorder) *announcements {
	return &announcements{place: place, tracker: t, sidecar: s, directory: dir, desired: d, events: events}
}

func newIngress(place site.Site, d *desired, b *balancer, s *sidecar, e *exchange, dir *fleet.Directory, events recorder, m *metrics.Metrics, l *life, entrance *entrance) *ingress {
	return &ingress{
		place: place, desired: d, splitter: config.NewSplitter(), balancer: b, sidecar: s, exchange: e,
		budget: newRetryBudget(place.Bounds, dir.Table().Len), events: events, metrics: m, life: l, entrance: entrance,
	}
}
