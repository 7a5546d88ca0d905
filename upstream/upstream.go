// Package upstream tracks the backend server beside a node from the server's
// announcements: which incarnation of the server is running, whether it accepts
// new requests, and how many it runs at once.
//
// # Usage
//
//	tracker := upstream.New("orders", "10.1.0.8:8301")
//	change := tracker.Apply(time.Now(), announcement)
//	server := tracker.Server()
//	if server.TakesWork() { ... }
//
// An incarnation is one run of the server's process, from start to exit. It is
// identified by the server's ID and the start time of the process. Announcements may
// arrive late and out of order, also from an earlier incarnation at the same address.
// The tracker never replaces newer information with older information, except that a
// start that lies in the future does not hide an earlier one.
package upstream

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxStartMs bounds a start time in Unix milliseconds. Later starts must still have a
	// higher one, and a clock may be set wrong by years.
	MaxStartMs int64 = 1 << 52
	// maxSequence bounds the number of an announcement, so that later ones have a higher one.
	maxSequence int64 = 1 << 52
	// maxSlots bounds how many requests a server can run at once.
	maxSlots = 1 << 20
	// maxStartAhead is how far a start time may be ahead of the node's clock. Later ones
	// result from a clock that was set back, or from another writer.
	maxStartAhead = time.Minute
	// maxTextBytes bounds each text of an announcement or a record.
	maxTextBytes = 1 << 10
)

// CheckBounds returns an error if the start time, the slots or the texts of an announcement
// or a record have values that no server has.
func CheckBounds(startMs int64, slots int, texts ...string) (err error) {
	if startMs < 0 || startMs > MaxStartMs {
		return eris.Errorf("expected a start time of 0 to %d ms, got %d", MaxStartMs, startMs)
	}
	if slots < 0 || slots > maxSlots {
		return eris.Errorf("expected 0 to %d slots, got %d", maxSlots, slots)
	}
	for _, text := range texts {
		if len(text) > maxTextBytes {
			return eris.Errorf("expected texts of at most %d bytes, got %.80q with %d", maxTextBytes, text, len(text))
		}
	}
	return nil
}

// State is the state that a backend server announces.
type State uint8

const (
	// Unknown means that no announcement has been received yet.
	Unknown State = iota
	// Ready means that the server accepts new requests.
	Ready
	// Draining means that the server is shutting down and accepts no new requests.
	Draining
	// Gone means that the server has deregistered. It is final for an incarnation.
	Gone
)

var stateNames = [...]string{Unknown: "unknown", Ready: "ready", Draining: "draining", Gone: "gone"}

// String implements fmt.Stringer.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Announcement describes a backend server at one point in time, as sent by the
// server.
type Announcement struct {
	// Instance is the server's ID. A restarted server may reuse it.
	Instance string
	// StartMs is the start time of the server's process in Unix milliseconds by the
	// server's clock. Together with Instance it identifies an incarnation.
	StartMs int64
	// Sequence increases with each announcement of an incarnation.
	Sequence int64
	Service  string
	Address  string
	Zone     string
	Slots    int
	State    State
	// WarmUp is how much longer the server remains slow after its start.
	WarmUp time.Duration
}

// Check returns an error if the announcement has values that no server announces.
func (a Announcement) Check() (err error) {
	if a.Sequence < 0 || a.Sequence > maxSequence {
		return eris.Errorf("expected a sequence number of 0 to %d, got %d", maxSequence, a.Sequence)
	}
	return CheckBounds(a.StartMs, a.Slots, a.Instance, a.Service, a.Address, a.Zone)
}

// Server is the last known state of the backend server.
type Server struct {
	instance  string
	startMs   int64
	sequence  int64
	slots     int
	state     State
	warmUpEnd time.Time
}

// Instance returns the server's ID, or "" if it is unknown.
func (s Server) Instance() string { return s.instance }

// StartMs returns the start time of the incarnation in Unix milliseconds.
func (s Server) StartMs() int64 { return s.startMs }

// Slots returns how many requests the server can run at once.
func (s Server) Slots() int { return s.slots }

// State returns the last known state.
func (s Server) State() State { return s.state }

// WarmUpEnd returns when the server's warm-up ends.
func (s Server) WarmUpEnd() time.Time { return s.warmUpEnd }

// TakesWork reports whether new requests may be sent to the server.
func (s Server) TakesWork() bool { return s.state == Ready && s.slots > 0 }

// Change is the effect of a message on the tracked state.
type Change uint8

const (
	// Unchanged means that the message matches the known state.
	Unchanged Change = iota
	// Changed means that the server, its state or its number of slots has changed.
	Changed
	// Stale means that the message is older than the known state.
	Stale
	// Foreign means that the announcement is for another service or address.
	Foreign
)

var changeNames = [...]string{Unchanged: "unchanged", Changed: "changed", Stale: "stale", Foreign: "foreign"}

// String implements fmt.Stringer.
func (c Change) String() string {
	if int(c) < len(changeNames) {
		return changeNames[c]
	}
	return "invalid"
}

// Tracker keeps the state of the backend server beside a node. It is safe for
// concurrent use.
type Tracker struct {
	service, address string

	mu     sync.Mutex
	server Server
	// deregistered has the start time of the last deregistered incarnation of each
	// instance. Late announcements of that and earlier incarnations are ignored.
	deregistered map[string]int64
}

// maxDeregistered bounds the deregistered instances that are remembered. A backend
// server is replaced a few hundred times a day at most, and late announcements are
// only seconds old.
const maxDeregistered = 64

// New returns a tracker for the server of the service at the address.
func New(service, address string) *Tracker {
	return &Tracker{service: service, address: address, deregistered: make(map[string]int64)}
}

// Server returns the last known state of the server.
func (t *Tracker) Server() Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server
}

// Apply applies an announcement that was received at the time now.
func (t *Tracker) Apply(now time.Time, a Announcement) (change Change) {
	if a.Service != t.service || a.Address != t.address {
		return Foreign
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if startMs, ok := t.deregistered[a.Instance]; ok && a.StartMs <= startMs {
		return Stale
	}
	s := t.server
	sameIncarnation := s.instance == a.Instance && s.startMs == a.StartMs
	switch {
	case s.startMs > a.StartMs && (!isAhead(now, s.startMs) || isAhead(now, a.StartMs)), sameIncarnation && a.Sequence <= s.sequence:
		return Stale
	case sameIncarnation && a.State == s.state && a.Slots == s.slots:
		t.server.sequence = a.Sequence
		t.server.warmUpEnd = now.Add(a.WarmUp)
		return Unchanged
	}
	t.server = Server{
		instance: a.Instance, startMs: a.StartMs, sequence: a.Sequence, slots: a.Slots,
		state: a.State, warmUpEnd: now.Add(a.WarmUp),
	}
	return Changed
}

// isAhead reports whether a start time can't be that of a process by the clock of this node.
func isAhead(now time.Time, startMs int64) bool {
	return startMs > now.Add(maxStartAhead).UnixMilli()
}

// Deregister records that an instance has deregistered. startMs is the start time of the
// incarnation, or 0 if the message did not state it; the current incarnation of the
// instance is then assumed.
func (t *Tracker) Deregister(instance string, startMs int64) (change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.server.instance == instance
	if startMs == 0 && current {
		startMs = t.server.startMs
	}
	if isAhead(time.Now(), startMs) && (!current || startMs != t.server.startMs) {
		return Stale
	}
	if len(t.deregistered) >= maxDeregistered {
		clear(t.deregistered)
	}
	t.deregistered[instance] = max(startMs, t.deregistered[instance])
	if (t.server.state == Unknown || t.server.state == Gone) && startMs > t.server.startMs {
		t.server = Server{instance: instance, startMs: startMs, state: Gone}
		return Changed
	}
	if !current || startMs < t.server.startMs || t.server.state == Gone {
		return Stale
	}
	t.server.state = Gone
	return Changed
}

// Restore sets a state that was not announced to this process: one that an earlier
// process of this node recorded, or that the server reported in response to a health
// request. It never replaces the state of an announcement, except that an instance that
// has deregistered stays gone.
func (t *Tracker) Restore(instance string, startMs int64, slots int, state State) (change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == Gone {
		t.deregistered[instance] = max(startMs, t.deregistered[instance])
		switch {
		case t.server.state == Unknown:
			t.server = Server{instance: instance, startMs: startMs, slots: slots}
		case t.server.instance == instance && t.server.startMs <= startMs && t.server.state != Gone:
			t.server.state = Gone
			return Changed
		}
		return Unchanged
	}
	if replaced := t.server.state == Gone && t.server.instance != instance; t.server.state != Unknown && !replaced {
		return Stale
	}
	if known, ok := t.deregistered[instance]; ok && startMs <= known {
		return Stale
	}
	t.server = Server{instance: instance, startMs: startMs, slots: slots, state: state}
	return Changed
}
