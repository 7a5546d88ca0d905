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

func TestPath(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	orders, caller := d.places[0], d.places[1]
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
	must.Eq(t, http.StatusNotFound, d.call(d.places[0], http.MethodGet, "/nowhere/1", "a").status)
}

// A node that knows no desired state can't tell what is allowed, so it must not
// say 404.
func TestNoDesiredState(t *testing.T) {
	d := &deployment{t: t, log: keyedlog.New()}
	free, err := loopback.FreeAddresses("127.0.0.1", 1)
	must.NoError(t, err)
	d.logAddr = free[0]
	p := d.add("orders")
	r := d.call(p, http.MethodGet, "/safe/1", "a")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
	response, err := http.Get("http://" + p.site.Listen.Ready + "/lacewingslip/readiness")
	must.NoError(t, err)
	defer response.Body.Close()
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
}

// What a caller is told must be true of the runs, whatever the backend server
// does with the request.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour  server.Behaviour
		path       string
		status     int
		runs, most int
	}{
		"answered":              {server.Answer, "/once/", http.StatusOK, 1, 1},
		"answer lost":           {server.LoseAnswer, "/once/", http.StatusBadGateway, 1, 1},
		"answer cut":            {server.CutAnswer, "/once/", http.StatusBadGateway, 1, 1},
		"answer unsigned":       {server.Unsigned, "/once/", http.StatusBadGateway, 1, 1},
		"answer without length": {server.Unframed, "/once/", http.StatusOK, 1, 1},
		"failed inside":         {server.Fail, "/once/", http.StatusBadGateway, 1, 1},
		"never answered":        {server.Hang, "/once/", http.StatusGatewayTimeout, 1, 1},
		"other's answer":        {server.OtherAnswer, "/once/", http.StatusGatewayTimeout, 1, 1},
		"not run":               {server.Shed, "/once/", http.StatusServiceUnavailable, 0, 0},
		"idempotent, lost":      {server.LoseAnswer, "/safe/", http.StatusBadGateway, 1, 2},
		"idempotent, cut":       {server.CutAnswer, "/safe/", http.StatusBadGateway, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, "orders", "orders", "catalogue")
			for _, p := range d.places {
				p.server.Behave(func(*http.Request) server.Behaviour { return c.behaviour })
			}
			r := d.call(d.places[2], http.MethodPut, c.path, "a")
			must.NoError(t, r.err)
			must.Eq(t, c.status, r.status)
			must.Between(t, c.runs, d.runs("a"), c.most)
			if c.status != http.StatusOK {
				must.Eq(t, "", r.header.Get("X-Server-Signature"))
			}
		})
	}
}

// A request that was lost once and then declined everywhere may have run, so
// its caller must not be told that it did not.
func TestLostThenDeclined(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "catalogue")
	var arrivals atomic.Int64
	for _, p := range d.places {
		p.server.Behave(func(*http.Request) server.Behaviour {
			if arrivals.Add(1) == 1 {
				return server.LoseAnswer
			}
			return server.Shed
		})
	}
	r := d.call(d.places[2], http.MethodGet, "/safe/", "a")
	must.Eq(t, 1, d.runs("a"))
	must.Eq(t, int64(2), arrivals.Load())
	must.Eq(t, http.StatusBadGateway, r.status)
}

// A request that a backend server declined goes to another one, also if it may
// run once only.
func TestDeclinedRequestRunsElsewhere(t *testing.T) {
	d := newDeployment(t, "orders", "orders")
	for n := range 10 {
		d.places[0].server.Behave(func(*http.Request) server.Behaviour { return server.Shed })
		id := fmt.Sprintf("a%d", n)
		if r := d.call(d.places[0], http.MethodPost, "/once/", id); r.status == http.StatusOK {
			must.Eq(t, 1, d.places[1].server.Runs(id))
			return
		}
	}
	t.Fatal("no request went to the other backend server")
}

// A backend server that gets more than it can queue never answers again.
func TestSlotsHold(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	d.places[0].server.Work(50 * time.Millisecond)
	var calls sync.WaitGroup
	for n := range 40 {
		calls.Go(func() { d.call(d.places[1], http.MethodGet, "/safe/", fmt.Sprintf("a%d", n)) })
	}
	calls.Wait()
	must.Between(t, 1, d.places[0].server.Most(), 8)
}

// After its leaving has been acknowledged, a backend server must get nothing
// new, also from nodes that have not heard of it.
func TestDrainingServerGetsNothing(t *testing.T) {
	for name, state := range map[string]string{"draining": "draining", "signed off": ""} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "orders", "catalogue")
			leaving := d.places[0]
			d.log.Set(keyedlog.Troubles{Down: true})
			d.announce(leaving, state)
			for n := range 20 {
				id := fmt.Sprintf("a%d", n)
				must.Eq(t, http.StatusOK, d.call(d.places[2], http.MethodPost, "/once/", id).status)
				must.Eq(t, 0, leaving.server.Runs(id))
			}
		})
	}
}

// A request for a service must not run at a server of another one that has got
// the address.
func TestReusedAddress(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	moved := d.places[0]
	d.log.Set(keyedlog.Troubles{Down: true})
	kill(moved.node)
	moved.site.Service = "dispatch"
	d.start(moved)
	moved.born++
	d.announce(moved, "ready")
	r := d.call(d.places[1], http.MethodPost, "/once/", "a")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, 0, d.runs("a"))
}

func TestNewVersionIsInForceEverywhere(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	d.publish(safe("added"))
	d.settle()
	for _, p := range d.places {
		must.Eq(t, http.StatusOK, d.call(p, http.MethodGet, "/added/", "a").status)
		must.Eq(t, http.StatusNotFound, d.call(p, http.MethodGet, "/once/", "b").status)
	}
	// An older version that arrives late changes nothing.
	d.places[0].node.life.parts.desired.take([]byte(`{"Version":1,"Resources":[]}`), "test")
	must.Eq(t, http.StatusOK, d.call(d.places[0], http.MethodGet, "/added/", "c").status)
}

// A node that the log turns away hears of a new version from answers.
func TestVersionTravelsBetweenNodes(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	caller := d.places[1]
	d.log.Set(keyedlog.Troubles{Down: true})
	d.version++
	d.places[0].node.life.parts.desired.take(d.state(safe("safe"), safe("added")), "test")
	eventually(t, func() bool {
		d.call(caller, http.MethodGet, "/safe/", "a")
		return int(caller.node.life.parts.desired.version()) == d.version
	})
}

// A node that was killed and can't read the log must hear of the others and of
// the desired state from them.
func TestRestartWithoutTheLog(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	p := d.places[1]
	d.log.Set(keyedlog.Troubles{Down: true})
	kill(p.node)
	// The other node notices the loss when it sends.
	for _, lost := range d.places[0].node.life.parts.balancer.others() {
		d.places[0].node.life.parts.balancer.lose(lost, "test")
	}
	d.start(p)
	d.announce(p, "ready")
	eventually(t, func() bool { return d.call(p, http.MethodGet, "/safe/", "a").status == http.StatusOK })
}

// A restarted node serves again without waiting for its backend server's next
// announcement, unless that server is leaving.
func TestRestartBesideRunningServer(t *testing.T) {
	for name, leaving := range map[string]bool{"running": false, "leaving": true} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "catalogue")
			p := d.places[0]
			if leaving {
				p.server.Drain()
				d.announce(p, "draining")
			}
			kill(p.node)
			d.start(p)
			if !leaving {
				eventually(t, func() bool { return d.call(d.places[1], http.MethodGet, "/safe/", "a").status == http.StatusOK })
				return
			}
			eventually(t, func() bool { return p.node.life.parts.desired.version() > 0 })
			time.Sleep(300 * time.Millisecond)
			must.Eq(t, http.StatusServiceUnavailable, d.call(d.places[1], http.MethodPost, "/once/", "b").status)
		})
	}
}

// A caller that has gone must not keep a backend server at work.
func TestGoneCallerEndsTheWork(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	d.places[0].server.Behave(func(*http.Request) server.Behaviour { return server.Hang })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.places[1].site.Listen.Caller+"/safe/", http.NoBody)
	must.NoError(t, err)
	request.Host = "example"
	request.Header.Set("X-Request-Id", "a")
	_, err = http.DefaultClient.Do(request) //nolint:bodyclose // There is no answer.
	must.Error(t, err)
	slots := d.places[0].node.life.parts.sidecar.slots
	eventually(t, func() bool { return slots.Load().Running == 0 })
}

// A planned stop must cut off no request, and end well before the platform
// kills the process.
func TestPlannedStop(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "catalogue")
	for _, p := range d.places {
		p.server.Work(200 * time.Millisecond)
	}
	stopped := make(chan error, 1)
	var calls sync.WaitGroup
	results := make(chan result, 100)
	for n := range 30 {
		calls.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			results <- d.call(d.places[2], http.MethodPost, "/once/", fmt.Sprintf("a%d", n))
		})
	}
	started := time.Now()
	go func() { stopped <- d.places[0].node.Stop(context.Background()) }()
	calls.Wait()
	must.NoError(t, <-stopped)
	must.Less(t, d.places[0].site.Bounds.Grace, time.Since(started))
	close(results)
	for r := range results {
		must.NoError(t, r.err)
		must.Eq(t, http.StatusOK, r.status)
	}
}

func TestPlannedStopSaysNotReady(t *testing.T) {
	d := newDeployment(t, "orders")
	p := d.places[0]
	go func() { _ = p.node.Stop(context.Background()) }()
	eventually(t, func() bool {
		response, err := http.Get("http://" + p.site.Listen.Ready + "/lacewingslip/readiness")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
}

// Callers that are not sent elsewhere go on sending to a stopping node. What it
// takes shortly before its end would be cut off, so it must say that it does not
// run it, also where it does not know yet who calls the route.
func TestPlannedStopUnderSteadyCalls(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	d.places[0].server.Work(500 * time.Millisecond)
	stopping := d.places[1]
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

// A request that can't end in time takes a slot for nothing, and a caller that
// hears so at once can do something else.
func TestHopelessRequestIsNotStarted(t *testing.T) {
	d := newDeployment(t, "orders")
	p := d.places[0]
	for n := range 50 {
		p.node.life.parts.sidecar.runTimes.ended("once", 5*time.Second)
		p.node.life.parts.sidecar.runTimes.ended("safe", time.Duration(n)*time.Millisecond)
	}
	must.Eq(t, http.StatusServiceUnavailable, d.call(p, http.MethodPost, "/once/", "a").status)
	must.Eq(t, 0, d.runs("a"))
	must.Eq(t, http.StatusOK, d.call(p, http.MethodGet, "/safe/", "b").status)
}

// A backend server that has lost power neither answers nor resets connections.
// Requests must not go on being lost to it, and must come back when it does.
func TestSilentServerGetsNothing(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "catalogue")
	dark := d.places[0]
	dark.server.Behave(func(*http.Request) server.Behaviour { return server.Hang })
	var calls sync.WaitGroup
	for n := range 16 {
		calls.Go(func() { d.call(d.places[2], http.MethodGet, "/safe/", fmt.Sprintf("a%d", n)) })
	}
	eventually(t, dark.node.life.parts.sidecar.silence.is)
	for n := range 10 {
		must.Eq(t, http.StatusOK, d.call(d.places[2], http.MethodPost, "/once/", fmt.Sprintf("b%d", n)).status)
	}
	calls.Wait()
	eventually(t, func() bool { return !dark.node.life.parts.sidecar.silence.is() })
}
