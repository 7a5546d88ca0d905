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
	"github.com/lacewingslip/lacewingslip/framing"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/membership"
)

const (
	// backendIdleTimeout is shorter than the idle timeout of common servers, so
	// that calls are rarely sent on a connection that the backend server is about to
	// close.
	backendIdleTimeout = 4 * time.Second
	// maxConnectFailures is the number of consecutive refused connections after
	// which the backend server is considered down.
	maxConnectFailures = 3
	probeTimeout       = 200 * time.Millisecond
	// maxAnnouncementBytes is the maximum size of an announcement.
	maxAnnouncementBytes = 4 << 10
)

// backendServer tracks the state of the backend server beside this node.
type backendServer struct {
	limiter *limiter
	members selfMember
	events  recorder

	mu        sync.RWMutex
	announced announcement
	client    *framing.Transport
	// connections is the limit of client, or 0 if it has none.
	connections int
	// connectFailures counts refused connections since the last announcement or
	// successful probe.
	connectFailures int
	// deregistered is true once the backend server has drained and deregistered.
	deregistered bool

	// applySettings applies the limits of the announced service.
	applySettings func()

	// stopping is true once the node itself is stopping.
	stopping atomic.Bool
}

// selfMember updates this node's own entry in the membership table.
type selfMember interface {
	Announce(backend membership.Backend)
	SetState(state membership.State)
}

// announcement is the JSON body with which a backend server announces itself.
type announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	// Slots and Connections are the limits that the backend server itself sets; 0
	// means none. If the settings allow fewer slots, their limit applies.
	// Connections is used in place of the limit in the settings.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Instance is different for each process of the backend server, so that a late
	// announcement of a process that has deregistered is not mistaken for one of the
	// process that replaced it.
	Instance string `json:"instance,omitempty"`
}

// readAnnouncement parses and checks an announcement. Unknown keys are errors, so
// that misspelt keys are detected.
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
	if err = hop.CheckAddress(a.Address); err != nil {
		return fmt.Errorf("address %.80q is not host:port: %w", a.Address, err)
	}
	if a.Slots < 0 || a.Connections < 0 {
		return fmt.Errorf("slots and connections must not be negative")
	}
	return membership.Backend{Service: a.Service, Slots: a.Slots}.Check()
}

func (b *backendServer) service() string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.announced.Service
}

// slotLimit returns the smaller of the limits in the settings and the announcement.
func (b *backendServer) slotLimit(configured int) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.announced.Slots > 0 {
		return min(configured, b.announced.Slots)
	}
	return configured
}

// applyConnectionLimit applies the limit of the settings if the announcement has
// none.
func (b *backendServer) applyConnectionLimit(configured int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.client == nil || b.announced.Connections > 0 || b.connections == configured {
		return
	}
	// Requests in progress end on the connections of the old transport.
	old := b.client
	b.setTransport(configured)
	old.CloseIdleConnections()
}

// setTransport replaces the transport. The mutex must be held.
func (b *backendServer) setTransport(connections int) {
	b.client, b.connections = newTransport(connections, backendIdleTimeout), connections
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

// announce serves POST /lacewingslip/v1/announcement. A backend server repeats its
// announcement, so that a restarted node receives it too.
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
	isNew, deregistered := b.register(a)
	if deregistered {
		http.Error(w, "announcement: this instance has deregistered", http.StatusConflict)
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

// register records the announcement. It reports whether the backend server is new,
// and whether this instance has already deregistered. A repeated announcement does
// not end a drain, because it was sent before the request to deregister.
func (b *backendServer) register(a announcement) (isNew, deregistered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unchanged := a == b.announced
	if unchanged && (!b.deregistered || a.Instance != "") {
		return false, b.deregistered
	}
	if b.client != nil {
		b.client.CloseIdleConnections()
	}
	b.announced, b.deregistered, b.connectFailures = a, false, 0
	b.setTransport(a.Connections)
	b.limiter.restart()
	return true, false
}

// callFailed records a call that the backend server did not answer. After
// maxConnectFailures consecutive refused connections, the backend server is
// considered down although it has announced itself.
func (b *backendServer) callFailed(sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sent || b.deregistered {
		return
	}
	b.connectFailures++
	if b.connectFailures == maxConnectFailures {
		b.members.SetState(membership.Starting)
		b.events.Record(event.BackendUnreachable, attrService(b.announced.Service))
	}
}

// probe checks whether a backend server that was down accepts connections again.
func (b *backendServer) probe() {
	b.mu.RLock()
	address, down := b.announced.Address, b.connectFailures >= maxConnectFailures && !b.deregistered
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

// deregister serves DELETE /lacewingslip/v1/announcement. It starts to refuse new
// calls, and answers after the last call in progress has ended, so that the backend
// server knows when it may exit.
func (b *backendServer) deregister(w http.ResponseWriter, r *http.Request) {
	// A drain takes as long as the longest call, so the read deadline must not interrupt it.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	drained := b.drain()
	select {
	case <-drained:
		b.mu.Lock()
		b.deregistered = true
		b.mu.Unlock()
		b.members.SetState(membership.Gone)
		b.events.Record(event.BackendDrained, attrService(b.service()))
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done():
	}
}

// drain starts to refuse new calls and announces this to the other nodes.
func (b *backendServer) drain() (drained <-chan struct{}) {
	drained = b.limiter.drain()
	b.members.SetState(membership.Draining)
	b.events.Record(event.BackendDraining, attrService(b.service()))
	return drained
}

// newTransport returns a transport that does not decompress bodies, refuses malformed answers,
// and opens at most the given number of connections to one address; 0 means no limit.
func newTransport(connections int, idle time.Duration) *framing.Transport {
	return framing.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression:  true,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: maxIdlePerHost(connections),
		IdleConnTimeout:     idle,
	})
}

// maxIdlePerHost returns the number of idle connections to keep: as many as may be
// open, because opening one takes about 1 ms.
func maxIdlePerHost(connections int) int {
	if connections == 0 {
		return 256
	}
	return connections
}
