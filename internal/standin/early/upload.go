package early

import "sync"

// FirstBytes is the length of the first part of an [Upload].
const FirstBytes = 64 << 10

// Upload is the body of a request. After its first part it waits until it is released.
type Upload struct {
	left              int
	waiting, released chan struct{}
	closed            chan struct{}
	closing           sync.Once
	// err is set before released is closed.
	err error
}

// NewUpload returns a body that has not been read.
func NewUpload() *Upload {
	return &Upload{left: FirstBytes, waiting: make(chan struct{}), released: make(chan struct{}), closed: make(chan struct{})}
}

// Release lets the rest be read, which is without end if err is nil. Otherwise reads return err
// from then on. Release is called once.
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

// Read implements io.Reader.
func (u *Upload) Read(b []byte) (n int, err error) {
	if u.left > 0 {
		n = min(len(b), u.left)
		if u.left -= n; u.left == 0 {
			// The next read shows that this part has been written.
			u.left = -1
		}
		return n, nil
	}
	if u.left < 0 {
		u.left = 0
		close(u.waiting)
	}
	<-u.released
	if u.err != nil {
		return 0, u.err
	}
	return len(b), nil
}

// Close implements io.Closer.
func (u *Upload) Close() error {
	u.closing.Do(func() { close(u.closed) })
	return nil
}
