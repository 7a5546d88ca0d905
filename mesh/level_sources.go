package mesh

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/levelquery"
	"github.com/lacewingslip/lacewingslip/pressure"
)

// maxAskedRoutes bounds the routes whose service is kept in memory.
const maxAskedRoutes = 4096

// levelSources tracks where the pressure levels of routes are known from. It is safe for
// concurrent use.
type levelSources struct {
	mu    sync.Mutex
	table *levelquery.Table
	// services has the service to which a request of each route was last sent.
	services map[string]string
}

func newLevelSources() *levelSources {
	return &levelSources{table: levelquery.New(rand.Float64), services: make(map[string]string)}
}

// recordResponse records that a response has stated the level of its route.
func (s *levelSources) recordResponse(now time.Time, route, service, region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordResponse(now, pressure.Target{Route: route, Region: region})
	s.table.RecordResponse(now, pressure.Target{Route: route})
	if known, found := s.services[route]; known != service && (found || len(s.services) < maxAskedRoutes) {
		s.services[route] = service
	}
}

// recordAnswer records the result of a question that a node of the region has answered.
func (s *levelSources) recordAnswer(now time.Time, target pressure.Target, region string, known bool, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordAnswer(now, target, known, hold)
	if !known {
		return
	}
	for _, other := range []pressure.Target{{Route: target.Route}, {Route: target.Route, Region: region}} {
		if other != target {
			s.table.RecordAnswer(now, other, known, hold)
		}
	}
}

// question is a target to ask for, with the service that serves its route and the path of
// [levelsRequest].
type question struct {
	target  pressure.Target
	service string
	path    []string
}

// due returns the questions to send now.
func (s *levelSources) due(now time.Time, overloaded []pressure.Target) (due []question) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range s.table.Due(now, overloaded) {
		due = append(due, question{target, s.services[target.Route], s.table.Path(now, target)})
	}
	return due
}

// want records that another node asks for what depends on the routes, and reports whether their
// levels are known. They are not if one of them is in the path.
func (s *levelSources) want(now time.Time, routes, path []string) (known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known = true
	for _, route := range routes {
		target := pressure.Target{Route: route}
		known = s.table.Want(now, target, path...) && s.table.Known(now, target) && known
	}
	return known
}

// recordUnsupported records that a node does not answer questions.
func (s *levelSources) recordUnsupported(now time.Time, node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordUnsupported(now, node)
}

// supports reports whether a node may be asked.
func (s *levelSources) supports(now time.Time, node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Supports(now, node)
}

// overloaded returns the targets with a level above 0 that decide about requests of this node:
// by region for routes that customers call, and whichever region has responded for the others.
func (a *customerAdmission) overloaded(now time.Time) (targets []pressure.Target) {
	byRoute, byRegion := a.routePressure.Targets(now), a.regionPressure.Targets(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, target := range byRoute {
		if a.origins[target.Route].Origin != calltree.Customers {
			targets = append(targets, target)
		}
	}
	for _, target := range byRegion {
		if a.origins[target.Route].Origin == calltree.Customers {
			targets = append(targets, target)
		}
	}
	return targets
}

// levelOf returns the recorded level of a target.
func (a *customerAdmission) levelOf(now time.Time, target pressure.Target) float64 {
	if target.Region == "" {
		return a.routePressure.Level(now, target)
	}
	return a.regionPressure.Level(now, target)
}

// recordAnswer records the level that a node of the region has stated in answer to a question that
// was held for up to the given time.
func (a *customerAdmission) recordAnswer(now time.Time, target pressure.Target, region string, level float64, hold time.Duration) {
	until := now.Add(levelquery.InformedTime(hold))
	a.regionPressure.RecordAnswer(now, pressure.Target{Route: target.Route, Region: region}, level, until)
	a.routePressure.RecordAnswer(now, pressure.Target{Route: target.Route}, level, until)
}
