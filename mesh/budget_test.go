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
