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
//
// Start times order incarnations only if the server's clock was not set back between them,
// by seconds or more. An announcement of an incarnation that started shortly before the
// current one, by its own account, is contested: it may be late, or the server may have
// started again after its clock was set back. It takes effect if the server confirms by a
// health response which instance it is, or if the incarnation repeats it while the current
// one is quiet. A leave that is contested must not be acknowledged.
//
// An acknowledged leave binds all later processes of the node, also those that nobody can tell
// of it: the log may be unavailable until all processes that know of it have ended. What a
// server said before may arrive afterwards and does not show when it was said. A process that
// may have had an earlier one therefore contests each announcement that a server is ready until
// one is confirmed. The same holds for one instance after a leave that did not state which
// incarnation it was of.
package upstream

import (
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
	// maxClockStepBack is by how much a clock may be set back between two incarnations of a
	// server. Those that started earlier than that before the current one are older.
	maxClockStepBack = time.Minute
	// minRepeatInterval is the time after which a repeated message shows that its sender is
	// running. Servers send one every 1.5 s, and late ones arrive together.
	minRepeatInterval = time.Second
	// maxMessageDelay bounds how late a message of a server arrives.
	maxMessageDelay = 10 * time.Second
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
	// Contested means that the message has no effect yet, because it is unknown whether its
	// incarnation is older or newer than the current one.
	Contested
)

var changeNames = [...]string{Unchanged: "unchanged", Changed: "changed", Stale: "stale", Foreign: "foreign", Contested: "contested"}

// String implements fmt.Stringer.
func (c Change) String() string {
	if int(c) < len(changeNames) {
		return changeNames[c]
	}
	return "invalid"
}
