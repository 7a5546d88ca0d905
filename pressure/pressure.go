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
	// targetUse is the demand, as a share of the usable slots, at which the level
	// stands still. Above it waits grow faster than throughput: at 0.9 of 13 slots
	// a request waits a quarter of its run time.
	targetUse = 0.9
	// demandMemory is the time over which demand is averaged.
	demandMemory = 400 * time.Millisecond
	// effectDelay is how long a change of the level takes to show in the demand:
	// answers carry it up the call tree, and customer requests that have been
	// admitted go on to make calls. The level that caused the present demand is
	// the one before that time; without that the level swings between its ends.
	effectDelay = 800 * time.Millisecond
	// settleTime is the time in which the level covers most of the way to where
	// the demand says that it should be.
	settleTime = 300 * time.Millisecond
	// queueWeight is what waiting requests add to the demand while all slots are
	// in use, as a share of the slots. It tells a full backend server from a
	// stuck one, whose arrivals say little.
	queueWeight = 0.3
	// minDemand avoids division by a demand of nearly nothing.
	minDemand = 0.05
	// maxLevel bounds the level: all but a few requests of the two lowest ranks
	// are refused.
	maxLevel = 2.0
)

// Gauge turns the load of one backend server into a level. It is safe for
// concurrent use.
type Gauge struct {
	mu      sync.Mutex
	ticked  time.Time
	arrived float64
	// rate is that of arrivals, per second.
	rate   float64
	use    float64
	demand float64
	level  float64
	// past has the levels of the last ticks, the oldest first.
	past []pastLevel
}

type pastLevel struct {
	at    time.Time
	level float64
}

// Arrived takes in that a request was offered for the first time.
func (g *Gauge) Arrived() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrived++
}

// Level returns the present level.
func (g *Gauge) Level() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.level
}

// Demand returns what the offered requests need, as a share of the slots.
func (g *Gauge) Demand() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.demand
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
	g.measure(passed, load)
	wanted := next(g.levelAt(now.Add(-effectDelay)), g.demand)
	g.level += weightOf(passed, settleTime) * (wanted - g.level)
	if g.level < 0.005 {
		g.level = 0
	}
	g.past = append(g.past, pastLevel{now, g.level})
	return g.level
}

// measure brings the demand up to date.
func (g *Gauge) measure(passed time.Duration, load slot.Load) {
	weight, limit := weightOf(passed, demandMemory), float64(load.Limit)
	g.rate += weight * (g.arrived/passed.Seconds() - g.rate)
	g.arrived = 0
	g.use += weight * (float64(load.Running)/limit - g.use)
	offered := g.rate * load.MeanRun.Seconds() / limit
	queued := g.use + queueWeight*min(float64(load.Waiting)/limit, 1)
	g.demand = max(offered, queued)
}

// levelAt returns the level at an earlier time, and forgets those before it.
func (g *Gauge) levelAt(at time.Time) (level float64) {
	n := 0
	for n+1 < len(g.past) && !g.past[n+1].at.After(at) {
		n++
	}
	g.past = g.past[n:]
	if len(g.past) == 0 || g.past[0].at.After(at) {
		return 0
	}
	return g.past[0].level
}

// next returns the level at which the demand would be at its target, from the
// level that caused it. Of the lowest rank it assumes that all demand comes from
// there; what does not is corrected in the next steps.
func next(level, demand float64) float64 {
	ratio := targetUse / max(demand, minDemand)
	whole := math.Floor(min(level, maxLevel-1))
	share := max(1-(level-whole), minShare)
	wanted := whole + 1 - share*ratio
	switch {
	case wanted < whole && whole > 0:
		// The rank above needs no refusals; the one below has minShare left.
		wanted = whole - minShare*(ratio-1)
	case share <= minShare && ratio < 1:
		wanted = max(wanted, whole+1+(1-ratio))
	}
	return min(max(wanted, 0), maxLevel)
}

// weightOf returns the weight of a new value after a time, for an exponential
// mean over the memory.
func weightOf(passed, memory time.Duration) float64 {
	return 1 - math.Exp(-float64(passed)/float64(memory))
}
