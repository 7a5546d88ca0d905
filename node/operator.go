package node

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/membership"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/settings"
	"github.com/lacewingslip/lacewingslip/timeline"
)

// readiness holds the state on which the readiness check depends, besides the
// settings.
type readiness struct {
	stopping atomic.Bool
}

// operatorAPI serves the requests of operators and their tools.
type operatorAPI struct {
	config    Config
	follower  *settings.Follower
	gossip    *membership.Gossip
	limiter   *limiter
	bookings  *booking.Ledger
	backend   *backendServer
	routes    *routeTable
	metrics   *metrics.Metrics
	events    *timeline.Recorder
	readiness *readiness
}

func newOperatorAPI(config Config, f *settings.Follower, g *membership.Gossip, l *limiter, b *booking.Ledger,
	backend *backendServer, r *routeTable, m *metrics.Metrics, events *timeline.Recorder,
) *operatorAPI {
	return &operatorAPI{
		config: config, follower: f, gossip: g, limiter: l, bookings: b, backend: backend, routes: r, metrics: m,
		events: events, readiness: &readiness{},
	}
}

func (o *operatorAPI) router() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", o.healthz)
	router.HandleFunc("/readyz", o.readyz)
	router.Handle("/metrics", o.metrics.Handler())
	router.HandleFunc(apiPrefix+"/status", o.status)
	router.HandleFunc(apiPrefix+"/members", o.members)
	router.Handle(apiPrefix+"/events", o.events.Handler())
	router.HandleFunc(apiPrefix+"/settings", o.settings)
	router.PathPrefix(apiPrefix + "/settings/").Handler(o.follower.Handler())
	return router
}

// healthz reports that the process answers requests.
func (o *operatorAPI) healthz(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func (o *operatorAPI) hasSettings() bool { return len(o.follower.Tree().Services()) > 0 }

// canRouteCalls reports whether the node has settings and at least one upstream.
func (o *operatorAPI) canRouteCalls() bool { return o.hasSettings() && o.routes.upstreamCount() > 0 }

// readyz reports whether callers should use this node: it has settings and is not
// about to stop. It does not require upstreams, because the first node of a system
// has none.
func (o *operatorAPI) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case o.readiness.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !o.hasSettings():
		http.Error(w, "no settings yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// statusBody is the JSON encoding of a node's status.
type statusBody struct {
	Node             string    `json:"node"`
	Region           string    `json:"region"`
	AvailabilityZone string    `json:"availabilityZone"`
	Service          string    `json:"service,omitempty"`
	Running          int       `json:"running"`
	Limit            int       `json:"limit"`
	Queued           int       `json:"queued"`
	EpochSeconds     uint32    `json:"epochSeconds"`
	SettingsOffset   int64     `json:"settingsOffset"`
	Members          int       `json:"members"`
	Upstreams        int       `json:"upstreams"`
	Stopping         bool      `json:"stopping"`
	Time             time.Time `json:"time"`
}

func (o *operatorAPI) status(w http.ResponseWriter, _ *http.Request) {
	load := o.limiter.load()
	writeJSON(w, statusBody{
		Node: o.config.node, Region: o.config.region, AvailabilityZone: o.config.zone, Service: o.backend.service(),
		Running: load.Running, Limit: load.Limit, Queued: load.Queued,
		EpochSeconds: o.bookings.Epoch(time.Now()), SettingsOffset: o.follower.Offset(),
		Members: len(o.gossip.Members()), Upstreams: o.routes.upstreamCount(), Stopping: o.readiness.stopping.Load(), Time: time.Now().UTC(),
	})
}

// memberBody is the JSON encoding of one member.
type memberBody struct {
	Node             string `json:"node"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	Service          string `json:"service,omitempty"`
	State            string `json:"state"`
	Health           string `json:"health"`
	Peer             string `json:"peer"`
	Caller           string `json:"caller"`
	Operator         string `json:"operator"`
	Slots            int    `json:"slots"`
}

func (o *operatorAPI) members(w http.ResponseWriter, _ *http.Request) {
	bodies := []memberBody{}
	for _, m := range o.gossip.Members() {
		bodies = append(bodies, memberBody{
			Node: m.Node(), Region: m.Region(), AvailabilityZone: m.Zone(), Service: m.Service(),
			State: m.State().String(), Health: m.Health.String(), Peer: m.Peer(), Caller: m.Caller(),
			Operator: m.Operator(), Slots: m.Slots(),
		})
	}
	writeJSON(w, bodies)
}

func (o *operatorAPI) settings(w http.ResponseWriter, _ *http.Request) {
	tree := o.follower.Tree()
	writeJSON(w, tree)
}
