package mesh

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/pipeline"
)

// minReadAheadBytes is the size of the first buffer for bytes that are read ahead.
const minReadAheadBytes = 4 << 10

// pipelining makes the connections of a port start requests before the responses to the
// requests before them have been written.
type pipelining struct {
	// repeatable reports whether a request for the target may be repeated.
	repeatable func(host, target string) bool
	// handler processes the requests that start ahead.
	handler http.Handler
	// recordCrash records the panic of a handler that processes a request with the ID.
	recordCrash func(id string, cause any)
}

// startAhead makes the connections start requests ahead.
func startAhead(p *pipelining) connectionsOption {
	return func(s *connections) { s.pipelining, p.recordCrash = p, s.recordCrash }
}

// setPipelining makes a connection that is accepted start requests ahead. The context has the
// values of those of its requests.
func (s *connections) setPipelining(ctx context.Context, c *serverConn) {
	if s.pipelining != nil && c.head.limits != nil {
		c.ahead.pipelining, c.ahead.ctx = s.pipelining, ctx
	}
}

// isRepeatable reports whether a request for the target may be repeated, and may start ahead
// for that reason. None does while the node stops.
func (i *ingress) isRepeatable(host, target string) bool {
	state := i.desired.current()
	if state == nil || i.lifecycle.stopping.Load() {
		return false
	}
	path, _, _ := strings.Cut(target, "?")
	route, ok := state.Match(host, path)
	return ok && route.Kind() == desired.Idempotent
}

// readAhead is what a connection has read behind the request in progress. net/http gets one
// head at a time, and of a body no more than its stated length, so that the connection knows to
// which request each byte belongs. The mutex of the connection guards it, except for what is
// set when the connection is accepted.
type readAhead struct {
	// pipelining is nil if the connection starts no requests ahead.
	pipelining *pipelining
	// ctx has the values of the contexts of requests.
	ctx context.Context

	// buf[off:] has been read and not been delivered to net/http. Its first started bytes are
	// the heads of requests that have started, or the rest of the first of these.
	buf          []byte
	off, started int
	// single holds a byte that has been read after the handler has returned.
	single [1]byte
	// account is charged with the buffer, unless it holds only what net/http would hold.
	account *clientlimit.Account
	// err is why nothing can be read any more, or nil.
	err error

	// queue has the requests that have started and that net/http has not come to. current is
	// the one that it has come to, or nil if the request in progress has not started ahead.
	queue   []*startedRequest
	current *startedRequest
	// delivering is true if net/http reads the head of the first request of the queue.
	delivering bool

	// unsynced is true once it is not certain where the next head begins. The connection then
	// passes all bytes on and starts no requests ahead.
	unsynced bool
	// framed is true once the length of the body of the request in progress is known. past is
	// the number of bytes that net/http has got after its head.
	framed       bool
	length, past int64
	// open is true if requests behind the request in progress may start. If isPlain is true,
	// that depends on whether host and target may be repeated.
	open, isPlain bool
	host, target  string
	// closing is true once the connection is to end with the request in progress.
	closing bool
}

// held returns the bytes that have not been delivered.
func (a *readAhead) held() []byte { return a.buf[a.off:] }

// hasRequest reports whether a part of a request is held. Line breaks begin none.
func (a *readAhead) hasRequest() bool { return len(bytes.Trim(a.held(), "\r\n")) > 0 }

// readBytes reads what net/http asks for. While a handler runs, it asks for a single byte to
// notice that the client disconnects; then readBytes reads ahead.
func (c *serverConn) readBytes(b []byte) (n int, err error) {
	if c.ahead.pipelining == nil {
		return c.Conn.Read(b)
	}
	b, n, inBackground, err := c.deliver(b)
	switch {
	case n > 0 || err != nil:
		return n, err
	case inBackground:
		return 0, c.readInBackground(b)
	default:
		return c.Conn.Read(b)
	}
}

// deliver copies bytes that are held, and returns how many. If there are none, it returns the
// part of b into which the connection may read.
func (c *serverConn) deliver(b []byte) (room []byte, n int, inBackground bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.ahead
	a.delivering = false
	switch {
	case a.unsynced:
	case a.err != nil:
		return nil, 0, false, a.err
	case !c.idle && len(b) == 1:
		return b, 0, true, nil
	case !c.idle && (!a.framed || a.past >= a.length):
		a.unsynced = true
	case !c.idle:
		b = b[:min(int64(len(b)), a.length-a.past)]
	case a.started > 0:
		b = b[:min(len(b), a.queue[0].unread)]
		a.delivering = true
	}
	if len(a.held()) == 0 {
		a.buf, a.off = a.buf[:0], 0
		return b, 0, false, nil
	}
	n = copy(b, a.held())
	a.off += n
	if a.delivering {
		a.started -= n
		a.queue[0].unread -= n
	}
	return b, n, false, nil
}

// scanHead follows the bytes of a head. It returns how many of them are passed on, and the
// connections to end. The mutex must be held.
func (c *serverConn) scanHead(b []byte) (n int, victims []*clientlimit.Account) {
	if c.ahead.delivering {
		// What the head takes is reserved.
		c.head.head.Scan(b)
		return len(b), nil
	}
	if c.head.head.Ended() {
		// net/http waits for at least four bytes before it reads a head.
		c.ahead.unsynced = true
	}
	before := c.head.head.Bytes()
	victims = c.head.scan(b)
	n = len(b)
	if c.head.head.Ended() {
		n = c.ahead.split(b, int(c.head.head.Bytes()-before), before == 0)
	}
	c.recordClientBytes()
	return n, victims
}

// split returns how many of the bytes that have been read while a head was expected are passed
// on, and holds the others. whole is true if the head begins with them, and length is how many
// of them belong to it.
func (a *readAhead) split(b []byte, length int, whole bool) (n int) {
	if a.pipelining == nil || a.unsynced || length == len(b) {
		return len(b)
	}
	if a.off > 0 {
		// The bytes come from the buffer.
		a.off -= len(b) - length
		return length
	}
	if whole {
		// The beginning of a body is passed on without a copy.
		body, ok := pipeline.BodyBytes(b[:length])
		if !ok {
			a.unsynced = true
			return len(b)
		}
		a.past = min(body, int64(len(b)-length))
	}
	n = length + int(a.past)
	if n < len(b) {
		a.buf, a.off = slices.Clone(b[n:]), 0
	}
	return n
}

// readInBackground reads ahead until net/http ends the read by a deadline or the client
// disconnects. If no more may be held, it only waits for one of these. It returns no bytes to
// net/http, which then reads no more until the response has been written.
func (c *serverConn) readInBackground(b []byte) (err error) {
	for {
		room, full := c.readRoom(b)
		if full {
			err = c.awaitClose()
			c.addHeld(nil, err)
			return err
		}
		if len(room) == 0 {
			return nil
		}
		n, err := c.Conn.Read(room)
		c.addHeld(room[:n], err)
		if err != nil {
			return err
		}
	}
}

// awaitClose waits until the client disconnects or the read deadline passes, and returns which
// of these has happened. It returns nil at once on connections that don't support that.
func (c *serverConn) awaitClose() (err error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	if err = hop.AwaitClose(raw); err != nil {
		return err
	}
	return io.EOF
}

// readRoom returns where the next bytes are read to, or nothing if no more are read. full is
// true if no more may be held. Nothing is allocated before the first byte has arrived.
func (c *serverConn) readRoom(b []byte) (room []byte, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.ahead
	held := len(a.held())
	switch {
	case held == 0:
		return b, false
	case a.closing || a.unsynced || c.progress.handled:
		return nil, false
	case held >= pipeline.MaxHeldBytes:
		return nil, true
	case len(a.buf) < cap(a.buf):
		return a.buf[len(a.buf):cap(a.buf)], false
	}
	size := max(min(2*held, pipeline.MaxHeldBytes), minReadAheadBytes)
	if a.account == nil {
		a.account = c.head.limits.memory.Open(c.head.port, c)
	}
	if !a.account.Reserve(int64(size)) {
		return nil, true
	}
	a.buf, a.off = append(make([]byte, 0, size), a.held()...), 0
	return a.buf[len(a.buf):size], false
}

// addHeld records the result of a read in the background. Bytes that were not read into the
// buffer are a single one.
func (c *serverConn) addHeld(read []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.ahead
	switch {
	case len(read) == 0:
	case len(a.held()) == 0:
		a.single[0] = read[0]
		a.buf, a.off = a.single[:], 0
	default:
		a.buf = a.buf[:len(a.buf)+len(read)]
	}
	if len(read) > 0 {
		c.readAhead = c.readAhead || a.hasRequest()
		if !c.idleSince.IsZero() {
			c.idleSince = time.Now()
		}
		c.startHeld()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.err = err
		c.cancelStarted()
	}
}

// startHeld starts the requests that are held and may start. The mutex must be held.
func (c *serverConn) startHeld() {
	a := &c.ahead
	if len(a.held()) == a.started || a.closing || a.unsynced {
		return
	}
	if a.isPlain {
		a.isPlain = false
		a.open = a.pipelining.repeatable(a.host, a.target)
	}
	rule := pipeline.Rule{Repeatable: a.pipelining.repeatable, HeadBytes: c.head.limits.headBytes(c.head.port)}
	for a.open && len(a.queue) < pipeline.MaxStarted {
		rest := a.held()[a.started:]
		length, verdict := rule.Next(rest)
		a.open = verdict != pipeline.Waits
		if verdict != pipeline.Starts {
			return
		}
		r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(rest[:length]), length))
		if err != nil {
			// net/http answers it when it comes to it.
			a.open = false
			return
		}
		started, ok := c.newStartedRequest(r, rest[:length])
		if !ok {
			return
		}
		a.started += length
		a.queue = append(a.queue, started)
		go started.run(a.pipelining.handler)
	}
}

// beginHandler records what the request in progress allows to start behind it, and returns it
// if it has started ahead. ok is false if it is not the one that has started in its place.
func (c *serverConn) beginHandler(r *http.Request) (started *startedRequest, ok bool) {
	if c.ahead.pipelining == nil {
		return nil, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.ahead
	a.framed, a.length = true, r.ContentLength
	if a.length < 0 || r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.Header["Expect"] != nil || r.Header["Upgrade"] != nil || r.Method == http.MethodConnect {
		a.unsynced = true
	}
	if started = a.current; started != nil {
		ok = !a.unsynced && started.matches(r)
		a.open = ok
	} else {
		ok = len(a.queue) == 0
		connection := r.Header["Connection"]
		a.isPlain = !a.unsynced && a.length == 0 && (connection == nil || len(connection) == 1 && strings.EqualFold(connection[0], "keep-alive"))
		a.host, a.target = r.Host, r.RequestURI
	}
	if ok {
		c.startHeld()
		return started, true
	}
	c.cancelStarted()
	if started != nil {
		started.drop()
	}
	return nil, false
}

// beginPipelined records that net/http has read the head of a request. The mutex must be held.
func (c *serverConn) beginPipelined() {
	a := &c.ahead
	a.framed, a.open, a.isPlain = false, false, false
	a.unsynced = a.unsynced || !c.head.head.Ended()
	a.current = nil
	if a.delivering && len(a.queue) > 0 && a.queue[0].unread == 0 {
		a.current = a.queue[0]
		a.queue[0] = nil
		a.queue = a.queue[1:]
		a.delivering = false
	}
}

// endPipelined records that a request has been answered. The mutex must be held.
func (c *serverConn) endPipelined() {
	a := &c.ahead
	a.unsynced = a.unsynced || !a.framed || a.past != a.length
	a.current, a.past = nil, 0
	if len(a.queue) == 0 {
		a.queue = nil
	}
	if len(a.held()) == 0 && a.buf != nil {
		a.releaseBuffer()
	}
}

func (a *readAhead) releaseBuffer() {
	a.buf, a.off = nil, 0
	if a.account != nil {
		a.account.Release()
	}
}

// startResponse is called before the header of a response is written. A response ends the
// connection only if no request has started behind it; the last one that has closes it. From
// then on, none is started.
func (c *serverConn) startResponse(h http.Header) {
	c.endBody()
	if c.ahead.pipelining == nil || h["Connection"] == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead.queue) > 0 {
		delete(h, "Connection")
		return
	}
	c.ahead.closing = true
}

// cancelStarted cancels all requests that have started ahead, because the connection ends. The
// mutex must be held.
func (c *serverConn) cancelStarted() {
	a := &c.ahead
	a.closing = true
	for _, started := range a.queue {
		started.drop()
	}
	a.queue, a.started = nil, 0
	if a.current != nil {
		a.current.cancel()
	}
}

// dropStarted cancels the requests that have started behind the request in progress, whose
// response closes the connection.
func (c *serverConn) dropStarted() {
	if c.ahead.pipelining == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelStarted()
}

// endPipelining cancels all requests that have started ahead, and gives back what is held, when
// the connection is closed.
func (c *serverConn) endPipelining() {
	if c.ahead.pipelining == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelStarted()
	c.ahead.err = net.ErrClosed
	if c.ahead.account != nil {
		c.ahead.account.Release()
	}
}
