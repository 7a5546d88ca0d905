// Package pressure sheds customer requests at ingress, before any work is done
// for them, in proportion to the overload of the most overloaded service in
// their call tree.
//
// # Usage
//
// The node beside a backend server measures its overload with a [Gauge]:
//
//	gauge.RecordArrival()
//	level := gauge.Tick(now, load)
//
// Each answer reports the highest level among the services that the requests of
// its route need. The ingress node records these levels in a [Shedder]:
//
//	target := pressure.Target{Route: "order-book", Region: "addis"}
//	shedder.RecordLevel(now, target, level)
//	if !shedder.Admit(now, target, rank, ranks) { refuse, or try another region }
//
// A level of 0 admits all requests. From 0 to 1, that share of the requests of
// the least important rank is refused. From 1 to 2, requests of the next rank are
// refused as well, and so on.
package pressure

import (
	"math"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/slot"
)

const (
	// TargetDemand is the demand, as a share of the usable slots, at which the
	// level stays constant. Above it, waiting times grow faster than throughput:
	// at 0.9 of 13 slots, a request waits for a quarter of its run time.
	TargetDemand = 0.9
	// demandTimeConstant is the time constant of the moving average of the demand.
	demandTimeConstant = 400 * time.Millisecond
	// FeedbackDelay is how long a change of the level takes to affect the demand:
	// answers have to carry the level up the call tree, and customer requests
	// admitted earlier still make calls. The present demand therefore results from
	// the level that applied FeedbackDelay ago. Correcting the present level instead
	// makes the level oscillate between its bounds.
	FeedbackDelay = 800 * time.Millisecond
	// CorrectionTimeConstant is the time constant with which the level approaches
	// the level computed from the demand.
	CorrectionTimeConstant = 300 * time.Millisecond
	// queueWeight is the weight of waiting requests in the demand, relative to
	// running ones. The queue distinguishes a backend server that is merely full
	// from one that is stuck, whose arrival rate says little about its demand.
	queueWeight = 0.3
	// minDemand avoids a division by a demand close to zero.
	minDemand = 0.05
	// maxLevel is the highest level. It refuses all requests of the two least
	// important ranks, except for minAdmittedShare of them.
	maxLevel = 2.0
)

// Gauge computes the level from the load of one backend server. It is safe for
// concurrent use.
type Gauge struct {
	mu       sync.Mutex
	lastTick time.Time
	arrivals float64
	// arrivalRate is in requests per second.
	arrivalRate float64
	utilization float64
	demand      float64
	regulator   Regulator
}

// Regulator turns a demand into a level. It is not safe for concurrent use.
type Regulator struct {
	lastUpdate time.Time
	level      float64
	// history holds the levels of the latest updates, oldest first.
	history []levelSample
}

type levelSample struct {
	time  time.Time
	level float64
}

// RecordArrival counts a request. The caller must not count a request that was sent
// before, so that each request adds to the demand once.
func (g *Gauge) RecordArrival() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrivals++
}

// Level returns the present level.
func (g *Gauge) Level() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.regulator.level
}

// Demand returns the capacity that the offered requests need, as a share of the
// slots.
func (g *Gauge) Demand() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.demand
}

// Tick updates the level from the present load and returns it.
func (g *Gauge) Tick(now time.Time, load slot.Load) (level float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	elapsed := now.Sub(g.lastTick)
	first := g.lastTick.IsZero()
	g.lastTick = now
	if first || load.Limit <= 0 || elapsed <= 0 {
		g.regulator.lastUpdate = now
		return g.regulator.level
	}
	g.updateDemand(elapsed, load)
	return g.regulator.Update(now, g.demand, CorrectionTimeConstant)
}

// Level returns the present level.
func (r *Regulator) Level() float64 { return r.level }

// Update moves the level, with the time constant, towards the one that brings the demand to
// TargetDemand, and returns it. The demand counts the requests that are admitted at present.
// The first call only sets the time.
func (r *Regulator) Update(now time.Time, demand float64, timeConstant time.Duration) (level float64) {
	elapsed := now.Sub(r.lastUpdate)
	first := r.lastUpdate.IsZero()
	r.lastUpdate = now
	if first || elapsed <= 0 {
		return r.level
	}
	newLevel := nextLevel(r.levelAt(now.Add(-FeedbackDelay)), demand)
	r.level += sampleWeight(elapsed, timeConstant) * (newLevel - r.level)
	if r.level < 0.005 {
		r.level = 0
	}
	r.history = append(r.history, levelSample{now, r.level})
	return r.level
}

// updateDemand sets the demand to the larger of two estimates: one from the
// arrival rate and the mean run time, one from the used slots and the queue.
func (g *Gauge) updateDemand(elapsed time.Duration, load slot.Load) {
	weight, limit := sampleWeight(elapsed, demandTimeConstant), float64(load.Limit)
	g.arrivalRate += weight * (g.arrivals/elapsed.Seconds() - g.arrivalRate)
	g.arrivals = 0
	g.utilization += weight * (float64(load.Running)/limit - g.utilization)
	offered := g.arrivalRate * load.MeanRun.Seconds() / limit
	queued := g.utilization + queueWeight*min(float64(load.Waiting)/limit, 1)
	g.demand = max(offered, queued)
}

// levelAt returns the level at an earlier time, and drops the levels before it
// from the history.
func (r *Regulator) levelAt(t time.Time) (level float64) {
	n := 0
	for n+1 < len(r.history) && !r.history[n+1].time.After(t) {
		n++
	}
	r.history = r.history[n:]
	if len(r.history) == 0 || r.history[0].time.After(t) {
		return 0
	}
	return r.history[0].level
}

// nextLevel returns the level that would bring the demand to TargetDemand, given
// the demand and the level that led to it. It assumes that all demand comes from
// the rank that is partly refused; the error is corrected in the next ticks.
func nextLevel(level, demand float64) float64 {
	ratio := TargetDemand / max(demand, minDemand)
	refusedRanks := math.Floor(min(level, maxLevel-1))
	admittedShare := max(1-(level-refusedRanks), minAdmittedShare)
	newLevel := refusedRanks + 1 - admittedShare*ratio
	switch {
	case newLevel < refusedRanks && refusedRanks > 0:
		// The partly refused rank needs no refusals any more. Of the next less
		// important one, minAdmittedShare is still admitted.
		newLevel = refusedRanks - minAdmittedShare*(ratio-1)
	case admittedShare <= minAdmittedShare && ratio < 1:
		newLevel = max(newLevel, refusedRanks+1+(1-ratio))
	}
	return min(max(newLevel, 0), maxLevel)
}

// sampleWeight returns the weight of a new value in an exponential moving average
// with the time constant, if the previous value is the given time old.
func sampleWeight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(timeConstant))
}
