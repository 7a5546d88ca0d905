// Package levelquery decides when a node asks other nodes for the pressure levels of routes, and
// how long their answers count.
//
// Responses report the level of their route. A node that has recorded a level above 0 refuses
// requests, so few responses remain to report that the level has fallen. It then asks a node that
// serves the route. That node answers from what it knows of the routes that it calls, and asks
// for these in the same way while it is asked.
//
// A question is held by the node that is asked until the level has fallen, so that few messages are
// sent while an overload lasts and its end is known at once.
//
// The package is designed for 1,100 nodes, 39 services and a few hundred routes.
//
// # Usage
//
//	table.RecordResponse(now, target)
//	for _, target := range table.Due(now, targetsWithLevel) { ask a node }
//	table.RecordAnswer(now, target, known, hold)
//
// The node that is asked:
//
//	if !table.Want(now, target, path...) { answer that nothing is known }
//	held := levelquery.Hold(now, recorded, hold)
//	if held.Due(now, level, table.Known(now, target)) { answer with the level }
package levelquery

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingslip/lacewingslip/pressure"
)

const (
	// MinHold is the least time for which a node holds a question while the level does not fall.
	MinHold = 800 * time.Millisecond
	// MaxHold is the longest such time. Levels that answers state do not decay while a question is
	// held, so lost messages are noticed later by that time.
	MaxHold = 3 * time.Second
	// holdPerNode is the hold for each node that asks a node: each of these then sends and
	// receives some twelve messages a second for a route, or 4 KB.
	holdPerNode = 80 * time.Millisecond
	// AnswerTime is the longest time from the end of a hold to the answer.
	AnswerTime = 200 * time.Millisecond
	// heldFall is the fall of the level that ends a hold, and lateFall the distance from the
	// level that the asking node has recorded.
	heldFall, lateFall = 0.1, 0.25
	// questionsPerS and questionBurst limit the questions that a node sends to ten in any second.
	questionsPerS, questionBurst = 8, 2
	// minSilence is the least time without response and answer after which a node asks. The
	// time is random and at most twice as long, so that questions are spread.
	minSilence = 75 * time.Millisecond
	// questionTimeout is how long a question counts as open at the most.
	questionTimeout = MaxHold + 2*AnswerTime
	// knownTime is for how long a response or answer states the level. It includes a question
	// that is held.
	knownTime = 1500 * time.Millisecond
	// wantTime is for how long a node asks for a target after it has been asked for it.
	wantTime = time.Second
	// maxPath bounds the routes in the path of a question. The longest chains have 26 calls.
	maxPath = 32
	// forgetTime is the time without any event after which a target is forgotten.
	forgetTime = 10 * time.Second
	// maxTargets bounds the targets in memory.
	maxTargets = 4096
	// unsupportedTime is how long a node that has not answered, as one of an earlier version, is
	// not asked again.
	unsupportedTime = time.Second
)

// Table has what a node knows of the sources of levels. It is not safe for concurrent use.
type Table struct {
	random      func() float64
	targets     map[pressure.Target]*target
	unsupported map[string]time.Time
	// tokens is the number of questions that may be sent now.
	tokens     float64
	refilledAt time.Time
}

type target struct {
	// heardAt is when a response or answer last stated the level, and silence the time after
	// that at which the node asks.
	heardAt time.Time
	silence time.Duration
	// askedAt is when the last question was sent, and open is true until it is answered.
	askedAt     time.Time
	open        bool
	wantedUntil time.Time
	// path has the routes whose levels are asked for while the target is wanted.
	path []string
	// knownUntil is until when the latest response or answer states the level.
	knownUntil time.Time
}

// New returns an empty table. random returns numbers from 0 to 1.
func New(random func() float64) *Table {
	return &Table{random: random, targets: make(map[pressure.Target]*target), unsupported: make(map[string]time.Time)}
}

func (t *Table) target(at pressure.Target) *target {
	state := t.targets[at]
	if state == nil {
		if len(t.targets) >= maxTargets {
			return nil
		}
		state = &target{}
		t.targets[at] = state
	}
	return state
}

func (t *Table) heard(now time.Time, state *target, until time.Time) {
	state.heardAt = now
	state.silence = time.Duration(float64(minSilence) * (1 + t.random()))
	if until.After(state.knownUntil) {
		state.knownUntil = until
	}
}

// RecordResponse records that a response has stated the level of the target.
func (t *Table) RecordResponse(now time.Time, at pressure.Target) {
	if state := t.target(at); state != nil {
		t.heard(now, state, now.Add(knownTime))
	}
}

// RecordAnswer records an answer to a question that was held for up to the given time, and
// whether it states a level.
func (t *Table) RecordAnswer(now time.Time, at pressure.Target, known bool, hold time.Duration) {
	state := t.target(at)
	if state == nil {
		return
	}
	state.open = false
	if known {
		t.heard(now, state, now.Add(max(InformedTime(hold), knownTime)))
	}
}

// Want records that another node has asked for something that depends on the target. path has the
// routes whose levels depend on the answer, the one that was asked for first at the beginning. If
// the target is among them, Want records nothing and reports false: services that call each other
// would ask without end, and each would state the level that the other one has stated.
func (t *Table) Want(now time.Time, at pressure.Target, path ...string) (ok bool) {
	if len(path) > maxPath || slices.Contains(path, at.Route) {
		return false
	}
	if state := t.target(at); state != nil {
		state.wantedUntil, state.path = now.Add(wantTime), path
	}
	return true
}

// Path returns the path to state in a question for the target, which is empty if no other node
// wants it.
func (t *Table) Path(now time.Time, at pressure.Target) (path []string) {
	if state := t.targets[at]; state != nil && now.Before(state.wantedUntil) {
		return state.path
	}
	return nil
}

// Known reports whether a recent response or answer states the level of the target.
func (t *Table) Known(now time.Time, at pressure.Target) bool {
	state := t.targets[at]
	return state != nil && now.Before(state.knownUntil)
}

// Due returns the targets to ask for now. overloaded has the targets with a recorded level above
// 0. Targets that other nodes want are added to them.
func (t *Table) Due(now time.Time, overloaded []pressure.Target) (due []pressure.Target) {
	t.tokens = min(t.tokens+questionsPerS*now.Sub(t.refilledAt).Seconds(), questionBurst)
	t.refilledAt = now
	for at, state := range t.targets {
		if now.Before(state.wantedUntil) {
			overloaded = append(overloaded, at)
		} else if now.Sub(state.heardAt) > forgetTime && now.Sub(state.askedAt) > forgetTime {
			delete(t.targets, at)
		}
	}
	// The order in which maps are read must not matter.
	slices.SortFunc(overloaded, func(a, b pressure.Target) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Region, b.Region))
	})
	for range overloaded {
		if t.tokens < 1 {
			break
		}
		// The target that has not been asked for the longest time goes first, so that one that
		// nobody answers for does not displace others.
		var oldest pressure.Target
		var found *target
		for _, at := range overloaded {
			state := t.target(at)
			if state != nil && t.isDue(now, state) && (found == nil || state.askedAt.Before(found.askedAt)) {
				oldest, found = at, state
			}
		}
		if found == nil {
			break
		}
		found.askedAt, found.open = now, true
		t.tokens--
		due = append(due, oldest)
	}
	return due
}

func (t *Table) isDue(now time.Time, state *target) bool {
	return now.Sub(state.heardAt) >= state.silence && (!state.open || now.Sub(state.askedAt) >= questionTimeout)
}

// RecordUnsupported records that a node has not answered.
func (t *Table) RecordUnsupported(now time.Time, node string) {
	for other, at := range t.unsupported {
		if now.Sub(at) >= unsupportedTime {
			delete(t.unsupported, other)
		}
	}
	t.unsupported[node] = now
}

// Supports reports whether the node may be asked.
func (t *Table) Supports(now time.Time, node string) bool {
	at, found := t.unsupported[node]
	return !found || now.Sub(at) >= unsupportedTime
}

// HoldFor returns for how long questions are held if the given number of nodes ask those that serve
// a route.
func HoldFor(asking, serving int) time.Duration {
	return min(max(holdPerNode*time.Duration(asking)/time.Duration(max(serving, 1)), MinHold), MaxHold)
}

// InformedTime returns for how long an answer states the level: until the next one, which may be
// held for the given time.
func InformedTime(hold time.Duration) time.Duration { return hold + AnswerTime + 2*minSilence }

// Held is a question that waits for its answer.
type Held struct {
	until time.Time
	// recorded is the level that the asking node has recorded, and first the one that was known
	// first here.
	recorded, first float64
	known           bool
}

// Hold returns a question that has arrived now, from a node that has recorded the level, and that
// may be held for the given time.
func Hold(now time.Time, recorded float64, hold time.Duration) *Held {
	return &Held{until: now.Add(min(max(hold, 0), MaxHold)), recorded: recorded}
}

// Due reports whether to answer now with what is known.
func (h *Held) Due(now time.Time, level float64, known bool) bool {
	if known && !h.known {
		h.known, h.first = true, level
	}
	return !now.Before(h.until) ||
		known && (level <= h.first-heldFall || level <= h.recorded-lateFall || level == 0 && h.recorded > 0)
}
