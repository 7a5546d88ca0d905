package mesh

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/config"
	"github.com/lacewingslip/lacewingslip/pressure"
	"github.com/lacewingslip/lacewingslip/site"
)

// entrance admits customer requests to the call tree, by what answers have said
// of their routes.
type entrance struct {
	door *pressure.Door
	// calls has the levels of the routes that only backend servers call,
	// whichever region answered.
	calls *pressure.Door
	// home is the own region, one of all regions.
	home    string
	regions []string

	mu sync.Mutex
	// origins has who calls each route, as far as is known.
	origins map[string]origin
	// order has the distinct priorities of the routes that customers call, the
	// most important first.
	order []int
}

type origin struct {
	calltree.Origin
	priority int
}

func newEntrance(place site.Site) *entrance {
	e := &entrance{
		door: pressure.NewDoor(), calls: pressure.NewDoor(), home: place.Region, origins: make(map[string]origin),
	}
	for _, region := range place.RegionOf {
		if !slices.Contains(e.regions, region) {
			e.regions = append(e.regions, region)
		}
	}
	return e
}

// heard takes in what an answer says of its route.
func (e *entrance) heard(r *request, region string, end *reply) {
	if !end.report.known {
		return
	}
	now := time.Now()
	e.door.Heard(now, pressure.Way{Route: r.route, Region: region}, end.report.level)
	e.calls.Heard(now, pressure.Way{Route: r.route}, end.report.level)
	if end.report.origin == calltree.Unknown {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	heard := origin{end.report.origin, r.priority}
	if e.origins[r.route] == heard {
		return
	}
	e.origins[r.route] = heard
	e.order = e.order[:0]
	for _, o := range e.origins {
		if o.Origin == calltree.Customers && !slices.Contains(e.order, o.priority) {
			e.order = append(e.order, o.priority)
		}
	}
	slices.Sort(e.order)
}

// origin returns who calls the route, as far as is known.
func (e *entrance) origin(route *config.Route) calltree.Origin {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.origins[route.Name()].Origin
}

// entry is what the entrance decided on a request, with what decided it.
type entry struct {
	// region is where the request is to run, or "" if that is open.
	region string
	// level is that of the own region.
	level float64
	// first is true for customer requests of the highest priority.
	first bool
	ok    bool
}

// admit decides on a request. Calls of backend servers are always admitted: the
// work done for their customer request would be lost. What the own region has no
// room for goes to another one as a whole, which costs one way between regions
// and not one for each call.
func (e *entrance) admit(route *config.Route) (a entry) {
	e.mu.Lock()
	fromCustomers := e.origins[route.Name()].Origin == calltree.Customers
	place, places := slices.Index(e.order, route.Priority()), len(e.order)
	e.mu.Unlock()
	now := time.Now()
	home := pressure.Way{Route: route.Name(), Region: e.home}
	a.level = e.door.Level(now, home)
	a.first = fromCustomers && place == 0 && places > 1
	if !fromCustomers || place < 0 || e.door.Admit(now, home, place, places) {
		a.ok = true
		return a
	}
	a.region, a.ok = e.regionWithRoom(route.Name(), e.home)
	return a
}

// regionWithRoom returns a region other than home that has room for a request of
// the route.
func (e *entrance) regionWithRoom(route, home string) (region string, ok bool) {
	if len(e.regions) == 0 {
		return "", false
	}
	now := time.Now()
	first := rand.IntN(len(e.regions))
	for n := range e.regions {
		region = e.regions[(first+n)%len(e.regions)]
		if region != home && e.door.AdmitRemote(now, pressure.Way{Route: route, Region: region}) {
			return region, true
		}
	}
	return "", false
}
