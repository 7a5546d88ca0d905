package hop_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/lacewingslip/lacewingslip/hop"
)

// Guards against a look at a connection that takes the error by which the connection has ended, so
// that the next read sees an orderly end.
func TestPeekLeavesErrorToRead(t *testing.T) {
	closeInOrder := func(c net.Conn) { c.Close() }
	for name, c := range map[string]struct {
		part         string
		end          func(c net.Conn)
		unread, open bool
		// readErr is the error of the read after the part.
		readErr error
	}{
		"open":         {open: true},
		"part":         {part: "part", unread: true, open: true},
		"closed":       {end: closeInOrder, readErr: io.EOF},
		"part, closed": {part: "part", end: closeInOrder, unread: true, open: true, readErr: io.EOF},
		"reset":        {end: hop.Reset, readErr: syscall.ECONNRESET},
		"part, reset":  {part: "part", end: hop.Reset, unread: true, open: true, readErr: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer listener.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			must.NoError(t, err)
			defer conn.Close()
			other, err := listener.Accept()
			must.NoError(t, err)
			defer other.Close()
			raw, err := conn.(*net.TCPConn).SyscallConn()
			must.NoError(t, err)
			_, err = io.WriteString(other, c.part)
			must.NoError(t, err)
			if c.end != nil {
				c.end(other)
				must.NoError(t, hop.AwaitClose(raw))
			}
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
				unread, open := hop.Peek(raw)
				return unread == c.unread && open == c.open
			})))
			_, err = io.ReadFull(conn, make([]byte, len(c.part)))
			must.NoError(t, err)
			if c.end == nil {
				return
			}
			_, open := hop.Peek(raw)
			must.False(t, open)
			_, err = conn.Read(make([]byte, 1))
			must.ErrorIs(t, err, c.readErr)
		})
	}
}
