package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/config"
	"github.com/lacewingslip/lacewingslip/pressure"
)

// entrance admits customer requests to the call tree, by what answers have said
// of their routes.
type entrance struct {
	door *pressure.Door

	mu sync.Mutex
	// ranks has the rank of each route that customers call.
	ranks map[string]int
	// order has the distinct ranks, the most important first.
	order []int
}

func newEntrance() *entrance {
	return &entrance{door: pressure.NewDoor(), ranks: make(map[string]int)}
}

// heard takes in what an answer says of its route.
func (e *entrance) heard(r *request, end *reply) {
	if !end.report.known {
		return
	}
	e.door.Heard(time.Now(), r.route, end.report.level)
	e.mu.Lock()
	defer e.mu.Unlock()
	rank, known := e.ranks[r.route]
	if end.report.fromCustomers == known && (!known || rank == r.rank) {
		return
	}
	if end.report.fromCustomers {
		e.ranks[r.route] = r.rank
	} else {
		delete(e.ranks, r.route)
	}
	e.order = e.order[:0]
	for _, rank := range e.ranks {
		if !slices.Contains(e.order, rank) {
			e.order = append(e.order, rank)
		}
	}
	slices.Sort(e.order)
}

// fromCustomers reports whether customers call the route, as far as is known.
func (e *entrance) fromCustomers(route *config.Route) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.ranks[route.Name()]
	return known
}

// admit decides on a request. Calls of backend servers are always admitted: the
// work done for their customer request would be lost.
func (e *entrance) admit(route *config.Route) (ok bool, level float64) {
	e.mu.Lock()
	_, known := e.ranks[route.Name()]
	place, places := slices.Index(e.order, route.Priority()), len(e.order)
	e.mu.Unlock()
	now := time.Now()
	level = e.door.Level(now, route.Name())
	if !known || place < 0 {
		return true, level
	}
	return e.door.Admit(now, route.Name(), place, places), level
}
