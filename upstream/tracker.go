package upstream

import (
	"sync"
	"time"
)

// maxKnownIncarnations bounds the incarnations that are remembered. A backend server is
// replaced a few hundred times a day at most, and late announcements are only seconds old.
const maxKnownIncarnations = 64

// noSequence is the sequence number of a state that was not announced to this process.
const noSequence = -1

// incarnation identifies one run of a server's process.
type incarnation struct {
	instance string
	startMs  int64
}

// incarnations is a set of a bounded number of incarnations.
type incarnations map[incarnation]struct{}

func (s incarnations) add(i incarnation) {
	if len(s) >= maxKnownIncarnations {
		clear(s)
	}
	s[i] = struct{}{}
}

func (s incarnations) has(i incarnation) bool {
	_, ok := s[i]
	return ok
}

// contender is an incarnation whose messages are contested.
type contender struct {
	incarnation
	// since is when the first of its messages arrived, and sequence the number of the last
	// one.
	since    time.Time
	sequence int64
}

// Tracker keeps the state of the backend server beside a node. It is safe for
// concurrent use.
type Tracker struct {
	service, address string

	mu     sync.Mutex
	server Server
	// left has the incarnations that have deregistered, or that were draining while another
	// one was or became the current one. Their late announcements are ignored.
	left incarnations
	// replaced has the incarnations that another one has replaced. Their announcements are
	// contested.
	replaced incarnations
	// contender is the incarnation of the last contested message.
	contender contender
}

// New returns a tracker for the server of the service at the address.
func New(service, address string) *Tracker {
	return &Tracker{service: service, address: address, left: make(incarnations), replaced: make(incarnations)}
}

// Server returns the last known state of the server.
func (t *Tracker) Server() Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server
}

// LatestStartMs returns the latest start time of the incarnations of the current instance
// that are known, in Unix milliseconds.
func (t *Tracker) LatestStartMs() (startMs int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	startMs = t.server.startMs
	for i := range t.replaced {
		if i.instance == t.server.instance {
			startMs = max(startMs, i.startMs)
		}
	}
	return startMs
}

// Apply applies an announcement that was received at the time now.
func (t *Tracker) Apply(now time.Time, a Announcement) (change Change) {
	if a.Service != t.service || a.Address != t.address {
		return Foreign
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := incarnation{a.Instance, a.StartMs}
	if t.left.has(sent) {
		return Stale
	}
	if sent == t.current() {
		return t.applyNext(now, a)
	}
	switch t.order(now, sent) {
	case newer:
	case older:
		return Stale
	default:
		// Requests state the current instance, so none is sent to another one that leaves.
		if a.State == Draining && a.Instance != t.server.instance {
			t.left.add(sent)
			return Stale
		}
		if !t.isRepeated(now, sent, a.Sequence) || a.State == Ready && t.isLeaving() {
			return Contested
		}
	}
	t.replaceServer(now, a)
	return Changed
}

// Confirm applies a contested announcement after the server has stated by a health response
// that it is the announcement's instance and not leaving.
func (t *Tracker) Confirm(now time.Time, a Announcement) (change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent := (incarnation{a.Instance, a.StartMs}); sent != t.contender.incarnation || a.Sequence < t.contender.sequence {
		return Stale
	}
	t.replaceServer(now, a)
	return Changed
}

// applyNext applies an announcement of the current incarnation. The mutex must be held.
func (t *Tracker) applyNext(now time.Time, a Announcement) (change Change) {
	if a.Sequence <= t.server.sequence {
		return Stale
	}
	t.contender = contender{}
	if a.State == t.server.state && a.Slots == t.server.slots {
		t.server.sequence, t.server.warmUpEnd = a.Sequence, now.Add(a.WarmUp)
		return Unchanged
	}
	t.setServer(now, a)
	return Changed
}

// replaceServer makes the incarnation of an announcement the current one. The mutex must be
// held.
func (t *Tracker) replaceServer(now time.Time, a Announcement) {
	before := t.current()
	switch {
	case t.server.state == Draining:
		t.left.add(before)
	case before.instance != "" && before != (incarnation{a.Instance, a.StartMs}):
		t.replaced.add(before)
	}
	delete(t.replaced, incarnation{a.Instance, a.StartMs})
	t.contender = contender{}
	t.setServer(now, a)
}

// setServer sets the state that an announcement states. The mutex must be held.
func (t *Tracker) setServer(now time.Time, a Announcement) {
	t.server = Server{
		instance: a.Instance, startMs: a.StartMs, sequence: a.Sequence, slots: a.Slots,
		state: a.State, warmUpEnd: now.Add(a.WarmUp),
	}
}

// current returns the current incarnation. The mutex must be held.
func (t *Tracker) current() incarnation { return incarnation{t.server.instance, t.server.startMs} }

// isLeaving reports whether the current incarnation is draining or has left. The mutex must
// be held.
func (t *Tracker) isLeaving() bool {
	return t.server.state == Draining || t.server.state == Gone || t.left.has(t.current())
}

// startOrder is the order of an incarnation and the current one.
type startOrder uint8

const (
	uncertain startOrder = iota
	newer
	older
)

// order returns whether an incarnation started after the current one. The mutex must be
// held.
func (t *Tracker) order(now time.Time, i incarnation) startOrder {
	current := t.server.startMs
	switch {
	case t.server.instance == "", isAhead(now, current) && !isAhead(now, i.startMs):
		return newer
	case current == 0 && i.instance != t.server.instance:
		return uncertain
	case i.startMs >= current && !t.replaced.has(i):
		return newer
	case i.startMs < current-maxClockStepBack.Milliseconds():
		return older
	default:
		return uncertain
	}
}

// isRepeated records a contested message and reports whether its incarnation has sent one
// before that is not about as late. The mutex must be held.
func (t *Tracker) isRepeated(now time.Time, i incarnation, sequence int64) (repeated bool) {
	if t.contender.incarnation != i {
		t.contender = contender{incarnation: i, since: now, sequence: sequence}
		return false
	}
	repeated = sequence > t.contender.sequence && now.Sub(t.contender.since) >= minRepeatInterval
	t.contender.sequence = max(t.contender.sequence, sequence)
	return repeated
}

// isAhead reports whether a start time can't be that of a process by the clock of this node.
func isAhead(now time.Time, startMs int64) bool {
	return startMs > now.Add(maxStartAhead).UnixMilli()
}

// Deregister records that an instance has deregistered, in a message that was received at
// the time now. startMs is the start time of the incarnation, or 0 if the message did not
// state it; the current incarnation of the instance is then assumed.
func (t *Tracker) Deregister(now time.Time, instance string, startMs int64) (change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if startMs == 0 && t.server.instance == instance {
		startMs = t.server.startMs
	}
	sent := incarnation{instance, startMs}
	switch {
	case t.left.has(sent), isAhead(now, startMs) && sent != t.current():
		return Stale
	case sent != t.current() && t.server.instance == instance:
		if change = t.orderLeave(now, sent); change != Changed {
			return change
		}
	case sent != t.current() && (t.server.state == Ready || t.server.state == Draining || startMs <= t.server.startMs):
		t.left.add(sent)
		return Stale
	}
	t.left.add(sent)
	t.replaceServer(now, Announcement{Instance: instance, StartMs: startMs, Slots: t.server.slots, State: Gone})
	return Changed
}

// orderLeave decides on the deregistration of another incarnation of the current instance.
// The mutex must be held.
func (t *Tracker) orderLeave(now time.Time, sent incarnation) (change Change) {
	order := t.order(now, sent)
	switch {
	case order == newer:
		return Changed
	case order == older || t.isLeaving():
		t.left.add(sent)
		return Stale
	// A deregistration has no sequence number. The server repeats it until it is
	// acknowledged.
	case !t.isRepeated(now, sent, t.contender.sequence+1):
		return Contested
	default:
		return Changed
	}
}

// Restore sets a state that was not announced to this process: one that an earlier
// process of this node recorded, or that the server reported in response to a health
// request. Unknown states only which incarnation was the last one. Restore never replaces
// the state of an announcement, except that an incarnation that has deregistered stays gone.
func (t *Tracker) Restore(instance string, startMs int64, slots int, state State) (change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	restored := incarnation{instance, startMs}
	if state == Gone {
		t.left.add(restored)
		switch {
		case t.server.state == Unknown:
			t.server = Server{instance: instance, startMs: startMs, sequence: noSequence, slots: slots}
		case t.server.instance == instance && t.server.startMs <= startMs && t.server.state != Gone:
			t.server.startMs, t.server.state = startMs, Gone
			return Changed
		}
		return Unchanged
	}
	replacesGone := t.server.state == Gone && t.server.instance != instance
	if t.server.state != Unknown && !replacesGone || t.left.has(restored) {
		return Stale
	}
	if instance == t.server.instance {
		startMs = max(startMs, t.server.startMs)
	}
	t.server = Server{instance: instance, startMs: startMs, sequence: noSequence, slots: slots, state: state}
	return Changed
}
