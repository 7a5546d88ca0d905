package mesh

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/lacewingslip/lacewingslip/clientlimit"
)

const (
	// maxHeldResponse is how much of the body of a response is held until its turn. The rest of
	// a longer one is written when its turn comes.
	maxHeldResponse = maxBufferedBytes
	// startedRequestCost is reserved for a request while it runs: what is held of its response,
	// and the part that ingress holds itself.
	startedRequestCost = 2 * maxBufferedBytes
	// headerLineCost is the memory that a line of the header of a held response takes beside
	// its bytes.
	headerLineCost = 256
)

// startedRequest is a request that runs before net/http has come to it. It is the writer of its
// response, which it holds until then.
type startedRequest struct {
	conn *serverConn
	r    *http.Request
	// method, host and target identify the request while its handler runs.
	method, host, target string
	cancel               context.CancelFunc
	// unread is the part of the head that net/http has not read. The mutex of the connection
	// guards it, dropped and ended.
	unread int
	// dropped is true if the response will not be written. ended is true once the handler has
	// returned.
	dropped, ended bool
	// headAccount and responseAccount are charged with the head and the response.
	headAccount, responseAccount *clientlimit.Account

	header http.Header
	status int
	body   []byte
	// full is closed when no more can be held, and done when the handler has returned. turn gets
	// the writer of net/http when what is held has been written.
	full, done chan struct{}
	turn       chan http.ResponseWriter
	// w is what turn has got, and writeErr why nothing can be written. Only the handler uses
	// them.
	w        http.ResponseWriter
	writeErr error
	// crash is what the handler has panicked with, or nil.
	crash any
}

// startedCrash is the panic of a request that has started ahead.
type startedCrash struct {
	cause any
	stack []byte
}

func (p *startedCrash) String() string { return fmt.Sprint(p.cause) }

// newStartedRequest returns a request that is ready to run. ok is false if the budgets have no
// room for it, or the connection has been closed. The mutex of the connection must be held.
func (c *serverConn) newStartedRequest(r *http.Request, head []byte) (s *startedRequest, ok bool) {
	var cost clientlimit.Head
	cost.Scan(head)
	limits, port := c.head.limits, c.head.port
	s = &startedRequest{
		conn: c, method: r.Method, host: r.Host, target: r.RequestURI, unread: len(head),
		headAccount: limits.memory.Open(port, c), responseAccount: limits.bodies.Open(port, c),
		header: make(http.Header), full: make(chan struct{}), turn: make(chan http.ResponseWriter, 1), done: make(chan struct{}),
	}
	if !s.headAccount.Reserve(cost.Cost()) || !s.responseAccount.Reserve(startedRequestCost) {
		s.release()
		return nil, false
	}
	ctx, cancel := context.WithCancel(c.ahead.ctx)
	s.cancel = cancel
	r.RemoteAddr = c.RemoteAddr().String()
	s.r = r.WithContext(ctx)
	return s, true
}

// matches reports whether net/http has read the same request.
func (s *startedRequest) matches(r *http.Request) bool {
	return r.Method == s.method && r.Host == s.host && r.RequestURI == s.target && r.ContentLength == 0
}

// run processes the request.
func (s *startedRequest) run(handler http.Handler) {
	defer s.end()
	handler.ServeHTTP(s, s.r)
}

// end records that the handler has returned or panicked. It must be deferred.
func (s *startedRequest) end() {
	if cause := recover(); cause != nil {
		s.crash = cause
		if cause != http.ErrAbortHandler { //nolint:errorlint // The value is compared as net/http does.
			s.crash = &startedCrash{cause: cause, stack: debug.Stack()}
		}
	}
	s.cancel()
	held := int64(cap(s.body))
	for name, values := range s.header {
		for _, value := range values {
			held += int64(headerLineCost + len(name) + len(value))
		}
	}
	// What is held is at most what was reserved, apart from a long header.
	_ = s.responseAccount.Reserve(held)
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.ended = true
	if s.dropped {
		s.release()
	}
	close(s.done)
}

// drop cancels a request whose response will not be written. The mutex of the connection must
// be held.
func (s *startedRequest) drop() {
	s.dropped = true
	s.cancel()
	if s.ended {
		s.release()
	}
}

func (s *startedRequest) release() {
	s.headAccount.Release()
	s.responseAccount.Release()
}

// respond writes the response when its turn has come. It panics like the handler of the
// request.
func (s *startedRequest) respond(w http.ResponseWriter) {
	defer s.finish()
	select {
	case <-s.full:
	case <-s.done:
	}
	maps.Copy(w.Header(), s.header)
	if s.status > 0 {
		w.WriteHeader(s.status)
	}
	// It has the time limits of any response that is held.
	if err := writeHeld(w, &result{body: s.body}); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.turn <- w
	<-s.done
	if s.crash != nil {
		panic(s.crash)
	}
}

// finish gives back what the request holds, once its handler has returned.
func (s *startedRequest) finish() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.drop()
}

// Header implements http.ResponseWriter.
func (s *startedRequest) Header() http.Header { return s.header }

// WriteHeader implements http.ResponseWriter.
func (s *startedRequest) WriteHeader(status int) {
	if s.status == 0 && status >= http.StatusOK {
		s.status = status
	}
}

// Write implements http.ResponseWriter. It waits for the turn of the response if no more can be
// held.
func (s *startedRequest) Write(p []byte) (n int, err error) {
	s.WriteHeader(http.StatusOK)
	switch {
	case s.writeErr != nil:
		return 0, s.writeErr
	case s.w == nil && len(s.body)+len(p) <= maxHeldResponse:
		s.body = append(s.body, p...)
		return len(p), nil
	case s.w == nil:
		close(s.full)
		// The rest of the response holds a slot of its backend server until the time limit of
		// the request, as for a slow reader.
		select {
		case s.w = <-s.turn:
		case <-s.r.Context().Done():
			s.writeErr = s.r.Context().Err()
			return 0, s.writeErr
		}
	}
	// An error means that the connection has been closed, and the write fails.
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.w.Write(p)
}
