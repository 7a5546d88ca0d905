package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/retry"
)

// chain sends customer requests through one node per depth. All random choices are
// drawn by rapid, so that it can shrink failing cases.
type chain struct {
	*rapid.T
	nodes       []*retry.Ledger
	policy      call.RepeatPolicy
	fanOutDepth int
	repeats     int
	// dropsContext is true for each node whose backend server does not propagate the
	// context.
	dropsContext []bool
	grant        int
	retries      int
	// answered counts the answered child calls without a context, per node.
	answered []int
}

func (c *chain) send(b *retry.Budget, depth int) (o call.Outcome, failed bool) {
	for {
		tokens := b.Lend(c.policy)
		tokensLeft, o, failed := c.run(depth, tokens)
		if rapid.IntRange(0, 9).Draw(c.T, "lost") == 0 {
			tokensLeft, o = 0, call.Unknown
		}
		b.Return(tokensLeft)
		mayRepeat := o == call.NotRun || o == call.Unknown && c.policy == call.Always
		if !mayRepeat || !b.Spend() {
			return o, failed
		}
		c.recordRetry()
	}
}

// run simulates the sidecar, the backend server and the egress of one hop.
func (c *chain) run(depth, tokens int) (tokensLeft int, o call.Outcome, failed bool) {
	if rapid.IntRange(0, 9).Draw(c.T, "refused") < 3 {
		return tokens, call.NotRun, false
	}
	if depth == len(c.nodes) {
		return tokens, call.Answered, rapid.Bool().Draw(c.T, "fails")
	}
	node, id := c.nodes[depth], call.NewID()
	node.Open(retry.RunningCall{Context: call.Context{Call: id, Tokens: tokens}})
	parent := id
	if c.dropsContext[depth] {
		parent = ""
	}
	calls := 1
	if depth == c.fanOutDepth {
		calls = 3
	}
	for i := range calls {
		child := retry.Child{Service: "s", Method: "GET", URI: fmt.Sprint(i)}
		for n := 0; n == 0 || failed && n <= c.repeats; n++ {
			failed = c.child(node, parent, child, depth, n > 0)
		}
	}
	return node.Close(id), call.Answered, failed
}

func (c *chain) child(node *retry.Ledger, parent call.ID, child retry.Child, depth int, repeat bool) (failed bool) {
	p, ok := node.BeginChild(parent, child)
	if !ok {
		return true
	}
	if repeat {
		c.recordRetry()
	}
	b := retry.NewBudget(p.Tokens)
	o, failed := c.send(b, depth+1)
	node.EndChild(parent, child, retry.ChildResult{TokensLeft: b.Remaining(), Outcome: o, Failed: failed})
	failed = failed || o != call.Answered
	if !failed && parent == "" {
		c.answered[depth]++
	}
	return failed
}

// recordRetry counts a retry and checks that the number of retries does not exceed the
// granted tokens and the retries allowed by answered child calls without a context.
func (c *chain) recordRetry() {
	c.retries++
	allowed := 0
	for _, n := range c.answered {
		allowed += n / 10
	}
	must.LessEq(c, c.grant+allowed, c.retries)
}

// Guards against retries that multiply along a call chain. The chains have fan-out, lost
// answers, and backend servers that repeat calls or do not propagate the context.
func TestBound(t *testing.T) {
	for _, depth := range []int{1, 4, 12, 26} {
		t.Run(fmt.Sprint(depth), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				c := &chain{
					T: t, dropsContext: make([]bool, depth), answered: make([]int, depth),
					policy: rapid.SampledFrom(call.RepeatPolicies()).Draw(t, "policy"), fanOutDepth: rapid.IntRange(0, depth).Draw(t, "fanOutDepth"),
					repeats: rapid.IntRange(0, 3).Draw(t, "repeats"), grant: rapid.IntRange(0, call.MaxTokens).Draw(t, "grant"),
				}
				for i := range depth {
					c.nodes = append(c.nodes, retry.New())
					c.dropsContext[i] = rapid.IntRange(0, 5).Draw(t, "dropsContext") == 0
				}
				b := retry.NewBudget(c.grant)
				c.send(b, 1)
				must.LessEq(t, c.grant, b.Remaining()+b.Retries())
			})
		})
	}
}

// Guards against lending that leaves deep hops or further child calls without tokens,
// and against accepting more returned tokens than were lent.
func TestLending(t *testing.T) {
	l := open(3)
	a, _ := l.BeginChild("c", child("a"))
	b, _ := l.BeginChild("c", child("b"))
	must.Eq(t, []int{2, 1}, []int{a.Tokens, b.Tokens})
	l.EndChild("c", child("a"), retry.ChildResult{TokensLeft: 2, Outcome: call.Answered})
	l.EndChild("c", child("b"), retry.ChildResult{TokensLeft: 9, Outcome: call.Answered})
	must.EqOp(t, 3, l.Close("c"), must.Sprint("not more than were lent"))
	must.EqOp(t, 0, l.Close("c"))
}

// Guards against retries by a backend server that cost no token.
func TestRepeats(t *testing.T) {
	l := open(1)
	end := func(result retry.ChildResult) { l.EndChild("c", child("a"), result) }
	begin := func() string { p, ok := l.BeginChild("c", child("a")); return fmt.Sprint(p.Tokens, p.Retry, ok) }
	must.EqOp(t, "1 false true", begin())
	end(retry.ChildResult{TokensLeft: 1, Outcome: call.Answered, Failed: true})
	must.EqOp(t, "0 true true", begin())
	must.EqOp(t, "0 true false", begin(), must.Sprint("a second retry while the first is in progress"))
	end(retry.ChildResult{Outcome: call.Answered})
	must.EqOp(t, "0 false true", begin(), must.Sprint("after the retry was answered"))
}

// Guards against retries of a child call that was refused because of overload, which
// would cause more work for the same refusal.
func TestShed(t *testing.T) {
	l := open(3)
	p, _ := l.BeginChild("c", child("a"))
	must.False(t, l.ChildShed("c"))
	l.EndChild("c", child("a"), retry.ChildResult{TokensLeft: p.Tokens, Outcome: call.Answered, Failed: true, Shed: true})
	must.True(t, l.ChildShed("c"))
	_, ok := l.BeginChild("c", child("a"))
	must.False(t, ok)
	must.EqOp(t, 3, l.Close("c"))
}

// Guards against a child booking that runs twice because the backend server that
// repeats it gets a new key for it.
func TestKeys(t *testing.T) {
	for name, c := range map[string]struct {
		outcome call.Outcome
		content byte
		key     string
	}{
		"unknown":       {call.Unknown, 1, "k"},
		"other content": {call.Unknown, 2, ""},
		"not run":       {call.NotRun, 1, ""},
		"answered":      {call.Answered, 1, ""},
	} {
		l := open(3)
		_, _ = l.BeginChild("c", child("a"))
		l.BindKey("c", child("a"), "k")
		p, ok := l.BeginChild("c", child("a"))
		must.True(t, ok && p.Key == "k" && p.Retry, must.Sprint("the first attempt is in progress"))
		l.EndChild("c", child("a"), retry.ChildResult{TokensLeft: 2, Outcome: c.outcome, Key: "k"})
		repeat := child("a")
		repeat.Content[0] = c.content
		p, _ = l.BeginChild("c", repeat)
		must.EqOp(t, c.key, p.Key, must.Sprint(name))
	}
	l := open(0)
	l.BindKey("c", child("a"), "k")
	p, ok := l.BeginChild("c", child("a"))
	must.True(t, !ok && p.Key == "k", must.Sprint("not permitted, but the outcome is unknown"))
}

// Guards against unlimited retries by backend servers that do not propagate the
// context, and against refusing their calls permanently.
func TestContextless(t *testing.T) {
	l := retry.New()
	begin := func() bool { _, ok := l.BeginChild("?", child("a")); return ok }
	l.Tick(time.Unix(1, 0))
	must.True(t, begin())
	l.EndChild("?", child("a"), retry.ChildResult{Outcome: call.NotRun})
	must.False(t, begin())
	for range 10 {
		l.EndChild("?", child("b"), retry.ChildResult{Outcome: call.Answered})
	}
	must.True(t, begin(), must.Sprint("allowed by ten answers"))
	l.EndChild("?", child("a"), retry.ChildResult{Outcome: call.NotRun})
	must.False(t, begin())
	l.Tick(time.Unix(2, 0))
	must.True(t, begin())
}

func child(uri string) retry.Child {
	return retry.Child{Service: "s", Method: "GET", URI: uri, Content: [32]byte{1}}
}

func open(tokens int) *retry.Ledger {
	l := retry.New()
	l.Open(retry.RunningCall{Context: call.Context{Call: "c", Tokens: tokens}})
	return l
}

func BenchmarkLedger(b *testing.B) {
	l := retry.New()
	r := retry.RunningCall{Context: call.Context{Call: "c", Tokens: 3}}
	c := child("a")
	b.ReportAllocs()
	for b.Loop() {
		l.Open(r)
		p, _ := l.BeginChild("c", c)
		l.EndChild("c", c, retry.ChildResult{TokensLeft: p.Tokens, Outcome: call.NotRun})
		p, _ = l.BeginChild("c", c)
		l.EndChild("c", c, retry.ChildResult{TokensLeft: p.Tokens, Outcome: call.Answered})
		l.Close("c")
	}
}
