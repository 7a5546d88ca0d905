package hop

import (
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/lacewingslip/lacewingslip/internal/socket"
)

// closedEvents are the events of poll(2) after which the other side sends nothing more.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// Peek reports whether bytes have arrived on a connection that were not read yet. open is
// false if the other side has closed the connection. Peek does not wait for a concurrent
// read, and leaves it the error by which the connection has ended.
func Peek(raw syscall.RawConn) (unread, open bool) {
	// Unlike Control, RawConn.Read would wait for a concurrent read.
	if err := raw.Control(func(fd uintptr) {
		hasEvent, err := socket.HasEvent(fd, unix.POLLIN|closedEvents)
		if open = err == nil && !hasEvent; open {
			return
		}
		octets, err := socket.Unread(fd)
		unread = err == nil && octets > 0
		open = unread
	}); err != nil {
		return false, false
	}
	return unread, open
}

// AwaitClose waits until the other side has closed or reset a connection, also behind bytes
// that have not been read. It ends with an error when the read deadline passes.
func AwaitClose(raw syscall.RawConn) (err error) {
	return raw.Read(func(fd uintptr) (closed bool) {
		closed, err := socket.HasEvent(fd, closedEvents)
		return closed && err == nil
	})
}
