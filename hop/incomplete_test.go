package hop_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/hop"
)

// Guards against a response without length that looks complete to an HTTP/1.0 client
// although the handler or the server has broken off, and against one that is cut because
// the connection is reset after it.
func TestIncompleteResponses(t *testing.T) {
	const bodyBytes = 8 << 20
	for name, c := range map[string]struct {
		end   func(server *http.Server)
		whole bool
	}{
		"whole":         {end: func(*http.Server) {}, whole: true},
		"aborted":       {end: func(*http.Server) { panic(http.ErrAbortHandler) }},
		"server closed": {end: func(server *http.Server) { server.Close() }},
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+", HTTP/"+version, func(t *testing.T) {
				server := httptest.NewUnstartedServer(nil)
				server.Config.ConnContext = hop.ConnContext
				server.Config.Handler = hop.ResetIncomplete(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write(make([]byte, bodyBytes))
					c.end(server.Config)
				}))
				server.Start()
				defer server.Close()
				conn, err := net.Dial("tcp", server.Listener.Addr().String())
				must.NoError(t, err)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "GET / HTTP/%s\r\nHost: a\r\n\r\n", version)
				must.NoError(t, err)
				// A client that reads slowly still gets a whole response.
				time.Sleep(100 * time.Millisecond)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				must.NoError(t, err)
				defer response.Body.Close()
				n, err := io.Copy(io.Discard, response.Body)
				if !c.whole {
					must.Error(t, err)
					return
				}
				must.NoError(t, err)
				must.EqOp(t, bodyBytes, n)
			})
		}
	}
}
