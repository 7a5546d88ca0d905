package admission

import (
	"math"
	"time"
)

const (
	// adaptInterval is the shortest time between two changes of the limit.
	adaptInterval = 200 * time.Millisecond
	// adaptSamples is the number of finished calls that a change needs.
	adaptSamples = 10
	// latencyTolerance is how far mean latency may exceed the baseline before
	// the limit is lowered.
	latencyTolerance = 2.0
	cutFactor        = 0.7
	// maxRaises bounds how often the step doubles. Small steps hold a limit near
	// its right value, growing ones bring it back soon after a cause has passed.
	maxRaises = 4
	// helpFactor is the drop of latency that shows that a cut helped. A backend
	// server that shares a fixed capacity among its calls gets faster by
	// cutFactor.
	helpFactor = 0.9
)

// limiter adapts the concurrency limit. It lowers the limit when latency rises,
// and takes the cut back if latency does not follow: then the cause lies
// elsewhere, usually in a service further down the chain, and a low limit would
// only lower throughput.
type limiter struct {
	limit    float64
	current  int
	baseline time.Duration

	changed time.Time
	samples int
	total   time.Duration
	// peak is the largest number of running calls since the last change.
	peak int

	// raises is the number of raises in a row.
	raises int
	// slow is true if latency was too high at the last change.
	slow bool
	// cutLatency and cutLimit are the values before the present series of cuts.
	cutLatency time.Duration
	cutLimit   float64
}

// observe records a finished call. Calls that began under the previous limit
// would hide the effect of a change, and quick failures say nothing about load.
func (l *limiter) observe(started time.Time, running int, r Result) {
	l.peak = max(l.peak, running)
	if started.Before(l.changed) || (r.Failed || r.Shed) && r.Latency < l.baseline {
		return
	}
	l.samples++
	l.total += r.Latency
}

func (l *limiter) adapt(now time.Time, limits Limits) {
	if l.changed.IsZero() {
		l.changed = now
	}
	if now.Sub(l.changed) < adaptInterval || l.samples < adaptSamples {
		return
	}
	raises := l.raises
	l.follow(l.total / time.Duration(l.samples))
	if l.raises == raises {
		l.raises = 0
	}
	l.clamp(limits)
	l.changed, l.samples, l.total, l.peak = now, 0, 0, 0
}

// follow changes the limit by the mean latency of an interval.
func (l *limiter) follow(latency time.Duration) {
	if l.baseline == 0 || latency < l.baseline {
		l.baseline = latency
	}
	before := l.slow
	l.slow = float64(latency) > latencyTolerance*float64(l.baseline)
	switch {
	case !l.slow:
		l.cutLatency = 0
		// An unused limit says nothing about a higher one.
		if float64(l.peak) >= l.limit/2 {
			l.limit += math.Sqrt(l.limit) * float64(int(1)<<min(l.raises, maxRaises))
			l.raises++
		}
	case !before:
		// Latency rose within this interval, so its mean is too low to judge a
		// cut by.
	case l.cutLatency == 0:
		l.cutLatency, l.cutLimit = latency, l.limit
		l.limit *= cutFactor
	case float64(latency) < helpFactor*float64(l.cutLatency):
		l.cutLatency = latency
		l.limit *= cutFactor
	default:
		l.baseline = latency
		l.limit = l.cutLimit
		l.cutLatency = 0
	}
}

func (l *limiter) clamp(limits Limits) {
	l.limit = min(max(l.limit, float64(limits.Floor)), float64(limits.Slots))
}

const (
	// estimateWindow is how long a measured latency counts.
	estimateWindow = time.Second
	// typicalDeviations is how far the typical latency lies above the mean, in
	// mean deviations. Two cover nearly all calls of even service times.
	typicalDeviations = 2
)

// estimate describes the latency of answered calls in the present and the
// previous window. Without calls in that time it is zero and refuses nothing.
type estimate struct {
	since             time.Time
	present, previous window
}

// window sums up the latencies of a time.
type window struct {
	lowest, sum, deviations time.Duration
	count                   int
}

func (e *estimate) observe(now time.Time, r Result) {
	if r.Failed || r.Shed || r.Latency <= 0 {
		return
	}
	mean := e.mean(now)
	if mean == 0 {
		mean = r.Latency
	}
	w := &e.present
	if w.count == 0 || r.Latency < w.lowest {
		w.lowest = r.Latency
	}
	w.count++
	w.sum += r.Latency
	w.deviations += (r.Latency - mean).Abs()
}

// low is a time in which hardly any call is answered.
func (e *estimate) low(now time.Time) time.Duration {
	e.advance(now)
	if e.present.count == 0 || e.previous.count == 0 {
		return max(e.present.lowest, e.previous.lowest)
	}
	return min(e.present.lowest, e.previous.lowest)
}

// typical is a time in which most calls are answered.
func (e *estimate) typical(now time.Time) time.Duration {
	mean := e.mean(now)
	count := time.Duration(e.present.count + e.previous.count)
	if count == 0 {
		return 0
	}
	return mean + typicalDeviations*(e.present.deviations+e.previous.deviations)/count
}

func (e *estimate) mean(now time.Time) time.Duration {
	e.advance(now)
	count := time.Duration(e.present.count + e.previous.count)
	if count == 0 {
		return 0
	}
	return (e.present.sum + e.previous.sum) / count
}

func (e *estimate) advance(now time.Time) {
	age := now.Sub(e.since)
	if age < estimateWindow {
		return
	}
	e.previous = e.present
	if age >= 2*estimateWindow {
		e.previous = window{}
	}
	e.present, e.since = window{}, now
}
