package throughput_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/pressure"
)

// Replays overloads with the decisions of nodes that do not ask and of nodes that ask for levels.
// Guards against questions that cost goodput by worth, that delay the end of an overload, or that
// are more than ten a second for each node.
func TestQuestionsForLevels(t *testing.T) {
	t.Parallel()
	// The faults of 2 and 4 s end before the budget is used up. What is gained there is less than
	// the difference between two seeds, so several are added.
	const one, several = 1, 5
	for name, c := range map[string]struct {
		load
		seeds uint64
	}{
		"2 s":                    {load{1, 2 * time.Second, 0, false}, several},
		"4 s":                    {load{1, 4 * time.Second, 0, false}, several},
		"8.5 s":                  {load{1, faultEnd, 0, false}, one},
		"16 s":                   {load{1, 16 * time.Second, 0, false}, one},
		"1.7 times, 2 s":         {load{1.7, 2 * time.Second, 0, false}, several},
		"1.7 times, 4 s":         {load{1.7, 4 * time.Second, 0, false}, several},
		"1.7 times, 8.5 s":       {load{1.7, faultEnd, 0, false}, one},
		"1.7 times, 16 s":        {load{1.7, 16 * time.Second, 0, false}, one},
		"a tenth, 8.5 s":         {load{0.1, faultEnd, 0, false}, one},
		"lost, 8.5 s":            {load{1, faultEnd, 0.3, false}, one},
		"lost, 1.7 times, 8.5 s": {load{1.7, faultEnd, 0.3, false}, one},
		"slots, 8.5 s":           {load{1, faultEnd, 0, true}, one},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worthBefore, worthNow := 0, 0
			for seed := uint64(1); seed <= c.seeds; seed++ {
				before, now := c.baseline(seed), c.play(seed, true, true)
				before.report(t, "before", c.seconds())
				now.report(t, "now", c.seconds())
				busiest := 0
				for _, n := range now.questions.received {
					busiest = max(busiest, n)
				}
				t.Logf("worth %d, now %d; recovery %v, now %v; %d questions, at most %d a second to a node", before.worthOf(c.seconds()), now.worthOf(c.seconds()),
					before.recovery(c.fault), now.recovery(c.fault), now.questions.sent, busiest)
				worthBefore, worthNow = worthBefore+before.worthOf(c.seconds()), worthNow+now.worthOf(c.seconds())
				must.LessEq(t, 2*time.Second, now.recovery(c.fault))
				must.LessEq(t, 10*len(now.questions.askers)*(c.seconds()+2), now.questions.sent)
			}
			must.GreaterEq(t, worthBefore, worthNow)
		})
	}
}

// Guards against an end that reaches ingress late over three hops: the levels at the bottom fall at
// once, after an overload in which hardly any request is admitted. Each hop averages with the time
// constant of package pressure.
func TestEndReachesIngress(t *testing.T) {
	t.Parallel()
	const end, within, timeConstants = 4 * time.Second, 500 * time.Millisecond, 3 * 100 * time.Millisecond
	for name, rate := range map[string]float64{"usual load": 1, "a tenth": 0.1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			level := func(asks bool) (mean float64) {
				s := newSimulation(1, rejecting(0, 0), true, true)
				s.rate = rate
				s.forcedLevel = func(now time.Duration) float64 {
					if now >= 0 && now < end {
						return 1
					}
					return 0
				}
				if asks {
					s.ask(0)
				}
				s.run(end + within + timeConstants)
				for _, shedder := range s.ingress {
					mean += shedder.Level(s.time(), pressure.Target{Route: quizView.name}) / nodes
				}
				return mean
			}
			without, with := level(false), level(true)
			t.Logf("level %.3f without questions, %.3f with questions", without, with)
			must.LessEq(t, 0.1, with)
		})
	}
}

// Guards against questions while all levels are 0.
func TestNoQuestionsWithoutLevel(t *testing.T) {
	t.Parallel()
	s := load{1, 2 * time.Second, 0, false}.playRejecting(0.05)
	must.Zero(t, s.questions.sent)
}
