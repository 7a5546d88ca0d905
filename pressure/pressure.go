// Package pressure refuses customer requests where they enter, before any work,
// by how short the scarcest service of their call tree is.
//
// # Usage
//
// The node beside a backend server measures with a [Gauge]:
//
//	gauge.Arrived()
//	level := gauge.Tick(now, load)
//
// Answers carry the highest level of the services that a route's requests need.
// The node where requests enter keeps it in a [Door]:
//
//	way := pressure.Way{Route: "order-book", Region: "addis"}
//	door.Heard(now, way, level)
//	if !door.Admit(now, way, place, places) { refuse, or try another region }
//
// A level of 0 admits all requests. From 0 to 1 the least important requests are
// refused in that proportion, from 1 to 2 those of the next rank as well, and so
// on.
package pressure

import (
	"math"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/slot"
)

const (
	// targetUse is the share of usable slots that is in use on average when the
	// level stands still. Above it waits grow faster than throughput: at 0.88 of
	// 13 slots a request waits a quarter of its run time.
	targetUse = 0.88
	// useMemory is the time over which use is averaged.
	useMemory = 300 * time.Millisecond
	// changeRate is the change of the level per second for an excess of 1. A
	// refused customer request takes its calls away within about half a second,
	// so faster changes would overshoot.
	changeRate = 2.0
	// Use below lowUse counts twice more, so that the level is back at 0 within
	// about a second after a surge.
	lowUse     = 0.75
	lowUseRate = 2.0
	// maxWaiting bounds what waiting requests add to the excess.
	maxWaiting = 0.6
	// refusedWeight is what a refusal of all arrivals adds to the excess.
	refusedWeight = 0.3
	// maxLevel bounds the level: all but a few requests of the two lowest ranks
	// are refused.
	maxLevel = 2.0
)

// Gauge turns the load of one backend server into a level. It is safe for
// concurrent use.
type Gauge struct {
	mu      sync.Mutex
	use     float64
	level   float64
	ticked  time.Time
	arrived float64
	refused float64
}

// Arrived takes in that a request was offered.
func (g *Gauge) Arrived() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrived++
}

// Refused takes in that a request was refused because no slot was free in time.
func (g *Gauge) Refused() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused++
}

// Level returns the present level.
func (g *Gauge) Level() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.level
}

// Use returns the share of slots that was in use of late.
func (g *Gauge) Use() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.use
}

// Tick adapts the level to the load and returns it.
func (g *Gauge) Tick(now time.Time, load slot.Load) (level float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	passed := now.Sub(g.ticked)
	first := g.ticked.IsZero()
	g.ticked = now
	if first || load.Limit <= 0 || passed <= 0 {
		return g.level
	}
	weight := 1 - math.Exp(-float64(passed)/float64(useMemory))
	g.use += weight * (float64(load.Running)/float64(load.Limit) - g.use)
	excess := g.use - targetUse + min(float64(load.Waiting)/float64(load.Limit), maxWaiting)
	if g.arrived > 0 {
		excess += refusedWeight * g.refused / g.arrived
	}
	g.arrived, g.refused = 0, 0
	if g.use < lowUse {
		excess += lowUseRate * (g.use - lowUse)
	}
	g.level = min(max(g.level+changeRate*excess*passed.Seconds(), 0), maxLevel)
	return g.level
}
