// Package throughput determines, at a node that makes calls for its backend server, how many
// calls of a service can succeed, and limits what is begun and retried to that.
//
// # Usage
//
// A node keeps one [Controller] for each service that it calls:
//
//	c := throughput.New()
//	c.RecordRun()                     // a run that calls the service starts
//	retry := c.RecordCall(throughput.Call{}) // whether the call may be retried
//	c.RecordAttempt(rejected)
//	...
//	state := c.Tick(now, throughput.Retries{...}) // each 100 ms
//	report(state.Level)
//
// # Load pattern
//
// All servers of a service at the bottom of a call tree reject half of what they receive,
// although they have free slots. A tree succeeds only if each of its calls does, and the retry
// budget is a fifth of the calls. If all trees share it, nearly all of them fail, and the work
// above is lost. If only as many trees are begun as the budget carries, these succeed.
//
// The controller therefore does two things while the calls need more retries than the budget
// allows for the rest of its window. It reports a level with the meaning of package pressure,
// at which the runs that go on are carried by the budget. And it grants retries either to all
// calls that begin or to none: to none until the level has taken effect, so that the budget is
// not spent on trees that fail anyway, and then to all while the budget lasts. Calls of the same
// tree begin close together, so whole trees get what they need.
package throughput

import (
	"math"
	"time"

	"github.com/lacewingslip/lacewingslip/budget"
	"github.com/lacewingslip/lacewingslip/pressure"
)

const (
	// attemptTimeConstant is the time constant of the share of attempts that are rejected.
	attemptTimeConstant = 300 * time.Millisecond
	// changeDeviations is the number of standard deviations from which on the attempts since the
	// last tick show that the share has changed, so that the earlier ones no longer count.
	changeDeviations = 4
	// minSampleAttempts is the number of attempts since the last tick from which on they can show
	// that.
	minSampleAttempts = 10
	// rateTimeConstant is the time constant of the rates of calls and runs.
	rateTimeConstant = 400 * time.Millisecond
	// callsPerRunTimeConstant is the time constant of the number of calls that a run makes.
	callsPerRunTimeConstant = 10 * time.Second
	// minRunsToLearn is the number of runs from which the calls per run are known.
	minRunsToLearn = 10
	// startTime is how long a new controller only observes.
	startTime = time.Second
	// minRejectedShare is the rejected share below which nothing is refused whatever the
	// budget: most trees then succeed without any retry.
	minRejectedShare = 0.1
	// deviations is the number of standard deviations by which the rejected share must exceed
	// what retries carry: among few calls, a large share may be rejected by chance.
	deviations = 3
	// endShare is the share of the retries that the budget allows below which the calls no longer
	// count as too many. Being below 1 it avoids a change with each tick.
	endShare = 0.8
	// carryTime is the time for which the budget must carry all calls before retries are granted,
	// if it has not run out yet. It is longer than the level takes to affect the calls.
	carryTime = 2 * time.Second
	// largeExcess is the ratio of needed to sustainable retries above which no retries are granted
	// until the level takes effect.
	largeExcess = 2
	// sliceTime takes the place of carryTime once the budget has run out or the level has taken
	// effect. It is several times as long as a run whose calls belong together takes.
	sliceTime = 500 * time.Millisecond
	// firstTimeConstant is the time constant of the level in the first pressure.FeedbackDelay: the
	// calls are then those of all requests, so there is no feedback that could oscillate.
	firstTimeConstant = 50 * time.Millisecond
	// endTimeConstant is the time constant of the level after the overload.
	endTimeConstant = 50 * time.Millisecond
	// relapseTime is the time within which a new overload follows from the end of the last one.
	// The level then falls half as fast as the last time, down to maxEndTimeConstant. Servers that
	// reject requests because of their number would otherwise get all and none by turns.
	relapseTime        = 5 * time.Second
	maxEndTimeConstant = 1600 * time.Millisecond
	// durationShare is the share of the window for which the retries have to last, from the time
	// when the rejections began. Retries that are left at the end of an overload are lost, and
	// most overloads are shorter than a window.
	durationShare = 0.8
	// minDurationShare is the share of the window for which the retries have to last later on.
	minDurationShare = 0.1
	// maxSustainableRate bounds the sustainable rate, which is unlimited if nothing is rejected.
	maxSustainableRate = 1e6
	// minRetryRate avoids a division by zero.
	minRetryRate = 1e-6
)

// Call describes a call that begins.
type Call struct {
	// FromCustomer is true for a request that a customer sends to the service directly.
	FromCustomer bool
	// RepeatShare is the probability, from 0 to 1, that a repeated run has made the call.
	RepeatShare float64
}

// Retries is what the retry budget of a service allows at this node.
type Retries struct {
	// RetriesPerS is the number of retries per second that the budget allows for the duration
	// returned by [Controller.Duration].
	RetriesPerS float64
	// Available is the number that it allows at this moment.
	Available float64
	// Ratio is the number of retries per call that it allows in the long run.
	Ratio float64
}

// State is the result of a tick.
type State struct {
	// CallsPerS is the rate at which calls begin, and SucceededPerS the rate at which attempts
	// are not rejected.
	CallsPerS, SucceededPerS float64
	// RejectedShare is the share of recent attempts that were rejected.
	RejectedShare float64
	// SustainablePerS is the rate of calls that can get the retries that they need.
	SustainablePerS float64
	// Level is the share of the runs that must not be begun, in the meaning of package pressure.
	Level float64
}

// Controller decides about the calls of one service. It is not safe for concurrent use.
type Controller struct {
	startedAt, lastTick time.Time
	// runs, calls, customerCalls, repeats, attempts and rejected are counted since the last tick.
	runs, calls, customerCalls, repeats, attempts, rejected float64
	// runRate, callRate, customerRate, repeatRate and successRate are moving averages per second.
	runRate, callRate, customerRate, repeatRate, successRate float64
	// recentAttempts and recentRejected are decayed sums.
	recentAttempts, recentRejected float64
	// learned holds decayed sums over times in which few attempts were rejected: a run whose
	// call has failed may make no further calls.
	learned struct{ runs, calls float64 }

	regulator pressure.Regulator
	// rejectingSince is since when a considerable share has been rejected, or the zero time.
	rejectingSince time.Time
	// limiting is true while the calls need more retries than the budget allows. limitingSince
	// is when that began, and limitedUntil when it last ended.
	limiting                    bool
	limitingSince, limitedUntil time.Time
	// fall is the time constant of the level after the overload.
	fall time.Duration
	// granting is true while the calls that begin are granted retries, and ranOut once the budget
	// has run out in this overload.
	granting, ranOut bool
}

// New returns a controller without measurements.
func New() *Controller { return &Controller{granting: true, fall: endTimeConstant} }

// RecordRun counts the start of a run that calls the service.
func (c *Controller) RecordRun() { c.runs++ }

// RecordNoRun corrects the count of a start that turned out not to be one, because the backend
// server has rejected the request without running it.
func (c *Controller) RecordNoRun() { c.runs-- }

// RecordCall counts a call that begins, and reports whether it may be retried. Requests of
// customers use the same budget, but each of them succeeds or fails by itself, so a retry is of
// equal use to any of them and they may always be retried.
func (c *Controller) RecordCall(call Call) (retry bool) {
	c.repeats += call.RepeatShare
	if call.FromCustomer {
		c.customerCalls++
		return true
	}
	c.calls++
	return c.granting
}

// RecordAttempt counts an attempt that reached a server, and whether it has to be repeated
// for the call to succeed.
func (c *Controller) RecordAttempt(rejected bool) {
	c.attempts++
	if rejected {
		c.rejected++
	}
}

// Rates returns the rates of the calls and of the requests of customers.
func (c *Controller) Rates() budget.Rates {
	return budget.Rates{Requests: c.callRate + c.customerRate, Repeats: c.repeatRate}
}

// Duration returns for how long the retries of a budget with the window have to last.
func (c *Controller) Duration(now time.Time, window time.Duration) time.Duration {
	duration := time.Duration(durationShare * float64(window))
	if !c.rejectingSince.IsZero() {
		duration -= now.Sub(c.rejectingSince)
	}
	return max(duration, time.Duration(minDurationShare*float64(window)))
}

// Tick updates the state. It has to be called about every 100 ms.
func (c *Controller) Tick(now time.Time, retries Retries) State {
	elapsed := now.Sub(c.lastTick)
	first := c.lastTick.IsZero()
	c.lastTick = now
	if first {
		c.startedAt = now
	}
	if !first && elapsed > 0 {
		c.updateRates(elapsed)
	}
	c.runs, c.calls, c.customerCalls, c.repeats, c.attempts, c.rejected = 0, 0, 0, 0, 0, 0

	retriesPerCall := retriesNeeded(c.rejectedShare())
	// The requests of customers get their retries in any case.
	retryRate := max(retries.RetriesPerS-retriesPerCall*c.customerRate, 0)
	c.updateLimiting(now, retryRate, retries.Ratio)
	c.updateGranting(retryRate, retries.Available)

	state := State{
		CallsPerS: c.Rates().Requests, SucceededPerS: c.successRate, RejectedShare: c.rejectedShare(),
		SustainablePerS: maxSustainableRate,
	}
	if retriesPerCall > 0 {
		state.SustainablePerS = min(retryRate/retriesPerCall+c.customerRate, maxSustainableRate)
	}
	state.Level = c.updateLevel(now, retryRate)
	return state
}

// updateLevel updates the level and returns it.
func (c *Controller) updateLevel(now time.Time, retryRate float64) (level float64) {
	if !c.limiting {
		return c.regulator.Update(now, 0, c.fall)
	}
	demand := pressure.TargetDemand * c.retriesNeeded() / max(retryRate, minRetryRate)
	if now.Sub(c.limitingSince) < pressure.FeedbackDelay {
		return c.regulator.Update(now, demand, firstTimeConstant)
	}
	return c.regulator.Update(now, demand, pressure.CorrectionTimeConstant)
}

func (c *Controller) updateRates(elapsed time.Duration) {
	weight, seconds := 1-math.Exp(-float64(elapsed)/float64(rateTimeConstant)), elapsed.Seconds()
	c.runRate += weight * (c.runs/seconds - c.runRate)
	c.callRate += weight * (c.calls/seconds - c.callRate)
	c.customerRate += weight * (c.customerCalls/seconds - c.customerRate)
	c.repeatRate += weight * (c.repeats/seconds - c.repeatRate)
	c.successRate += weight * ((c.attempts-c.rejected)/seconds - c.successRate)
	decay := math.Exp(-float64(elapsed) / float64(attemptTimeConstant))
	if c.shareHasChanged() {
		decay = 0
	}
	c.recentAttempts = decay*c.recentAttempts + c.attempts
	c.recentRejected = decay*c.recentRejected + c.rejected
	// Calls from before the first run say nothing about the calls of a run.
	seenRuns := c.learned.runs+c.runs > 0
	if seenRuns && (c.learned.runs < minRunsToLearn || c.rejectedShare() < minRejectedShare) {
		decay = math.Exp(-float64(elapsed) / float64(callsPerRunTimeConstant))
		c.learned.runs = decay*c.learned.runs + c.runs
		c.learned.calls = decay*c.learned.calls + c.calls
	}
}

// shareHasChanged reports whether the attempts since the last tick show that the rejected share
// has changed.
func (c *Controller) shareHasChanged() bool {
	if c.attempts < minSampleAttempts {
		return false
	}
	// The added attempts keep a share of 0 or 1 from having no deviation.
	expected := (c.recentRejected + 1) / (c.recentAttempts + 2)
	deviation := math.Sqrt(expected * (1 - expected) / c.attempts)
	return math.Abs(c.rejected/c.attempts-expected) > changeDeviations*deviation
}

// updateLimiting decides whether the calls need more retries than the budget allows.
func (c *Controller) updateLimiting(now time.Time, retryRate, retryRatio float64) {
	lowest := lowestShare(c.recentRejected, c.recentAttempts)
	switch {
	case c.rejectedShare() < endShare*minRejectedShare:
		c.rejectingSince = time.Time{}
	case c.rejectingSince.IsZero() && lowest >= minRejectedShare:
		c.rejectingSince = now
	}
	if c.limiting {
		c.limiting = !c.rejectingSince.IsZero() && (c.regulator.Level() > 0 || c.retriesNeeded() > endShare*retryRate)
		if !c.limiting {
			c.limitedUntil = now
		}
		return
	}
	c.limiting = now.Sub(c.startedAt) >= startTime && lowest >= minRejectedShare &&
		c.callsNeeded()*retriesNeeded(lowest) > retryRate && c.helps(retryRatio)
	if !c.limiting {
		return
	}
	c.limitingSince, c.ranOut = now, false
	if now.Sub(c.limitedUntil) < relapseTime {
		c.fall = min(2*c.fall, maxEndTimeConstant)
	} else {
		c.fall = endTimeConstant
	}
}

// helps reports whether more runs succeed if only as many are begun as the retries carry than
// if all are begun and none of their calls is retried. That depends on how many calls a run
// makes: if it makes one, each retry is of equal use to any run.
func (c *Controller) helps(retryRatio float64) bool {
	if c.learned.runs < minRunsToLearn {
		return false
	}
	share := c.rejectedShare()
	return retryRatio/retriesNeeded(share) > math.Pow(1-share, c.callsPerRun())
}

// updateGranting decides whether the calls that begin are granted retries.
func (c *Controller) updateGranting(retryRate, available float64) {
	enough, effective := carryTime, c.lastTick.Sub(c.limitingSince) >= pressure.FeedbackDelay
	if c.ranOut || effective {
		enough = sliceTime
	}
	switch {
	case !c.limiting:
		c.granting = true
	case available < 1:
		c.granting, c.ranOut = false, true
	case available >= c.retriesNeeded()*enough.Seconds():
		c.granting = true
	case !effective && c.retriesNeeded() > largeExcess*retryRate:
		c.granting = false
	}
}

// retriesNeeded returns the retries per second with which all calls would succeed.
func (c *Controller) retriesNeeded() (perS float64) {
	return c.callsNeeded() * retriesNeeded(c.rejectedShare())
}

// callsNeeded returns the calls per second that the runs make if none of them fails.
func (c *Controller) callsNeeded() (perS float64) { return max(c.callRate, c.runRate*c.callsPerRun()) }

// callsPerRun returns the number of calls that a run makes on average. It is below 1 if only some
// of the runs call the service.
func (c *Controller) callsPerRun() float64 {
	if c.learned.runs <= 0 {
		return 1
	}
	return c.learned.calls / c.learned.runs
}

// rejectedShare returns the share of recent attempts that were rejected.
func (c *Controller) rejectedShare() float64 {
	if c.recentAttempts < 1 {
		return 0
	}
	return c.recentRejected / c.recentAttempts
}

// retriesNeeded returns the number of retries that a call needs on average until it succeeds.
func retriesNeeded(rejectedShare float64) float64 {
	// A share of 1 would need an infinite number.
	const maxShare = 0.999
	rejectedShare = min(rejectedShare, maxShare)
	return rejectedShare / (1 - rejectedShare)
}

// lowestShare returns the lower bound of the Wilson score interval of a share.
func lowestShare(positive, total float64) float64 {
	if total < 1 {
		return 0
	}
	const z2 = deviations * deviations
	share := positive / total
	margin := deviations * math.Sqrt(share*(1-share)/total+z2/(4*total*total))
	return max((share+z2/(2*total)-margin)/(1+z2/total), 0)
}
