package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
)

// rawAnswer returns a handler that writes exactly this response and closes the
// connection.
func rawAnswer(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(connection, response)
		connection.Close()
	}
}

// Guards against a truncated answer that looks complete to an HTTP client. Either
// reading the answer must fail, or its outcome must be unknown.
func TestCutAnswerIsNeverComplete(t *testing.T) {
	cases := map[string]string{
		"length not reached":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunks without end":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"chunk cut":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nhalf",
		"no length, closed":   "HTTP/1.1 200 OK\r\n\r\nhalf",
		"header cut":          "HTTP/1.1 200 OK\r\nContent-Le",
		"no answer":           "",
		"malformed status":    "HTTP/1.1 abc\r\n\r\n",
		"conflicting lengths": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nhalf",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			drawings := backend.New("drawings", backend.WithHandler(rawAnswer(text)))
			system := startTesfaye(t,
				loopback.WithUpstream("addis", "addis-a", backend.New("orders")),
				loopback.WithUpstream("addis", "addis-b", drawings),
			)
			for _, version := range []string{"1.0", "1.1"} {
				status, header, err := get(t, system.Caller(0), "/drawings/m1", version)
				if err == nil {
					must.EqOp(t, "unknown", header.Get(call.HeaderOutcome), must.Sprint("HTTP/"+version))
					must.EqOp(t, http.StatusBadGateway, status)
				}
			}
		})
	}
}

// get sends a request of an HTTP version on a new connection. err is the error of reading
// the body of the answer.
func get(t *testing.T, address, path, version string) (status int, header http.Header, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/%s\r\nHost: %s\r\n\r\n", path, version, address)
	must.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header, err
}

// Guards against a second run of a booking whose first answer was truncated. The
// booking may have run, so the outcome of its repeat must be unknown too.
func TestCutBookingIsUnknown(t *testing.T) {
	orders := backend.New("orders", backend.WithHandler(rawAnswer("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")))
	system := startTesfaye(t, loopback.WithUpstream("addis", "addis-a", orders))
	url := "http://" + system.Caller(0) + "/orders/book"
	key := send(t, http.MethodPost, url, "", "trays").header.Get(call.HeaderNextKey)
	for range 2 {
		must.EqOp(t, "unknown", send(t, http.MethodPost, url, key, "trays").header.Get(call.HeaderOutcome))
	}
	must.Eq(t, map[string]int{"trays": 1}, orders.Runs())
}

// Guards against a false notRun when a backend server repeats a booking with its
// key but without propagating the call context. The repeat is refused for lack of
// retry tokens, although the first attempt may have run.
func TestRepeatWithoutContextIsUnknown(t *testing.T) {
	orders := backend.New("orders", backend.WithHandler(rawAnswer("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")))
	system := startTesfaye(t, loopback.WithUpstream("addis", "addis-a", orders))
	key := send(t, http.MethodPost, "http://"+system.Caller(0)+"/orders/book", "", "trays").header.Get(call.HeaderNextKey)
	url := "http://" + system.Upstreams()[0].Node().BackendAddress() + "/orders/book"
	for range 2 {
		must.EqOp(t, "unknown", send(t, http.MethodPost, url, key, "trays").header.Get(call.HeaderOutcome))
	}
	must.Eq(t, map[string]int{"trays": 1}, orders.Runs())
}

// Guards against an answer that reaches the wrong caller because it arrives late,
// out of order, or after a cancelled call on the same connection. All callers use
// the same request ID.
func TestAnswerMatchesRequest(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte(r.URL.RequestURI()+" "), body...))
	}
	system := startTesfaye(t,
		loopback.WithUpstream("addis", "addis-a", backend.New("orders")),
		loopback.WithUpstream("addis", "addis-b", backend.New("catalogue", backend.WithHandler(echo))),
	)
	var callers sync.WaitGroup
	for caller := range 16 {
		callers.Go(func() {
			for n := range 40 {
				checkAnswerMatches(t, system.Caller(caller%2), fmt.Sprintf("c%d-%d", caller, n), n%5 == 0)
			}
		})
	}
	callers.Wait()
}

func checkAnswerMatches(t *testing.T, address, id string, cancelled bool) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/catalogue/x?"+id, strings.NewReader(id))
	must.NoError(t, err)
	request.Header.Set("X-Request-Id", "the same for all")
	request.Header.Set("Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	if cancelled {
		go cancel()
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		must.True(t, cancelled, must.Sprint(err))
		return
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.Header.Get(call.HeaderOutcome) == "answered" {
		must.EqOp(t, "/catalogue/x?"+id+" "+id, string(text))
	}
}

// Guards against a booking that runs twice because net/http sends it again. The
// transport retries a request with an idempotency key if a reused connection breaks
// before the answer, although the booking may have run.
func TestBrokenReusedConnectionIsNotSentAgain(t *testing.T) {
	closeConnection := rawAnswer("")
	orders := backend.New("orders", backend.WithHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(backend.HeaderBooking) == "broken" {
			closeConnection(w, r)
		}
	}))
	system := startTesfaye(t, loopback.WithUpstream("addis", "addis-a", orders))
	url := "http://" + system.Caller(0) + "/orders/book"
	key := send(t, http.MethodPost, url, "", "whole").header.Get(call.HeaderNextKey)
	next := send(t, http.MethodPost, url, key, "whole").header.Get(call.HeaderNextKey)
	must.EqOp(t, "unknown", send(t, http.MethodPost, url, next, "broken").header.Get(call.HeaderOutcome))
	must.Eq(t, map[string]int{"whole": 1, "broken": 1}, orders.Runs())
}
