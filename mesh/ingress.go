package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/quarantine"
)

const (
	// responseGrace is how much longer this node waits than the nodes and backend
	// servers that it sends requests to, so that the result that they report
	// arrives before this node times out.
	responseGrace = 30 * time.Millisecond
	// A caller that is refused for another reason than pressure is told to retry after
	// minRetryAfter plus a random time of up to retryAfterSpread.
	minRetryAfter    = 400 * time.Millisecond
	retryAfterSpread = 600 * time.Millisecond
	// maxCrashesPerRequest is the number of backend servers that may crash under a request
	// before it is not sent again. Most requests that a crash has ended did not cause it.
	maxCrashesPerRequest = 1
)

// ingress accepts requests of callers on this VM, which include its backend
// server, and sends each to a node that runs it.
type ingress struct {
	settings  nodeconfig.Config
	desired   *desiredState
	splitter  *desired.Splitter
	balancer  *balancer
	sidecar   *sidecar
	exchange  *exchange
	budget    *retryBudget
	events    eventRecorder
	metrics   *metrics.Metrics
	lifecycle *lifecycle
	admission *customerAdmission
	access    *accessControl
	// quarantine holds the requests that crash backend servers.
	quarantine *quarantine.List
	caps       *caps
	// responseTimes has the time from the arrival of a request to the end of its last
	// attempt.
	responseTimes *longestTimes
	// shareEventAt is when an event about a workspace beyond its share was last recorded.
	shareEventAt atomic.Pointer[time.Time]
}

// ServeHTTP handles one request of a caller.
func (i *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	state, route, ok := i.match(w, r)
	if !ok {
		return
	}
	access := i.access.check(state, route, r.Header)
	if access.refusal != nil {
		i.refuseAccess(w, r, route, access)
		return
	}
	req := i.newRequest(r, route, receivedAt)
	access.apply(req, route)
	credit := &heldCredit{caps: i.caps}
	defer credit.giveBack()
	if res := i.admit(r.Context(), req, access, credit); res != nil {
		// Credit may expire while the rest of the body arrives.
		credit.giveBack()
		i.refuseUnread(w, r, req, res, receivedAt, state.Version())
		return
	}
	if !i.accept(w, r, req, state) {
		return
	}
	if res := i.confirmAccess(r, req, state, route, access, credit); res != nil {
		i.respond(w, req, res, receivedAt, state.Version())
		return
	}
	if verdict := i.quarantine.Verdict(receivedAt, req.fingerprint); verdict.Level == quarantine.Blocked {
		i.respond(w, req, quarantinedResult(verdict), receivedAt, state.Version())
		return
	}
	i.budget.recordRequest(req.service, req.repeatShare)
	i.sidecar.calls.begin(time.Now(), req)
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline.Add(responseGrace))
	defer cancel()
	req.answerBy = i.lifecycle.stopDeadline()
	res := i.dispatchWithCredit(ctx, req, route, state.Version(), credit)
	if res.outcome != call.NotRun {
		i.responseTimes.record(time.Now(), req.route, time.Since(receivedAt))
	}
	i.respond(w, req, res, receivedAt, state.Version())
}

// match finds the route of a request. ok is false if there is none and the error response has
// been written.
func (i *ingress) match(w http.ResponseWriter, r *http.Request) (state *desired.State, route *desired.Route, ok bool) {
	state = i.desired.current()
	if state == nil {
		i.reject(w, r, notRunResult(call.ReasonNoUpstream, "no desired state has been received yet"))
		return nil, nil, false
	}
	route, ok = state.Match(r.Host, requestPath(r))
	switch {
	case ok:
		return state, route, true
	case !i.access.mayDeny(state):
		i.reject(w, r, unprovenResult())
	default:
		i.events.Record(event.CallNotRun, attrRequest(platform.RequestID(r.Header)), attrHop(metrics.Ingress),
			attrReason(call.ReasonUnknownRoute), slog.String("host", r.Host), slog.Int64("version", state.Version()))
		i.setCommonHeaders(w, platform.RequestID(r.Header))
		w.WriteHeader(http.StatusNotFound)
	}
	return nil, nil, false
}

// admit decides whether a request is accepted before its body is read, and returns the refusal
// if not. The cap comes before the pressure, so that callers over their cap use up nothing of
// what others are admitted for.
func (i *ingress) admit(ctx context.Context, req *request, access access, credit *heldCredit) (refusal *result) {
	now := time.Now()
	i.sidecar.links.RecordCall(req.route, req.callerDeadline)
	origin := i.admission.origin(req)
	if origin == calltree.Servers {
		i.sidecar.recordCall(now)
	}
	if !i.lifecycle.accepts(now, i.lateRequest(req, origin)) {
		return notRunResult(call.ReasonDraining, "the node is stopping")
	}
	if origin != calltree.Customers {
		req.repeatShare = i.sidecar.repeats.share()
	}
	if refusal = awaitAnswerRoom(ctx, req.deadline); refusal != nil {
		return refusal
	}
	if refusal = credit.take(ctx, access); refusal != nil {
		return refusal
	}
	decision := i.admission.admit(req)
	i.recordShares(now, req, decision)
	req.targetRegion, req.rank, req.fromCustomer = decision.targetRegion, decision.rank, origin == calltree.Customers
	if !decision.admitted {
		i.budget.recordRequest(req.service, req.repeatShare)
		refusal = notRunResult(call.ReasonOverloaded, fmt.Sprintf("a service that the request needs is overloaded: pressure level %.2f", decision.level))
		refusal.retryAfter = i.admission.planReturn(time.Now(), req, i.responseTimes.ofRoute(now, req.route))
		i.metrics.ReturnPlanned(refusal.retryAfter)
		return refusal
	}
	return nil
}

// dispatchWithCredit dispatches a request and gives its credit back if it has not run.
func (i *ingress) dispatchWithCredit(ctx context.Context, req *request, route *desired.Route, version int64, credit *heldCredit) (res *result) {
	// If dispatch panics, the request may have run.
	held := *credit
	credit.spend()
	res = i.dispatch(ctx, req, route, version)
	if res.outcome == call.NotRun {
		held.giveBack()
	}
	return res
}

// lateRequest describes a request for the decision whether a stopping node accepts it.
func (i *ingress) lateRequest(req *request, origin calltree.Origin) lateRequest {
	return lateRequest{
		mayBeCall:    origin != calltree.Customers && i.sidecar.links.MayBeCall(req.callerDeadline),
		responseTime: i.responseTimes.ofRoute(time.Now(), req.route),
	}
}

// newRequest returns a request whose body has not been read yet.
func (i *ingress) newRequest(r *http.Request, route *desired.Route, receivedAt time.Time) (req *request) {
	callerTimeout := callerTimeout(r.Header)
	timeout := callerTimeout
	if route.Timeout() > 0 {
		timeout = min(timeout, route.Timeout())
	}
	req = &request{
		id: platform.RequestID(r.Header), method: r.Method, host: r.Host, target: r.RequestURI,
		header: r.Header, service: i.splitter.Next(route), caller: i.settings.Service,
		route: route.Name(), kind: route.Kind(), priority: route.Priority(), deadline: receivedAt.Add(timeout), callerDeadline: receivedAt.Add(callerTimeout),
	}
	return req
}

// refuseUnread refuses a request whose body has not been read. The response is sent before a
// body whose length is known and moderate is read, so that the connection can be reused.
func (i *ingress) refuseUnread(w http.ResponseWriter, r *http.Request, req *request, res *result, receivedAt time.Time, version int64) {
	if r.ContentLength == 0 {
		i.respond(w, req, res, receivedAt, version)
		return
	}
	controller := http.NewResponseController(w)
	// An error means that the writer does not support deadlines, as in tests. Slow senders are
	// not limited then.
	_ = controller.SetReadDeadline(req.deadline.Add(responseGrace))
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBytes || r.Header.Get("Expect") != "" || controller.EnableFullDuplex() != nil {
		// net/http reads the body, or a part of it, before it writes the response.
		i.respond(w, req, res, receivedAt, version)
		return
	}
	i.respond(w, req, res, receivedAt, version)
	// An error of Flush means that the caller has disconnected. If the rest of the body does not
	// arrive, the connection is closed: net/http would take what follows for a request.
	_ = controller.Flush()
	if _, err := io.CopyN(io.Discard, r.Body, r.ContentLength); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = controller.SetReadDeadline(time.Time{})
}

// accept reads the body of a request. ok is false if the request was refused and the error
// response has been written.
func (i *ingress) accept(w http.ResponseWriter, r *http.Request, req *request, state *desired.State) (ok bool) {
	var err error
	if r.ContentLength != 0 {
		controller := http.NewResponseController(w)
		// An error means that the writer does not support deadlines, as in tests.
		// Slow senders are not limited then.
		_ = controller.SetReadDeadline(req.deadline.Add(responseGrace))
		req.body, req.stream, err = readBody(r, state.Limits().BodyBytes)
		if err == nil && req.stream == nil {
			// Otherwise the deadline remains, because net/http reads the rest of the body
			// before it writes the response.
			_ = controller.SetReadDeadline(time.Time{})
		}
	}
	switch {
	case isTooLarge(err):
		i.setCommonHeaders(w, req.id)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return false
	case errors.Is(err, errBodyRefused):
		i.reject(w, r, bodyRefusal())
		return false
	case err != nil:
		i.reject(w, r, notRunResult(call.ReasonBadRequest, "the request body is incomplete: "+err.Error()))
		return false
	}
	req.setFingerprint()
	return true
}

// dispatch sends a request to one node after another until a backend server
// responds. After an attempt that reached a backend server, the request is sent
// again only if the server did not run it or the request is idempotent, and if
// both the route and the retry budget allow another attempt. While the budget can't carry
// all calls of the backend server, calls are retried only in some of the time. The route limits
// the number of backend servers, not the attempts that a server did not run.
func (i *ingress) dispatch(ctx context.Context, req *request, route *desired.Route, version int64) (res *result) {
	selector := &nodeSelector{balancer: i.balancer, admission: i.admission, request: req, maxBackends: route.Attempts()}
	isolated := i.quarantine.Verdict(time.Now(), req.fingerprint).Level != quarantine.Free
	if isolated {
		selector.isolate()
	}
	// crashes counts the attempts that ended with a crash of the backend server.
	crashes := 0
	// uncertain is the result of the last attempt that may have run. It takes
	// precedence over a later refusal, because the refusal says nothing about the
	// earlier attempt.
	var uncertain *result
	defer func() {
		if uncertain != nil && res.outcome == call.NotRun {
			res = uncertain
		}
	}()
	res = notRunResult(call.ReasonNoUpstream, "no reachable backend server of the service accepts requests")
	for {
		p, ok := selector.next()
		if !ok && selector.attempts == 1 && i.balancer.isTooLate(req) {
			return notRunResult(call.ReasonOverloaded, "no backend server to which the request may be sent can answer it before its deadline")
		}
		if !ok {
			return res
		}
		epoch := i.balancer.epochOf(p)
		req.evidence = evidenceOn(i.quarantine, req.fingerprint)
		res = i.send(ctx, p, req, version)
		i.exchange.quarantine.mergeEvidenceOn(req.fingerprint, res.evidence)
		i.balancer.recordResult(req, p.node, res)
		i.admission.recordResult(req, p.region, res)
		i.sidecar.calls.recordAttempt(req, res)
		if res.report.present {
			i.budget.recordLeaf(req.service, res.report.leaf)
		}
		switch {
		case res.outcome == call.Answered:
			i.exchange.quarantine.suspectAnswered(req)
			return res
		case hop.Expired(ctx), req.stream != nil:
			return res
		case res.reason == call.ReasonQuarantined:
			return res
		case res.noConnection:
			// There is none for another node either.
			return res
		case res.outcome == call.NotRun && res.reason != call.ReasonShed:
			i.updatePeer(p, epoch, res)
			selector.recordRefusal(p, res)
			continue
		}
		selector.recordBackend(p, res.outcome == call.NotRun)
		if res.outcome == call.Unknown {
			uncertain = res
		}
		if res.reason == call.ReasonCrashed {
			crashes++
		}
		if isolated || crashes > maxCrashesPerRequest || i.quarantine.Verdict(time.Now(), req.fingerprint).Level != quarantine.Free {
			return res
		}
		if res.outcome == call.Unknown && req.kind != desired.Idempotent || !selector.hasNext() || !req.retriesGranted || !i.budget.trySpend(req.service) {
			return res
		}
		req.repeatShare = 1
		i.metrics.Retried(metrics.Ingress, req.service)
		i.events.Record(event.CallRetried, attrRequest(req.id), attrRoute(req.route), attrPeer(p.node),
			attrReason(res.reason), attrDetail(res.detail), attrCallerDeadline(req.callerDeadline), attrTimeLeft(req))
	}
}

// send makes one attempt at a node, which may be this one.
func (i *ingress) send(ctx context.Context, p *peer, req *request, version int64) (res *result) {
	if p.node == i.settings.Node {
		return i.sidecar.run(ctx, req)
	}
	sentAt := i.access.proofs.clock()
	res, peerVersion := i.balancer.send(ctx, p, req, version)
	i.access.proofs.recordResponse(sentAt, 0, res.proofAge, peerVersion)
	i.exchange.fetchIfNewer(p, peerVersion)
	return res
}

// updatePeer updates the state of a peer from the reason for its refusal. epoch belongs to
// its record at the time when the request was sent.
func (i *ingress) updatePeer(p *peer, epoch int64, res *result) {
	if res.reason == call.ReasonDraining {
		i.balancer.markLeaving(p, epoch)
	}
	if res.reason == call.ReasonUnreachable {
		i.balancer.markUnreachable(p, res.detail)
	}
}

// respond writes the result of a request to the caller.
func (i *ingress) respond(w http.ResponseWriter, req *request, res *result, receivedAt time.Time, version int64) {
	defer res.close()
	elapsed := time.Since(receivedAt)
	i.metrics.CallEnded(metrics.Call{
		Hop: metrics.Ingress, Service: req.service, Importance: importanceOf(req.priority), Outcome: res.outcome, Reason: res.reason,
	}, elapsed)
	if res.outcome == call.Answered && platform.StatusMeansNotRun(res.status) {
		// Callers read this status as a guarantee that the request was not run, but
		// the backend server has not stated so.
		res = unknownResult(call.ReasonLost, "the backend server responded with a status that callers read as not run")
	}
	i.events.Record(resultEvent(res), attrRequest(req.id), attrRoute(req.route), attrHop(metrics.Ingress), attrCallerDeadline(req.callerDeadline),
		attrService(req.service), attrPeer(res.node), attrReason(res.reason), attrDetail(res.detail),
		slog.Int("status", res.status), attrMs("tookMs", elapsed), attrTimeLeft(req), slog.Int64("version", version))
	i.setCommonHeaders(w, req.id)
	req.announceUnreadBody(w)
	if err := i.write(w, res); err != nil {
		i.events.Record(event.AnswerCut, attrRequest(req.id), attrRoute(req.route), slog.String("error", err.Error()))
		panic(http.ErrAbortHandler)
	}
	req.closeBody(w)
}

// write writes the status, headers and body of the response. An error means that the
// response is incomplete.
func (i *ingress) write(w http.ResponseWriter, res *result) (err error) {
	if res.outcome != call.Answered {
		i.writeError(w, res)
		return nil
	}
	for name, values := range res.header {
		w.Header()[name] = values
	}
	return writeBody(w, res.status, res)
}

// writeError writes the error response for a request that no backend server has
// responded to.
func (i *ingress) writeError(w http.ResponseWriter, res *result) {
	w.Header().Set("Content-Length", "0")
	switch {
	case res.reason == call.ReasonUnauthorized:
		w.WriteHeader(http.StatusUnauthorized)
	case res.outcome == call.NotRun && res.reason == call.ReasonOverCap:
		platform.SetRetryAfter(w.Header(), res.retryAfter)
		w.WriteHeader(http.StatusTooManyRequests)
	case res.outcome == call.NotRun && res.retryAfter > 0:
		platform.SetRetryAfter(w.Header(), res.retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	case res.outcome == call.NotRun:
		platform.SetRetryAfter(w.Header(), minRetryAfter+time.Duration(rand.Int64N(int64(retryAfterSpread))))
		w.WriteHeader(http.StatusServiceUnavailable)
	case res.reason == call.ReasonDeadline:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// reject writes the error response for a request that is refused before it has
// been read completely.
func (i *ingress) reject(w http.ResponseWriter, r *http.Request, res *result) {
	id := platform.RequestID(r.Header)
	i.events.Record(event.CallNotRun, attrRequest(id), attrHop(metrics.Ingress), attrReason(res.reason), attrDetail(res.detail))
	i.setCommonHeaders(w, id)
	i.writeError(w, res)
}

// setCommonHeaders sets the headers of all responses to callers.
func (i *ingress) setCommonHeaders(w http.ResponseWriter, id string) {
	if id != "" {
		platform.SetRequestID(w.Header(), id)
	}
	if i.lifecycle.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}
