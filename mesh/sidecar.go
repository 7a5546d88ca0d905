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
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/pressure"
	"github.com/lacewingslip/lacewingslip/site"
	"github.com/lacewingslip/lacewingslip/slot"
	"github.com/lacewingslip/lacewingslip/upstream"
)

const (
	// usableShare of the slots is used at once. Backend servers slow down when
	// they are nearly full: from 95% on, each request takes 1.3 times as long.
	usableShare = 0.94
	// minWorkTime is the shortest time left with which a request is started.
	minWorkTime = 5 * time.Millisecond
	// backendIdle is how long a connection to the backend server is kept without
	// use. Backend servers close them after 10 s.
	backendIdle = 8 * time.Second
	// reportedStep is the change of the pressure that makes an event.
	reportedStep = 0.1
)

// sidecar takes requests to the backend server beside this node. It is the only
// way there, so its count of running requests is exact.
type sidecar struct {
	place   site.Site
	tracker *upstream.Tracker
	slots   *slot.Queue
	backend *hop.Pool
	events  recorder
	metrics *metrics.Metrics
	gauge   *pressure.Gauge
	links   *calltree.Links
	callers *calltree.Callers
	// silence stops requests to a server that does not answer any more.
	silence silence
	// healthPath returns the path of the server's health endpoint, or "".
	healthPath func() string
	// runTimes tells requests that can't end in time before they start.
	runTimes *runTimes
	// child has the level of the routes that the backend server calls.
	child *pressure.Door
	// calledAt is when the backend server last made a call, as far as is known, in
	// Unix nanoseconds.
	calledAt atomic.Int64
	// reported is the level of the last event. Only tick uses it.
	reported float64
	// stopping refuses requests of other nodes before a planned stop.
	stopping atomic.Bool
}

func newSidecar(place site.Site, tracker *upstream.Tracker, e *entrance, m *metrics.Metrics, d *desired, events recorder) *sidecar {
	s := &sidecar{
		healthPath: func() string {
			if state := d.current(); state != nil {
				service, _ := state.Service(place.Service)
				return service.HealthPath
			}
			return ""
		},
		metrics: m, runTimes: newRunTimes(),
		gauge: &pressure.Gauge{}, links: calltree.NewLinks(), callers: calltree.NewCallers(), child: e.calls,
		place: place, tracker: tracker, slots: slot.New(), events: events,
		backend: hop.New(place.Backend, hop.WithMaxIdle(backendIdle)),
	}
	// Nothing is known at the start.
	s.madeCall(time.Now())
	return s
}

// madeCall takes in a call of the backend server.
func (s *sidecar) madeCall(now time.Time) { s.calledAt.Store(now.UnixNano()) }

// leaf reports whether the backend server makes no calls.
func (s *sidecar) leaf(now time.Time) bool {
	return now.Sub(time.Unix(0, s.calledAt.Load())) > leafMemory
}

// usable returns how many requests run at once at a server with the slots.
func usable(slots int) int { return max(int(usableShare*float64(slots)), 1) }

// follow adapts the queue to the state of the backend server.
func (s *sidecar) follow(server upstream.Server) {
	if server.TakesWork() {
		s.slots.Resize(usable(server.Slots()))
		return
	}
	s.slots.Close()
}

// run takes a request to the backend server and returns how it ended. A reply
// that is not run is a promise.
func (s *sidecar) run(ctx context.Context, r *request) *reply {
	started := time.Now()
	s.callers.Called(r.route, r.caller)
	reply := s.attempt(ctx, r)
	reply.upstream = s.place.Node
	reply.report = loadReport{
		Load: s.slots.Load(), known: true, level: s.level(r.route), origin: s.callers.Origin(r.route),
		leaf: s.leaf(time.Now()),
	}
	s.metrics.CallEnded(metrics.Call{
		Hop: metrics.Sidecar, Service: r.service, Importance: importanceOf(r.rank), Outcome: reply.outcome, Reason: reply.reason,
	}, time.Since(started))
	if ended := endEvent(reply); ended != event.CallAnswered {
		s.events.Record(ended, attrRequest(r.id), attrRoute(r.route), attrExpires(r.deadline),
			attrHop(metrics.Sidecar), attrReason(reply.reason), attrDetail(reply.detail), slog.Int("status", reply.status),
			slog.Int("running", reply.report.Running), slog.Int("waiting", reply.report.Waiting),
			slog.Int("limit", reply.report.Limit), attrLeft(r))
	}
	return reply
}

func (s *sidecar) attempt(ctx context.Context, r *request) *reply {
	switch {
	case r.service != s.place.Service:
		return notRun(call.ReasonNoUpstream, "the request is for another service")
	case s.stopping.Load():
		return notRun(call.ReasonDraining, "the node is stopping")
	case s.silence.is():
		return notRun(call.ReasonSilent, "the backend server has stopped answering")
	}
	if !r.repeated {
		// Each request is part of the demand once, at the node that was chosen for
		// it first.
		s.gauge.Arrived()
	}
	giveUp := time.Now().Add(r.patience)
	if latest := r.deadline.Add(-s.runTimes.least(r.route)); giveUp.After(latest) {
		giveUp = latest
	}
	release, err := s.slots.Acquire(ctx, slot.Request{Rank: r.rank, Deadline: r.deadline, WaitUntil: giveUp})
	switch {
	case errors.Is(err, slot.ErrClosed):
		return notRun(call.ReasonDraining, "the backend server is "+s.tracker.Server().State().String())
	case err != nil && ctx.Err() != nil:
		return notRun(call.ReasonCanceled, "the caller has gone while the request waited")
	case err != nil:
		return notRun(call.ReasonOverloaded, err.Error())
	}
	started := time.Now()
	reply := s.exchange(ctx, r)
	ran := time.Since(started)
	switch {
	case reply.outcome != call.Answered:
		ran = 0
	case reply.status < http.StatusMultipleChoices:
		s.runTimes.ended(r.route, ran)
	}
	// A long answer is still being read, but the backend server has made it.
	release(ran)
	return reply
}

// exchange sends the request to the backend server, which has a slot for it.
func (s *sidecar) exchange(ctx context.Context, r *request) *reply {
	server := s.tracker.Server()
	left := time.Until(r.deadline)
	if least := s.runTimes.least(r.route); left < least {
		return notRun(call.ReasonTooLate, fmt.Sprintf("%v is left, and %v the least that is worth starting", left, least))
	}
	out := r.outgoing(func(h http.Header) {
		platform.SetTimeLeft(h, left)
		platform.SetCaller(h, r.caller)
		if server.Instance() != "" {
			platform.Expect(h, server.Instance())
		}
	})
	run := s.links.Start(r.route, r.deadline)
	defer s.links.End(run)
	s.silence.sent(time.Now())
	answer, err := s.backend.Do(ctx, out, belongsTo(r.id))
	// Time-outs of connections say no more than the silence does.
	s.silence.ended(time.Now(), err == nil || !isTimeout(err) && ctx.Err() == nil)
	if err != nil {
		return lost(ctx, err)
	}
	return judge(answer)
}

// level is that of the scarcest service that requests of the route need: this
// one, or one that they call.
func (s *sidecar) level(route string) float64 {
	level := s.gauge.Level()
	now := time.Now()
	for _, child := range s.links.Children(route) {
		level = max(level, s.child.Level(now, pressure.Way{Route: child}))
	}
	return level
}

// tick does the time-driven work.
func (s *sidecar) tick(now time.Time, services int) {
	load := s.slots.Load()
	level := s.gauge.Tick(now, load)
	if math.Abs(level-s.reported) >= reportedStep || level == 0 && s.reported > 0 {
		s.reported = level
		s.events.Record(event.PressureChanged, slog.Float64("level", level), slog.Float64("demand", s.gauge.Demand()),
			slog.Int("running", load.Running), slog.Int("waiting", load.Waiting), slog.Int("limit", load.Limit),
			attrMs("meanRunMs", load.MeanRun))
	}
	s.metrics.SetLoad(s.place.Service, metrics.Load{Running: load.Running, Limit: load.Limit, Queued: load.Waiting})
	s.metrics.SetPressure(s.place.Service, level)
	s.watch(now, load.MeanRun)
	s.links.Tick(now)
	s.callers.Tick(now, services)
	s.backend.Sweep(now)
}

// watch notices that the backend server falls silent, and that it answers again.
func (s *sidecar) watch(now time.Time, meanRun time.Duration) {
	if s.silence.check(now, meanRun) {
		s.events.Record(event.BackendUnreachable, slog.String("instance", s.tracker.Server().Instance()),
			attrMs("meanRunMs", meanRun))
	}
	path := s.healthPath()
	if path == "" || !s.silence.probeDue(now) {
		return
	}
	go func() {
		if _, status, err := s.ask(context.Background(), path); err == nil && status > 0 {
			s.silence.over(time.Now())
			s.events.Record(event.BackendReachable, slog.String("instance", s.tracker.Server().Instance()), slog.Int("status", status))
		}
	}()
}

// ask sends a health request to the backend server.
func (s *sidecar) ask(ctx context.Context, path string) (h http.Header, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	probe := &request{method: http.MethodGet, host: s.place.Backend, target: path, header: http.Header{}}
	answer, err := s.backend.Do(ctx, probe.outgoing(func(http.Header) {}), func(int, http.Header) bool { return true })
	if err != nil {
		return nil, 0, err
	}
	defer answer.Close()
	// Without the body the connection can't be used again, which is all that an
	// error here means.
	_, _, _ = answer.ReadAll(bufferedBody)
	return answer.Header, answer.StatusCode, nil
}

// isTimeout reports whether a connection ended because the other side was silent.
func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// belongsTo accepts the answers that bear the request's ID. Statements that
// nothing was run bear none.
func belongsTo(id string) func(status int, h http.Header) bool {
	return func(status int, h http.Header) bool {
		answered := platform.RequestID(h)
		return answered == id || answered == "" && platform.NotRun(status, h)
	}
}

// lost is the reply for an attempt without an answer.
func lost(ctx context.Context, err error) *reply {
	if !hop.MayHaveRun(err) {
		return notRun(call.ReasonUnreachable, err.Error())
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unknown(call.ReasonDeadline, "the time limit passed while the request ran")
	case ctx.Err() != nil:
		return unknown(call.ReasonCanceled, "the caller has gone while the request ran")
	default:
		return unknown(call.ReasonLost, err.Error())
	}
}

// judge decides whether an answer is the backend server's whole answer.
func judge(answer *hop.Answer) *reply {
	r := &reply{status: answer.StatusCode, header: relayHeader(answer.Header)}
	if platform.NotRun(answer.StatusCode, answer.Header) {
		// Without its body the connection can't be used again, which is all that
		// an error here means.
		_, _, _ = answer.ReadAll(bufferedBody)
		answer.Close()
		return notRun(call.ReasonShed, fmt.Sprintf("the backend server did not run it: status %d", r.status))
	}
	if err := readReply(answer, r); err != nil {
		return unknown(call.ReasonLost, "the answer broke off: "+err.Error())
	}
	delete(r.header, "Content-Length")
	delete(r.header, "Date")
	platform.DropServerNews(r.header)
	if answer.StatusCode < http.StatusMultipleChoices {
		switch {
		case !platform.Signed(answer.Header):
			r.close()
			return unknown(call.ReasonLost, "the answer bears no signature")
		case answer.Header.Get("Content-Encoding") != "":
			r.close()
			return unknown(call.ReasonLost, "the answer is encoded, which nobody asked for")
		}
	}
	r.outcome = call.Answered
	return r
}
