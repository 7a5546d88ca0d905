package mesh

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/slot"
)

func TestQueueRank(t *testing.T) {
	for name, c := range map[string]struct {
		origin     calltree.Origin
		priority   int
		priorities []int
		want       int
	}{
		"call":                       {calltree.Servers, 0, []int{0, 1, 2}, defaultRank},
		"customer, highest priority": {calltree.Customers, 0, []int{0, 1, 2}, preferredRank},
		"customer, middle priority":  {calltree.Customers, 1, []int{0, 1, 2}, preferredRank},
		"customer, lowest priority":  {calltree.Customers, 2, []int{0, 1, 2}, defaultRank},
		"customer, only priority":    {calltree.Customers, 1, []int{1}, defaultRank},
		"customer, none is known":    {calltree.Customers, 1, nil, defaultRank},
		"unknown origin":             {calltree.Unknown, 2, []int{0, 1}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.want, queueRank(c.origin, c.priority, c.priorities))
		})
	}
}

// Replays the load of a full service at the bottom of a call tree: calls need 1.3 times
// its slots, and customers make a few lookups there directly, of a priority between that
// of bookings and of the requests that most calls belong to. Guards against lookups that
// wait behind all calls because the time limit of calls is shorter.
func TestDirectRequestsOfFullService(t *testing.T) {
	const (
		slots          = 20
		callTime       = 70 * time.Millisecond
		callInterval   = callTime * 10 / 13 / slots
		lookupTime     = 110 * time.Millisecond
		lookupInterval = 40 * time.Millisecond
		// latencyGoal is the time in which a lookup must have been answered.
		latencyGoal = 500 * time.Millisecond
		duration    = 10 * time.Second
	)
	servedInGoal := func(lookupRank int) (share float64) {
		synctest.Test(t, func(*testing.T) {
			queue := slot.New()
			queue.Resize(slots)
			var lookups, inGoal atomic.Int64
			request := func(rank int, runTime, timeLimit time.Duration, done func(took time.Duration)) {
				started := time.Now()
				release, err := queue.Acquire(context.Background(), slot.Request{
					Rank: rank, Deadline: started.Add(timeLimit),
					WaitUntil: started.Add(time.Duration(lastQueueTimeoutShare * float64(timeLimit))),
				})
				if err != nil {
					return
				}
				time.Sleep(runTime)
				release(runTime)
				done(time.Since(started))
			}
			for elapsed := time.Duration(0); elapsed < duration; elapsed += callInterval {
				go request(defaultRank, callTime, 700*time.Millisecond, func(time.Duration) {})
				if elapsed/lookupInterval != (elapsed+callInterval)/lookupInterval {
					lookups.Add(1)
					go request(lookupRank, lookupTime, 2*time.Second, func(took time.Duration) {
						if took <= latencyGoal {
							inGoal.Add(1)
						}
					})
				}
				time.Sleep(callInterval)
			}
			time.Sleep(2 * time.Second)
			share = float64(inGoal.Load()) / float64(lookups.Load())
		})
		return share
	}
	must.GreaterEq(t, 0.95, servedInGoal(queueRank(calltree.Customers, 1, []int{0, 1, 2})))
	// The earlier decision, by which only the highest priority went before calls.
	must.Less(t, 0.5, servedInGoal(defaultRank))
}
