package framing

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an end of a connection that passes for that of a response, in each order of what
// reads and writes have got before.
func TestEnding(t *testing.T) {
	type event struct {
		direction direction
		err       error
	}
	read := func(err error) event { return event{received, err} }
	write := func(err error) event { return event{sent, err} }
	// The errors as calls of package net return them.
	reset := &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
	timedOut := &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ETIMEDOUT)}
	unreachable := &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EHOSTUNREACH)}
	broken := &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}
	closed := &net.OpError{Op: "write", Err: net.ErrClosed}
	for name, c := range map[string]struct {
		before []event
		// lost is the error that ended the connection, or nil if its end is orderly.
		lost error
	}{
		"only the end":                      {},
		"octets and upload":                 {before: []event{read(nil), write(nil), read(nil)}},
		"end again":                         {before: []event{read(io.EOF)}},
		"reset read":                        {before: []event{read(reset)}, lost: reset},
		"reset read, end":                   {before: []event{read(reset), read(io.EOF)}, lost: reset},
		"reset written":                     {before: []event{write(reset)}, lost: reset},
		"reset written, octets":             {before: []event{write(reset), read(nil)}, lost: reset},
		"reset written, broken":             {before: []event{write(reset), write(broken)}, lost: reset},
		"reset read, broken":                {before: []event{read(reset), write(broken)}, lost: reset},
		"reset in the second write":         {before: []event{write(nil), write(reset)}, lost: reset},
		"two errors":                        {before: []event{write(timedOut), read(reset)}, lost: timedOut},
		"no acknowledgement":                {before: []event{write(timedOut)}, lost: timedOut},
		"unreachable":                       {before: []event{write(unreachable)}, lost: unreachable},
		"unknown error":                     {before: []event{write(io.ErrClosedPipe)}, lost: io.ErrClosedPipe},
		"write not known":                   {before: []event{read(errUnknownEnd)}, lost: errUnknownEnd},
		"orderly, then reset":               {before: []event{write(broken)}},
		"orderly, then reset, octets":       {before: []event{write(broken), read(nil)}},
		"end, reset written":                {before: []event{read(io.EOF), write(reset)}},
		"end, no acknowledgement":           {before: []event{read(io.EOF), write(timedOut), write(broken)}},
		"deadline of a write":               {before: []event{write(os.ErrDeadlineExceeded)}},
		"deadline of a read":                {before: []event{read(os.ErrDeadlineExceeded)}},
		"deadline of a write, reset":        {before: []event{write(os.ErrDeadlineExceeded), write(reset)}, lost: reset},
		"closed here during a write":        {before: []event{write(closed)}},
		"reset written, closed here":        {before: []event{write(reset), write(closed)}, lost: reset},
		"reset written, deadline of a read": {before: []event{write(reset), read(os.ErrDeadlineExceeded)}, lost: reset},
	} {
		t.Run(name, func(t *testing.T) {
			var e ending
			for _, event := range c.before {
				_ = e.observe(event.direction, event.err)
			}
			for range 2 {
				err := e.observe(received, io.EOF)
				if c.lost == nil {
					must.EqOp(t, io.EOF, err)
					continue
				}
				must.ErrorIs(t, err, c.lost)
				must.False(t, errors.Is(err, io.EOF))
			}
		})
	}
}
