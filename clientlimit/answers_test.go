package clientlimit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingslip/lacewingslip/clientlimit"
)

const (
	answerLimit   = 100
	answerReserve = 40
	stallTimeout  = time.Second
)

func newAnswers() *clientlimit.AnswerBudget {
	return clientlimit.NewAnswerBudget(answerLimit, map[clientlimit.Port]int64{"peer": answerReserve}, stallTimeout)
}

// Guards against cutting a response whose client reads, and against callers that take the reserve
// of other nodes.
func TestOrderOfEvictedAnswers(t *testing.T) {
	budget, now := newAnswers(), time.Unix(0, 0)
	hold := func(port clientlimit.Port, owner string, held int64) (a *clientlimit.Answer, victim any, ok bool) {
		a = budget.Open(port, owner)
		evicted, ok := a.Charge(now, held)
		if evicted != nil {
			victim = evicted.Owner()
		}
		return a, victim, ok
	}
	reading, _, _ := hold("caller", "reading", 20)
	stalled, _, _ := hold("caller", "stalled", 20)
	unwritten, _, _ := hold("caller", "unwritten", 20)
	must.True(t, reading.Progress(now) && stalled.Progress(now))
	now = now.Add(stallTimeout)
	_, victim, ok := hold("caller", "early", 10)
	must.True(t, victim == nil && !ok, must.Sprint("a response was evicted before its time"))
	now = now.Add(1)
	must.True(t, reading.Progress(now))
	_, victim, ok = hold("caller", "late", 10)
	must.Eq(t, any("stalled"), victim)
	must.False(t, ok)
	_, victim, ok = hold("caller", "later", 20)
	must.True(t, victim == nil && !ok, must.Sprint("another response was evicted although one leaves already"))
	must.False(t, stalled.Progress(now))
	_, _, ok = hold("peer", "peer", answerReserve)
	must.True(t, ok)
	stalled.Release()
	_, _, ok = hold("caller", "latest", 20)
	must.True(t, ok)
	must.Eq(t, answerLimit, budget.Used())
	_, admitted := budget.Admits(now, "caller", 1)
	must.False(t, admitted)
	unwritten.Release()
	_, admitted = budget.Admits(now, "caller", 1)
	must.True(t, admitted)
}

// Guards against cutting responses whose clients read, because the process stood still and has not
// written what they wait for.
func TestNoAnswerIsEvictedAfterPause(t *testing.T) {
	const tick = 100 * time.Millisecond
	budget, now := newAnswers(), time.Unix(0, 0)
	a := budget.Open("caller", nil)
	_, ok := a.Charge(now, answerLimit-answerReserve)
	must.True(t, ok && a.Progress(now))
	budget.Tick(now)
	now = now.Add(5 * stallTimeout)
	for _, step := range []string{"before the first tick", "after the first tick"} {
		victim, ok := budget.Admits(now, "caller", 1)
		must.True(t, victim == nil && !ok, must.Sprint(step))
		budget.Tick(now)
	}
	must.True(t, a.Progress(now))
	for stalled := time.Duration(0); stalled <= stallTimeout; stalled += tick {
		budget.Tick(now.Add(stalled))
		victim, _ := budget.Admits(now.Add(stalled), "caller", 1)
		must.True(t, victim == nil)
	}
	victim, _ := budget.Admits(now.Add(stallTimeout+tick), "caller", 1)
	must.True(t, victim == a)
}

// Guards against a budget that never evicts again, because an evicted response has changed its
// charge, and against cutting the next response of a connection whose response was written.
func TestEvictedAndWrittenAnswers(t *testing.T) {
	budget, now := newAnswers(), time.Unix(0, 0)
	late := func() time.Time { now = now.Add(2 * stallTimeout); return now }
	for range 2 {
		a := budget.Open("caller", nil)
		_, ok := a.Charge(now, answerLimit-answerReserve)
		must.True(t, ok && a.Progress(now))
		victim, _ := budget.Admits(late(), "caller", 1)
		must.True(t, victim == a)
		_, ok = a.Charge(now, 1)
		must.False(t, ok || a.Progress(now) || a.Written())
		a.Release()
		must.Zero(t, budget.Used())
	}
	a := budget.Open("caller", nil)
	_, ok := a.Charge(now, answerLimit-answerReserve)
	must.True(t, ok && a.Progress(now) && a.Written())
	victim, _ := budget.Admits(late(), "caller", 1)
	must.True(t, victim == nil)
	must.True(t, a.Progress(now))
}

// Guards against a budget that is exceeded, or that loses what responses have returned.
func TestAnswersStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, now := newAnswers(), time.Unix(0, 0)
		var open []*clientlimit.Answer
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				open = append(open, budget.Open(rapid.SampledFrom([]clientlimit.Port{"caller", "peer"}).Draw(t, "port"), nil))
			case 1:
				if len(open) > 0 {
					// A response without room holds what it held before.
					_, _ = open[rapid.IntRange(0, len(open)-1).Draw(t, "charged")].Charge(now, int64(rapid.IntRange(0, 60).Draw(t, "held")))
				}
			case 2:
				if len(open) > 0 {
					_ = open[rapid.IntRange(0, len(open)-1).Draw(t, "written")].Progress(now)
				}
			default:
				if len(open) > 0 {
					n := rapid.IntRange(0, len(open)-1).Draw(t, "released")
					open[n].Release()
					open = append(open[:n], open[n+1:]...)
				}
			}
			if budget.Used() > budget.Limit() {
				t.Fatalf("%d bytes are held, expected at most %d", budget.Used(), budget.Limit())
			}
		}
		for _, a := range open {
			a.Release()
		}
		if budget.Used() != 0 {
			t.Fatalf("%d bytes are held after all were released", budget.Used())
		}
		if _, ok := budget.Admits(now, "caller", 1); !ok {
			t.Fatal("an empty budget admits nothing")
		}
	})
}
