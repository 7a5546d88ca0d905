package node

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/call"
)

// limiter makes the admission controller of the sidecar safe for concurrent use.
// Each call waits in its own goroutine for the controller's decision.
type limiter struct {
	mu         sync.Mutex
	controller *admission.Controller
	limits     admission.Limits
	waiting    map[uint64]chan admission.Decision
	decisions  []admission.Decision
	lastID     uint64
	inFlight   int
	// overloadRefusals counts calls that were refused for lack of capacity.
	overloadRefusals uint64
	draining         bool
	drained          chan struct{}
	// tickScheduled is true while a tick is scheduled. Ticks are scheduled only
	// while calls wait, because on an idle node they would use most of the CPU time.
	tickScheduled bool
}

// tickInterval is how often waiting calls are checked for expired deadlines.
const tickInterval = 20 * time.Millisecond

func newLimiter() *limiter {
	// One call at a time may run until the settings have been read.
	limits := admission.Limits{Slots: 1, Floor: 1, QueueLength: 1}
	return &limiter{controller: admission.New(limits), limits: limits, waiting: make(map[uint64]chan admission.Decision), drained: make(chan struct{})}
}

// acquire waits until the call is admitted or refused. Every admitted call must be
// released.
func (l *limiter) acquire(ctx context.Context, in *incoming) (id uint64, refusal *failure) {
	decided := make(chan admission.Decision, 1)
	l.mu.Lock()
	if l.draining {
		l.mu.Unlock()
		return 0, notRun(call.ReasonDraining, "the backend server is draining")
	}
	l.lastID++
	id = l.lastID
	l.inFlight++
	l.waiting[id] = decided
	request := admission.Request{
		ID: id, Importance: in.context.Importance, Deadline: in.deadline,
		FromCustomer: in.context.Depth == 1, SheddingKey: in.context.Request.Randomness(),
	}
	l.deliver(l.controller.Arrive(time.Now(), request, l.decisions[:0]))
	l.mu.Unlock()

	select {
	case decision := <-decided:
		return id, l.asFailure(decision)
	case <-ctx.Done():
		return id, l.cancel(id, decided)
	}
}

// release reports the end of an admitted call to the controller.
func (l *limiter) release(id uint64, result admission.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.controller.Finish(time.Now(), id, result, l.decisions[:0]))
	l.callEnded()
}

// tick lets the controller refuse waiting calls whose deadline has passed and adapt
// its limit, and schedules the next tick if calls still wait.
func (l *limiter) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tickScheduled = false
	l.deliver(l.controller.Tick(time.Now(), l.decisions[:0]))
}

// scheduleTick schedules the next tick if calls wait. The lock must be held.
func (l *limiter) scheduleTick() {
	if l.tickScheduled || len(l.waiting) == 0 {
		return
	}
	l.tickScheduled = true
	time.AfterFunc(tickInterval, l.tick)
}

// configure applies limits derived from the settings.
func (l *limiter) configure(limits admission.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	l.controller.Configure(time.Now(), limits)
}

// restart admits calls for a new backend server, whose limit warms up from the
// floor. If calls are still waiting for the old backend server, they stay queued
// and the controller keeps its current limit.
func (l *limiter) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = false
	if len(l.waiting) == 0 {
		l.controller = admission.New(l.limits)
	}
}

// drain starts to refuse new calls. The returned channel is closed once no call is
// queued or running.
func (l *limiter) drain() (drained <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.draining {
		l.draining = true
		l.drained = make(chan struct{})
		if l.inFlight == 0 {
			close(l.drained)
		}
	}
	return l.drained
}

func (l *limiter) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

func (l *limiter) load() admission.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.Load()
}

// overloadRefusalCount returns the number of calls refused for lack of capacity.
func (l *limiter) overloadRefusalCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overloadRefusals
}

// cancel removes the call of a disconnected caller from the queue. The decision may
// have been made in the meantime; a call that was admitted is then released
// without having run.
func (l *limiter) cancel(id uint64, decided chan admission.Decision) (refusal *failure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case decision := <-decided:
		if decision.Verdict == admission.Admitted {
			l.deliver(l.controller.Finish(time.Now(), id, admission.Result{Failed: true}, l.decisions[:0]))
			l.callEnded()
		}
	default:
		delete(l.waiting, id)
		l.deliver(l.controller.Cancel(time.Now(), id, l.decisions[:0]))
		l.callEnded()
	}
	return notRun(call.ReasonCanceled, "the caller disconnected before the call started")
}

// deliver sends each decision to the goroutine that waits for it. The lock must be
// held.
func (l *limiter) deliver(decisions []admission.Decision) {
	l.decisions = decisions
	for _, decision := range decisions {
		if decision.Verdict == admission.Queued {
			continue
		}
		decided, ok := l.waiting[decision.ID]
		if !ok {
			continue
		}
		delete(l.waiting, decision.ID)
		if decision.Verdict == admission.Refused {
			l.callEnded()
			if decision.Reason == call.ReasonOverloaded || decision.Reason == call.ReasonDisplaced {
				l.overloadRefusals++
			}
		}
		decided <- decision
	}
	l.scheduleTick()
}

// callEnded records that a call is neither queued nor running any more. The lock must
// be held.
func (l *limiter) callEnded() {
	l.inFlight--
	if l.draining && l.inFlight == 0 {
		close(l.drained)
	}
}

func (l *limiter) asFailure(decision admission.Decision) (refusal *failure) {
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
