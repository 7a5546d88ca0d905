package hop

import (
	"context"
	"io"
	"net"
	"time"
)

// Expired reports whether ctx has ended or its deadline has passed. In a process that stood
// still, goroutines may run before the timer that ends ctx.
func Expired(ctx context.Context) bool {
	deadline, _ := ctx.Deadline()
	return ctx.Err() != nil || isPast(deadline)
}

// isPast reports whether a deadline has passed. It is false for the zero time.
func isPast(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// requestWriter writes the first bytes of a request only if its deadline has not passed.
type requestWriter struct {
	net.Conn
	// deadline is zero if the request has none.
	deadline time.Time
	// begun is true if bytes of the request may have been sent.
	begun bool
}

// reset prepares the writer for a request.
func (w *requestWriter) reset(deadline time.Time) { w.deadline, w.begun = deadline, false }

// Write implements io.Writer.
func (w *requestWriter) Write(b []byte) (n int, err error) {
	if err = w.begin(); err != nil {
		return 0, err
	}
	return w.Conn.Write(b)
}

// ReadFrom implements io.ReaderFrom, so that bufio.Writer does not split long bodies.
func (w *requestWriter) ReadFrom(r io.Reader) (n int64, err error) {
	if err = w.begin(); err != nil {
		return 0, err
	}
	return io.Copy(w.Conn, r)
}

func (w *requestWriter) begin() error {
	if !w.begun && isPast(w.deadline) {
		return context.DeadlineExceeded
	}
	w.begun = true
	return nil
}
