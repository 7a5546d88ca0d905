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

// readiness says whether the node should get calls from callers.
type readiness struct {
	stopping atomic.Bool
}

// operator serves what operators and their tools ask of a node.
type operator struct {
	file     File
	follower *settings.Follower
	gossip   *membership.Gossip
	gate     *gate
	bookings *booking.Ledger
	backend  *backendServer
	routes   *routes
	metrics  *metrics.Metrics
	events   *timeline.Recorder
	ready    *readiness
}

func newOperator(file File, f *settings.Follower, g *membership.Gossip, gate *gate, b *booking.Ledger,
	backend *backendServer, r *routes, m *metrics.Metrics, events *timeline.Recorder,
) *operator {
	return &operator{
		file: file, follower: f, gossip: g, gate: gate, bookings: b, backend: backend, routes: r, metrics: m,
		events: events, ready: &readiness{},
	}
}

func (o *operator) router() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", o.health)
	router.HandleFunc("/readyz", o.readyz)
	router.Handle("/metrics", o.metrics.Handler())
	router.HandleFunc(apiPrefix+"/status", o.status)
	router.HandleFunc(apiPrefix+"/members", o.members)
	router.Handle(apiPrefix+"/events", o.events.Handler())
	router.HandleFunc(apiPrefix+"/settings", o.settings)
	router.PathPrefix(apiPrefix + "/settings/").Handler(o.follower.Handler())
	return router
}

// health says that the process answers.
func (o *operator) health(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func (o *operator) hasSettings() bool { return len(o.follower.Tree().Services()) > 0 }

// canCarry reports whether the node knows the settings and where to send calls.
func (o *operator) canCarry() bool { return o.hasSettings() && o.routes.count() > 0 }

// readyz says whether callers should use this node: it has settings and is not
// about to stop. It does not wait for backend servers, since the first node of a
// system has none to know.
func (o *operator) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case o.ready.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !o.hasSettings():
		http.Error(w, "no settings yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// statusBody is the JSON form of a node's status.
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

func (o *operator) status(w http.ResponseWriter, _ *http.Request) {
	load := o.gate.load()
	writeJSON(w, statusBody{
		Node: o.file.node, Region: o.file.region, AvailabilityZone: o.file.zone, Service: o.backend.service(),
		Running: load.Running, Limit: load.Limit, Queued: load.Queued,
		EpochSeconds: o.bookings.Epoch(time.Now()), SettingsOffset: o.follower.Offset(),
		Members: len(o.gossip.Members()), Upstreams: o.routes.count(), Stopping: o.ready.stopping.Load(), Time: time.Now().UTC(),
	})
}

// memberBody is the JSON form of one entry of the membership table.
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

func (o *operator) members(w http.ResponseWriter, _ *http.Request) {
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

func (o *operator) settings(w http.ResponseWriter, _ *http.Request) {
	tree := o.follower.Tree()
	writeJSON(w, tree)
}
