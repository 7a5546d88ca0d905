package framing

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// direction tells the reads of a connection from its writes.
type direction uint8

const (
	received direction = iota
	sent
)

// ending decides whether io.EOF means that the other side has closed the connection in order. Only
// then is a response whole that states no length (RFC 9112, section 8). All others are whole once
// their last octet has been read, whatever happens to the connection.
//
// The kernel reports the error that ends a connection to one call only, a read or a write. Later
// calls get the same as after an orderly close: reads io.EOF, and writes EPIPE. An orderly close
// that has arrived stays valid if a reset follows it: the first write then gets EPIPE.
//
// The zero value is a connection of which no error has been observed.
type ending struct {
	// isOrderly is true once a read has returned a valid io.EOF.
	isOrderly bool
	// lost is the error that has ended the connection, or nil.
	lost error
}

// observe records the error of a read or write, or nil, and returns the error that it should
// return: a read gets io.EOF only at an orderly end. A read that got io.EOF is observed after the
// write that got the error of the connection.
func (e *ending) observe(d direction, err error) error {
	switch {
	case err == nil || isLocal(err):
	case d == received && errors.Is(err, io.EOF):
		if e.lost != nil {
			return fmt.Errorf("the connection was lost before the response ended: %w", e.lost)
		}
		e.isOrderly = true
	case d == sent && errors.Is(err, syscall.EPIPE):
		// Either the other side has closed in order, or a call observed before got the error.
	case !e.isOrderly && e.lost == nil:
		e.lost = err
	}
	return err
}

// isLocal reports whether an error was caused by this process, and not by the connection.
func isLocal(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}
