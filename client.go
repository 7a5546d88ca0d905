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
// A backend server that makes child calls connects to the backend address of its own
// node, and uses [Propagate] to copy the trace and baggage headers of the call that
// it is running.
//
// The deadline of the context applies to the whole chain of calls.
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
	"github.com/lacewingslip/lacewingslip/framing"
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
	// Path must begin with a slash and may include a query.
	Path string
	// Header holds additional headers. Those that only nodes may set are removed.
	Header http.Header
	// Body may be nil.
	Body []byte
	// Repeat defines when the client may send the call again. [call.Never] marks a
	// booking, which gets a key. After an attempt that may have run, it is sent
	// again only with the same key.
	Repeat call.RepeatPolicy
	// Key is the idempotency key of a booking. If it is empty, the client uses a
	// key issued by a node.
	Key string
}

// Answer is the complete answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Retries is the number of times that nodes and the client sent the call or
	// its child calls again.
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

// Option configures a [Client].
type Option func(*Client)

// WithAttempts sets the maximum number of attempts per call. The default is 3.
func WithAttempts(attempts int) Option {
	return func(c *Client) { c.attempts = max(attempts, 1) }
}

// WithMaxAnswerBytes sets the maximum size of an answer's body. The default is
// 64 MiB.
func WithMaxAnswerBytes(bytes int64) Option {
	return func(c *Client) { c.maxAnswerBytes = bytes }
}

// WithTransport replaces the HTTP transport. It takes an [http.Transport] rather than
// any [http.RoundTripper], because the client uses its trace hooks to determine
// whether a request was sent. The client uses a copy with connections of its own, which
// [Client.CloseIdleConnections] closes.
func WithTransport(transport *http.Transport) Option {
	return func(c *Client) { c.http.Transport = framing.NewTransport(transport) }
}

// New returns a client that uses the nodes with the given caller addresses.
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
			Transport: framing.NewTransport(newTransport()),
			// A redirect is an answer of the backend server and is returned to the caller.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c, nil
}

// Do sends the call and returns its complete answer. Every error is an [*Error],
// which reports whether the call ran.
//
// A refused call is sent again after the delay that the node requests, if the
// deadline of ctx allows it. A call that may have run is sent again only if its
// policy is [call.Always], or if it is a booking: a booking keeps its key, so that
// it can't run twice. If ctx has no deadline, the timeout is 30 s.
func (c *Client) Do(ctx context.Context, r Request) (answer Answer, err error) {
	if err := r.validate(); err != nil {
		return Answer{}, &Error{outcome: call.NotRun, reason: call.ReasonBadRequest, cause: err}
	}
	if _, limited := ctx.Deadline(); !limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	state := callState{client: c, request: r, key: r.Key}
	return state.run(ctx)
}

// CloseIdleConnections closes the connections to nodes that are not in use.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// Propagate copies the headers that link a child call to the call that the backend
// server is running.
func Propagate(child, running http.Header) {
	for _, name := range []string{"Traceparent", "Tracestate", "Baggage"} {
		if values := running.Values(name); len(values) > 0 {
			child[name] = values
		}
	}
}

// callState is the state of one call across its attempts.
type callState struct {
	client  *Client
	request Request
	// key is the key of a booking. It is empty if the next attempt needs a new key.
	key string
	// mayHaveRun is true after an attempt whose outcome is unknown. A node does not
	// know of attempts through other nodes, so the outcome notRun from a node does not
	// cover them.
	mayHaveRun bool
	// retries counts the retries of the client and those reported by nodes.
	retries int
	// unsentAttempts counts attempts that opened no connection, up to the number
	// of other nodes. Nothing was sent, so they don't count towards the maximum.
	unsentAttempts int
	// node is the address of the last attempt. If keepNode is true, the next attempt
	// uses it too.
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
		s.unsentAttempts += s.countUnsent(failure)
		if attempt-s.unsentAttempts >= s.client.attempts || !s.retryable(failure) || !wait(ctx, s.backoff(attempt, failure)) {
			return Answer{}, s.finalError(failure)
		}
		s.prepareRetry(failure)
		// This node now knows that the owner of the key has restarted. Other nodes may
		// not know it yet and issue keys that this node refuses.
		s.keepNode = failure.reason == call.ReasonOwnerGone
		s.retries++
	}
}

// countUnsent returns 1 if no connection to the node was opened, so that the
// next attempt goes to another node, and 0 otherwise or after all other nodes.
func (s *callState) countUnsent(failure *Error) int {
	if failure.notSent && s.unsentAttempts < len(s.client.nodes.addresses)-1 {
		return 1
	}
	return 0
}

// refineOutcome changes an unknown outcome to notRun if the client knows that the
// booking did not run. No earlier call has sent a key from the client's pool, so the
// booking did not run if the node reports that the request itself did not run and no
// earlier attempt of this call may have run.
func (s *callState) refineOutcome(failure *Error) {
	if failure.attemptNotRun && s.request.Key == "" && !s.mayHaveRun {
		failure.outcome = call.NotRun
	}
}

// finalError converts the failure of the last attempt to that of the whole call. A
// booking whose key was given by the caller may have run in an earlier call, so its
// outcome is unknown if no request was sent.
func (s *callState) finalError(failure *Error) *Error {
	failure.key = s.key
	failure.retries = s.retries
	if s.mayHaveRun || failure.notSent && s.request.Key != "" {
		failure.outcome = call.Unknown
	}
	return failure
}

// retryable reports whether another attempt is allowed and could succeed.
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

// discardStaleKeys removes all pooled keys of the service if the owner of the key has
// stopped or is about to stop. The other pooled keys probably have the same owner, and
// the outcome of a booking with one of them would be unknown.
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

// prepareRetry clears the key of a booking that was refused, because the owner of a
// key seals it with the refusal, so that it never runs. The key is not cleared
// if the booking may have run or was not sent, or if the caller gave the key.
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

// backoff returns the delay before the next attempt: at least the delay that the
// node requested, plus up to half of it at random so that callers don't retry at
// the same time.
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

// wait sleeps for the duration. It returns false at once if the deadline of the
// context is earlier, because no time would remain for an attempt, and as soon as
// the context is canceled.
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
		// Transparent decompression would change the length of an answer, which is
		// needed to detect truncation.
		DisableCompression: true,
	}
}
