package early

import (
	"io"
	"sync"
)

// Endless is a length for the rest of an [Upload] that is never written to its end.
const Endless = 1 << 40

// Upload is the body of a request. After its first part it waits until it is released.
type Upload struct {
	first, rest       int
	waiting, released chan struct{}
	closed            chan struct{}
	closing           sync.Once
	// err is set before released is closed.
	err error
}

// NewUpload returns a body with the lengths of its first part and of the rest.
func NewUpload(first, rest int) *Upload {
	return &Upload{first: first, rest: rest, waiting: make(chan struct{}), released: make(chan struct{}), closed: make(chan struct{})}
}

// Length returns the length of the whole body.
func (u *Upload) Length() int64 { return int64(u.first + u.rest) }

// Release lets the rest be read, or lets reads fail from then on if err is not nil. It is called
// once.
func (u *Upload) Release(err error) {
	u.err = err
	close(u.released)
}

// Waiting is closed once all of the first part has been written, apart from what the writer
// buffers, and the body waits.
func (u *Upload) Waiting() <-chan struct{} { return u.waiting }

// Closed is closed once the body is no longer read, because it has ended or failed, or because
// writing it has failed.
func (u *Upload) Closed() <-chan struct{} { return u.closed }

// Read implements io.Reader. It must not be called concurrently with itself.
func (u *Upload) Read(b []byte) (n int, err error) {
	if u.first > 0 {
		n = min(len(b), u.first)
		u.first -= n
		return n, nil
	}
	select {
	case <-u.waiting:
	default:
		// This read shows that the first part has been written.
		close(u.waiting)
	}
	<-u.released
	if u.err != nil {
		return 0, u.err
	}
	if u.rest == 0 {
		return 0, io.EOF
	}
	n = min(len(b), u.rest)
	u.rest -= n
	return n, nil
}

// Close implements io.Closer.
func (u *Upload) Close() error {
	u.closing.Do(func() { close(u.closed) })
	return nil
}
