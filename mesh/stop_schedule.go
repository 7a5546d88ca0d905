package mesh

import "time"

const (
	// A stopping node accepts requests of other nodes for peerAcceptTime, and of
	// customers for customerAcceptTime. The platform needs two failed readiness
	// probes, sent one per second, before it directs callers to other nodes, and
	// keeps sending some requests when many nodes stop at once, or when most nodes of
	// the zone are not ready.
	peerAcceptTime     = 2200 * time.Millisecond
	customerAcceptTime = 2700 * time.Millisecond
	// unknownCallAcceptTime is how long a stopping node accepts calls of its backend
	// server for which no response time is known.
	unknownCallAcceptTime = 3700 * time.Millisecond
	// peerAcceptShare, customerAcceptShare and unknownCallAcceptShare bound these times
	// as shares of the grace time.
	peerAcceptShare        = 1.0 / 3
	customerAcceptShare    = 1.0 / 2
	unknownCallAcceptShare = 0.6
	// answerMargin is the time between the expected answer of a request and the deadline
	// of a stop.
	answerMargin = 100 * time.Millisecond
	// maxExitMargin and maxExitMarginShare bound the time before SIGKILL that is reserved
	// for the exit of the process, the latter as a share of the grace time. The share is
	// below a sixth, because only requests that run into the last sixth may be cut.
	maxExitMargin      = 700 * time.Millisecond
	maxExitMarginShare = 0.12
	// waitingRefusalTime is how long before its deadline a stopping node refuses the
	// requests that wait for a slot at least, which leaves time to answer them.
	waitingRefusalTime = 300 * time.Millisecond
)

// stopSchedule decides which requests a node accepts during a planned stop. Callers are
// refused once the platform has had the time to direct them to other nodes. The calls of
// requests that already run at the backend server can't go elsewhere, so they are accepted
// for as long as they can be answered.
type stopSchedule struct {
	peerEnd, customerEnd, unknownCallEnd time.Time
	// deadline is when the connections of the requests in progress are closed.
	deadline time.Time
}

// lateRequest describes a request that arrives at a stopping node.
type lateRequest struct {
	// mayBeCall is true if the backend server may have made the request for one that it
	// runs.
	mayBeCall bool
	// responseTime is the longest time that requests of the route have taken lately, or 0
	// if none is known.
	responseTime time.Duration
}

func newStopSchedule(started time.Time, grace time.Duration) stopSchedule {
	end := func(limit time.Duration, share float64) time.Time {
		return started.Add(min(limit, time.Duration(share*float64(grace))))
	}
	return stopSchedule{
		peerEnd:        end(peerAcceptTime, peerAcceptShare),
		customerEnd:    end(customerAcceptTime, customerAcceptShare),
		unknownCallEnd: end(unknownCallAcceptTime, unknownCallAcceptShare),
		deadline:       started.Add(grace - exitMargin(grace)),
	}
}

// exitMargin returns the time before SIGKILL that is reserved for the exit of the process.
func exitMargin(grace time.Duration) time.Duration {
	return min(maxExitMargin, time.Duration(maxExitMarginShare*float64(grace)))
}

// accepts reports whether the node accepts a request that arrives now.
func (s stopSchedule) accepts(now time.Time, r lateRequest) bool {
	switch {
	case now.Before(s.peerEnd):
		return true
	case !r.mayBeCall && !now.Before(s.customerEnd):
		return false
	case r.responseTime == 0:
		return now.Before(s.unknownCallEnd)
	default:
		return now.Add(r.responseTime + answerMargin).Before(s.deadline)
	}
}

// waitingRefusal returns when the requests that wait for a slot are refused: one that gets
// a slot later could not finish. longestRun is the longest time that the backend server has
// taken for a request lately.
func (s stopSchedule) waitingRefusal(longestRun time.Duration) time.Time {
	refusal := s.deadline.Add(-max(longestRun+answerMargin, waitingRefusalTime))
	if refusal.Before(s.customerEnd) {
		return s.customerEnd
	}
	return refusal
}
