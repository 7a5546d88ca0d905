// Package upstream tracks the backend server beside a node by what it announces
// of itself: which lifetime is running, whether it takes work, and how much.
//
// # Usage
//
//	tracker := upstream.New("orders", "10.1.0.8:8301")
//	change := tracker.Announce(announcement)
//	server := tracker.Server()
//	if server.TakesWork() { ... }
//
// Announcements may arrive late and out of order, also from an earlier lifetime
// at the same address. The tracker never goes back to older news.
package upstream

import (
	"sync"
	"time"
)

// State is what a backend server says about itself.
type State uint8

const (
	// Unknown means that nothing has been announced yet.
	Unknown State = iota
	// Ready means that the server takes work.
	Ready
	// Draining means that the server is about to leave and takes no new work.
	Draining
	// Gone means that the server has signed off. It is final for a lifetime.
	Gone
)

var stateNames = [...]string{Unknown: "unknown", Ready: "ready", Draining: "draining", Gone: "gone"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Announcement is what a backend server says about itself at one moment.
type Announcement struct {
	// Instance is the server's ID. A restarted server may keep it.
	Instance string
	// Born is the start of the lifetime in Unix milliseconds by the server's
	// clock. With Instance it names a lifetime.
	Born int64
	// Sequence grows with each announcement of a lifetime.
	Sequence int64
	Service  string
	Address  string
	Zone     string
	Slots    int
	State    State
	// WarmUp is how much longer the server stays slow after its start.
	WarmUp time.Duration
}

// Server is the present knowledge about the backend server.
type Server struct {
	instance string
	born     int64
	sequence int64
	slots    int
	state    State
	warmTill time.Time
}

// Instance returns the server's ID, or "" if it is not known.
func (s Server) Instance() string { return s.instance }

// Born returns the start of the lifetime in Unix milliseconds.
func (s Server) Born() int64 { return s.born }

// Slots returns how many requests the server runs at once.
func (s Server) Slots() int { return s.slots }

// State returns what the server said last.
func (s Server) State() State { return s.state }

// WarmTill returns when the slow time after the server's start ends.
func (s Server) WarmTill() time.Time { return s.warmTill }

// TakesWork reports whether the server may be sent new requests.
func (s Server) TakesWork() bool { return s.state == Ready && s.slots > 0 }

// Change says what an announcement did.
type Change uint8

const (
	// Unchanged means that the announcement said nothing new.
	Unchanged Change = iota
	// Changed means that the server, its state or its slots are other ones now.
	Changed
	// Stale means that the announcement was older than what is known.
	Stale
	// Foreign means that the announcement names another service or address.
	Foreign
)

var changeNames = [...]string{Unchanged: "unchanged", Changed: "changed", Stale: "stale", Foreign: "foreign"}

// String returns the change's name.
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
	// gone holds the last lifetime of each instance that has signed off. Its
	// late announcements are ignored.
	gone map[string]int64
}

// maxGone bounds the remembered lifetimes. A backend server is replaced a few
// hundred times a day at most, and late announcements are seconds old.
const maxGone = 64

// New returns a tracker for the server of the service at the address.
func New(service, address string) *Tracker {
	return &Tracker{service: service, address: address, gone: make(map[string]int64)}
}

// Server returns the present knowledge.
func (t *Tracker) Server() Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server
}

// Announce takes an announcement in at the time now.
func (t *Tracker) Announce(now time.Time, a Announcement) (change Change) {
	if a.Service != t.service || a.Address != t.address {
		return Foreign
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if born, ok := t.gone[a.Instance]; ok && a.Born <= born {
		return Stale
	}
	s := t.server
	sameLife := s.instance == a.Instance && s.born == a.Born
	switch {
	case s.born > a.Born, sameLife && a.Sequence <= s.sequence:
		return Stale
	case sameLife && a.State == s.state && a.Slots == s.slots:
		t.server.sequence = a.Sequence
		t.server.warmTill = now.Add(a.WarmUp)
		return Unchanged
	}
	t.server = Server{
		instance: a.Instance, born: a.Born, sequence: a.Sequence, slots: a.Slots,
		state: a.State, warmTill: now.Add(a.WarmUp),
	}
	return Changed
}

// Leave takes in that the instance has signed off. Born is 0 if the message did
// not say which lifetime it is about.
func (t *Tracker) Leave(instance string, born int64) (change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.server.instance == instance
	if born == 0 && known {
		born = t.server.born
	}
	if len(t.gone) >= maxGone {
		clear(t.gone)
	}
	t.gone[instance] = max(born, t.gone[instance])
	if !known || born < t.server.born || t.server.state == Gone {
		return Stale
	}
	t.server.state = Gone
	return Changed
}

// Restore takes in what an earlier process of this node had recorded, or what
// the server itself says when asked. It never replaces an announcement.
func (t *Tracker) Restore(instance string, born int64, slots int, state State) (change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server.state != Unknown {
		return Stale
	}
	if state == Gone {
		t.gone[instance] = max(born, t.gone[instance])
		return Unchanged
	}
	t.server = Server{instance: instance, born: born, slots: slots, state: state}
	return Changed
}
