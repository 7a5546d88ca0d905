package quota_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/quota"
)

// viewChange is a set of nodes that a keeper learns of at a time.
type viewChange struct {
	at    time.Time
	nodes quota.Nodes
}

// changingKeepers are the keepers of a deployment whose nodes and regions change. Each of them
// learns of a change within HandoverDelay.
type changingKeepers struct {
	random   *rand.Rand
	regionOf map[string]string
	accounts map[string]*quota.Accounts
	changes  map[string][]viewChange
	terms    quota.Terms
}

func newChangingKeepers(random *rand.Rand, terms quota.Terms) *changingKeepers {
	k := &changingKeepers{random: random, regionOf: make(map[string]string), accounts: make(map[string]*quota.Accounts), changes: make(map[string][]viewChange), terms: terms}
	for n := range 2 + random.IntN(12) {
		k.regionOf[fmt.Sprintf("node-%d", n)] = fmt.Sprintf("region-%d", random.IntN(4))
	}
	for node := range k.regionOf {
		k.accounts[node] = quota.NewAccounts(node, terms)
		k.accounts[node].Restore(start, quota.NewNodesInRegions(k.regionOf))
	}
	return k
}

// change adds the node in a region, which may be a new one, or removes another one.
func (k *changingKeepers) change(at time.Time, node string) {
	names := slices.Sorted(maps.Keys(k.regionOf))
	if len(names) > 2 && k.random.IntN(3) == 0 {
		node = names[k.random.IntN(len(names))]
		delete(k.regionOf, node)
		delete(k.accounts, node)
	} else {
		k.regionOf[node] = fmt.Sprintf("region-%d", k.random.IntN(6))
		k.accounts[node] = quota.NewAccounts(node, k.terms)
	}
	nodes := quota.NewNodesInRegions(k.regionOf)
	for _, other := range slices.Sorted(maps.Keys(k.regionOf)) {
		learnAt := at
		if other != node {
			learnAt = at.Add(time.Duration(k.random.Int64N(int64(quota.HandoverDelay))))
		}
		k.changes[other] = append(k.changes[other], viewChange{learnAt, nodes})
	}
}

// grant returns the number of tokens that all keepers together grant if each is asked for want.
func (k *changingKeepers) grant(now time.Time, c quota.Cap, want int) (tokens int) {
	for node, accounts := range k.accounts {
		for len(k.changes[node]) > 0 && !now.Before(k.changes[node][0].at) {
			accounts.SetNodes(now, k.changes[node][0].nodes)
			k.changes[node] = k.changes[node][1:]
		}
		tokens += accounts.Grant(now, workspace, c, want).Tokens
	}
	return tokens
}

// Guards against a cap that is exceeded while nodes learn, each at another time, that the number
// of regions or of nodes has changed, and with it the number of keepers.
func TestCapHoldsWhileRegionsChange(t *testing.T) {
	const step, changes = 50 * time.Millisecond, 6
	terms := quota.NewTerms(window, 0.1, 20)
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, seedOfNodes))
		c := quota.Cap{Rate: float64(5 + random.IntN(100)), Burst: float64(random.IntN(100))}
		k := newChangingKeepers(random, terms)
		at := start.Add(window)
		for n := range changes {
			k.change(at, fmt.Sprintf("node-%d", 20+n))
			at = at.Add(time.Duration(random.Int64N(int64(2 * quota.HandoverDelay))))
		}
		// The buckets are full when the requests begin.
		begin := start.Add(window + time.Duration(random.Int64N(int64(at.Sub(start)))))
		var granted []time.Time
		for now := start; now.Before(begin.Add(2 * window)); now = now.Add(step) {
			want := 0
			if !now.Before(begin) {
				want = 1000
			}
			granted = append(granted, slices.Repeat([]time.Time{now}, k.grant(now, c, want))...)
		}
		// The tokens of one step more than the window are granted at its ends.
		limit := int(c.Rate*(window+step+terms.AddedBurst).Seconds()+max(c.Burst, 1)+terms.AddedTokens) + 1
		must.LessEq(t, limit, most(granted, window), must.Sprintf("seed %d", seed))
	}
}
