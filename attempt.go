package lacewingslip

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	maxErrorBytes = 64 << 10
	// avoidDuration is how long a node is used only if there is no other, after it
	// refused a connection or closed one after an answer.
	avoidDuration = 5 * time.Second
)

// attempt makes one attempt of the call.
func (s *callState) attempt(ctx context.Context) (answer Answer, failure *Error) {
	if !s.keepNode {
		s.node = s.client.nodes.pick()
	}
	if failure := s.ensureKey(ctx); failure != nil {
		return Answer{}, failure
	}
	req, err := s.newRequest(ctx, s.node)
	if err != nil {
		return Answer{}, &Error{outcome: call.NotRun, reason: call.ReasonBadRequest, cause: err}
	}
	resp, resent, failure := s.client.send(req, s.node)
	if failure != nil {
		return Answer{}, failure
	}
	defer resp.Body.Close()
	if s.request.Repeat == call.Never {
		s.client.keys.add(s.request.Service, resp.Header.Get(call.HeaderNextKey))
	}
	answer, failure = s.client.readResponse(resp)
	if failure != nil && resent {
		failure.outcome = call.Unknown
		failure.attemptNotRun = false
	}
	return answer, failure
}

// ensureKey sets the key of a booking, from the pool or from the node to which the
// booking is sent. If no key can be obtained, the booking has not been sent.
func (s *callState) ensureKey(ctx context.Context) (failure *Error) {
	if s.request.Repeat != call.Never || s.key != "" {
		return nil
	}
	getKey := s.client.acquireKey
	if s.keepNode {
		// Keys in the pool may come from nodes that do not know of the owner's restart yet.
		getKey = s.client.requestKey
	}
	key, failure := getKey(ctx, s.request.Service, s.node)
	if failure != nil {
		failure.outcome = call.NotRun
		failure.message = "no key was issued for the booking"
		return failure
	}
	s.key = key
	return nil
}

func (s *callState) newRequest(ctx context.Context, address string) (req *http.Request, err error) {
	target := "http://" + address + "/" + s.request.Service + s.request.Path
	req, err = http.NewRequestWithContext(ctx, s.request.Method, target, bytes.NewReader(s.request.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range s.request.Header {
		req.Header[http.CanonicalHeaderKey(name)] = values
	}
	call.RemoveInternal(req.Header)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := min(time.Until(deadline), call.MaxTimeout)
		req.Header.Set(call.HeaderTimeout, call.FormatTimeout(remaining))
	}
	if s.key != "" {
		req.Header.Set(call.HeaderKey, s.key)
	}
	return req, nil
}

// send sends the request to the node. The outcome of its failure is notRun only if
// no connection was opened.
//
// If a reused connection is lost, the transport itself sends some requests again,
// such as those with an idempotency key. Neither its error nor the response shows
// that, so connections are counted: if resent is true, an earlier transmission of
// the request may have run.
func (c *Client) send(req *http.Request, address string) (resp *http.Response, resent bool, failure *Error) {
	var connections atomic.Int32
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connections.Add(1) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	switch {
	case err == nil:
		if resp.Close {
			// The node is about to stop. A call sent while its listener closes would be lost.
			c.nodes.avoid(address)
		}
		return resp, connections.Load() > 1, nil
	case connections.Load() > 0:
		return nil, false, &Error{outcome: call.Unknown, reason: lostReason(req.Context()), cause: err}
	case req.Context().Err() != nil:
		return nil, false, &Error{outcome: call.NotRun, reason: call.ReasonCanceled, cause: err, notSent: true}
	default:
		c.nodes.avoid(address)
		return nil, false, &Error{outcome: call.NotRun, reason: call.ReasonUnreachable, cause: err, notSent: true}
	}
}

// readResponse converts a response to an answer or a failure. The outcome is unknown
// unless the response states another one.
func (c *Client) readResponse(resp *http.Response) (answer Answer, failure *Error) {
	outcome, err := call.ParseOutcome(resp.Header.Get(call.HeaderOutcome))
	switch {
	case err != nil:
		return Answer{}, &Error{
			outcome: call.Unknown, reason: call.ReasonInternal, status: resp.StatusCode,
			message: "the response has no valid outcome header and may not come from a node", cause: err,
		}
	case outcome == call.Answered:
		return c.readAnswer(resp)
	default:
		return Answer{}, readFailure(resp, outcome)
	}
}

func (c *Client) readAnswer(resp *http.Response) (answer Answer, failure *Error) {
	lost := func(err error) (Answer, *Error) {
		return Answer{}, &Error{outcome: call.Unknown, reason: call.ReasonLost, status: resp.StatusCode, cause: err}
	}
	if !hasVerifiableEnd(resp) {
		return lost(errors.New("the answer may be truncated: it has neither a length nor chunked encoding"))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswerBytes+1))
	if err != nil {
		return lost(err)
	}
	if int64(len(body)) > c.maxAnswerBytes {
		return Answer{}, &Error{
			outcome: call.Unknown, reason: call.ReasonTooLarge, status: resp.StatusCode,
			message: fmt.Sprintf("the answer is larger than %d bytes", c.maxAnswerBytes),
		}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Retries: readRetries(resp)}, nil
}

// hasVerifiableEnd reports whether truncation of the answer would be detected.
func hasVerifiableEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed ||
		resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNotModified
}

type errorBody struct {
	Message   string `json:"message"`
	RequestID string `json:"requestId"`
}

func readFailure(resp *http.Response, outcome call.Outcome) *Error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		// What the header states holds only if the whole response has arrived.
		return &Error{outcome: call.Unknown, reason: lostReason(resp.Request.Context()), status: resp.StatusCode, cause: err}
	}
	var body errorBody
	// The body is only informative, so decoding errors are ignored.
	_ = json.Unmarshal(data, &body)
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	failure := &Error{
		outcome:    outcome,
		reason:     call.Reason(resp.Header.Get(call.HeaderReason)),
		status:     resp.StatusCode,
		message:    body.Message,
		requestID:  body.RequestID,
		retryAfter: time.Duration(max(seconds, 0)) * time.Second,
		retries:    readRetries(resp),

		attemptNotRun: resp.Header.Get(call.HeaderAttemptOutcome) == call.NotRun.String(),
	}
	if outcome == call.NotRun && resp.StatusCode < http.StatusBadRequest {
		failure.outcome = call.Unknown
		failure.message = fmt.Sprintf("outcome notRun contradicts status %d of the response", resp.StatusCode)
	}
	return failure
}

func readRetries(resp *http.Response) int {
	retries, _ := strconv.Atoi(resp.Header.Get(call.HeaderRetries))
	return max(retries, 0)
}

func lostReason(ctx context.Context) call.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.ReasonDeadline
	case ctx.Err() != nil:
		return call.ReasonCanceled
	default:
		return call.ReasonLost
	}
}

// nodeSelector selects the node for each attempt.
type nodeSelector struct {
	mu        sync.Mutex
	addresses []string
	avoided   map[string]time.Time
	next      int
}

func newNodeSelector(addresses []string) *nodeSelector {
	return &nodeSelector{addresses: addresses, avoided: make(map[string]time.Time), next: rand.IntN(len(addresses))}
}

// pick returns the nodes in turn. Avoided nodes are returned only if all are avoided.
func (s *nodeSelector) pick() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for range s.addresses {
		address := s.advance()
		if now.After(s.avoided[address]) {
			return address
		}
	}
	return s.advance()
}

func (s *nodeSelector) advance() string {
	s.next = (s.next + 1) % len(s.addresses)
	return s.addresses[s.next]
}

func (s *nodeSelector) avoid(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoided[address] = time.Now().Add(avoidDuration)
}
