package mesh

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/platform"
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
	// crash is what the writing of the response panics with, or nil.
	crash error
}

// errStartedCrash is the panic in place of that of a request that has started ahead, which has
// been recorded.
var errStartedCrash = errors.New("the handler of a request that started ahead has crashed")

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
		s.crash = http.ErrAbortHandler
		if cause != http.ErrAbortHandler { //nolint:errorlint // The value is compared as net/http does.
			// The response may be dropped, so the crash is recorded at once.
			s.conn.ahead.pipelining.recordCrash(platform.RequestID(s.r.Header), cause)
			s.crash = errStartedCrash
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

// respond writes the response when its turn has come. It panics if the handler of the request
// has panicked.
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
		// The responses before it end with their time limits. Meanwhile, the rest of this one
		// holds a connection to the node or the backend server that sends it, but no slot.
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
