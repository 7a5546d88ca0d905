package settings

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/malformed"
)

// Guards against the offset of another node that is taken from a malformed response: a follower
// would ask that node for records that it does not have.
func TestMalformedResponseOfNode(t *testing.T) {
	const body = "Content-Length: 10\r\n\r\n{\"next\":3}"
	for name, head := range map[string]string{
		"sound": "HTTP/1.1 200 OK\r\n", "space in name": "HTTP/1.1 200 OK\r\nX Bad: 1\r\n", "NUL in reason": "HTTP/1.1 200 O\x00K\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, err := malformed.Start("127.0.0.1:0", func(*http.Request) string { return head + body })
			must.NoError(t, err)
			defer s.Close()
			f := NewFollower(nil, NewHistory(publicKey(rootPrivateKey)))
			next, err := FetchOffset(t.Context(), f.client, s.Address())
			if name != "sound" {
				must.Error(t, err)
				return
			}
			must.NoError(t, err)
			must.EqOp(t, 3, next)
		})
	}
}
