package hop_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/internal/standin/malformed"
)

// malformedWait is far longer than the time in which a malformed answer is noticed, and ends a
// request for which it is not.
const malformedWait = 10 * time.Second

// Guards against an answer that is no valid response and is passed on, taken for an answer to
// another request or for an informational one, read as a body that the receiver did not send, or
// waited for until the deadline although its beginning shows that it is none. Its connection must
// not be used again.
func TestMalformedAnswers(t *testing.T) {
	const fields = "X-Request-Id: a\r\nX-Server-Signature: signed\r\n"
	for name, response := range malformed.All(fields) {
		for part, text := range map[string]string{"whole": response.Text, "up to the breach": response.UpToBreach()} {
			t.Run(name+"/"+part, func(t *testing.T) {
				t.Parallel()
				s, err := malformed.Start("127.0.0.1:0", func(r *http.Request) string {
					if r.Header.Get(idHeader) == "a" {
						return text
					}
					return success(r.Header.Get(idHeader))
				})
				must.NoError(t, err)
				defer s.Close()
				pool := hop.New(s.Address())
				ctx, cancel := context.WithTimeout(t.Context(), malformedWait)
				defer cancel()
				body, err := send(ctx, pool, http.MethodPost, "a")
				must.Error(t, err, must.Sprintf("body %q", body))
				must.NoError(t, ctx.Err())
				must.True(t, hop.MayHaveRun(err))
				body, err = send(t.Context(), pool, http.MethodPost, "b")
				must.NoError(t, err)
				must.Eq(t, malformed.Body, body)
				must.Eq(t, 2, s.Connections())
			})
		}
	}
}

// Guards against a malformed answer on a reused connection that counts as a connection that the
// receiver had dropped: others would be used only for a short time for 30 s.
func TestMalformedAnswerIsNoStaleConnection(t *testing.T) {
	s, err := malformed.Start("127.0.0.1:0", func(r *http.Request) string {
		if r.Header.Get(idHeader) == "b" {
			return "HTTP/1.1 000 OK\r\n\r\n"
		}
		return success(r.Header.Get(idHeader))
	})
	must.NoError(t, err)
	defer s.Close()
	pool := hop.New(s.Address())
	for _, id := range []string{"a", "b", "c", "d"} {
		_, err = send(t.Context(), pool, http.MethodPost, id)
		must.Eq(t, id == "b", err != nil)
		time.Sleep(100 * time.Millisecond)
	}
	must.Eq(t, 2, s.Connections())
}
