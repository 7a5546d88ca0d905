package admission

import (
	"math"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	// countInterval is the length of the intervals in which calls are counted.
	countInterval = 200 * time.Millisecond
	// meanWeight is the weight of the latest interval in the moving averages.
	meanWeight = 0.3
	// minSampleCalls is the number of finished calls after which the threshold may be
	// raised, counting only calls that started after its last change. After
	// maxSampleTime, fewer are enough. The refusal of a child call takes some time to
	// reach this hop through all hops in between, and reacting to the same refusals
	// twice would lead to the refusal of bookings.
	minSampleCalls = 10
	maxSampleTime  = time.Second
	// lowerDelay is the time without a refused child call after which the threshold is
	// lowered by a step.
	lowerDelay = 300 * time.Millisecond
	// shedTolerance is the share of calls that may fail because a child call was
	// refused because of overload. The work for these calls is wasted, but a share
	// of zero would leave capacity of the called services unused.
	shedTolerance = 0.02
	// lowerStep is the first step by which the threshold is lowered, as a share of
	// the admitted calls. Each consecutive step is larger by the factor lowerStepGrowth,
	// so that all calls are admitted about 2 s after the end of the overload.
	lowerStep       = 0.1
	lowerStepGrowth = 4
	maxLowerSteps   = 5
	// maxThreshold still admits a few of the most important calls, which show when
	// the overload is over.
	maxThreshold = float64(call.Critical) + 0.95
)

// threshold refuses the least important customer requests while a service deeper in
// the call chain refuses their child calls, since the work done for such requests
// here is wasted. The score of a request is its importance plus its random number as
// a fraction. Requests with a score below minScore are refused.
//
// Only customer requests are refused, at the first hop. If deeper hops reacted to the
// same refusals too, their refusals would add up, and each hop before them would
// count them as refusals of child calls.
type threshold struct {
	minScore float64

	// intervalStart is the start of the current interval. arrivals counts its calls
	// by importance, and answered its answered calls.
	intervalStart time.Time
	arrivals      [call.Critical + 1]int
	answered      int
	// meanArrivals and meanAnswered are moving averages of these counts over about a
	// second.
	meanArrivals [call.Critical + 1]float64
	meanAnswered float64

	changedAt time.Time
	// finished counts the calls that started after the last change and have finished,
	// and shed counts those of them that had a child call refused.
	finished, shed int
	// lowerSteps is the number of consecutive steps by which the threshold was lowered.
	lowerSteps int
}

// arrive counts an arriving call and reports whether it must be refused.
func (t *threshold) arrive(r Request) (refused bool) {
	t.arrivals[r.Importance]++
	return float64(r.Importance)+float64(r.SheddingKey)/(math.MaxUint32+1) < t.minScore
}

func (t *threshold) finish(started time.Time, r Result) {
	if !r.ChildShed && !r.Failed {
		t.answered++
	}
	if started.Before(t.changedAt) {
		return
	}
	t.finished++
	if r.ChildShed {
		t.shed++
	}
}

func (t *threshold) adapt(now time.Time) {
	if now.Sub(t.intervalStart) >= countInterval {
		t.endInterval(now)
	}
	age := now.Sub(t.changedAt)
	admitted := t.meanAdmitted()
	switch {
	case t.shed == 0 && t.minScore > 0 && age >= lowerDelay:
		t.lower(lowerStep * max(admitted, 1) * math.Pow(lowerStepGrowth, float64(t.lowerSteps)))
		t.lowerSteps = min(t.lowerSteps+1, maxLowerSteps)
	case t.shed > 0 && (t.finished >= minSampleCalls && age >= countInterval || age >= maxSampleTime):
		if share := float64(t.shed) / float64(t.finished); share > shedTolerance {
			// Refused calls end sooner than answered ones, so the share is too high at
			// first. Therefore as many calls as are answered on average stay admitted.
			t.raise(min(share*admitted, max(admitted-t.meanAnswered, shedTolerance*admitted)))
			t.lowerSteps = 0
		}
	default:
		return
	}
	t.changedAt, t.finished, t.shed = now, 0, 0
}

// endInterval updates the moving averages and starts a new interval. If there are no
// more arrivals than answered calls on average, no calls need to be refused here.
func (t *threshold) endInterval(now time.Time) {
	total := 0.0
	for i, n := range t.arrivals {
		t.meanArrivals[i] += meanWeight * (float64(n) - t.meanArrivals[i])
		total += t.meanArrivals[i]
	}
	t.meanAnswered += meanWeight * (float64(t.answered) - t.meanAnswered)
	if total <= t.meanAnswered {
		t.minScore, t.lowerSteps = 0, 0
	}
	t.intervalStart, t.arrivals, t.answered = now, [call.Critical + 1]int{}, 0
}

// meanAdmitted returns the mean number of calls per interval above the threshold.
func (t *threshold) meanAdmitted() (calls float64) {
	for i, n := range t.meanArrivals {
		calls += n * min(max(float64(i+1)-t.minScore, 0), 1)
	}
	return calls
}

// raise raises the threshold so that it refuses the given number of additional calls
// per interval.
func (t *threshold) raise(calls float64) {
	for calls > 0 && t.minScore < maxThreshold {
		importance := int(t.minScore)
		width := float64(importance+1) - t.minScore
		n := t.meanArrivals[importance]
		if calls < n*width {
			t.minScore += calls / n
			break
		}
		calls -= n * width
		t.minScore = float64(importance + 1)
	}
	t.minScore = min(t.minScore, maxThreshold)
}

// lower lowers the threshold so that it admits the given number of additional calls
// per interval.
func (t *threshold) lower(calls float64) {
	for calls > 0 && t.minScore > 0 {
		importance := int(math.Ceil(t.minScore)) - 1
		width := t.minScore - float64(importance)
		n := t.meanArrivals[importance]
		if calls < n*width {
			t.minScore -= calls / n
			break
		}
		calls -= n * width
		t.minScore = float64(importance)
	}
}
