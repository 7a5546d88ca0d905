package mesh

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/hop"
)

// Guards against marking a node as unreachable because the deadline of a request passed before
// the request was sent to it.
func TestRequestAfterItsDeadlineIsTooLate(t *testing.T) {
	// Nothing listens on the port.
	pool := hop.New("127.0.0.1:1")
	for name, c := range map[string]struct {
		timeLeft time.Duration
		reason   call.Reason
	}{
		"deadline passed": {timeLeft: 0, reason: call.ReasonTooLate},
		"time is left":    {timeLeft: time.Minute, reason: call.ReasonUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.timeLeft)
			defer cancel()
			req := &request{method: "POST", target: "/x", host: "example", header: http.Header{}}
			_, err := pool.Do(ctx, req.httpRequest(func(http.Header) {}), "a", nil)
			res := resultOfError(ctx, err)
			must.EqOp(t, call.NotRun, res.outcome)
			must.EqOp(t, c.reason, res.reason)
		})
	}
}
