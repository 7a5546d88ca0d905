package appendlog_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/malformed"
)

// Guards against a malformed response of the log service that confirms an append.
func TestMalformedResponse(t *testing.T) {
	const body = `{"offset":7}`
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	for name, c := range map[string]struct {
		head  string
		sound bool
	}{
		"sound":            {"HTTP/1.1 200 OK\r\n" + length, true},
		"space in name":    {"HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + length, false},
		"NUL in reason":    {"HTTP/1.1 200 O\x00K\r\n" + length, false},
		"version 2":        {"HTTP/2.0 200 OK\r\n" + length, false},
		"status 000 first": {"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + length, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := malformed.Start("127.0.0.1:0", func(*http.Request) string { return c.head + "\r\n" + body })
			must.NoError(t, err)
			defer s.Close()
			offset, err := appendlog.New(s.Address()).Append(t.Context(), "s", []byte("a"))
			if !c.sound {
				must.Error(t, err)
				return
			}
			must.NoError(t, err)
			must.EqOp(t, 7, offset)
		})
	}
}
