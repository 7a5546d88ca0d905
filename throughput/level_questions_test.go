package throughput_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Replays overloads with the decisions of nodes that do not ask and of nodes that ask for levels.
// Guards against questions that cost goodput by worth, that delay the end of an overload, or that
// are more than ten a second for each node.
func TestQuestionsForLevels(t *testing.T) {
	for name, l := range map[string]load{
		"2 s":                   {1, 2 * time.Second, 0, false},
		"4 s":                   {1, 4 * time.Second, 0, false},
		"8.5 s":                 {1, faultEnd, 0, false},
		"16 s":                  {1, 16 * time.Second, 0, false},
		"1.7 times, 2 s":        {1.7, 2 * time.Second, 0, false},
		"1.7 times, 4 s":        {1.7, 4 * time.Second, 0, false},
		"1.7 times, 8.5 s":      {1.7, faultEnd, 0, false},
		"1.7 times, 16 s":       {1.7, 16 * time.Second, 0, false},
		"a tenth, 8.5 s":        {0.1, faultEnd, 0, false},
		"lost, 8.5 s":           {1, faultEnd, 0.3, false},
		"lost, 1.7 times 8.5 s": {1.7, faultEnd, 0.3, false},
		"slots, 8.5 s":          {1, faultEnd, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			before, now := l.play(1, true, false), l.play(1, true, true)
			before.report(t, "before", l.seconds())
			now.report(t, "now", l.seconds())
			t.Logf("worth %d, now %d; recovery %v, now %v; %d questions", before.worthOf(l.seconds()), now.worthOf(l.seconds()),
				before.recovery(l.fault), now.recovery(l.fault), now.questions.sent)
			must.GreaterEq(t, before.worthOf(l.seconds()), now.worthOf(l.seconds()))
			must.LessEq(t, 2*time.Second, now.recovery(l.fault))
			must.LessEq(t, 10*len(now.questions.askers)*(l.seconds()+2), now.questions.sent)
		})
	}
}
