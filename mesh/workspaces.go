package mesh

import (
	"net/http"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/platform"
)

// accessControl decides for which workspace a request of a caller runs, if for any.
type accessControl struct{ proofs *proofs }

func newAccessControl(p *proofs) *accessControl { return &accessControl{proofs: p} }

// access is the decision on the key of a request.
type access struct {
	// workspace is the one that has the key, or nil if the request is anonymous.
	workspace *desired.Workspace
	// weight is the weight of the workspace when capacity is divided.
	weight float64
	// refusal is the result of a request that must not run, or nil.
	refusal *result
}

// check decides on a request of the route by its key. A request of an anonymous route runs
// without a workspace if its key is unknown or may have been withdrawn.
func (c *accessControl) check(state *desired.State, route *desired.Route, h http.Header) (a access) {
	if !state.HasWorkspaces() {
		return access{}
	}
	workspace, known := state.WorkspaceOf(platform.APIKey(h))
	switch {
	case known && c.proofs.serves():
		return access{workspace: workspace, weight: state.WeightOf(workspace)}
	case route.Anonymous():
		return access{}
	case known || !c.mayDeny(state):
		return access{refusal: unprovenResult()}
	default:
		return access{refusal: notRunResult(call.ReasonUnauthorized, "the request has no key of a workspace")}
	}
}

// mayDeny reports whether what the state does not allow is denied for good. Otherwise, a
// newer version that this node does not know yet may allow it.
func (c *accessControl) mayDeny(state *desired.State) bool {
	return !state.HasWorkspaces() || c.proofs.knowsVersions()
}

// unprovenResult returns the result of a request on which this node can't decide.
func unprovenResult() *result {
	return notRunResult(call.ReasonUnproven, "the desired state in force may not be the newest")
}

// workspaceName returns the name of the workspace, or "" if there is none.
func (a access) workspaceName() string {
	if a.workspace == nil {
		return ""
	}
	return a.workspace.Name()
}

// apply sets the workspace of a request, and the priority of the workspace if it has one, or
// else that of the route. It replaces what an earlier decision has set.
func (a access) apply(req *request, route *desired.Route) {
	req.workspace, req.weight, req.priority, req.hasOwnPriority = a.workspaceName(), a.weight, route.Priority(), false
	if a.workspace == nil {
		return
	}
	if priority, ok := a.workspace.Priority(); ok {
		req.priority, req.hasOwnPriority = priority, true
	}
}

// confirmAccess decides on the key again once the whole request has been read, by the version
// that is in force then. If the key belongs to another workspace now, its cap counts. refusal is
// nil if the request may run.
func (i *ingress) confirmAccess(r *http.Request, req *request, earlier *desired.State, route *desired.Route, before access, credit *heldCredit) (refusal *result) {
	for {
		current := i.recheckAccess(r, earlier, route, before)
		if current.refusal != nil {
			return current.refusal
		}
		if current.workspaceName() == before.workspaceName() {
			current.apply(req, route)
			return nil
		}
		credit.giveBack()
		if refusal = credit.take(r.Context(), current); refusal != nil {
			return refusal
		}
		before = current
	}
}

// recheckAccess decides again once the whole request has been read: its key may have been
// withdrawn meanwhile. before is the decision by the earlier state. The decision is by the
// state in force after it, because a proof holds for the version in force.
func (i *ingress) recheckAccess(r *http.Request, earlier *desired.State, route *desired.Route, before access) access {
	for checked := r.ContentLength == 0; ; checked = true {
		state := i.desired.current()
		if state == earlier && checked {
			return before
		}
		if current, ok := state.Match(r.Host, requestPath(r)); ok {
			route = current
		}
		before, earlier = i.access.check(state, route, r.Header), state
		if before.refusal != nil {
			return before
		}
	}
}

// refuseAccess writes the response to a request that must not run and whose body has not been
// read.
func (i *ingress) refuseAccess(w http.ResponseWriter, r *http.Request, route *desired.Route, a access) {
	i.metrics.CallEnded(metrics.Call{
		Hop: metrics.Ingress, Service: route.Targets()[0].Service, Importance: importanceOf(route.Priority()), Outcome: call.NotRun, Reason: a.refusal.reason,
	}, 0)
	i.reject(w, r, a.refusal)
}
