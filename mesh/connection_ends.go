package mesh

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/lacewingslip/lacewingslip/event"
)

// Values of the attribute that states which side ended a connection.
const (
	closedByNode = "node"
	closedByPeer = "peer"
)

// requestProgress describes how far the latest request of a connection has got.
type requestProgress struct {
	// firstRead is when the first part of the request was read.
	firstRead time.Time
	// id is the ID of the request. started is true once its handler was called, and
	// handled once that has returned.
	id               string
	started, handled bool
	// statusLine is the status line of an answer of net/http itself.
	statusLine string
	// readErr and writeErr are the first errors of the connection.
	readErr, writeErr error
	// unread is true if bytes had arrived unread when the connection was closed.
	unread bool
}

// startHandler records that the handler of a request was called.
func (c *serverConn) startHandler(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.id, c.progress.started = id, true
}

// endHandler records that the handler has returned. The end of the answer may still have
// to be written.
func (c *serverConn) endHandler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.handled = true
}

// recordReadError records why a read has failed. While a handler runs, net/http ends its
// read by a deadline.
func (c *serverConn) recordReadError(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.progress.readErr == nil && (c.idle || !errors.Is(err, os.ErrDeadlineExceeded)) {
		c.progress.readErr = err
	}
}

// recordWrite records why a write has failed, and the status line that net/http sends if a
// request can't be read.
func (c *serverConn) recordWrite(b []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.progress.writeErr == nil {
		c.progress.writeErr = err
	}
	if !c.progress.started && c.progress.statusLine == "" {
		c.progress.statusLine, _, _ = strings.Cut(string(b), "\r\n")
	}
}

// recordUnread records whether bytes have arrived on an idle connection that is closed.
func (c *serverConn) recordUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.unread = c.progress.unread || c.idle && c.hasUnreadData()
}

// recordEnd records the end of a connection if a request had arrived on it, at least in
// part, and has not been answered.
func (s *connections) recordEnd(c *serverConn) {
	c.mu.Lock()
	p, idle, reading, ended := c.progress, c.idle, c.reading, c.ended
	c.mu.Unlock()
	switch {
	case !idle && p.started && p.handled && p.writeErr == nil, idle && !reading && !p.unread:
	case !idle && p.started:
		closedBy, detail := p.cause(c.aborted.Load(), ended)
		s.record(event.AnswerNotSent, attrRequest(p.id), slog.String("closedBy", closedBy), attrDetail(detail), attrMs("sinceMs", time.Since(p.firstRead)))
	default:
		s.record(event.RequestNotRead, attrMs("sinceMs", time.Since(p.firstRead)), slog.Bool("unread", p.unread),
			slog.String("error", errorText(p.readErr)), slog.String("status", p.statusLine))
	}
}

// cause returns which side ended a connection before the answer had been sent, and why.
// aborted and ended are fields of the connection.
func (p requestProgress) cause(aborted, ended bool) (closedBy, detail string) {
	switch {
	case aborted:
		return closedByNode, "the time of a planned stop is over"
	case ended:
		return closedByNode, "the connection expired"
	case p.writeErr != nil && !isDisconnect(p.writeErr):
		return closedByNode, errorText(p.writeErr)
	case p.readErr != nil && isDisconnect(p.readErr):
		return closedByPeer, errorText(p.readErr)
	case p.writeErr != nil:
		return closedByPeer, errorText(p.writeErr)
	default:
		return closedByNode, "the handler ended without a whole answer"
	}
}

// isDisconnect reports whether an error means that the other side has closed or reset the
// connection.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
