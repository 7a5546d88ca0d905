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
	keyKnown bool
	// bind, if set, is told each key before it is sent.
	bind func(key booking.Key)
}

// sending is the progress of a call over its attempts.
type sending struct {
	call   *outgoing
	budget *retry.Budget
	tried  []string
	// last is the failure of the latest attempt.
	last *failure
	// mayHaveRun is true once an attempt ended in an unknown way.
	mayHaveRun bool
}

// sent is the end of a call. Its answer's body must be closed.
type sent struct {
	attemptEnd
	key     *booking.Key
	retries int
}

// sender sends calls to upstreams and decides on further attempts.
type sender struct {
	transport http.RoundTripper
	routes    *routes
	peers     *peers
	clock     *timeline.Clock
	events    recorder
	watch     *attemptWatch
}

// do sends the call until it is answered, until it may not be sent again, or
// until its tokens or its time are spent.
func (s *sender) do(ctx context.Context, c *outgoing) (result sent) {
	progress := &sending{call: c, budget: retry.NewBudget(c.context.Tokens)}
	for {
		end, more := s.next(ctx, progress)
		if !more {
			progress.conclude(&end)
			end.tokensLeft = progress.budget.Left()
			return sent{attemptEnd: end, key: c.key, retries: progress.budget.Retries()}
		}
		s.events.Record(event.CallRetried, attrRequest(c.context.Request), attrService(c.service.Name),
			attrReason(end.failure.reason))
	}
}

// next makes one attempt and says whether another one may follow.
func (s *sender) next(ctx context.Context, p *sending) (end attemptEnd, more bool) {
	upstream, refusal := s.choose(p)
	if refusal != nil {
		if p.last != nil {
			// The earlier refusal says more than that nobody else is left.
			refusal = p.last
		}
		return attemptEnd{failure: refusal, sent: len(p.tried) > 0}, false
	}
	if len(p.tried) > 0 && !p.budget.Spend() {
		return attemptEnd{failure: p.last, sent: true}, false
	}
	a := s.attempt(p, upstream)
	end = s.send(ctx, p.call, a)
	p.budget.Return(end.tokensLeft)
	p.tried = append(p.tried, upstream.Node)
	if end.failure == nil {
		return end, false
	}
	if end.failure.reason == call.ReasonOwnerGone && p.call.key != nil {
		s.peers.noteEnded(p.call.key.Node(), p.call.key.Incarnation())
	}
	p.last = end.failure
	p.mayHaveRun = p.mayHaveRun || mayHaveRun(end.failure)
	if p.call.key != nil {
		return end, s.nextBooking(ctx, p, &end)
	}
	return end, p.budget.Left() > 0 && time.Until(p.call.deadline) > 0 && p.repeatable(end.failure)
}

// choose finds the upstream of the next attempt. A booking goes to the one
// node that may run its key.
func (s *sender) choose(p *sending) (upstream routing.Upstream, refusal *failure) {
	if p.call.key != nil {
		return s.owner(p)
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

// owner finds the node that may run the booking's key.
func (s *sender) owner(p *sending) (upstream routing.Upstream, refusal *failure) {
	key := *p.call.key
	address, incarnation, ok := s.peers.find(key.Node())
	switch {
	case ok && ownedBy(key, key.Node(), incarnation):
		return routing.Upstream{Node: key.Node(), Address: address}, nil
	case !p.call.keyKnown && !p.mayHaveRun:
		return s.nextOwner(p)
	case p.mayHaveRun:
		return routing.Upstream{}, p.last
	default:
		s.events.Record(event.BookingOwnerGone, attrRequest(p.call.context.Request), attrKey(key))
		return routing.Upstream{}, unknown(call.ReasonOwnerGone, "the node that may run the key has ended or is not known here")
	}
}

// nextOwner replaces a key whose node has ended before the key was sent. Nobody
// else knows the key, so another may take its place.
func (s *sender) nextOwner(p *sending) (upstream routing.Upstream, refusal *failure) {
	if s.reissue(p) {
		key := *p.call.key
		if address, incarnation, ok := s.peers.find(key.Node()); ok && ownedBy(key, key.Node(), incarnation) {
			return routing.Upstream{Node: key.Node(), Address: address}, nil
		}
	}
	return routing.Upstream{}, notRun(call.ReasonNoUpstream, "no backend server of the service is available")
}

// attempt prepares the next attempt.
func (s *sender) attempt(p *sending, upstream routing.Upstream) attempt {
	c := p.call
	a := attempt{upstream: upstream, context: c.context}
	a.context.Call = call.NewID()
	a.context.Timeout = time.Until(c.deadline)
	// The successor is proposed before the tokens are lent, because it needs one.
	if c.key != nil {
		if c.bind != nil {
			c.bind(*c.key)
		}
		a.key = c.key.String()
		a.successor = s.proposeSuccessor(p, upstream)
	}
	a.context.Tokens = p.budget.Lend(c.route.Repeat)
	a.context.Repeated = c.context.Repeated || p.mayHaveRun && c.key == nil
	return a
}

// repeatable says whether a call that is not a booking may be sent again.
func (p *sending) repeatable(f *failure) bool {
	if f.outcome == call.Unknown {
		return p.call.route.Repeat == call.Always && f.reason != call.ReasonDeadline && f.reason != call.ReasonCanceled
	}
	return worthElsewhere(f.reason)
}

// worthElsewhere says whether another upstream may accept a call that was
// refused for the reason.
func worthElsewhere(reason call.Reason) bool {
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
func (s *sender) proposeSuccessor(p *sending, upstream routing.Upstream) (successor string) {
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
	key, ok := s.peers.issue(p.call.service.Name, next.Node)
	if !ok {
		return ""
	}
	return key.String()
}

// nextBooking decides on the next attempt of a booking.
func (s *sender) nextBooking(ctx context.Context, p *sending, end *attemptEnd) (more bool) {
	switch {
	case end.successor != "":
		return s.follow(p, end)
	case time.Until(p.call.deadline) <= 0 || ctx.Err() != nil || p.budget.Left() == 0:
		return false
	case !end.sent && !p.call.keyKnown && !p.mayHaveRun:
		// Nobody else knows the key and it was never sent: another may take its place.
		return s.reissue(p)
	case end.failure.outcome == call.Unknown && end.failure.reason == call.ReasonLost:
		// The same key at the same node never runs twice, and a repeat learns the outcome.
		return true
	default:
		return false
	}
}

// follow goes on with the successor that the refusing sidecar recorded. The
// successor may have run under an earlier attempt, so the refusal is no longer
// the outcome of the booking.
func (s *sender) follow(p *sending, end *attemptEnd) (more bool) {
	successor, err := booking.ParseKey(end.successor)
	if err != nil || p.budget.Left() == 0 || time.Until(p.call.deadline) <= 0 {
		end.failure = unknown(call.ReasonLost, "the booking may have run under a successor key that was not asked")
		return false
	}
	s.events.Record(event.BookingFollowed, attrRequest(p.call.context.Request), attrKey(*p.call.key),
		attrSuccessor(successor))
	p.call.key = &successor
	p.call.keyKnown = true
	p.mayHaveRun = false
	// The refusal under the first key says nothing about the successor.
	p.last = nil
	return true
}

// reissue replaces the key of a booking that was never sent.
func (s *sender) reissue(p *sending) (ok bool) {
	upstream, ok := s.routes.choose(routing.Query{
		Service: p.call.service.Name, Importance: p.call.context.Importance, Tried: p.tried,
		Cost: int64(len(p.call.body)) + 1,
	})
	if !ok {
		return false
	}
	key, ok := s.peers.issue(p.call.service.Name, upstream.Node)
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
func (p *sending) conclude(end *attemptEnd) {
	if end.failure == nil {
		return
	}
	concluded := *end.failure
	sealed := p.call.key != nil && end.sent
	bookingElsewhere := p.call.key != nil && p.call.keyKnown && !end.sent
	if concluded.outcome == call.NotRun && !sealed && (p.mayHaveRun || bookingElsewhere) {
		concluded.outcome = call.Unknown
		concluded.message = "an earlier attempt may have run; " + concluded.message
	}
	concluded.selfNotRun = concluded.outcome == call.Unknown && !p.mayHaveRun
	end.failure = &concluded
}
