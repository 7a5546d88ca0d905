package mesh

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/hop"
)

const (
	streamBuffer = 32 << 10
	// writeTimeout limits each write of a streamed body. A receiver that has
	// stopped reading would otherwise hold the response, and with it a slot of the
	// backend server.
	writeTimeout = 15 * time.Second
)

// bodyStream is the rest of a long request body. The goroutine that sends the request reads
// it, also while the response is written.
type bodyStream struct {
	// read is true once the body has been read to its end.
	read atomic.Bool

	mu     sync.Mutex
	body   io.Reader
	closed bool
}

// Read implements io.Reader.
func (s *bodyStream) Read(b []byte) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err = s.body.Read(b)
	if err == io.EOF {
		s.read.Store(true)
	}
	return n, err
}

// close waits for a read in progress and lets all further ones fail.
func (s *bodyStream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// announceUnreadBody must be called before the response to the request is written. If the
// body has not been read to its end, net/http would read it before it writes the response,
// and the receiver of the request would get a body with a gap. It does not if the connection
// is closed afterwards.
func (r *request) announceUnreadBody(w http.ResponseWriter) {
	if r.stream != nil && !r.stream.read.Load() {
		w.Header().Set("Connection", "close")
	}
}

// closeBody must be called after the response to the request has been written. net/http
// removes the read deadline if the body is still being read when the handler returns.
func (r *request) closeBody(w http.ResponseWriter) {
	if r.stream == nil {
		return
	}
	// An error means that the receiver has disconnected and does not need the response.
	_ = http.NewResponseController(w).Flush()
	r.stream.close()
}

// copyStream copies the rest of a long response to the receiver. An error means
// that the response is incomplete.
func copyStream(w http.ResponseWriter, resp *hop.Answer, held *heldAnswer) (err error) {
	controller := http.NewResponseController(w)
	size := streamBuffer
	if !held.charge(streamBuffer) {
		size = smallAnswerBytes
	}
	buffer := make([]byte, size)
	for {
		n, readErr := resp.Body.Read(buffer)
		if n > 0 {
			// An error means that the writer does not support deadlines, as in
			// tests. Slow receivers are not limited then.
			_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			if !held.progress(w) {
				return errAnswerEvicted
			}
			if _, err = w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case readErr == io.EOF:
			resp.MarkBodyRead()
			return held.written()
		case readErr != nil:
			return readErr
		}
	}
}

// readResultBody reads the body of a response, or only the beginning of a long
// one, into memory. It closes the response unless the rest is to be streamed, which it also is
// if there is no room for it in the budget of the client.
func readResultBody(ctx context.Context, resp *hop.Answer, res *result) (err error) {
	res.held = holdAnswer(ctx)
	body, complete, err := resp.ReadHeld(maxBufferedBytes, res.held.charge)
	if err != nil {
		res.close()
		resp.Close()
		return err
	}
	res.body = body
	if complete {
		resp.Close()
		return nil
	}
	res.stream = resp
	return nil
}
