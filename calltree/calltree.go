// Package calltree learns which routes' requests call which other routes, and
// which routes customers call, without any link between the calls.
//
// # Usage
//
// The node beside a backend server tells a [Links] what runs there and what the
// server calls meanwhile:
//
//	run := links.Start("order-book", deadline)
//	links.Child("dwg-index", childDeadline)
//	links.End(run)
//	routes := links.Children("order-book")
//
// A call expires with the request that makes it, so the two have the same
// deadline unless the call's own time limit is shorter. Deadlines that agree to
// the millisecond are counted, and from them as many as would agree by chance,
// which near misses show.
package calltree

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// sameDeadline is how far the deadlines of a call and its parent lie apart
	// at most: time limits are stated in whole milliseconds, and messages take
	// up to a millisecond.
	sameDeadline = 2 * time.Millisecond
	// nearDeadline bounds the near misses.
	nearDeadline = 40 * time.Millisecond
	// chance is the width of a match in proportion to that of a near miss.
	chance = float64(sameDeadline) / float64(nearDeadline-sameDeadline)
	// minPerRun is the least number of matches per run that makes a link. Most
	// calls of a route with a short limit of its own do not match.
	minPerRun = 0.03
	// certainty is the number of standard deviations by which matches must
	// exceed chance.
	certainty = 3.0
	// judgeInterval is how often links are decided on, and keepShare lets counts
	// fade each time, with a mean age of 20 s, so that links follow changes of the
	// services.
	judgeInterval = 200 * time.Millisecond
	keepShare     = 0.99
	// maxRoutes bounds the routes that are kept. The largest desired states have
	// some thousand routes, few of which call others.
	maxRoutes = 4096
)

// Run is a request that runs at the backend server.
type Run struct {
	route    string
	deadline time.Time
}

type pair struct{ parent, child string }

// matches counts calls whose deadline agrees with a run's, or nearly.
type matches struct{ same, near float64 }

// Links learns the links between the routes at one backend server. It is safe
// for concurrent use.
type Links struct {
	mu       sync.Mutex
	running  []*Run
	runs     map[string]float64
	counts   map[pair]*matches
	children map[string][]string
	judged   time.Time
}

// NewLinks returns an empty table.
func NewLinks() *Links {
	return &Links{runs: make(map[string]float64), counts: make(map[pair]*matches), children: make(map[string][]string)}
}

// Start takes in that a request begins to run.
func (l *Links) Start(route string, deadline time.Time) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &Run{route: route, deadline: deadline}
	l.running = append(l.running, run)
	if len(l.runs) < maxRoutes {
		l.runs[route]++
	}
	return run
}

// End takes in that a request no longer runs.
func (l *Links) End(run *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := slices.Index(l.running, run); at >= 0 {
		last := len(l.running) - 1
		l.running[at] = l.running[last]
		l.running[last] = nil
		l.running = l.running[:last]
	}
}

// Child takes in a call that may come from the backend server.
func (l *Links) Child(route string, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, run := range l.running {
		apart := run.deadline.Sub(deadline).Abs()
		if apart > nearDeadline {
			continue
		}
		key := pair{run.route, route}
		m := l.counts[key]
		if m == nil {
			if len(l.counts) >= maxRoutes {
				continue
			}
			m = &matches{}
			l.counts[key] = m
		}
		if apart <= sameDeadline {
			m.same++
		} else {
			m.near++
		}
	}
}

// Children returns the routes that requests of the route call.
func (l *Links) Children(route string) (routes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.children[route]
}

// Tick lets old counts fade and decides anew on the links.
func (l *Links) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.judged) < judgeInterval {
		return
	}
	l.judged = now
	children := make(map[string][]string)
	for key, m := range l.counts {
		if l.linked(key, m) {
			children[key.parent] = append(children[key.parent], key.child)
		}
		m.same *= keepShare
		m.near *= keepShare
		if m.same+m.near < 0.01 {
			delete(l.counts, key)
		}
	}
	for route, n := range l.runs {
		if n *= keepShare; n < 0.01 {
			delete(l.runs, route)
			continue
		}
		l.runs[route] = n
	}
	l.children = children
}

func (l *Links) linked(key pair, m *matches) bool {
	expected := m.near * chance
	excess := m.same - expected
	return excess > minPerRun*l.runs[key.parent] && excess > certainty*math.Sqrt(expected+1)
}
