// Package socket asks the kernel for the state of a connection, without taking anything from it
// that its reads and writes would get.
//
// # Usage
//
//	err := raw.Control(func(fd uintptr) {
//		isOver, err := socket.HasEvent(fd, unix.POLLHUP)
//	})
package socket

import "golang.org/x/sys/unix"

// HasEvent reports whether one of the events of poll(2) has occurred on a descriptor. It does not wait.
func HasEvent(fd uintptr, events int16) (occurred bool, err error) {
	descriptors := [1]unix.PollFd{{Fd: int32(fd), Events: events}} //nolint:gosec // Descriptors are below the limit of open files.
	for {
		// A signal of the Go scheduler can interrupt even a call that does not wait.
		if _, err = unix.Poll(descriptors[:], 0); err != unix.EINTR {
			return descriptors[0].Revents&events != 0, err
		}
	}
}

// Unread returns how many octets have arrived that no read has returned.
func Unread(fd uintptr) (octets int, err error) {
	return unix.IoctlGetInt(int(fd), unix.TIOCINQ)
}
