package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/site"
)

var budgetBounds = site.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 49}

// All nodes together must stay within the deployment's budget, whatever share of
// the requests fails.
func TestRetryBudget(t *testing.T) {
	for name, requests := range map[string]int{"idle": 0, "few": 100, "many": 20000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const nodes = 24
				repeats := 0
				for range nodes {
					b := newRetryBudget(budgetBounds, func() int { return nodes })
					for n := range max(requests/nodes, 10) {
						if n < requests/nodes {
							b.arrived("orders")
						}
						if b.take("orders") {
							repeats++
						}
						time.Sleep(budgetBounds.RetryWindow / time.Duration(max(requests/nodes, 10)))
					}
				}
				must.LessEq(t, int(budgetBounds.RetryRatio*float64(requests)+budgetBounds.RetrySlack), repeats)
			})
		})
	}
}

// Most answers that are lost belong to calls of the services at the bottom. Those
// call no others, so that an attempt there adds no further ones, and may use more
// of the budget; services that make calls may not.
func TestRetryBudgetOfLeaves(t *testing.T) {
	for name, leaf := range map[string]bool{"leaf": true, "with calls": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newRetryBudget(budgetBounds, func() int { return 1100 })
				const requests = 10000
				repeats := 0
				for range requests {
					b.arrived("orders")
					b.heard("orders", leaf)
					if time.Sleep(10 * time.Millisecond); b.take("orders") {
						repeats++
					}
				}
				share := float64(repeats) / requests
				must.Eq(t, leaf, share > 0.4*budgetBounds.RetryRatio)
				must.Less(t, 0.5*budgetBounds.RetryRatio, share)
			})
		})
	}
}

// Many nodes with few requests each must not each begin with a whole attempt.
func TestRetryBudgetOfManyNodes(t *testing.T) {
	b := newRetryBudget(budgetBounds, func() int { return 1100 })
	must.False(t, b.take("orders"))
	for range 30 {
		b.arrived("orders")
	}
	must.True(t, b.take("orders"))
	must.False(t, b.take("orders"))
}
