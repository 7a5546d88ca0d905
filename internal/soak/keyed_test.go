package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/lacewingslip/lacewingslip/internal/e2e"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

const (
	// admittedPerNode is the number of requests of the capped workspace that each node has to
	// admit before and after a keeper is killed.
	admittedPerNode = 10
	// callersPerNode send several times the cap together, even if each node grants all of it.
	callersPerNode = 4
	// admissionTimeout does not expire in a test unless a node admits none.
	admissionTimeout = time.Minute
)

// Guards against a cap that processes apply each for itself, also after one of them has lost its
// part of it, and against nodes that admit nothing because they keep no part, or a keeper is down.
func TestCapOverProcesses(t *testing.T) {
	binaries, err := e2e.Build(t.TempDir())
	must.NoError(t, err)
	// In two regions, four of five nodes are keepers.
	vms := startVMs(t, binaries, "orders", "catalogue", leafService, "catalogue", leafService)
	r := vms[0].run
	r.thinkTime.Store(int64(meanThinkTime))
	for n := range callersPerNode * len(vms) {
		v, random := vms[n%len(vms)], rand.New(rand.NewPCG(keyedSeed, uint64(n)))
		name := fmt.Sprintf("%s-%d", v.settings.Node, n)
		r.callers.Go(func() { (&caller{vm: v}).callWithKeys(name, random, cappedWorkspace) })
	}
	for _, killed := range []*vm{nil, vms[1]} {
		if killed != nil {
			end := killed.beginFault()
			killed.kill()
			end()
		}
		before := r.ledger.admittedByNode()
		must.Wait(t, wait.InitialSuccess(wait.Timeout(admissionTimeout), wait.Gap(50*time.Millisecond), wait.BoolFunc(func() bool {
			admitted := r.ledger.admittedByNode()
			return !slices.ContainsFunc(vms, func(v *vm) bool { return admitted[v.settings.Node]-before[v.settings.Node] < admittedPerNode })
		})))
		time.Sleep(bounds.CapWindow)
	}
	must.LessEq(t, capAllowed(), r.ledger.checkCap())
}

// admittedByNode returns how many requests of the capped workspace have run, by the node that
// admitted them.
func (l *ledger) admittedByNode() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	admitted := make(map[string]int)
	for id, e := range l.requests {
		if e.identity.workspace == cappedWorkspace && e.runs > 0 {
			parts := strings.Split(id, "-")
			admitted[strings.Join(parts[:2], "-")]++
		}
	}
	return admitted
}

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
