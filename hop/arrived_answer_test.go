package hop_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/hop"
)

// Guards against reporting a request as lost although its answer has arrived in time, because
// the process stood still and notices the deadline first.
func TestArrivedAnswerIsReadAfterDeadline(t *testing.T) {
	for name, arrives := range map[string]bool{"arrived": true, "not arrived": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer listener.Close()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err = http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				for _, id := range []string{"other", "a"} {
					if id == "a" && !arrives {
						break
					}
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", idHeader, id)
					// The answers are read one by one.
					time.Sleep(20 * time.Millisecond)
				}
				_, _ = io.Copy(io.Discard, c)
			}()
			pool := hop.New(listener.Addr().String())
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://example/x", http.NoBody)
			must.NoError(t, err)
			answer, err := pool.Do(ctx, request, "a", func(_ int, h http.Header) bool {
				if h.Get(idHeader) == "a" {
					return true
				}
				<-ctx.Done()
				time.Sleep(20 * time.Millisecond)
				return false
			})
			if !arrives {
				must.ErrorIs(t, err, context.DeadlineExceeded)
				must.True(t, hop.MayHaveRun(err))
				return
			}
			must.NoError(t, err)
			defer answer.Close()
			body, complete, err := answer.ReadAll(100)
			must.NoError(t, err)
			must.True(t, complete)
			must.EqOp(t, "ok", string(body))
		})
	}
}

// Guards against reporting that a request may have run although its deadline passed before it
// was sent, because the process stood still.
func TestRequestAfterItsDeadlineIsNotSent(t *testing.T) {
	s, pool := startServer(t)
	_, err := send(t.Context(), pool, http.MethodPost, "a")
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	_, err = send(ctx, pool, http.MethodPost, "b")
	must.ErrorIs(t, err, context.DeadlineExceeded)
	must.False(t, hop.MayHaveRun(err))
	must.EqOp(t, 0, s.Runs("b"))
}
