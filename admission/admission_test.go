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

// script drives a controller by short steps and returns its decisions as text.
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

// Guards against calls overtaking more important or more urgent ones.
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

// Guards against running calls that can't be answered in time.
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
	must.EqOp(t, "8 admitted ;", s.arrive(203, 8, call.Low, 210), must.Sprint("an idle server tries any call"))
}
