package hop

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek reports whether bytes have arrived on a connection that were not read yet. open is
// false if the other side has closed the connection. Peek does not wait for a concurrent
// read.
func Peek(raw syscall.RawConn) (unread, open bool) {
	// Unlike Control, RawConn.Read would wait for a concurrent read.
	if err := raw.Control(func(fd uintptr) {
		// Recvfrom allocates the address of the sender, and nearly always there is nothing.
		events := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}} //nolint:gosec // Descriptors are below the limit of open files.
		if n, err := unix.Poll(events[:], 0); err == nil && n == 0 {
			open = true
			return
		}
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
		open = unread || errors.Is(err, unix.EAGAIN)
	}); err != nil {
		return false, false
	}
	return unread, open
}

// AwaitClose waits until the other side has closed or reset a connection, also behind bytes
// that have not been read. It ends with an error when the read deadline passes.
func AwaitClose(raw syscall.RawConn) (err error) {
	return raw.Read(func(fd uintptr) (closed bool) {
		events := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // Descriptors are below the limit of open files.
		for {
			n, err := unix.Poll(events[:], 0)
			if err != unix.EINTR {
				return n > 0
			}
		}
	})
}
