package node_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
	"github.com/lacewingslip/lacewingslip/settings"
)

func startTesfaye(t *testing.T, opts ...loopback.Option) *loopback.System {
	t.Helper()
	root, branches, err := settings.ReadDirectory("../examples/tesfaye")
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	system, err := loopback.Start(ctx, append(opts, loopback.WithTree(root, branches...))...)
	must.NoError(t, err)
	t.Cleanup(func() { system.Stop(context.Background()) })
	return system
}

type callAnswer struct {
	status int
	header http.Header
	text   string
}

func send(t *testing.T, method, url, key, body string) (a callAnswer) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	must.NoError(t, err)
	if key != "" {
		request.Header.Set(call.HeaderKey, key)
	}
	request.Header.Set(backend.HeaderBooking, body)
	answer, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	return callAnswer{answer.StatusCode, answer.Header, string(text)}
}

// Guards against a call whose child call does not reach its backend server through
// both nodes, and against an incomplete or changed answer.
func TestCallWithChildCall(t *testing.T) {
	catalogue := backend.New("catalogue", backend.WithChildren(backend.Child{Method: http.MethodGet, Service: "drawings", Path: "/m1"}))
	drawings := backend.New("drawings", backend.WithAnswerBytes(100_000))
	system := startTesfaye(t,
		loopback.WithUpstream("addis", "addis-a", backend.New("orders")),
		loopback.WithUpstream("addis", "addis-b", catalogue),
		loopback.WithUpstream("addis", "addis-a", drawings),
	)
	answer := send(t, http.MethodGet, "http://"+system.Caller(0)+"/catalogue/moulds?size=30", "", "")
	must.EqOp(t, http.StatusOK, answer.status, must.Sprint(answer.text))
	must.EqOp(t, "answered", answer.header.Get(call.HeaderOutcome))
	must.EqOp(t, "catalogue GET /catalogue/moulds?size=30 \n", answer.text)
	must.EqOp(t, 1, drawings.TotalCalls())
}

// Guards against a booking that runs again when it is repeated with its key through
// another node, and against a repeat that gets another answer than the first.
func TestBookingRepeated(t *testing.T) {
	orders := backend.New("orders")
	system := startTesfaye(t,
		loopback.WithUpstream("addis", "addis-a", orders),
		loopback.WithUpstream("addis", "addis-b", backend.New("catalogue")),
	)
	url := "http://" + system.Caller(1) + "/orders/book"
	answer := send(t, http.MethodPost, url, "", "trays")
	must.EqOp(t, http.StatusPreconditionRequired, answer.status)
	must.EqOp(t, "notRun", answer.header.Get(call.HeaderOutcome))
	key := answer.header.Get(call.HeaderNextKey)

	first := send(t, http.MethodPost, url, key, "trays")
	must.EqOp(t, http.StatusOK, first.status, must.Sprint(first.text))
	second := send(t, http.MethodPost, "http://"+system.Caller(0)+"/orders/book", key, "trays")
	must.EqOp(t, "answered", second.header.Get(call.HeaderOutcome))
	must.EqOp(t, first.text, second.text)
	must.Eq(t, map[string]int{"trays": 1}, orders.Runs())
}
