package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/e2e"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

const (
	burstConns  = 300
	bursts      = 6
	burstLimit  = 400 * time.Millisecond
	burstSpread = 100 * time.Millisecond
)

// Guards against requests that reach a backend server but whose kept connection the node
// closes without an answer, because many requests arrive while it closes idle connections.
func TestBurstOnKeptConnections(t *testing.T) {
	cases := map[string]struct{ pause, headPause time.Duration }{
		"at the limit":        {pause: burstLimit},
		"heads in two pieces": {pause: burstLimit - burstSpread, headPause: burstSpread},
	}
	binaries, err := e2e.Build(t.TempDir())
	must.NoError(t, err)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := startVM(t, binaries)
			callers := make([]*caller, burstConns)
			for n := range callers {
				callers[n] = &caller{vm: v}
			}
			for burst := range bursts {
				sendBurst(t, callers, fmt.Sprintf("warm-up-%d", burst), 0)
				time.Sleep(c.pause)
				sendBurst(t, callers, fmt.Sprintf("burst-%d", burst), c.headPause)
			}
			_, violations := v.run.ledger.result(retryBudget{seconds: 10, ratio: 1})
			must.SliceEmpty(t, violations, must.Sprint(strings.Join(violations, "\n")))
		})
	}
}

// startVM starts a deployment of one VM, whose node runs on a single core.
func startVM(t *testing.T, binaries e2e.Binaries) (v *vm) {
	t.Helper()
	v = startVMs(t, binaries, leafService)[0]
	v.server.SetServiceTime(time.Millisecond)
	return v
}

// startVMs starts a VM for each of the services, from number 2 on. They end with the test.
func startVMs(t *testing.T, binaries e2e.Binaries, services ...string) []*vm {
	t.Helper()
	r := &run{
		binaries: binaries, directory: t.TempDir(), log: keyedlog.New(), ledger: newLedger(time.Now()), stop: make(chan struct{}), idleLimit: burstLimit,
	}
	logServer := httptest.NewServer(r.log)
	t.Cleanup(logServer.Close)
	r.logAddress = logServer.Listener.Addr().String()
	r.publish()
	for n, service := range services {
		v, err := newVM(r, n+2, service)
		must.NoError(t, err)
		t.Cleanup(v.close)
		r.vms = append(r.vms, v)
	}
	r.callers.Go(func() { r.delays.measure(r.stopped) })
	t.Cleanup(func() {
		close(r.stop)
		r.callers.Wait()
	})
	must.NoError(t, r.waitReady(t.Context()))
	return r.vms
}

// sendBurst sends one request on each connection within burstSpread and waits for the
// responses.
func sendBurst(t *testing.T, callers []*caller, name string, headPause time.Duration) {
	t.Helper()
	var requests sync.WaitGroup
	for n, c := range callers {
		id := fmt.Sprintf("%s-%d", name, n)
		request, err := operator.Request(c.vm.settings.Listen.Caller, http.MethodPost, "/load/x", id, callerTimeout)
		must.NoError(t, err)
		c.headPause = headPause
		requests.Go(func() {
			time.Sleep(rand.N(burstSpread))
			c.vm.run.ledger.recordSent(id, leafService, leafService, true)
			connection := c.describeConn()
			if _, err := c.roundTrip(request, time.Now(), callerTimeout+deadlineSlack); err != nil {
				c.vm.run.ledger.recordUnanswered(id, fmt.Sprintf("on %s: %v", connection, err))
			}
		})
	}
	requests.Wait()
}
