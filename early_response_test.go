package lacewingslip_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/standin/early"
)

// longBodyBytes is the length of a body that is still being written when the response arrives.
const longBodyBytes = 8 << 20

// Guards against a refusal that is cut by a reset during the upload and still counts as a promise
// that the call has not run, and against an answer without a length that counts at all.
func TestResponseDuringUpload(t *testing.T) {
	for _, outcome := range []call.Outcome{call.Answered, call.NotRun} {
		for name, c := range early.Cases(call.HeaderOutcome + ": " + outcome.String() + "\r\n") {
			if c.Status != http.StatusInternalServerError {
				continue
			}
			t.Run(outcome.String()+"/"+name, func(t *testing.T) {
				s, err := early.Start("127.0.0.1:0", "", func(*http.Request) early.Answer { return c.Answer })
				must.NoError(t, err)
				defer s.Close()
				transport := &http.Transport{}
				if c.End != early.HalfClose {
					transport.DialContext = early.DialWriteFirst
				}
				client, err := lacewingslip.New([]string{s.Address()}, lacewingslip.WithAttempts(1), lacewingslip.WithTransport(transport))
				must.NoError(t, err)
				defer client.CloseIdleConnections()
				answer, err := client.Do(t.Context(), lacewingslip.Request{
					Method: http.MethodPost, Service: "drawings", Path: "/m1", Repeat: call.IfNotRun, Body: make([]byte, longBodyBytes),
				})
				if c.IsWhole && c.StatesLength && outcome == call.Answered {
					must.NoError(t, c.Check(answer.Status, string(answer.Body), err))
					return
				}
				var failure *lacewingslip.Error
				must.True(t, errors.As(err, &failure))
				if c.IsWhole && outcome == call.NotRun {
					must.EqOp(t, call.NotRun, failure.Outcome())
					return
				}
				must.EqOp(t, call.Unknown, failure.Outcome())
				must.EqOp(t, call.ReasonLost, failure.Reason())
			})
		}
	}
}
