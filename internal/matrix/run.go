package matrix

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// mainBooking is the content of the booking at whose steps faults are injected.
const mainBooking = "main-400-egg-trays"

// Result is the result of running a cell.
type Result struct {
	Cell Cell
	// Skipped is the reason why the cell was not run, or empty.
	Skipped string
	// Fired is the number of the cell's faults that were injected. Some points are
	// reached only after another fault.
	Fired int
	// Answered is the number of calls with the main booking that were answered.
	Answered int
	// Violations lists the violated guarantees: bookings that ran more than once,
	// false notRun outcomes and wrong answers.
	Violations []string
}

// callResult is the request of one call and the reply that its caller got.
type callResult struct {
	request request
	reply   reply
}

// scheduledCall is the time of a call since the start of the cell, and the node
// that serves as its ingress.
type scheduledCall struct {
	after time.Duration
	node  string
}

// callSchedule starts with calls in quick succession through different nodes. The
// later ones come after a pause of a process (5 s), after a late duplicate (16 s),
// after the validity of the key (45 s), and after the ledger has discarded the key
// (115 s).
var callSchedule = []scheduledCall{
	{0, "n1"},
	{4 * time.Millisecond, "n3"},
	{40 * time.Millisecond, "n2"},
	{120 * time.Millisecond, "n1"},
	{600 * time.Millisecond, "n3"},
	{2 * time.Second, "n2"},
	{5 * time.Second, "n3"},
	{16 * time.Second, "n1"},
	{45 * time.Second, "n2"},
	{115 * time.Second, "n3"},
}

// Run runs a cell with one mechanism disabled, or with all of them enabled.
func Run(c Cell, seed uint64, disabled Mechanism) (r Result) {
	r.Cell = c
	for _, i := range c.Injections {
		if r.Skipped = i.skipReason(c.Scenario); r.Skipped != "" {
			return r
		}
	}
	sim := newSimulation(c, seed, disabled)
	all := sim.runCallers()
	for _, fired := range sim.fired {
		if fired {
			r.Fired++
		}
	}
	for _, s := range all {
		if s.request.main && s.reply.outcome == call.Answered {
			r.Answered++
		}
	}
	r.Violations = sim.findViolations(all)
	return r
}

// runCallers runs three callers to their end: the caller of the main booking, a
// caller of another booking, and a caller that reuses the key of the main booking
// under a different authorization.
func (sim *simulation) runCallers() (all []callResult) {
	mainKey, otherKey := sim.bookingKey(mainBooking), sim.bookingKey("other-200-cartons")
	var mu sync.Mutex
	submit := func(label string, p scheduledCall, r request) {
		r.label = label
		sim.wg.Go(func() {
			time.Sleep(p.after + sim.messageDelay(label+"/start"))
			answer := sim.callThrough(p.node, r)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, callResult{r, answer})
		})
	}
	sim.wg.Go(sim.tickLedgers)
	for n, p := range callSchedule {
		submit(fmt.Sprintf("main%d", n), p, request{key: mainKey, booking: mainBooking, authorization: "farm", main: true})
	}
	for n, p := range callSchedule[:6] {
		submit(fmt.Sprintf("other%d", n), p, request{key: otherKey, booking: "other-200-cartons", authorization: "farm"})
	}
	for n, p := range callSchedule[3:8] {
		submit(fmt.Sprintf("reuse%d", n), p, request{key: mainKey, booking: mainBooking, authorization: "cooperative"})
	}
	sim.wg.Wait()
	slices.SortFunc(all, func(a, b callResult) int { return compare(a.request.label, b.request.label) })
	return all
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// bookingKey returns the key for a booking: chosen by the caller or issued for the
// sidecar of node n2, depending on the scenario.
func (sim *simulation) bookingKey(text string) string {
	if sim.cell.Scenario.CallerChosen {
		return fmt.Sprintf("%d-%s", sim.start.Unix(), text)
	}
	return sim.nodes[0].instance().issue(sim.node("n2")).String()
}

// callThrough sends one request through the named node and returns the reply as
// seen by the caller.
func (sim *simulation) callThrough(name string, r request) reply {
	n := sim.node(name)
	answer, err := sim.send(newProcess("caller", nil), exchange{
		label:   r.label,
		main:    r.main,
		request: CallerRequest,
		answer:  CallerAnswer,
		timeout: callerTimeout,
		target: func() (*process, func() reply) {
			to := n.instance()
			return to.proc, func() reply { return to.ingress(r) }
		},
	})
	if err != nil {
		return failedReply(call.Unknown, call.ReasonLost)
	}
	return answer
}

// findViolations compares the replies to callers with the bookings that ran.
func (sim *simulation) findViolations(all []callResult) (violations []string) {
	for id, runs := range sim.runLabels {
		if len(runs) > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times, for %v", id, len(runs), runs))
		}
	}
	for _, s := range all {
		id := s.request.authorization + "/" + s.request.booking
		want := fmt.Sprintf("booked %s, run 1", id)
		switch {
		case s.reply.outcome == call.NotRun && len(sim.runLabels[id]) > 0:
			violations = append(violations, fmt.Sprintf("%s was told notRun (%s), but %s ran for %v", s.request.label, s.reply.reason, id, sim.runLabels[id]))
		case s.reply.outcome == call.Answered && s.reply.body != want:
			violations = append(violations, fmt.Sprintf("%s was answered %q, expected %q", s.request.label, s.reply.body, want))
		}
	}
	slices.Sort(violations)
	return violations
}
