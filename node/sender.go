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

// outgoing is a call that this node, as ingress or egress, sends to an upstream.
type outgoing struct {
	service settings.Service
	route   settings.Route
	method  string
	uri     string
	header  http.Header
	body    []byte
	// context is the context of the call. Each attempt has its own call ID.
	context  call.Context
	deadline time.Time
	// key is the booking's key, or nil if the route is not a booking.
	key *booking.Key
	// keyMayBeUsed is true if the key may have been sent before: it came with the
	// request, or another node recorded it as a successor.
	keyMayHaveBeenSent bool
	// beforeSend, if set, is called with each key before the key is sent.
	beforeSend func(key booking.Key)
}

// callProgress is the state of a call across its attempts.
type callProgress struct {
	call   *outgoing
	budget *retry.Budget
	tried  []string
	// lastFailure is the failure of the most recent attempt.
	lastFailure *failure
	// mayHaveRun is true once the outcome of an attempt is unknown.
	mayHaveRun bool
}

// callResult is the result of a call. The body of its answer must be closed.
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

// do sends the call until it is answered, must not be sent again, has used up its
// retry tokens, or has reached its deadline.
func (s *sender) do(ctx context.Context, c *outgoing) (result callResult) {
	progress := &callProgress{call: c, budget: retry.NewBudget(c.context.Tokens)}
	for {
		attempted, more := s.nextAttempt(ctx, progress)
		if !more {
			progress.conclude(&attempted)
			attempted.tokensLeft = progress.budget.Remaining()
			return callResult{attemptResult: attempted, key: c.key, retries: progress.budget.Retries()}
		}
		s.events.Record(event.CallRetried, attrRequest(c.context.Request), attrService(c.service.Name),
			attrReason(attempted.failure.reason))
	}
}

// nextAttempt makes one attempt and reports whether another one may follow.
func (s *sender) nextAttempt(ctx context.Context, p *callProgress) (result attemptResult, more bool) {
	upstream, refusal := s.chooseUpstream(p)
	if refusal != nil {
		if p.lastFailure != nil {
			// The earlier refusal is more informative than the lack of another upstream.
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
	return result, p.budget.Remaining() > 0 && time.Until(p.call.deadline) > 0 && p.retryable(result.failure)
}

// chooseUpstream returns the upstream of the next attempt. A booking goes to the
// owner of its key, which is the only node that may run it.
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

// keyOwner returns the node that may run the booking's key.
func (s *sender) keyOwner(p *callProgress) (upstream routing.Upstream, refusal *failure) {
	key := *p.call.key
	address, incarnation, ok := s.peers.lookup(key.Node())
	switch {
	case ok && ownedBy(key, key.Node(), incarnation):
		return routing.Upstream{Node: key.Node(), Address: address}, nil
	case !p.call.keyMayHaveBeenSent && !p.mayHaveRun:
		return s.replaceOwner(p)
	case p.mayHaveRun:
		return routing.Upstream{}, p.lastFailure
	default:
		s.events.Record(event.BookingOwnerGone, attrRequest(p.call.context.Request), attrKey(key))
		return routing.Upstream{}, unknown(call.ReasonOwnerGone, "the node that may run the key has stopped or restarted, or is not known to this node")
	}
}

// replaceOwner issues another key if the owner of the key stopped or restarted
// before the key was sent. The key can be replaced because no other node has
// received it.
func (s *sender) replaceOwner(p *callProgress) (upstream routing.Upstream, refusal *failure) {
	if s.replaceKey(p) {
		key := *p.call.key
		if address, incarnation, ok := s.peers.lookup(key.Node()); ok && ownedBy(key, key.Node(), incarnation) {
			return routing.Upstream{Node: key.Node(), Address: address}, nil
		}
	}
	return routing.Upstream{}, notRun(call.ReasonNoUpstream, "no backend server of the service is available")
}

// newAttempt builds the next attempt.
func (s *sender) newAttempt(p *callProgress, upstream routing.Upstream) attempt {
	c := p.call
	a := attempt{upstream: upstream, context: c.context}
	a.context.Call = call.NewID()
	a.context.Timeout = time.Until(c.deadline)
	// The successor is proposed before the tokens are lent, because a retry under it needs a token.
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

// retryable reports whether a call that is not a booking may be sent again.
func (p *callProgress) retryable(f *failure) bool {
	if f.outcome == call.Unknown {
		return p.call.route.Repeat == call.Always && f.reason != call.ReasonDeadline && f.reason != call.ReasonCanceled
	}
	return retryableElsewhere(f.reason)
}

// retryableElsewhere reports whether another upstream may accept a call that was
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

// proposeSuccessor issues the key under which another node may run the booking if
// this attempt is refused. The refusing sidecar records it with the refusal, so
// that a repeat with the first key leads to the second.
func (s *sender) proposeSuccessor(p *callProgress, upstream routing.Upstream) (successor string) {
	if p.budget.Remaining() == 0 {
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

// prepareBookingRetry reports whether a booking may be sent again, and sets the key
// of the next attempt.
func (s *sender) prepareBookingRetry(ctx context.Context, p *callProgress, result *attemptResult) (more bool) {
	switch {
	case result.successor != "":
		return s.followSuccessor(p, result)
	case time.Until(p.call.deadline) <= 0 || ctx.Err() != nil || p.budget.Remaining() == 0:
		return false
	case !result.sent && !p.call.keyMayHaveBeenSent && !p.mayHaveRun:
		// No other node has received the key, so it can be replaced.
		return s.replaceKey(p)
	case result.failure.outcome == call.Unknown && result.failure.reason == call.ReasonLost:
		// A node never runs the same key twice, and answers a repeat with the outcome.
		return true
	default:
		return false
	}
}

// followSuccessor continues with the successor key that the refusing sidecar
// recorded. An earlier attempt may have run the successor, so the refusal is not
// the outcome of the booking any more.
func (s *sender) followSuccessor(p *callProgress, result *attemptResult) (more bool) {
	successor, err := booking.ParseKey(result.successor)
	if err != nil || p.budget.Remaining() == 0 || time.Until(p.call.deadline) <= 0 {
		result.failure = unknown(call.ReasonLost, "the booking may have run under a successor key, which was not tried")
		return false
	}
	s.events.Record(event.BookingFollowed, attrRequest(p.call.context.Request), attrKey(*p.call.key),
		attrSuccessor(successor))
	p.call.key = &successor
	p.call.keyMayHaveBeenSent = true
	p.mayHaveRun = false
	// The refusal of the booking under the first key does not apply to the successor.
	p.lastFailure = nil
	return true
}

// replaceKey issues another key for a booking that was never sent.
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

// mayHaveRun reports whether an attempt with this failure may have run. A node that
// does not own the key, or for which the key has expired, refuses the booking without
// running it.
func mayHaveRun(f *failure) bool {
	return f.outcome == call.Unknown && f.reason != call.ReasonOwnerGone && f.reason != call.ReasonKeyExpired
}

// conclude turns the failure of the last attempt into the failure of the whole call.
// The outcome is notRun only if no attempt may have run and the key cannot have
// been sent before. A refusal by the owner of the key also covers all earlier
// attempts with that key, because the owner seals the key.
func (p *callProgress) conclude(result *attemptResult) {
	if result.failure == nil {
		return
	}
	concluded := *result.failure
	sealed := p.call.key != nil && result.sent
	maybeSentEarlier := p.call.key != nil && p.call.keyMayHaveBeenSent && !result.sent
	if concluded.outcome == call.NotRun && !sealed && (p.mayHaveRun || maybeSentEarlier) {
		concluded.outcome = call.Unknown
		concluded.message = "an earlier attempt may have run; " + concluded.message
	}
	concluded.requestNotRun = concluded.outcome == call.Unknown && !p.mayHaveRun
	result.failure = &concluded
}
