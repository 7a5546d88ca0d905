package concurrency

import (
	"math"
	"time"
)

// paceTracker follows the pace that a server states.
type paceTracker struct {
	// now is the latest stated pace. lasting is the lowest one within noiseTime: a slower
	// pace counts once it has lasted for that long, and a faster one at once.
	now, lasting float64
	changedAt    time.Time
	// progress is the work in seconds that a request would have done by changedAt.
	progress float64
	// earlier holds the paces within noiseTime before the latest, oldest first, as far as
	// they are lower than all later ones.
	earlier []paceUntil
}

// paceUntil is a pace and the time at which it ended.
type paceUntil struct {
	pace  float64
	until time.Time
}

func newPaceTracker() paceTracker { return paceTracker{now: 1, lasting: 1} }

// set records a stated pace.
func (p *paceTracker) set(now time.Time, pace float64) {
	p.progress = p.progressAt(now)
	if !p.changedAt.IsZero() && pace != p.now {
		for n := len(p.earlier); n > 0 && p.earlier[n-1].pace >= p.now; n-- {
			p.earlier = p.earlier[:n-1]
		}
		p.earlier = append(p.earlier, paceUntil{p.now, now})
	}
	p.now, p.changedAt = pace, now
	p.drop(now)
}

// drop forgets paces that ended more than noiseTime ago.
func (p *paceTracker) drop(now time.Time) {
	for len(p.earlier) > 0 && (now.Sub(p.earlier[0].until) > noiseTime || p.earlier[0].pace >= p.now) {
		p.earlier = p.earlier[1:]
	}
	p.lasting = p.now
	if len(p.earlier) > 0 {
		p.lasting = p.earlier[0].pace
	}
}

// progressAt returns the work in seconds that a request would have done by the time.
func (p *paceTracker) progressAt(now time.Time) float64 {
	if p.changedAt.IsZero() {
		return 0
	}
	return p.progress + now.Sub(p.changedAt).Seconds()/p.now
}

// runTime returns the expected run time in seconds for work in seconds that starts now.
func (p *paceTracker) runTime(work float64) float64 {
	if p.now <= p.lasting {
		return work * p.now
	}
	left := meanNoiseLeft.Seconds()
	return min(work*p.now, left+(work-left/p.now)*p.lasting)
}

const (
	// workSmoothing is the weight of one request in the moving averages of the work.
	workSmoothing = 0.02
	// minSamples is the number of requests of a route from which its mean work is used to
	// judge further ones.
	minSamples = 10
	// maxWork bounds the work of one request as a multiple of the mean. One in 30 to 100
	// requests takes 3 to 7 times as long.
	maxWork = 8
	// minRatio and maxRatio bound it where requests are compared with each other, so that
	// the rare long ones do not decide.
	minRatio = 0.2
	maxRatio = 2
	// bestSamples is the number of requests after which the mean work of a route is compared
	// with its best, and bestSmoothing the weight with which the best follows the mean.
	bestSamples   = 100
	bestSmoothing = 0.0001
	// maxRoutes limits the number of routes for which a mean is kept.
	maxRoutes = 4096
)

// workTracker keeps the mean work in seconds of the requests of each route.
type workTracker struct {
	mean    float64
	samples int
	// excess is the mean of the work as a multiple of the best.
	excess float64
	routes map[string]*routeWork
}

type routeWork struct {
	// mean is the mean work, and usual the mean of the work bounded by maxRatio. best is the
	// lowest usual work, which rises slowly while that is higher.
	mean, usual, best float64
	samples           int
}

func newWorkTracker() workTracker { return workTracker{routes: make(map[string]*routeWork)} }

// record adds the work of a request. ratio is the work as a multiple of the best usual work
// of the route, if that is known.
func (t *workTracker) record(route string, work float64) (ratio float64, known bool) {
	r := t.routes[route]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			return 0, false
		}
		r = &routeWork{}
		t.routes[route] = r
	}
	usual := work
	if r.samples >= minSamples && r.usual > 0 {
		usual, work = min(max(work, minRatio*r.usual), maxRatio*r.usual), min(work, maxWork*r.usual)
	}
	r.samples++
	r.mean += weightOf(r.samples) * (work - r.mean)
	r.usual += weightOf(r.samples) * (usual - r.usual)
	t.samples++
	t.mean += weightOf(t.samples) * (work - t.mean)
	switch {
	case r.samples < bestSamples || r.usual <= 0:
		return 0, false
	case r.best == 0 || r.usual < r.best:
		r.best = r.usual
	default:
		r.best += bestSmoothing * (r.usual - r.best)
	}
	t.excess += workSmoothing * (r.usual/r.best - t.excess)
	return usual / r.best, true
}

// weightOf returns the weight of the latest of a number of samples in a moving average. The
// first values have equal weights.
func weightOf(samples int) float64 { return max(1/float64(samples), workSmoothing) }

// of returns the mean work of a route, or that of all routes if it is unknown.
func (t *workTracker) of(route string) float64 {
	if t.knows(route) {
		return t.routes[route].mean
	}
	return t.mean
}

// knows reports whether the mean work of a route is known. If only that route has run, the
// mean of all routes is its own.
func (t *workTracker) knows(route string) bool {
	r := t.routes[route]
	return r != nil && (r.samples >= minSamples || r.samples == t.samples)
}

const (
	// trendTime is the time constant of the means from which deviations are taken. Changes
	// that take longer, such as a slow server whose requests pile up, do not count as an
	// effect of the number of requests.
	trendTime = 2 * time.Second
	// momentTime is the time constant of the moments.
	momentTime = 15 * time.Second
	// weakening is the part of the evidence that remains after the limit has been lowered,
	// since it stems from the higher limit.
	weakening = 0.8
	// settleTime is the time after the first start of a request in which starts do not
	// count. The requests that end first are short, and began while few were running.
	settleTime = 3 * time.Second
	// maxDeviation bounds the deviation of one sample, so that a sudden rise of the load
	// does not outweigh all other samples.
	maxDeviation = 0.3
	// minWeight is the number of samples without which the elasticity is unknown.
	minWeight = 50
)

// moments relates the logarithm of the work of requests to the logarithm of the number of
// requests in the server during their run.
type moments struct {
	firstStart time.Time
	n, w       mean
	last       time.Time
	// The sums are weighted with momentTime.
	weight, varianceN, varianceW, cross float64
}

// mean is a moving average with the time constant trendTime.
type mean struct {
	value float64
	last  time.Time
	// weight is the sum of the weights so far, which approaches 1.
	weight float64
}

// add adds a value and returns its deviation from the mean before.
func (m *mean) add(now time.Time, value float64) (deviation float64) {
	if m.last.IsZero() {
		m.value, m.last = value, now
		return 0
	}
	deviation = value - m.value
	keep := decay(now.Sub(m.last), trendTime)
	if m.weight = m.weight*keep + 1 - keep; m.weight > 0 {
		m.value += (1 - keep) / m.weight * deviation
	}
	m.last = now
	return deviation
}

// decay returns the weight that remains after a time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(timeConstant))
}

// started records the logarithm of the number of requests in the server at the start of one.
// It returns the mean, or NaN if the request does not count. The mean is taken at the start
// because long requests end later than short ones that started with them.
func (m *moments) started(now time.Time, n float64) (mean float64) {
	if m.firstStart.IsZero() {
		m.firstStart = now
	}
	m.n.add(now, n)
	if now.Sub(m.firstStart) < settleTime {
		return math.NaN()
	}
	return m.n.value
}

// add adds a request that has ended: the deviation of the number of requests during its run
// from the mean at its start, and the logarithm of its work.
func (m *moments) add(now time.Time, deviation, w float64) {
	keep := 1.0
	if !m.last.IsZero() {
		keep = decay(now.Sub(m.last), momentTime)
	}
	m.last = now
	dw := m.w.add(now, w)
	if math.IsNaN(deviation) {
		return
	}
	deviation = min(max(deviation, -maxDeviation), maxDeviation)
	m.weight = m.weight*keep + 1
	m.varianceN = m.varianceN*keep + deviation*deviation
	m.varianceW = m.varianceW*keep + dw*dw
	m.cross = m.cross*keep + deviation*dw
}

// weaken reduces the weight of the samples.
func (m *moments) weaken() {
	m.weight *= weakening
	m.varianceN *= weakening
	m.varianceW *= weakening
	m.cross *= weakening
}

// elasticity returns the slope and its standard error.
func (m *moments) elasticity() (slope, deviation float64) {
	if m.weight < minWeight || m.varianceN < 1e-9 {
		return 0, math.Inf(1)
	}
	return m.cross / m.varianceN, math.Sqrt(m.varianceW / m.weight / m.varianceN)
}
