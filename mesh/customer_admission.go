package mesh

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/backoff"
	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/fairshare"
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
	// shares divides what is admitted between workspaces, and returns plans when the callers
	// of refused requests come again.
	shares  *fairshare.Divider
	returns *backoff.Planner
	// sources tracks how recently the levels have been stated.
	sources *levelSources
	// ownRegion is the region of this node, and regions lists all regions.
	ownRegion string
	regions   []string

	mu sync.Mutex
	// origins holds, for each route, who calls it, if known, and its priority.
	origins map[string]routeOrigin
	// workspacePriorities has when a request last had a priority of its workspace.
	workspacePriorities map[int]time.Time
	// priorities holds the distinct priorities of customer requests, the highest priority
	// (the lowest number) first. nextUpdate is when they are determined again at the latest
	// if workspaces have priorities.
	priorities []int
	nextUpdate time.Time
}

const (
	// priorityMemory is how long a priority of a workspace counts after its last request. A
	// priority that no request has would be refused first, without any effect on the load.
	priorityMemory = 30 * time.Second
	// priorityUpdateInterval is how often priorities that have not been used are dropped.
	priorityUpdateInterval = time.Second
)

type routeOrigin struct {
	calltree.Origin
	priority int
	// overridden is true if requests of the route have priorities of workspaces, and usedAt
	// is when one last had that of the route nevertheless.
	overridden bool
	usedAt     time.Time
}

// counts reports whether customer requests have the priority of the route.
func (o routeOrigin) counts(now time.Time) bool {
	return o.Origin == calltree.Customers && (!o.overridden || now.Sub(o.usedAt) < priorityMemory)
}

func newCustomerAdmission(settings nodeconfig.Config) *customerAdmission {
	a := &customerAdmission{
		regionPressure: pressure.NewShedder(), routePressure: pressure.NewShedder(), ownRegion: settings.Region, origins: make(map[string]routeOrigin),
		workspacePriorities: make(map[int]time.Time),
		sources:             newLevelSources(),
		shares:              fairshare.New(rand.Float64), returns: backoff.New(rand.Float64),
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
	a.sources.recordResponse(now, req.route, req.service, region)
	origin := res.report.origin
	if req.workspace != "" {
		origin = calltree.Customers
	}
	if origin == calltree.Unknown {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.origins[req.route]
	reported := routeOrigin{Origin: origin, priority: before.priority, overridden: before.overridden || req.hasOwnPriority, usedAt: before.usedAt}
	if !req.hasOwnPriority {
		reported.priority, reported.usedAt = req.priority, now
	}
	a.origins[req.route] = reported
	reported.usedAt = before.usedAt
	if reported != before {
		a.updatePriorities(now)
	}
}

// usePriority records that a request has the priority of its workspace. The mutex must be
// held.
func (a *customerAdmission) usePriority(now time.Time, priority int) {
	_, known := a.workspacePriorities[priority]
	a.workspacePriorities[priority] = now
	if !known || now.After(a.nextUpdate) {
		a.updatePriorities(now)
	}
}

// updatePriorities determines the priorities of customer requests. The mutex must be held.
func (a *customerAdmission) updatePriorities(now time.Time) {
	a.nextUpdate = now.Add(priorityUpdateInterval)
	a.priorities = a.priorities[:0]
	for _, o := range a.origins {
		if o.counts(now) && !slices.Contains(a.priorities, o.priority) {
			a.priorities = append(a.priorities, o.priority)
		}
	}
	for priority, usedAt := range a.workspacePriorities {
		if now.Sub(usedAt) >= priorityMemory {
			delete(a.workspacePriorities, priority)
			continue
		}
		if !slices.Contains(a.priorities, priority) {
			a.priorities = append(a.priorities, priority)
		}
	}
	slices.Sort(a.priorities)
}

// origin returns who made the request, or calltree.Unknown if that is not known. Backend
// servers have no keys.
func (a *customerAdmission) origin(req *request) calltree.Origin {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.originOf(req)
}

// originOf is origin with the mutex held.
func (a *customerAdmission) originOf(req *request) calltree.Origin {
	if req.workspace != "" {
		return calltree.Customers
	}
	return a.origins[req.route].Origin
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
	// divided is true if the request has a workspace and only a part of its rank is admitted,
	// and shares is the decision between workspaces then.
	divided bool
	shares  fairshare.Decision
}

const (
	// preferredRank is the queue rank of customer requests above the lowest priority.
	// defaultRank is the rank of all other customer requests and of all calls that
	// backend servers make.
	preferredRank = 0
	defaultRank   = 1
)

// queueRank returns the rank of a request in the slot queue, where lower ranks go
// first. priorities holds the priorities of customer requests, the highest first.
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
func (a *customerAdmission) admit(req *request) (decision admissionDecision) {
	now := time.Now()
	a.mu.Lock()
	if req.hasOwnPriority {
		a.usePriority(now, req.priority)
	}
	origin := a.originOf(req)
	priorityIndex, priorityCount := slices.Index(a.priorities, req.priority), len(a.priorities)
	decision.rank = queueRank(origin, req.priority, a.priorities)
	a.mu.Unlock()
	key := pressure.Target{Route: req.route, Region: a.ownRegion}
	decision.level = a.regionPressure.Level(now, key)
	if origin != calltree.Customers || priorityIndex < 0 {
		decision.admitted = true
		return decision
	}
	share := a.regionPressure.Share(now, key, priorityIndex, priorityCount)
	if req.workspace == "" {
		decision.admitted = a.regionPressure.Admit(now, key, priorityIndex, priorityCount)
	} else {
		decision.shares = a.shares.Admit(now, req.route, share, shareRequest(req))
		decision.admitted, decision.divided = decision.shares.Verdict.Admitted(), decision.shares.Verdict != fairshare.Unrestricted
	}
	a.returns.Record(now, returnTarget(req), share, decision.admitted)
	if !decision.admitted {
		decision.targetRegion, decision.admitted = a.regionWithCapacity(req.route, a.ownRegion)
	}
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
