package mesh

import (
	"slices"
	"time"
)

const (
	// homeRegionAttempts is the number of nodes of its home region that a request
	// is sent to with short queue timeouts, before it waits longer there or leaves
	// the region. A refused attempt costs no work at a backend server.
	homeRegionAttempts = 2
	// maxNodeAttempts limits the attempts of a request at all nodes, including
	// retries.
	maxNodeAttempts = 8
	// maxRejectedAttempts takes its place for a request that backend servers have rejected
	// without running it. If they reject 55%, a request fails 8 times in 0.8% of cases, so that
	// one of 8 requests of a tree fails in 6%. 12 times it fails in 0.08%.
	maxRejectedAttempts = 12
	// maxIsolationNodes limits the nodes to which an isolated request is sent until one of
	// them does not refuse it.
	maxIsolationNodes = 3
	// firstQueueTimeout is how long a request waits for a slot at the first node,
	// while other nodes may have a free one. The round trip to the next zone takes
	// 1 ms.
	firstQueueTimeout = 10 * time.Millisecond
	// regionQueueTimeout is how long a request waits at a node before it is sent to
	// another region. It is about twice the round trip between regions.
	regionQueueTimeout = 80 * time.Millisecond
	// maxWaitAge is how long the wait counts that a node expected when it refused a request.
	// Requests with short queue timeouts may have left its queue afterwards.
	maxWaitAge = firstQueueTimeout
	// lastQueueTimeoutShare is the share of the time left until the deadline for
	// which a request may wait at the last node that it is sent to.
	lastQueueTimeoutShare = 0.25
)

// nodeSelector selects the nodes that a request is sent to, one after another.
type nodeSelector struct {
	balancer  *balancer
	admission *customerAdmission
	request   *request
	// maxBackends is the number of backend servers that may receive the request.
	maxBackends int
	// refused lists the nodes that refused the request. reachedBackend lists those
	// whose backend server received the request or may have received it.
	refused, reachedBackend []string
	// full has the refusals for want of a slot that state the expected wait.
	full []fullNode
	// shedBy lists the nodes whose backend servers received the request and stated that they
	// did not run it, and chosenAgain counts how often one of them was selected again.
	// mayHaveRun is true after an attempt that may have run.
	shedBy      []*peer
	chosenAgain int
	mayHaveRun  bool
	// attempts is the number of nodes selected so far.
	attempts int
	// isolated is true if all requests of this kind go to the same node.
	isolated bool
	// stage is the stage of the next selection.
	stage selectionStage
}

// fullNode is a node that has refused the request because no slot would be free in time.
type fullNode struct {
	node      string
	refusedAt time.Time
	wait      time.Duration
}

// refuses reports whether the node would refuse the request again, because the wait that it
// expected when it refused it is longer than the request may wait now.
func (n fullNode) refuses(now time.Time, queueTimeout time.Duration) bool {
	elapsed := now.Sub(n.refusedAt)
	return elapsed <= maxWaitAge && n.wait-elapsed > queueTimeout
}

// selectionStage is a stage in the selection of nodes. The stages are in the
// order in which they are tried.
type selectionStage uint8

const (
	// stageHomeRegion selects nodes of the home region, with short queue timeouts.
	stageHomeRegion selectionStage = iota
	// stageRegionWithCapacity selects a node of another region that is known to
	// have spare capacity.
	stageRegionWithCapacity
	// stageHomeRegionQueue selects a node of the home region again, where the
	// request may wait longer.
	stageHomeRegionQueue
	// stageAnyRegion selects a node of any region. Customer requests skip this
	// stage after a refusal: no work has been done for them yet, so giving up loses
	// none.
	stageAnyRegion
	stageEnd
)

// isolate restricts the request to the node that runs all requests of its kind. If that node
// can't run it, the next one in order does.
func (s *nodeSelector) isolate() { s.isolated = true }

// next returns the node for the next attempt and sets the queue timeout of the
// request there. ok is false if no node is left.
func (s *nodeSelector) next() (p *peer, ok bool) {
	if s.attempts >= s.maxAttempts() {
		return nil, false
	}
	s.request.sentBefore = s.attempts > 0
	s.attempts++
	if s.isolated {
		if s.attempts > maxIsolationNodes {
			return nil, false
		}
		s.request.queueTimeout = s.lastQueueTimeout()
		return s.balancer.isolationNode(s.request, s.refused)
	}
	if len(s.reachedBackend) >= s.maxBackends {
		return s.chooseAgain()
	}
	for ; s.stage < stageEnd; s.stage++ {
		if p, ok = s.choose(s.stage); ok {
			if s.stage != stageHomeRegion {
				s.stage++
			}
			return p, true
		}
	}
	return s.chooseAgain()
}

// maxAttempts returns the number of attempts that are allowed.
func (s *nodeSelector) maxAttempts() int {
	if s.mayHaveRun || len(s.shedBy) == 0 {
		return maxNodeAttempts
	}
	return maxRejectedAttempts
}

// chooseAgain returns, by turns, one of the nodes whose backend servers refused the request
// without running it, unless the request may have run elsewhere. A server that refuses a share
// of its requests is as likely to accept the next one as any other, and the route limits the
// number of servers and not that of refusals. One of them may refuse everything. Nodes that
// have refused the request themselves are left out.
func (s *nodeSelector) chooseAgain() (p *peer, ok bool) {
	if s.mayHaveRun {
		return nil, false
	}
	for range s.shedBy {
		p = s.shedBy[s.chosenAgain%len(s.shedBy)]
		s.chosenAgain++
		if !slices.Contains(s.refused, p.node) {
			s.request.queueTimeout = s.lastQueueTimeout()
			return p, true
		}
	}
	return nil, false
}

// recordRefusal records that a node refused the request without sending it to its backend
// server.
func (s *nodeSelector) recordRefusal(p *peer, res *result) {
	s.refused = append(s.refused, p.node)
	if res.wait > 0 {
		s.full = append(s.full, fullNode{p.node, time.Now(), res.wait})
	}
}

// recordBackend records that the backend server beside a node received the request.
// shed is true if it stated that it did not run the request.
func (s *nodeSelector) recordBackend(p *peer, shed bool) {
	if !slices.Contains(s.reachedBackend, p.node) {
		s.reachedBackend = append(s.reachedBackend, p.node)
	}
	if shed && !slices.Contains(s.shedBy, p) {
		s.shedBy = append(s.shedBy, p)
	}
	s.mayHaveRun = s.mayHaveRun || !shed
}

// hasNext reports whether another attempt at a backend server is allowed.
func (s *nodeSelector) hasNext() bool {
	return s.attempts < s.maxAttempts() && (len(s.reachedBackend) < s.maxBackends || !s.mayHaveRun)
}

// lastQueueTimeout returns how long the request may wait at the last node that it is
// sent to.
func (s *nodeSelector) lastQueueTimeout() time.Duration {
	end := s.request.deadline
	if by := s.request.answerBy; !by.IsZero() && by.Before(end) {
		end = by
	}
	return time.Duration(lastQueueTimeoutShare * float64(time.Until(end)))
}

// choose selects a node for the stage.
func (s *nodeSelector) choose(stage selectionStage) (p *peer, ok bool) {
	r, b := s.request, s.balancer
	lastQueueTimeout := s.lastQueueTimeout()
	switch stage {
	case stageHomeRegion:
		if len(s.refused) >= homeRegionAttempts {
			return nil, false
		}
		r.queueTimeout = min(firstQueueTimeout, lastQueueTimeout)
		if len(s.refused) > 0 {
			r.queueTimeout = min(regionQueueTimeout, lastQueueTimeout)
		}
		return b.choose(r, s.excluded(), s.homeRegion())
	case stageRegionWithCapacity:
		r.queueTimeout = min(regionQueueTimeout, lastQueueTimeout)
		region, found := s.admission.regionWithCapacity(r.route, s.homeRegion())
		if !found {
			return nil, false
		}
		return b.choose(r, s.excluded(), region)
	case stageHomeRegionQueue:
		r.queueTimeout = lastQueueTimeout
		return b.choose(r, s.excludedFromQueue(), s.homeRegion())
	default:
		if r.fromCustomer && len(s.refused) > 0 {
			return nil, false
		}
		r.queueTimeout = lastQueueTimeout
		return b.choose(r, s.excluded(), "")
	}
}

// homeRegion returns the region where the request is to run: the one chosen at
// admission, or else the region of this node.
func (s *nodeSelector) homeRegion() string {
	if s.request.targetRegion != "" {
		return s.request.targetRegion
	}
	return s.balancer.settings.Region
}

// excluded returns the nodes that have been tried.
func (s *nodeSelector) excluded() []string {
	return append(s.refused[:len(s.refused):len(s.refused)], s.reachedBackend...)
}

// excludedFromQueue returns the nodes that are not asked to queue the request: those whose
// backend server has received it, and those that would refuse it again.
func (s *nodeSelector) excludedFromQueue() (nodes []string) {
	nodes = s.reachedBackend[:len(s.reachedBackend):len(s.reachedBackend)]
	now := time.Now()
	for _, n := range s.full {
		if n.refuses(now, s.request.queueTimeout) {
			nodes = append(nodes, n.node)
		}
	}
	return nodes
}
