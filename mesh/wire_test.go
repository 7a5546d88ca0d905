package mesh

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a crash on a malformed header, which another program version or
// a foreign client that connects to the peer address may send.
func FuzzParseResponseHop(f *testing.F) {
	f.Add("1f answered 7 3 0 8 120 25 1 1 -")
	f.Add("1f notRun 7 3 0 8 120 25 1 0 overloaded")
	f.Add("1f answered 7 3")
	f.Fuzz(func(t *testing.T, value string) {
		if res, _, err := parseResponseHop(value); err == nil {
			must.NotNil(t, res)
			must.True(t, res.report.present)
		}
	})
}

// Guards against the same crash as FuzzParseResponseHop, and against a repeat share that
// would add to the retry budget.
func FuzzReadRequest(f *testing.F) {
	f.Add("orders catalogue book o 0 10 1500 7 0")
	f.Add("orders%20x catalogue look i 1 0 -5 7 1")
	f.Add("orders catalogue look i 1 0 1500 7 -40")
	f.Add("orders catalogue look i 1 0 1500 7 401")
	f.Add("a b c")
	f.Fuzz(func(t *testing.T, value string) {
		r := &http.Request{Method: http.MethodGet, Host: "example", RequestURI: "/x", Header: http.Header{headerHop: {value}}}
		if req, _, err := readRequest(r, time.Now()); err == nil {
			must.Eq(t, "", req.httpRequest(func(http.Header) {}).Header.Get(headerHop))
			must.Between(t, 0, req.repeatShare, 1)
		}
	})
}

// Guards against an exchange for each message of a node that states a version which no
// node takes.
func TestVersionOutOfBoundsIsNotFetched(t *testing.T) {
	e := &exchange{desired: &desiredState{}, fetching: map[string]bool{}}
	e.fetchIfNewer(&peer{node: "other"}, 1<<63-1)
	must.MapEmpty(t, e.fetching)
}
