// Package hop sends HTTP requests over pooled connections, one request at a time
// per connection, and reports for each failed request whether it may have reached
// the receiver.
//
// # Usage
//
//	pool := hop.New("10.1.0.8:8301")
//	answer, err := pool.Do(ctx, request, id, matches)
//	if err != nil && !hop.MayHaveRun(err) {
//		// the request can be sent to another receiver
//	}
//
// The package does not use http.Transport, because http.Transport resends some
// requests on its own and can't skip an answer to an earlier request. Requests are still
// written and answers parsed by net/http, after package framing has checked them.
package hop

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/framing"
)

const (
	bufferBytes = 4 << 10
	// maxHeadBytes bounds the status line and the headers of an answer, and each
	// informational response before it. A receiver in trouble may send bytes without
	// end, and a node has a few hundred connections and little memory.
	maxHeadBytes = 32 << 10
	// maxSkippedAnswers bounds how many answers to earlier requests are skipped
	// while waiting for the answer to the current one.
	maxSkippedAnswers = 4
	// maxSkippedBodyBytes bounds the body of a skipped answer.
	maxSkippedBodyBytes = 256 << 10
	// backgroundWriteBytes is the body size above which a request is written in a
	// separate goroutine while the answer is read, because a receiver may answer
	// before it has read the whole body.
	backgroundWriteBytes = 32 << 10
	// arrivedAnswerTime is the time to read an answer that has arrived by its deadline.
	arrivedAnswerTime = 100 * time.Millisecond
	// defaultMaxIdle is how long an unused connection is kept.
	defaultMaxIdle = 8 * time.Second
	// A receiver that has already dropped an idle connection resets it when a
	// request arrives. A reused connection that fails within staleResetWindow of
	// sending the request is therefore considered stale. The reset takes one round
	// trip, which is 40 ms between regions.
	staleResetWindow = 50 * time.Millisecond
	// After a stale connection, other connections are reused only up to
	// staleIdleFraction of its idle time, for the next reducedIdleDuration.
	// minReducedIdle is a lower bound that keeps busy connections in use.
	staleIdleFraction   = 0.5
	reducedIdleDuration = 30 * time.Second
	minReducedIdle      = 20 * time.Millisecond
)

// RequestError is returned for a request that received no answer.
type RequestError struct {
	cause      error
	mayHaveRun bool
}

// Error implements error.
func (e *RequestError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.cause }

// MayHaveRun reports whether the request may have reached the receiver before the
// error occurred.
func MayHaveRun(err error) bool {
	var requestErr *RequestError
	return !errors.As(err, &requestErr) || requestErr.mayHaveRun
}

// Pool is a pool of connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	dialer  *net.Dialer
	maxIdle time.Duration
	// limit is shared with other pools, or nil.
	limit *ConnectionLimit

	mu sync.Mutex
	// idle is sorted by last use, the most recently used connection at the end.
	idle   []*conn
	closed bool
	// reducedIdle replaces maxIdle until reducedUntil. It is set after the receiver
	// has dropped an idle connection earlier than it states.
	reducedIdle  time.Duration
	reducedUntil time.Time
}

// Option configures a new pool.
type Option func(*Pool)

// WithMaxIdle sets how long an unused connection is kept.
func WithMaxIdle(d time.Duration) Option { return func(p *Pool) { p.maxIdle = d } }

// New returns an empty pool for the address, which has the form host:port.
func New(address string, opts ...Option) *Pool {
	p := &Pool{address: address, dialer: Dialer(), maxIdle: defaultMaxIdle}
	p.dialer.Timeout = requestDialTimeout
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// errHeadTooLong is returned if the head of an answer exceeds maxHeadBytes.
var errHeadTooLong = eris.Errorf("the head of the answer exceeds %d bytes", maxHeadBytes)

// errSplicedHead is returned if the head of an answer was cut off and continues with that of
// another one.
var errSplicedHead = eris.New("the head of the answer contains the status line of another one")

var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// containsStatusLine reports whether the reason phrase or a header of the answer contains a
// status line.
func containsStatusLine(response *http.Response) bool {
	if hasStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

// hasStatusLine reports whether the text contains a status line. The search for its constant
// start is much faster than the expression, and nearly always decides.
func hasStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/1.") && statusLine.MatchString(text)
}

// headReader limits the number of bytes that are read for the head of an answer.
type headReader struct {
	net.Conn
	// left is the number of bytes that may still be read. The limit does not apply to
	// bodies.
	left   int
	inHead bool
}

func (r *headReader) Read(b []byte) (n int, err error) {
	if !r.inHead {
		return r.Conn.Read(b)
	}
	if r.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err = r.Conn.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}

// maxServedIdle is the number of idle connections from which on one is closed for each request
// that can use none of them, because all have served its ID. A request is sent 12 times at most,
// but a caller may repeat an ID for ever, and each repetition opens a connection.
const maxServedIdle = 16

// Do sends a request and returns the first answer for which matches is true.
// Answers to earlier requests that arrive first are skipped. When ctx ends, the
// connection is reset, so that bytes in flight are not delivered later. An answer that has
// arrived by its deadline is still read.
//
// id is the ID by which matches recognizes the answer, or "" if it has none. A request
// that is sent again before the deadline of ctx uses another connection, because a late
// second copy of the answer to its earlier attempt has the same ID.
func (p *Pool) Do(ctx context.Context, request *http.Request, id string, matches func(status int, h http.Header) bool) (answer *Answer, err error) {
	c, err := p.acquire(ctx, id)
	if err != nil {
		return nil, &RequestError{cause: eris.Wrapf(err, "connect to %s", p.address)}
	}
	if Expired(ctx) {
		c.abort()
		return nil, &RequestError{cause: eris.Wrapf(cmp.Or(ctx.Err(), context.DeadlineExceeded), "before the request was sent to %s", p.address)}
	}
	deadline, _ := ctx.Deadline()
	c.request.reset(deadline)
	c.recordSent(ctx, id)
	answer = &Answer{pool: p, conn: c, stopAbort: context.AfterFunc(ctx, func() { c.expire(ctx) })}
	started := time.Now()
	inBackground := request.ContentLength < 0 || request.ContentLength > backgroundWriteBytes
	defer func() {
		if err != nil {
			if c.reused && c.checked.Err() == nil && !Expired(ctx) && time.Since(started) < staleResetWindow {
				p.recordStale(started, c.idleTime)
			}
			answer.stopAbort()
			c.abort()
			if ctx.Err() != nil {
				err = ctx.Err()
			}
			// A goroutine that writes the request may just begin.
			answer, err = nil, &RequestError{cause: eris.Wrapf(err, "exchange with %s", p.address), mayHaveRun: inBackground || c.request.begun}
		}
	}()
	if inBackground {
		// The answer is nil after an error, possibly before the body has been written.
		written := make(chan error, 1)
		answer.writeResult = written
		go func() { written <- c.write(request) }()
	} else if answer.writeErr = c.write(request); answer.writeErr != nil && !c.mayHaveAnswer() {
		return answer, answer.writeErr
	}
	response, err := c.read(request, matches) //nolint:bodyclose // Close of the answer ends the connection.
	if err != nil {
		return answer, err
	}
	answer.StatusCode, answer.Header, answer.closesConnection = response.StatusCode, response.Header, response.Close
	answer.Body, answer.ContentLength = response.Body, response.ContentLength
	answer.keepAlive = response.Header.Get("Keep-Alive")
	return answer, nil
}

// Reset closes a TCP connection with RST instead of an orderly shutdown.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// The error is ignored because the connection is closed in any case.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p *Pool) acquire(ctx context.Context, id string) (c *conn, err error) {
	for {
		if c = p.popIdle(id); c == nil {
			return p.dialWithinLimit(ctx)
		}
		now := time.Now()
		c.idleTime, c.reused = now.Sub(c.lastUsed), true
		if c.idleTime < min(c.maxIdle, p.currentMaxIdle(now)) && c.usable() {
			return c, nil
		}
		c.Close()
	}
}

// recordStale lowers the idle limit of the pool after the receiver has dropped a
// connection that was idle for idleTime.
func (p *Pool) recordStale(now time.Time, idleTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := max(time.Duration(staleIdleFraction*float64(idleTime)), minReducedIdle)
	if now.Before(p.reducedUntil) {
		limit = min(limit, p.reducedIdle)
	}
	p.reducedIdle, p.reducedUntil = limit, now.Add(reducedIdleDuration)
}

// currentMaxIdle returns the idle time up to which connections may be reused.
func (p *Pool) currentMaxIdle(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.reducedUntil) {
		return p.reducedIdle
	}
	return p.maxIdle
}

// popIdle returns the most recently used idle connection that has not served the
// request with the ID, or nil.
func (p *Pool) popIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle) - 1; n >= 0; n-- {
		if c := p.idle[n]; !c.hasServed(id) {
			p.idle = slices.Delete(p.idle, n, n+1)
			return c
		}
	}
	if len(p.idle) >= maxServedIdle {
		p.closeFirst()
	}
	return nil
}

func (p *Pool) dial(ctx context.Context) (c *conn, err error) {
	netConn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if lacksDescriptors(err) {
		return nil, eris.Wrap(ErrNoConnection, err.Error())
	}
	if err != nil {
		return nil, err
	}
	raw, err := netConn.(*net.TCPConn).SyscallConn()
	if err != nil {
		netConn.Close()
		return nil, err
	}
	stream := framing.NewConn(netConn)
	head, request := &headReader{Conn: stream}, &requestWriter{Conn: stream}
	checked := framing.NewReader(head)
	return &conn{
		Conn: netConn, raw: raw, stream: stream, head: head, checked: checked, request: request,
		reader: bufio.NewReaderSize(checked, bufferBytes),
		writer: bufio.NewWriterSize(request, bufferBytes),
	}, nil
}

// CheckListening opens a connection and closes it. An error means that the receiver accepts
// none. The connection does not count towards the limit of the pool.
func (p *Pool) CheckListening(ctx context.Context) (err error) {
	defer func() { err = eris.Wrapf(err, "connect to %s", p.address) }()
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	return c.Close()
}

func (p *Pool) release(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Sweep closes the connections that have exceeded their maximum idle time.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.lastUsed) < c.maxIdle {
			kept = append(kept, c)
			continue
		}
		c.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections. Connections in use are closed after their
// answer.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.limit.forget(p)
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}
