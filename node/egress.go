package node

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/baggage"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/retry"
)

// egress accepts the child calls of this node's own backend server. It is an
// ingress whose calls inherit the context of the call that the backend server is
// running.
type egress struct {
	*ingress
	running *retry.Ledger
}

// ServeHTTP handles a child call.
func (e *egress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parent, ok := e.parent(r)
	if !ok {
		e.serveWithoutContext(w, r)
		return
	}
	started := time.Now()
	c, child, f := e.acceptChild(w, r, parent)
	if f != nil {
		e.refuse(w, r, c, f, parent.Context.Request)
		return
	}
	permit, ok := e.running.BeginChild(parent.Context.Call, child)
	if !ok {
		e.refuse(w, r, c, noTokenFailure(permit), parent.Context.Request)
		return
	}
	c.context.Tokens = permit.Tokens
	c.beforeSend = func(key booking.Key) { e.running.BindKey(parent.Context.Call, child, key.String()) }
	if f = e.admitChild(c, permit); f != nil {
		e.running.EndChild(parent.Context.Call, child, retry.ChildResult{TokensLeft: permit.Tokens, Outcome: call.NotRun})
		e.refuse(w, r, c, f, parent.Context.Request)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	result := e.sender.do(ctx, c)
	e.running.EndChild(parent.Context.Call, child, childResult(result))
	e.meter.callEnded(c, result.failure, time.Since(started))
	e.meter.callRetried(c, result.retries)
	e.respond(w, c, result)
}

// parent looks up the call that the backend server is running, by the call ID in
// the baggage that the backend server propagated.
func (e *egress) parent(r *http.Request) (parent retry.RunningCall, ok bool) {
	bag, err := baggage.Parse(r.Header.Get("Baggage"))
	if err != nil {
		return retry.RunningCall{}, false
	}
	id, err := call.ParseID(bag.Member(call.BaggageCall).Value())
	if err != nil {
		return retry.RunningCall{}, false
	}
	return e.running.Lookup(id)
}

// serveWithoutContext handles a call that the backend server makes independently of
// the calls that it is running, or without propagating their context. The call
// gets no retry tokens and the lowest importance.
func (e *egress) serveWithoutContext(w http.ResponseWriter, r *http.Request) {
	request := call.NewID()
	c, f := e.accept(w, r, request)
	if c != nil {
		c.context.Importance = call.Low
		c.context.Tokens = 0
	}
	key := r.Header.Get(call.HeaderKey)
	if f != nil {
		e.refuse(w, r, c, allowForEarlierAttempts(f, key), request)
		return
	}
	child := childOf(c)
	if _, ok := e.running.BeginChild("", child); !ok {
		f = notRun(call.ReasonNoTokens, "the same call failed recently, and calls without a context have no retry tokens")
		e.refuse(w, r, c, allowForEarlierAttempts(f, key), request)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	result := e.sender.do(ctx, c)
	e.running.EndChild("", child, childResult(result))
	e.respond(w, c, result)
}

// acceptChild checks a request of the backend server and builds its child call.
func (e *egress) acceptChild(w http.ResponseWriter, r *http.Request, parent retry.RunningCall) (c *outgoing, child retry.Child, f *failure) {
	c, f = newOutgoing(e.settings.Tree(), r)
	if f != nil {
		return nil, retry.Child{}, f
	}
	c.context = parent.Context
	c.context.Depth++
	if c.deadline.After(parent.Deadline) {
		c.deadline = parent.Deadline
	}
	switch {
	case c.context.Depth > call.MaxDepth:
		return c, child, notRun(call.ReasonTooDeep, "the chain of calls is deeper than the maximum depth")
	case c.context.Repeated && c.route.Repeat == call.Never:
		f = unknown(call.ReasonRepeated, "an earlier attempt of the parent call may have made this booking")
		f.requestNotRun = true
		return c, child, f
	}
	if c.body, f = readBody(w, r, c.route.MaxBody); f != nil {
		return c, child, f
	}
	return c, childOf(c), nil
}

func childOf(c *outgoing) retry.Child {
	return retry.Child{
		Service: c.service.Name, Method: c.method, URI: c.uri,
		Content: booking.FingerprintOf(c.method, c.uri, c.header.Get("Authorization"), c.body),
	}
}

// admitChild refuses a child call while calls of its importance to its service are
// shed, and otherwise sets the key of a child booking. A repeat of a booking whose
// outcome is unknown is never refused here, because the refusal would not tell
// whether the first attempt ran.
func (e *egress) admitChild(c *outgoing, permit retry.Permit) (f *failure) {
	if permit.Key == "" && e.routes.isShedding(c.service.Name, c.context.Importance) {
		return notRun(call.ReasonOverloaded, "recent bookings of the service were refused because of overload, so less important calls are refused")
	}
	return e.assignChildKey(c, permit)
}

// assignChildKey sets the key of a child booking. A repeat of a child booking whose
// outcome is unknown gets the key of the first attempt, so that it can't run twice.
func (e *egress) assignChildKey(c *outgoing, permit retry.Permit) (f *failure) {
	if c.route.Repeat != call.Never {
		return nil
	}
	if permit.Key == "" {
		return e.assignNewKey(c)
	}
	key, err := booking.ParseKey(permit.Key)
	if err != nil {
		return unknown(call.ReasonInternal, err.Error())
	}
	c.key, c.keyMayHaveBeenSent = &key, true
	return nil
}

// noTokenFailure refuses a repeat by the backend server. The outcome is unknown if
// an earlier attempt of the same booking may have run.
func noTokenFailure(permit retry.Permit) *failure {
	const message = "the child call failed before, and no retry token is left for the customer request"
	if permit.Key != "" {
		return unknown(call.ReasonNoTokens, message)
	}
	return notRun(call.ReasonNoTokens, message)
}

// childResult converts the result of a child call for the retry ledger.
func childResult(result callResult) (child retry.ChildResult) {
	child = retry.ChildResult{TokensLeft: result.tokensLeft, Outcome: call.Answered}
	if result.failure != nil {
		child.Outcome = result.failure.outcome
	} else {
		child.Failed = result.answer.StatusCode >= http.StatusInternalServerError
	}
	child.Shed = shedDownstream(result)
	if result.key != nil {
		child.Key = result.key.String()
	}
	return child
}

// shedDownstream reports whether the child call, or a call further down the chain,
// was refused because of overload.
func shedDownstream(result callResult) bool {
	if result.failure == nil {
		return result.answer.Header.Get(call.HeaderShed) != ""
	}
	switch result.failure.reason {
	case call.ReasonOverloaded, call.ReasonDisplaced, call.ReasonTooLate:
		return result.failure.outcome == call.NotRun
	default:
		return false
	}
}
