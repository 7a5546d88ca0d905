package node

import (
	"context"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/standin/malformed"
)

// Guards against a refusal of another node that is malformed or cut behind its header and still
// counts as a statement that the call has not run.
func TestBrokenRefusalIsUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		end     string
		outcome call.Outcome
	}{
		"whole":             {"0\r\n\r\n", call.NotRun},
		"malformed chunk":   {"zz\r\n", call.Unknown},
		"malformed trailer": {"0\r\nX Bad: 1\r\n\r\n", call.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := malformed.Start("127.0.0.1:0", func(r *http.Request) string {
				return "HTTP/1.1 503 Service Unavailable\r\n" + call.HeaderCall + ": " + r.Header.Get(call.HeaderCall) + "\r\n" +
					call.HeaderOutcome + ": notRun\r\n" + call.HeaderReason + ": overloaded\r\n" + malformed.LongChunk + c.end
			})
			must.NoError(t, err)
			defer s.Close()
			sender, _ := testSender("")
			sender.transport = newTransport(0, peerIdleTimeout)
			outgoing := testCall(call.Never, 0, false)
			a := attempt{context: outgoing.context}
			a.upstream.Node, a.upstream.Address, a.context.Call = "n1", s.Address(), call.NewID()
			must.EqOp(t, c.outcome, sender.send(context.Background(), outgoing, a).failure.outcome)
		})
	}
}
