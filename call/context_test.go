package call_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
)

// Guards against a context that parses to other values than were written. Such a
// context must be rejected, because a node must never act on a context that its
// sender did not mean.
func FuzzParseContext(f *testing.F) {
	f.Add("00112233445566778899aabbccddeeff", "00112233445566778899aabbccddeeff", "1", "critical", "3", "2000", "")
	f.Add("00112233445566778899aabbccddeeff", "00112233445566778899aabbccddeeff", "26", "low", "0", "0", "true")
	f.Add("", "x", "-1", "9", "1e3", "+5", "yes")
	f.Fuzz(func(t *testing.T, request, id, depth, importance, tokens, timeout, repeated string) {
		header := http.Header{
			call.HeaderRequest: {request}, call.HeaderCall: {id}, call.HeaderDepth: {depth},
			call.HeaderImportance: {importance}, call.HeaderTokens: {tokens}, call.HeaderTimeout: {timeout},
		}
		if repeated != "" {
			header.Set(call.HeaderRepeated, repeated)
		}
		parsed, err := call.ParseContext(header)
		if err != nil {
			return
		}
		written := http.Header{}
		parsed.Write(written)
		again, err := call.ParseContext(written)
		must.NoError(t, err)
		must.Eq(t, parsed, again)
	})
}

// Guards against a timeout that is rounded up: the receiver would assume more
// time than the sender has left.
func TestTimeoutRoundsDown(t *testing.T) {
	cases := map[string]struct {
		remaining time.Duration
		want      string
	}{
		"whole":    {2 * time.Second, "2000"},
		"part":     {1999 * time.Microsecond, "1"},
		"negative": {-time.Second, "0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { must.EqOp(t, c.want, call.FormatTimeout(c.remaining)) })
	}
}
