package mesh

import (
	"log/slog"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/concurrency"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/slot"
	"github.com/lacewingslip/lacewingslip/upstream"
)

const (
	// reportedLimitStep and reportedPaceStep are the smallest relative changes of the limit
	// and of the pace that are recorded as events.
	reportedLimitStep = 0.1
	reportedPaceStep  = 0.25
)

// serverCapacity applies the estimate of what the backend server handles well to the slot
// queue. If the server does not state its pace, the limit is a fixed share of its slots, and
// the queue measures the run time itself.
type serverCapacity struct {
	slots    *slot.Queue
	runTimes *runTimes
	events   eventRecorder

	mu        sync.Mutex
	server    upstream.Server
	estimator *concurrency.Estimator
	// reportedLimit and reportedPace are the values in the last events, so that only larger
	// changes are recorded.
	reportedLimit, reportedPace float64
}

func newServerCapacity(slots *slot.Queue, times *runTimes, events eventRecorder) *serverCapacity {
	return &serverCapacity{slots: slots, runTimes: times, events: events, estimator: concurrency.New()}
}

// serverChanged records a server that takes work, and returns the limit of the slot queue.
func (c *serverCapacity) serverChanged(server upstream.Server) (limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isSameIncarnation(c.server, server) {
		c.estimator.SetSlots(server.Slots())
	} else {
		c.estimator.Reset(server.Slots())
		c.reportedLimit, c.reportedPace = 0, 0
	}
	c.server = server
	if !c.estimator.Paced() {
		return usableSlots(server.Slots())
	}
	return c.estimator.Limit()
}

// adopt takes over the load that the server stated when this process started.
func (c *serverCapacity) adopt(now time.Time, load platform.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimator.Adopt(now, reportOf(load))
	c.adjust()
}

// begin records that a request is sent to the server.
func (c *serverCapacity) begin(now time.Time, route string, deadline time.Time) concurrency.Mark {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimator.Begin(now, route, deadline.Sub(now))
}

// observe records the load that the server stated with a response.
func (c *serverCapacity) observe(now time.Time, load platform.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasPaced := c.estimator.Paced()
	c.estimator.Observe(now, reportOf(load))
	if wasPaced && !c.estimator.Paced() {
		c.slots.Adjust(usableSlots(c.server.Slots()), c.slots.Load().MeanRun)
	}
	c.adjust()
}

// end records the result of a request. It is called while the request still holds its slot,
// so that a slot that the server may still use is not given to another request.
func (c *serverCapacity) end(now time.Time, mark concurrency.Mark, route string, res *result, leaf bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimator.End(now, mark, concurrency.Result{
		Route: route, Answered: res.outcome == call.Answered, Abandoned: res.outcome == call.Unknown,
		Learn: res.status < http.StatusMultipleChoices, Leaf: leaf,
	})
	c.adjust()
}

// tick does the periodic work and returns the state for the metrics.
func (c *serverCapacity) tick(now time.Time) metrics.Capacity {
	waiting := c.slots.Load().Waiting
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.estimator.Paced() {
		return metrics.Capacity{}
	}
	c.estimator.Tick(now, waiting)
	c.adjust()
	elasticity, deviation := c.estimator.Elasticity()
	limit, pace := float64(c.estimator.Estimate()), c.estimator.Pace()
	if math.Abs(limit-c.reportedLimit) >= reportedLimitStep*c.reportedLimit {
		c.reportedLimit = limit
		c.events.Record(event.LimitChanged, slog.Int("limit", int(limit)), slog.Int("slots", c.estimator.Slots()),
			slog.Float64("elasticity", elasticity), slog.Int("abandoned", c.estimator.Abandoned()))
	}
	if math.Abs(pace-c.reportedPace) >= reportedPaceStep*c.reportedPace {
		c.reportedPace = pace
		c.events.Record(event.PaceChanged, slog.Float64("pace", pace), attrMs("meanRunMs", c.estimator.MeanRun()), slog.Int("limit", int(limit)))
	}
	if math.IsInf(deviation, 0) {
		elasticity = 0
	}
	return metrics.Capacity{
		Pace: pace, MeanRun: c.estimator.MeanRun(), Elasticity: elasticity, Abandoned: c.estimator.Abandoned(),
	}
}

// expectedRun returns the expected run time of a request of the route, or 0 if too few of its
// requests have ended. paced is false if the server does not state its pace.
func (c *serverCapacity) expectedRun(route string) (run time.Duration, paced bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.estimator.Paced() || !c.estimator.KnowsRoute(route) {
		return 0, c.estimator.Paced()
	}
	return c.estimator.ExpectedRun(route), true
}

// minTimeLeft returns the minimum time left until the deadline for a request of the route to
// be started. Run times of other routes do not count: if requests were refused because of
// them, the run time of the route would never be known.
func (c *serverCapacity) minTimeLeft(route string) time.Duration {
	if run, _ := c.expectedRun(route); run > 0 {
		return max(time.Duration(minTimeLeftShare*float64(run)), minStartTime)
	}
	return c.runTimes.minTimeLeft(route)
}

// adjust applies the estimate to the slot queue. The mutex must be held.
func (c *serverCapacity) adjust() {
	if !c.estimator.Paced() {
		return
	}
	meanRun := c.estimator.MeanRun()
	if meanRun == 0 {
		meanRun = c.slots.Load().MeanRun
	}
	c.slots.Adjust(c.estimator.Limit(), meanRun)
}

func reportOf(load platform.Load) concurrency.Report {
	return concurrency.Report{Running: load.Running, Waiting: load.Waiting, Pace: load.Pace}
}
