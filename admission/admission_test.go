package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/call"
)

var start = time.Unix(1_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func seeded() admission.Option { return admission.WithRandom(rand.New(rand.NewPCG(1, 2))) }

// script reports events to a controller and returns its decisions as text.
type script struct {
	c   *admission.Controller
	out []admission.Decision
}

func (s *script) arrive(ms int, id uint64, i call.Importance, deadline int) string {
	s.out = s.c.Arrive(at(ms), admission.Request{ID: id, Importance: i, Deadline: at(deadline)}, s.out[:0])
	return text(s.out)
}

func (s *script) finish(ms int, id uint64, latency int) string {
	s.out = s.c.Finish(at(ms), id, admission.Result{Latency: time.Duration(latency) * time.Millisecond}, s.out[:0])
	return text(s.out)
}

func (s *script) tick(ms int) string {
	s.out = s.c.Tick(at(ms), s.out[:0])
	return text(s.out)
}

func text(decisions []admission.Decision) (t string) {
	for _, d := range decisions {
		t += fmt.Sprintf("%d %v %s;", d.ID, d.Verdict, d.Reason)
	}
	return t
}

func newScript(slots, queue int) *script {
	return &script{c: admission.New(admission.Limits{Slots: slots, Floor: 1, QueueLength: queue}, seeded())}
}

// Guards against admitting a call before a more important one, or before an equally
// important one with an earlier deadline.
func TestOrder(t *testing.T) {
	s := newScript(1, 3)
	must.EqOp(t, "1 admitted ;", s.arrive(0, 1, call.Low, 900))
	must.EqOp(t, "2 queued ;", s.arrive(1, 2, call.Normal, 900))
	must.EqOp(t, "3 queued ;", s.arrive(2, 3, call.Critical, 900))
	must.EqOp(t, "4 queued ;", s.arrive(3, 4, call.Critical, 500))
	must.EqOp(t, "2 refused displaced;5 queued ;", s.arrive(4, 5, call.High, 900))
	must.EqOp(t, "6 refused overloaded;", s.arrive(5, 6, call.High, 100))
	must.EqOp(t, "4 admitted ;", s.finish(6, 1, 6))
	must.EqOp(t, "3 admitted ;", s.finish(7, 4, 6))
	must.EqOp(t, "5 admitted ;", s.finish(8, 3, 6))
}

// Guards against admitting calls that can't be answered before their deadline.
func TestDeadlines(t *testing.T) {
	s := newScript(2, 9)
	must.EqOp(t, "1 refused tooLate;", s.arrive(5, 1, call.Low, 5))
	s.arrive(6, 2, call.Low, 900)
	s.arrive(6, 3, call.Low, 900)
	s.finish(106, 2, 100)
	must.EqOp(t, "4 refused tooLate;", s.arrive(107, 4, call.Critical, 200))
	must.EqOp(t, "5 admitted ;", s.arrive(107, 5, call.Low, 300))
	must.EqOp(t, "6 queued ;", s.arrive(108, 6, call.Normal, 250))
	must.EqOp(t, "7 queued ;", s.arrive(108, 7, call.Low, 900))
	must.EqOp(t, "6 refused tooLate;7 refused overloaded;", s.tick(200))
	s.finish(201, 3, 150)
	s.finish(202, 5, 150)
	must.EqOp(t, "8 admitted ;", s.arrive(203, 8, call.Low, 210), must.Sprint("an idle server runs any call"))
}

// Guards against admitting queued calls that just miss their deadline, while others
// wait that could be answered in time.
func TestTypical(t *testing.T) {
	s := newScript(2, 9)
	for id, latency := range map[uint64]int{1: 100, 2: 300, 3: 200, 4: 200} {
		s.arrive(0, id, call.Low, 9000)
		s.finish(int(id), id, latency)
	}
	s.arrive(10, 5, call.Low, 9000)
	s.arrive(10, 8, call.Low, 9000)
	must.EqOp(t, "6 queued ;", s.arrive(10, 6, call.Low, 400))
	must.EqOp(t, "7 queued ;", s.arrive(10, 7, call.Low, 700))
	must.EqOp(t, "6 refused tooLate;7 admitted ;", s.finish(200, 5, 200))
}

// simulate keeps all slots of a controller in use from fromMs to toMs and returns the
// last limit. latency returns the latency in ms of a call, from the number of running
// calls at its start.
func simulate(c *admission.Controller, fromMs, toMs int, latency func(running int) int) int {
	type running struct {
		end     int
		latency time.Duration
	}
	calls := map[uint64]running{}
	id := uint64(fromMs) * 100
	for ms := fromMs; ms < toMs; ms++ {
		for id, r := range calls {
			if r.end <= ms {
				delete(calls, id)
				c.Finish(at(ms), id, admission.Result{Latency: r.latency}, nil)
			}
		}
		for c.Load().Running < c.Load().Limit {
			id++
			c.Arrive(at(ms), admission.Request{ID: id, Deadline: at(ms + 60_000)}, nil)
			duration := latency(c.Load().Running)
			calls[id] = running{end: ms + duration, latency: time.Duration(duration) * time.Millisecond}
		}
		c.Tick(at(ms), nil)
	}
	for id := range calls {
		c.Finish(at(toMs), id, admission.Result{Failed: true}, nil)
	}
	return c.Load().Limit
}

// Guards against a limit that stays high while the backend server is overloaded, and
// against a limit that falls if the high latency is caused by a service deeper in
// the call chain.
func TestAdaptiveLimit(t *testing.T) {
	newController := func() *admission.Controller {
		return admission.New(admission.Limits{Slots: 50, Floor: 5}, seeded())
	}
	sharedCapacity := newController()
	simulate(sharedCapacity, 0, 1000, func(int) int { return 10 })
	limit := simulate(sharedCapacity, 1000, 6000, func(running int) int { return max(10, running*2) })
	must.Between(t, 5, limit, 25, must.Sprint("capacity for 5 calls at 10 ms"))
	must.EqOp(t, 50, simulate(sharedCapacity, 6000, 7200, func(int) int { return 10 }), must.Sprint("after the end of the overload"))

	slowChild := newController()
	simulate(slowChild, 0, 1000, func(int) int { return 10 })
	must.EqOp(t, 50, simulate(slowChild, 1000, 6000, func(int) int { return 100 }), must.Sprint("latency does not depend on the limit"))
}

// Guards against continuing to work for calls whose child calls are refused deeper in
// the call chain, and against refusing more important calls instead.
func TestThreshold(t *testing.T) {
	c := admission.New(admission.Limits{Slots: 80, Floor: 5}, seeded())
	random := rand.New(rand.NewPCG(5, 6))
	id := uint64(0)
	// One call arrives each ms. The called service accepts up to capacity child calls
	// per 200 ms.
	phase := func(fromMs, capacity int) (wasted int, answered [4]int) {
		remaining := 0
		for ms := fromMs; ms < fromMs+4000; ms++ {
			if ms%200 == 0 {
				remaining = capacity
			}
			id++
			i := call.Importance(id % 4)
			out := c.Arrive(at(ms), admission.Request{ID: id, Importance: i, Deadline: at(ms + 60_000), FromCustomer: true, SheddingKey: random.Uint32()}, nil)
			if out[0].Verdict == admission.Admitted {
				shed := remaining == 0
				remaining = max(remaining-1, 0)
				c.Finish(at(ms), id, admission.Result{Latency: time.Millisecond, ChildShed: shed}, nil)
				if ms >= fromMs+2000 && shed {
					wasted++
				} else if ms >= fromMs+2000 {
					answered[i]++
				}
			}
		}
		return wasted, answered
	}
	wasted, answered := phase(0, 80)
	must.Between(t, 0, wasted, 250, must.Sprint("of 2000 calls, 1200 of them beyond the capacity"))
	must.Between(t, 450, answered[call.Critical], 500)
	must.Between(t, 0, answered[call.Low]+answered[call.Normal], 60)
	wasted, answered = phase(4000, 200)
	must.EqOp(t, 0, wasted)
	must.EqOp(t, 500, answered[call.Low], must.Sprint("within two seconds of the end of the overload"))
}

// Guards against full load on a backend server that has just started.
func TestWarmUp(t *testing.T) {
	c := admission.New(admission.Limits{Slots: 50, Floor: 10, WarmUp: time.Second}, seeded())
	for ms, limit := range map[int]int{0: 10, 500: 30, 1000: 50} {
		c := *c
		c.Tick(at(0), nil)
		c.Tick(at(ms), nil)
		must.EqOp(t, limit, c.Load().Limit)
	}
}

// Guards against decisions that ignore new limits: calls that stay in a
// shorter queue, or are not admitted to new slots.
func TestConfigure(t *testing.T) {
	s := newScript(1, 3)
	for id := range uint64(4) {
		s.arrive(0, id, call.Importance(id), 900)
	}
	s.c.Configure(at(1), admission.Limits{Slots: 1, Floor: 1, QueueLength: 1})
	must.EqOp(t, "1 refused overloaded;2 refused overloaded;", s.tick(1))
	s.c.Configure(at(2), admission.Limits{Slots: 2, Floor: 1, QueueLength: 1})
	must.EqOp(t, "3 admitted ;", s.tick(2))
}

// Guards against the same retry delay for all refused callers, which would then
// retry at the same time.
func TestRetryAfter(t *testing.T) {
	c := admission.New(admission.Limits{}, seeded())
	seen := map[time.Duration]bool{}
	for id := range uint64(100) {
		seen[c.Arrive(start, admission.Request{ID: id, Deadline: at(9)}, nil)[0].RetryAfter] = true
	}
	must.Eq(t, map[time.Duration]bool{time.Second: true, 2 * time.Second: true, 3 * time.Second: true}, seen)
}

func BenchmarkOverload(b *testing.B) {
	c := admission.New(admission.Limits{Slots: 50, Floor: 5, QueueLength: 100}, seeded())
	random := rand.New(rand.NewPCG(3, 4))
	out := make([]admission.Decision, 0, 256)
	running := make([]uint64, 0, 256)
	now, id := start, uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		id++
		out = c.Arrive(now, admission.Request{ID: id, Importance: call.Importance(random.IntN(4)), Deadline: now.Add(time.Second)}, out[:0])
		if id%4 == 0 && len(running) > 0 {
			out = c.Finish(now, running[0], admission.Result{Latency: 10 * time.Millisecond}, out)
			running = append(running[:0], running[1:]...)
		}
		for _, d := range out {
			if d.Verdict == admission.Admitted {
				running = append(running, d.ID)
			}
		}
	}
}
