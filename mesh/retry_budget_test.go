package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

var budgetBounds = nodeconfig.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 49}

// All nodes together must stay within the budget of the deployment, whatever
// share of the requests fails.
func TestRetryBudget(t *testing.T) {
	for name, requests := range map[string]int{"idle": 0, "few": 100, "many": 20000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const nodes = 24
				retries := 0
				for range nodes {
					b := newRetryBudget(budgetBounds, func() int { return nodes })
					for n := range max(requests/nodes, 10) {
						if n < requests/nodes {
							b.recordRequest("orders", 0)
						}
						if b.trySpend("orders") {
							retries++
						}
						time.Sleep(budgetBounds.RetryWindow / time.Duration(max(requests/nodes, 10)))
					}
				}
				must.LessEq(t, int(budgetBounds.RetryRatio*float64(requests)+budgetBounds.RetrySlack), retries)
			})
		})
	}
}

// Guards against retries that leave most of the budget unused, and against retries
// that exceed it together with the calls of repeated runs. A retry of a leaf service
// causes no further calls, so it may use what those calls leave. A retry of a service
// that makes calls may repeat all of them, so it may use only a small part.
func TestRetryBudgetOfLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		leaf        bool
		repeatShare float64
		minShare    float64
		maxShare    float64
	}{
		"leaf":                      {leaf: true, minShare: 0.7, maxShare: 1},
		"leaf below repeated runs":  {leaf: true, repeatShare: 0.1, minShare: 0.2, maxShare: 0.5},
		"leaf, budget used by runs": {leaf: true, repeatShare: 0.2, maxShare: 0},
		"with calls":                {maxShare: 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newRetryBudget(budgetBounds, func() int { return 1100 })
				const requests = 10000
				retries := 0
				for range requests {
					b.recordRequest("orders", c.repeatShare)
					b.recordLeaf("orders", c.leaf)
					if time.Sleep(10 * time.Millisecond); b.trySpend("orders") {
						retries++
					}
				}
				share := float64(retries) / requests
				must.GreaterEq(t, c.minShare*budgetBounds.RetryRatio, share)
				must.LessEq(t, c.maxShare*budgetBounds.RetryRatio, share)
				must.LessEq(t, budgetBounds.RetryRatio, share+c.repeatShare)
			})
		})
	}
}

// In a deployment of many nodes with few requests each, the nodes must not
// start with a whole retry each.
func TestRetryBudgetOfManyNodes(t *testing.T) {
	b := newRetryBudget(budgetBounds, func() int { return 1100 })
	must.False(t, b.trySpend("orders"))
	for range 30 {
		b.recordRequest("orders", 0)
	}
	must.True(t, b.trySpend("orders"))
	must.False(t, b.trySpend("orders"))
}
