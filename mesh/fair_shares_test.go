package mesh

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/pressure"
)

// overload makes an admission refuse half of the customer requests of a route.
func overload(a *customerAdmission, req *request) {
	for range 200 {
		a.recordResult(req, a.ownRegion, &result{report: loadReport{level: 0.5, origin: calltree.Customers, present: true}})
	}
}

// Guards against a workspace that presses beyond its share at the expense of the others at the
// same node, against a total that differs from the level, and against requests without a
// workspace that are decided in another way than before.
func TestWorkspacesShareWhatIsAdmitted(t *testing.T) {
	for name, c := range map[string]struct {
		quiet, pressing string
		// quietAdmitted is the part of the quiet requests that is admitted.
		quietAdmitted float64
	}{
		"workspaces":         {"quiet", "pressing", 1},
		"without workspaces": {"", "", 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newCustomerAdmission(nodeconfig.Config{Region: "addis"})
				quiet := &request{route: "once", priority: 1, workspace: c.quiet, target: "/once/1"}
				pressing := &request{route: "once", priority: 1, workspace: c.pressing, target: "/once/2"}
				before := pressure.NewShedder()
				target := pressure.Target{Route: "once", Region: "addis"}
				admitted, different := make(map[*request]int), 0
				const rounds = 1000
				for n := range rounds {
					overload(a, quiet)
					for range 200 {
						before.RecordLevel(time.Now(), target, 0.5)
					}
					time.Sleep(100 * time.Millisecond)
					for _, req := range []*request{quiet, pressing, pressing, pressing, pressing} {
						decision := a.admit(req)
						if decision.admitted && n >= rounds/10 {
							admitted[req]++
						}
						if decision.admitted != before.Admit(time.Now(), target, 0, 1) {
							different++
						}
					}
				}
				must.Eq(t, c.quiet == "", different == 0)
				const counted = rounds - rounds/10
				must.InDelta(t, c.quietAdmitted, float64(admitted[quiet])/counted, 0.1)
				must.InDelta(t, 0.5, float64(admitted[quiet]+admitted[pressing])/(5*counted), 0.02)
			})
		})
	}
}

// Guards against a time to return at which the caller has given up, whatever its time limit and
// however long requests of the route have taken.
func TestTimeToReturnFitsTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newCustomerAdmission(nodeconfig.Config{})
		for _, limit := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 10 * time.Second} {
			for _, responseTime := range []time.Duration{0, 300 * time.Millisecond, 20 * time.Second} {
				for range 100 {
					after := a.planReturn(time.Now(), &request{route: "once", callerDeadline: time.Now().Add(limit)}, responseTime)
					must.Between(t, 100*time.Millisecond, after, time.Second)
					must.LessEq(t, limit-min(responseTime, limit/3), after)
				}
			}
		}
	})
}

// Guards against a caller that has waited as it was told and is refused before new ones of its
// workspace.
func TestCallerThatHasWaitedGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newCustomerAdmission(nodeconfig.Config{Region: "addis"})
		newRequest := func(n int) *request {
			return &request{route: "once", priority: 1, workspace: "w", target: "/once/" + strconv.Itoa(n), callerDeadline: time.Now().Add(2 * time.Second)}
		}
		returned, admitted, refused, again := 0, 0, 0, make(map[int]time.Time)
		for n := range 2000 {
			overload(a, newRequest(n))
			time.Sleep(50 * time.Millisecond)
			for earlier, at := range again {
				if time.Now().Before(at) {
					continue
				}
				delete(again, earlier)
				returned++
				if a.admit(newRequest(earlier)).admitted {
					admitted++
				}
			}
			// Every other request is of a caller that does not return.
			req := newRequest(n)
			if a.admit(req).admitted {
				continue
			}
			refused++
			after := a.planReturn(time.Now(), req, 0)
			if n%4 == 0 {
				again[n] = time.Now().Add(after)
			}
		}
		must.Greater(t, 100, returned)
		must.Greater(t, 0.9, float64(admitted)/float64(returned))
	})
}

// recordedEvents counts events.
type recordedEvents map[event.ID]int

func (e recordedEvents) Record(id event.ID, _ ...slog.Attr) { e[id]++ }

// Guards against a refusal under pressure without a time to return, or with one that is of no
// use, in deployments with and without workspaces, and against an event for each refusal.
func TestRefusalUnderPressureStatesWhenToReturn(t *testing.T) {
	for name, workspaces := range map[string][]operator.Workspace{"without workspaces": nil, "with workspaces": {north}} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders")
			d.publishWorkspaces(workspaces...)
			d.awaitConvergence()
			i, events, begin := newSecondIngress(d.vms[0].node), make(recordedEvents), time.Now()
			i.events = events
			route, _ := i.desired.current().Match(operator.Host, "/once/a")
			req := &request{route: route.Name(), priority: route.Priority()}
			refused := 0
			for n := range 50 {
				for range 200 {
					for _, region := range append(i.admission.regions, i.settings.Region) {
						i.admission.recordResult(req, region, &result{report: loadReport{level: 1, origin: calltree.Customers, present: true}})
					}
				}
				request, err := operator.Request("unused", http.MethodGet, "/once/a", strconv.Itoa(n), 900*time.Millisecond)
				must.NoError(t, err)
				request.RequestURI = "/once/a"
				operator.AddKey(request, "k1")
				recorder := httptest.NewRecorder()
				i.ServeHTTP(recorder, request)
				if recorder.Code != http.StatusServiceUnavailable {
					continue
				}
				refused++
				must.Between(t, 100*time.Millisecond, platform.RetryAfter(recorder.Header()), 800*time.Millisecond)
			}
			must.Greater(t, 30, refused)
			must.Eq(t, len(workspaces) > 0, events[event.ShareExceeded] > 0)
			must.LessEq(t, 1+int(time.Since(begin)/shareEventInterval), events[event.ShareExceeded])
		})
	}
}

// Guards against weights that do not follow the caps, or that shut out workspaces without one.
func TestWeightFollowsTheCap(t *testing.T) {
	large, small := desired.NewWorkspace("large", desired.WithCap(30, 1)), desired.NewWorkspace("small", desired.WithCap(10, 1))
	uncapped := desired.NewWorkspace("uncapped")
	state := desired.New(1, nil, nil, desired.Limits{}, desired.WithWorkspaces(large, small, uncapped))
	must.Eq(t, 1.5, state.WeightOf(large))
	must.Eq(t, 0.5, state.WeightOf(small))
	must.Eq(t, 1.0, state.WeightOf(uncapped))
	must.Eq(t, 1.0, desired.New(1, nil, nil, desired.Limits{}, desired.WithWorkspaces(uncapped)).WeightOf(uncapped))
}
