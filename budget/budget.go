// Package budget bounds the retries of a service to a share of the requests for it,
// over a window that slides.
//
// # Usage
//
// A node keeps one [Window] per service that it sends requests to:
//
//	w := budget.NewWindow(10 * time.Second)
//	w.RecordRequest(now, repeatShare)
//	...
//	if w.Spend(now, limit) { send the request again }
//
// [Window.SustainableRate] tells how fast the budget may be spent so that it lasts.
//
// # Load pattern
//
// Retries are needed in short periods, for example while all servers of a service
// reject half of what they receive, and hardly at all in between. A token bucket
// that holds few tokens leaves most of the budget of the window unused then, and a
// deep one exceeds the budget when a period with much traffic is followed by one with
// little. The window therefore counts requests and repeats exactly, in small steps,
// and grants a retry only if the budget holds in each window that contains it, even if
// no further request follows.
package budget

import "time"

const (
	// stepsPerWindow is the resolution of the counts.
	stepsPerWindow = 40
	// historySteps is the number of steps that are kept. The budget of a window counts
	// the requests in it, in the window before it, or in the one half a window before it,
	// whichever has most.
	historySteps = 2 * stepsPerWindow
	// partialSteps is the number of steps that a bound of a window may lie in: the
	// current step has passed only in part, and the window ends at any time of a step.
	partialSteps = 2
)

// Limit is the budget of a service.
type Limit struct {
	// RetryRatio is the number of retries per request that this node may spend.
	RetryRatio float64
	// RepeatRatio bounds the retries together with the calls that repeated runs make.
	RepeatRatio float64
	// Slack is the number of retries in a window that is allowed on top.
	Slack float64
}

// counts are the requests and repeats of one step.
type counts struct {
	requests float64
	// retries are attempts that this node has granted.
	retries float64
	// repeats are the retries, and the requests made by runs that are repeats
	// themselves.
	repeats float64
}

// Window counts the requests for one service, and their repeats. It is not safe for
// concurrent use.
type Window struct {
	step time.Duration
	// steps holds the counts of the latest steps, the current one first.
	steps [historySteps]counts
	// startedAt is when the current step began.
	startedAt time.Time
}

// minStep is the shortest step. It applies if the length of the window is not known.
const minStep = time.Millisecond

// NewWindow returns a window of the given length without any requests.
func NewWindow(length time.Duration) *Window {
	return &Window{step: max(length/stepsPerWindow, minStep)}
}

// RecordRequest counts a request. repeatShare is the probability, from 0 to 1, that a
// repeated run has made it.
func (w *Window) RecordRequest(now time.Time, repeatShare float64) {
	w.advance(now)
	w.steps[0].requests++
	w.steps[0].repeats += repeatShare
}

// Spend counts a retry and returns true, if the limit allows it.
func (w *Window) Spend(now time.Time, limit Limit) (ok bool) {
	if w.Available(now, limit) < 1 {
		return false
	}
	w.steps[0].retries++
	w.steps[0].repeats++
	return true
}

// Available returns the number of retries that the limit allows at this moment.
func (w *Window) Available(now time.Time, limit Limit) (retries float64) {
	w.advance(now)
	sums := w.sums()
	for ahead := range stepsPerWindow + 1 {
		left := sums.left(ahead, limit, counts{})
		if ahead == 0 || left < retries {
			retries = left
		}
	}
	return max(retries, 0)
}

// Rates are the requests per second that are expected from now on, and the part of them
// that repeated runs make.
type Rates struct{ Requests, Repeats float64 }

// SustainableRate returns how many retries per second the limit allows at a constant rate
// for the duration, which counts up to the length of the window.
func (w *Window) SustainableRate(now time.Time, limit Limit, expected Rates, duration time.Duration) (retriesPerS float64) {
	w.advance(now)
	sums := w.sums()
	steps := min(max(int(duration/w.step), 1), stepsPerWindow)
	for ahead := 1; ahead <= steps; ahead++ {
		seconds := (time.Duration(ahead) * w.step).Seconds()
		left := sums.left(ahead, limit, counts{requests: expected.Requests * seconds, repeats: expected.Repeats * seconds}) / seconds
		if ahead == 1 || left < retriesPerS {
			retriesPerS = left
		}
	}
	return max(retriesPerS, 0)
}

// stepSums holds at index n the sums over the latest n steps.
type stepSums [historySteps + 1]counts

func (w *Window) sums() (latest stepSums) {
	for n, c := range w.steps {
		latest[n+1] = latest[n].add(c)
	}
	return latest
}

// left returns the number of retries that the limit leaves in the windows that end up to the
// given number of steps ahead, and contain the rest of a window's length up to now. It is
// negative if the limit is exceeded. expected are the requests in the steps ahead. The bounds
// of these windows lie within steps, so requests count only in steps that are in all of the
// windows, and retries in steps that are in any.
func (latest *stepSums) left(ahead int, limit Limit, expected counts) (retries float64) {
	// requestsIn returns the requests of the steps with indexes from newest to below
	// oldest. Negative indexes are steps in the future, which count only as expected.
	requestsIn := func(oldest, newest int) float64 {
		return latest[oldest].requests - latest[max(newest, 0)].requests
	}
	length := stepsPerWindow - ahead
	requests := max(
		requestsIn(length, 0)+expected.requests,
		requestsIn(length+stepsPerWindow/2, length-stepsPerWindow/2+partialSteps),
		requestsIn(length+stepsPerWindow, length+partialSteps),
	)
	spent := latest[length+partialSteps]
	return min(
		limit.RetryRatio*requests+limit.Slack-spent.retries,
		limit.RepeatRatio*requests+limit.Slack-spent.repeats-expected.repeats,
	)
}

// advance moves the window to the step that contains now.
func (w *Window) advance(now time.Time) {
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	passed := int(min(max(now.Sub(w.startedAt)/w.step, 0), historySteps))
	if passed == 0 {
		return
	}
	copy(w.steps[passed:], w.steps[:historySteps-passed])
	clear(w.steps[:passed])
	w.startedAt = w.startedAt.Add(time.Duration(passed) * w.step)
	if passed == historySteps {
		w.startedAt = now
	}
}

func (c counts) add(other counts) counts {
	return counts{c.requests + other.requests, c.retries + other.retries, c.repeats + other.repeats}
}
