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

// held is a backend server whose calls last until they are released.
func held(service string) (b *backend.Backend, started <-chan struct{}, release func()) {
	began, gate := make(chan struct{}, 100), make(chan struct{})
	b = backend.New(service, backend.WithHandler(func(w http.ResponseWriter, _ *http.Request) {
		began <- struct{}{}
		<-gate
		_, _ = w.Write([]byte("whole"))
	}))
	return b, began, sync.OnceFunc(func() { close(gate) })
}

// From the moment a backend server asks to leave, its own node must refuse new
// work, even while all other nodes still send it calls; the call in progress
// must end well, and only then may the backend server exit.
func TestLeavingBackendGetsNoNewWork(t *testing.T) {
	leaving, started, release := held("orders")
	defer release()
	staying := backend.New("orders")
	system := startTesfaye(t,
		loopback.WithUpstream("addis", "addis-a", leaving),
		loopback.WithUpstream("addis", "addis-b", staying),
	)
	key, late := keyOf(t, system, "n1"), keyOf(t, system, "n1")
	inProgress := make(chan answered, 1)
	go func() { inProgress <- do(t, http.MethodPost, "http://"+system.Caller(0)+"/orders/book", key, "first") }()
	<-started

	left := make(chan error, 1)
	go func() { left <- leaving.Leave(context.Background()) }()
	for !system.Upstreams()[0].Node().Draining() {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		must.EqOp(t, http.StatusOK, do(t, http.MethodGet, "http://"+system.Caller(1)+"/orders/stock", "", "").status)
	}
	// A booking whose key names the leaving node runs elsewhere under a successor.
	must.EqOp(t, http.StatusOK, do(t, http.MethodPost, "http://"+system.Caller(1)+"/orders/book", late, "second").status)
	must.EqOp(t, 1, leaving.Total())
	must.Eq(t, map[string]int{"second": 1, "": 20}, withEmpty(staying))
	must.EqOp(t, 0, len(left))
	release()
	must.EqOp(t, "whole", (<-inProgress).text)
	must.NoError(t, <-left)
}

// withEmpty counts calls that are no bookings under "".
func withEmpty(b *backend.Backend) (runs map[string]int) {
	runs = b.Runs()
	total := 0
	for _, n := range runs {
		total += n
	}
	runs[""] = b.Total() - total
	return runs
}

// keyOf asks for keys until one names the node.
func keyOf(t *testing.T, system *loopback.System, node string) (key string) {
	t.Helper()
	for range 100 {
		key = do(t, http.MethodPost, "http://"+system.Caller(0)+"/orders/book", "", "").header.Get(call.HeaderNextKey)
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
	orders, started, release := held("orders")
	defer release()
	var log lockedBuffer
	system := startTesfaye(t, loopback.WithUpstream("addis", "addis-a", orders),
		loopback.WithLogger(slog.New(slog.NewJSONHandler(&log, nil))), loopback.WithStopDeadline(100*time.Millisecond))
	cut := make(chan error, 1)
	go func() {
		answer, err := http.Get("http://" + system.Caller(0) + "/orders/stock")
		if err == nil {
			answer.Body.Close()
		}
		cut <- err
	}()
	<-started
	must.Error(t, system.Upstreams()[0].Node().Stop(context.Background()))
	must.StrContains(t, log.String(), `"event":1004`)
	must.Error(t, <-cut)
}
