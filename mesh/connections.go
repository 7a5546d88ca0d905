package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/platform"
)

// clientCloseTimeout bounds how long a node waits for the client to close a connection
// after its last answer.
const clientCloseTimeout = time.Second

// longPast is a read deadline that ends a read at once.
var longPast = time.Unix(1, 0)

// serverConn is the server side of a connection that can be closed when it is idle.
//
// net/http reports a connection as idle until it has read the whole head of the next
// request, so another goroutine that closes idle connections can hit one whose request
// has just been read. Here, the goroutine that reads the connection decides: an idle
// connection expires by a read deadline, and bytes that arrive before that goroutine has
// noticed revoke it.
type serverConn struct {
	net.Conn
	// aborted is true once this node has closed the connection whatever it was used for.
	aborted atomic.Bool

	// mu also guards the read deadline, so that it always agrees with expired.
	mu sync.Mutex
	// idle is true from the end of an answer until the head of the next request has been
	// read. idleSince is the time of the last answer, or of the last byte that was read
	// since, and zero before the first answer.
	idle      bool
	idleSince time.Time
	// reading is true if a part of a request has been read that has not started yet.
	// readAhead is true if that part was read before the end of the request before it.
	reading, readAhead bool
	// expired is true while a read deadline in the past asks the reading goroutine to end
	// the connection. ended is true once it has.
	expired, ended bool
	// refused is true once this node has refused a head in place of net/http.
	refused bool
	head    clientHead
	client  clientConnection
	// extended is true once the time for the head of the next request was extended.
	extended bool
	// progress describes the request in progress, for the event at the end of the
	// connection.
	progress requestProgress
	ahead    readAhead
}

// Read implements net.Conn. After it has returned an error because the connection
// expired, all further reads fail: bufio returns the part of a line that was read before
// an error as a whole line.
func (c *serverConn) Read(b []byte) (n int, err error) {
	for !c.hasEnded() {
		n, err = c.readBytes(b)
		if n > 0 {
			n = c.recordRead(b[:n], len(b) == 1)
		}
		if c.refuse() {
			break
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.mayReadOn() {
			c.recordReadError(err)
			if n == 0 && c.refuse() {
				break
			}
			return n, err
		}
	}
	return 0, os.ErrDeadlineExceeded
}

// Write implements net.Conn. It fails once the connection has ended, because net/http
// answers the part of a request that was read before with status 400.
func (c *serverConn) Write(b []byte) (n int, err error) {
	if c.hasEnded() {
		return 0, net.ErrClosed
	}
	n, err = c.Conn.Write(b)
	c.recordWrite(b, err)
	return n, err
}

// CloseWrite closes the sending side. net/http uses it to let the client read an answer to
// a request whose body was not read to its end.
func (c *serverConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn. The kernel resets a connection that is closed with unread
// bytes, such as those of a pipelined request, or that receives bytes later, and then drops
// the part of the answer that it has not sent. After an answer, Close therefore reads on
// until the client has closed the connection.
func (c *serverConn) Close() error {
	defer c.closeClient()
	c.endPipelining()
	c.recordUnread()
	c.releaseHead()
	if timeout, answered := c.closeTimeout(); answered && c.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(timeout))
		// An error means that the client has reset the connection or does not close it.
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	return c.Conn.Close()
}

// closeTimeout returns how long the client may take to close the connection. answered is true
// if the connection ends with a request, and not because it was idle or because this node
// closes it whatever it is used for. A head that is refused in favour of another connection
// gets no time: its descriptor is needed, and what has arrived of it has been read.
func (c *serverConn) closeTimeout() (timeout time.Duration, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout = clientCloseTimeout
	if c.client.evicted {
		timeout = evictedCloseTimeout
	}
	return timeout, (c.refused && !c.client.evicted || !c.idle && !c.ended) && !c.aborted.Load()
}

func (c *serverConn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.release()
}

func (c *serverConn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// recordRead records that bytes have been read. While a handler runs, net/http reads a
// single byte to notice that the client disconnects, which may be the first one of the next
// request. Line breaks may follow a request, and begin none. It returns how many of the bytes
// are passed on.
func (c *serverConn) recordRead(b []byte, single bool) (n int) {
	n, victims := c.recordArrived(b, single)
	evict(victims)
	return n
}

// recordArrived is recordRead. It also returns the connections that have to be ended, whose
// mutexes can't be locked together with this one.
func (c *serverConn) recordArrived(b []byte, single bool) (n int, victims []*clientlimit.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clearExpiry()
	if c.idle {
		n, victims = c.scanHead(b)
		b = b[:n]
	} else {
		n = len(b)
		c.ahead.past += int64(n)
	}
	if len(bytes.Trim(b, "\r\n")) > 0 {
		if c.idle && !c.reading {
			c.progress.firstRead = time.Now()
		}
		c.reading = c.reading || c.idle
		c.readAhead = c.readAhead || !c.idle && single
	}
	if !c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	return n, victims
}

// mayReadOn decides after a read deadline has passed whether the read is repeated,
// because bytes have arrived on a connection that was to end.
func (c *serverConn) mayReadOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expired {
		if c.extendDeadline() {
			return true
		}
		if c.idle {
			c.head.endLate()
		}
		return false
	}
	if c.hasUnreadData() {
		c.clearExpiry()
		c.recordClientBytes()
		return true
	}
	c.ended = true
	return false
}

// extendDeadline replaces a deadline of net/http for the head of a request, once for each
// request, if bytes have arrived: a process that stood still notices the deadline first. The
// mutex must be held.
func (c *serverConn) extendDeadline() (extended bool) {
	if !c.idle || c.extended || !c.hasUnreadData() {
		return false
	}
	c.extended = true
	return c.Conn.SetReadDeadline(time.Now().Add(c.headTimeout())) == nil
}

// startRequest records that the head of a request has been read.
func (c *serverConn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.reading = false, false
	status := ""
	if c.refused {
		status = c.progress.statusLine
	}
	c.progress = requestProgress{firstRead: c.progress.firstRead, readErr: c.progress.readErr, statusLine: status}
	c.head.keep()
	c.clearExpiry()
	c.beginPipelined()
	if !c.ended {
		c.client.enter(clientlimit.Running)
	}
}

// endRequest records that a request has been answered.
func (c *serverConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endPipelined()
	c.idle, c.reading, c.readAhead, c.idleSince = true, c.readAhead || c.ahead.hasRequest(), false, time.Now()
	c.progress, c.extended = requestProgress{firstRead: c.idleSince}, false
	c.head.reset()
	c.client.answered = false
	switch {
	case len(c.ahead.queue) > 0:
		c.client.enter(clientlimit.Running)
	case c.reading:
		c.client.enter(clientlimit.Arriving)
	default:
		c.client.enter(clientlimit.Idle)
	}
}

// expire asks the reading goroutine to end the connection if it has been idle for longer
// than the limit, and returns how long that is. A connection from which a part of a request
// has been read waits for the rest of its head, so headerTimeout bounds it if that is longer.
// expire is called again until the connection has ended, because net/http clears the read
// deadline after it has reported a connection as idle.
func (c *serverConn) expire(now time.Time, limit time.Duration) (idle time.Duration, expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.idleSince.IsZero() {
		return 0, false
	}
	if c.reading {
		limit = max(limit, c.headTimeout())
	}
	if idle = now.Sub(c.idleSince); idle <= limit {
		return idle, false
	}
	c.setExpired()
	return idle, true
}

// setExpired sets a read deadline in the past. The mutex must be held.
func (c *serverConn) setExpired() {
	c.expired = true
	// An error means that the connection has been closed already.
	_ = c.Conn.SetReadDeadline(longPast)
}

// clearExpiry cancels the expiry. The time for the first head of a connection starts again,
// because net/http does not set it again. The mutex must be held.
func (c *serverConn) clearExpiry() {
	if !c.expired {
		return
	}
	c.expired = false
	deadline := time.Time{}
	if c.idle && c.idleSince.IsZero() {
		deadline = time.Now().Add(c.headTimeout())
	}
	_ = c.Conn.SetReadDeadline(deadline)
}

// expireUnread asks the reading goroutine to end the connection if it is idle and no part
// of a request has been read. inUse is true if a request is in progress.
func (c *serverConn) expireUnread() (inUse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.reading {
		c.setExpired()
	}
	return !c.idle || len(c.ahead.queue) > 0
}

// hasUnreadData reports whether bytes have arrived that were not read yet.
func (c *serverConn) hasUnreadData() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unread, _ := hop.Peek(raw)
	return unread
}

// serverListener accepts connections as [serverConn].
type serverListener struct{ net.Listener }

// Accept waits for the next connection.
func (l serverListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: c, idle: true}, nil
}

// connections holds the open connections of a server.
type connections struct {
	// record records an event about a connection.
	record func(id event.ID, attrs ...slog.Attr)
	// limits and port are set if the limits of clients apply.
	limits *clientLimits
	port   clientlimit.Port
	// pipelining is set if requests may start ahead.
	pipelining *pipelining

	mu   sync.Mutex
	open map[*serverConn]struct{}
}

// connectionsOption configures [trackConnections].
type connectionsOption func(*connections)

// withConnectionEvents records the connections that end with a request in progress, and
// the version of the desired state at that time.
func withConnectionEvents(events eventRecorder, hop metrics.Hop, version func() int64) connectionsOption {
	return func(s *connections) {
		s.record = func(id event.ID, attrs ...slog.Attr) {
			events.Record(id, append(attrs, attrHop(hop), slog.Int64("version", version()))...)
		}
	}
}

type serverConnKey struct{}

// trackConnections makes the server register its connections, and drop requests on those
// that have ended. It replaces ConnState and ConnContext of the server. The listener that
// it returns must be used to serve.
func trackConnections(server *http.Server, listener net.Listener, opts ...connectionsOption) (*connections, net.Listener) {
	s := &connections{open: make(map[*serverConn]struct{}), record: func(event.ID, ...slog.Attr) {}}
	for _, opt := range opts {
		opt(s)
	}
	server.ConnState = s.onStateChange
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if conn, ok := c.(*serverConn); ok {
			ctx = context.WithValue(hop.ConnContext(ctx, conn.Conn), serverConnKey{}, c)
			s.setPipelining(ctx, conn)
		}
		return ctx
	}
	server.Handler = s.trackRequests(hop.ResetIncomplete(server.Handler))
	listener = serverListener{listener}
	if s.limits != nil {
		listener = limitedListener{listener, s.limits, s.port}
	}
	return s, listener
}

// trackRequests wraps a handler to record its progress at the connection.
func (s *connections) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(serverConnKey{}).(*serverConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		id := platform.RequestID(r.Header)
		c.startHandler(id)
		if c.hasEnded() {
			panic(http.ErrAbortHandler)
		}
		ahead, ok := c.beginHandler(r)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		started := &startedWriter{ResponseWriter: w, onStart: c.startResponse}
		defer s.answerCrash(c, started, id)
		if ahead != nil {
			ahead.respond(started)
			c.endHandler()
			return
		}
		r, release := c.chargeBody(r)
		defer release()
		next.ServeHTTP(started, r)
		c.endHandler()
	})
}

// connectionAborted reports whether this node closed the connection of a request.
func connectionAborted(ctx context.Context) bool {
	c, ok := ctx.Value(serverConnKey{}).(*serverConn)
	return ok && c.aborted.Load()
}

func (s *connections) onStateChange(c net.Conn, state http.ConnState) {
	conn, ok := c.(*serverConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open[conn] = struct{}{}
	case http.StateActive:
		// A pipelined request may have been read together with the one before.
		conn.startRequest()
	case http.StateIdle:
		conn.endRequest()
	case http.StateClosed, http.StateHijacked:
		s.recordEnd(conn)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, conn)
	}
}

// closeExpired closes the connections that have been idle for longer than the limit. The
// limit can change while connections are open, which net/http's IdleTimeout does not
// support. It returns the number of these connections and the longest idle time.
func (s *connections) closeExpired(now time.Time, limit time.Duration) (closed int, longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if idle, expired := c.expire(now, limit); expired {
			closed++
			longest = max(longest, idle)
		}
	}
	return closed, longest
}

// closeIdle closes the idle connections from which no part of a request has been read. It
// returns the number of connections with a request in progress, and the number of all that
// are still open, those that are about to end included.
func (s *connections) closeIdle() (inUse, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.expireUnread() {
			inUse++
		}
	}
	return inUse, len(s.open)
}

// abort closes all connections, whatever they are used for.
func (s *connections) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.aborted.Store(true)
		c.Close()
	}
}
