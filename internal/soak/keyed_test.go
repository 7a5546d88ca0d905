package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// Guards against requests beyond a cap that the ledger does not notice, and against reports of
// requests that may run: those of other windows, and those that have not run.
func TestCheckCap(t *testing.T) {
	const allowed = 152
	must.Eq(t, allowed, capAllowed())
	for name, c := range map[string]struct {
		requests, runs int
		interval       time.Duration
		violations     int
	}{
		"within":      {allowed, 1, 0, 0},
		"over":        {allowed + 1, 1, 0, 1},
		"not run":     {allowed + 1, 0, 0, 0},
		"run twice":   {allowed, 2, 0, 0},
		"spread":      {2 * allowed, 1, bounds.CapWindow/allowed + 1, 0},
		"too densely": {2 * allowed, 1, bounds.CapWindow / (allowed + 1), 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(time.Now())
			for n := range c.requests {
				id := fmt.Sprint(n)
				l.recordSent(id, leafService, "orders", false)
				l.recordIdentity(id, identity{workspace: cappedWorkspace})
				l.requests[id].sentAt = l.start.Add(time.Duration(n) * c.interval)
				for range c.runs {
					l.recordRun(id, leafService, "orders")
				}
			}
			l.checkCap()
			must.SliceLen(t, c.violations, l.violations)
		})
	}
}

// Guards against runs with a withdrawn key, with the key itself or for another workspace that
// are not noticed, and against reports of runs that are allowed.
func TestCheckIdentity(t *testing.T) {
	old := identity{rotatingWorkspace, 2}
	for name, c := range map[string]struct {
		sent identity
		// log has the versions of the routes that the log had in turn: a lower one after it was
		// restored.
		log []int
		// later is the time from the last of them to the request.
		later                  time.Duration
		key, receivedWorkspace string
		violations             int
	}{
		"in force":             {old, []int{2}, time.Hour, "", rotatingWorkspace, 0},
		"withdrawn just now":   {old, []int{2, 3}, bounds.Revoke - time.Second, "", rotatingWorkspace, 0},
		"withdrawn":            {old, []int{2, 3}, bounds.Revoke + time.Second, "", rotatingWorkspace, 1},
		"withdrawn long since": {old, []int{2, 5}, bounds.Revoke + time.Second, "", rotatingWorkspace, 1},
		"lost by a restore":    {old, []int{2, 3, 2}, time.Hour, "", rotatingWorkspace, 0},
		"withdrawn again":      {old, []int{2, 3, 2, 3}, bounds.Revoke + time.Second, "", rotatingWorkspace, 1},
		"key passed on":        {old, []int{2}, 0, old.key(), rotatingWorkspace, 1},
		"other workspace":      {old, []int{2}, 0, "", cappedWorkspace, 1},
		"workspace missing":    {old, []int{2}, 0, "", "", 1},
		"no key":               {identity{}, []int{2, 3}, time.Hour, "", "", 0},
		"workspace of nobody":  {identity{}, []int{2}, 0, "", cappedWorkspace, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := &run{ledger: newLedger(time.Now())}
			version := 1
			for _, next := range c.log {
				if next > version {
					r.recordWithdrawn(version, next)
				} else {
					r.forgetWithdrawn(next)
				}
				version = next
			}
			r.ledger.recordSent("a", leafService, "orders", false)
			r.ledger.recordIdentity("a", c.sent)
			r.ledger.requests["a"].sentAt = time.Now().Add(c.later)
			request, err := http.NewRequest(http.MethodGet, "/", nil)
			must.NoError(t, err)
			if c.key != "" {
				operator.AddKey(request, c.key)
			}
			if c.receivedWorkspace != "" {
				operator.ClaimWorkspace(request.Header, c.receivedWorkspace)
			}
			r.checkIdentity("a", request.Header)
			must.SliceLen(t, c.violations, r.ledger.violations)
		})
	}
}
