package admission

import (
	"math"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	// thresholdInterval is the time between two changes of the threshold.
	thresholdInterval = 200 * time.Millisecond
	// shedTolerance is the share of calls that may fail because a child call
	// was refused for overload. Their work is wasted, but a share of zero would
	// leave capacity unused.
	shedTolerance = 0.03
	// admitStep is the first step down, as a share of the admitted calls. It
	// doubles with each step in a row.
	admitStep     = 0.05
	maxAdmitSteps = 5
	// usualWeight is the weight of one interval in the usual arrivals.
	usualWeight = 0.3
	// maxThreshold keeps a few of the most important calls coming, which show
	// when the overload has passed.
	maxThreshold = float64(call.Critical) + 0.95
)

// threshold refuses the least important customer requests while a service
// further down refuses their child calls anyway, after work has been done for
// them here. A request's rank is its importance plus its lot as a fraction.
// Those below the threshold are refused.
//
// Hops further down do not take part: if each of them reacted to the same
// refusals, their refusals would add up and count as refusals further down at
// all hops above.
type threshold struct {
	rank float64

	changed time.Time
	// arrivals counts calls by importance, and passed those not refused here.
	arrivals [call.Critical + 1]int
	passed   int
	// usual is the mean of arrivals over about a second. Single intervals of a
	// service with few calls would make the threshold jump.
	usual [call.Critical + 1]float64
	// finished counts all calls that ended, and shed those of which a child call
	// was refused.
	finished, shed int
	// steps is the number of steps down in a row.
	steps int
}

// arrive counts a call and reports whether it is refused.
func (t *threshold) arrive(r Request) (refused bool) {
	t.arrivals[r.Importance]++
	if float64(r.Importance)+float64(r.Lot)/(math.MaxUint32+1) < t.rank {
		return true
	}
	t.passed++
	return false
}

func (t *threshold) finish(r Result) {
	t.finished++
	if r.Shed {
		t.shed++
	}
}

func (t *threshold) adapt(now time.Time) {
	if now.Sub(t.changed) < thresholdInterval {
		return
	}
	for i, n := range t.arrivals {
		t.usual[i] += usualWeight * (float64(n) - t.usual[i])
	}
	share := 0.0
	if t.finished > 0 {
		share = float64(t.shed) / float64(t.finished)
	}
	if share > shedTolerance {
		t.raise(share * float64(t.passed))
		t.steps = 0
	} else if t.rank > 0 {
		t.lower(max(admitStep*float64(t.passed), admitStep) * float64(int(1)<<t.steps))
		t.steps = min(t.steps+1, maxAdmitSteps)
	}
	*t = threshold{rank: t.rank, changed: now, steps: t.steps, usual: t.usual}
}

// raise moves the threshold up past the given number of calls per interval.
func (t *threshold) raise(calls float64) {
	for calls > 0 && t.rank < maxThreshold {
		level := int(t.rank)
		room := float64(level+1) - t.rank
		if n := t.usual[level]; calls < n*room {
			t.rank += calls / n
			break
		} else {
			calls -= n * room
			t.rank = float64(level + 1)
		}
	}
	t.rank = min(t.rank, maxThreshold)
}

// lower is the opposite of raise.
func (t *threshold) lower(calls float64) {
	for calls > 0 && t.rank > 0 {
		level := int(math.Ceil(t.rank)) - 1
		room := t.rank - float64(level)
		if n := t.usual[level]; calls < n*room {
			t.rank -= calls / n
			break
		} else {
			calls -= n * room
			t.rank = float64(level)
		}
	}
}
