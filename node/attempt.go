package node

import (
	"context"
	"errors"
	"fmt"
	"io"
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

// maxRefusalBytes bounds how much is read of the refusal of another node.
const maxRefusalBytes = 64 << 10

// attempt is a single transmission of a call to one upstream.
type attempt struct {
	upstream  routing.Upstream
	context   call.Context
	key       string
	successor string
}

// attemptResult is the result of an attempt: either an answer to relay or a failure.
type attemptResult struct {
	answer     *http.Response
	failure    *failure
	successor  string
	tokensLeft int
	// sent is false if the attempt certainly was not sent.
	sent bool
}

// send makes one attempt and reports its result to the routing table.
func (s *sender) send(ctx context.Context, c *outgoing, a attempt) (result attemptResult) {
	cost := int64(len(c.body)) + 1
	s.routes.recordSent(c.service.Name, a.upstream.Node, cost)
	report := routing.Report{}
	defer func() {
		report.Result = routingResult(result)
		s.monitor.attemptEnded(c.service.Name, a.upstream, cost, result, report.Result)
		s.routes.recordResult(c.service.Name, a.upstream.Node, cost, report)
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
	// ObserveText fails if the peer's clock is malformed or too far ahead. The answer is valid anyway.
	_ = s.clock.ObserveText(answer.Header.Get(call.HeaderClock))
	if got := answer.Header.Get(call.HeaderCall); got != string(a.context.Call) {
		answer.Body.Close()
		s.events.Record(event.AnswerMismatched, attrNode(a.upstream.Node), attrCall(a.context.Call))
		return attemptResult{failure: unknown(call.ReasonLost, "the answer has the ID of another call"), sent: true}
	}
	return s.readAnswer(ctx, answer, a)
}

// readAnswer converts the sidecar's answer to the result of the attempt. The outcome
// is unknown unless the answer explicitly reports another one.
func (s *sender) readAnswer(ctx context.Context, answer *http.Response, a attempt) (result attemptResult) {
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
	// What the header of a refusal states holds only if the whole refusal has arrived.
	if _, err = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusalBytes)); err != nil {
		return attemptFailure(ctx, a, true, err)
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
	request, err = http.NewRequestWithContext(ctx, c.method, "http://"+a.upstream.Address+c.uri, newOneShotBody(c.body))
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

// attemptFailure returns the result of an attempt that received no answer.
func attemptFailure(ctx context.Context, a attempt, sent bool, err error) (result attemptResult) {
	switch {
	case !sent:
		return attemptResult{
			failure:    notRun(notSentReason(ctx), fmt.Sprintf("no connection to node %s", a.upstream.Node)),
			tokensLeft: a.context.Tokens,
		}
	case errors.Is(err, context.DeadlineExceeded):
		return attemptResult{failure: unknown(call.ReasonDeadline, "the deadline passed before an answer was received"), sent: true}
	case errors.Is(err, context.Canceled):
		return attemptResult{failure: unknown(call.ReasonCanceled, "the caller disconnected"), sent: true}
	default:
		return attemptResult{
			failure: unknown(call.ReasonLost, fmt.Sprintf("the connection to node %s was lost", a.upstream.Node)),
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

// routingResult converts the result of an attempt for the routing table.
func routingResult(result attemptResult) routing.Result {
	switch {
	case result.failure == nil:
		return routing.Succeeded
	case !result.sent, result.failure.reason == call.ReasonDraining:
		// A draining node will soon close its listener.
		return routing.Unreachable
	case result.failure.outcome == call.NotRun:
		return routing.Refused
	default:
		return routing.Failed
	}
}

// formatLoad formats a sidecar's load as running/limit/queued.
func formatLoad(load admission.Load) string {
	return fmt.Sprintf("%d/%d/%d", load.Running, load.Limit, load.Queued)
}

// parseLoad parses the result of formatLoad. ok is false if the text is malformed.
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

// ownedBy reports whether the key was issued for this incarnation of the node.
func ownedBy(key booking.Key, node string, incarnation uint64) bool {
	return key.Node() == node && key.Incarnation() == incarnation
}
