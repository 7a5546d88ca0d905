package fairshare

import (
	"time"
)

const (
	// demandWindow is the time over which the demand of a workspace is counted, if it has made
	// enough requests in it.
	demandWindow = time.Second
	// demandMemory is the time over which the demand of a workspace with fewer requests is
	// counted. Counted over the last second alone, each workspace that makes a request would
	// seem to make one a second.
	demandMemory = 30 * time.Second
	// keptRequests is the number of requests of a workspace whose times are kept, and
	// minIntervals the number of intervals between requests from which they give the demand.
	keptRequests = 16
	minIntervals = 3

	// maxExpected bounds the returns of a workspace that are expected.
	maxExpected = 64
	// returnTolerance is how much earlier than it was told a request may return. Retry-After
	// is rounded to a millisecond.
	returnTolerance = 5 * time.Millisecond
	// returnGrace is how long a return is expected after its time.
	returnGrace = 500 * time.Millisecond
	// maxEarlyRequests is the number of requests with the same fingerprint that may arrive
	// before the time of the return. More of them come from callers that do not wait, or
	// from so many that the node can't tell them apart.
	maxEarlyRequests = 1
)

// demand is what is known of the requests of a workspace with one priority.
type demand struct {
	// recent has the times of the last requests; the next one replaces that at next.
	recent [keptRequests]time.Time
	next   int
	// count is the number of requests with weights that decay over demandWindow.
	count float64
	last  time.Time
	// balance is what the probabilities of the requests beyond the share of the workspace add up
	// to, less the number of those admitted. Requests on a route of which all are admitted do
	// not change it: they would clear the debt of those that returned on another route.
	balance float64
	// expected has the requests that have been told to return, by fingerprint.
	expected map[uint64]*expectedReturn
}

type expectedReturn struct {
	at    time.Time
	early int
}

// recordRequest counts a request and returns the present demand in requests per second.
// startedAt is the time since which requests have been counted.
func (d *demand) recordRequest(now, startedAt time.Time) (rate float64) {
	if now.Sub(d.last) > demandMemory {
		d.balance = 0
	}
	d.count = d.count*decay(now.Sub(d.last), demandWindow) + 1
	d.last = now
	d.recent[d.next] = now
	d.next = (d.next + 1) % keptRequests
	requests, first := 0, now
	for i := range keptRequests {
		at := d.recent[(d.next+i)%keptRequests]
		if at.IsZero() || now.Sub(at) > demandMemory {
			continue
		}
		if requests == 0 {
			first = at
		}
		requests++
	}
	span := now.Sub(first)
	switch {
	case requests == keptRequests && span < demandWindow:
		return d.count / demandWindow.Seconds()
	case requests > minIntervals:
		return float64(requests-1) / max(span, demandWindow).Seconds()
	default:
		return float64(requests) / min(max(now.Sub(startedAt), demandWindow), demandMemory).Seconds()
	}
}

// recordReturn reports whether the request has returned at the time that it was told.
func (d *demand) recordReturn(now time.Time, fingerprint uint64) (returned bool) {
	e := d.expected[fingerprint]
	switch {
	case e == nil:
		return false
	case now.Before(e.at.Add(-returnTolerance)):
		e.early++
		if e.early > maxEarlyRequests {
			delete(d.expected, fingerprint)
		}
		return false
	}
	delete(d.expected, fingerprint)
	return !e.hasEnded(now)
}

// corrected returns the probability that keeps the admitted requests of the workspace steady.
// It is the given one on average: a correction that is cut off at 0 or 1 would admit more or
// less in total.
func (d *demand) corrected(probability float64) float64 {
	if d.balance >= maxBalance {
		return 1
	}
	return max(probability+min(probability, 1-probability)*d.balance, minNewShare*probability)
}

func (e *expectedReturn) hasEnded(now time.Time) bool { return now.After(e.at.Add(returnGrace)) }

// expectReturn records that a refused request has been told to return. A request that comes
// too early does not change the time for which its first refusal counts, so that repeating at
// once gains nothing.
func (d *demand) expectReturn(now time.Time, fingerprint uint64, at time.Time) {
	if e := d.expected[fingerprint]; e != nil && !e.hasEnded(now) {
		return
	}
	if len(d.expected) >= maxExpected {
		for other, e := range d.expected {
			if e.hasEnded(now) {
				delete(d.expected, other)
			}
		}
		if len(d.expected) >= maxExpected {
			return
		}
	}
	if d.expected == nil {
		d.expected = make(map[uint64]*expectedReturn)
	}
	d.expected[fingerprint] = &expectedReturn{at: at}
}
