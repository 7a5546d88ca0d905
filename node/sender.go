package node

import (
	"context"
	"net/http"
	"time"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/retry"
	"github.com/lacewingslip/lacewingslip/routing"
	"github.com/lacewingslip/lacewingslip/settings"
	"github.com/lacewingslip/lacewingslip/timeline"
)

// outgoing is a call that this node sends to an upstream, as ingress or as
// egress.
type outgoing struct {
	service settings.Service
	route   settings.Route
	method  string
	uri     string
	header  http.Header
	body    []byte
	// context is that of the call; each attempt gets an ID of its own.
	context  call.Context
	deadline time.Time
	// key is the booking's key, if the route is one.
	key *booking.Key
	// keyKnown is true if somebody else may have sent the key before: it came
	// with the request.
	keyMayBeUsed bool
	// bind, if set, is told each key before it is sent.
	beforeSend func(key booking.Key)
}

// callProgress is the progress of a call over its attempts.
type callProgress struct {
	call   *outgoing
	budget *retry.Budget
	tried  []string
	// last is the failure of the latest attempt.
	lastFailure *failure
	// mayHaveRun is true once an attempt ended in an unknown way.
	mayHaveRun bool
}

// callResult is the end of a call. Its answer's body must be closed.
type callResult struct {
	attemptResult
	key     *booking.Key
	retries int
}

// sender sends calls to upstreams and decides on further attempts.
type sender struct {
	transport http.RoundTripper
	routes    *routeTable
	peers     *peerTable
	clock     *timeline.Clock
	events    recorder
	monitor   *attemptMonitor
}

// do sends the call until it is answered, until it may not be sent again, or
// until its tokens or its time are spent.
func (s *sender) do(ctx context.Context, c *outgoing) (result callResult) {
	progress := &callProgress{call: c, budget: retry.NewBudget(c.context.Tokens)}
	for {
		attempted, more := s.nextAttempt(ctx, progress)
		if !more {
			progress.conclude(&attempted)
			attempted.tokensLeft = progress.budget.Left()
			return callResult{attemptResult: attempted, key: c.key, retries: progress.budget.Retries()}
		}
		s.events.Record(event.CallRetried, attrRequest(c.context.Request), attrService(c.service.Name),
			attrReason(attempted.failure.reason))
	}
}

// nextAttempt makes one attempt and says whether another one may follow.
func (s *sender) nextAttempt(ctx context.Context, p *callProgress) (result attemptResult, more bool) {
	upstream, refusal := s.chooseUpstream(p)
	if refusal != nil {
		if p.lastFailure != nil {
			// The earlier refusal says more than that nobody else is left.
			refusal = p.lastFailure
		}
		return attemptResult{failure: refusal, sent: len(p.tried) > 0}, false
	}
	if len(p.tried) > 0 && !p.budget.Spend() {
		return attemptResult{failure: p.lastFailure, sent: true}, false
	}
	a := s.newAttempt(p, upstream)
	result = s.send(ctx, p.call, a)
	p.budget.Return(result.tokensLeft)
	p.tried = append(p.tried, upstream.Node)
	if result.failure == nil {
		return result, false
	}
	if result.failure.reason == call.ReasonOwnerGone && p.call.key != nil {
		s.peers.markEnded(p.call.key.Node(), p.call.key.Incarnation())
	}
	p.lastFailure = result.failure
	p.mayHaveRun = p.mayHaveRun || mayHaveRun(result.failure)
	if p.call.key != nil {
		return result, s.prepareBookingRetry(ctx, p, &result)
	}
	return result, p.budget.Left() > 0 && time.Until(p.call.deadline) > 0 && p.retryable(result.failure)
}

// chooseUpstream finds the upstream of the next attempt. A booking goes to the one
// node that may run its key.
func (s *sender) chooseUpstream(p *callProgress) (upstream routing.Upstream, refusal *failure) {
	if p.call.key != nil {
		return s.keyOwner(p)
	}
	upstream, ok := s.routes.choose(routing.Query{
		Service: p.call.service.Name, Importance: p.call.context.Importance,
		Tried: p.tried, Cost: int64(len(p.call.body)) + 1,
	})
	if !ok {
		return routing.Upstream{}, notRun(call.ReasonNoUpstream, "no backend server of the service is available")
	}
	return upstream, nil
}

// keyOwner finds the node that may run the booking's key.
func (s *sender) keyOwner(p *callProgress) (upstream routing.Upstream, refusal *failure) {
	key := *p.call.key
	address, incarnation, ok := s.peers.lookup(key.Node())
	switch {
	case ok && ownedBy(key, key.Node(), incarnation):
		return routing.Upstream{Node: key.Node(), Address: address}, nil
	case !p.call.keyMayBeUsed && !p.mayHaveRun:
		return s.replaceOwner(p)
	case p.mayHaveRun:
		return routing.Upstream{}, p.lastFailure
	default:
		s.events.Record(event.BookingOwnerGone, attrRequest(p.call.context.Request), attrKey(key))
		return routing.Upstream{}, unknown(call.ReasonOwnerGone, "the node that may run the key has ended or is not known here")
	}
}

// replaceOwner replaces a key whose node has ended before the key was sent. Nobody
// else knows the key, so another may take its place.
func (s *sender) replaceOwner(p *callProgress) (upstream routing.Upstream, refusal *failure) {
	if s.replaceKey(p) {
		key := *p.call.key
		if address, incarnation, ok := s.peers.lookup(key.Node()); ok && ownedBy(key, key.Node(), incarnation) {
			return routing.Upstream{Node: key.Node(), Address: address}, nil
		}
	}
	return routing.Upstream{}, notRun(call.ReasonNoUpstream, "no backend server of the service is available")
}

// newAttempt prepares the next attempt.
func (s *sender) newAttempt(p *callProgress, upstream routing.Upstream) attempt {
	c := p.call
	a := attempt{upstream: upstream, context: c.context}
	a.context.Call = call.NewID()
	a.context.Timeout = time.Until(c.deadline)
	// The successor is proposed before the tokens are lent, because it needs one.
	if c.key != nil {
		if c.beforeSend != nil {
			c.beforeSend(*c.key)
		}
		a.key = c.key.String()
		a.successor = s.proposeSuccessor(p, upstream)
	}
	a.context.Tokens = p.budget.Lend(c.route.Repeat)
	a.context.Repeated = c.context.Repeated || p.mayHaveRun && c.key == nil
	return a
}

// retryable says whether a call that is not a booking may be sent again.
func (p *callProgress) retryable(f *failure) bool {
	if f.outcome == call.Unknown {
		return p.call.route.Repeat == call.Always && f.reason != call.ReasonDeadline && f.reason != call.ReasonCanceled
	}
	return retryableElsewhere(f.reason)
}

// retryableElsewhere says whether another upstream may accept a call that was
// refused for the reason.
func retryableElsewhere(reason call.Reason) bool {
	switch reason {
	case call.ReasonOverloaded, call.ReasonDisplaced, call.ReasonDraining, call.ReasonUnreachable,
		call.ReasonNoUpstream, call.ReasonUnknownService:
		return true
	default:
		return false
	}
}

// proposeSuccessor names the key under which the booking may run elsewhere if
// this attempt is refused. The refusing sidecar records it with the refusal, so
// that a repeat of the first key finds the second.
func (s *sender) proposeSuccessor(p *callProgress, upstream routing.Upstream) (successor string) {
	if p.budget.Left() == 0 {
		return ""
	}
	next, ok := s.routes.choose(routing.Query{
		Service: p.call.service.Name, Importance: p.call.context.Importance,
		Tried: append(p.tried[:len(p.tried):len(p.tried)], upstream.Node), Cost: int64(len(p.call.body)) + 1,
	})
	if !ok {
		return ""
	}
	key, ok := s.peers.issueKey(p.call.service.Name, next.Node)
	if !ok {
		return ""
	}
	return key.String()
}

// prepareBookingRetry decides on the next attempt of a booking.
func (s *sender) prepareBookingRetry(ctx context.Context, p *callProgress, result *attemptResult) (more bool) {
	switch {
	case result.successor != "":
		return s.followSuccessor(p, result)
	case time.Until(p.call.deadline) <= 0 || ctx.Err() != nil || p.budget.Left() == 0:
		return false
	case !result.sent && !p.call.keyMayBeUsed && !p.mayHaveRun:
		// Nobody else knows the key and it was never sent: another may take its place.
		return s.replaceKey(p)
	case result.failure.outcome == call.Unknown && result.failure.reason == call.ReasonLost:
		// The same key at the same node never runs twice, and a repeat learns the outcome.
		return true
	default:
		return false
	}
}

// followSuccessor goes on with the successor that the refusing sidecar recorded. The
// successor may have run under an earlier attempt, so the refusal is no longer
// the outcome of the booking.
func (s *sender) followSuccessor(p *callProgress, result *attemptResult) (more bool) {
	successor, err := booking.ParseKey(result.successor)
	if err != nil || p.budget.Left() == 0 || time.Until(p.call.deadline) <= 0 {
		result.failure = unknown(call.ReasonLost, "the booking may have run under a successor key that was not asked")
		return false
	}
	s.events.Record(event.BookingFollowed, attrRequest(p.call.context.Request), attrKey(*p.call.key),
		attrSuccessor(successor))
	p.call.key = &successor
	p.call.keyMayBeUsed = true
	p.mayHaveRun = false
	// The refusal under the first key says nothing about the successor.
	p.lastFailure = nil
	return true
}

// replaceKey replaces the key of a booking that was never sent.
func (s *sender) replaceKey(p *callProgress) (ok bool) {
	upstream, ok := s.routes.choose(routing.Query{
		Service: p.call.service.Name, Importance: p.call.context.Importance, Tried: p.tried,
		Cost: int64(len(p.call.body)) + 1,
	})
	if !ok {
		return false
	}
	key, ok := s.peers.issueKey(p.call.service.Name, upstream.Node)
	if ok {
		p.call.key = &key
	}
	return ok
}

// mayHaveRun reports whether an attempt with this end may have run. A node that
// can't run the key says so without running it.
func mayHaveRun(f *failure) bool {
	return f.outcome == call.Unknown && f.reason != call.ReasonOwnerGone && f.reason != call.ReasonKeyExpired
}

// conclude makes the last failure true for the whole call: it is not run only
// if no attempt may have run and nobody else may have sent its key.
func (p *callProgress) conclude(result *attemptResult) {
	if result.failure == nil {
		return
	}
	concluded := *result.failure
	sealed := p.call.key != nil && result.sent
	bookingElsewhere := p.call.key != nil && p.call.keyMayBeUsed && !result.sent
	if concluded.outcome == call.NotRun && !sealed && (p.mayHaveRun || bookingElsewhere) {
		concluded.outcome = call.Unknown
		concluded.message = "an earlier attempt may have run; " + concluded.message
	}
	concluded.requestNotRun = concluded.outcome == call.Unknown && !p.mayHaveRun
	result.failure = &concluded
}
