package membership

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	standin "github.com/lacewingslip/lacewingslip/internal/standin/malformed"
)

// anyAnswer is an answer to a message whose content does not matter.
type anyAnswer struct{}

func (*anyAnswer) validate() error { return nil }

// Guards against a malformed answer of another node that counts as a sign that the node is alive.
func TestMalformedAnswer(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\n{}"
	for name, head := range map[string]string{
		"sound": "HTTP/1.1 200 OK\r\n", "space in name": "HTTP/1.1 200 OK\r\nX Bad: 1\r\n", "NUL in reason": "HTTP/1.1 200 O\x00K\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, err := standin.Start("127.0.0.1:0", func(*http.Request) string { return head + body })
			must.NoError(t, err)
			defer s.Close()
			err = New(Self{}).post(t.Context(), time.Minute, s.Address(), "/", struct{}{}, &anyAnswer{})
			must.Eq(t, name == "sound", err == nil, must.Sprint(err))
		})
	}
}
