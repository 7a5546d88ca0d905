package node

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/membership"
)

const (
	// backendIdleTimeout is shorter than the idle timeout of common servers, so that
	// calls rarely meet a connection that the backend server is just closing.
	backendIdleTimeout = 4 * time.Second
	// maxConnectFailures is how many refused connections in a row mean that the
	// backend server is down.
	maxConnectFailures = 3
	probeTimeout       = 200 * time.Millisecond
	// maxAnnouncementBytes bounds the body of an announcement, in bytes.
	maxAnnouncementBytes = 4 << 10
)

// backendServer is what this node knows of the backend server beside it.
type backendServer struct {
	limiter *limiter
	members selfMember
	events  recorder

	mu        sync.RWMutex
	announced announcement
	client    *http.Transport
	// failures counts refused connections since the last announcement or probe.
	connectFailures int
	// gone is true once the backend server has left.
	left bool

	// applySettings takes over the limits of the announced service.
	applySettings func()

	// stopping is true once the node itself stops.
	stopping atomic.Bool
}

// selfMember is this node's own entry in the membership table.
type selfMember interface {
	Announce(backend membership.Backend)
	SetState(state membership.State)
}

// announcement is the JSON body with which a backend server announces itself.
type announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	// Slots and Connections are the backend server's own bounds. Those of the
	// settings go first.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Instance differs between two processes of the backend server, so that a
	// late announcement of one that has left is told from a new one.
	Instance string `json:"instance,omitempty"`
}

// readAnnouncement reads and checks an announcement. Unknown keys are errors, so
// that a misspelt one does not go unnoticed.
func readAnnouncement(body io.Reader) (a announcement, err error) {
	defer func() { err = eris.Wrap(err, "announcement") }()
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(&a); err != nil {
		return announcement{}, err
	}
	return a, a.check()
}

func (a announcement) check() (err error) {
	if a.Service == "" {
		return fmt.Errorf("service is missing")
	}
	if _, _, err = net.SplitHostPort(a.Address); err != nil {
		return fmt.Errorf("address %q is not host:port: %w", a.Address, err)
	}
	if a.Slots < 0 || a.Connections < 0 {
		return fmt.Errorf("slots and connections must not be negative")
	}
	return nil
}

func (b *backendServer) service() string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.announced.Service
}

// slotLimit gives the smaller of the bounds that settings and announcement state.
func (b *backendServer) slotLimit(configured int) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.announced.Slots > 0 {
		return min(configured, b.announced.Slots)
	}
	return configured
}

// applyConnectionLimit takes over the bound of the settings, where the
// announcement states none.
func (b *backendServer) applyConnectionLimit(configured int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.client == nil || b.announced.Connections > 0 || b.client.MaxConnsPerHost == configured {
		return
	}
	// The old transport keeps its requests in progress and closes when they end.
	old := b.client
	b.client = newTransport(configured, backendIdleTimeout)
	old.CloseIdleConnections()
}

func (b *backendServer) address() string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.announced.Address
}

func (b *backendServer) transport() http.RoundTripper {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.client
}

// announce serves POST /lacewingslip/v1/announcement. A backend server repeats
// its announcement, so that a node that was restarted hears of it.
func (b *backendServer) announce(w http.ResponseWriter, r *http.Request) {
	a, err := readAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if b.stopping.Load() {
		http.Error(w, "announcement: the node is stopping", http.StatusServiceUnavailable)
		return
	}
	isNew, left := b.register(a)
	if left {
		http.Error(w, "announcement: this instance has left", http.StatusConflict)
		return
	}
	if isNew {
		b.members.Announce(membership.Backend{Service: a.Service, Slots: a.Slots})
		b.members.SetState(membership.Ready)
		b.applySettings()
		b.events.Record(event.BackendAnnounced, attrService(a.Service), slog.String("address", a.Address))
	}
	w.WriteHeader(http.StatusNoContent)
}

// register records the announcement and reports whether the backend server is new,
// or whether this instance has left. A repeat while it drains does not undo the drain: it was sent before the leave.
func (b *backendServer) register(a announcement) (isNew, left bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unchanged := a == b.announced
	if unchanged && (!b.left || a.Instance != "") {
		return false, b.left
	}
	if b.client != nil {
		b.client.CloseIdleConnections()
	}
	b.announced, b.left, b.connectFailures = a, false, 0
	b.client = newTransport(a.Connections, backendIdleTimeout)
	b.limiter.restart()
	return true, false
}

// callFailed notes a call that the backend server did not answer. Several refused
// connections in a row mean that it is down, whatever it announced.
func (b *backendServer) callFailed(sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sent || b.left {
		return
	}
	b.connectFailures++
	if b.connectFailures == maxConnectFailures {
		b.members.SetState(membership.Starting)
		b.events.Record(event.BackendUnreachable, attrService(b.announced.Service))
	}
}

// probe looks whether a backend server that was down accepts connections again.
func (b *backendServer) probe() {
	b.mu.RLock()
	address, down := b.announced.Address, b.connectFailures >= maxConnectFailures && !b.left
	b.mu.RUnlock()
	if !down || b.stopping.Load() {
		return
	}
	connection, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return
	}
	connection.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connectFailures = 0
	b.members.SetState(membership.Ready)
	b.events.Record(event.BackendReachable, attrService(b.announced.Service))
}

// leave serves DELETE /lacewingslip/v1/announcement. New work is refused from
// here on; the answer comes when the last call in progress has ended, so that
// the backend server knows that it may exit.
func (b *backendServer) leave(w http.ResponseWriter, r *http.Request) {
	// A drain lasts as long as the longest call, so the read deadline must not end it.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	drained := b.drain()
	select {
	case <-drained:
		b.mu.Lock()
		b.left = true
		b.mu.Unlock()
		b.members.SetState(membership.Gone)
		b.events.Record(event.BackendDrained, attrService(b.service()))
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done():
	}
}

// drain refuses new work and tells the other nodes.
func (b *backendServer) drain() (drained <-chan struct{}) {
	drained = b.limiter.drain()
	b.members.SetState(membership.Draining)
	b.events.Record(event.BackendDraining, attrService(b.service()))
	return drained
}

// newTransport returns a transport that leaves bodies as they are and opens at
// most the given number of connections to one address; 0 means no bound.
func newTransport(connections int, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression:  true,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: maxIdlePerHost(connections),
		IdleConnTimeout:     idle,
	}
}

// maxIdlePerHost keeps as many connections as may be open, since opening one
// takes about 1 ms.
func maxIdlePerHost(connections int) int {
	if connections == 0 {
		return 256
	}
	return connections
}
