// Package admission controls the admission of calls to one backend server: it
// decides which calls run, which wait in a queue and which are refused.
//
// # Usage
//
// A sidecar has one [Controller]. It reports each event to the controller and
// carries out the returned decisions, which may also concern calls that arrived
// earlier:
//
//	controller := admission.New(admission.Limits{Slots: 50, Floor: 5, QueueLength: 100})
//	decisions = controller.Arrive(now, admission.Request{ID: 1, Importance: call.Critical, Deadline: deadline}, decisions[:0])
//	...
//	decisions = controller.Finish(now, 1, admission.Result{Latency: latency}, decisions[:0])
//
// Tick must be called several times a second, so that calls do not stay in the
// queue after their deadline.
package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// Request is a call that arrives at the sidecar.
type Request struct {
	// ID is unique among the running and queued calls.
	ID uint64
	// Importance decides which calls run first and which are refused first.
	Importance call.Importance
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// FromCustomer is true for a customer request, which is the first call of a call
	// chain. Only these calls are refused because of the overload of a service
	// deeper in the chain, since no work has been done for them yet.
	FromCustomer bool
	// SheddingKey is a random number that is the same for all attempts of a customer
	// request, so that all sidecars choose the same requests to refuse.
	SheddingKey uint32
}

// Verdict is the kind of a decision.
type Verdict uint8

const (
	// Admitted means that the call runs now.
	Admitted Verdict = iota
	// Queued means that the call waits. Another decision on it follows, unless it
	// is canceled.
	Queued
	// Refused means that the call will not run.
	Refused
)

var verdictNames = [...]string{Admitted: "admitted", Queued: "queued", Refused: "refused"}

// String returns "admitted", "queued" or "refused".
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "invalid"
}

// Decision is a decision on a call, which the sidecar has to carry out.
type Decision struct {
	// ID is the ID of the [Request].
	ID      uint64
	Verdict Verdict
	// Reason is set if the call is refused.
	Reason call.Reason
	// RetryAfter is set if the call is refused. It is a whole number of seconds
	// with jitter.
	RetryAfter time.Duration
}

// Result describes how a running call ended.
type Result struct {
	// Latency is the time that the backend server took for the call.
	Latency time.Duration
	// Failed is true if no complete answer was received.
	Failed bool
	// ChildShed is true if the answer is an error and a child call was refused
	// because of overload. Refusing such calls before they start saves the work for them.
	ChildShed bool
}

// Load is the load that a sidecar reports to the nodes that send calls to it.
type Load struct {
	// Running is the number of calls that the backend server is running.
	Running int
	// Limit is the present concurrency limit.
	Limit int
	// Queued is the number of waiting calls.
	Queued int
}

// Limits are the settings of a controller.
type Limits struct {
	// Slots is the largest number of calls the backend server runs at once.
	Slots int
	// Floor is the lowest value of the adaptive concurrency limit.
	Floor int
	// QueueLength is the largest number of waiting calls.
	QueueLength int
	// WarmUp is the time in which the limit rises from Floor to Slots after the
	// start of a backend server. Zero disables the warm-up.
	WarmUp time.Duration
}

const (
	minRetryAfterSeconds = 1
	// retryAfterSpreadSeconds is the number of different values of RetryAfter. With
	// three values, callers that are refused at the same time come back spread over
	// more than 2 s, the target for recovery after an overload.
	retryAfterSpreadSeconds = 3
)

// Controller holds the queue and the concurrency limit of one backend server.
// It is not safe for concurrent use.
type Controller struct {
	limits  Limits
	random  *rand.Rand
	started time.Time
	running map[uint64]runningCall
	// queue has one list for each importance, sorted by descending deadline, so
	// that the next call to run is the last element.
	queue     [call.Critical + 1][]Request
	queued    int
	limiter   limiter
	latency   latencyEstimate
	threshold threshold
}

type runningCall struct {
	started      time.Time
	fromCustomer bool
}

// Option changes a new controller.
type Option func(*Controller)

// WithRandom sets the source of random numbers for jitter.
func WithRandom(random *rand.Rand) Option {
	return func(c *Controller) { c.random = random }
}

// New returns a controller without calls. The warm-up starts at the first event.
func New(limits Limits, opts ...Option) *Controller {
	c := &Controller{running: make(map[uint64]runningCall, max(limits.Slots, 0))}
	c.setLimits(limits)
	c.limiter.limit = float64(c.limits.Slots)
	c.limiter.current = c.warmUpCap(0)
	for _, opt := range opts {
		opt(c)
	}
	if c.random == nil {
		c.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}

// Configure replaces the limits. The decisions that result from the new limits are
// returned at the next event.
func (c *Controller) Configure(now time.Time, limits Limits) {
	c.updateLimits(now)
	unrestricted := c.limiter.limit >= float64(c.limits.Slots)
	c.setLimits(limits)
	if unrestricted {
		c.limiter.limit = float64(c.limits.Slots)
	}
	c.limiter.clamp(c.limits)
	c.updateLimits(now)
}

// Arrive decides on a new call and appends all decisions that result from its
// arrival to out.
func (c *Controller) Arrive(now time.Time, r Request, out []Decision) []Decision {
	c.updateLimits(now)
	r.Importance = min(r.Importance, call.Critical)
	out = c.refuseExpired(now, out)
	if !c.feasible(now, r, c.latency.lowest(now)) {
		return c.updateQueue(now, append(out, c.refusal(r, call.ReasonTooLate)))
	}
	if r.FromCustomer && c.threshold.arrive(r) {
		out = append(out, c.refusal(r, call.ReasonOverloaded))
		return c.updateQueue(now, c.refuseLessImportant(r, out))
	}
	c.enqueue(r)
	out = c.admitQueued(now, out)
	return c.trimAfterEnqueue(r, out)
}

// Finish records the end of an admitted call and appends the decisions that result
// from the free slot to out.
func (c *Controller) Finish(now time.Time, id uint64, r Result, out []Decision) []Decision {
	c.updateLimits(now)
	ended, ok := c.running[id]
	if !ok {
		return c.updateQueue(now, out)
	}
	c.limiter.observe(ended.started, len(c.running), r)
	c.latency.observe(now, r)
	if ended.fromCustomer {
		c.threshold.finish(ended.started, r)
	}
	delete(c.running, id)
	return c.updateQueue(now, out)
}

// Cancel removes a queued call. It has no effect on a call that is not queued.
func (c *Controller) Cancel(now time.Time, id uint64, out []Decision) []Decision {
	c.updateLimits(now)
	for i, list := range c.queue {
		index := slices.IndexFunc(list, func(r Request) bool { return r.ID == id })
		if index >= 0 {
			c.queue[i] = slices.Delete(list, index, index+1)
			c.queued--
			break
		}
	}
	return c.updateQueue(now, out)
}

// Tick refuses queued calls that can't be answered before their deadline and adapts
// the concurrency limit.
func (c *Controller) Tick(now time.Time, out []Decision) []Decision {
	c.updateLimits(now)
	return c.updateQueue(now, out)
}

// Load returns the present load.
func (c *Controller) Load() Load {
	return Load{Running: len(c.running), Limit: c.limiter.current, Queued: c.queued}
}

// updateLimits adapts the concurrency limit and the threshold for customer requests.
func (c *Controller) updateLimits(now time.Time) {
	if c.started.IsZero() {
		c.started = now
	}
	c.limiter.adapt(now, c.limits)
	c.threshold.adapt(now)
	c.limiter.current = min(int(c.limiter.limit), c.warmUpCap(now.Sub(c.started)))
}

func (c *Controller) setLimits(limits Limits) {
	limits.Slots = max(limits.Slots, 0)
	limits.Floor = min(max(limits.Floor, 1), limits.Slots)
	limits.QueueLength = max(limits.QueueLength, 0)
	c.limits = limits
}

// warmUpCap returns the upper bound of the concurrency limit at the given time after
// the start.
func (c *Controller) warmUpCap(age time.Duration) int {
	if age >= c.limits.WarmUp {
		return c.limits.Slots
	}
	share := float64(age) / float64(c.limits.WarmUp)
	return c.limits.Floor + int(share*float64(c.limits.Slots-c.limits.Floor))
}

// updateQueue applies expired deadlines and changed limits to the queue.
func (c *Controller) updateQueue(now time.Time, out []Decision) []Decision {
	out = c.refuseExpired(now, out)
	out = c.admitQueued(now, out)
	return c.trim(out)
}

// feasible reports whether the call can be answered before its deadline if it takes
// the given time.
func (c *Controller) feasible(now time.Time, r Request, duration time.Duration) bool {
	remaining := r.Deadline.Sub(now)
	if remaining <= 0 {
		return false
	}
	// If no call is running, the call is tried in any case: without a new
	// measurement, an estimate that is too high would never be corrected.
	return len(c.running) == 0 || remaining >= duration
}

func (c *Controller) enqueue(r Request) {
	list := c.queue[r.Importance]
	// Among calls with equal deadlines, the earlier arrival runs first.
	index, _ := slices.BinarySearchFunc(list, r, func(a, b Request) int {
		if a.Deadline.After(b.Deadline) {
			return -1
		}
		return 1
	})
	c.queue[r.Importance] = slices.Insert(list, index, r)
	c.queued++
}

// refuseExpired refuses the queued calls that can't be answered before their
// deadline. It assumes the time that most calls take, and not the shortest one: as
// calls run in the order of their deadlines, scarce slots would otherwise go first
// to calls that just miss theirs.
func (c *Controller) refuseExpired(now time.Time, out []Decision) []Decision {
	if c.queued == 0 {
		return out
	}
	duration := c.latency.typical(now)
	for importance := int(call.Critical); importance >= 0; importance-- {
		for list := c.queue[importance]; len(list) > 0 && !c.feasible(now, list[len(list)-1], duration); list = c.queue[importance] {
			r := c.dequeue(importance)
			out = c.refuseLessImportant(r, append(out, c.refusal(r, call.ReasonTooLate)))
		}
	}
	return out
}

// admitQueued admits queued calls while slots are free.
func (c *Controller) admitQueued(now time.Time, out []Decision) []Decision {
	for importance := int(call.Critical); importance >= 0; importance-- {
		for len(c.queue[importance]) > 0 && len(c.running) < c.limiter.current {
			r := c.dequeue(importance)
			c.running[r.ID] = runningCall{started: now, fromCustomer: r.FromCustomer}
			out = append(out, Decision{ID: r.ID, Verdict: Admitted})
		}
	}
	return out
}

// trimAfterEnqueue removes calls from the queue until it fits its length, after r
// was added. It appends the decision on r unless r has been admitted.
func (c *Controller) trimAfterEnqueue(r Request, out []Decision) []Decision {
	if _, ok := c.running[r.ID]; ok {
		return c.trim(out)
	}
	for c.queued > c.limits.QueueLength {
		if c.lowestQueuedImportance() >= int(r.Importance) {
			c.remove(r)
			out = append(out, c.refusal(r, call.ReasonOverloaded))
			return c.trim(out)
		}
		out = append(out, c.refusal(c.dequeueLeastImportant(), call.ReasonDisplaced))
	}
	return append(out, Decision{ID: r.ID, Verdict: Queued})
}

// trim refuses the least important calls until the queue fits its length.
func (c *Controller) trim(out []Decision) []Decision {
	for c.queued > c.limits.QueueLength {
		out = append(out, c.refusal(c.dequeueLeastImportant(), call.ReasonOverloaded))
	}
	return out
}

// refuseLessImportant refuses all queued calls that are less important than r, which
// has been refused: a booking must not be refused during overload while lookups stay
// in the queue.
func (c *Controller) refuseLessImportant(r Request, out []Decision) []Decision {
	for c.queued > 0 && c.lowestQueuedImportance() < int(r.Importance) {
		out = append(out, c.refusal(c.dequeueLeastImportant(), call.ReasonOverloaded))
	}
	return out
}

// dequeue removes the call of the importance that runs next.
func (c *Controller) dequeue(importance int) Request {
	list := c.queue[importance]
	r := list[len(list)-1]
	c.queue[importance] = list[:len(list)-1]
	c.queued--
	return r
}

func (c *Controller) remove(r Request) {
	list := c.queue[r.Importance]
	index := slices.IndexFunc(list, func(other Request) bool { return other.ID == r.ID })
	c.queue[r.Importance] = slices.Delete(list, index, index+1)
	c.queued--
}

// dequeueLeastImportant removes, among the least important calls, the one with the
// latest deadline.
func (c *Controller) dequeueLeastImportant() Request {
	importance := c.lowestQueuedImportance()
	r := c.queue[importance][0]
	c.queue[importance] = slices.Delete(c.queue[importance], 0, 1)
	c.queued--
	return r
}

// lowestQueuedImportance returns the lowest importance among the queued calls, or one
// more than the highest importance if the queue is empty.
func (c *Controller) lowestQueuedImportance() int {
	for i := range c.queue {
		if len(c.queue[i]) > 0 {
			return i
		}
	}
	return len(c.queue)
}

func (c *Controller) refusal(r Request, reason call.Reason) Decision {
	seconds := minRetryAfterSeconds + c.random.IntN(retryAfterSpreadSeconds)
	return Decision{ID: r.ID, Verdict: Refused, Reason: reason, RetryAfter: time.Duration(seconds) * time.Second}
}
