package mesh

import (
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/throughput"
)

const (
	// calledServiceMemory is how long a service counts as called by this node, or by a route,
	// after its last request.
	calledServiceMemory = time.Minute
	// reportedCallLevelStep is the minimum change of the level for the calls of a service that
	// is recorded as an event.
	reportedCallLevelStep = 0.25
)

// callSuccess applies the decisions of package throughput to the requests that this node sends
// to each service. It is safe for concurrent use.
type callSuccess struct {
	budget  *retryBudget
	events  eventRecorder
	metrics *metrics.Metrics

	mu       sync.Mutex
	services map[string]*calledService
	// runs is the number of runs recorded, and of corrections.
	runs uint64
	// routes has the services to which the requests of a route were sent, by name, with the time
	// of the last one: a split route has several.
	routes map[string]map[string]time.Time
}

// calledService is a service that this node sends requests to.
type calledService struct {
	controller *throughput.Controller
	lastCallAt time.Time
	// lastRun is the number of the last run that calls the service, or of its correction.
	lastRun uint64
	level   float64
	// reportedLevel is the level in the last event.
	reportedLevel float64
}

func newCallSuccess(b *retryBudget, m *metrics.Metrics, events eventRecorder) *callSuccess {
	return &callSuccess{
		budget: b, events: events, metrics: m,
		services: make(map[string]*calledService), routes: make(map[string]map[string]time.Time),
	}
}

// begin records a request that is sent to its service, and decides whether it may be retried.
func (c *callSuccess) begin(now time.Time, req *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	service := c.services[req.service]
	if service == nil {
		service = &calledService{controller: throughput.New()}
		c.services[req.service] = service
	}
	service.lastCallAt = now
	services := c.routes[req.route]
	if services == nil {
		services = make(map[string]time.Time)
		c.routes[req.route] = services
	}
	services[req.service] = now
	req.retriesGranted = service.controller.RecordCall(throughput.Call{FromCustomer: req.fromCustomer, RepeatShare: req.repeatShare})
}

// recordAttempt records the result of an attempt, if it shows whether the service accepts
// requests. Refusals of nodes and time-outs do not: package pressure accounts for them.
func (c *callSuccess) recordAttempt(req *request, res *result) {
	rejected := false
	switch {
	case res.outcome == call.Answered:
	case res.reason == call.ReasonShed:
		rejected = true
	case res.outcome == call.Unknown && (res.reason == call.ReasonLost || res.reason == call.ReasonCrashed):
		// Other requests are not repeated.
		if rejected = req.kind == desired.Idempotent; !rejected {
			return
		}
	default:
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if service := c.services[req.service]; service != nil {
		service.controller.RecordAttempt(rejected)
	}
}

// recordRun records that the backend server starts to run a request that calls the routes.
func (c *callSuccess) recordRun(routes []string) {
	c.forCalled(routes, (*throughput.Controller).RecordRun)
}

// recordNoRun records that it has rejected such a request, which has been recorded as a run,
// without running it.
func (c *callSuccess) recordNoRun(routes []string) {
	c.forCalled(routes, (*throughput.Controller).RecordNoRun)
}

// forCalled calls the function once for each service to which requests of the routes are sent.
func (c *callSuccess) forCalled(routes []string, record func(*throughput.Controller)) {
	if len(routes) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs++
	for _, route := range routes {
		for name := range c.routes[route] {
			// Several of the routes may be of the same service.
			if service := c.services[name]; service != nil && service.lastRun != c.runs {
				service.lastRun = c.runs
				record(service.controller)
			}
		}
	}
}

// level returns the highest level among the services to which requests of the route are sent.
func (c *callSuccess) level(route string) (level float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.routes[route] {
		if service := c.services[name]; service != nil {
			level = max(level, service.level)
		}
	}
	return level
}

// tick does the periodic work.
func (c *callSuccess) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, service := range c.services {
		state := service.controller.Tick(now, c.budget.sustainable(now, name, service.controller))
		service.level = state.Level
		c.report(name, service, state)
		if now.Sub(service.lastCallAt) >= calledServiceMemory {
			delete(c.services, name)
		}
	}
	for route, services := range c.routes {
		for name, lastCallAt := range services {
			if now.Sub(lastCallAt) >= calledServiceMemory {
				delete(services, name)
			}
		}
		if len(services) == 0 {
			delete(c.routes, route)
		}
	}
}

// report exports the state of a service, and records an event if the level has changed.
func (c *callSuccess) report(name string, service *calledService, state throughput.State) {
	c.metrics.SetCallSuccess(name, metrics.CallSuccess{
		SucceededPerS: state.SucceededPerS, SustainablePerS: state.SustainablePerS, RejectedShare: state.RejectedShare, Level: state.Level,
	})
	if math.Abs(state.Level-service.reportedLevel) < reportedCallLevelStep && (state.Level > 0 || service.reportedLevel == 0) {
		return
	}
	service.reportedLevel = state.Level
	c.events.Record(event.CallSuccessChanged, attrService(name), slog.Float64("level", state.Level),
		slog.Float64("callsPerS", state.CallsPerS), slog.Float64("succeededPerS", state.SucceededPerS),
		slog.Float64("sustainablePerS", state.SustainablePerS), slog.Float64("rejectedShare", state.RejectedShare))
}
