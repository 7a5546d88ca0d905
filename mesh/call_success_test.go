package mesh

import (
	"net/http"
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
	"github.com/lacewingslip/lacewingslip/timeline"
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
