package quota_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingslip/lacewingslip/quota"
)

// Guards against a cap that is exceeded in any order of loss, delay, cuts, suspension, kills,
// restarts and joins, and against capacity that is lost for good by them.
func TestCapHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := quota.Cap{Rate: rapid.Float64Range(5, 100).Draw(t, "rate"), Burst: rapid.Float64Range(5, 100).Draw(t, "burst")}
		n := newNetwork(rapid.IntRange(1, 20).Draw(t, "nodes"), c, rapid.Uint64().Draw(t, "seed"))
		node := func() *testNode { return n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")] }
		within := func(longest time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(1, int64(longest)).Draw(t, "time"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"load":    func(*rapid.T) { n.all(c.Rate*rapid.Float64Range(0.5, 8).Draw(t, "load"), within(5*time.Second)) },
			"hotspot": func(*rapid.T) { n.offer(node(), 2*c.Rate, within(5*time.Second)) },
			"loss":    func(*rapid.T) { n.lossPct = rapid.IntRange(0, 90).Draw(t, "loss") },
			"cut":     func(*rapid.T) { node().side = rapid.IntRange(0, 2).Draw(t, "side") },
			"suspend": func(*rapid.T) { node().suspended = n.now.Add(within(4 * time.Second)) },
			"kill":    func(*rapid.T) { n.kill(node(), within(3*time.Second)) },
			"join":    func(*rapid.T) { n.join(quota.HandoverDelay) },
			"wait":    func(*rapid.T) { n.run(within(6 * time.Second)) },
		})
		must.LessEq(t, bound(c, n.terms), most(n.admitted, window))
		for _, d := range []time.Duration{500 * time.Millisecond, window} {
			allowed := c.Rate*(d+n.terms.AddedBurst).Seconds() + c.Burst
			must.LessEq(t, int(allowed), most(n.granted, d), must.Sprintf("tokens granted within %v", d))
		}

		n.lossPct = 0
		for _, node := range n.nodes {
			node.side = 0
		}
		n.run(10 * time.Second)
		n.offered, n.admitted = nil, nil
		n.all(0.8*c.Rate, 20*time.Second)
		n.run(21 * time.Second)
		must.GreaterEq(t, 0.9*float64(n.owed(c)), float64(len(n.admitted)))
	})
}
