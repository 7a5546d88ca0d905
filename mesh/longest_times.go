package mesh

import (
	"sync"
	"time"
)

const (
	// longestTimeWindow is how long the longest time of a route is kept at least, and half
	// of how long it is kept at most.
	longestTimeWindow = 30 * time.Second
	// maxLongestTimeRoutes limits the number of routes for which times are kept.
	maxLongestTimeRoutes = 4096
)

// longestTimes keeps the longest time per route that requests have taken lately. It is safe
// for concurrent use.
type longestTimes struct {
	mu                sync.Mutex
	current, previous map[string]time.Duration
	windowStart       time.Time
}

func newLongestTimes() *longestTimes { return &longestTimes{current: make(map[string]time.Duration)} }

// record adds a request that has taken the time.
func (t *longestTimes) record(now time.Time, route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	if _, known := t.current[route]; !known && len(t.current) >= maxLongestTimeRoutes {
		return
	}
	t.current[route] = max(t.current[route], took)
}

// ofRoute returns the longest time of a route, or 0 if none is known.
func (t *longestTimes) ofRoute(now time.Time, route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	return max(t.current[route], t.previous[route])
}

// ofAll returns the longest time of all routes, or 0 if none is known.
func (t *longestTimes) ofAll(now time.Time) (longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	for _, window := range []map[string]time.Duration{t.current, t.previous} {
		for _, took := range window {
			longest = max(longest, took)
		}
	}
	return longest
}

// dropExpired starts a new window if the current one has ended. The mutex must be held.
func (t *longestTimes) dropExpired(now time.Time) {
	age := now.Sub(t.windowStart)
	if age < longestTimeWindow {
		return
	}
	t.previous = t.current
	if age >= 2*longestTimeWindow {
		t.previous = nil
	}
	t.current, t.windowStart = make(map[string]time.Duration), now
}
