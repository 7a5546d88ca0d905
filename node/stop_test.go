package node_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
)

// blockingBackend is a backend server whose calls last until they are released.
func blockingBackend(service string) (b *backend.Backend, started <-chan struct{}, release func()) {
	startedCalls, released := make(chan struct{}, 100), make(chan struct{})
	b = backend.New(service, backend.WithHandler(func(w http.ResponseWriter, _ *http.Request) {
		startedCalls <- struct{}{}
		<-released
		_, _ = w.Write([]byte("whole"))
	}))
	return b, startedCalls, sync.OnceFunc(func() { close(released) })
}

// From the moment a backend server asks to leave, its own node must refuse new
// work, even while all other nodes still send it calls; the call in progress
// must end well, and only then may the backend server exit.
func TestLeavingBackendGetsNoNewWork(t *testing.T) {
	leaving, started, release := blockingBackend("orders")
	defer release()
	staying := backend.New("orders")
	system := startTesfaye(t,
		loopback.WithUpstream("addis", "addis-a", leaving),
		loopback.WithUpstream("addis", "addis-b", staying),
	)
	key, drainingKey := issueKeyForNode(t, system, "n1"), issueKeyForNode(t, system, "n1")
	inProgress := make(chan response, 1)
	go func() {
		inProgress <- sendRequest(t, http.MethodPost, "http://"+system.Caller(0)+"/orders/book", key, "first")
	}()
	<-started

	leaveDone := make(chan error, 1)
	go func() { leaveDone <- leaving.Leave(context.Background()) }()
	for !system.Upstreams()[0].Node().Draining() {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		must.EqOp(t, http.StatusOK, sendRequest(t, http.MethodGet, "http://"+system.Caller(1)+"/orders/stock", "", "").status)
	}
	// A booking whose key names the leaving node runs elsewhere under a successor.
	must.EqOp(t, http.StatusOK, sendRequest(t, http.MethodPost, "http://"+system.Caller(1)+"/orders/book", drainingKey, "second").status)
	must.EqOp(t, 1, leaving.Total())
	must.Eq(t, map[string]int{"second": 1, "": 20}, runsWithLookups(staying))
	must.EqOp(t, 0, len(leaveDone))
	release()
	must.EqOp(t, "whole", (<-inProgress).text)
	must.NoError(t, <-leaveDone)
}

// runsWithLookups counts calls that are no bookings under "".
func runsWithLookups(b *backend.Backend) (runs map[string]int) {
	runs = b.Runs()
	total := 0
	for _, n := range runs {
		total += n
	}
	runs[""] = b.Total() - total
	return runs
}

// issueKeyForNode asks for keys until one names the node.
func issueKeyForNode(t *testing.T, system *loopback.System, node string) (key string) {
	t.Helper()
	for range 100 {
		key = sendRequest(t, http.MethodPost, "http://"+system.Caller(0)+"/orders/book", "", "").header.Get(call.HeaderNextKey)
		if strings.Contains(key, ":"+node+":") {
			return key
		}
	}
	t.Fatalf("no key names node %s", node)
	return ""
}

// lockedBuffer keeps a log that is read while calls that were cut off still
// write to it.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// A planned stop must not wait for ever, and must say so when it cuts calls off.
func TestStopDeadlineIsReported(t *testing.T) {
	orders, started, release := blockingBackend("orders")
	defer release()
	var log lockedBuffer
	system := startTesfaye(t, loopback.WithUpstream("addis", "addis-a", orders),
		loopback.WithLogger(slog.New(slog.NewJSONHandler(&log, nil))), loopback.WithStopDeadline(100*time.Millisecond))
	callErr := make(chan error, 1)
	go func() {
		answer, err := http.Get("http://" + system.Caller(0) + "/orders/stock")
		if err == nil {
			answer.Body.Close()
		}
		callErr <- err
	}()
	<-started
	must.Error(t, system.Upstreams()[0].Node().Stop(context.Background()))
	must.StrContains(t, log.String(), `"event":1004`)
	must.Error(t, <-callErr)
}
