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
							b.addRequest("orders")
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

// Most lost responses belong to calls to leaf services. A retry there causes no
// further calls, so these services may use more of the budget. Services that
// make calls may not.
func TestRetryBudgetOfLeaves(t *testing.T) {
	for name, leaf := range map[string]bool{"leaf": true, "with calls": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newRetryBudget(budgetBounds, func() int { return 1100 })
				const requests = 10000
				retries := 0
				for range requests {
					b.addRequest("orders")
					b.recordLeaf("orders", leaf)
					if time.Sleep(10 * time.Millisecond); b.trySpend("orders") {
						retries++
					}
				}
				share := float64(retries) / requests
				must.Eq(t, leaf, share > 0.4*budgetBounds.RetryRatio)
				must.Less(t, 0.5*budgetBounds.RetryRatio, share)
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
		b.addRequest("orders")
	}
	must.True(t, b.trySpend("orders"))
	must.False(t, b.trySpend("orders"))
}
