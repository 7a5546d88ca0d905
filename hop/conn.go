package hop

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"hash/maphash"
	"io"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/framing"
)

// conn is a connection of a pool. Requests and answers pass through stream, and Conn closes it.
type conn struct {
	net.Conn
	stream   *framing.Conn
	head     *headReader
	checked  *framing.Reader
	request  *requestWriter
	raw      syscall.RawConn
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
	maxIdle  time.Duration
	// idleTime is how long the connection was idle before the current request.
	// reused is false for the first request of the connection.
	idleTime time.Duration
	reused   bool
	// sent has, by the hashes of their IDs, the requests that were sent on the connection and
	// may be sent again until their deadlines, which are zero if they have none. Those whose
	// deadline has passed are dropped when it reaches dropAt.
	sent   map[uint64]time.Time
	dropAt int
	// limit counts the connection until it is closed, unless it is nil.
	limit  *ConnectionLimit
	closed atomic.Bool
}

// minSentRequests is the number of requests of a connection up to which none are dropped.
const minSentRequests = 8

var idSeed = maphash.MakeSeed()

// hashOfID returns the hash by which a connection remembers a request.
func hashOfID(id string) uint64 { return maphash.String(idSeed, id) }

// hasServed reports whether the request with the ID was sent on the connection before.
func (c *conn) hasServed(id string) bool {
	if id == "" {
		return false
	}
	_, sent := c.sent[hashOfID(id)]
	return sent
}

// recordSent records that the request with the ID is sent on the connection.
func (c *conn) recordSent(ctx context.Context, id string) {
	if id == "" {
		return
	}
	if c.sent == nil {
		c.sent, c.dropAt = make(map[uint64]time.Time), minSentRequests
	}
	if len(c.sent) >= c.dropAt {
		now := time.Now()
		maps.DeleteFunc(c.sent, func(_ uint64, deadline time.Time) bool { return !deadline.IsZero() && now.After(deadline) })
		c.dropAt = max(2*len(c.sent), minSentRequests)
	}
	deadline, _ := ctx.Deadline()
	c.sent[hashOfID(id)] = deadline
}

func (c *conn) write(request *http.Request) (err error) {
	if err = request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// mayHaveAnswer reports whether an answer can be read after the write of the request has failed.
// One may have arrived before the connection was lost, and reads do not wait any more then.
func (c *conn) mayHaveAnswer() bool { return c.request.begun && c.stream.IsOver() }

func (c *conn) read(request *http.Request, matches func(status int, h http.Header) bool) (response *http.Response, err error) {
	for range maxSkippedAnswers {
		c.head.left, c.head.inHead = maxHeadBytes, true
		c.checked.Expect(request.Method)
		response, err = http.ReadResponse(c.reader, request)
		c.head.inHead = false
		if err != nil {
			return nil, cmp.Or(c.checked.Err(), err)
		}
		if containsStatusLine(response) {
			return nil, errSplicedHead
		}
		if response.StatusCode >= http.StatusOK && matches(response.StatusCode, response.Header) {
			return response, nil
		}
		if response.StatusCode >= http.StatusOK {
			if _, err = io.CopyN(io.Discard, response.Body, maxSkippedBodyBytes); !errors.Is(err, io.EOF) {
				return nil, eris.New("the body of an answer to another request is incomplete or too long")
			}
		}
	}
	return nil, eris.New("received only answers to other requests")
}

// expire resets the connection because the context of its request has ended. A process that
// stood still notices the deadline before an answer that arrived in time, so it leaves time to
// read that.
func (c *conn) expire(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if unread, _ := Peek(c.raw); unread {
			time.Sleep(arrivedAnswerTime)
		}
	}
	c.abort()
}

// abort resets the connection, so that bytes in flight are not delivered.
func (c *conn) abort() {
	Reset(c.Conn)
	c.returnDescriptor()
}

// hasUnread reports whether bytes have arrived behind the end of an answer.
func (c *conn) hasUnread() bool { return c.reader.Buffered() > 0 || c.checked.HasUnread() }

// usable reports whether an idle connection is still open and has received no
// unsolicited data.
func (c *conn) usable() bool {
	if c.hasUnread() {
		return false
	}
	unread, open := Peek(c.raw)
	return open && !unread
}
