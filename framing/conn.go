package framing

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/lacewingslip/lacewingslip/internal/socket"
)

// errUnknownEnd is observed in place of io.EOF if a write is in progress that may have taken the
// error of the connection.
var errUnknownEnd = errors.New("the connection has ended during a write")

// Conn is a connection whose reads return io.EOF only if the other side has closed its sending
// side in order, and not if an earlier call has got the error that ended the connection.
type Conn struct {
	net.Conn
	// raw is nil if the connection has no descriptor.
	raw syscall.RawConn
	// writing is held until the error of a write has been observed.
	writing sync.Mutex

	mu     sync.Mutex
	ending ending
}

// NewConn returns a connection on which nothing has been read or written yet.
func NewConn(c net.Conn) *Conn {
	checked := &Conn{Conn: c}
	if socketConn, ok := c.(syscall.Conn); ok {
		// An error means that this process has closed the connection.
		checked.raw, _ = socketConn.SyscallConn()
	}
	return checked
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && !c.awaitErrorOfWrite() {
		err = errUnknownEnd
	}
	return n, c.observe(received, err)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if n, err = c.Conn.Write(b); err == nil {
		return n, nil
	}
	return n, c.observe(sent, err)
}

func (c *Conn) observe(d direction, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending.observe(d, err)
}

// awaitErrorOfWrite must be called when a read has returned io.EOF. It waits until the error has
// been observed that a write may have got before. ok is false if that can't be known.
func (c *Conn) awaitErrorOfWrite() (ok bool) {
	switch c.state() {
	case stateOpen:
		// No call has got an error, and a write may wait for the other side for long.
		return true
	case stateOver:
		// A write in progress returns at once.
		c.writing.Lock()
	default:
		if !c.writing.TryLock() {
			return false
		}
	}
	c.writing.Unlock()
	return true
}

// IsOver reports whether both directions of the connection have ended, so that reads and writes
// do not wait any more. It is false if that can't be determined.
func (c *Conn) IsOver() bool { return c.state() == stateOver }

// connState is the state of a connection in the kernel.
type connState uint8

const (
	// stateUnknown: the connection has no descriptor, or this process has closed it.
	stateUnknown connState = iota
	// stateOpen: at least one direction is open.
	stateOpen
	// stateOver: both directions have ended.
	stateOver
)

func (c *Conn) state() (state connState) {
	if c.raw == nil {
		return stateUnknown
	}
	// An error means that this process has closed the connection, so that the state stays unknown.
	_ = c.raw.Control(func(fd uintptr) {
		isOver, err := socket.HasEvent(fd, unix.POLLHUP)
		switch {
		case err != nil:
		case isOver:
			state = stateOver
		default:
			state = stateOpen
		}
	})
	return state
}
