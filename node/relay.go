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

// errUnframed marks an answer whose end can't be told from a broken
// connection.
var errUnframed = errors.New("answer body has neither a length nor chunked coding")

// relayHeader returns the headers of a request or answer that go on to the next
// hop: neither those of the connection nor those that only nodes may set.
func relayHeader(header http.Header) http.Header {
	relayed := hop.EndToEnd(header)
	call.RemoveInternal(relayed)
	return relayed
}

// singleUseBody is a request body that net/http can't rewind. With a body that it
// can rewind, or with none, the transport silently sends some requests a second
// time when a reused connection breaks, which must not happen to a call that
// may have run.
type singleUseBody struct {
	reader *bytes.Reader
}

func newSingleUseBody(body []byte) *singleUseBody {
	return &singleUseBody{reader: bytes.NewReader(body)}
}

func (b *singleUseBody) Read(p []byte) (n int, err error) { return b.reader.Read(p) }

func (b *singleUseBody) Close() error { return nil }

// roundTrip sends the request once. The result sent is false if the request
// certainly never left this process: no connection was obtained for it.
func roundTrip(transport http.RoundTripper, request *http.Request) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err = transport.RoundTrip(request)
	return response, connected.Load(), err
}

// checkFraming refuses an answer whose completeness can't be verified. An
// answer that ends by closing the connection looks the same when it is cut.
func checkFraming(response *http.Response) (err error) {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return nil
	}
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return nil
	}
	switch response.StatusCode {
	case http.StatusNoContent, http.StatusNotModified:
		return nil
	default:
		return errUnframed
	}
}

// copyHeader sets the headers of an answer.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// copyBody streams an answer in bounded memory; an error means that it was not
// complete. Parts of an answer of unknown length are flushed, so that a slow
// stream reaches the caller as it comes. One of known length is left to the
// writer's buffer, which saves a system call for each short answer.
func copyBody(w http.ResponseWriter, body io.Reader, length int64, buffer []byte) (err error) {
	controller := http.NewResponseController(w)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			// Writers without deadlines, as in tests, are not bounded.
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
			// A writer that can't flush passes the answer on later.
			_ = controller.Flush()
		}
	}
}

// relayBufferSize bounds the memory that one streamed answer holds.
const relayBufferSize = 32 << 10

// writeTimeout bounds how long a receiver that has stopped reading holds an
// answer, and with it a slot of the backend server.
const writeTimeout = 30 * time.Second

// bufferPool lends buffers for streaming.
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

// streamAnswer streams a complete answer to the receiver. If the answer breaks
// off, the receiver's connection is aborted, so that it can't take a part for
// the whole; broken is called before that.
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
