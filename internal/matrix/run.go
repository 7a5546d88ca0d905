package matrix

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// mainBooking is the content of the booking that faults are aimed at.
const mainBooking = "main-400-egg-trays"

// Result is the verdict on a cell.
type Result struct {
	Cell Cell
	// Skipped says why the cell was not run, or is empty.
	Skipped string
	// Fired is how many of the cell's faults happened. Some points are reached
	// only after another fault.
	Fired int
	// Answered is how many requests of the main booking were answered.
	Answered int
	// Problems lists the broken promises.
	Problems []string
}

// sent is one request of a caller and what it was told.
type sent struct {
	request request
	reply   reply
}

// plan is when and through which node a caller sends.
type plan struct {
	after time.Duration
	node  string
}

// repeats go through other nodes hard at first, and again after a pause, after
// a late copy, after the key's validity and after it was forgotten.
var repeats = []plan{
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

// Run runs a cell without one mechanism, or with all of them on.
func Run(c Cell, seed uint64, off Mechanism) (r Result) {
	r.Cell = c
	for _, i := range c.Injections {
		if r.Skipped = i.skipped(c.Scenario); r.Skipped != "" {
			return r
		}
	}
	w := newWorld(c, seed, off)
	all := w.play()
	for _, fired := range w.fired {
		if fired {
			r.Fired++
		}
	}
	for _, s := range all {
		if s.request.main && s.reply.outcome == call.Answered {
			r.Answered++
		}
	}
	r.Problems = w.check(all)
	return r
}

// play lets three callers act: the main one, one with another booking, and one
// that uses the main one's key for a booking of its own.
func (w *world) play() (all []sent) {
	mainKey, otherKey := w.key(mainBooking), w.key("other-200-cartons")
	var mu sync.Mutex
	submit := func(label string, p plan, r request) {
		r.label = label
		w.wg.Go(func() {
			time.Sleep(p.after + w.delay(label+"/start"))
			answer := w.ask(p.node, r)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, sent{r, answer})
		})
	}
	w.wg.Go(w.tick)
	for n, p := range repeats {
		submit(fmt.Sprintf("main%d", n), p, request{key: mainKey, booking: mainBooking, authorization: "farm", main: true})
	}
	for n, p := range repeats[:6] {
		submit(fmt.Sprintf("other%d", n), p, request{key: otherKey, booking: "other-200-cartons", authorization: "farm"})
	}
	for n, p := range repeats[3:8] {
		submit(fmt.Sprintf("reuse%d", n), p, request{key: mainKey, booking: mainBooking, authorization: "cooperative"})
	}
	w.wg.Wait()
	slices.SortFunc(all, func(a, b sent) int { return compare(a.request.label, b.request.label) })
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

func (w *world) key(text string) string {
	if w.cell.Scenario.CallerChosen {
		return fmt.Sprintf("%d-%s", w.start.Unix(), text)
	}
	return w.nodes[0].instance().issue(w.node("n2")).String()
}

// ask sends one request through a node and returns what the caller learns.
func (w *world) ask(name string, r request) reply {
	n := w.node(name)
	answer, err := w.send(newProcess("caller", nil), exchange{
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
		return refused(call.Unknown, call.ReasonLost)
	}
	return answer
}

// check compares what callers were told with what ran.
func (w *world) check(all []sent) (problems []string) {
	for id, runs := range w.runs {
		if len(runs) > 1 {
			problems = append(problems, fmt.Sprintf("%s ran %d times, for %v", id, len(runs), runs))
		}
	}
	for _, s := range all {
		id := s.request.authorization + "/" + s.request.booking
		want := fmt.Sprintf("booked %s, run 1", id)
		switch {
		case s.reply.outcome == call.NotRun && len(w.runs[id]) > 0:
			problems = append(problems, fmt.Sprintf("%s was told notRun (%s), but %s ran for %v", s.request.label, s.reply.reason, id, w.runs[id]))
		case s.reply.outcome == call.Answered && s.reply.body != want:
			problems = append(problems, fmt.Sprintf("%s was answered %q, expected %q", s.request.label, s.reply.body, want))
		}
	}
	slices.Sort(problems)
	return problems
}
