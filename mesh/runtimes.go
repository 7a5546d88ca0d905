package mesh

import (
	"sync"
	"time"
)

const (
	// runTimeWeight is the weight of one request in the mean of its route.
	runTimeWeight = 0.05
	// hopelessShare of a route's mean run time is the least time left with which
	// its requests are started. Few run in less, and what does not end in time
	// has taken a slot for nothing.
	hopelessShare = 0.6
	// maxRunTimes bounds the routes that are kept.
	maxRunTimes = 4096
)

// runTimes knows how long requests of each route run at the backend server. It
// is safe for concurrent use.
type runTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

func newRunTimes() *runTimes { return &runTimes{means: make(map[string]time.Duration)} }

// ended takes in how long an answered request ran.
func (t *runTimes) ended(route string, ran time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, known := t.means[route]
	if !known {
		if len(t.means) >= maxRunTimes {
			return
		}
		mean = ran
	}
	t.means[route] = mean + time.Duration(runTimeWeight*float64(ran-mean))
}

// least returns the least time left with which a request of the route is worth
// starting.
func (t *runTimes) least(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(time.Duration(hopelessShare*float64(t.means[route])), minWorkTime)
}
