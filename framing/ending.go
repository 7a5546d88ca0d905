package framing

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// direction is that in which a call on a connection moves octets.
type direction uint8

const (
	received direction = iota
	sent
)

// ending decides whether the end of a connection is that of the octets that the other side has
// sent. Only then is a response whole that states no length (RFC 9112, section 8). All others are
// whole once their last octet has been read, whatever happens to the connection.
//
// A kernel reports the error that ends a connection to one call only, of either direction. What
// later calls get is the same as behind an orderly close: reads io.EOF, and writes EPIPE. An
// orderly close that has arrived stays valid if the connection is reset behind it: the first
// write then gets EPIPE too.
//
// Its zero value is a connection without an end.
type ending struct {
	// isOrderly is true once a read has returned a valid io.EOF.
	isOrderly bool
	// lost is the error that has ended the connection, or nil.
	lost error
}

// observe takes the error of a call, or nil. Calls are observed in the order in which they got
// their errors. It returns what the call should return: reads get io.EOF only at an orderly end.
func (e *ending) observe(d direction, err error) error {
	switch {
	case err == nil || isLocal(err):
	case d == received && errors.Is(err, io.EOF):
		if e.lost != nil {
			return fmt.Errorf("the connection was lost before the response ended: %w", e.lost)
		}
		e.isOrderly = true
	case d == sent && errors.Is(err, syscall.EPIPE):
		// The error that would make the end invalid has been observed before.
	case !e.isOrderly && e.lost == nil:
		e.lost = err
	}
	return err
}

// isLocal reports whether an error comes from this process, so that it tells nothing of the
// connection.
func isLocal(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}
