package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/quota"
)

const (
	regionNodes = 69
	regionCount = 3
	zoneCount   = 2 * regionCount
	// Loads consist of loadSteps steps.
	loadSteps, loadStep = 6, 4 * time.Second
	// surgeStep is the time of a step for loads that are far above the cap.
	surgeStep = time.Second
)

// regionTerms has the terms of a deployment that tolerates 20 requests.
var regionTerms = quota.NewTerms(window, 0.1, 20)

// regionLoads offer a rate to 69 nodes in six zones of three regions for loadSteps steps.
var regionLoads = map[string]func(n *network, rate float64, step time.Duration){
	"even": func(n *network, rate float64, step time.Duration) {
		n.all(rate, loadSteps*step)
		n.run(loadSteps * step)
	},
	"uneven": func(n *network, rate float64, step time.Duration) {
		n.zones(rate, loadSteps*step, .35, .12, .06, .3, .12, .05)
	},
	"moving": func(n *network, rate float64, step time.Duration) {
		for at := range loadSteps {
			shares := []float64{.08, .08, .08, .08, .08, .08}
			shares[at%zoneCount] = 0.6
			n.zones(rate, step, shares...)
		}
	},
	"cut": func(n *network, rate float64, step time.Duration) {
		n.all(rate, loadSteps*step)
		n.run(step)
		for _, node := range n.nodes[:24] {
			node.side = 1
		}
		n.run(3 * step)
		for _, node := range n.nodes {
			node.side = 0
		}
		n.run(2 * step)
	},
	"killed": func(n *network, rate float64, step time.Duration) {
		n.all(rate, loadSteps*step)
		n.run(step)
		for _, node := range n.nodes[:38] {
			n.kill(node, 2*time.Second)
		}
		n.run((loadSteps - 1) * step)
	},
	"frozen": func(n *network, rate float64, step time.Duration) {
		n.all(rate, loadSteps*step)
		for at := range loadSteps {
			for _, node := range n.nodes[10*at : 10*at+10] {
				node.suspended = n.now.Add(step / 2)
			}
			n.run(step)
		}
	},
}

// regionCaps are caps with the rates that are offered.
var regionCaps = map[string]struct {
	cap  quota.Cap
	rate float64
	step time.Duration
}{
	"small":                {quota.Cap{Rate: 14, Burst: 14}, 10, loadStep},
	"small, near its cap":  {quota.Cap{Rate: 14, Burst: 14}, 13, loadStep},
	"small, 8 times":       {quota.Cap{Rate: 14, Burst: 14}, 80, surgeStep},
	"smallest":             {quota.Cap{Rate: 5, Burst: 5}, 4, loadStep},
	"middle, little burst": {quota.Cap{Rate: 40, Burst: 10}, 30, loadStep},
	"large":                {quota.Cap{Rate: 210, Burst: 210}, 150, loadStep},
	"large, near its cap":  {quota.Cap{Rate: 210, Burst: 210}, 195, loadStep},
	"large, 8 times":       {quota.Cap{Rate: 210, Burst: 210}, 1200, surgeStep},
}

// newRegionNetwork returns a network for regionLoads with full buckets. Each seed has a workspace
// of its own, so that its keepers are other nodes.
func newRegionNetwork(c quota.Cap, seed uint64) *network {
	n := newNetworkInRegions(regionNodes, regionCount, c, seed, regionTerms)
	n.workspace = fmt.Sprintf("workspace-%d", seed)
	n.run(window)
	return n
}

// zones offers the load to the zones by their shares.
func (n *network) zones(rate float64, d time.Duration, shares ...float64) {
	counts := make([]float64, zoneCount)
	for i := range n.nodes {
		counts[i%zoneCount]++
	}
	for i, node := range n.nodes {
		n.offer(node, rate*shares[i%zoneCount]/counts[i%zoneCount], d)
	}
	n.run(d)
}

// Guards against caps that are exceeded, and against requests within them that are refused, in
// a deployment with regions: by keepers that all are in one region, and by pauses in which a node
// asks no keeper although some have tokens.
func TestLoadsInRegions(t *testing.T) {
	for capName, c := range regionCaps {
		for loadName, load := range regionLoads {
			t.Run(capName+"/"+loadName, func(t *testing.T) {
				n := newRegionNetwork(c.cap, 1)
				load(n, c.rate, c.step)
				n.run(time.Second)
				served := 0.9
				switch loadName {
				case "cut":
					// Of the requests of 35% of the nodes, those that their side has no part for
					// are refused.
					served = 0.7
				case "killed":
					// Far over the cap, the parts of 55% of the nodes are lost for 2 of 7 s.
					served = 0.8
				}
				must.LessEq(t, bound(c.cap, n.terms)+int(n.terms.AddedTokens), most(n.admitted, window))
				must.GreaterEq(t, served*float64(n.owed(c.cap)), float64(len(n.admitted)))
			})
		}
	}
}

// Guards against a region whose callers ask other regions for credit all the time, because fewer
// keepers than elsewhere are in it.
func TestRegionsHaveEqualParts(t *testing.T) {
	for capName, c := range regionCaps {
		t.Run(capName, func(t *testing.T) {
			n := newRegionNetwork(c.cap, 1)
			keepers := make([]int, regionCount)
			for i, node := range n.nodes {
				if node.accounts.Grant(node.clock(n), n.workspace, c.cap, 1).Keeper {
					keepers[i%regionCount]++
				}
			}
			must.Positive(t, keepers[0])
			must.Eq(t, []int{keepers[0], keepers[0], keepers[0]}, keepers)
		})
	}
}

// Guards against messages that grow with the requests of a workspace that is far over its cap,
// and against nodes that ask too late again when the excess has ended.
func TestExcessCostsFewMessages(t *testing.T) {
	for name, c := range map[string]struct {
		cap quota.Cap
		// messages and crossRegion are the most messages per request, to all nodes and to other
		// regions.
		messages, crossRegion float64
	}{
		"small": {quota.Cap{Rate: 14, Burst: 14}, 1.4, 0.8},
		"large": {quota.Cap{Rate: 210, Burst: 210}, 1.2, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			n := newRegionNetwork(c.cap, 1)
			n.all(6*c.cap.Rate, 6*time.Second)
			n.run(6 * time.Second)
			requests := float64(len(n.offered))
			must.LessEq(t, c.messages, float64(n.remote)/requests)
			must.LessEq(t, c.crossRegion, float64(n.crossRegion)/requests)
			n.run(time.Second)
			n.offered, n.admitted = nil, nil
			n.all(0.7*c.cap.Rate, 3*time.Second)
			n.run(4 * time.Second)
			must.GreaterEq(t, 0.9*float64(len(n.offered)), float64(len(n.admitted)))
		})
	}
}
