package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/hop"
)

// errUnframed is returned for an answer whose end can't be distinguished from a
// lost connection.
var errUnframed = errors.New("answer body has neither a length nor chunked coding")

// relayHeader returns the headers of a request or answer that are relayed to the
// next hop: all but connection headers and headers that only nodes may set.
func relayHeader(header http.Header) http.Header {
	relayed := hop.EndToEnd(header)
	call.RemoveInternal(relayed)
	return relayed
}

// oneShotBody is a request body that net/http can't rewind. If the body can be
// rewound or is absent, the transport silently sends some requests again when a
// reused connection breaks. A call that may have run must not be sent again.
type oneShotBody struct {
	reader *bytes.Reader
}

func newOneShotBody(body []byte) *oneShotBody { return &oneShotBody{reader: bytes.NewReader(body)} }

func (b *oneShotBody) Read(p []byte) (n int, err error) { return b.reader.Read(p) }

func (b *oneShotBody) Close() error { return nil }

// roundTrip sends the request once. sent is false if no connection was obtained, so
// that the request certainly was not sent.
func roundTrip(transport http.RoundTripper, request *http.Request) (answer *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	answer, err = transport.RoundTrip(request)
	return answer, connected.Load(), err
}

// checkFraming returns an error if it can't be verified that the answer is complete.
// An answer that is terminated by closing the connection looks the same if it was
// truncated.
func checkFraming(answer *http.Response) (err error) {
	if answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0 {
		return nil
	}
	if answer.Request != nil && answer.Request.Method == http.MethodHead {
		return nil
	}
	switch answer.StatusCode {
	case http.StatusNoContent, http.StatusNotModified:
		return nil
	default:
		return errUnframed
	}
}

// copyHeader copies all headers to an answer, without copying their values.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// copyBody streams the body of an answer in bounded memory. An error means that the
// answer was not copied completely. If the length is unknown, each part is flushed,
// so that a slow stream reaches the receiver without delay. If the length is known,
// the writer's buffer is not flushed, which saves a system call per short answer.
func copyBody(w http.ResponseWriter, body io.Reader, length int64, buffer []byte) (err error) {
	controller := http.NewResponseController(w)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			// Fails for writers without deadlines, as in tests; their writes are not bounded.
			_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err = w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case readErr == io.EOF:
			return nil
		case readErr != nil:
			return readErr
		case length < 0 && n < len(buffer):
			// A writer that can't flush sends its buffer later.
			_ = controller.Flush()
		}
	}
}

// relayBufferSize is the buffer size in bytes per streamed answer.
const relayBufferSize = 32 << 10

// writeTimeout bounds how long a receiver that has stopped reading can block an
// answer, and thereby occupy a slot of the backend server.
const writeTimeout = 30 * time.Second

// bufferPool reuses buffers for streaming.
type bufferPool struct {
	pool sync.Pool
}

func newBufferPool() *bufferPool {
	return &bufferPool{pool: sync.Pool{New: func() any {
		buffer := make([]byte, relayBufferSize)
		return &buffer
	}}}
}

func (p *bufferPool) get() *[]byte { return p.pool.Get().(*[]byte) }

func (p *bufferPool) put(buffer *[]byte) { p.pool.Put(buffer) }

// streamAnswer streams an answer to the receiver. If the answer can't be copied
// completely, it calls onError and then aborts the receiver's connection, so that
// the receiver can't mistake a truncated answer for a complete one.
func (p *bufferPool) streamAnswer(w http.ResponseWriter, answer *http.Response, onError func(err error)) {
	copyHeader(w.Header(), relayHeader(answer.Header))
	w.Header().Set(call.HeaderOutcome, call.Answered.String())
	if answer.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	w.WriteHeader(answer.StatusCode)
	buffer := p.get()
	defer p.put(buffer)
	if err := copyBody(w, answer.Body, answer.ContentLength, *buffer); err != nil {
		onError(err)
		panic(http.ErrAbortHandler)
	}
}
