package mesh

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/slot"
)

// publishWorkspaces writes a new version of the desired state with workspaces. Its routes are
// once, and open for anonymous requests.
func (d *deployment) publishWorkspaces(workspaces ...operator.Workspace) {
	d.version++
	open := safe("open")
	open.Anonymous = true
	d.log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, operator.EncodeDesiredStateWith(
		d.version, operator.Limits{}, []operator.Route{once("once"), open}, []string{"orders"}, operator.WithWorkspaces(workspaces...)))
}

// callWithKey sends a request of a caller that claims to be of the workspace intruder.
func (d *deployment) callWithKey(v *vm, path, id string, keys ...string) (r callerResult) {
	request, err := operator.Request(v.settings.Listen.Caller, http.MethodGet, path, id, 2*time.Second)
	must.NoError(d.t, err)
	operator.ClaimWorkspace(request.Header, "intruder")
	for _, key := range keys {
		operator.AddKey(request, key)
	}
	return roundTrip(request)
}

// received returns the headers that the backend server that ran the request received.
func (d *deployment) received(id string) (h http.Header) {
	for _, v := range d.vms {
		if v.server.Runs(id) > 0 {
			h = v.server.Headers(id)
		}
	}
	return h
}

// Guards against requests that run without a known key, with the key of the caller, or with
// the workspace that the caller claims, beside the server of the caller's node and at others.
func TestRequestsRunForTheWorkspaceOfTheirKey(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	for name, c := range map[string]struct {
		path       string
		workspaces []operator.Workspace
		keys       []string
		status     int
		workspace  []string
	}{
		"known key":                 {"/once/", []operator.Workspace{{Name: "north", Keys: []string{"k1"}}}, []string{"k1"}, 200, []string{"north"}},
		"name to be escaped":        {"/once/", []operator.Workspace{{Name: "a b=c w=d", Keys: []string{"k1"}}}, []string{"k1"}, 200, []string{"a b=c w=d"}},
		"unknown key":               {"/once/", []operator.Workspace{{Name: "north", Keys: []string{"k1"}}}, []string{"k2"}, 401, nil},
		"withdrawn workspace":       {"/once/", []operator.Workspace{{Name: "south", Keys: []string{"k3"}}}, []string{"k1"}, 401, nil},
		"no key":                    {"/once/", []operator.Workspace{{Name: "north", Keys: []string{"k1"}}}, nil, 401, nil},
		"two keys":                  {"/once/", []operator.Workspace{{Name: "north", Keys: []string{"k1", "k2"}}}, []string{"k1", "k2"}, 401, nil},
		"anonymous route":           {"/open/", []operator.Workspace{{Name: "north", Keys: []string{"k1"}}}, nil, 200, nil},
		"anonymous, unknown key":    {"/open/", []operator.Workspace{{Name: "north", Keys: []string{"k1"}}}, []string{"k2"}, 200, nil},
		"anonymous, known key":      {"/open/", []operator.Workspace{{Name: "north", Keys: []string{"k1"}}}, []string{"k1"}, 200, []string{"north"}},
		"deployment without any":    {"/once/", nil, []string{"k1"}, 200, nil},
		"unknown route, known key":  {"/none/", []operator.Workspace{{Name: "north", Keys: []string{"k1"}}}, []string{"k1"}, 404, nil},
		"unknown route without key": {"/none/", []operator.Workspace{{Name: "north", Keys: []string{"k1"}}}, nil, 404, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d.publishWorkspaces(c.workspaces...)
			d.awaitConvergence()
			for n, v := range d.vms {
				id := name + strconv.Itoa(n)
				must.Eq(t, c.status, d.callWithKey(v, c.path, id, c.keys...).status)
				if c.status != http.StatusOK {
					must.Zero(t, d.runs(id))
					continue
				}
				must.Eq(t, c.workspace, operator.ReceivedWorkspace(d.received(id)))
				must.SliceEmpty(t, operator.ReceivedKeys(d.received(id)))
			}
		})
	}
}

// Guards against workspaces of a high priority that are refused or wait like those of a low
// one because they call the same route.
func TestPriorityOfWorkspaceReplacesThatOfRoute(t *testing.T) {
	admission := newCustomerAdmission(nodeconfig.Config{Region: "addis"})
	route := desired.NewRoute("once", "example", "/", []desired.Target{{Service: "orders", Weight: 1}}, desired.WithPriority(1))
	newRequest := func(opts ...desired.WorkspaceOption) *request {
		req := &request{route: route.Name(), priority: route.Priority()}
		access{workspace: desired.NewWorkspace("w", opts...)}.apply(req, route)
		return req
	}
	high, middle, low := newRequest(desired.WithWorkspacePriority(0)), newRequest(), newRequest(desired.WithWorkspacePriority(2))
	overloaded := &result{report: loadReport{Load: slot.Load{}, level: 1, origin: calltree.Customers, present: true}}
	for range 200 {
		for _, req := range []*request{high, middle, low} {
			admission.admit(req)
			admission.recordResult(req, "addis", overloaded)
		}
	}
	admitted := make(map[*request]int)
	for range 100 {
		for _, req := range []*request{high, middle, low} {
			if admission.admit(req).admitted {
				admitted[req]++
			}
		}
	}
	must.Eq(t, 100, admitted[high])
	must.Eq(t, 100, admitted[middle])
	must.Less(t, 20, admitted[low])
	must.Eq(t, preferredRank, admission.admit(high).rank)
	must.Eq(t, defaultRank, admission.admit(low).rank)
}

// Guards against a priority that takes part in admission although no request has it any
// more, so that the refusals meant for it have no effect.
func TestUnusedPriorityIsForgotten(t *testing.T) {
	admission, now := newCustomerAdmission(nodeconfig.Config{}), time.Now()
	admission.usePriority(now, 3)
	admission.usePriority(now, 1)
	must.Eq(t, []int{1, 3}, admission.priorities)
	admission.usePriority(now.Add(priorityMemory), 1)
	must.Eq(t, []int{1}, admission.priorities)
}

// Guards against a request that runs for a key that was withdrawn while its body arrived, and
// against one that is refused because its key is no longer at hand once the body has been read.
func TestKeyIsCheckedAgainAfterTheBody(t *testing.T) {
	for name, c := range map[string]struct {
		next   operator.Workspace
		status int
	}{
		"kept":      {north, 200},
		"withdrawn": {south, 401},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders")
			d.publishWorkspaces(north)
			d.awaitConvergence()
			body, rest := io.Pipe()
			request, err := operator.Request(d.vms[0].settings.Listen.Caller, http.MethodPost, "/once/", name, 2*time.Second)
			must.NoError(t, err)
			operator.AddKey(request, "k1")
			request.Body = body
			go func() {
				_, _ = io.WriteString(rest, "first")
				d.publishWorkspaces(c.next)
				d.awaitConvergence()
				rest.Close()
			}()
			must.Eq(t, c.status, roundTrip(request).status)
			must.Eq(t, c.status == 200, d.runs(name) == 1)
		})
	}
}

// Guards against a request of an anonymous route that runs for the workspace of a key that was
// withdrawn while its body arrived.
func TestWithdrawnKeyOfAnonymousRouteNamesNoWorkspace(t *testing.T) {
	d := newDeployment(t, "orders")
	d.publishWorkspaces(north)
	d.awaitConvergence()
	body, rest := io.Pipe()
	request, err := operator.Request(d.vms[0].settings.Listen.Caller, http.MethodPost, "/open/", "r", 2*time.Second)
	must.NoError(t, err)
	operator.AddKey(request, "k1")
	request.Body = body
	go func() {
		_, _ = io.WriteString(rest, "first")
		d.publishWorkspaces(south)
		d.awaitConvergence()
		rest.Close()
	}()
	must.Eq(t, http.StatusOK, roundTrip(request).status)
	must.SliceEmpty(t, operator.ReceivedWorkspace(d.received("r")))
}
