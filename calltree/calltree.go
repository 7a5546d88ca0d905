// Package calltree infers from observed calls which routes call which other
// routes, and which routes customers call. It needs no trace context or other
// identifier that links a call to the request that makes it.
//
// # Usage
//
// The node beside a backend server reports to a [Links] which requests the server
// runs, and which calls it makes in the meantime:
//
//	run := links.Start("order-book", deadline)
//	links.RecordCall("dwg-index", childDeadline)
//	links.End(run)
//	routes := links.Children("order-book")
//
// A call expires with the request that makes it, so both have the same deadline
// unless the call's own time limit is shorter. Calls whose deadline equals that of
// a running request, to the millisecond, are counted as matches. The number of
// matches expected by chance is estimated from the near misses and subtracted.
package calltree

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// matchTolerance is the maximum difference between the deadlines of a call and
	// of its parent: time limits are given in whole milliseconds, and
	// transmission takes up to a millisecond.
	matchTolerance = 2 * time.Millisecond
	// nearMissTolerance is the maximum difference that counts as a near miss.
	nearMissTolerance = 40 * time.Millisecond
	// chanceRatio is the number of chance matches per near miss, which is the ratio
	// of the widths of both ranges.
	chanceRatio = float64(matchTolerance) / float64(nearMissTolerance-matchTolerance)
	// lateReadTolerance is by how much the deadline of a call may seem to lie after that of
	// its parent, because a busy node reads the call late.
	lateReadTolerance = 100 * time.Millisecond
	// minMatchesPerRun is the number of matches per run of the parent route that
	// makes a link. It is low, because most calls to a route with a short time
	// limit of its own do not match.
	minMatchesPerRun = 0.03
	// minDeviations is the number of standard deviations by which the matches must
	// exceed those expected by chance.
	minDeviations = 3.0
	// minRunsToKnow is the number of runs of a route that show its calls: with fewer, the matches
	// of a link may be too few for minDeviations.
	minRunsToKnow = minDeviations / minMatchesPerRun
	// evaluationInterval is the time between two evaluations. Each of them
	// multiplies the counts by decayFactor, which gives them a mean age of 20 s, so
	// that links follow changes of the services.
	evaluationInterval = 200 * time.Millisecond
	decayFactor        = 0.99
	// maxRoutes bounds the number of routes, and of pairs of routes, in memory. The
	// largest desired states have some thousand routes, few of which call others.
	maxRoutes = 4096
)

// Run is a request that the backend server is running.
type Run struct {
	route    string
	deadline time.Time
}

type routePair struct{ parent, child string }

// matchCounts counts the calls whose deadline matches that of a run, and the near
// misses.
type matchCounts struct{ matches, nearMisses float64 }

// Links infers which routes are called by the requests that one backend server
// runs. It is safe for concurrent use.
type Links struct {
	mu       sync.Mutex
	running  []*Run
	runs     map[string]float64
	counts   map[routePair]*matchCounts
	children map[string][]string
	// started counts the runs of each route without decay, and known has the routes of which
	// these were enough at an evaluation. Both forget a route that has not run for minutes.
	started     map[string]int
	known       map[string]struct{}
	evaluatedAt time.Time
}

// NewLinks returns a table without links.
func NewLinks() *Links {
	return &Links{runs: make(map[string]float64), counts: make(map[routePair]*matchCounts), children: make(map[string][]string), started: make(map[string]int), known: make(map[string]struct{})}
}

// Start records that a request starts to run.
func (l *Links) Start(route string, deadline time.Time) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &Run{route: route, deadline: deadline}
	l.running = append(l.running, run)
	if len(l.runs) < maxRoutes {
		l.runs[route]++
		l.started[route]++
	}
	return run
}

// End records that a request has stopped running.
func (l *Links) End(run *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index := slices.Index(l.running, run); index >= 0 {
		last := len(l.running) - 1
		l.running[index] = l.running[last]
		l.running[last] = nil
		l.running = l.running[:last]
	}
}

// RecordCall records a call to the route that the backend server may have made.
func (l *Links) RecordCall(route string, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, run := range l.running {
		difference := run.deadline.Sub(deadline).Abs()
		if difference > nearMissTolerance {
			continue
		}
		key := routePair{run.route, route}
		counts := l.counts[key]
		if counts == nil {
			if len(l.counts) >= maxRoutes {
				continue
			}
			counts = &matchCounts{}
			l.counts[key] = counts
		}
		if difference <= matchTolerance {
			counts.matches++
		} else {
			counts.nearMisses++
		}
	}
}

// MayBeCall reports whether a running request may have made a call with the deadline. A
// call expires with the request that makes it, or earlier.
func (l *Links) MayBeCall(deadline time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := deadline.Add(-lateReadTolerance)
	return slices.ContainsFunc(l.running, func(run *Run) bool { return !run.deadline.Before(latest) })
}

// Children returns the routes that requests to the given route call.
func (l *Links) Children(route string) (routes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.children[route]
}

// Knows reports whether enough requests of the route have run for its calls to be known.
func (l *Links) Knows(route string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.known[route]
	return ok
}

// Tick evaluates the links again and decays the counts, once per evaluation
// interval.
func (l *Links) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.evaluatedAt) < evaluationInterval {
		return
	}
	l.evaluatedAt = now
	children := make(map[string][]string)
	for key, counts := range l.counts {
		if l.isLink(key, counts) {
			children[key.parent] = append(children[key.parent], key.child)
		}
		counts.matches *= decayFactor
		counts.nearMisses *= decayFactor
		if counts.matches+counts.nearMisses < 0.01 {
			delete(l.counts, key)
		}
	}
	// While most requests of a route are refused, its counts decay. Too few runs do not show that
	// a link has ended.
	for parent, routes := range l.children {
		if n := l.runs[parent]; n == 0 || n >= minRunsToKnow {
			continue
		}
		for _, child := range routes {
			if !slices.Contains(children[parent], child) {
				children[parent] = append(children[parent], child)
			}
		}
	}
	for route, n := range l.runs {
		if l.started[route] >= minRunsToKnow {
			l.known[route] = struct{}{}
		}
		if n *= decayFactor; n < 0.01 {
			delete(l.runs, route)
			delete(l.started, route)
			delete(l.known, route)
			continue
		}
		l.runs[route] = n
	}
	l.children = children
}

// isLink reports whether the matches exceed those expected by chance by enough to
// show that requests to the parent route call the child route.
func (l *Links) isLink(key routePair, counts *matchCounts) bool {
	expected := counts.nearMisses * chanceRatio
	excess := counts.matches - expected
	return excess > minMatchesPerRun*l.runs[key.parent] && excess > minDeviations*math.Sqrt(expected+1)
}
