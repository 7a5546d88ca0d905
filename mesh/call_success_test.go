package mesh

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/pressure"
	"github.com/lacewingslip/lacewingslip/quarantine"
	"github.com/lacewingslip/lacewingslip/timeline"
	"github.com/lacewingslip/lacewingslip/upstream"
)

// Replays a service that begins to reject half of the calls of this node's backend server.
// Guards against retries that are spent before the level takes effect, against refusing retries
// to requests of customers, against a level for routes that do not need the service, and against
// one that stays after the end.
func TestLevelOfRejectingService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, err := metrics.New()
		must.NoError(t, err)
		events := timeline.NewRecorder("n")
		b := newRetryBudget(budgetBounds, func() int { return 1 })
		c := newCallSuccess(b, m, events)
		// play makes 400 calls a second, four in each run, and returns how many may be retried.
		play := func(d time.Duration, rejects bool) (granted int) {
			for elapsed := time.Duration(0); elapsed < d; elapsed += tickInterval {
				for n := range 40 {
					req := &request{route: "slot-read", service: "sessions"}
					if n%4 == 0 {
						c.recordRun([]string{"slot-read", "other"})
					}
					b.recordRequest(req.service, 0)
					b.recordLeaf(req.service, true)
					if c.begin(time.Now(), req); req.retriesGranted {
						granted++
					}
					res := &result{outcome: call.Answered}
					if rejects && n%2 == 0 {
						res = notRunResult(call.ReasonShed, "")
					}
					c.recordAttempt(req, res)
				}
				time.Sleep(tickInterval)
				c.tick(time.Now())
			}
			return granted
		}
		must.Eq(t, 400*20, play(20*time.Second, false))
		must.Eq(t, 0, c.level("slot-read"))
		must.Less(t, 80, play(500*time.Millisecond, true))
		must.Greater(t, 0.5, c.level("slot-read"))
		must.Eq(t, 0, c.level("other"))
		direct := &request{route: "lookup", service: "sessions", fromCustomer: true}
		c.begin(time.Now(), direct)
		must.True(t, direct.retriesGranted)
		must.GreaterEq(t, 720, play(2*time.Second, false))
		must.Eq(t, 0, c.level("slot-read"))
		recorded := 0
		for _, e := range events.Events(timeline.Timestamp{}) {
			if e.ID == event.CallSuccessChanged {
				recorded++
			}
		}
		must.Between(t, 2, recorded, 8)
	})
}

// Plays a server that makes four calls in each run, while those that it calls begin to reject
// three of four. Guards against a node that does not notice, that does not tell the node at which
// customers' requests enter, and against a level that stays after the end.
func TestRejectionsReachIngress(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "catalogue")
	d.publish(once("once"), operator.Route{Name: "lists", Service: "catalogue", Timeout: time.Second, Attempts: 2})
	d.awaitConvergence()
	entry, caller := d.vms[0], d.vms[2]
	var ids, attempts atomic.Int64
	var rejecting, stopped atomic.Bool
	for _, v := range d.vms[:2] {
		v.server.SetBehaviour(func(*http.Request) server.Behaviour {
			if rejecting.Load() && attempts.Add(1)%4 != 0 {
				return server.Shed
			}
			return server.Answer
		})
	}
	caller.server.SetRunHook(func(r *http.Request) bool {
		left := operator.ParseRequest(r).TimeLeft
		var calls sync.WaitGroup
		for range 4 {
			calls.Go(func() { d.callWithin(caller, "/once/", fmt.Sprintf("call-%d", ids.Add(1)), left) })
		}
		calls.Wait()
		return true
	})
	var customers sync.WaitGroup
	defer customers.Wait()
	defer stopped.Store(true)
	// Fewer than the slots, so that these cause no level.
	for range 4 {
		customers.Go(func() {
			for !stopped.Load() {
				d.callWithin(entry, "/lists/", fmt.Sprintf("customer-%d", ids.Add(1)), time.Second)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	calling, entering := caller.node.lifecycle.components.sidecar, entry.node.lifecycle.components.sidecar
	levelAtEntry := func() float64 {
		return entering.routePressure.Level(time.Now(), pressure.Target{Route: "lists"})
	}
	eventually(t, func() bool { return slices.Contains(calling.links.Children("lists"), "once") })
	// The node only observes for a second.
	time.Sleep(1500 * time.Millisecond)
	must.Eq(t, 0, calling.calls.level("once"))
	rejecting.Store(true)
	eventually(t, func() bool { return calling.calls.level("once") > 0 })
	eventually(t, func() bool { return levelAtEntry() > 0 })
	must.Eq(t, 0, calling.calls.level("lists"))
	rejecting.Store(false)
	eventually(t, func() bool { return calling.calls.level("once") == 0 && levelAtEntry() < 0.01 })
}

// callWithin sends a request of a caller that waits for the time. The response does not matter.
func (d *deployment) callWithin(v *vm, path, id string, wait time.Duration) {
	request, err := operator.Request(v.settings.Listen.Caller, http.MethodPost, path, id, wait)
	if err != nil {
		d.t.Error(err)
		return
	}
	roundTrip(request)
}

// Guards against a level that is not reported to the callers of the routes that need the service,
// or is to others, and against runs that do not call a service and count for it.
func TestLevelIsReportedToCallers(t *testing.T) {
	m, err := metrics.New()
	must.NoError(t, err)
	events := timeline.NewRecorder("n")
	c := newCallSuccess(newRetryBudget(budgetBounds, func() int { return 1 }), m, events)
	s := newSidecar(nodeconfig.Config{}, upstream.New("files", "127.0.0.1:1"), newCustomerAdmission(nodeconfig.Config{}), m, nil, quarantine.New(), c, events)
	now := time.Now()
	for n := range 20 {
		deadline := now.Add(time.Duration(n) * time.Second)
		run := s.links.Start("doc-info", deadline)
		s.links.RecordCall("slot-read", deadline)
		s.links.RecordCall("slot-list", deadline)
		s.links.End(run)
		s.links.End(s.links.Start("doc-upload", deadline))
	}
	s.links.Tick(now)
	must.SliceContainsAll(t, s.links.Children("doc-info"), []string{"slot-read", "slot-list"})
	for _, route := range []string{"slot-read", "slot-list"} {
		c.begin(now, &request{route: route, service: "sessions"})
	}
	must.Eq(t, 0, s.pressureLevel("doc-info"))
	c.services["sessions"].level = 0.7
	must.Eq(t, 0.7, s.pressureLevel("doc-info"))
	must.Eq(t, 0, s.pressureLevel("doc-upload"))
	c.recordRun(s.links.Children("doc-info"))
	c.recordRun(s.links.Children("doc-info"))
	must.Eq(t, 2, c.services["sessions"].lastRun)
	c.recordRun(s.links.Children("doc-upload"))
	must.Eq(t, 2, c.services["sessions"].lastRun)
}

// Replays a backend server that rejects two of three requests itself. Guards against requests that
// count as runs with calls although the server has not run them.
func TestRejectedRequestsAreNoRuns(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	d.publish(once("once"), operator.Route{Name: "lists", Service: "catalogue", Timeout: time.Second, Attempts: 1})
	d.awaitConvergence()
	caller := d.vms[1]
	var run, rejected atomic.Int64
	caller.server.SetBehaviour(func(*http.Request) server.Behaviour {
		if (run.Load()+rejected.Load())%3 == 0 {
			run.Add(1)
			return server.Answer
		}
		rejected.Add(1)
		return server.Shed
	})
	sidecar := caller.node.lifecycle.components.sidecar
	for n := range 20 {
		deadline := time.Now().Add(time.Duration(n) * time.Hour)
		run := sidecar.links.Start("lists", deadline)
		sidecar.links.RecordCall("once", deadline)
		sidecar.links.End(run)
	}
	eventually(t, func() bool { return slices.Contains(sidecar.links.Children("lists"), "once") })
	for n := range 9 {
		d.callWithin(caller, "/lists/", fmt.Sprintf("list-%d", n), time.Second)
	}
	must.Positive(t, run.Load())
	must.Positive(t, rejected.Load())
	sidecar.calls.mu.Lock()
	defer sidecar.calls.mu.Unlock()
	// Each rejected request is recorded and corrected.
	must.Eq(t, uint64(run.Load()+2*rejected.Load()), sidecar.calls.runs)
}

// Guards against retries of calls that are not granted any, for which the budget would last.
func TestOnlyGrantedCallsAreRetried(t *testing.T) {
	for name, granted := range map[string]bool{"granted": true, "not granted": false} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "orders", "catalogue")
			var arrivals atomic.Int64
			for _, v := range d.vms {
				v.server.SetBehaviour(func(*http.Request) server.Behaviour {
					if arrivals.Add(1) <= 5 {
						return server.Shed
					}
					return server.Answer
				})
			}
			i := newSecondIngress(d.vms[2].node)
			i.budget = newRetryBudget(i.settings.Bounds, func() int { return 1 })
			state := i.desired.current()
			route, ok := state.Match(operator.Host, "/once/")
			must.True(t, ok)
			r, err := operator.Request("127.0.0.1:1", http.MethodPut, "/once/", "a", time.Second)
			must.NoError(t, err)
			r.RequestURI = "/once/"
			req := i.newRequest(r, route, time.Now())
			req.setFingerprint()
			req.retriesGranted = granted
			res := i.dispatch(t.Context(), req, route, state.Version())
			if granted {
				must.Eq(t, call.Answered, res.outcome)
				must.Eq(t, int64(6), arrivals.Load())
				return
			}
			must.Eq(t, call.NotRun, res.outcome)
			must.Eq(t, int64(1), arrivals.Load())
		})
	}
}
