package framing_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/framing"
	"github.com/lacewingslip/lacewingslip/internal/standin/early"
)

// Guards against a part of a response that passes for a whole one in the time between the failure
// of a write and the end of the connection, which net/http closes then.
func TestResponseDuringUpload(t *testing.T) {
	for name, c := range early.Cases("") {
		for uploadFraming, hasLength := range map[string]bool{"length": true, "chunks": false} {
			for _, first := range []string{"read", "write"} {
				t.Run(fmt.Sprintf("%s/%s, %s first", name, uploadFraming, first), func(t *testing.T) {
					upload := early.NewUpload(64<<10, early.Endless)
					s, err := early.Start("127.0.0.1:0", "", func(*http.Request) early.Answer {
						<-upload.Waiting()
						return c.Answer
					})
					must.NoError(t, err)
					defer s.Close()
					options := &http.Transport{}
					if first == "write" && c.End != early.HalfClose {
						options.DialContext = early.DialWriteFirst
					}
					transport := framing.NewTransport(options)
					defer transport.CloseIdleConnections()
					request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address(), upload)
					must.NoError(t, err)
					request.ContentLength = -1
					if hasLength {
						request.ContentLength = upload.Length()
					}
					response, err := transport.RoundTrip(request)
					must.NoError(t, err)
					defer response.Body.Close()
					s.AwaitEnd()
					if first == "write" {
						upload.Release(nil)
					}
					body, err := io.ReadAll(response.Body)
					must.NoError(t, c.Check(response.StatusCode, string(body), err))
					if first == "read" {
						upload.Release(nil)
					}
				})
			}
		}
	}
}

// blockedWriter is a connection of an unknown kind whose other side has closed it. Writes wait
// until they are released.
type blockedWriter struct {
	net.Conn
	writing, released chan struct{}
}

func (*blockedWriter) Read([]byte) (n int, err error) { return 0, io.EOF }

func (w *blockedWriter) Write(b []byte) (n int, err error) {
	close(w.writing)
	<-w.released
	return len(b), nil
}

// Guards against a part of a response that passes for a whole one on a connection whose state can't
// be asked for, and against a read that waits for a write without end.
func TestEndOfUnknownConnection(t *testing.T) {
	for name, isWriting := range map[string]bool{"idle": false, "during a write": true} {
		t.Run(name, func(t *testing.T) {
			w := &blockedWriter{writing: make(chan struct{}), released: make(chan struct{})}
			defer close(w.released)
			conn := framing.NewConn(w)
			if isWriting {
				// The write succeeds in the end.
				go func() { _, _ = conn.Write([]byte("upload")) }()
				<-w.writing
			}
			for range 2 {
				_, err := conn.Read(make([]byte, 1))
				must.Error(t, err)
				must.Eq(t, !isWriting, errors.Is(err, io.EOF))
			}
		})
	}
}
