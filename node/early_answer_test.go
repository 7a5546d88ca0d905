package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/framing"
	"github.com/lacewingslip/lacewingslip/internal/standin/early"
	"github.com/lacewingslip/lacewingslip/routing"
)

// longBodyBytes is the length of a body that is still being written when the answer arrives.
const longBodyBytes = 8 << 20

// Guards against a refusal of another node that is cut by a reset during the upload and still
// counts as a promise that the call has not run, and against an answer without a length that
// counts at all.
func TestEarlyAnswerOfNode(t *testing.T) {
	for _, outcome := range []call.Outcome{call.Answered, call.NotRun} {
		for name := range early.Cases("") {
			t.Run(outcome.String()+"/"+name, func(t *testing.T) {
				c := early.Cases("")[name]
				s, err := early.Start("127.0.0.1:0", "", func(r *http.Request) early.Answer {
					fields := call.HeaderCall + ": " + r.Header.Get(call.HeaderCall) + "\r\n" + call.HeaderOutcome + ": " + outcome.String() + "\r\n"
					return early.Cases(fields)[name].Answer
				})
				must.NoError(t, err)
				defer s.Close()
				options := &http.Transport{}
				if c.End != early.HalfClose {
					options.DialContext = early.DialWriteFirst
				}
				sender, _ := testSender("")
				transport := framing.NewTransport(options)
				defer transport.CloseIdleConnections()
				sender.transport = transport
				sent := testCall(call.IfNotRun, 1, false)
				sent.body = make([]byte, longBodyBytes)
				attempt := attempt{upstream: routing.Upstream{Node: "n0", Address: s.Address()}, context: sent.context}
				attempt.context.Timeout = time.Minute
				result := sender.send(t.Context(), sent, attempt)
				switch {
				case outcome == call.Answered && c.StatesLength:
					// The body is read when it is passed on.
					must.Nil(t, result.failure)
					must.NoError(t, result.answer.Body.Close())
				case outcome == call.NotRun && c.IsWhole:
					must.EqOp(t, call.NotRun, result.failure.outcome)
				default:
					must.EqOp(t, call.Unknown, result.failure.outcome)
					must.EqOp(t, call.ReasonLost, result.failure.reason)
				}
			})
		}
	}
}
