package desired

import (
	"math/rand/v2"
	"sync"
)

// Splitter distributes the requests of each route over its targets by smooth weighted
// round robin. Unlike random selection, it matches the target's shares even over a
// small number of requests. It is safe for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	credits map[string][]float64
}

// NewSplitter returns a splitter without any history.
func NewSplitter() *Splitter { return &Splitter{credits: make(map[string][]float64)} }

// Next returns the service for the next request of the route, or "" if no target has
// a positive weight.
func (s *Splitter) Next(r *Route) (service string) {
	if len(r.targets) == 1 {
		return r.targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[r.name]
	if len(credits) != len(r.targets) {
		credits = make([]float64, len(r.targets))
		// Random initial credits prevent the first requests of many nodes from all
		// going to the target with the largest weight.
		for i, target := range r.targets {
			credits[i] = rand.Float64() * max(target.Weight, 0)
		}
		s.credits[r.name] = credits
	}
	best, total := -1, 0.0
	for i, target := range r.targets {
		if target.Weight <= 0 {
			continue
		}
		credits[i] += target.Weight
		total += target.Weight
		if best < 0 || credits[i] > credits[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	credits[best] -= total
	return r.targets[best].Service
}
