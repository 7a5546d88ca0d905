// Package hop sends one HTTP request at a time over connections that it keeps
// open, and knows of each whether it can have reached the receiver.
//
// # Usage
//
//	pool := hop.New("10.1.0.8:8301")
//	answer, err := pool.Do(ctx, request, belongs)
//	if err != nil && !hop.MayHaveRun(err) {
//		// the request can be sent elsewhere
//	}
//
// net/http's Transport is not used for requests, because it sends some of them
// a second time by itself, and can't skip an answer that belongs to an earlier
// request. Requests and answers are still written and read by net/http.
package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	bufferBytes = 4 << 10
	// maxSkippedAnswers bounds the answers to earlier requests that are skipped
	// while waiting for the right one.
	maxSkippedAnswers = 4
	// maxSkippedBytes bounds the body of a skipped answer.
	maxSkippedBytes = 256 << 10
	// backgroundBody is the size of a request body from which on it is written
	// beside the reading: a receiver may answer before it has read it all.
	backgroundBody = 32 << 10
	// defaultMaxIdle is how long a connection is kept without use.
	defaultMaxIdle = 8 * time.Second
	// A receiver that has forgotten an idle connection resets it when a request
	// arrives, so one that ends within forgottenWithin of the request is taken for
	// forgotten. A reset takes one way there and back, 40 ms between regions.
	forgottenWithin = 50 * time.Millisecond
	// trustShare of the idle time of a forgotten connection is the longest for
	// which others are used, for trustMemory. minTrust keeps busy ones in use.
	trustShare  = 0.5
	trustMemory = 30 * time.Second
	minTrust    = 20 * time.Millisecond
)

// ExchangeError is an attempt without an answer.
type ExchangeError struct {
	cause      error
	mayHaveRun bool
}

// Error implements error.
func (f *ExchangeError) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *ExchangeError) Unwrap() error { return f.cause }

// MayHaveRun reports whether the request can have reached the receiver.
func MayHaveRun(err error) bool {
	var f *ExchangeError
	return !errors.As(err, &f) || f.mayHaveRun
}

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	dialer  *net.Dialer
	maxIdle time.Duration

	mu sync.Mutex
	// idle is in order of last use, the latest at the end.
	idle   []*conn
	closed bool
	// trust is the idle time up to which connections are used until trustEnds,
	// because the receiver has forgotten one sooner than it states.
	trust     time.Duration
	trustEnds time.Time
}

// Option changes a new pool.
type Option func(*Pool)

// WithMaxIdle sets how long a connection is kept without use.
func WithMaxIdle(d time.Duration) Option { return func(p *Pool) { p.maxIdle = d } }

// New returns a pool without connections to the address, which is host:port.
func New(address string, opts ...Option) *Pool {
	p := &Pool{address: address, dialer: Dialer(), maxIdle: defaultMaxIdle}
	p.dialer.Timeout = requestDialTimeout
	for _, opt := range opts {
		opt(p)
	}
	return p
}

type conn struct {
	net.Conn
	raw     syscall.RawConn
	reader  *bufio.Reader
	writer  *bufio.Writer
	usedAt  time.Time
	maxIdle time.Duration
	// idled is how long the connection was idle before its present request, and
	// reused is false for the first one.
	idled  time.Duration
	reused bool
}

// Answer is a response whose body has not been read yet. Close must be called.
type Answer struct {
	StatusCode int
	Header     http.Header
	Body       io.Reader
	// ContentLength is -1 if the answer does not state it.
	ContentLength int64

	// last is true if the receiver closes the connection after this answer.
	last    bool
	pool    *Pool
	conn    *conn
	stop    func() bool
	written chan error
	ended   bool
}

// Do sends a request and returns the answer for which belongs is true. Answers
// to earlier requests that come first are skipped. When ctx ends, the
// connection is reset, so that bytes still under way do not arrive later.
func (p *Pool) Do(ctx context.Context, request *http.Request, belongs func(status int, h http.Header) bool) (answer *Answer, err error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, &ExchangeError{cause: eris.Wrapf(err, "connect to %s", p.address)}
	}
	answer = &Answer{pool: p, conn: c, stop: context.AfterFunc(ctx, c.abort)}
	began := time.Now()
	defer func() {
		if err != nil {
			if c.reused && ctx.Err() == nil && time.Since(began) < forgottenWithin {
				p.forgotten(began, c.idled)
			}
			answer.stop()
			c.abort()
			if ctx.Err() != nil {
				err = ctx.Err()
			}
			answer, err = nil, &ExchangeError{cause: eris.Wrapf(err, "exchange with %s", p.address), mayHaveRun: true}
		}
	}()
	if request.ContentLength < 0 || request.ContentLength > backgroundBody {
		answer.written = make(chan error, 1)
		go func() { answer.written <- c.write(request) }()
	} else if err = c.write(request); err != nil {
		return answer, err
	}
	response, err := c.read(request, belongs) //nolint:bodyclose // Close of the answer ends the connection.
	if err != nil {
		return answer, err
	}
	answer.StatusCode, answer.Header, answer.last = response.StatusCode, response.Header, response.Close
	answer.Body, answer.ContentLength = response.Body, response.ContentLength
	return answer, nil
}

// ReadAll reads the body up to the limit. complete is false if more follows.
func (a *Answer) ReadAll(limit int64) (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		return body, false, err
	}
	if int64(len(body)) > limit {
		return body, false, nil
	}
	a.ended = true
	return body, true, nil
}

// Ended states that the body has been read to its end.
func (a *Answer) Ended() { a.ended = true }

// Close keeps the connection if the answer has been read to its end, and resets
// it otherwise.
func (a *Answer) Close() {
	inTime := a.stop()
	if !inTime || !a.ended || a.last || !a.requestWritten() || a.conn.reader.Buffered() > 0 {
		a.conn.abort()
		return
	}
	a.conn.maxIdle = min(a.pool.maxIdle, keepAlive(a.Header, a.pool.maxIdle))
	a.pool.put(a.conn)
}

// requestWritten reports whether the whole request has been written. A receiver
// that has answered early may still expect the rest of the body.
func (a *Answer) requestWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

func (c *conn) write(request *http.Request) (err error) {
	if err = request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

func (c *conn) read(request *http.Request, belongs func(status int, h http.Header) bool) (response *http.Response, err error) {
	for range maxSkippedAnswers {
		response, err = http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK && belongs(response.StatusCode, response.Header) {
			return response, nil
		}
		if response.StatusCode >= http.StatusOK {
			if _, err = io.CopyN(io.Discard, response.Body, maxSkippedBytes); !errors.Is(err, io.EOF) {
				return nil, eris.New("an answer to another request does not end")
			}
		}
	}
	return nil, eris.New("only answers to other requests came")
}

// abort resets the connection, so that nothing that is still under way arrives.
func (c *conn) abort() { Reset(c.Conn) }

// Reset ends a TCP connection with a reset in place of an orderly close.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// The connection is given up either way.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// quiet reports whether an idle connection is still open and nothing unasked
// has arrived on it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (p *Pool) take(ctx context.Context) (c *conn, err error) {
	for {
		if c = p.pop(); c == nil {
			return p.dial(ctx)
		}
		now := time.Now()
		c.idled, c.reused = now.Sub(c.usedAt), true
		if c.idled < min(c.maxIdle, p.trusted(now)) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
}

// forgotten takes in that the receiver has forgotten a connection after an idle
// time.
func (p *Pool) forgotten(now time.Time, idled time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	trust := max(time.Duration(trustShare*float64(idled)), minTrust)
	if now.Before(p.trustEnds) {
		trust = min(trust, p.trust)
	}
	p.trust, p.trustEnds = trust, now.Add(trustMemory)
}

// trusted returns the idle time up to which connections are used.
func (p *Pool) trusted(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.trustEnds) {
		return p.trust
	}
	return p.maxIdle
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (c *conn, err error) {
	inner, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	raw, err := inner.(*net.TCPConn).SyscallConn()
	if err != nil {
		inner.Close()
		return nil, err
	}
	return &conn{
		Conn: inner, raw: raw,
		reader: bufio.NewReaderSize(inner, bufferBytes),
		writer: bufio.NewWriterSize(inner, bufferBytes),
	}, nil
}

func (p *Pool) put(c *conn) {
	c.usedAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Sweep closes the connections that have not been used for their time.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.usedAt) < c.maxIdle {
			kept = append(kept, c)
			continue
		}
		c.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections, and those in use after their answer.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}
