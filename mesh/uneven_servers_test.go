package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/routing"
	"github.com/lacewingslip/lacewingslip/slot"
	"github.com/lacewingslip/lacewingslip/timeline"
	"github.com/lacewingslip/lacewingslip/upstream"
)

const (
	modelServers, modelZones = 8, 4
	modelWork, modelGoal     = 200 * time.Millisecond, time.Second
	// maxLoss and maxExtraWaste are by how much the shares of good answers and of wasted work
	// may be worse than with fixed limits. The order of simultaneous requests varies from run
	// to run.
	maxLoss, maxExtraWaste = 0.01, 0.02
	// The load rises for modelRamp.
	modelRamp            = 3 * time.Second
	modelTime, modelStep = 15 * time.Second, 10 * time.Millisecond
)

var modelSpeeds = []float64{0.5, 1, 1, 1.5}

// modelServer is a backend server with the slot queue and the estimate beside it.
type modelServer struct {
	mu               sync.Mutex
	name             string
	speed            float64
	running, waiting int
	next             chan struct{}
	slots            *slot.Queue
	times            *runTimes
	capacity         *serverCapacity
}

// replay is one load. The functions take the time since the start and the number of a server.
type replay struct {
	utilization float64
	// slots and queue are the numbers of requests that run and wait in each server at most.
	slots, queue int
	// stated and hidden are the paces that the server states and does not state.
	stated, hidden func(at time.Duration, server int) float64
	// slowdown is the factor of the run time at a share of the slots.
	slowdown func(share float64) float64
	// uneven makes four fifths of the requests come from one zone, which changes.
	uneven bool
	// route returns the route of the request and its work as a multiple of the mean.
	route func(at time.Duration, random *rand.Rand) (name string, work float64)
}

// outcome is the result of a replay.
type outcome struct {
	sent, good, overflows int
	// moved is the number of good answers from another zone than that of the caller.
	moved                int
	wasted, busy         time.Duration
	responses            []time.Duration
	slots, smallestLimit int
	mu                   sync.Mutex
	inServers            sync.WaitGroup
}

func (o *outcome) goodShare() float64 { return float64(o.good) / float64(o.sent) }

func (o *outcome) wastedShare() float64 { return float64(o.wasted) / float64(o.busy) }

func (o *outcome) String() string {
	slices.Sort(o.responses)
	return fmt.Sprintf("good %.1f%%, p99 %d ms, wasted %.1f%%, from other zones %.0f%%, overflows %d, smallest limit %d of %d", 100*o.goodShare(),
		o.responses[len(o.responses)*99/100].Milliseconds(), 100*o.wastedShare(), 100*float64(o.moved)/float64(o.good), o.overflows, o.smallestLimit, o.slots)
}

// run replays the load with the estimate, or with fixed limits and announced weights.
func (r replay) run(estimate bool) (o *outcome) {
	o = &outcome{slots: r.slots, smallestLimit: r.slots}
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	var servers []*modelServer
	var upstreams []routing.Upstream
	for i := range modelServers {
		s := &modelServer{name: strconv.Itoa(i), speed: modelSpeeds[i%len(modelSpeeds)], slots: slot.New(), times: newRunTimes(), next: make(chan struct{})}
		s.capacity = newServerCapacity(s.slots, s.times, timeline.NewRecorder(s.name))
		tracker := upstream.New("s", s.name)
		tracker.Apply(start, upstream.Announcement{Instance: s.name, StartMs: 1, Sequence: 1, Service: "s", Address: s.name, Slots: r.slots, State: upstream.Ready})
		s.slots.Resize(s.capacity.serverChanged(tracker.Server()))
		servers = append(servers, s)
		upstreams = append(upstreams, routing.Upstream{Node: s.name, Region: "r", Zone: strconv.Itoa(i % modelZones), Slots: usableSlots(r.slots)})
	}
	var tables []*routing.Table
	for zone := range modelZones {
		tables = append(tables, routing.New("r", strconv.Itoa(zone), routing.WithRandom(rand.New(rand.NewPCG(uint64(zone), 3)))))
		tables[zone].Replace(start, "s", upstreams)
	}
	capacity := 0.0
	for _, s := range servers {
		capacity += s.speed * float64(r.slots) / modelWork.Seconds()
	}
	var running sync.WaitGroup
	var tablesMu sync.Mutex
	nextTick := start
	for at := time.Duration(0); at < modelTime; at = time.Since(start) {
		for ; !time.Now().Before(nextTick); nextTick = nextTick.Add(tickInterval) {
			for _, s := range servers {
				s.capacity.tick(time.Now())
				o.smallestLimit = min(o.smallestLimit, s.capacity.estimator.Estimate())
			}
		}
		route, work := r.route(at, random)
		if random.IntN(50) == 0 {
			work *= 5
		}
		work *= (0.5 + random.Float64()) / 1.08
		zone := r.zoneOf(at, random)
		q := &modelRequest{replay: r, start: start, outcome: o, servers: servers, table: tables[zone], zone: zone, mu: &tablesMu, route: route, estimate: estimate, work: work * modelWork.Seconds(), deadline: time.Now().Add(modelGoal)}
		o.sent++
		running.Go(q.send)
		rate := capacity * r.utilization
		if at < modelRamp {
			rate *= 0.3 + 0.7*at.Seconds()/modelRamp.Seconds()
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	running.Wait()
	o.inServers.Wait()
	return o
}

// modelRequest is one request of a replay.
type modelRequest struct {
	replay
	start    time.Time
	outcome  *outcome
	servers  []*modelServer
	table    *routing.Table
	mu       *sync.Mutex
	route    string
	work     float64
	deadline time.Time
	estimate bool
	zone     int
}

// send sends the request to one node after the other, as the node selector does.
func (q *modelRequest) send() {
	began := time.Now()
	var tried []string
	for attempt := range 3 {
		q.mu.Lock()
		u, ok := q.table.Choose(time.Now(), routing.Query{Service: "s", Tried: tried, Region: "r", Route: q.route, TimeLeft: time.Until(q.deadline)})
		if ok {
			q.table.RecordSent(time.Now(), "s", u.Node, 0)
		}
		q.mu.Unlock()
		if !ok {
			return
		}
		n, _ := strconv.Atoi(u.Node)
		s := q.servers[n]
		time.Sleep(time.Millisecond)
		res := q.attempt(n, s, []time.Duration{firstQueueTimeout, regionQueueTimeout, time.Until(q.deadline) / 4}[attempt])
		report := routing.Report{HasLoad: true, Route: q.route}
		load := s.slots.Load()
		report.Load = admission.Load{Running: load.Running, Limit: load.Limit, Queued: load.Waiting}
		if q.estimate {
			report.Run, report.Paced = s.capacity.expectedRun(q.route)
			report.MeanRun = load.MeanRun
		}
		time.Sleep(time.Millisecond)
		q.mu.Lock()
		q.table.RecordResult(time.Now(), "s", u.Node, 0, report)
		q.mu.Unlock()
		switch res.outcome {
		case call.Answered:
			q.outcome.mu.Lock()
			q.outcome.good++
			if n%modelZones != q.zone {
				q.outcome.moved++
			}
			q.outcome.responses = append(q.outcome.responses, time.Since(began))
			q.outcome.mu.Unlock()
			return
		case call.Unknown:
			return
		case call.NotRun:
		}
		tried = append(tried, u.Node)
	}
}

// attempt runs the request as the sidecar does.
func (q *modelRequest) attempt(n int, s *modelServer, queueTimeout time.Duration) *result {
	waitUntil := time.Now().Add(queueTimeout)
	if latest := q.deadline.Add(-s.capacity.minTimeLeft(q.route)); waitUntil.After(latest) {
		waitUntil = latest
	}
	release, err := s.slots.Acquire(context.Background(), slot.Request{Deadline: q.deadline, WaitUntil: waitUntil})
	if err != nil {
		return notRunResult(call.ReasonOverloaded, "")
	}
	began, mark := time.Now(), s.capacity.begin(time.Now(), q.route, q.deadline)
	if time.Until(q.deadline) < s.capacity.minTimeLeft(q.route) {
		s.capacity.end(time.Now(), mark, q.route, notRunResult(call.ReasonTooLate, ""), true)
		release(0)
		return notRunResult(call.ReasonTooLate, "")
	}
	ended := make(chan struct{})
	q.outcome.inServers.Go(func() { q.runInServer(n, s, ended) })
	res := &result{outcome: call.Answered, status: 200}
	select {
	case <-ended:
		if q.estimate {
			s.mu.Lock()
			load := platform.Load{Running: s.running, Waiting: s.waiting, Slots: q.slots, Pace: q.stated(time.Since(q.start), n)}
			s.mu.Unlock()
			s.capacity.observe(time.Now(), load)
		}
		s.times.record(q.route, time.Since(began))
	case <-time.After(time.Until(q.deadline)):
		res = unknownResult(call.ReasonDeadline, "")
	}
	s.capacity.end(time.Now(), mark, q.route, res, true)
	if res.outcome == call.Answered {
		release(time.Since(began))
	} else {
		release(0)
	}
	return res
}

// runInServer runs the request in the server, which does not notice that nobody waits any more.
func (q *modelRequest) runInServer(n int, s *modelServer, ended chan struct{}) {
	s.mu.Lock()
	switch {
	case s.running < q.slots:
		s.running++
	case s.waiting >= q.queue:
		s.mu.Unlock()
		q.outcome.mu.Lock()
		q.outcome.overflows++
		q.outcome.mu.Unlock()
		return
	default:
		s.waiting++
		s.mu.Unlock()
		<-s.next
		s.mu.Lock()
	}
	s.mu.Unlock()
	began := time.Now()
	for left := q.work; left > 0; {
		at := time.Since(q.start)
		s.mu.Lock()
		rate := s.speed / q.stated(at, n) / q.hidden(at, n) / q.slowdown(float64(s.running)/float64(q.slots))
		s.mu.Unlock()
		step := min(modelStep.Seconds(), left/rate)
		time.Sleep(time.Duration(step*1e9) + 1)
		left -= step * rate
	}
	s.mu.Lock()
	if s.waiting > 0 {
		s.waiting--
		s.next <- struct{}{}
	} else {
		s.running--
	}
	s.mu.Unlock()
	q.outcome.mu.Lock()
	q.outcome.busy += time.Since(began)
	if time.Now().After(q.deadline) {
		q.outcome.wasted += time.Since(began)
	}
	q.outcome.mu.Unlock()
	close(ended)
}

// zoneOf returns the zone of the caller of a request.
func (r replay) zoneOf(at time.Duration, random *rand.Rand) int {
	if r.uneven && random.Float64() < 0.8 {
		return int(at/(2*time.Second)) % modelZones
	}
	return random.IntN(modelZones)
}

func usual(time.Duration, int) float64 { return 1 }

func fullSlows(share float64) float64 {
	if share >= 0.95 {
		return 1.3
	}
	return 1
}

func oneRoute(time.Duration, *rand.Rand) (name string, work float64) { return "r", 1 }

// step returns a pace that changes at every other server after 4 s, for good.
func step(pace float64) func(time.Duration, int) float64 {
	return func(at time.Duration, server int) float64 {
		if at > 4*time.Second && server%2 == 0 {
			return pace
		}
		return 1
	}
}

// noise returns a pace of 2.5 for 600 ms at 15% of the servers at any moment.
func noise(at time.Duration, server int) float64 {
	period := int(at/(600*time.Millisecond)) + 1
	if rand.New(rand.NewPCG(uint64(period), uint64(server))).Float64() < 0.15 {
		return 2.5
	}
	return 1
}

func between(from, to time.Duration, pace float64, affects func(server int) bool) func(time.Duration, int) float64 {
	return func(at time.Duration, server int) float64 {
		if at >= from && at < to && affects(server) {
			return pace
		}
		return 1
	}
}

func every(int) bool { return true }

func half(server int) bool { return server < modelServers/2 }

// Guards against estimates and a placement that lose to fixed limits and announced weights:
// the replays have the same arrivals and servers.
func TestUnevenServers(t *testing.T) {
	mixed := func(at time.Duration, random *rand.Rand) (name string, work float64) {
		if random.Float64() < 0.2+0.6*float64(int(at/(3*time.Second))%2) {
			return "short", 0.3
		}
		return "long", 1.5
	}
	for name, r := range map[string]replay{
		"uneven, 0.6":          {utilization: 0.6},
		"uneven, 0.9":          {utilization: 0.9},
		"step by 0.3":          {utilization: 0.9, stated: step(0.3)},
		"step by 0.5":          {utilization: 0.9, stated: step(0.5)},
		"step by 2":            {utilization: 0.6, stated: step(2)},
		"step by 4":            {utilization: 0.6, stated: step(4)},
		"noise":                {utilization: 0.75, stated: noise},
		"callers move":         {utilization: 0.75, uneven: true},
		"mix of routes":        {utilization: 0.65, route: mixed},
		"slows from half":      {utilization: 0.6, slots: 120, queue: 200, slowdown: func(share float64) float64 { return max(1, 2*share) }},
		"half cold":            {utilization: 0.6, stated: between(3*time.Second, 6*time.Second, 2, half)},
		"all slow":             {utilization: 0.7, stated: between(3*time.Second, 8*time.Second, 2.5, every)},
		"two slow, not stated": {utilization: 0.6, hidden: between(3*time.Second, 9*time.Second, 8, func(s int) bool { return s < 2 })},
		"twice the load":       {utilization: 1.8},
	} {
		t.Run(name, func(t *testing.T) {
			if r.slots == 0 {
				r.slots, r.queue = 40, 60
			}
			if r.stated == nil {
				r.stated = usual
			}
			if r.hidden == nil {
				r.hidden = usual
			}
			if r.slowdown == nil {
				r.slowdown = fullSlows
			}
			if r.route == nil {
				r.route = oneRoute
			}
			var fixed, estimated *outcome
			synctest.Test(t, func(*testing.T) { fixed = r.run(false) })
			synctest.Test(t, func(*testing.T) { estimated = r.run(true) })
			t.Logf("\n%s fixed: %v\n%s estimated: %v", name, fixed, name, estimated)
			must.Zero(t, estimated.overflows)
			must.Greater(t, fixed.goodShare()-maxLoss, estimated.goodShare())
			must.Less(t, fixed.wastedShare()+maxExtraWaste, estimated.wastedShare())
			smallestShare := float64(estimated.smallestLimit) / float64(r.slots)
			if strings.HasPrefix(name, "slows") {
				must.Less(t, 0.7, smallestShare, must.Sprint("the limit does not follow the run times"))
				return
			}
			must.Greater(t, 0.6, smallestShare, must.Sprint("the limit falls without need"))
		})
	}
}
