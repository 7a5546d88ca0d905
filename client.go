// Package lacewingslip is the client library for Go programs that call services
// through lacewingslip nodes.
//
// # Usage
//
//	client, err := lacewingslip.New([]string{"10.1.0.4:7100", "10.1.0.5:7100"})
//	answer, err := client.Do(ctx, lacewingslip.Request{
//		Service: "orders",
//		Method:  http.MethodPost,
//		Path:    "/book",
//		Body:    order,
//		Repeat:  call.Never,
//	})
//	switch lacewingslip.OutcomeOf(err) {
//	case call.Answered: // answer is complete, whatever its status
//	case call.NotRun:   // the booking certainly did not run
//	case call.Unknown:  // the booking may have run: ask the service, or repeat it with the error's Key
//	}
//
// A backend server that makes child calls uses the backend address of its own
// node, and passes the headers of the call that it runs on with [Propagate].
//
// The context's deadline is the time that the whole chain of calls has.
package lacewingslip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	defaultAttempts       = 3
	defaultTimeout        = 30 * time.Second
	defaultMaxAnswerBytes = 64 << 20
	connectTimeout        = time.Second
	maxIdlePerNode        = 256

	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Request is a call to a service.
type Request struct {
	// Service is the name of the service in the settings.
	Service string
	// Method is the HTTP method, GET if empty.
	Method string
	// Path begins with a slash and may have a query.
	Path string
	// Header is sent along.
	Header http.Header
	// Body may be nil.
	Body []byte
	// Repeat says when the client may send the call again. [call.Never] marks
	// a booking: it gets a key, and is sent again only with the same key.
	Repeat call.RepeatPolicy
	// Key is the idempotency key of a booking. If it is empty the client uses
	// a key issued by a node.
	Key string
}

// Answer is the complete answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Retries is how often the call and its child calls were sent again, by
	// nodes and by the client.
	Retries int
}

// Client calls services through nodes. It is safe for concurrent use.
type Client struct {
	nodes          *nodeSelector
	keys           *keyPool
	http           *http.Client
	attempts       int
	maxAnswerBytes int64
}

// Option changes a [Client].
type Option func(*Client)

// WithAttempts sets how often a call is sent at most. The default is 3.
func WithAttempts(attempts int) Option {
	return func(c *Client) { c.attempts = max(attempts, 1) }
}

// WithMaxAnswerBytes bounds the body of an answer. The default is 64 MiB.
func WithMaxAnswerBytes(bytes int64) Option {
	return func(c *Client) { c.maxAnswerBytes = bytes }
}

// WithTransport replaces the HTTP transport. It is an [http.Transport] rather
// than any round tripper, because the client relies on its trace hooks to know
// whether a request was sent.
func WithTransport(transport *http.Transport) Option {
	return func(c *Client) { c.http.Transport = transport }
}

// New returns a client of the nodes with the given caller addresses.
func New(addresses []string, opts ...Option) (c *Client, err error) {
	if len(addresses) == 0 {
		return nil, errors.New("no node addresses given")
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("node address %q is not HOST:PORT: %w", address, err)
		}
	}
	c = &Client{
		nodes:          newNodeSelector(addresses),
		keys:           newKeyPool(),
		attempts:       defaultAttempts,
		maxAnswerBytes: defaultMaxAnswerBytes,
		http: &http.Client{
			Transport: newTransport(),
			// A redirect is the backend server's answer and goes to the caller.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c, nil
}

// Do sends the call and returns its complete answer. Every error is an
// [*Error], which tells whether the call ran.
//
// A call that was refused is sent again after the time that the node asks for,
// if the context's deadline allows. A call that may have run is sent again only
// if its policy is [call.Always], or if it is a booking: a booking keeps its
// key, so that it can't run twice. Without a deadline in ctx the call has 30 s.
func (c *Client) Do(ctx context.Context, r Request) (answer Answer, err error) {
	if err := r.validate(); err != nil {
		return Answer{}, &Error{outcome: call.NotRun, reason: call.ReasonBadRequest, cause: err}
	}
	if _, limited := ctx.Deadline(); !limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	d := callState{client: c, request: r, key: r.Key}
	return d.run(ctx)
}

// Propagate copies the headers that tie a child call to the call that the
// backend server runs.
func Propagate(child, running http.Header) {
	for _, name := range []string{"Traceparent", "Tracestate", "Baggage"} {
		if values := running.Values(name); len(values) > 0 {
			child[name] = values
		}
	}
}

// callState is one call with all its attempts.
type callState struct {
	client  *Client
	request Request
	// key is sent with a booking. It is empty if a fresh one is needed.
	key string
	// mayHaveRun is true after an attempt whose outcome is unknown. The nodes
	// don't know of earlier attempts, so their notRun covers only their own.
	mayHaveRun bool
	// retries counts those of the client and, as far as they were told, of the
	// nodes.
	retries int
	// skipped counts nodes that took no connection. Nothing was sent to them,
	// so they don't count as attempts.
	unreachableNodes int
	// node is the address of the last attempt. stay sends the next one there too.
	node     string
	keepNode bool
}

func (s *callState) run(ctx context.Context) (answer Answer, err error) {
	for attempt := 1; ; attempt++ {
		answer, failure := s.attempt(ctx)
		if failure == nil {
			answer.Retries += s.retries
			return answer, nil
		}
		s.retries += failure.retries
		s.discardStaleKeys(failure)
		s.refineOutcome(failure)
		s.mayHaveRun = s.mayHaveRun || failure.outcome == call.Unknown
		s.unreachableNodes += s.skipsNode(failure)
		if attempt-s.unreachableNodes >= s.client.attempts || !s.retryable(failure) || !wait(ctx, s.backoff(attempt, failure)) {
			return Answer{}, s.finalError(failure)
		}
		s.prepareRetry(failure)
		// The node has learned with this refusal that the owner has restarted. Others
		// may not know it yet, and issue keys that this one refuses.
		s.keepNode = failure.reason == call.ReasonOwnerGone
		s.retries++
	}
}

// skipsNode is 1 if the next attempt goes to another node because this one took no
// connection.
func (s *callState) skipsNode(failure *Error) int {
	if failure.notSent && s.unreachableNodes < len(s.client.nodes.addresses)-1 {
		return 1
	}
	return 0
}

// refineOutcome uses what only the client knows: a key from its stock has not been sent
// by anybody before this delivery. If the node says that the request itself did
// not run, and no earlier attempt of the delivery may have, the booking did not.
func (s *callState) refineOutcome(failure *Error) {
	if failure.attemptNotRun && s.request.Key == "" && !s.mayHaveRun {
		failure.outcome = call.NotRun
	}
}

// finalError makes the failure of the last attempt that of the whole delivery. A
// booking whose key came from the caller may have run in an earlier delivery; if
// no node was asked, nothing excludes that.
func (s *callState) finalError(failure *Error) *Error {
	failure.key = s.key
	failure.retries = s.retries
	if s.mayHaveRun || failure.notSent && s.request.Key != "" {
		failure.outcome = call.Unknown
	}
	return failure
}

// retryable tells whether another attempt is allowed and could end otherwise.
func (s *callState) retryable(failure *Error) bool {
	if s.mayHaveRun && s.request.Repeat == call.IfNotRun {
		return false
	}
	switch failure.reason {
	case call.ReasonOverloaded, call.ReasonDisplaced, call.ReasonDraining, call.ReasonNoUpstream,
		call.ReasonUnreachable, call.ReasonLost, call.ReasonDeadline, call.ReasonLogUnavailable, call.ReasonInternal:
		return true
	case call.ReasonKeyExpired, call.ReasonOwnerGone:
		return s.request.Key == "" && !s.mayHaveRun
	default:
		return false
	}
}

// discardStaleKeys empties the stock of the service if the owner of a key has ended
// or is about to. Other keys in stock are probably its own too, and a booking
// with one of them would end as unknown.
func (s *callState) discardStaleKeys(failure *Error) {
	if s.request.Repeat != call.Never || failure.notSent {
		return
	}
	switch failure.reason {
	case call.ReasonOwnerGone, call.ReasonUnreachable, call.ReasonDraining, call.ReasonKeyExpired:
		s.client.keys.clear(s.request.Service)
	default:
	}
}

// prepareRetry decides about the key of the next attempt. The owner of a key
// seals it when it refuses a booking, so the booking needs a fresh one, unless
// it may have run.
func (s *callState) prepareRetry(failure *Error) {
	if s.request.Key == "" && !s.mayHaveRun && !failure.notSent {
		s.key = ""
	}
}

func (r Request) validate() error {
	switch {
	case r.Service == "" || strings.ContainsAny(r.Service, "/?#%"):
		return fmt.Errorf("service %q is not a service name", r.Service)
	case !strings.HasPrefix(r.Path, "/"):
		return fmt.Errorf("path %q does not begin with a slash", r.Path)
	case r.Key != "" && r.Repeat != call.Never:
		return fmt.Errorf("a key was given, but the repeat policy is %s: set Repeat to call.Never", r.Repeat)
	default:
		return nil
	}
}

// backoff returns how long to wait before the next attempt: at least what the
// node asked for, spread by half so that callers don't return all at once.
func (s *callState) backoff(attempt int, failure *Error) time.Duration {
	switch {
	case failure.notSent && attempt < len(s.client.nodes.addresses):
		return 0
	case failure.retryAfter > 0:
		return failure.retryAfter + rand.N(failure.retryAfter/2)
	default:
		return rand.N(min(firstBackoff<<(attempt-1), maxBackoff)) + firstBackoff/2
	}
}

// wait returns false at once if the context ends before the duration has
// passed, since no time would be left for an attempt.
func wait(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerNode,
		IdleConnTimeout:     time.Minute,
		// The length of an answer can be checked only if nothing changes it on
		// the way.
		DisableCompression: true,
	}
}
