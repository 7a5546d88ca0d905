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
	// maxRatio bounds the work of one request as a multiple of the mean. One in 30 to 100
	// requests takes 3 to 7 times as long.
	maxRatio = 3
	minRatio = 0.2
	// maxRoutes limits the number of routes for which a mean is kept.
	maxRoutes = 4096
)

// workTracker keeps the mean work in seconds of the requests of each route.
type workTracker struct {
	mean    float64
	samples int
	routes  map[string]*routeWork
}

type routeWork struct {
	mean    float64
	samples int
}

func newWorkTracker() workTracker { return workTracker{routes: make(map[string]*routeWork)} }

// record adds the work of a request. ratio is the work as a multiple of the mean of the
// route, if that is known well enough.
func (t *workTracker) record(route string, work float64) (ratio float64, known bool) {
	r := t.routes[route]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			return 0, false
		}
		r = &routeWork{}
		t.routes[route] = r
	}
	if known = r.samples >= minSamples && r.mean > 0; known {
		ratio = min(max(work/r.mean, minRatio), maxRatio)
		work = ratio * r.mean
	}
	r.mean, r.samples = smooth(r.mean, work, r.samples)
	t.mean, t.samples = smooth(t.mean, work, t.samples)
	return ratio, known
}

// of returns the mean work of a route, or that of all routes if it is unknown.
func (t *workTracker) of(route string) float64 {
	if r := t.routes[route]; r != nil && r.samples >= minSamples {
		return r.mean
	}
	return t.mean
}

// smooth adds a value to a moving average. The first values have equal weights.
func smooth(mean, value float64, samples int) (newMean float64, newSamples int) {
	samples = min(samples+1, int(1/workSmoothing))
	return mean + (value-mean)/float64(samples), samples
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
	// minWeight is the number of samples without which the elasticity is unknown.
	minWeight = 50
)

// moments relates the logarithm of the work of requests to the logarithm of the number that
// ran at their start.
type moments struct {
	last                        time.Time
	weight                      float64
	meanN, meanW                float64
	varianceN, varianceW, cross float64
}

// add adds a sample.
func (m *moments) add(now time.Time, n, w float64) {
	if m.last.IsZero() {
		m.meanN, m.meanW = n, w
	}
	elapsed := now.Sub(m.last)
	if m.last.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	m.last = now
	keep := math.Exp(-float64(elapsed) / float64(momentTime))
	dn, dw := n-m.meanN, w-m.meanW
	m.weight = m.weight*keep + 1
	m.varianceN = m.varianceN*keep + dn*dn
	m.varianceW = m.varianceW*keep + dw*dw
	m.cross = m.cross*keep + dn*dw
	follow := 1 - math.Exp(-float64(elapsed)/float64(trendTime))
	m.meanN += follow * dn
	m.meanW += follow * dw
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
