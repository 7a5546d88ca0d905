package hop

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// heldContext is a context whose timer has not run yet, although its deadline may have passed.
type heldContext struct {
	context.Context
	deadline time.Time
}

func (c heldContext) Deadline() (deadline time.Time, ok bool) { return c.deadline, true }

// Guards against sending a request after its deadline in a process that stood still: goroutines
// may run before the timer of the deadline, whose request is then lost and may have run.
func TestRequestIsNotSentBeforeTimerOfDeadline(t *testing.T) {
	const timeLeft = 50 * time.Millisecond
	for name, passes := range map[string]func(ctx heldContext, p *Pool){
		"before the connection is used": func(ctx heldContext, _ *Pool) { time.Sleep(time.Until(ctx.deadline)) },
		"before the first byte": func(ctx heldContext, p *Pool) {
			p.idle[0].writer.Reset(slowWriter{p.idle[0], ctx})
		},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
			defer s.Close()
			p := New(s.Listener.Addr().String())
			send := func(ctx context.Context, id string) (err error) {
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://example/x", http.NoBody)
				must.NoError(t, err)
				answer, err := p.Do(ctx, request, id, func(int, http.Header) bool { return true })
				if err != nil {
					return err
				}
				defer answer.Close()
				_, _, err = answer.ReadAll(1 << 10)
				return err
			}
			must.NoError(t, send(t.Context(), "first"))
			ctx := heldContext{Context: t.Context(), deadline: time.Now().Add(timeLeft)}
			passes(ctx, p)
			err := send(ctx, "late")
			must.ErrorIs(t, err, context.DeadlineExceeded)
			must.False(t, MayHaveRun(err))
			must.EqOp(t, 1, runs.Load())
		})
	}
}

// slowWriter passes bytes on once the deadline of the context has passed.
type slowWriter struct {
	conn *conn
	ctx  heldContext
}

func (w slowWriter) Write(b []byte) (n int, err error) {
	time.Sleep(time.Until(w.ctx.deadline))
	return w.conn.request.Write(b)
}
