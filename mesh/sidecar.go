package mesh

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/pressure"
	"github.com/lacewingslip/lacewingslip/quarantine"
	"github.com/lacewingslip/lacewingslip/slot"
	"github.com/lacewingslip/lacewingslip/upstream"
)

const (
	// usableSlotShare is the share of the slots that is used concurrently at a backend
	// server that does not state its pace. Servers slow down when they are nearly full: from
	// 95% on, each request takes 1.3 times as long.
	usableSlotShare = 0.94
	// minStartTime is the minimum time left until the deadline for a request to be
	// started, whatever its route.
	minStartTime = 5 * time.Millisecond
	// reportedLevelStep is the minimum change of the pressure level that is
	// recorded as an event.
	reportedLevelStep = 0.1
)

// sidecar forwards requests to the backend server beside this node. All
// requests to that server pass through it, so its count of running requests is
// exact.
type sidecar struct {
	settings nodeconfig.Config
	tracker  *upstream.Tracker
	slots    *slot.Queue
	capacity *serverCapacity
	backend  *instancePool
	events   eventRecorder
	metrics  *metrics.Metrics
	gauge    *pressure.Gauge
	// links and callers infer, from the requests that pass this node, which routes
	// call each other and whether customers call a route.
	links   *calltree.Links
	callers *calltree.Callers
	// silence detects that the backend server has stopped responding. Requests are
	// refused while it is silent.
	silence silenceDetector
	// healthPath returns the path of the server's health endpoint, or "" if it has
	// none or no desired state is known.
	healthPath func() string
	// runTimes is used to refuse requests that can't finish before their deadline.
	runTimes *runTimes
	// longestRuns has the times that requests have run at the backend server.
	longestRuns *longestTimes
	// routePressure holds the pressure levels of the routes that the backend server
	// calls.
	routePressure *pressure.Shedder
	// levelSources has how recently these levels have been stated.
	levelSources *levelSources
	// calls decides how many calls of the backend server can succeed.
	calls *callSuccess
	// repeats estimates which calls of the backend server belong to repeated runs.
	repeats repeatTracker
	// lastCallAt is when the backend server last made a call as far as is known, in
	// Unix nanoseconds.
	lastCallAt atomic.Int64
	// reportedLevel is the pressure level in the last event. Only tick uses it.
	reportedLevel float64
	// capacityMetrics is what the backend server was last expected to handle. Only the
	// periodic work uses it.
	capacityMetrics metrics.Capacity
	// quarantine holds the requests that crash backend servers, and crashes detects when
	// the server has crashed.
	quarantine *quarantine.List
	crashes    *crashDetector
	// serverKnown is false until this process knows what an earlier process of the node knew
	// of the backend server.
	serverKnown atomic.Bool
	// stopping makes run refuse all requests. It is set during a planned stop.
	stopping atomic.Bool
}

func newSidecar(settings nodeconfig.Config, tracker *upstream.Tracker, admission *customerAdmission, m *metrics.Metrics, d *desiredState, list *quarantine.List, calls *callSuccess, events eventRecorder) *sidecar {
	s := &sidecar{
		healthPath: func() string {
			if state := d.current(); state != nil {
				service, _ := state.Service(settings.Service)
				return service.HealthPath
			}
			return ""
		},
		metrics: m, runTimes: newRunTimes(), longestRuns: newLongestTimes(),
		gauge: &pressure.Gauge{}, links: calltree.NewLinks(), callers: calltree.NewCallers(), routePressure: admission.routePressure, levelSources: admission.sources,
		settings: settings, tracker: tracker, slots: slot.New(), events: events,
		backend: newInstancePool(settings.Backend), quarantine: list, calls: calls,
	}
	s.capacity = newServerCapacity(s.slots, s.runTimes, events)
	s.crashes = newCrashDetector(list, events, s.checkListening, tracker.Server)
	// Whether the server makes calls is unknown at the start, so it does not count
	// as a leaf until leafIdleTime has passed.
	s.recordCall(time.Now())
	return s
}

// recordCall records that the backend server made a call.
func (s *sidecar) recordCall(now time.Time) { s.lastCallAt.Store(now.UnixNano()) }

// isLeaf reports whether the backend server makes no calls to other services.
func (s *sidecar) isLeaf(now time.Time) bool {
	return now.Sub(time.Unix(0, s.lastCallAt.Load())) > leafIdleTime
}

// usableSlots returns how many requests may run concurrently at a server with
// the number of slots.
func usableSlots(slots int) int { return max(int(usableSlotShare*float64(slots)), 1) }

// applyServerState resizes or closes the slot queue to match the state of the
// backend server.
func (s *sidecar) applyServerState(server upstream.Server) {
	if server.TakesWork() {
		s.slots.Resize(s.capacity.serverChanged(server))
		return
	}
	s.slots.Close()
}

// run runs a request at the backend server and returns the result. The outcome
// NotRun guarantees that the backend server has not run the request.
func (s *sidecar) run(ctx context.Context, req *request) *result {
	started := time.Now()
	s.callers.RecordCall(req.route, req.caller)
	res := s.runInSlot(ctx, req)
	res.node = s.settings.Node
	s.reportEvidence(req, res)
	res.report = loadReport{
		Load: s.slots.Load(), present: true, level: s.pressureLevel(req.route), origin: s.callers.Origin(req.route),
		leaf: s.isLeaf(time.Now()),
	}
	res.report.run, res.report.paced = s.capacity.expectedRun(req.route)
	s.metrics.CallEnded(metrics.Call{
		Hop: metrics.Sidecar, Service: req.service, Importance: importanceOf(req.rank), Outcome: res.outcome, Reason: res.reason,
	}, time.Since(started))
	if id := resultEvent(res); id != event.CallAnswered {
		s.events.Record(id, attrRequest(req.id), attrRoute(req.route), attrCallerDeadline(req.deadline),
			attrHop(metrics.Sidecar), attrReason(res.reason), attrDetail(res.detail), slog.Int("status", res.status),
			slog.Int("running", res.report.Running), slog.Int("waiting", res.report.Waiting),
			slog.Int("limit", res.report.Limit), attrTimeLeft(req))
	}
	return res
}

// runInSlot waits for a slot and forwards the request to the backend server.
func (s *sidecar) runInSlot(ctx context.Context, req *request) *result {
	switch {
	case req.service != s.settings.Service:
		return notRunResult(call.ReasonNoUpstream, "the request is for a service other than the one of this node")
	case s.stopping.Load():
		return notRunResult(call.ReasonDraining, "the node is stopping")
	case s.silence.isSilent():
		return notRunResult(call.ReasonSilent, "the backend server has stopped responding")
	}
	if verdict := s.quarantine.Verdict(time.Now(), req.fingerprint); verdict.Level == quarantine.Blocked {
		return quarantinedResult(verdict)
	}
	if !req.sentBefore {
		// Each request counts toward the demand once, at the first node that was
		// chosen for it.
		s.gauge.RecordArrival()
	}
	waitUntil := time.Now().Add(req.queueTimeout)
	if latestStart := req.deadline.Add(-s.capacity.minTimeLeft(req.route)); waitUntil.After(latestStart) {
		waitUntil = latestStart
	}
	release, err := s.slots.Acquire(ctx, slot.Request{Rank: req.rank, Deadline: req.deadline, WaitUntil: waitUntil})
	switch {
	case errors.Is(err, slot.ErrClosed) && s.stopping.Load():
		return notRunResult(call.ReasonDraining, "the node is stopping")
	case errors.Is(err, slot.ErrClosed) && !s.serverKnown.Load():
		// The sender contacts this node again soon, and tells it what it knows of it.
		return notRunResult(call.ReasonUnreachable, "the node has just started and does not know its backend server yet")
	case errors.Is(err, slot.ErrClosed):
		return notRunResult(call.ReasonDraining, "the backend server is "+s.tracker.Server().State().String())
	case err != nil && ctx.Err() != nil:
		return notRunResult(call.ReasonCanceled, "the caller disconnected while the request was queued")
	case err != nil:
		return overloadedResult(err)
	}
	if refusal := refuseForAnswers(ctx); refusal != nil {
		release(0)
		return countAnswerRefusal(ctx, refusal)
	}
	started := time.Now()
	mark := s.capacity.begin(started, req.route, req.deadline)
	res := s.forwardUnlessQuarantined(ctx, req)
	runTime := time.Since(started)
	s.capacity.end(time.Now(), mark, req.route, res, s.isLeaf(started))
	switch {
	case res.outcome != call.Answered:
		runTime = 0
	case res.status < http.StatusMultipleChoices:
		s.runTimes.record(req.route, runTime)
		s.longestRuns.record(time.Now(), req.route, runTime)
	}
	// The slot is released even if the rest of a long response is still to be read,
	// because the backend server has finished running the request.
	release(runTime)
	return res
}

// forwardUnlessQuarantined forwards a request that holds a slot, unless such requests crash
// backend servers. An isolated one runs alone.
func (s *sidecar) forwardUnlessQuarantined(ctx context.Context, req *request) *result {
	verdict := s.quarantine.Verdict(time.Now(), req.fingerprint)
	if verdict.Level == quarantine.Free {
		return s.forward(ctx, req, false)
	}
	trial, allowed := s.quarantine.StartTrial(time.Now(), req.fingerprint)
	if !allowed {
		return quarantinedResult(verdict)
	}
	defer s.quarantine.EndTrial(trial)
	return s.forward(ctx, req, true)
}

// overloadedResult returns the result of a request that got no slot.
func overloadedResult(err error) *result {
	res := notRunResult(call.ReasonOverloaded, err.Error())
	var full *slot.FullError
	if errors.As(err, &full) {
		res.wait = full.Wait
	}
	return res
}

// quarantinedResult returns the result of a request that is refused for the verdict.
func quarantinedResult(verdict quarantine.Verdict) *result {
	res := notRunResult(call.ReasonQuarantined, "such requests have crashed backend servers")
	res.retryAfter = verdict.RetryAfter
	return res
}

// forward sends a request that holds a slot to the backend server. isolated is true if it
// is the only isolated one there.
func (s *sidecar) forward(ctx context.Context, req *request, isolated bool) *result {
	server := s.tracker.Server()
	timeLeft := time.Until(req.deadline)
	if minLeft := s.capacity.minTimeLeft(req.route); timeLeft < minLeft {
		return notRunResult(call.ReasonTooLate, fmt.Sprintf("%v is left until the deadline, but requests of this route need at least %v to be started", timeLeft, minLeft))
	}
	httpReq := req.httpRequest(func(h http.Header) {
		platform.SetTimeLeft(h, timeLeft)
		platform.SetCaller(h, req.caller)
		if req.workspace != "" {
			platform.SetWorkspace(h, req.workspace)
		}
		if server.Instance() != "" {
			platform.SetExpectedInstance(h, server.Instance())
		}
	})
	run := s.links.Start(req.route, req.deadline)
	defer s.links.End(run)
	calledRoutes := s.links.Children(req.route)
	s.calls.recordRun(calledRoutes)
	s.repeats.start(req.repeatShare)
	defer s.repeats.end(req.repeatShare)
	s.silence.requestSent(time.Now())
	execution := s.crashes.start(req.fingerprint, isolated)
	res, err := s.exchange(ctx, server, httpReq, req)
	// A time-out, the end of the context or the lack of a descriptor does not show that the
	// server responds.
	// Any other error does, such as a connection that the server has reset.
	s.silence.requestEnded(time.Now(), err == nil || !isTimeout(err) && !errors.Is(err, hop.ErrNoConnection) && ctx.Err() == nil)
	if res.outcome == call.NotRun {
		s.calls.recordNoRun(calledRoutes)
	}
	switch {
	case res.outcome == call.Answered:
		s.crashes.complete(execution)
	case res.reason == call.ReasonLost && ctx.Err() == nil && !isTimeout(err):
		if s.crashes.breakOff(ctx, execution) {
			res.reason, res.detail = call.ReasonCrashed, "the backend server crashed: "+res.detail
			s.crashes.awaitTold(ctx, req.fingerprint, req.deadline)
		}
	default:
		s.crashes.drop(execution)
	}
	return res
}

// exchange sends a request to the backend server and returns its response. err is the error
// if there was none.
func (s *sidecar) exchange(ctx context.Context, server upstream.Server, httpReq *http.Request, req *request) (res *result, err error) {
	resp, err := s.backend.forInstance(server.Instance()).Do(ctx, httpReq, req.id, matchesRequest(req.id))
	if err != nil {
		return resultOfError(ctx, err), err
	}
	load, hasLoad := platform.ServerLoad(resp.Header)
	hasLoad = hasLoad && statesOwnLoad(resp)
	res = resultOfResponse(ctx, resp)
	// The header of a response that is no answer states nothing.
	if hasLoad && res.outcome != call.Unknown {
		s.capacity.observe(time.Now(), load)
	}
	return res, nil
}

// checkListening returns an error if the backend server accepts no connection.
func (s *sidecar) checkListening(ctx context.Context) error {
	return s.backend.current().CheckListening(ctx)
}

// pressureLevel returns the highest pressure level among the services that
// requests of the route need: this service and those that it calls for the
// route. The latter are overloaded too if more of their calls fail than can be retried.
func (s *sidecar) pressureLevel(route string) float64 {
	level := s.gauge.Level()
	now := time.Now()
	for _, child := range s.links.Children(route) {
		level = max(level, s.routePressure.Level(now, pressure.Target{Route: child}), s.calls.level(child))
	}
	return level
}

// tick does the periodic work. services is the number of services that have
// nodes.
func (s *sidecar) tick(now time.Time, services int) {
	s.capacityMetrics = s.capacity.tick(now)
	load := s.slots.Load()
	level := s.gauge.Tick(now, load)
	if math.Abs(level-s.reportedLevel) >= reportedLevelStep || level == 0 && s.reportedLevel > 0 {
		s.reportedLevel = level
		s.events.Record(event.PressureChanged, slog.Float64("level", level), slog.Float64("demand", s.gauge.Demand()),
			slog.Int("running", load.Running), slog.Int("waiting", load.Waiting), slog.Int("limit", load.Limit),
			attrMs("meanRunMs", load.MeanRun))
	}
	s.checkSilence(now, load.MeanRun)
	s.calls.tick(now)
	s.links.Tick(now)
	s.callers.Tick(now, services)
	s.backend.current().Sweep(now)
}

// updateMetrics exports the load of the backend server and what it is expected to handle.
func (s *sidecar) updateMetrics() {
	load := s.slots.Load()
	s.metrics.SetLoad(s.settings.Service, metrics.Load{Running: load.Running, Limit: load.Limit, Queued: load.Waiting})
	s.metrics.SetPressure(s.settings.Service, s.gauge.Level())
	s.metrics.SetCapacity(s.settings.Service, s.capacityMetrics)
}

// checkSilence detects that the backend server has stopped responding, and
// probes a silent server until it responds again.
func (s *sidecar) checkSilence(now time.Time, meanRun time.Duration) {
	if s.silence.check(now, meanRun) {
		s.events.Record(event.BackendUnreachable, slog.String("instance", s.tracker.Server().Instance()),
			attrMs("meanRunMs", meanRun))
		s.crashes.serverSilent()
	}
	path := s.healthPath()
	if path == "" || !s.silence.probeDue(now) {
		return
	}
	go func() {
		if _, status, err := s.requestHealth(context.Background(), path); err == nil && status > 0 {
			s.silence.markResponsive(time.Now())
			s.events.Record(event.BackendReachable, slog.String("instance", s.tracker.Server().Instance()), slog.Int("status", status))
		}
	}()
}

// requestHealth sends a health request to the backend server. The header and the status are those
// of a whole answer.
func (s *sidecar) requestHealth(ctx context.Context, path string) (h http.Header, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req := &request{method: http.MethodGet, host: s.settings.Backend, target: path, header: http.Header{}}
	resp, err := s.backend.current().Do(ctx, req.httpRequest(func(http.Header) {}), "", func(int, http.Header) bool { return true })
	if err != nil {
		return nil, 0, err
	}
	defer resp.Close()
	if err = resp.Discard(); err != nil {
		return nil, 0, err
	}
	return resp.Header, resp.StatusCode, nil
}

// isTimeout reports whether the connection timed out because the other side did
// not respond.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// matchesRequest returns a function that accepts the responses to the request
// with the ID. A response that states that nothing was run may have no ID and is
// accepted too.
func matchesRequest(id string) func(status int, h http.Header) bool {
	return func(status int, h http.Header) bool {
		responseID := platform.RequestID(h)
		return responseID == id || responseID == "" && platform.NotRun(status, h)
	}
}

// resultOfError returns the result of an attempt that ended without a response.
func resultOfError(ctx context.Context, err error) *result {
	switch {
	case errors.Is(err, hop.ErrNoConnection):
		res := notRunResult(call.ReasonOverloaded, err.Error())
		res.retryAfter, res.noConnection = noConnectionRetryAfter, true
		return res
	case hop.MayHaveRun(err):
	case hop.Expired(ctx):
		// This says nothing about the receiver.
		return notRunResult(call.ReasonTooLate, err.Error())
	default:
		return notRunResult(call.ReasonUnreachable, err.Error())
	}
	return lostResult(ctx, err)
}

// lostResult returns the result of an attempt that may have run and ended without a complete
// response.
func lostResult(ctx context.Context, err error) *result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unknownResult(call.ReasonDeadline, "the deadline passed while the request was running")
	case connectionAborted(ctx):
		return unknownResult(call.ReasonCanceled, "this node closed the connection while the request was running")
	case ctx.Err() != nil:
		return unknownResult(call.ReasonCanceled, "the caller disconnected while the request was running")
	default:
		return unknownResult(call.ReasonLost, err.Error())
	}
}

// mayBeLateCopy reports whether a response without request ID, which must be a refusal,
// may be a second copy of the response to an earlier request on the connection. All
// requests on a connection expect the same instance, and a server that is another one
// refuses all of them, so its refusal holds for the present request in any case.
func mayBeLateCopy(resp *hop.Answer) bool {
	return platform.RequestID(resp.Header) == "" && resp.OnReusedConnection() && resp.StatusCode != http.StatusMisdirectedRequest
}

// statesOwnLoad reports whether the load in a response belongs to the server that the request
// was sent to. Another instance at the address refuses the request and states its own load.
func statesOwnLoad(resp *hop.Answer) bool {
	return resp.StatusCode != http.StatusMisdirectedRequest && !mayBeLateCopy(resp)
}

// resultOfResponse reads a response of the backend server. The result is
// answered only if the response is complete. A response with a success status must
// also be signed and have no content encoding.
func resultOfResponse(ctx context.Context, resp *hop.Answer) *result {
	res := &result{status: resp.StatusCode}
	if mayBeLateCopy(resp) {
		resp.Close()
		return unknownResult(call.ReasonLost, "a refusal without request ID on a reused connection may belong to an earlier request")
	}
	if platform.NotRun(resp.StatusCode, resp.Header) {
		err := resp.Discard()
		resp.Close()
		if err != nil {
			return lostResult(ctx, fmt.Errorf("the refusal of the backend server is incomplete: %w", err))
		}
		return notRunResult(call.ReasonShed, fmt.Sprintf("the backend server stated that it did not run the request: status %d", res.status))
	}
	if err := readResultBody(ctx, resp, res); err != nil {
		return lostResult(ctx, fmt.Errorf("the response of the backend server is incomplete: %w", err))
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		switch {
		case !platform.Signed(resp.Header):
			res.close()
			return unknownResult(call.ReasonLost, "the response of the backend server has no signature")
		case resp.Header.Get("Content-Encoding") != "":
			res.close()
			return unknownResult(call.ReasonLost, "the response of the backend server has a Content-Encoding that was not requested")
		}
	}
	// Nothing else reads the header of the response, so it is forwarded without a copy.
	res.header, res.outcome = resp.Header, call.Answered
	keepEndToEnd(res.header)
	delete(res.header, "Content-Length")
	delete(res.header, "Date")
	platform.DropServerStatus(res.header)
	return res
}
