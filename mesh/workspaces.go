package mesh

import (
	"net/http"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/platform"
)

// accessControl decides for which workspace a request of a caller runs, if for any.
type accessControl struct{}

func newAccessControl() *accessControl { return &accessControl{} }

// access is the decision on the key of a request.
type access struct {
	// workspace is the one that has the key, or nil if the request is anonymous.
	workspace *desired.Workspace
	// refusal is the result of a request that must not run, or nil.
	refusal *result
}

// check decides on a request of the route by its key. A request of an anonymous route runs
// without a workspace if its key is unknown.
func (c *accessControl) check(state *desired.State, route *desired.Route, h http.Header) (a access) {
	if !state.HasWorkspaces() {
		return access{}
	}
	workspace, known := state.WorkspaceOf(platform.APIKey(h))
	if !known && !route.Anonymous() {
		return access{refusal: notRunResult(call.ReasonUnauthorized, "the request has no key of a workspace")}
	}
	return access{workspace: workspace}
}

// apply sets the workspace of a request, and its priority if it has one.
func (a access) apply(req *request) {
	if a.workspace == nil {
		return
	}
	req.workspace = a.workspace.Name()
	if priority, ok := a.workspace.Priority(); ok {
		req.priority, req.hasOwnPriority = priority, true
	}
}

// recheckAccess decides again once the whole request has been read: its key may have been
// withdrawn meanwhile. before is the decision by the earlier state.
func (i *ingress) recheckAccess(r *http.Request, earlier *desired.State, route *desired.Route, before access) access {
	state := i.desired.current()
	if state == earlier && r.ContentLength == 0 {
		return before
	}
	if current, ok := state.Match(r.Host, requestPath(r)); ok {
		route = current
	}
	return i.access.check(state, route, r.Header)
}

// refuseAccess writes the response to a request that must not run.
func (i *ingress) refuseAccess(w http.ResponseWriter, r *http.Request, route *desired.Route, a access) {
	i.metrics.CallEnded(metrics.Call{
		Hop: metrics.Ingress, Service: route.Targets()[0].Service, Importance: importanceOf(route.Priority()), Outcome: call.NotRun, Reason: a.refusal.reason,
	}, 0)
	i.reject(w, r, a.refusal)
}
