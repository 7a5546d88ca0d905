package admission

import (
	"math"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	// countInterval is the time over which calls are counted.
	countInterval = 200 * time.Millisecond
	// usualWeight is the weight of one interval in the usual counts.
	usualWeight = 0.3
	// A raise is judged by the calls that began after the last change: by
	// evidenceCalls of them, or after evidenceTime by those there are. Calls that
	// a service further down refuses take a while to fail through all hops, and
	// reacting to the same refusals twice refuses bookings.
	evidenceCalls = 10
	evidenceTime  = time.Second
	// quietTime without a refusal further down allows a step down.
	quietTime = 300 * time.Millisecond
	// shedTolerance is the share of calls that may fail because a child call
	// was refused for overload. Their work is wasted, but a share of zero would
	// leave capacity unused.
	shedTolerance = 0.02
	// admitStep is the first step down, as a share of the admitted calls. It
	// grows with each step in a row, so that all calls are admitted about 2 s
	// after the overload has passed.
	admitStep     = 0.1
	admitGrowth   = 4
	maxAdmitSteps = 5
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

	// counted is the begin of the interval whose calls are counted by importance
	// in arrivals, and whose answered calls in answered.
	counted  time.Time
	arrivals [call.Critical + 1]int
	answered int
	// usual and usualAnswered are the means of these counts over about a second.
	usual         [call.Critical + 1]float64
	usualAnswered float64

	changed time.Time
	// finished counts the calls that began after the last change and ended, and
	// shed those of which a child call was refused.
	finished, shed int
	// steps is the number of steps down in a row.
	steps int
}

// arrive counts a call and reports whether it is refused.
func (t *threshold) arrive(r Request) (refused bool) {
	t.arrivals[r.Importance]++
	return float64(r.Importance)+float64(r.Lot)/(math.MaxUint32+1) < t.rank
}

func (t *threshold) finish(started time.Time, r Result) {
	if !r.Shed && !r.Failed {
		t.answered++
	}
	if started.Before(t.changed) {
		return
	}
	t.finished++
	if r.Shed {
		t.shed++
	}
}

func (t *threshold) adapt(now time.Time) {
	if now.Sub(t.counted) >= countInterval {
		t.count(now)
	}
	age := now.Sub(t.changed)
	admitted := t.admitted()
	switch {
	case t.shed == 0 && t.rank > 0 && age >= quietTime:
		t.lower(admitStep * max(admitted, 1) * math.Pow(admitGrowth, float64(t.steps)))
		t.steps = min(t.steps+1, maxAdmitSteps)
	case t.shed > 0 && (t.finished >= evidenceCalls && age >= countInterval || age >= evidenceTime):
		if share := float64(t.shed) / float64(t.finished); share > shedTolerance {
			// Refused calls end sooner than answered ones, so the share is too
			// high at first; what is usually answered can be admitted.
			t.raise(min(share*admitted, max(admitted-t.usualAnswered, shedTolerance*admitted)))
			t.steps = 0
		}
	default:
		return
	}
	t.changed, t.finished, t.shed = now, 0, 0
}

// count ends an interval. Once all arrivals are no more than what is usually
// answered, nothing has to be refused here.
func (t *threshold) count(now time.Time) {
	total := 0.0
	for i, n := range t.arrivals {
		t.usual[i] += usualWeight * (float64(n) - t.usual[i])
		total += t.usual[i]
	}
	t.usualAnswered += usualWeight * (float64(t.answered) - t.usualAnswered)
	if total <= t.usualAnswered {
		t.rank, t.steps = 0, 0
	}
	t.counted, t.arrivals, t.answered = now, [call.Critical + 1]int{}, 0
}

// admitted is the usual number of calls per interval above the threshold.
func (t *threshold) admitted() (calls float64) {
	for i, n := range t.usual {
		calls += n * min(max(float64(i+1)-t.rank, 0), 1)
	}
	return calls
}

// raise moves the threshold up past the given number of calls per interval.
func (t *threshold) raise(calls float64) {
	for calls > 0 && t.rank < maxThreshold {
		level := int(t.rank)
		room := float64(level+1) - t.rank
		n := t.usual[level]
		if calls < n*room {
			t.rank += calls / n
			break
		}
		calls -= n * room
		t.rank = float64(level + 1)
	}
	t.rank = min(t.rank, maxThreshold)
}

// lower is the opposite of raise.
func (t *threshold) lower(calls float64) {
	for calls > 0 && t.rank > 0 {
		level := int(math.Ceil(t.rank)) - 1
		room := t.rank - float64(level)
		n := t.usual[level]
		if calls < n*room {
			t.rank -= calls / n
			break
		}
		calls -= n * room
		t.rank = float64(level)
	}
}
