package lacewingslip_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/standin/malformed"
)

// Guards against a malformed response of a node that the client returns as an answer, or as a
// statement that the call has not run.
func TestMalformedResponseIsUnknown(t *testing.T) {
	for outcome, status := range map[string]string{"answered": "200 OK", "notRun": "503 Service Unavailable"} {
		fields := call.HeaderOutcome + ": " + outcome + "\r\n" + call.HeaderReason + ": overloaded\r\n"
		responses := map[string]string{
			"malformed chunk":   "HTTP/1.1 " + status + "\r\n" + fields + malformed.LongChunk + "zz\r\n",
			"malformed trailer": "HTTP/1.1 " + status + "\r\n" + fields + malformed.LongChunk + "0\r\nX Bad: 1\r\n\r\n",
		}
		for name, response := range malformed.All(fields) {
			responses[name] = response.Text
		}
		for name, text := range responses {
			t.Run(outcome+"/"+name, func(t *testing.T) {
				s, err := malformed.Start("127.0.0.1:0", func(*http.Request) string { return text })
				must.NoError(t, err)
				defer s.Close()
				client, err := lacewingslip.New([]string{s.Address()}, lacewingslip.WithAttempts(1))
				must.NoError(t, err)
				defer client.CloseIdleConnections()
				_, err = client.Do(t.Context(), lacewingslip.Request{Method: http.MethodPost, Service: "drawings", Path: "/m1", Repeat: call.IfNotRun})
				var failure *lacewingslip.Error
				must.True(t, errors.As(err, &failure))
				must.EqOp(t, call.Unknown, failure.Outcome())
				must.EqOp(t, call.ReasonLost, failure.Reason())
			})
		}
	}
}
