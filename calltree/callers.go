package calltree

import (
	"sync"
	"time"
)

const (
	// minCalls is the number of calls from which on callers are judged. Few are
	// enough: calls from many services can't come from one.
	minCalls = 6.0
	// minCallerShare is the least share of a service among a route's callers.
	minCallerShare = 0.03
	// entryShare is the share of all services from whose VMs a route must be
	// called to be one of customers. Customers call through every VM; a route
	// between backend servers is called from the VMs of one or two services.
	entryShare = 0.7
)

// Origin says who calls a route.
type Origin uint8

const (
	// Unknown means that too few calls have been seen.
	Unknown Origin = iota
	// Customers call the route, through VMs of many services.
	Customers
	// Servers call the route, those of one or a few services.
	Servers
)

// Callers tells the routes that customers call from those that only backend
// servers call, by the services beside which the calls begin. It is safe for
// concurrent use.
type Callers struct {
	mu     sync.Mutex
	counts map[string]map[string]float64
	origin map[string]Origin
	judged time.Time
}

// NewCallers returns an empty table.
func NewCallers() *Callers {
	return &Callers{counts: make(map[string]map[string]float64), origin: make(map[string]Origin)}
}

// Called takes in a call of the route that began beside a server of the service.
func (c *Callers) Called(route, service string) {
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

// Origin returns who calls the route, as far as is known.
func (c *Callers) Origin(route string) Origin {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.origin[route]
}

// Tick lets old counts fade and judges the routes anew; services is the number
// of services in the deployment.
func (c *Callers) Tick(now time.Time, services int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.judged) < judgeInterval {
		return
	}
	c.judged = now
	for route, counts := range c.counts {
		total, wide := 0.0, 0
		for _, n := range counts {
			total += n
		}
		for service, n := range counts {
			if n >= minCallerShare*total {
				wide++
			}
			counts[service] = n * keepShare
		}
		switch {
		case total >= minCalls:
			c.origin[route] = Servers
			if services > 1 && float64(wide) >= entryShare*float64(services) {
				c.origin[route] = Customers
			}
		case total < 0.01:
			delete(c.counts, route)
			delete(c.origin, route)
		}
	}
}
