package mesh

import (
	"io"
	"net"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against closing a connection with a request that arrived while the process stood
// still, because a time limit of net/http passed meanwhile.
func TestRequestThatArrivedBeforeLateDeadlineIsRead(t *testing.T) {
	for name, c := range map[string]struct {
		arrived string
		repeat  bool
		want    string
	}{
		"request arrived": {arrived: numberedRequest, want: numberedRequest},
		"nothing arrived": {},
		// A client that sends a few bytes at a time must not hold a connection.
		"only once for a request": {arrived: numberedRequest, repeat: true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer listener.Close()
			client, err := net.Dial("tcp", listener.Addr().String())
			must.NoError(t, err)
			defer client.Close()
			accepted, err := serverListener{listener}.Accept()
			must.NoError(t, err)
			defer accepted.Close()
			conn := accepted.(*serverConn)
			buffer := make([]byte, len(numberedRequest))
			if c.repeat {
				_, err = io.WriteString(client, "P")
				must.NoError(t, err)
				eventually(t, conn.hasUnreadData)
				must.NoError(t, conn.SetReadDeadline(longPast))
				n, err := conn.Read(buffer)
				must.NoError(t, err)
				must.Eq(t, 1, n)
			}
			_, err = io.WriteString(client, c.arrived)
			must.NoError(t, err)
			if c.arrived != "" {
				eventually(t, conn.hasUnreadData)
			}
			must.NoError(t, conn.SetReadDeadline(longPast))
			n, err := conn.Read(buffer)
			must.Eq(t, c.want, string(buffer[:n]))
			if c.want == "" {
				must.ErrorIs(t, err, os.ErrDeadlineExceeded)
			}
		})
	}
}
