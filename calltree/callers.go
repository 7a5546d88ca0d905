package calltree

import (
	"sync"
	"time"
)

const (
	// minCallsToClassify is the number of calls that a route needs before it is
	// classified. Few are enough, because calls that arrive from many services
	// can't all be made by one.
	minCallsToClassify = 6.0
	// minCallerShare is the share of a route's calls that must arrive from the VMs
	// of a service for the service to be counted.
	minCallerShare = 0.03
	// minServiceCoverage is the share of all services that must be counted for a
	// route to be classified as called by customers. Customers send their requests
	// through every VM, while calls between backend servers arrive from the VMs of
	// one or two services.
	minServiceCoverage = 0.7
)

// Origin is the kind of caller of a route.
type Origin uint8

const (
	// Unknown means that too few calls have been counted.
	Unknown Origin = iota
	// Customers means that customers call the route, through the VMs of many services.
	Customers
	// Servers means that only backend servers of one or a few services call the route.
	Servers
)

// Callers distinguishes routes that customers call from routes that only backend
// servers call. It counts, for each route, the services on whose VMs the calls
// entered the system. It is safe for concurrent use.
type Callers struct {
	mu          sync.Mutex
	counts      map[string]map[string]float64
	origins     map[string]Origin
	evaluatedAt time.Time
}

// NewCallers returns a table without calls.
func NewCallers() *Callers {
	return &Callers{counts: make(map[string]map[string]float64), origins: make(map[string]Origin)}
}

// RecordCall counts a call to the route that entered the system at the node beside
// a backend server of the given service.
func (c *Callers) RecordCall(route, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	services := c.counts[route]
	if services == nil {
		if len(c.counts) >= maxRoutes {
			return
		}
		services = make(map[string]float64)
		c.counts[route] = services
	}
	services[service]++
}

// Origin returns the kind of caller of the route as of the latest evaluation.
func (c *Callers) Origin(route string) Origin {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.origins[route]
}

// Tick classifies the routes again and decays the counts, once per evaluation
// interval. services is the number of services in the deployment.
func (c *Callers) Tick(now time.Time, services int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.evaluatedAt) < evaluationInterval {
		return
	}
	c.evaluatedAt = now
	for route, counts := range c.counts {
		total, significant := 0.0, 0
		for _, n := range counts {
			total += n
		}
		for service, n := range counts {
			if n >= minCallerShare*total {
				significant++
			}
			counts[service] = n * decayFactor
		}
		switch {
		case total >= minCallsToClassify:
			c.origins[route] = Servers
			if services > 1 && float64(significant) >= minServiceCoverage*float64(services) {
				c.origins[route] = Customers
			}
		case total < 0.01:
			delete(c.counts, route)
			delete(c.origins, route)
		}
	}
}
