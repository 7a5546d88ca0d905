// Package concurrency estimates how many requests a backend server runs well at once, and
// how long it needs for a request at the moment.
//
// # Usage
//
//	e := concurrency.New()
//	e.Reset(slots)
//	mark := e.Begin(now, "quote", timeLeft)
//	...
//	e.Observe(now, concurrency.Report{Running: 40, Waiting: 0, Pace: 2.5})
//	e.End(now, mark, concurrency.Result{Route: "quote", Answered: true, Learn: true})
//	...
//	e.Tick(now, waiting)
//	limit, run := e.Limit(), e.ExpectedRun("quote")
//
// The server states its pace: how long work takes at present, as a multiple of the usual
// time. The work of a request is its run time with the pace removed, so that a change of the
// pace changes the expected run times at once and leaves the limit as it is. The limit
// follows the elasticity of the run time: by how many percent the work of similar requests
// grows if one percent more of them run. At an elasticity of 1, more requests at once only
// take longer together.
//
// It is designed for one server with up to a few hundred slots and some 1,000 requests per
// second. Each request costs a constant number of operations.
package concurrency

import (
	"math"
	"time"
)

const (
	// usableShare is the share of the announced slots that the limit starts from and never
	// exceeds. Backend servers slow down when they are nearly full: from 95% on, each
	// request takes 1.3 times as long.
	usableShare = 0.94
	// minShare is the share of the announced slots below which the estimate does not fall,
	// so that the limits of all servers do not fall to zero together.
	minShare = 0.3
	// adjustInterval is the time between two changes of the limit.
	adjustInterval = 500 * time.Millisecond
	// The limit rises unless the elasticity is above maxElasticity by certainty standard
	// errors. It falls then if work takes more than maxExcess times as long as at best. A
	// limit that falls without need costs more than one that falls late, and the means of the
	// work vary by a tenth by chance.
	maxElasticity = 0.3
	certainty     = 2
	maxExcess     = 1.35
	lowerFactor   = 0.9
	raiseFactor   = 1.05
	// boundShare is the share of the limit that must have been in use for the limit to be
	// changed. Below it there is no demand for more.
	boundShare = 0.9
	// While requests wait, as many run as the limit allows, which shows nothing about a
	// lower limit. Above maxExcess, the limit is therefore lowered to trialFactor for
	// trialTime in each trialInterval, until the standard error of the elasticity is below
	// knownDeviation or the limit falls.
	trialFactor   = 0.8
	trialTime     = 400 * time.Millisecond
	trialInterval = 1600 * time.Millisecond

	knownDeviation = 0.15
	// noiseTime is the longest time for which a slower pace is taken for noise. Noise lasts
	// for 600 ms.
	noiseTime = 700 * time.Millisecond
	// meanNoiseLeft is how much longer noise lasts on average once it is seen.
	meanNoiseLeft = 300 * time.Millisecond
)

// Report is the load that the server states.
type Report struct {
	// Running and Waiting are the numbers of requests in the server.
	Running, Waiting int
	// Pace is how long work takes at present, as a multiple of the usual time, or 0 if the
	// server does not state it.
	Pace float64
}

// Mark is the start of a request.
type Mark struct {
	at time.Time
	// meanLoad is the mean logarithm of the number of requests in the server, occupancy its
	// integral over time, and progress the work that a request would have done. meanLoad is
	// NaN if the request says nothing about the elasticity: one whose caller may stop waiting
	// before maxRatio of the usual run time is answered only if it is short.
	meanLoad, occupancy, progress float64
	// paced is true if the pace was known at the start.
	paced bool
	// reset is the number of resets before the start.
	reset int
}

// Result describes the end of a request.
type Result struct {
	Route string
	// Answered is true if the server has answered the request.
	Answered bool
	// Abandoned is true if the server may still have the request.
	Abandoned bool
	// Learn is true if the run time counts, which it does not if the server has refused the
	// request or waited for calls that it made.
	Learn bool
	// Leaf is true if the server makes no calls. Only the run times of such a server say
	// whether it is slowed down by the number of requests.
	Leaf bool
}

// Estimator estimates the limit of one backend server. It is not safe for concurrent use.
type Estimator struct {
	slots, running, resets int
	// abandoned is the number of requests that the server may still have although nobody
	// waits for their answers.
	abandoned int
	// occupancy is the integral over time, until countedAt, of the logarithm of the number of
	// requests in the server.
	occupancy float64
	countedAt time.Time
	limit     float64
	paced     bool
	pace      paceTracker
	work      workTracker
	moments   moments
	// peak is the highest number of running requests since adjustedAt, and waited is true if
	// requests have waited since then.
	peak       int
	waited     bool
	adjustedAt time.Time
	trialAt    time.Time
	inTrial    bool
}

// New returns an estimator of a server without slots.
func New() *Estimator {
	e := &Estimator{}
	e.Reset(0)
	return e
}

// Reset starts again with a new process of the server, which announces the slots. Requests
// that began before no longer count.
func (e *Estimator) Reset(slots int) {
	*e = Estimator{slots: slots, resets: e.resets + 1, limit: e.ceilingOf(slots), pace: newPaceTracker(), work: newWorkTracker()}
}

// SetSlots changes the announced slots of the same process.
func (e *Estimator) SetSlots(slots int) {
	if slots == e.slots {
		return
	}
	e.slots, e.limit = slots, e.ceilingOf(slots)
	e.moments = moments{}
}

// Slots returns the announced slots.
func (e *Estimator) Slots() int { return e.slots }

// Adopt takes over the requests that the server had when this process started.
func (e *Estimator) Adopt(now time.Time, r Report) {
	e.Observe(now, r)
	e.abandoned = max(r.Running+r.Waiting-e.running, 0)
}

// Paced reports whether the server states its pace. The estimate is used only then.
func (e *Estimator) Paced() bool { return e.paced }

// Begin records that a request of the route is sent to the server. timeLeft is the time until
// its deadline.
func (e *Estimator) Begin(now time.Time, route string, timeLeft time.Duration) Mark {
	e.addOccupancy(now)
	e.running++
	e.peak = max(e.peak, e.running)
	meanLoad := e.moments.started(now, math.Log(float64(e.running+e.abandoned)))
	if timeLeft.Seconds() < maxRatio*e.pace.runTime(e.work.of(route)) {
		meanLoad = math.NaN()
	}
	return Mark{at: now, meanLoad: meanLoad, occupancy: e.occupancy, progress: e.pace.progressAt(now), paced: e.paced, reset: e.resets}
}

// Observe records the load that an answer states. It is called before End.
func (e *Estimator) Observe(now time.Time, r Report) {
	e.paced = r.Pace > 0
	if e.paced {
		e.pace.set(now, r.Pace)
	}
	e.addOccupancy(now)
	e.abandoned = min(e.abandoned, max(r.Running+r.Waiting-e.running, 0))
}

// End records the end of a request.
func (e *Estimator) End(now time.Time, m Mark, r Result) {
	if m.reset != e.resets {
		return
	}
	e.addOccupancy(now)
	e.running--
	if r.Abandoned {
		e.abandoned++
	}
	if !r.Answered || !r.Learn || !m.paced {
		return
	}
	work := e.pace.progressAt(now) - m.progress
	if ratio, known := e.work.record(r.Route, work); known && r.Leaf && now.After(m.at) {
		load := (e.occupancy - m.occupancy) / now.Sub(m.at).Seconds()
		e.moments.add(now, load-m.meanLoad, math.Log(ratio))
	}
}

// Tick does the periodic work. waiting is the number of requests that wait for the server.
func (e *Estimator) Tick(now time.Time, waiting int) {
	e.pace.drop(now)
	e.waited = e.waited || waiting > 0
	slowed := e.work.excess > maxExcess
	elasticity, deviation := e.moments.elasticity()
	elastic := elasticity-certainty*deviation > maxElasticity
	if waiting > 0 && slowed && (elastic || deviation > knownDeviation) && now.Sub(e.trialAt) >= trialInterval {
		e.trialAt = now
	}
	e.inTrial = waiting > 0 && slowed && now.Sub(e.trialAt) < trialTime
	if now.Sub(e.adjustedAt) < adjustInterval {
		return
	}
	bound := e.waited || float64(e.peak) >= boundShare*e.limit
	switch {
	case !bound:
	case elastic && slowed:
		e.limit = max(lowerFactor*e.limit, math.Min(minShare*float64(e.slots), e.limit))
		e.moments.weaken()
	case !elastic:
		e.limit = min(raiseFactor*e.limit, e.ceilingOf(e.slots))
	}
	e.adjustedAt, e.peak, e.waited = now, e.running, false
}

// Limit returns how many requests are sent to the server at once. Requests that nobody waits
// for count too, because the server stops answering when more arrive than it can queue. One
// request is always allowed, as its answer shows how many are left.
func (e *Estimator) Limit() int {
	limit := e.limit
	if e.inTrial {
		limit *= trialFactor
	}
	return max(int(limit)-e.abandoned, 1)
}

// Estimate returns how many requests the server handles well at once, apart from trials and
// abandoned requests.
func (e *Estimator) Estimate() int { return max(int(e.limit), 1) }

// Abandoned returns how many requests the server may have that nobody waits for.
func (e *Estimator) Abandoned() int { return e.abandoned }

// Elasticity returns by how many percent run times grow if one percent more requests run, and
// its standard error, or 0 and infinity if that is unknown.
func (e *Estimator) Elasticity() (elasticity, deviation float64) { return e.moments.elasticity() }

// Pace returns the stated pace without noise.
func (e *Estimator) Pace() float64 { return e.pace.lasting }

// MeanRun returns the expected run time of a request of any route, without noise, or 0 if it
// is unknown.
func (e *Estimator) MeanRun() time.Duration {
	return seconds(e.work.mean * e.pace.lasting)
}

// ExpectedRun returns the expected run time of a request of the route that starts now, or 0
// if it is unknown.
func (e *Estimator) ExpectedRun(route string) time.Duration {
	return seconds(e.pace.runTime(e.work.of(route)))
}

// KnowsRoute reports whether ExpectedRun is based on requests of the route alone, which it is
// once enough of them have ended, or while no other route has run. Otherwise it is the mean
// over all routes.
func (e *Estimator) KnowsRoute(route string) bool { return e.work.knows(route) }

// addOccupancy adds the time until now to the occupancy. It is called before each change of
// the number of requests in the server.
func (e *Estimator) addOccupancy(now time.Time) {
	if count := e.running + e.abandoned; count > 0 && now.After(e.countedAt) {
		e.occupancy += math.Log(float64(count)) * now.Sub(e.countedAt).Seconds()
	}
	e.countedAt = now
}

func (e *Estimator) ceilingOf(slots int) float64 { return max(usableShare*float64(slots), 1) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
