package quota_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/quota"
)

const window = 5 * time.Second

// bound is what the requirement allows in a window, without the slack and with the share that
// Terms uses up.
func bound(c quota.Cap, terms quota.Terms) int {
	excess := (terms.Lifetime + terms.AddedBurst).Seconds() * c.Rate
	return int(c.Rate*window.Seconds() + max(c.Burst, 1) + excess)
}

// all offers requests at all nodes, at a total rate.
func (n *network) all(rate float64, d time.Duration) {
	for _, node := range n.nodes {
		n.offer(node, rate/float64(len(n.nodes)), d)
	}
}

// Guards against caps that are exceeded, and against requests within them that are refused,
// under the loads that the caps are designed for.
func TestLoads(t *testing.T) {
	type load struct {
		nodes int
		cap   quota.Cap
		run   func(n *network)
		// served is the part of the owed requests that is admitted at least.
		served float64
	}
	small, large := quota.Cap{Rate: 20, Burst: 20}, quota.Cap{Rate: 300, Burst: 150}
	cases := map[string]load{
		"small, at its rate":      {69, small, func(n *network) { n.all(18, 30*time.Second); n.run(31 * time.Second) }, 0.9},
		"large, at its rate":      {69, large, func(n *network) { n.all(270, 30*time.Second); n.run(31 * time.Second) }, 0.9},
		"small, calm":             {69, small, func(n *network) { n.all(10, 30*time.Second); n.run(31 * time.Second) }, 0.99},
		"small, 8 times the rate": {69, small, func(n *network) { n.all(160, 6*time.Second); n.run(7 * time.Second) }, 0.9},
		"large, 6 times the rate": {69, large, func(n *network) { n.all(1800, 6*time.Second); n.run(7 * time.Second) }, 0.9},
		"one node":                {69, small, func(n *network) { n.offer(n.nodes[3], 18, 20*time.Second); n.run(21 * time.Second) }, 0.9},
		"one node, large":         {69, large, func(n *network) { n.offer(n.nodes[3], 270, 20*time.Second); n.run(21 * time.Second) }, 0.9},
		"one node, overloaded":    {69, large, func(n *network) { n.offer(n.nodes[3], 1500, 6*time.Second); n.run(7 * time.Second) }, 0.9},
		"callers move": {69, large, func(n *network) {
			for zone := range 5 {
				for i := range nodesPerZone {
					n.offer(n.nodes[nodesPerZone*zone+i], 240./nodesPerZone, 4*time.Second)
				}
				n.run(4 * time.Second)
			}
			n.run(time.Second)
		}, 0.9},
		"cut off": {69, large, func(n *network) {
			n.all(200, 20*time.Second)
			n.run(4 * time.Second)
			cutOff(n, func(int) int { return 1 })
		}, 0.9},
		"small, cut off": {69, small, func(n *network) {
			n.all(12, 20*time.Second)
			n.run(4 * time.Second)
			cutOff(n, func(int) int { return 1 })
		}, 0.9},
		"each cut off alone": {69, large, func(n *network) {
			n.all(200, 20*time.Second)
			n.run(4 * time.Second)
			cutOff(n, func(node int) int { return node + 1 })
		}, 0.8},
		"killed": {69, large, func(n *network) {
			n.all(200, 20*time.Second)
			n.run(4 * time.Second)
			for _, node := range n.nodes[:38] {
				n.kill(node, 2*time.Second)
			}
			n.run(17 * time.Second)
		}, 0.85},
		"stopped one after the other": {24, small, func(n *network) {
			n.all(16, 24*time.Second)
			for _, node := range n.nodes {
				n.run(time.Second)
				n.kill(node, 500*time.Millisecond)
			}
			n.run(2 * time.Second)
		}, 0.9},
		"cap changes": {69, small, func(n *network) {
			n.all(100, 30*time.Second)
			for version := range 12 {
				n.publish(version, quota.Cap{Rate: 20 * float64(12-version), Burst: 20 * float64(1+version%3)}, time.Second)
				n.run(250 * time.Millisecond)
			}
			n.publish(12, small, time.Second)
			n.run(time.Second)
			n.offered, n.admitted = nil, nil
			n.run(20 * time.Second)
		}, 0.9},
		"single node":                {1, small, func(n *network) { n.all(18, 20*time.Second); n.run(21 * time.Second) }, 0.9},
		"no burst":                   {69, quota.Cap{Rate: 20}, func(n *network) { n.all(14, 20*time.Second); n.run(21 * time.Second) }, 0.9},
		"1,100 nodes":                {1100, large, func(n *network) { n.all(270, 10*time.Second); n.run(11 * time.Second) }, 0.9},
		"1,100 nodes, overloaded":    {1100, small, func(n *network) { n.all(160, 6*time.Second); n.run(7 * time.Second) }, 0.9},
		"less than a token a second": {69, quota.Cap{Rate: 0.5, Burst: 5}, func(n *network) { n.all(0.4, 100*time.Second); n.run(101 * time.Second) }, 0.9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(c.nodes, c.cap, 1)
			n.run(10 * time.Second) // Buckets fill.
			c.run(n)
			owed := n.owed(c.cap)
			t.Logf("offered %d, admitted %d, owed %d, most in a window %d of %d, messages %d", len(n.offered), len(n.admitted), owed, most(n.admitted, window), bound(c.cap, n.terms), n.messages)
			must.LessEq(t, bound(c.cap, n.terms), most(n.admitted, window))
			must.GreaterEq(t, c.served*float64(owed), float64(len(n.admitted)))
		})
	}
}

// cutOff puts 24 nodes on other sides of a cut for 12 s, and lets the network recover.
func cutOff(n *network, sideOf func(node int) (side int)) {
	for i, node := range n.nodes[:24] {
		node.side = sideOf(i)
	}
	n.run(12 * time.Second)
	for _, node := range n.nodes[:24] {
		node.side = 0
	}
	n.run(5 * time.Second)
}
