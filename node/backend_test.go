package node

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an invalid announcement that is accepted, or rejected with a
// message that does not name the error. Calls would be sent to an invalid address, or other
// nodes would reject all messages of this one.
func TestReadAnnouncement(t *testing.T) {
	cases := map[string]struct{ body, want string }{
		"good":           {`{"service":"orders","address":"127.0.0.1:1","slots":1}`, ""},
		"truncated":      {`{"service":"ord`, "unexpected EOF"},
		"misspelt key":   {`{"servcie":"orders"}`, `unknown field "servcie"`},
		"no service":     {`{"address":"127.0.0.1:1"}`, "service is missing"},
		"no port":        {`{"service":"orders","address":"127.0.0.1"}`, "is not host:port"},
		"negative slots": {`{"service":"orders","address":"127.0.0.1:1","slots":-1}`, "must not be negative"},
		"wrong type":     {`{"service":1}`, "cannot unmarshal number"},
		"too many slots": {`{"service":"orders","address":"127.0.0.1:1","slots":1048577}`, "slots is 1048577"},
		"bad service":    {`{"service":"or ders","address":"127.0.0.1:1"}`, "service is"},
		"port too large": {`{"service":"orders","address":"127.0.0.1:99999"}`, "is not host:port"},
		"nested":         {`{"service":` + strings.Repeat("[", 11_000), "exceeded max depth"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := readAnnouncement(strings.NewReader(c.body))
			if c.want == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorContains(t, err, c.want)
		})
	}
}

func FuzzReadAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service":"orders","address":"127.0.0.1:1","slots":1,"connections":2,"instance":"a"}`))
	f.Add([]byte(`{"service":{}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if a, err := readAnnouncement(bytes.NewReader(body)); err == nil {
			must.NoError(t, a.check())
		}
	})
}
