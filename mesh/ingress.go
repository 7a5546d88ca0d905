package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/config"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/site"
)

const (
	// firstRank is that of admitted customer requests of the highest priority, and
	// admittedRank that of all others and of the calls that they lead to. Calls do
	// not show what they are made for.
	firstRank    = 0
	admittedRank = 1
	// answerGrace is how much longer this node waits than the nodes and backend
	// servers further on, so that their own end of the request arrives first.
	answerGrace = 30 * time.Millisecond
	// minRetryAfter and retryAfterSpread bound the time after which a refused
	// caller is told to come back.
	minRetryAfter    = 400 * time.Millisecond
	retryAfterSpread = 600 * time.Millisecond
)

// ingress takes requests of callers on this VM, the backend server among them,
// and sends each to a node that runs it.
type ingress struct {
	place    site.Site
	desired  *desired
	splitter *config.Splitter
	balancer *balancer
	sidecar  *sidecar
	exchange *exchange
	budget   *retryBudget
	events   recorder
	metrics  *metrics.Metrics
	life     *life
	entrance *entrance
}

// ServeHTTP carries one request.
func (i *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	state := i.desired.current()
	if state == nil {
		i.refuse(w, r, notRun(call.ReasonNoUpstream, "no desired state is known yet"))
		return
	}
	route, ok := state.Match(r.Host, pathOf(r))
	if !ok {
		i.events.Record(event.CallNotRun, attrRequest(platform.RequestID(r.Header)), attrHop(metrics.Ingress),
			attrReason(call.ReasonUnknownRoute), slog.String("host", r.Host), slog.Int64("version", state.Version()))
		i.head(w, platform.RequestID(r.Header))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	out, ok := i.accept(w, r, state, route, arrived)
	if !ok {
		return
	}
	i.sidecar.links.Child(route.Name(), out.expires)
	origin := i.entrance.origin(route)
	if origin == calltree.Servers {
		i.sidecar.madeCall(arrived)
	}
	if i.life.refuses(origin) {
		i.deliver(w, out, notRun(call.ReasonDraining, "the node is stopping"), arrived, state.Version())
		return
	}
	admitted := i.entrance.admit(route)
	out.region, out.fromCustomer = admitted.region, origin == calltree.Customers
	if origin != calltree.Unknown {
		out.rank = admittedRank
		if admitted.first {
			out.rank = firstRank
		}
	}
	if !admitted.ok {
		end := notRun(call.ReasonOverloaded, fmt.Sprintf("a service that the request needs is short: level %.2f", admitted.level))
		i.deliver(w, out, end, arrived, state.Version())
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), out.deadline.Add(answerGrace))
	defer cancel()
	end := i.carry(ctx, out, route, state.Version())
	i.deliver(w, out, end, arrived, state.Version())
}

// accept reads a request and makes the attempt for it. ok is false if it has
// been answered.
func (i *ingress) accept(w http.ResponseWriter, r *http.Request, state *config.State, route *config.Route, arrived time.Time) (out *request, ok bool) {
	wait := timeLeft(r.Header)
	if route.Timeout() > 0 {
		wait = min(wait, route.Timeout())
	}
	out = &request{
		id: platform.RequestID(r.Header), method: r.Method, host: r.Host, target: r.RequestURI,
		header: relayHeader(r.Header), service: i.splitter.Next(route), caller: i.place.Service,
		route: route.Name(), kind: route.Kind(), priority: route.Priority(), rank: route.Priority(), deadline: arrived.Add(wait), expires: arrived.Add(timeLeft(r.Header)),
	}
	out.header.Del("Content-Length")
	var err error
	if r.ContentLength != 0 {
		controller := http.NewResponseController(w)
		// Without deadlines, as in tests, a slow sender is not bounded.
		_ = controller.SetReadDeadline(out.deadline)
		out.body, out.stream, err = readBody(w, r, state.Limits().BodyBytes)
		_ = controller.SetReadDeadline(time.Time{})
	}
	switch {
	case isTooLarge(err):
		i.head(w, out.id)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return nil, false
	case err != nil:
		i.refuse(w, r, notRun(call.ReasonBadRequest, "the request body broke off: "+err.Error()))
		return nil, false
	}
	return out, true
}

// carry sends a request to nodes until one runs it, and again if that is safe
// and worth it.
func (i *ingress) carry(ctx context.Context, r *request, route *config.Route, version int64) (end *reply) {
	i.budget.arrived(r.service)
	o := &offers{balancer: i.balancer, entrance: i.entrance, request: r}
	attempts := 0
	// uncertain is the end of the last attempt that may have run. A refusal that
	// comes after it holds for its own attempt only.
	var uncertain *reply
	defer func() {
		if uncertain != nil && end.outcome == call.NotRun {
			end = uncertain
		}
	}()
	end = notRun(call.ReasonNoUpstream, "no node has a backend server of the service that takes work")
	for {
		p, ok := o.next()
		if !ok {
			return end
		}
		end = i.offer(ctx, p, r, version)
		i.balancer.done(r, p.node, end)
		i.entrance.heard(r, p.region, end)
		if end.report.known {
			i.budget.heard(r.service, end.report.leaf)
		}
		switch {
		case end.outcome == call.Answered:
			return end
		case ctx.Err() != nil, r.stream != nil:
			return end
		case end.outcome == call.NotRun && end.reason != call.ReasonShed:
			i.learn(p, end)
			o.declined = append(o.declined, p.node)
			continue
		}
		attempts++
		o.ran = append(o.ran, p.node)
		if end.outcome == call.Unknown {
			uncertain = end
		}
		if end.outcome == call.Unknown && r.kind != config.Idempotent || attempts >= route.Attempts() || !i.budget.take(r.service) {
			return end
		}
		i.metrics.Retried(metrics.Ingress, r.service)
		i.events.Record(event.CallRetried, attrRequest(r.id), attrRoute(r.route), attrPeer(p.node),
			attrReason(end.reason), attrDetail(end.detail), attrExpires(r.expires), attrLeft(r))
	}
}

// offer sends a request to a node, or runs it here.
func (i *ingress) offer(ctx context.Context, p *peer, r *request, version int64) (end *reply) {
	if p.node == i.place.Node {
		return i.sidecar.run(ctx, r)
	}
	end, heard := i.balancer.send(ctx, p, r, version)
	i.exchange.heard(p, heard)
	return end
}

// learn takes in what a refusal says about its node.
func (i *ingress) learn(p *peer, end *reply) {
	if end.reason == call.ReasonDraining {
		i.balancer.refuses(p)
	}
	if end.reason == call.ReasonUnreachable {
		i.balancer.lose(p, end.detail)
	}
}

// deliver passes the end of a request on to the caller.
func (i *ingress) deliver(w http.ResponseWriter, r *request, end *reply, arrived time.Time, version int64) {
	defer end.close()
	took := time.Since(arrived)
	i.metrics.CallEnded(metrics.Call{
		Hop: metrics.Ingress, Service: r.service, Importance: importanceOf(r.priority), Outcome: end.outcome, Reason: end.reason,
	}, took)
	if end.outcome == call.Answered && platform.IsPromise(end.status) {
		// Callers would take the status as a promise that nothing ran, which the
		// backend server has not made.
		end = unknown(call.ReasonLost, "the backend server answered a status that promises too much")
	}
	i.events.Record(endEvent(end), attrRequest(r.id), attrRoute(r.route), attrHop(metrics.Ingress), attrExpires(r.expires),
		attrService(r.service), attrPeer(end.upstream), attrReason(end.reason), attrDetail(end.detail),
		slog.Int("status", end.status), attrMs("tookMs", took), attrLeft(r), slog.Int64("version", version))
	i.head(w, r.id)
	if end.outcome != call.Answered {
		i.fail(w, end)
		return
	}
	for name, values := range end.header {
		w.Header()[name] = values
	}
	if err := writeBody(w, end.status, end); err != nil {
		i.events.Record(event.AnswerCut, attrRequest(r.id), attrRoute(r.route), slog.String("error", err.Error()))
		panic(http.ErrAbortHandler)
	}
}

// fail answers a request that has no answer of a backend server.
func (i *ingress) fail(w http.ResponseWriter, end *reply) {
	switch {
	case end.outcome == call.NotRun:
		platform.SetRetryAfter(w.Header(), minRetryAfter+time.Duration(rand.Int64N(int64(retryAfterSpread))))
		w.WriteHeader(http.StatusServiceUnavailable)
	case end.reason == call.ReasonDeadline:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// refuse answers a request that was not accepted.
func (i *ingress) refuse(w http.ResponseWriter, r *http.Request, end *reply) {
	id := platform.RequestID(r.Header)
	i.events.Record(event.CallNotRun, attrRequest(id), attrHop(metrics.Ingress), attrReason(end.reason), attrDetail(end.detail))
	i.head(w, id)
	i.fail(w, end)
}

// head sets the headers that all answers have.
func (i *ingress) head(w http.ResponseWriter, id string) {
	if id != "" {
		platform.SetRequestID(w.Header(), id)
	}
	if i.life.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}
