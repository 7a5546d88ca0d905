package mesh

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/pressure"
)

// Plays an overload of the service at the bottom of three hops that has ended, and no further
// request. Guards against a level that ingress keeps, because the node in between asks for
// nothing while it is asked.
func TestEndReachesIngressWithoutRequests(t *testing.T) {
	d := newDeployment(t, "fulfilment", "catalogue", "orders")
	d.publish(once("once"), operator.Route{Name: "lists", Service: "catalogue", Timeout: time.Second, Attempts: 2})
	d.awaitConvergence()
	entry, caller := d.vms[0], d.vms[1]
	for n := range 120 {
		d.callWithin(entry, "/lists/", fmt.Sprintf("list-%d", n), time.Second)
		d.callWithin(caller, "/once/", fmt.Sprintf("once-%d", n), time.Second)
	}
	links := caller.node.lifecycle.components.sidecar.links
	for n := range 120 {
		deadline := time.Now().Add(time.Duration(n+1) * time.Hour)
		run := links.Start("lists", deadline)
		links.RecordCall("once", deadline)
		links.End(run)
	}
	eventually(t, func() bool {
		return slices.Contains(links.Children("lists"), "once") && links.Knows("lists") && d.vms[2].node.lifecycle.components.sidecar.links.Knows("once")
	})
	atEntry, atCaller := admissionOf(entry), admissionOf(caller)
	atCaller.recordAnswer(time.Now(), pressure.Target{Route: "once"}, caller.settings.Region, 1, 0)
	// The answers count for a second.
	for _, route := range []string{"lists", "once"} {
		target := pressure.Target{Route: route}
		for _, a := range []*customerAdmission{atEntry, atCaller} {
			eventually(t, func() bool { return !isKnown(a, target) })
		}
	}
	atEntry.recordAnswer(time.Now(), pressure.Target{Route: "lists"}, entry.settings.Region, 1, 0)
	// By the decay alone it would take 14 s.
	eventually(t, func() bool { return len(atEntry.overloaded(time.Now())) == 0 })
	must.True(t, isKnown(atEntry, pressure.Target{Route: "lists"}))
	must.True(t, isKnown(atCaller, pressure.Target{Route: "once"}))
}

func admissionOf(v *vm) *customerAdmission { return v.node.lifecycle.components.levels.admission }

func isKnown(a *customerAdmission, target pressure.Target) bool {
	a.sources.mu.Lock()
	defer a.sources.mu.Unlock()
	return a.sources.table.Known(time.Now(), target)
}

// Plays a node of each kind that may be asked. Guards against a level that falls without being
// known, against a smaller share that is admitted without answers, against a node of an earlier
// version that is asked again at once, and against messages while all levels are 0.
func TestQuestionsToOtherNodes(t *testing.T) {
	for name, c := range map[string]struct {
		response func(w http.ResponseWriter)
		informed bool
		earlier  bool
	}{
		"answers":         {func(w http.ResponseWriter) { answerLevel(w, 1, true) }, true, false},
		"knows nothing":   {func(w http.ResponseWriter) { answerLevel(w, 0, false) }, false, false},
		"out of range":    {func(w http.ResponseWriter) { answerLevel(w, -1, true) }, false, false},
		"earlier version": {func(w http.ResponseWriter) { http.NotFound(w, nil) }, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "catalogue")
			components := &d.vms[0].node.lifecycle.components
			member := fleet.Member{Node: "other", Epoch: 1, Region: "addis", Zone: "dire-a", Service: "orders", Slots: 8, TakesWork: true}
			var asked atomic.Int64
			var askedAt [2]atomic.Pointer[time.Time]
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != levelsPath {
					_ = json.NewEncoder(w).Encode(exchangeMessage{Self: member})
					return
				}
				if n := asked.Add(1); n <= 2 {
					now := time.Now()
					askedAt[n-1].Store(&now)
				}
				c.response(w)
			}))
			t.Cleanup(server.Close)
			member.Address = server.Listener.Addr().String()
			components.exchange.directory.Merge(member)
			a, req := admissionOf(d.vms[0]), &request{route: "once", service: "orders"}
			res := &result{report: loadReport{present: true, origin: calltree.Customers}}
			a.recordResult(req, "addis", res)
			time.Sleep(3 * tickInterval)
			must.Zero(t, asked.Load())
			target := pressure.Target{Route: "once", Region: "addis"}
			// Nobody serves the other route, so that its level decays as without questions.
			other := pressure.Target{Route: "other", Region: "addis"}
			for range 200 {
				res.report.level = 1
				a.recordResult(&request{route: "other", service: "none"}, "addis", res)
				a.recordResult(req, "addis", res)
			}
			eventually(t, func() bool { return asked.Load() > 1 })
			if !c.informed {
				now := time.Now()
				must.GreaterEq(t, 0.1, a.regionPressure.Share(now, target, 0, 1))
				must.InDelta(t, a.regionPressure.Level(now, other), a.regionPressure.Level(now, target), 0.05)
				if c.earlier {
					must.GreaterEq(t, time.Second, askedAt[1].Load().Sub(*askedAt[0].Load()))
				}
				return
			}
			eventually(t, func() bool { return a.regionPressure.Share(time.Now(), target, 0, 1) == 0.02 })
		})
	}
}

func answerLevel(w http.ResponseWriter, level float64, known bool) {
	_ = json.NewEncoder(w).Encode(levelsResponse{Node: "other", Levels: map[string]routeLevel{"once": {level, known}}})
}

// Guards against a node that does not understand later nodes, and one that states a level of 0 for
// a route of which it knows nothing, or that depends on the route for which it is asked.
func TestLevelsEndpoint(t *testing.T) {
	d := newDeployment(t, "orders")
	v := d.vms[0]
	d.publish(once("once"))
	d.awaitConvergence()
	for n := range 120 {
		d.callWithin(v, "/once/", fmt.Sprintf("once-%d", n), time.Second)
	}
	eventually(t, func() bool { return v.node.lifecycle.components.sidecar.links.Knows("once") })
	// The services of both routes call each other.
	sidecar, until := v.node.lifecycle.components.sidecar, time.Now().Add(time.Hour)
	for range 120 {
		run := sidecar.links.Start("list", until)
		sidecar.links.RecordCall("entry", until)
		sidecar.links.End(run)
	}
	eventually(t, func() bool { return slices.Contains(sidecar.links.Children("list"), "entry") })
	sidecar.levelSources.recordAnswer(time.Now(), pressure.Target{Route: "entry"}, "addis", true, time.Hour)
	for name, c := range map[string]struct {
		body, want string
		status     int
	}{
		"known":           {`{"routes":{"once":0.5},"later":true}`, `{"node":%q,"levels":{"once":{"level":0,"known":true}}}`, http.StatusOK},
		"nothing known":   {`{"routes":{"other":0.5}}`, `{"node":%q,"levels":{"other":{"level":0,"known":false}}}`, http.StatusOK},
		"first of a path": {`{"routes":{"list":0.5}}`, `{"node":%q,"levels":{"list":{"level":0,"known":true}}}`, http.StatusOK},
		"loop":            {`{"routes":{"list":0.5},"path":["entry"]}`, `{"node":%q,"levels":{"list":{"level":0,"known":false}}}`, http.StatusOK},
		"not a message":   {`[]`, "", http.StatusBadRequest},
		"too many routes": {tooManyRoutes(t), "", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := http.Post("http://"+v.settings.Listen.Peer+levelsPath, "application/json", bytes.NewBufferString(c.body))
			must.NoError(t, err)
			defer r.Body.Close()
			must.Eq(t, c.status, r.StatusCode)
			if c.want == "" {
				return
			}
			var body bytes.Buffer
			_, err = body.ReadFrom(r.Body)
			must.NoError(t, err)
			must.Eq(t, fmt.Sprintf(c.want, v.settings.Node), body.String())
		})
	}
}

// Guards against a node that states the level of a service whose requests it does not get any more,
// because it or its backend server is leaving.
func TestLeavingNodeKnowsNoLevel(t *testing.T) {
	for name, leave := range map[string]func(d *deployment, v *vm){
		"node":           func(_ *deployment, v *vm) { v.node.lifecycle.components.sidecar.stopping.Store(true) },
		"backend server": func(d *deployment, v *vm) { d.announce(v, "draining") },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders")
			q := d.vms[0].node.lifecycle.components.levels
			for range 120 {
				q.sidecar.links.End(q.sidecar.links.Start("once", time.Now()))
			}
			question := levelsRequest{Routes: map[string]float64{"once": 0.5}}
			eventually(t, func() bool { return q.awaitLevels(t.Context(), question)["once"].Known })
			leave(d, d.vms[0])
			must.Eq(t, map[string]routeLevel{"once": {}}, q.awaitLevels(t.Context(), question))
		})
	}
}

// Guards against held questions that take the connections which requests of other nodes need.
func TestHeldQuestionsLeaveConnections(t *testing.T) {
	for name, c := range map[string]struct {
		descriptors int
		held        int64
		status      int
	}{
		// Of 200 descriptors for connections, 150 are for clients, and 37 of these for other nodes.
		"few descriptors, few held":  {400, 17, http.StatusBadRequest},
		"few descriptors, many held": {400, 18, http.StatusServiceUnavailable},
		"many descriptors":           {1 << 20, 255, http.StatusBadRequest},
		"unlimited":                  {0, 256, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			q := newLevelQuestions(nodeconfig.Config{Descriptors: c.descriptors}, nil, nil, nil, nil)
			q.held.Store(c.held)
			w := httptest.NewRecorder()
			q.ServeHTTP(w, httptest.NewRequest(http.MethodPost, levelsPath, bytes.NewBufferString("[]")))
			must.Eq(t, c.status, w.Code)
			must.Eq(t, c.held, q.held.Load())
		})
	}
}

func tooManyRoutes(t *testing.T) string {
	routes := make(map[string]float64)
	for n := range maxLevelRoutes + 1 {
		routes[fmt.Sprintf("route-%d", n)] = 1
	}
	body, err := json.Marshal(levelsRequest{Routes: routes})
	must.NoError(t, err)
	return string(body)
}
