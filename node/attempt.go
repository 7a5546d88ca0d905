package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/routing"
)

// attempt is one try of a call at one upstream.
type attempt struct {
	upstream  routing.Upstream
	context   call.Context
	key       string
	successor string
}

// attemptResult is how an attempt ended: with an answer to pass on, or with a
// failure.
type attemptResult struct {
	answer     *http.Response
	failure    *failure
	successor  string
	tokensLeft int
	// sent is false if the attempt certainly never left this node.
	sent bool
}

// send makes one attempt and reports its end to the routing table.
func (s *sender) send(ctx context.Context, c *outgoing, a attempt) (result attemptResult) {
	cost := int64(len(c.body)) + 1
	s.routes.attemptSent(c.service.Name, a.upstream.Node, cost)
	report := routing.Report{}
	defer func() {
		report.End = routingEnd(result)
		s.monitor.attemptEnded(c.service.Name, a.upstream, cost, result, report.End)
		s.routes.attemptDone(c.service.Name, a.upstream.Node, cost, report)
	}()
	request, err := s.newRequest(ctx, c, a)
	if err != nil {
		return attemptResult{failure: notRun(call.ReasonBadRequest, err.Error()), tokensLeft: a.context.Tokens}
	}
	answer, sent, err := roundTrip(s.transport, request)
	if err != nil {
		return attemptFailure(ctx, a, sent, err)
	}
	report.Load, report.HasLoad = parseLoad(answer.Header.Get(call.HeaderLoad))
	// A clock that is far ahead is not followed; the answer is still good.
	_ = s.clock.ObserveText(answer.Header.Get(call.HeaderClock))
	if got := answer.Header.Get(call.HeaderCall); got != string(a.context.Call) {
		answer.Body.Close()
		s.events.Record(event.AnswerMismatched, attrNode(a.upstream.Node), attrCall(a.context.Call))
		return attemptResult{failure: unknown(call.ReasonLost, "the answer belongs to another call"), sent: true}
	}
	return s.readAnswer(answer, a)
}

// readAnswer turns the sidecar's answer into the end of the attempt. Only an answer
// that says so is taken as answered or not run.
func (s *sender) readAnswer(answer *http.Response, a attempt) (result attemptResult) {
	result.sent = true
	if left, err := call.ParseCount(answer.Header, call.HeaderTokensLeft, 0, a.context.Tokens); err == nil {
		result.tokensLeft = left
	}
	outcome, err := call.ParseOutcome(answer.Header.Get(call.HeaderOutcome))
	if err == nil && outcome == call.Answered {
		if err = checkFraming(answer); err == nil {
			result.answer = answer
			return result
		}
	}
	defer answer.Body.Close()
	if err != nil {
		result.failure = unknown(call.ReasonLost, err.Error())
		return result
	}
	result.failure = &failure{
		outcome: outcome,
		reason:  call.Reason(answer.Header.Get(call.HeaderReason)),
		message: fmt.Sprintf("refused by node %s", a.upstream.Node),
	}
	if outcome == call.Unknown {
		result.failure.message = fmt.Sprintf("failed at node %s", a.upstream.Node)
	}
	result.failure.retryAfter = parseRetryAfter(answer.Header.Get("Retry-After"))
	result.successor = answer.Header.Get(call.HeaderSuccessor)
	return result
}

// newRequest builds the HTTP request of an attempt.
func (s *sender) newRequest(ctx context.Context, c *outgoing, a attempt) (request *http.Request, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("build request to node %s: %w", a.upstream.Node, err)
		}
	}()
	request, err = http.NewRequestWithContext(ctx, c.method, "http://"+a.upstream.Address+c.uri, newSingleUseBody(c.body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(c.body))
	request.Header = c.header.Clone()
	request.Header.Del(call.HeaderKey)
	a.context.Write(request.Header)
	request.Header.Set(call.HeaderClock, s.clock.Now().String())
	if a.key != "" {
		request.Header.Set(call.HeaderIssuedKey, a.key)
	}
	if a.successor != "" {
		request.Header.Set(call.HeaderSuccessor, a.successor)
	}
	return request, nil
}

// attemptFailure tells what is known about an attempt that got no answer.
func attemptFailure(ctx context.Context, a attempt, sent bool, err error) (end attemptResult) {
	switch {
	case !sent:
		return attemptResult{
			failure:    notRun(notSentReason(ctx), fmt.Sprintf("no connection to node %s", a.upstream.Node)),
			tokensLeft: a.context.Tokens,
		}
	case errors.Is(err, context.DeadlineExceeded):
		return attemptResult{failure: unknown(call.ReasonDeadline, "the deadline passed before the answer"), sent: true}
	case errors.Is(err, context.Canceled):
		return attemptResult{failure: unknown(call.ReasonCanceled, "the caller went away"), sent: true}
	default:
		return attemptResult{
			failure: unknown(call.ReasonLost, fmt.Sprintf("the connection to node %s broke", a.upstream.Node)),
			sent:    true,
		}
	}
}

func notSentReason(ctx context.Context) call.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.ReasonTooLate
	case ctx.Err() != nil:
		return call.ReasonCanceled
	default:
		return call.ReasonUnreachable
	}
}

// routingEnd gives the routing table's view of an end.
func routingEnd(result attemptResult) routing.End {
	switch {
	case result.failure == nil:
		return routing.Succeeded
	case !result.sent, result.failure.reason == call.ReasonDraining:
		// A node that leaves is about to stop listening.
		return routing.Unreachable
	case result.failure.outcome == call.NotRun:
		return routing.Refused
	default:
		return routing.Failed
	}
}

// formatLoad writes a sidecar's load as running/limit/queued.
func formatLoad(load admission.Load) string {
	return fmt.Sprintf("%d/%d/%d", load.Running, load.Limit, load.Queued)
}

// parseLoad is the inverse of formatLoad. A malformed report counts as none.
func parseLoad(text string) (load admission.Load, ok bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return admission.Load{}, false
	}
	for i, field := range []*int{&load.Running, &load.Limit, &load.Queued} {
		n, err := strconv.Atoi(parts[i])
		if err != nil || n < 0 {
			return admission.Load{}, false
		}
		*field = n
	}
	return load, true
}

func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.Atoi(text)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// ownedBy reports whether the key belongs to the node incarnation.
func ownedBy(key booking.Key, node string, incarnation uint64) bool {
	return key.Node() == node && key.Incarnation() == incarnation
}
