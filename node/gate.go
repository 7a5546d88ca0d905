package node

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/call"
)

// gate drives the admission controller of the sidecar: it turns arrivals into
// waiting goroutines and gives each its decision.
type gate struct {
	mu         sync.Mutex
	controller *admission.Controller
	limits     admission.Limits
	waiting    map[uint64]chan admission.Decision
	decisions  []admission.Decision
	lastID     uint64
	inside     int
	// shed counts calls that were refused for lack of capacity.
	shed     uint64
	draining bool
	empty    chan struct{}
	// ticking is true while a tick is due. There is one only while calls wait:
	// on an idle node, ticks would be most of the processor time.
	ticking bool
}

// tickInterval is how often waiting calls are looked at for passed deadlines.
const tickInterval = 20 * time.Millisecond

func newGate() *gate {
	// Until settings arrive, one call at a time may run.
	limits := admission.Limits{Slots: 1, Floor: 1, QueueLength: 1}
	return &gate{controller: admission.New(limits), limits: limits, waiting: make(map[uint64]chan admission.Decision), empty: make(chan struct{})}
}

// enter waits until the call is admitted or refused. A call that is admitted
// must leave.
func (g *gate) enter(ctx context.Context, in *incoming) (id uint64, refusal *failure) {
	decided := make(chan admission.Decision, 1)
	g.mu.Lock()
	if g.draining {
		g.mu.Unlock()
		return 0, notRun(call.ReasonDraining, "the backend server is leaving")
	}
	g.lastID++
	id = g.lastID
	g.inside++
	g.waiting[id] = decided
	request := admission.Request{
		ID: id, Importance: in.context.Importance, Deadline: in.deadline,
		First: in.context.Depth == 1, Lot: in.context.Request.Lot(),
	}
	g.apply(g.controller.Arrive(time.Now(), request, g.decisions[:0]))
	g.mu.Unlock()

	select {
	case decision := <-decided:
		return id, g.refusal(decision)
	case <-ctx.Done():
		return id, g.cancel(id, decided)
	}
}

// leave tells the controller that an admitted call has ended.
func (g *gate) leave(id uint64, result admission.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.controller.Finish(time.Now(), id, result, g.decisions[:0]))
	g.gone()
}

// tick runs the time-driven work of the controller while calls wait.
func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ticking = false
	g.apply(g.controller.Tick(time.Now(), g.decisions[:0]))
}

// tickLater arranges the next tick if calls wait. The caller holds the lock.
func (g *gate) tickLater() {
	if g.ticking || len(g.waiting) == 0 {
		return
	}
	g.ticking = true
	time.AfterFunc(tickInterval, g.tick)
}

// configure sets the limits that follow from the settings.
func (g *gate) configure(limits admission.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	g.controller.Configure(time.Now(), limits)
}

// restart admits calls for a new backend server, whose limit warms up from the
// floor. Calls that wait for the old one keep their place and its limit.
func (g *gate) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = false
	if len(g.waiting) == 0 {
		g.controller = admission.New(g.limits)
	}
}

// drain refuses new calls from now on. The returned channel is closed once no
// call is queued or running.
func (g *gate) drain() (empty <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining = true
		g.empty = make(chan struct{})
		if g.inside == 0 {
			close(g.empty)
		}
	}
	return g.empty
}

func (g *gate) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

func (g *gate) load() admission.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Load()
}

// refused returns how many calls were refused for lack of capacity.
func (g *gate) refused() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shed
}

// cancel takes a queued call of a caller that has gone out of the queue. The
// decision may have been made at the same moment; an admitted call must then
// leave without having run.
func (g *gate) cancel(id uint64, decided chan admission.Decision) (refusal *failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case decision := <-decided:
		if decision.Verdict == admission.Admitted {
			g.apply(g.controller.Finish(time.Now(), id, admission.Result{Failed: true}, g.decisions[:0]))
			g.gone()
		}
	default:
		delete(g.waiting, id)
		g.apply(g.controller.Cancel(time.Now(), id, g.decisions[:0]))
		g.gone()
	}
	return notRun(call.ReasonCanceled, "the caller went away before the call started")
}

// apply hands out decisions. The caller holds the lock.
func (g *gate) apply(decisions []admission.Decision) {
	g.decisions = decisions
	for _, decision := range decisions {
		if decision.Verdict == admission.Queued {
			continue
		}
		decided, ok := g.waiting[decision.ID]
		if !ok {
			continue
		}
		delete(g.waiting, decision.ID)
		if decision.Verdict == admission.Refused {
			g.gone()
			if decision.Reason == call.ReasonOverloaded || decision.Reason == call.ReasonDisplaced {
				g.shed++
			}
		}
		decided <- decision
	}
	g.tickLater()
}

// gone counts a call out. The caller holds the lock.
func (g *gate) gone() {
	g.inside--
	if g.draining && g.inside == 0 {
		close(g.empty)
	}
}

func (g *gate) refusal(decision admission.Decision) (refusal *failure) {
	if decision.Verdict == admission.Admitted {
		return nil
	}
	refusal = notRun(decision.Reason, "the backend server has no capacity for the call")
	if decision.Reason == call.ReasonTooLate {
		refusal.message = "the call could not finish before its deadline"
	}
	refusal.retryAfter = decision.RetryAfter
	return refusal
}
