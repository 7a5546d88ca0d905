package admission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/call"
)

// model tracks the decisions of a controller and checks the order of refusals: a call
// that had to wait, or arrived at a full queue, is refused only if no less important
// call is queued and none has been admitted since the refused call arrived.
type model struct {
	importance map[uint64]call.Importance
	queued     map[uint64]bool
	running    map[uint64]bool
	overtaken  map[uint64]bool
}

func (m *model) check(t *rapid.T, load admission.Load, arrived uint64, ticked bool, decisions []admission.Decision) {
	var refused []admission.Decision
	for _, d := range decisions {
		must.True(t, m.queued[d.ID] || d.ID == arrived, must.Sprintf("a second decision on call %d", d.ID))
		if d.Verdict == admission.Refused && (d.ID != arrived || d.Reason != call.ReasonTooLate) {
			refused = append(refused, d)
		}
		if d.Verdict == admission.Admitted {
			for id := range m.queued {
				m.overtaken[id] = m.overtaken[id] || m.importance[id] > m.importance[d.ID]
			}
			m.running[d.ID] = true
		}
		delete(m.queued, d.ID)
		if d.Verdict == admission.Queued {
			m.queued[d.ID] = true
		}
	}
	for _, r := range refused {
		must.False(t, m.overtaken[r.ID], must.Sprintf("call %d was refused after a less important one was admitted", r.ID))
		for id := range m.queued {
			// Without a tick before the arrival, calls may have been refused before
			// the new call was added to the queue.
			if id != arrived || ticked {
				must.GreaterEq(t, m.importance[r.ID], m.importance[id], must.Sprintf("call %d was refused while the less important call %d is queued", r.ID, id))
			}
		}
	}
	must.EqOp(t, load.Queued, len(m.queued))
	must.EqOp(t, load.Running, len(m.running))
	must.True(t, load.Queued == 0 || load.Running >= load.Limit, must.Sprint("calls wait although slots are free"))
}

// Guards against the refusal of a booking while lookups are served. Limits change
// during the test, and some runs have bookings only.
func TestRefusalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := rapid.Custom(func(t *rapid.T) admission.Limits {
			return admission.Limits{
				Slots: rapid.IntRange(0, 6).Draw(t, "slots"), Floor: rapid.IntRange(0, 3).Draw(t, "floor"),
				QueueLength: rapid.IntRange(0, 8).Draw(t, "queue"), WarmUp: time.Duration(rapid.IntRange(0, 500).Draw(t, "warmUp")) * time.Millisecond,
			}
		})
		lowest := rapid.SampledFrom(call.Importances()).Draw(t, "lowest")
		current := limits.Draw(t, "limits")
		c := admission.New(current, seeded())
		m := &model{map[uint64]call.Importance{}, map[uint64]bool{}, map[uint64]bool{}, map[uint64]bool{}}
		var now, next uint64
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.Uint64Range(0, 40).Draw(t, "ms")
			when, arrived, ticked := at(int(now)), uint64(0), true
			var out []admission.Decision
			switch rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "finish", "finish", "tick", "cancel", "configure"}).Draw(t, "step") {
			case "arrive":
				next++
				arrived = next
				i := max(rapid.SampledFrom(call.Importances()).Draw(t, "importance"), lowest)
				m.importance[next] = i
				if ticked = rapid.Bool().Draw(t, "ticked"); ticked {
					out = c.Tick(when, nil)
					m.check(t, c.Load(), 0, true, out)
				}
				out = c.Arrive(when, admission.Request{ID: next, Importance: i, Deadline: when.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "deadline")) * time.Millisecond), FromCustomer: rapid.Bool().Draw(t, "fromCustomer"), SheddingKey: rapid.Uint32().Draw(t, "sheddingKey")}, nil)
			case "finish":
				id := drawID(t, m.running)
				delete(m.running, id)
				out = c.Finish(when, id, admission.Result{Latency: time.Duration(rapid.IntRange(1, 300).Draw(t, "latency")) * time.Millisecond, ChildShed: rapid.Bool().Draw(t, "childShed")}, nil)
			case "tick":
				out = c.Tick(when, nil)
			case "cancel":
				id := drawID(t, m.queued)
				delete(m.queued, id)
				out = c.Cancel(when, id, nil)
			case "configure":
				current = limits.Draw(t, "limits")
				c.Configure(when, current)
				out = c.Tick(when, nil)
			}
			m.check(t, c.Load(), arrived, ticked, out)
			must.LessEq(t, current.QueueLength, c.Load().Queued)
		}
	})
}

// drawID draws one of the lowest four IDs in the set, or returns 0 if it is empty.
func drawID(t *rapid.T, ids map[uint64]bool) uint64 {
	drawn := uint64(0)
	skip := rapid.IntRange(0, 3).Draw(t, "skip")
	for id := uint64(1); id <= 100 && skip >= 0; id++ {
		if ids[id] {
			drawn = id
			skip--
		}
	}
	return drawn
}
