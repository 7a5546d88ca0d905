package lacewingslip_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip"
	"github.com/lacewingslip/lacewingslip/call"
)

// step writes the response of the fake node to one attempt.
type step func(http.ResponseWriter)

func refuse(outcome call.Outcome, reason call.Reason) step {
	return func(w http.ResponseWriter) {
		w.Header().Set(call.HeaderOutcome, outcome.String())
		w.Header().Set(call.HeaderReason, string(reason))
		w.WriteHeader(call.HTTPStatus(outcome, reason))
		_, _ = io.WriteString(w, `{"message":"as scripted","requestId":"r1"}`)
	}
}

func answer(status int) step {
	return func(w http.ResponseWriter) {
		w.Header().Set(call.HeaderOutcome, call.Answered.String())
		w.Header().Set(call.HeaderRetries, "2")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "done")
	}
}

// truncated writes an answer that is shorter than its Content-Length.
func truncated(w http.ResponseWriter) {
	w.Header().Set(call.HeaderOutcome, call.Answered.String())
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "do")
}

func unframed(w http.ResponseWriter) {
	hijack(w, "HTTP/1.0 200 OK\r\nLacewingslip-Outcome: answered\r\n\r\ndone")
}
func resetConnection(w http.ResponseWriter) { hijack(w, "") }
func noOutcome(w http.ResponseWriter)       { w.WriteHeader(http.StatusServiceUnavailable) }
func contradictory(w http.ResponseWriter) {
	w.Header().Set(call.HeaderOutcome, call.NotRun.String())
}

// requestNotRun reports an unknown outcome that is only due to an earlier request
// with the same key.
func requestNotRun(reason call.Reason) step {
	return func(w http.ResponseWriter) {
		w.Header().Set(call.HeaderAttemptOutcome, call.NotRun.String())
		refuse(call.Unknown, reason)(w)
	}
}

func retryAfter(seconds string, then step) step {
	return func(w http.ResponseWriter) { w.Header().Set("Retry-After", seconds); then(w) }
}

func nextKey(key string, then step) step {
	return func(w http.ResponseWriter) { w.Header().Set(call.HeaderNextKey, key); then(w) }
}

// Guards against a call that is reported as notRun although it may have run, against
// a retry that the repeat policy forbids, and against a booking that may have run
// being sent again with another key. If a reused connection is reset, the HTTP
// transport sends a booking again by itself; this counts as an attempt that may have
// run.
func TestOutcomes(t *testing.T) {
	notRun, unknown := call.NotRun, call.Unknown
	busy := refuse(notRun, call.ReasonOverloaded)
	lost := refuse(unknown, call.ReasonLost)
	cases := map[string]struct {
		repeat call.RepeatPolicy
		steps  []step
		want   call.Outcome
		keys   []string
	}{
		"answered":                           {call.IfNotRun, []step{answer(200)}, call.Answered, []string{""}},
		"answered with an error status":      {call.IfNotRun, []step{answer(500)}, call.Answered, []string{""}},
		"redirect is an answer":              {call.IfNotRun, []step{answer(302)}, call.Answered, []string{""}},
		"refused, then answered":             {call.IfNotRun, []step{busy, answer(200)}, call.Answered, []string{"", ""}},
		"always refused":                     {call.IfNotRun, []step{busy, busy, busy, answer(200)}, notRun, []string{"", "", ""}},
		"bad request is not repeated":        {call.IfNotRun, []step{refuse(notRun, call.ReasonUnknownRoute)}, notRun, []string{""}},
		"lost lookup is not repeated":        {call.IfNotRun, []step{lost}, unknown, []string{""}},
		"reset lookup is not repeated":       {call.IfNotRun, []step{resetConnection}, unknown, []string{""}},
		"truncated answer":                   {call.IfNotRun, []step{truncated}, unknown, []string{""}},
		"answer without a checkable end":     {call.IfNotRun, []step{unframed}, unknown, []string{""}},
		"response without an outcome":        {call.IfNotRun, []step{noOutcome}, unknown, []string{""}},
		"notRun with status 200":             {call.IfNotRun, []step{contradictory}, unknown, []string{""}},
		"always: lost, then answered":        {call.Always, []step{lost, answer(200)}, call.Answered, []string{"", ""}},
		"always: lost, then refused":         {call.Always, []step{lost, busy, busy}, unknown, []string{"", "", ""}},
		"booking answered":                   {call.Never, []step{answer(200)}, call.Answered, []string{"k1"}},
		"booking lost, same key":             {call.Never, []step{lost, answer(200)}, call.Answered, []string{"k1", "k1"}},
		"booking truncated, same key":        {call.Never, []step{truncated, answer(200)}, call.Answered, []string{"k1", "k1"}},
		"booking reset, then refused":        {call.Never, []step{resetConnection, busy, busy, busy}, unknown, []string{"k1", "k1", "k1", "k1"}},
		"booking lost, then key expired":     {call.Never, []step{lost, refuse(notRun, call.ReasonKeyExpired)}, unknown, []string{"k1", "k1"}},
		"booking's owner gone":               {call.Never, []step{refuse(unknown, call.ReasonOwnerGone)}, unknown, []string{"k1"}},
		"fresh key's owner gone, other key":  {call.Never, []step{requestNotRun(call.ReasonOwnerGone), answer(200)}, call.Answered, []string{"k1", "k5"}},
		"fresh key's owner always gone":      {call.Never, []step{requestNotRun(call.ReasonOwnerGone), requestNotRun(call.ReasonOwnerGone), requestNotRun(call.ReasonOwnerGone)}, notRun, []string{"k1", "k5", "k9"}},
		"booking lost, then owner gone":      {call.Never, []step{lost, requestNotRun(call.ReasonOwnerGone)}, unknown, []string{"k1", "k1"}},
		"booking reset, then owner gone":     {call.Never, []step{resetConnection, requestNotRun(call.ReasonOwnerGone)}, unknown, []string{"k1", "k1"}},
		"booking refused, fresh key":         {call.Never, []step{busy, answer(200)}, call.Answered, []string{"k1", "k2"}},
		"booking refused, lost, refused":     {call.Never, []step{busy, lost, busy}, unknown, []string{"k1", "k2", "k2"}},
		"booking refused by a draining node": {call.Never, []step{refuse(notRun, call.ReasonDraining), answer(200)}, call.Answered, []string{"k1", "k5"}},
		"booking refused, key from node":     {call.Never, []step{nextKey("n1", busy), answer(200)}, call.Answered, []string{"k1", "n1"}},
		"booking's key expired, then run":    {call.Never, []step{refuse(notRun, call.ReasonKeyExpired), answer(200)}, call.Answered, []string{"k1", "k5"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := newFakeNode(t, tc.steps...)
				got, err := node.client(t).Do(t.Context(), lacewingslip.Request{Service: "orders", Method: "POST", Path: "/book", Body: []byte("trays"), Repeat: tc.repeat})
				must.EqOp(t, tc.want, lacewingslip.OutcomeOf(err))
				must.Eq(t, tc.keys, node.keys)
				if err == nil {
					must.EqOp(t, "done", string(got.Body))
					must.EqOp(t, 2+len(tc.keys)-1, got.Retries)
				}
			})
		})
	}
}

// Guards against treating answers that never have a body as truncated.
func TestAnswersWithoutBody(t *testing.T) {
	cases := map[string]struct {
		method string
		status int
	}{
		"head":         {http.MethodHead, 200},
		"no content":   {http.MethodGet, 204},
		"not modified": {http.MethodGet, 304},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := newFakeNode(t, func(w http.ResponseWriter) {
					hijack(w, fmt.Sprintf("HTTP/1.1 %d X\r\nLacewingslip-Outcome: answered\r\n\r\n", tc.status))
				})
				got, err := node.client(t).Do(t.Context(), lacewingslip.Request{Service: "orders", Method: tc.method, Path: "/stock"})
				must.NoError(t, err)
				must.EqOp(t, tc.status, got.Status)
			})
		})
	}
}

// Guards against replacing a caller-chosen key, which could run a booking twice.
func TestCallerChosenKeyIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy := refuse(call.NotRun, call.ReasonLogUnavailable)
		node := newFakeNode(t, nextKey("n1", busy), requestNotRun(call.ReasonUnreachable), busy)
		_, err := node.client(t).Do(t.Context(), lacewingslip.Request{Service: "orders", Method: "POST", Path: "/book", Repeat: call.Never, Key: "mine"})
		must.Eq(t, []string{"mine", "mine", "mine"}, node.keys)
		must.EqOp(t, call.Unknown, lacewingslip.OutcomeOf(err))
		var failure *lacewingslip.Error
		must.True(t, errors.As(err, &failure))
		must.EqOp(t, "mine", failure.Key())
		must.EqOp(t, "r1", failure.RequestID())
	})
}

// Guards against callers that retry a refused call before the requested delay has
// passed or all at the same time, and against waiting beyond the deadline.
func TestRetryAfter(t *testing.T) {
	busy := retryAfter("4", refuse(call.NotRun, call.ReasonOverloaded))
	cases := map[string]struct {
		timeout   time.Duration
		low, high time.Duration
		want      call.Outcome
	}{
		"waits at least as long as asked": {20 * time.Second, 4 * time.Second, 6 * time.Second, call.Answered},
		"gives up at once without time":   {3 * time.Second, 0, 0, call.NotRun},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
				defer cancel()
				client, started := newFakeNode(t, busy, answer(200)).client(t), time.Now()
				_, err := client.Do(ctx, lacewingslip.Request{Service: "orders", Path: "/stock"})
				must.EqOp(t, tc.want, lacewingslip.OutcomeOf(err))
				must.Between(t, tc.low, time.Since(started), tc.high)
			})
		})
	}
}

// Guards against a call that outlasts its deadline because a node does not answer,
// and against an outcome other than unknown, because the call may have run.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newFakeNode(t, func(http.ResponseWriter) { time.Sleep(2 * time.Second) })
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		_, err := node.client(t).Do(ctx, lacewingslip.Request{Service: "orders", Path: "/stock"})
		must.EqOp(t, call.Unknown, lacewingslip.OutcomeOf(err))
		must.ErrorIs(t, err, context.DeadlineExceeded)
		synctest.Wait()
		must.EqOp(t, "1500", node.timeout)
	})
}

// Guards against calls that fail because one of several nodes is unreachable, and
// against an unknown outcome of a call that was never sent. A booking with a key from
// the caller may have been sent before, so its outcome is unknown.
func TestUnreachableNode(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	dead := closed.Listener.Addr().String()
	closed.Close()
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(200)(w) }))
	defer live.Close()
	request := lacewingslip.Request{Service: "orders", Path: "/stock"}

	client, err := lacewingslip.New([]string{dead, live.Listener.Addr().String()})
	must.NoError(t, err)
	for range 4 {
		_, err = client.Do(t.Context(), request)
		must.NoError(t, err)
	}
	client, err = lacewingslip.New([]string{dead, live.Listener.Addr().String()}, lacewingslip.WithAttempts(1))
	must.NoError(t, err)
	for range 4 {
		_, err = client.Do(t.Context(), request)
		must.NoError(t, err)
	}
	client, err = lacewingslip.New([]string{dead})
	must.NoError(t, err)
	_, err = client.Do(t.Context(), request)
	must.EqOp(t, call.NotRun, lacewingslip.OutcomeOf(err))

	request.Repeat, request.Key = call.Never, "1700000000-order-7" // may have been sent before
	_, err = client.Do(t.Context(), request)
	must.EqOp(t, call.Unknown, lacewingslip.OutcomeOf(err))
}

// staleNode issues keys of an owner that has restarted, until it has refused one of
// them.
type staleNode struct{ refusedOldKey atomic.Bool }

func (n *staleNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch key := r.Header.Get(call.HeaderKey); {
	case r.URL.Path == "/lacewingslip/v1/keys" && n.refusedOldKey.Load():
		_, _ = io.WriteString(w, `{"keys":["new"]}`)
	case r.URL.Path == "/lacewingslip/v1/keys":
		_, _ = io.WriteString(w, `{"keys":["old"]}`)
	case key == "old":
		n.refusedOldKey.Store(true)
		requestNotRun(call.ReasonOwnerGone)(w)
	default:
		answer(200)(w)
	}
}

// Guards against a booking that fails after the owner of its key has restarted,
// because each attempt uses a key from a node that does not know of the restart and
// is sent to another node, which refuses the key.
func TestKeysOfRestartedOwner(t *testing.T) {
	addresses := make([]string, 2)
	for i := range addresses {
		node := httptest.NewServer(&staleNode{})
		defer node.Close()
		addresses[i] = node.Listener.Addr().String()
	}
	client, err := lacewingslip.New(addresses)
	must.NoError(t, err)
	_, err = client.Do(t.Context(), lacewingslip.Request{Service: "orders", Method: "POST", Path: "/book", Repeat: call.Never})
	must.NoError(t, err)
}

// Guards against invalid requests and addresses that are not rejected at once with
// a message that names the error.
func TestInvalidInput(t *testing.T) {
	_, err := lacewingslip.New(nil)
	must.Error(t, err)
	_, err = lacewingslip.New([]string{"10.0.0.1"})
	must.ErrorContains(t, err, `"10.0.0.1" is not HOST:PORT`)
	client, err := lacewingslip.New([]string{"127.0.0.1:1"})
	must.NoError(t, err)
	cases := map[string]lacewingslip.Request{
		`service "a/b"`:    {Service: "a/b", Path: "/"},
		`path "stock"`:     {Service: "orders", Path: "stock"},
		`set Repeat to`:    {Service: "orders", Path: "/book", Key: "k"},
		`invalid method`:   {Service: "orders", Path: "/", Method: "A B"},
		`invalid URL esca`: {Service: "orders", Path: "/%zz"},
	}
	for message, request := range cases {
		_, err := client.Do(t.Context(), request)
		must.ErrorContains(t, err, message)
		must.EqOp(t, call.NotRun, lacewingslip.OutcomeOf(err))
	}
}

// fakeNode answers each attempt with the next step and issues keys k1, k2 and so on.
// Its connections are pipes, so that it can run in a synctest bubble.
type fakeNode struct {
	connections chan net.Conn
	closed      chan struct{}
	close       sync.Once
	steps       []step
	// keys are the keys of all attempts; timeout is the timeout of the last one.
	keys    []string
	timeout string
	issued  int
}

func newFakeNode(t *testing.T, steps ...step) *fakeNode {
	node := &fakeNode{connections: make(chan net.Conn), closed: make(chan struct{}), steps: steps}
	server := &httptest.Server{Listener: node, Config: &http.Server{Handler: node}}
	server.Start()
	t.Cleanup(server.Close)
	return node
}

func (n *fakeNode) client(t *testing.T) *lacewingslip.Client {
	transport := &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		clientSide, serverSide := net.Pipe()
		select {
		case n.connections <- serverSide:
			return clientSide, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}}
	client, err := lacewingslip.New([]string{"node:1"}, lacewingslip.WithTransport(transport))
	must.NoError(t, err)
	t.Cleanup(client.CloseIdleConnections)
	return client
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/lacewingslip/v1/keys" && r.URL.Query().Get("service") == "orders" {
		n.issued += 4
		_, _ = fmt.Fprintf(w, `{"keys":["k%d","k%d","k%d","k%d"]}`, n.issued-3, n.issued, n.issued-1, n.issued-2)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	n.keys = append(n.keys, r.Header.Get(call.HeaderKey))
	n.timeout = r.Header.Get(call.HeaderTimeout)
	next := n.steps[0]
	n.steps = n.steps[1:]
	next(w)
}

func (n *fakeNode) Accept() (net.Conn, error) {
	select {
	case connection := <-n.connections:
		return connection, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

func (n *fakeNode) Close() error   { n.close.Do(func() { close(n.closed) }); return nil }
func (n *fakeNode) Addr() net.Addr { return &net.TCPAddr{} }

func hijack(w http.ResponseWriter, response string) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(connection, response)
	_ = connection.Close()
}
