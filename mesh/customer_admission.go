package mesh

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/pressure"
)

// customerAdmission decides which customer requests are admitted to the call
// tree, based on the load that the responses for their routes have reported.
type customerAdmission struct {
	// regionPressure holds the pressure levels per route and region. They decide
	// which customer requests are admitted.
	regionPressure *pressure.Shedder
	// routePressure holds the pressure levels per route, whichever region
	// responded. They are used for the routes that backend servers call.
	routePressure *pressure.Shedder
	// ownRegion is the region of this node, and regions lists all regions.
	ownRegion string
	regions   []string

	mu sync.Mutex
	// origins holds, for each route, who calls it, if known, and its priority.
	origins map[string]routeOrigin
	// priorities holds the distinct priorities of the routes that customers call,
	// the highest priority (the lowest number) first.
	priorities []int
}

type routeOrigin struct {
	calltree.Origin
	priority int
}

func newCustomerAdmission(settings nodeconfig.Config) *customerAdmission {
	a := &customerAdmission{
		regionPressure: pressure.NewShedder(), routePressure: pressure.NewShedder(), ownRegion: settings.Region, origins: make(map[string]routeOrigin),
	}
	for _, region := range settings.RegionOf {
		if !slices.Contains(a.regions, region) {
			a.regions = append(a.regions, region)
		}
	}
	return a
}

// recordResult records the pressure level and the origin that the result of an
// attempt reports for its route.
func (a *customerAdmission) recordResult(req *request, region string, res *result) {
	if !res.report.present {
		return
	}
	now := time.Now()
	a.regionPressure.RecordLevel(now, pressure.Target{Route: req.route, Region: region}, res.report.level)
	a.routePressure.RecordLevel(now, pressure.Target{Route: req.route}, res.report.level)
	if res.report.origin == calltree.Unknown {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reported := routeOrigin{res.report.origin, req.priority}
	if a.origins[req.route] == reported {
		return
	}
	a.origins[req.route] = reported
	a.priorities = a.priorities[:0]
	for _, o := range a.origins {
		if o.Origin == calltree.Customers && !slices.Contains(a.priorities, o.priority) {
			a.priorities = append(a.priorities, o.priority)
		}
	}
	slices.Sort(a.priorities)
}

// origin returns who calls the route, or calltree.Unknown if that is not known.
func (a *customerAdmission) origin(route *desired.Route) calltree.Origin {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.origins[route.Name()].Origin
}

// admissionDecision is the decision on a request, with the values that led to
// it.
type admissionDecision struct {
	// targetRegion is the region where the request is to run, or "" if it is not
	// restricted.
	targetRegion string
	// level is the pressure level of the route in the region of this node.
	level float64
	// rank orders the request in the slot queue.
	rank     int
	admitted bool
}

const (
	// preferredRank is the queue rank of customer requests above the lowest priority.
	// defaultRank is the rank of all other customer requests and of all calls that
	// backend servers make.
	preferredRank = 0
	defaultRank   = 1
)

// queueRank returns the rank of a request in the slot queue, where lower ranks go
// first. priorities holds the priorities of the routes that customers call, the highest
// first.
//
// It answers the load of a full service at the bottom of a call tree, which customers
// also call directly. A call does not show which customer request it belongs to, and most
// belong to the least important ones. Its own time limit is short, so by deadline alone
// a direct request would wait behind all calls.
func queueRank(origin calltree.Origin, priority int, priorities []int) int {
	switch {
	case origin == calltree.Unknown:
		return priority
	case origin == calltree.Customers && len(priorities) > 0 && priority < priorities[len(priorities)-1]:
		return preferredRank
	default:
		return defaultRank
	}
}

// admit decides on a request. Calls of backend servers are always admitted,
// because the work already done for their customer request would otherwise be
// lost. A request for which this region lacks capacity is sent to another
// region as a whole: it then crosses regions once, and its child calls do not.
func (a *customerAdmission) admit(route *desired.Route) (decision admissionDecision) {
	a.mu.Lock()
	origin := a.origins[route.Name()].Origin
	priorityIndex, priorityCount := slices.Index(a.priorities, route.Priority()), len(a.priorities)
	decision.rank = queueRank(origin, route.Priority(), a.priorities)
	a.mu.Unlock()
	now := time.Now()
	key := pressure.Target{Route: route.Name(), Region: a.ownRegion}
	decision.level = a.regionPressure.Level(now, key)
	if origin != calltree.Customers || priorityIndex < 0 || a.regionPressure.Admit(now, key, priorityIndex, priorityCount) {
		decision.admitted = true
		return decision
	}
	decision.targetRegion, decision.admitted = a.regionWithCapacity(route.Name(), a.ownRegion)
	return decision
}

// regionWithCapacity returns a region other than exclude that has spare
// capacity for a request of the route.
func (a *customerAdmission) regionWithCapacity(route, exclude string) (region string, ok bool) {
	if len(a.regions) == 0 {
		return "", false
	}
	now := time.Now()
	first := rand.IntN(len(a.regions))
	for n := range a.regions {
		region = a.regions[(first+n)%len(a.regions)]
		if region != exclude && a.regionPressure.AdmitRemote(now, pressure.Target{Route: route, Region: region}) {
			return region, true
		}
	}
	return "", false
}
