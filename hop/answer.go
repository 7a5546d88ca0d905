package hop

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// maxPreparedBytes is the length up to which the memory for a body is allocated before it has
// arrived. A receiver in trouble may state a length and send nothing.
const maxPreparedBytes = 16 << 10

// minHeldBytes is what is allocated first for a body of unknown length.
const minHeldBytes = 4 << 10

// Answer is a response whose body has not been read yet. Close must be called.
type Answer struct {
	StatusCode int
	Header     http.Header
	Body       io.Reader
	// ContentLength is -1 if the answer does not state it.
	ContentLength int64

	// keepAlive is the value of the Keep-Alive header, which the caller may have removed.
	keepAlive string
	// closesConnection is true if the receiver closes the connection after this
	// answer.
	closesConnection bool
	pool             *Pool
	conn             *conn
	stopAbort        func() bool
	// writeResult gets the error of writing the request, or nil, if it is written while the answer
	// is read, and is nil otherwise. writeErr is the error if it was written before.
	writeResult chan error
	writeErr    error
	bodyRead    bool
}

// ReadAll reads at most limit bytes of the body. complete is false if the body is
// longer.
func (a *Answer) ReadAll(limit int64) (body []byte, complete bool, err error) {
	// The answer to a HEAD request states a length and has no body.
	if a.ContentLength >= 0 && a.ContentLength <= min(limit, maxPreparedBytes) && a.Body != http.NoBody {
		body = make([]byte, a.ContentLength)
		if _, err = io.ReadFull(a.Body, body); err != nil {
			return nil, false, err
		}
		a.bodyRead = true
		return body, true, nil
	}
	body, err = io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		return body, false, err
	}
	if int64(len(body)) > limit {
		return body, false, nil
	}
	a.bodyRead = true
	return body, true, nil
}

// maxDiscardedBytes bounds the body of an answer that is only read to verify it.
const maxDiscardedBytes = 4 << 20

// errBodyTooLong is returned if a body that is discarded exceeds maxDiscardedBytes.
var errBodyTooLong = eris.Errorf("the body of the answer exceeds %d bytes", maxDiscardedBytes)

// Discard reads the body to its end, of up to 4 MiB. What the head of an answer states holds only
// if err is nil, because an answer that is cut or malformed is no answer.
func (a *Answer) Discard() (err error) {
	_, err = io.CopyN(io.Discard, a.Body, maxDiscardedBytes)
	switch {
	case err == nil:
		return errBodyTooLong
	case !errors.Is(err, io.EOF):
		return err
	}
	a.bodyRead = true
	return nil
}

// ReadHeld reads at most limit bytes of the body as long as grow allows to hold more. complete is
// false if the rest of the body has not been read. grow gets the number of bytes that are
// allocated.
func (a *Answer) ReadHeld(limit int64, grow func(allocated int64) (ok bool)) (body []byte, complete bool, err error) {
	if a.Body == http.NoBody || a.ContentLength == 0 {
		return a.ReadAll(limit)
	}
	stated := a.ContentLength >= 0 && a.ContentLength <= limit
	size := int64(minHeldBytes)
	if stated {
		size = min(a.ContentLength, maxPreparedBytes)
	}
	for {
		if !grow(size) {
			return body, false, nil
		}
		grown := make([]byte, len(body), size)
		copy(grown, body)
		body = grown
		for int64(len(body)) < size {
			n, err := a.Body.Read(body[len(body):size])
			body = body[:len(body)+n]
			switch {
			case stated && int64(len(body)) == a.ContentLength, err == io.EOF && !stated:
				a.bodyRead = true
				return body, true, nil
			case err == io.EOF:
				return nil, false, io.ErrUnexpectedEOF
			case err != nil:
				return nil, false, err
			}
		}
		if size >= limit {
			return body, false, nil
		}
		size = min(2*size, limit)
		if stated {
			size = min(size, a.ContentLength)
		}
	}
}

// OnReusedConnection reports whether the connection has carried earlier requests, to
// which a late answer could belong.
func (a *Answer) OnReusedConnection() bool { return a.conn.reused }

// MarkBodyRead records that the caller has read the body to its end.
func (a *Answer) MarkBodyRead() { a.bodyRead = true }

// Close returns the connection to the pool if the answer has been read to its end
// and the connection can be reused, and resets it otherwise.
func (a *Answer) Close() {
	notAborted := a.stopAbort()
	if !notAborted || !a.bodyRead || a.closesConnection || !a.requestWritten() || a.conn.hasUnread() {
		a.conn.abort()
		return
	}
	a.conn.maxIdle = min(a.pool.maxIdle, keepAliveTimeout(a.keepAlive, a.pool.maxIdle))
	a.pool.release(a.conn)
}

// requestWritten reports whether the whole request has been written. A receiver
// may answer early and still expect the rest of the body.
func (a *Answer) requestWritten() bool {
	if a.writeResult == nil {
		return a.writeErr == nil
	}
	select {
	case err := <-a.writeResult:
		return err == nil
	default:
		return false
	}
}
