package mesh

import "sync"

// repeatTracker estimates which share of the calls that a backend server makes belongs
// to repeated runs. A call does not show which request it belongs to, so the share of
// the running requests that are repeats stands for it. It is safe for concurrent use.
type repeatTracker struct {
	mu sync.Mutex
	// running is the number of requests that run, and repeats the sum of their
	// probabilities of being a repeat.
	running int
	repeats float64
}

// start records that a request starts to run.
func (t *repeatTracker) start(repeatShare float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	t.repeats += repeatShare
}

// end records that a request has stopped running.
func (t *repeatTracker) end(repeatShare float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.repeats -= repeatShare
	if t.running == 0 {
		t.repeats = 0
	}
}

// share returns the probability that a call of the server belongs to a repeated run.
func (t *repeatTracker) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == 0 {
		return 0
	}
	return min(max(t.repeats/float64(t.running), 0), 1)
}
