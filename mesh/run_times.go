package mesh

import (
	"sync"
	"time"
)

const (
	// runTimeSmoothing is the weight of one request in the moving average of its
	// route.
	runTimeSmoothing = 0.05
	// minTimeLeftShare is the share of a route's mean run time that must be left
	// until the deadline for a request to be started. Few requests finish in less
	// time, and a request that does not finish in time wastes a slot.
	minTimeLeftShare = 0.6
	// maxRunTimeRoutes limits the number of routes for which a mean is kept.
	maxRunTimeRoutes = 4096
)

// runTimes keeps the mean run time per route at the backend server. It is safe
// for concurrent use.
type runTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

func newRunTimes() *runTimes { return &runTimes{means: make(map[string]time.Duration)} }

// record adds the run time of an answered request.
func (t *runTimes) record(route string, runTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, known := t.means[route]
	if !known {
		if len(t.means) >= maxRunTimeRoutes {
			return
		}
		mean = runTime
	}
	t.means[route] = mean + time.Duration(runTimeSmoothing*float64(runTime-mean))
}

// minTimeLeft returns the minimum time left until the deadline for a request of
// the route to be started.
func (t *runTimes) minTimeLeft(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(time.Duration(minTimeLeftShare*float64(t.means[route])), minStartTime)
}
