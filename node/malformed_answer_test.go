package node_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
	"github.com/lacewingslip/lacewingslip/internal/standin/malformed"
)

// openAnswer is a handler that writes exactly its text, which may be changed, and keeps the
// connection open.
type openAnswer struct {
	mu   sync.Mutex
	text string
}

func (a *openAnswer) set(text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.text = text
}

func (a *openAnswer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer connection.Close()
	a.mu.Lock()
	text := a.text
	a.mu.Unlock()
	_, _ = io.WriteString(connection, text)
	_, _ = io.Copy(io.Discard, connection)
}

// Guards against a malformed answer of a backend server that reaches a caller, as an answer or as
// a statement that the call has not run, or for which the caller waits until its deadline.
func TestMalformedAnswerIsUnknown(t *testing.T) {
	answer := &openAnswer{}
	drawings := backend.New("drawings", backend.WithHandler(answer.ServeHTTP))
	orders := backend.New("orders", backend.WithHandler(answer.ServeHTTP))
	system := startTesfaye(t, loopback.WithUpstream("addis", "addis-a", orders), loopback.WithUpstream("addis", "addis-b", drawings))
	for name, response := range malformed.All("Server: x\r\n") {
		for part, text := range map[string]string{"whole": response.Text, "up to the breach": response.UpToBreach()} {
			t.Run(name+"/"+part, func(t *testing.T) {
				answer.set(text)
				status, header, err := get(t, system.Caller(0), "/drawings/m1", "1.1")
				must.NoError(t, err)
				must.EqOp(t, "unknown", header.Get(call.HeaderOutcome))
				must.EqOp(t, string(call.ReasonLost), header.Get(call.HeaderReason))
				must.EqOp(t, http.StatusBadGateway, status)
			})
		}
	}
	// The answer to a booking is kept for its repeats.
	url := "http://" + system.Caller(0) + "/orders/book"
	for name, response := range malformed.StatusLines("Server: x\r\n") {
		t.Run("booking/"+name, func(t *testing.T) {
			answer.set(response.Text)
			key := send(t, http.MethodPost, url, "", name).header.Get(call.HeaderNextKey)
			for range 2 {
				must.EqOp(t, "unknown", send(t, http.MethodPost, url, key, name).header.Get(call.HeaderOutcome))
			}
		})
	}
}

// Guards against a long answer that looks complete although a part of it is malformed, when its
// caller has received the status line already.
func TestMalformedLongAnswerIsIncomplete(t *testing.T) {
	answer := &openAnswer{}
	drawings := backend.New("drawings", backend.WithHandler(answer.ServeHTTP))
	system := startTesfaye(t, loopback.WithUpstream("addis", "addis-b", drawings))
	chunk := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n" + strings.Repeat("x", 1<<20) + "\r\n"
	for name, end := range map[string]string{"chunk": "zz\r\n", "extension": "0;\x00\r\n\r\n", "trailer": "0\r\nX Bad: 1\r\n\r\n"} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+", HTTP/"+version, func(t *testing.T) {
				answer.set(chunk + end)
				_, _, err := get(t, system.Caller(0), "/drawings/m1", version)
				must.Error(t, err)
			})
		}
	}
}
