package mesh

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a crash on the header of another version of this program, or of
// somebody else who reaches the address for nodes.
func FuzzReadHop(f *testing.F) {
	f.Add("1f answered 7 3 0 8 120 25 1 1 -")
	f.Add("1f notRun 7 3 0 8 120 25 1 0 overloaded")
	f.Add("1f answered 7 3")
	f.Fuzz(func(t *testing.T, text string) {
		if end, _, err := readHop(text); err == nil {
			must.NotNil(t, end)
			must.True(t, end.report.known)
		}
	})
}

// See FuzzReadHop.
func FuzzReadRequest(f *testing.F) {
	f.Add("orders catalogue book o 0 10 1500 7 0")
	f.Add("orders%20x catalogue look i 1 0 -5 7 1")
	f.Add("a b c")
	f.Fuzz(func(t *testing.T, text string) {
		r := &http.Request{Method: http.MethodGet, Host: "example", RequestURI: "/x", Header: http.Header{headerHop: {text}}}
		if in, _, err := readRequest(r, time.Now()); err == nil {
			must.Eq(t, "", in.header.Get(headerHop))
		}
	})
}
