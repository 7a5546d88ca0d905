package node_test

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
	"github.com/lacewingslip/lacewingslip/node"
)

// Guards against invalid requests that run, or are refused with a wrong reason.
func TestBadInputIsNotRun(t *testing.T) {
	orders := backend.New("orders")
	system := startTesfaye(t, loopback.WithUpstream("addis", "addis-a", orders))
	base := "http://" + system.Caller(0)
	future := booking.Issue("orders", "n1", 1, 0).String()
	cases := map[string]struct {
		method, path, header, value, body string
		status                            int
		want                              string
	}{
		"unknown service":            {"GET", "/order/x", "", "", "", 404, "notRun unknownService"},
		"unknown route":              {"PUT", "/orders/book", "", "", "", 404, "notRun unknownRoute"},
		"malformed timeout":          {"GET", "/orders/x", call.HeaderTimeout, "soon", "", 400, "notRun badRequest"},
		"negative timeout":           {"GET", "/orders/x", call.HeaderTimeout, "-1", "", 400, "notRun badRequest"},
		"no time left":               {"GET", "/orders/x", call.HeaderTimeout, "0", "", 504, "notRun tooLate"},
		"booking without key":        {"POST", "/orders/book", "", "", "", 428, "notRun keyRequired"},
		"malformed key":              {"POST", "/orders/book", call.HeaderKey, "k1:orders:", "", 400, "notRun keyMalformed"},
		"key of another service":     {"POST", "/orders/book", call.HeaderKey, booking.Issue("dispatch", "n1", 1, 0).String(), "", 400, "notRun keyMalformed"},
		"key of an unknown node":     {"POST", "/orders/book", call.HeaderKey, booking.Issue("orders", "n9", 1, 0).String(), "", 409, "unknown ownerGone"},
		"key of another incarnation": {"POST", "/orders/book", call.HeaderKey, future, "", 409, "unknown ownerGone"},
		"malformed caller key":       {"POST", "/orders/book", call.HeaderKey, "order 17", "", 400, "notRun keyMalformed"},
		"expired caller key":         {"POST", "/orders/book", call.HeaderKey, "1000-order17", "", 422, "unknown keyExpired"},
		"timeout of a booking":       {"POST", "/orders/book", call.HeaderTimeout, "soon", "", 400, "notRun badRequest"},
		"body over its bound":        {"GET", "/orders/x", "", "", strings.Repeat("x", 2<<20), 413, "notRun tooLarge"},
		"unknown API path":           {"POST", "/lacewingslip/v1/nothing", "", "", "", 404, " "},
		"headers over the bound":     {"GET", "/orders/x", "X-Long", strings.Repeat("x", 64<<10), "", 431, " "},
		"forged internal headers":    {"PUT", "/orders/book", call.HeaderIssuedKey, future, "", 404, "notRun unknownRoute"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), c.method, base+c.path, strings.NewReader(c.body))
			must.NoError(t, err)
			if c.header != "" {
				request.Header.Set(c.header, c.value)
			}
			answer, err := http.DefaultClient.Do(request)
			must.NoError(t, err)
			defer answer.Body.Close()
			must.EqOp(t, c.want, answer.Header.Get(call.HeaderOutcome)+" "+answer.Header.Get(call.HeaderReason))
			must.EqOp(t, c.status, answer.StatusCode)
		})
	}
	must.EqOp(t, 0, orders.TotalCalls())
}

// Guards against running an attempt that another node sent with an invalid context.
func TestBadAttemptIsNotRun(t *testing.T) {
	orders := backend.New("orders")
	system := startTesfaye(t, loopback.WithUpstream("addis", "addis-a", orders))
	good := func() http.Header {
		header := http.Header{}
		call.Context{Request: call.NewID(), Call: call.NewID(), Depth: 1, Timeout: time.Second}.Write(header)
		return header
	}
	cases := map[string]struct{ header, value, want string }{
		"no call ID":              {call.HeaderCall, "", "notRun badRequest"},
		"call ID not hexadecimal": {call.HeaderCall, strings.Repeat("g", 32), "notRun badRequest"},
		"depth 0":                 {call.HeaderDepth, "0", "notRun badRequest"},
		"depth over the bound":    {call.HeaderDepth, "33", "notRun badRequest"},
		"too many tokens":         {call.HeaderTokens, "11", "notRun badRequest"},
		"unknown importance":      {call.HeaderImportance, "huge", "notRun badRequest"},
		"malformed repeated":      {call.HeaderRepeated, "maybe", "notRun badRequest"},
		"malformed key":           {call.HeaderIssuedKey, "k1:", "notRun keyMalformed"},
		"no depth":                {call.HeaderDepth, "", "notRun badRequest"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+system.Upstreams()[0].Node().PeerAddress()+"/orders/x", nil)
			must.NoError(t, err)
			request.Header = good()
			request.Header.Set(c.header, c.value)
			answer, err := http.DefaultClient.Do(request)
			must.NoError(t, err)
			defer answer.Body.Close()
			must.EqOp(t, c.want, answer.Header.Get(call.HeaderOutcome)+" "+answer.Header.Get(call.HeaderReason))
		})
	}
	must.EqOp(t, 0, orders.TotalCalls())
}

// Guards against an invalid node file that is accepted, or rejected with a message
// that does not name the key or line.
func TestNodeFile(t *testing.T) {
	const good = `node: n1
region: addis
availabilityZone: addis-a
listen: {caller: "127.0.0.1:1", backend: "127.0.0.1:2", peer: "127.0.0.1:3", operator: "127.0.0.1:4"}
seeds: ["127.0.0.1:3"]
log: "127.0.0.1:5"
rootPublicKey: 7bQWkm1Az9j8lTLOuMELirIq+78BmiykzERsdmNgYdw=
`
	cases := map[string]struct{ from, to, want string }{
		"good":                  {"", "", ""},
		"unknown key":           {"region:", "regoin:", "line 2: field regoin not found"},
		"no node":               {"node: n1", "", "node: missing"},
		"address":               {"127.0.0.1:5", "logservice", "log: expected host:port"},
		"seed":                  {`["127.0.0.1:3"]`, `["a"]`, "seeds[0]: expected host:port"},
		"key":                   {"7bQWkm1", "", "rootPublicKey: expected"},
		"duration without unit": {"log:", "stopDeadline: 30\nlog:", "stopDeadline: expected a duration"},
		"duration too long":     {"log:", "stopDeadline: 2h\nlog:", "stopDeadline: expected a duration"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := node.ParseFile([]byte(strings.Replace(good, c.from, c.to, 1)))
			if c.want == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against sample node files that are not valid.
func TestSampleNodeFiles(t *testing.T) {
	for _, name := range []string{"tesfaye", "association"} {
		t.Run(name, func(t *testing.T) {
			_, err := node.ReadFile("../examples/nodes/" + name + ".yaml")
			must.NoError(t, err)
		})
	}
}

// Guards against a node that does not name the address it can't listen on because
// another process uses it.
func TestAddressTaken(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer taken.Close()
	file, err := node.ParseFile([]byte(strings.ReplaceAll(`node: n1
region: addis
availabilityZone: addis-a
listen: {caller: "127.0.0.1:0", backend: ADDRESS, peer: "127.0.0.1:0", operator: "127.0.0.1:0"}
log: "127.0.0.1:5"
rootPublicKey: 7bQWkm1Az9j8lTLOuMELirIq+78BmiykzERsdmNgYdw=
`, "ADDRESS", strconv.Quote(taken.Addr().String()))))
	must.NoError(t, err)
	_, err = node.New(file)
	must.ErrorContains(t, err, taken.Addr().String())
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte("node: n1\nlisten: {caller: a}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if file, err := node.ParseFile(text); err == nil {
			must.NotEq(t, "", file.Node())
		}
	})
}
