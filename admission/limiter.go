package admission

import (
	"math"
	"time"
)

const (
	// adaptInterval is the minimum time between two changes of the limit.
	adaptInterval = 200 * time.Millisecond
	// adaptSamples is the minimum number of finished calls between two changes.
	adaptSamples = 10
	// latencyTolerance is the ratio of the mean latency to the baseline above which
	// the limit is decreased.
	latencyTolerance = 2.0
	// decreaseFactor is the factor of each decrease of the limit.
	decreaseFactor = 0.7
	// maxStepDoublings bounds how often the step doubles during consecutive
	// increases. Small steps keep the limit close to the right value; growing steps
	// restore it soon after the cause of a decrease is over.
	maxStepDoublings = 4
	// improvementFactor is the ratio of the latency after a decrease to the latency
	// before it, below which the decrease counts as effective. On a backend server
	// that shares a fixed capacity among its calls, this ratio is decreaseFactor.
	improvementFactor = 0.9
)

// limiter adapts the concurrency limit. It decreases the limit when latency rises,
// and reverts the decrease if latency does not fall: the cause is then elsewhere,
// usually in a service deeper in the call chain, and a lower limit would only reduce
// throughput.
type limiter struct {
	limit float64
	// current is the limit in use: limit rounded down, and bounded during warm-up.
	current int
	// baseline is the lowest mean latency so far, or since the last decrease that was
	// reverted.
	baseline time.Duration

	changedAt  time.Time
	samples    int
	latencySum time.Duration
	// peakRunning is the largest number of running calls since the last change.
	peakRunning int

	// increases is the number of consecutive increases.
	increases int
	// latencyHigh is true if latency was above the tolerance at the last change.
	latencyHigh bool
	// decreaseLatency is the mean latency that led to the latest of a series of
	// decreases, or 0 if there is no such series. limitBeforeDecrease is the limit
	// before the series.
	decreaseLatency     time.Duration
	limitBeforeDecrease float64
}

// observe records a finished call. It ignores calls that started under the previous
// limit, because they would hide the effect of the change, and fast failures, because
// their latency does not depend on the load.
func (l *limiter) observe(started time.Time, running int, r Result) {
	l.peakRunning = max(l.peakRunning, running)
	if started.Before(l.changedAt) || (r.Failed || r.ChildShed) && r.Latency < l.baseline {
		return
	}
	l.samples++
	l.latencySum += r.Latency
}

// adapt changes the limit if enough time has passed and enough calls have finished
// since the last change.
func (l *limiter) adapt(now time.Time, limits Limits) {
	if l.changedAt.IsZero() {
		l.changedAt = now
	}
	if now.Sub(l.changedAt) < adaptInterval || l.samples < adaptSamples {
		return
	}
	increases := l.increases
	l.adjust(l.latencySum / time.Duration(l.samples))
	if l.increases == increases {
		l.increases = 0
	}
	l.clamp(limits)
	l.changedAt, l.samples, l.latencySum, l.peakRunning = now, 0, 0, 0
}

// adjust changes the limit according to the mean latency since the last change.
func (l *limiter) adjust(latency time.Duration) {
	if l.baseline == 0 || latency < l.baseline {
		l.baseline = latency
	}
	wasHigh := l.latencyHigh
	l.latencyHigh = float64(latency) > latencyTolerance*float64(l.baseline)
	switch {
	case !l.latencyHigh:
		l.decreaseLatency = 0
		// While the limit is not used, the latency does not show whether a higher
		// limit is possible.
		if float64(l.peakRunning) >= l.limit/2 {
			l.limit += math.Sqrt(l.limit) * float64(int(1)<<min(l.increases, maxStepDoublings))
			l.increases++
		}
	case !wasHigh:
		// Latency rose during this interval. Its mean includes calls from before the
		// rise and is too low to compare the latency after a decrease with.
	case l.decreaseLatency == 0:
		l.decreaseLatency, l.limitBeforeDecrease = latency, l.limit
		l.limit *= decreaseFactor
	case float64(latency) < improvementFactor*float64(l.decreaseLatency):
		l.decreaseLatency = latency
		l.limit *= decreaseFactor
	default:
		l.baseline = latency
		l.limit = l.limitBeforeDecrease
		l.decreaseLatency = 0
	}
}

func (l *limiter) clamp(limits Limits) {
	l.limit = min(max(l.limit, float64(limits.Floor)), float64(limits.Slots))
}

const (
	// latencyWindowLength is the length of a window. The estimate covers the current
	// and the previous window.
	latencyWindowLength = time.Second
	// typicalDeviations is the distance of the typical latency from the mean, in
	// mean deviations. Two mean deviations cover nearly all calls if service times
	// vary little.
	typicalDeviations = 2
)

// latencyEstimate estimates the latency from the calls answered in the current and
// the previous window. If there were none, the estimates are zero, which refuses no
// calls.
type latencyEstimate struct {
	windowStart       time.Time
	current, previous latencyWindow
}

// latencyWindow aggregates the latencies of the calls answered in a window.
type latencyWindow struct {
	lowest, sum, deviations time.Duration
	count                   int
}

func (e *latencyEstimate) observe(now time.Time, r Result) {
	if r.Failed || r.ChildShed || r.Latency <= 0 {
		return
	}
	mean := e.mean(now)
	if mean == 0 {
		mean = r.Latency
	}
	w := &e.current
	if w.count == 0 || r.Latency < w.lowest {
		w.lowest = r.Latency
	}
	w.count++
	w.sum += r.Latency
	w.deviations += (r.Latency - mean).Abs()
}

// lowest returns the shortest latency. Hardly any call is answered in less time.
func (e *latencyEstimate) lowest(now time.Time) time.Duration {
	e.rotate(now)
	if e.current.count == 0 || e.previous.count == 0 {
		return max(e.current.lowest, e.previous.lowest)
	}
	return min(e.current.lowest, e.previous.lowest)
}

// typical returns a latency within which most calls are answered.
func (e *latencyEstimate) typical(now time.Time) time.Duration {
	mean := e.mean(now)
	count := time.Duration(e.current.count + e.previous.count)
	if count == 0 {
		return 0
	}
	return mean + typicalDeviations*(e.current.deviations+e.previous.deviations)/count
}

func (e *latencyEstimate) mean(now time.Time) time.Duration {
	e.rotate(now)
	count := time.Duration(e.current.count + e.previous.count)
	if count == 0 {
		return 0
	}
	return (e.current.sum + e.previous.sum) / count
}

// rotate starts a new window if the current one has ended.
func (e *latencyEstimate) rotate(now time.Time) {
	age := now.Sub(e.windowStart)
	if age < latencyWindowLength {
		return
	}
	e.previous = e.current
	if age >= 2*latencyWindowLength {
		e.previous = latencyWindow{}
	}
	e.current, e.windowStart = latencyWindow{}, now
}
