package routing

import (
	"math"
	"slices"
	"time"
)

// Services whose upstreams report how long they need for a request are chosen from by the
// expected time to an answer instead of by the share of the limit that is in use.

const (
	// runWeight is the weight of one reported run time in the mean of its route over all
	// upstreams, and slownessWeight that in the slowness of its upstream.
	runWeight      = 0.02
	slownessWeight = 0.5
	// forgetTime is the time constant with which the slowness of an upstream without recent
	// report returns to that of the others.
	forgetTime = 2 * time.Second
	// maxTimedRoutes limits the number of routes of a service for which a mean is kept.
	maxTimedRoutes = 1024
	// Above busyShare of its limit, the expected time to an answer of an upstream is
	// multiplied, up to 1 + busyWeight at the limit, so that slower upstreams take a part of
	// the load before faster ones have to queue it.
	busyShare  = 0.7
	busyWeight = 3
	// fartherFactor is by how much longer an upstream must take than one of the next tier
	// for the latter to be chosen, since traffic between zones and regions is charged.
	fartherFactor = 1.25
	// probeInterval is the number of choices of a service after which one goes to an
	// upstream that has not reported within maxReportAge, if there is one.
	probeInterval = 32
	// minRunShare is the share of the expected run time in which some requests end. A
	// request that has less time left than that is not sent.
	minRunShare = 0.6
)

// roundTrips holds the time that requests and answers take on the network, by tier.
var roundTrips = [...]time.Duration{zoneTier: time.Millisecond, regionTier: 6 * time.Millisecond, remoteTier: 40 * time.Millisecond}

// timing is the expected run time of the requests of a service.
type timing struct {
	// timed is true if an upstream reports run times.
	timed bool
	// mean is the mean run time in seconds over all routes, and routes holds that of each.
	mean    float64
	routes  map[string]routeRun
	choices int
}

// routeRun is the mean run time of a route in seconds, and when it was last reported.
type routeRun struct {
	mean       float64
	reportedAt time.Time
}

// record adds a reported run time, and returns it as a multiple of the mean of the route.
func (t *timing) record(now time.Time, route string, run float64) (slowness float64) {
	if t.routes == nil {
		t.routes, t.mean = make(map[string]routeRun), run
	}
	t.mean += runWeight * (run - t.mean)
	r, known := t.routes[route]
	if !known {
		if len(t.routes) >= maxTimedRoutes {
			return run / t.mean
		}
		r.mean = run
	}
	r.mean += runWeight * (run - r.mean)
	r.reportedAt = now
	t.routes[route] = r
	return run / r.mean
}

// runOf returns the mean run time of a route in seconds.
func (t *timing) runOf(route string) float64 {
	if r, known := t.routes[route]; known {
		return r.mean
	}
	return t.mean
}

// hasFreshRun reports whether the run time of the route was reported recently. No request is
// refused because of an older one: without requests, no report would correct it.
func (t *timing) hasFreshRun(now time.Time, route string) bool {
	r, known := t.routes[route]
	return known && now.Sub(r.reportedAt) < maxReportAge
}

// recordRun records the expected run time that a report states, if it does.
func (s *service) recordRun(now time.Time, u *upstreamState, report Report) {
	if !report.HasLoad {
		return
	}
	if report.Run <= 0 {
		if u.slowness > 0 && !report.Paced {
			u.slowness = 0
			s.updateTimed()
		}
		return
	}
	slowness := s.timing.record(now, report.Route, report.Run.Seconds())
	if u.slowness == 0 {
		u.slowness = slowness
	}
	u.slowness += slownessWeight * (slowness - u.slowness)
	u.meanRun, s.timing.timed = report.MeanRun.Seconds(), true
}

// updateTimed sets whether an upstream reports run times.
func (s *service) updateTimed() {
	s.timing.timed = slices.ContainsFunc(s.upstreams, func(u upstreamState) bool { return u.slowness > 0 })
}

// currentSlowness returns the run time at the upstream as a multiple of the mean.
func (u *upstreamState) currentSlowness(now time.Time) float64 {
	if u.slowness == 0 {
		return 1
	}
	age := now.Sub(u.reportedAt) - maxReportAge
	if age <= 0 {
		return u.slowness
	}
	return 1 + (u.slowness-1)*math.Exp(-float64(age)/float64(forgetTime))
}

// answerTime returns the expected time to an answer in seconds, with the factor for busy
// upstreams.
func (s *service) answerTime(u *upstreamState, now time.Time, q Query) float64 {
	run := s.timing.runOf(q.Route) * u.currentSlowness(now)
	if busy := u.score(now, q.Cost) - busyShare; busy > 0 {
		busy /= 1 - busyShare
		run *= 1 + busyWeight*busy*busy
	}
	return run + roundTrips[u.tier].Seconds()
}

// isTooLate reports whether the upstream is known to be unable to answer in time.
func (s *service) isTooLate(u *upstreamState, now time.Time, q Query) bool {
	if q.TimeLeft <= 0 || u.slowness == 0 || !u.hasFreshLoad(now) {
		return false
	}
	limit := u.currentLimit(now)
	waiting := max(float64(u.estimatedCalls(now)+1-limit), 0) / float64(limit) * u.meanRun
	run := 0.0
	if s.timing.hasFreshRun(now, q.Route) {
		run = minRunShare * s.timing.runOf(q.Route) * u.slowness
	}
	return waiting+run+roundTrips[u.tier].Seconds() > q.TimeLeft.Seconds()
}

// TooLate reports whether no untried upstream of the region of the query, or of any region to
// which the call may go, can answer before the time left has passed.
func (t *Table) TooLate(now time.Time, q Query) bool {
	s := t.services[q.Service]
	if s == nil || !s.timing.timed {
		return false
	}
	some := false
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if q.excludes(u) || q.Region == "" && u.tier == remoteTier && !t.remoteAllowed(s, q.Cost) {
			continue
		}
		if !s.isTooLate(u, now, q) {
			return false
		}
		some = true
	}
	return some
}

// chooseByTime chooses the upstream for a call of a timed service. ok is false if no upstream
// can answer in time.
func (t *Table) chooseByTime(s *service, now time.Time, q Query) (u Upstream, ok bool) {
	s.timing.choices++
	if s.timing.choices%probeInterval == 0 {
		if u, ok = s.probe(now, q); ok {
			return u, true
		}
	}
	for _, spareOnly := range []bool{true, false} {
		var best *upstreamState
		bestTime := 0.0
		for start := 0; start < len(s.upstreams); start = s.tierEnd(start) {
			if q.Region == "" && s.upstreams[start].tier == remoteTier && (best != nil || !t.remoteAllowed(s, q.Cost)) {
				break
			}
			t.collect(s, start, s.tierEnd(start), q, now, spareOnly)
			t.dropTooLate(s, now, q)
			candidate, answerTime := t.pickByTime(s, now, q)
			if candidate != nil && (best == nil || fartherFactor*answerTime < bestTime) {
				best, bestTime = candidate, answerTime
			}
		}
		if best != nil {
			return best.Upstream, true
		}
	}
	return Upstream{}, false
}

// dropTooLate removes the candidates that can't answer in time.
func (t *Table) dropTooLate(s *service, now time.Time, q Query) {
	kept := t.candidates[:0]
	for _, i := range t.candidates {
		if !s.isTooLate(&s.upstreams[i], now, q) {
			kept = append(kept, i)
		}
	}
	t.candidates = kept
}

// pickByTime returns the one of two random candidates that is expected to answer first. All
// nodes have similar reports, so the best of all candidates would be sent the requests of
// all nodes until the next report.
func (t *Table) pickByTime(s *service, now time.Time, q Query) (u *upstreamState, answerTime float64) {
	n := len(t.candidates)
	if n == 0 {
		return nil, 0
	}
	a := t.random.IntN(n)
	u = &s.upstreams[t.candidates[a]]
	answerTime = s.answerTime(u, now, q)
	if n == 1 {
		return u, answerTime
	}
	b := t.random.IntN(n - 1)
	if b >= a {
		b++
	}
	other := &s.upstreams[t.candidates[b]]
	if otherTime := s.answerTime(other, now, q); otherTime < answerTime {
		return other, otherTime
	}
	return u, answerTime
}

// probe returns the upstream of the region of the query, or of this region, that has not
// reported for the longest time beyond maxReportAge, and has no request of this node.
func (s *service) probe(now time.Time, q Query) (u Upstream, ok bool) {
	var oldest *upstreamState
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if q.excludes(u) || q.Region == "" && u.tier == remoteTier || u.inFlight > 0 || u.currentWeight(now) < 1 || u.hasFreshLoad(now) {
			continue
		}
		if oldest == nil || u.reportedAt.Before(oldest.reportedAt) {
			oldest = u
		}
	}
	if oldest == nil {
		return Upstream{}, false
	}
	return oldest.Upstream, true
}
