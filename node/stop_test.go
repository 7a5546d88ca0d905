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

// blockingBackend returns a backend server whose calls block until release is called.
func blockingBackend(service string) (b *backend.Backend, started <-chan struct{}, release func()) {
	startedCalls, released := make(chan struct{}, 100), make(chan struct{})
	b = backend.New(service, backend.WithHandler(func(w http.ResponseWriter, _ *http.Request) {
		startedCalls <- struct{}{}
		<-released
		_, _ = w.Write([]byte("whole"))
	}))
	return b, startedCalls, sync.OnceFunc(func() { close(released) })
}

// Guards against a draining backend server that gets new calls, loses calls in
// progress, or exits before these have ended. Its own node must refuse new calls at
// once, because other nodes may not know of the drain yet.
func TestLeavingBackendGetsNoNewWork(t *testing.T) {
	leaving, started, release := blockingBackend("orders")
	defer release()
	staying := backend.New("orders")
	system := startTesfaye(t,
		loopback.WithUpstream("addis", "addis-a", leaving),
		loopback.WithUpstream("addis", "addis-b", staying),
	)
	key, drainingKey := issueKeyForNode(t, system, "n1"), issueKeyForNode(t, system, "n1")
	running := make(chan callAnswer, 1)
	go func() { running <- send(t, http.MethodPost, "http://"+system.Caller(0)+"/orders/book", key, "first") }()
	<-started

	leaveDone := make(chan error, 1)
	go func() { leaveDone <- leaving.Leave(context.Background()) }()
	for !system.Upstreams()[0].Node().Draining() {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		must.EqOp(t, http.StatusOK, send(t, http.MethodGet, "http://"+system.Caller(1)+"/orders/stock", "", "").status)
	}
	// A booking whose key belongs to the draining node runs on another node under a successor key.
	must.EqOp(t, http.StatusOK, send(t, http.MethodPost, "http://"+system.Caller(1)+"/orders/book", drainingKey, "second").status)
	must.EqOp(t, 1, leaving.TotalCalls())
	must.Eq(t, map[string]int{"second": 1, "": 20}, runsWithLookups(staying))
	must.EqOp(t, 0, len(leaveDone))
	release()
	must.EqOp(t, "whole", (<-running).text)
	must.NoError(t, <-leaveDone)
}

// runsWithLookups returns the runs per booking, with the number of other calls under
// the key "".
func runsWithLookups(b *backend.Backend) (runs map[string]int) {
	runs = b.Runs()
	total := 0
	for _, n := range runs {
		total += n
	}
	runs[""] = b.TotalCalls() - total
	return runs
}

// issueKeyForNode requests keys until one belongs to the node.
func issueKeyForNode(t *testing.T, system *loopback.System, node string) (key string) {
	t.Helper()
	for range 100 {
		key = send(t, http.MethodPost, "http://"+system.Caller(0)+"/orders/book", "", "").header.Get(call.HeaderNextKey)
		if strings.Contains(key, ":"+node+":") {
			return key
		}
	}
	t.Fatalf("none of 100 issued keys belongs to node %s", node)
	return ""
}

// lockedBuffer is a log buffer that can be read while aborted calls still write to
// it.
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

// Guards against a planned stop that waits without limit, or that aborts calls
// without recording it.
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
