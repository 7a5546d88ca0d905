// Package admission decides, beside one backend server, which calls run, which
// wait and which are refused.
//
// # Usage
//
// A sidecar has one [Controller]. It reports each event and carries out the
// decisions that come back, which may concern other calls than the one that
// arrived:
//
//	controller := admission.New(admission.Limits{Slots: 50, Floor: 5, QueueLength: 100})
//	decisions = controller.Arrive(now, admission.Request{ID: 1, Importance: call.Critical, Deadline: deadline}, decisions[:0])
//	...
//	decisions = controller.Finish(now, 1, admission.Result{Latency: latency}, decisions[:0])
//
// Tick must be called several times a second, so that calls whose deadline has
// passed do not stay in the queue.
package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// Request is a call that arrives at the sidecar.
type Request struct {
	// ID is unique among the calls that the controller knows.
	ID uint64
	// Importance decides which calls run first and which are refused first.
	Importance call.Importance
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// First is true for a customer request, the first call of a chain. Only such
	// calls are refused for the overload of a service further down, before any
	// work has been done for them.
	First bool
	// Lot is a random number that all attempts of a customer request share, so
	// that all sidecars refuse the same requests.
	Lot uint32
}

// Verdict is what happens to a call.
type Verdict uint8

const (
	// Admitted means that the call runs now.
	Admitted Verdict = iota
	// Queued means that the call waits. Another decision about it follows,
	// unless it is cancelled.
	Queued
	// Refused means that the call will not run.
	Refused
)

var verdictNames = [...]string{Admitted: "admitted", Queued: "queued", Refused: "refused"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "invalid"
}

// Decision tells the sidecar what happens to a call.
type Decision struct {
	// ID is that of the [Request].
	ID uint64
	// Verdict is what happens to the call.
	Verdict Verdict
	// Reason is set if the call is refused.
	Reason call.Reason
	// RetryAfter is set if the call is refused: whole seconds, jittered.
	RetryAfter time.Duration
}

// Result is how a running call ended.
type Result struct {
	// Latency is the time that the backend server took.
	Latency time.Duration
	// Failed is true if no complete answer came.
	Failed bool
	// Shed is true if the answer is an error and a child call was refused for
	// overload. Such calls are better refused before they start.
	Shed bool
}

// Load is what a sidecar reports to the nodes that send to it.
type Load struct {
	// Running is the number of calls in the backend server.
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
	// WarmUp is how long the limit takes to rise from Floor to Slots at the
	// start of a backend server. Zero disables the warm-up.
	WarmUp time.Duration
}

const (
	minRetryAfterSeconds = 1
	// Three values spread the callers that were refused together over a time
	// longer than the recovery goal of 2 s.
	retryAfterSpreadSeconds = 3
)

// Controller holds the queue and the concurrency limit of one backend server.
// It is not safe for concurrent use.
type Controller struct {
	limits  Limits
	random  *rand.Rand
	started time.Time
	running map[uint64]runningCall
	// queue has one list per importance. Each is sorted by falling deadline, so
	// that the next call to run is the last element.
	queue     [call.Critical + 1][]Request
	queued    int
	limiter   limiter
	estimate  estimate
	threshold threshold
}

type runningCall struct {
	started time.Time
	first   bool
}

// Option changes a new controller.
type Option func(*Controller)

// WithRandom sets the source of jitter.
func WithRandom(random *rand.Rand) Option {
	return func(c *Controller) { c.random = random }
}

// New returns a controller without calls. The warm-up begins with the first
// event.
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

// Configure replaces the limits. Decisions that follow from them are given by
// the next event.
func (c *Controller) Configure(now time.Time, limits Limits) {
	c.begin(now)
	unrestricted := c.limiter.limit >= float64(c.limits.Slots)
	c.setLimits(limits)
	if unrestricted {
		c.limiter.limit = float64(c.limits.Slots)
	}
	c.limiter.clamp(c.limits)
	c.begin(now)
}

// Arrive decides on a new call and appends all decisions that follow from its
// arrival to out.
func (c *Controller) Arrive(now time.Time, r Request, out []Decision) []Decision {
	c.begin(now)
	r.Importance = min(r.Importance, call.Critical)
	out = c.expire(now, out)
	if !c.feasible(now, r, c.estimate.low(now)) {
		return c.settle(now, append(out, c.refusal(r, call.ReasonTooLate)))
	}
	if r.First && c.threshold.arrive(r) {
		out = append(out, c.refusal(r, call.ReasonOverloaded))
		return c.settle(now, c.refuseBelow(r, out))
	}
	c.enqueue(r)
	out = c.admit(now, out)
	return c.trimFor(r, out)
}

// Finish records the end of an admitted call and appends the decisions that the
// free slot allows to out.
func (c *Controller) Finish(now time.Time, id uint64, r Result, out []Decision) []Decision {
	c.begin(now)
	ended, ok := c.running[id]
	if !ok {
		return c.settle(now, out)
	}
	c.limiter.observe(ended.started, len(c.running), r)
	c.estimate.observe(now, r)
	if ended.first {
		c.threshold.finish(ended.started, r)
	}
	delete(c.running, id)
	return c.settle(now, out)
}

// Cancel removes a queued call. Calls that are not queued are left alone.
func (c *Controller) Cancel(now time.Time, id uint64, out []Decision) []Decision {
	c.begin(now)
	for i, level := range c.queue {
		at := slices.IndexFunc(level, func(r Request) bool { return r.ID == id })
		if at >= 0 {
			c.queue[i] = slices.Delete(level, at, at+1)
			c.queued--
			break
		}
	}
	return c.settle(now, out)
}

// Tick refuses calls whose deadline has passed and adapts the concurrency limit.
func (c *Controller) Tick(now time.Time, out []Decision) []Decision {
	c.begin(now)
	return c.settle(now, out)
}

// Load returns the present load.
func (c *Controller) Load() Load {
	return Load{Running: len(c.running), Limit: c.limiter.current, Queued: c.queued}
}

// begin brings the concurrency limit up to date.
func (c *Controller) begin(now time.Time) {
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

func (c *Controller) warmUpCap(age time.Duration) int {
	if age >= c.limits.WarmUp {
		return c.limits.Slots
	}
	share := float64(age) / float64(c.limits.WarmUp)
	return c.limits.Floor + int(share*float64(c.limits.Slots-c.limits.Floor))
}

// settle applies passed deadlines and changed limits to the queue.
func (c *Controller) settle(now time.Time, out []Decision) []Decision {
	out = c.expire(now, out)
	out = c.admit(now, out)
	return c.trim(out)
}

// feasible reports whether the call can be answered if it takes the given time.
func (c *Controller) feasible(now time.Time, r Request, takes time.Duration) bool {
	remaining := r.Deadline.Sub(now)
	if remaining <= 0 {
		return false
	}
	// Without a running call no new measurement would ever correct an estimate
	// that is too high.
	return len(c.running) == 0 || remaining >= takes
}

func (c *Controller) enqueue(r Request) {
	level := c.queue[r.Importance]
	// Among equal deadlines the earlier arrival stays closer to the end.
	at, _ := slices.BinarySearchFunc(level, r, func(a, b Request) int {
		if a.Deadline.After(b.Deadline) {
			return -1
		}
		return 1
	})
	c.queue[r.Importance] = slices.Insert(level, at, r)
	c.queued++
}

// expire refuses the queued calls that are too late. As slots are scarce while
// calls wait, a call needs the time that most calls take: by the order of
// deadlines those that barely fail would otherwise run first.
func (c *Controller) expire(now time.Time, out []Decision) []Decision {
	if c.queued == 0 {
		return out
	}
	takes := c.estimate.typical(now)
	for i := int(call.Critical); i >= 0; i-- {
		for level := c.queue[i]; len(level) > 0 && !c.feasible(now, level[len(level)-1], takes); level = c.queue[i] {
			r := c.dequeue(i)
			out = c.refuseBelow(r, append(out, c.refusal(r, call.ReasonTooLate)))
		}
	}
	return out
}

// admit starts queued calls while slots are free.
func (c *Controller) admit(now time.Time, out []Decision) []Decision {
	for i := int(call.Critical); i >= 0; i-- {
		for len(c.queue[i]) > 0 && len(c.running) < c.limiter.current {
			r := c.dequeue(i)
			c.running[r.ID] = runningCall{started: now, first: r.First}
			out = append(out, Decision{ID: r.ID, Verdict: Admitted})
		}
	}
	return out
}

// trimFor brings the queue back to its length after r was put into it, and
// appends the decision about r unless it has been admitted.
func (c *Controller) trimFor(r Request, out []Decision) []Decision {
	if _, ok := c.running[r.ID]; ok {
		return c.trim(out)
	}
	for c.queued > c.limits.QueueLength {
		if c.worstLevel() >= int(r.Importance) {
			c.remove(r)
			out = append(out, c.refusal(r, call.ReasonOverloaded))
			return c.trim(out)
		}
		out = append(out, c.refusal(c.dequeueWorst(), call.ReasonDisplaced))
	}
	return append(out, Decision{ID: r.ID, Verdict: Queued})
}

func (c *Controller) trim(out []Decision) []Decision {
	for c.queued > c.limits.QueueLength {
		out = append(out, c.refusal(c.dequeueWorst(), call.ReasonOverloaded))
	}
	return out
}

// refuseBelow refuses all queued calls that are less important than a refused
// one: a booking must not be refused under overload while lookups keep their
// place.
func (c *Controller) refuseBelow(r Request, out []Decision) []Decision {
	for c.queued > 0 && c.worstLevel() < int(r.Importance) {
		out = append(out, c.refusal(c.dequeueWorst(), call.ReasonOverloaded))
	}
	return out
}

func (c *Controller) dequeue(level int) Request {
	list := c.queue[level]
	r := list[len(list)-1]
	c.queue[level] = list[:len(list)-1]
	c.queued--
	return r
}

func (c *Controller) remove(r Request) {
	level := c.queue[r.Importance]
	at := slices.IndexFunc(level, func(other Request) bool { return other.ID == r.ID })
	c.queue[r.Importance] = slices.Delete(level, at, at+1)
	c.queued--
}

// dequeueWorst removes the least important call with the latest deadline.
func (c *Controller) dequeueWorst() Request {
	i := c.worstLevel()
	r := c.queue[i][0]
	c.queue[i] = slices.Delete(c.queue[i], 0, 1)
	c.queued--
	return r
}

func (c *Controller) worstLevel() int {
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
