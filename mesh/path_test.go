package mesh

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
)

func TestRequestPath(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	orders, caller := d.vms[0], d.vms[1]
	r := d.call(caller, http.MethodPost, "/once/2f?page=1", "a")
	must.NoError(t, r.err)
	must.Eq(t, http.StatusOK, r.status)
	must.Eq(t, "answer of a", r.body)
	must.Eq(t, "signed", r.header.Get("X-Server-Signature"))
	must.Eq(t, "a", r.header.Get("X-Request-Id"))
	must.Eq(t, "", r.header.Get(headerHop))
	h := orders.server.Headers("a")
	must.Eq(t, "catalogue", h.Get("X-Caller-Service"))
	must.Eq(t, orders.instance(), h.Get("X-Expected-Instance"))
	must.Eq(t, "", h.Get(headerHop))
	var left int
	_, err := fmt.Sscan(h.Get("X-Deadline-Ms"), &left)
	must.NoError(t, err)
	must.Between(t, 500, left, 1000)
}

func TestUnknownRoute(t *testing.T) {
	d := newDeployment(t, "orders")
	must.Eq(t, http.StatusNotFound, d.call(d.vms[0], http.MethodGet, "/nowhere/1", "a").status)
}

// A node without a desired state does not know the routes, so it must respond
// with 503 and not with 404.
func TestNoDesiredState(t *testing.T) {
	d := &deployment{t: t, log: keyedlog.New()}
	free, err := loopback.FreeAddresses("127.0.0.1", 1)
	must.NoError(t, err)
	d.logAddr = free[0]
	v := d.addVM("orders")
	r := d.call(v, http.MethodGet, "/safe/1", "a")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
	response, err := http.Get("http://" + v.settings.Listen.Ready + "/lacewingslip/readiness")
	must.NoError(t, err)
	defer response.Body.Close()
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
}

// The status that a caller receives must agree with the number of runs,
// whatever the backend server does with the request.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour     server.Behaviour
		path          string
		status        int
		runs, maxRuns int
	}{
		"answered":                    {server.Answer, "/once/", http.StatusOK, 1, 1},
		"response lost":               {server.LoseAnswer, "/once/", http.StatusBadGateway, 1, 1},
		"response cut":                {server.CutAnswer, "/once/", http.StatusBadGateway, 1, 1},
		"response cut in the head":    {server.CutHead, "/once/", http.StatusBadGateway, 1, 1},
		"response unsigned":           {server.Unsigned, "/once/", http.StatusBadGateway, 1, 1},
		"response without length":     {server.Unframed, "/once/", http.StatusOK, 1, 1},
		"internal failure":            {server.Fail, "/once/", http.StatusBadGateway, 1, 1},
		"no response":                 {server.Hang, "/once/", http.StatusGatewayTimeout, 1, 1},
		"response to another request": {server.MismatchedAnswer, "/once/", http.StatusGatewayTimeout, 1, 1},
		"not run":                     {server.Shed, "/once/", http.StatusServiceUnavailable, 0, 0},
		"idempotent, lost":            {server.LoseAnswer, "/safe/", http.StatusBadGateway, 1, 2},
		"idempotent, cut":             {server.CutAnswer, "/safe/", http.StatusBadGateway, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, "orders", "orders", "catalogue")
			for _, v := range d.vms {
				v.server.SetBehaviour(func(*http.Request) server.Behaviour { return c.behaviour })
			}
			r := d.call(d.vms[2], http.MethodPut, c.path, "a")
			must.NoError(t, r.err)
			must.Eq(t, c.status, r.status)
			must.Between(t, c.runs, d.runs("a"), c.maxRuns)
			if c.status != http.StatusOK {
				must.Eq(t, "", r.header.Get("X-Server-Signature"))
			}
		})
	}
}

// A request whose first response was lost and that was then refused by all
// other nodes may have run, so the caller must not be told that it did not run.
func TestLostThenRefused(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "catalogue")
	var arrivals atomic.Int64
	for _, v := range d.vms {
		v.server.SetBehaviour(func(*http.Request) server.Behaviour {
			if arrivals.Add(1) == 1 {
				return server.LoseAnswer
			}
			return server.Shed
		})
	}
	r := d.call(d.vms[2], http.MethodGet, "/safe/", "a")
	must.Eq(t, 1, d.runs("a"))
	must.Eq(t, int64(2), arrivals.Load())
	must.Eq(t, http.StatusBadGateway, r.status)
}

// A request that a backend server refused is sent to another one, even if it
// may run only once.
func TestRefusedRequestRunsElsewhere(t *testing.T) {
	d := newDeployment(t, "orders", "orders")
	for n := range 10 {
		d.vms[0].server.SetBehaviour(func(*http.Request) server.Behaviour { return server.Shed })
		id := fmt.Sprintf("a%d", n)
		if r := d.call(d.vms[0], http.MethodPost, "/once/", id); r.status == http.StatusOK {
			must.Eq(t, 1, d.vms[1].server.Runs(id))
			return
		}
	}
	t.Fatal("no request went to the other backend server")
}

// A backend server that receives more requests than it can queue stops
// responding permanently, so no more requests than it has slots may run.
func TestBackendServerIsNotOverloaded(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	d.vms[0].server.SetServiceTime(50 * time.Millisecond)
	var calls sync.WaitGroup
	for n := range 40 {
		calls.Go(func() { d.call(d.vms[1], http.MethodGet, "/safe/", fmt.Sprintf("a%d", n)) })
	}
	calls.Wait()
	must.Between(t, 1, d.vms[0].server.MaxConcurrent(), 8)
}

// A backend server must get no new requests once its node has acknowledged that
// it is leaving, even from nodes that have not received the change.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	for name, state := range map[string]string{"draining": "draining", "deregistered": ""} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "orders", "catalogue")
			leaving := d.vms[0]
			d.log.SetFaults(keyedlog.Faults{Down: true})
			d.announce(leaving, state)
			for n := range 20 {
				id := fmt.Sprintf("a%d", n)
				must.Eq(t, http.StatusOK, d.call(d.vms[2], http.MethodPost, "/once/", id).status)
				must.Eq(t, 0, leaving.server.Runs(id))
			}
		})
	}
}

// A request must not run at a backend server of another service that has taken
// over the address.
func TestReusedAddress(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	moved := d.vms[0]
	d.log.SetFaults(keyedlog.Faults{Down: true})
	kill(moved.node)
	moved.settings.Service = "dispatch"
	d.startNode(moved)
	moved.startMs++
	d.announce(moved, "ready")
	r := d.call(d.vms[1], http.MethodPost, "/once/", "a")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, 0, d.runs("a"))
}

func TestNewVersionIsInForceEverywhere(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	d.publish(safe("added"))
	d.awaitConvergence()
	for _, v := range d.vms {
		must.Eq(t, http.StatusOK, d.call(v, http.MethodGet, "/added/", "a").status)
		must.Eq(t, http.StatusNotFound, d.call(v, http.MethodGet, "/once/", "b").status)
	}
	// An older version that arrives late must change nothing.
	d.vms[0].node.lifecycle.components.desired.apply([]byte(`{"Version":1,"Resources":[]}`), "test")
	must.Eq(t, http.StatusOK, d.call(d.vms[0], http.MethodGet, "/added/", "c").status)
}

// A node whose log requests fail must receive a new version of the desired state
// from other nodes.
func TestNewVersionSpreadsWithoutTheLog(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	caller := d.vms[1]
	d.log.SetFaults(keyedlog.Faults{Down: true})
	d.version++
	d.vms[0].node.lifecycle.components.desired.apply(d.state(safe("safe"), safe("added")), "test")
	eventually(t, func() bool {
		d.call(caller, http.MethodGet, "/safe/", "a")
		return int(caller.node.lifecycle.components.desired.version()) == d.version
	})
}

// A node that was killed and can't read the log must receive the member records
// and the desired state from other nodes.
func TestRestartWithoutTheLog(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	v := d.vms[1]
	d.log.SetFaults(keyedlog.Faults{Down: true})
	kill(v.node)
	// The other node detects the failure when it next sends. The test triggers that
	// directly.
	for _, other := range d.vms[0].node.lifecycle.components.balancer.otherPeers() {
		d.vms[0].node.lifecycle.components.balancer.markUnreachable(other, "test")
	}
	d.startNode(v)
	d.announce(v, "ready")
	eventually(t, func() bool { return d.call(v, http.MethodGet, "/safe/", "a").status == http.StatusOK })
}

// A restarted node must serve again without waiting for the next announcement
// of its backend server, unless that server is leaving.
func TestRestartBesideRunningServer(t *testing.T) {
	for name, leaving := range map[string]bool{"running": false, "leaving": true} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "catalogue")
			v := d.vms[0]
			if leaving {
				v.server.Drain()
				d.announce(v, "draining")
			}
			kill(v.node)
			d.startNode(v)
			if !leaving {
				eventually(t, func() bool { return d.call(d.vms[1], http.MethodGet, "/safe/", "a").status == http.StatusOK })
				return
			}
			eventually(t, func() bool { return v.node.lifecycle.components.desired.version() > 0 })
			time.Sleep(300 * time.Millisecond)
			must.Eq(t, http.StatusServiceUnavailable, d.call(d.vms[1], http.MethodPost, "/once/", "b").status)
		})
	}
}

// A request must not keep running at the backend server after its caller has
// disconnected.
func TestDisconnectedCallerEndsTheRun(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	d.vms[0].server.SetBehaviour(func(*http.Request) server.Behaviour { return server.Hang })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.vms[1].settings.Listen.Caller+"/safe/", http.NoBody)
	must.NoError(t, err)
	request.Host = "example"
	request.Header.Set("X-Request-Id", "a")
	_, err = http.DefaultClient.Do(request) //nolint:bodyclose // There is no response.
	must.Error(t, err)
	slots := d.vms[0].node.lifecycle.components.sidecar.slots
	eventually(t, func() bool { return slots.Load().Running == 0 })
}

// A planned stop must not abort any request, and must end well before the
// platform kills the process.
func TestPlannedStop(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "catalogue")
	for _, v := range d.vms {
		v.server.SetServiceTime(200 * time.Millisecond)
	}
	stopped := make(chan error, 1)
	var calls sync.WaitGroup
	results := make(chan callerResult, 100)
	for n := range 30 {
		calls.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			results <- d.call(d.vms[2], http.MethodPost, "/once/", fmt.Sprintf("a%d", n))
		})
	}
	started := time.Now()
	go func() { stopped <- d.vms[0].node.Stop(context.Background()) }()
	calls.Wait()
	must.NoError(t, <-stopped)
	must.Less(t, d.vms[0].settings.Bounds.Grace, time.Since(started))
	close(results)
	for r := range results {
		must.NoError(t, r.err)
		must.Eq(t, http.StatusOK, r.status)
	}
}

func TestPlannedStopFailsReadiness(t *testing.T) {
	d := newDeployment(t, "orders")
	v := d.vms[0]
	go func() { _ = v.node.Stop(context.Background()) }()
	eventually(t, func() bool {
		response, err := http.Get("http://" + v.settings.Listen.Ready + "/lacewingslip/readiness")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
}

// Callers that are not directed to other nodes keep sending to a stopping node.
// A request that it accepted shortly before it exits would be aborted, so the
// node must refuse it, even while it does not know yet who calls the route.
func TestPlannedStopUnderSteadyCalls(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	d.vms[0].server.SetServiceTime(500 * time.Millisecond)
	stopping := d.vms[1]
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.node.Stop(context.Background()) }()
	for n := 0; ; n++ {
		select {
		case err := <-stopped:
			must.NoError(t, err)
			return
		default:
		}
		r := d.call(stopping, http.MethodPost, "/once/", fmt.Sprintf("a%d", n))
		if d.runs(fmt.Sprintf("a%d", n)) > 0 {
			must.NoError(t, r.err)
			must.Eq(t, http.StatusOK, r.status)
		}
	}
}

// A request that can't finish before its deadline would waste a slot, and a
// caller that is refused at once can still react before its deadline.
func TestRequestThatCannotFinishIsNotStarted(t *testing.T) {
	d := newDeployment(t, "orders")
	v := d.vms[0]
	for n := range 50 {
		v.node.lifecycle.components.sidecar.runTimes.record("once", 5*time.Second)
		v.node.lifecycle.components.sidecar.runTimes.record("safe", time.Duration(n)*time.Millisecond)
	}
	must.Eq(t, http.StatusServiceUnavailable, d.call(v, http.MethodPost, "/once/", "a").status)
	must.Eq(t, 0, d.runs("a"))
	must.Eq(t, http.StatusOK, d.call(v, http.MethodGet, "/safe/", "b").status)
}

// A backend server that has lost power neither responds nor resets connections.
// It must get no more requests until it responds again.
func TestSilentServerGetsNoRequests(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "catalogue")
	silent := d.vms[0]
	silent.server.SetBehaviour(func(*http.Request) server.Behaviour { return server.Hang })
	var calls sync.WaitGroup
	for n := range 16 {
		calls.Go(func() { d.call(d.vms[2], http.MethodGet, "/safe/", fmt.Sprintf("a%d", n)) })
	}
	eventually(t, silent.node.lifecycle.components.sidecar.silence.isSilent)
	for n := range 10 {
		must.Eq(t, http.StatusOK, d.call(d.vms[2], http.MethodPost, "/once/", fmt.Sprintf("b%d", n)).status)
	}
	calls.Wait()
	eventually(t, func() bool { return !silent.node.lifecycle.components.sidecar.silence.isSilent() })
}
