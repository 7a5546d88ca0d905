// Package demo compares the effects of a surge with and without the layer, inside one
// process.
//
// # Usage
//
//	plan := demo.NewPlan(20 * time.Second)
//	comparison, err := demo.Run(ctx, plan)
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/examples"
	"github.com/lacewingslip/lacewingslip/internal/experiment"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
)

const (
	// The deep service, dispatch, is the last one of the call chain. It has two backend
	// servers with ten slots each. With 40 ms per call its capacity is 500 calls per
	// second, and half of that while it is slowed down.
	deepServers           = 2
	deepSlots             = 10
	deepServiceTime       = 40 * time.Millisecond
	slowedDeepServiceTime = 80 * time.Millisecond
	shallowServiceTime    = 2 * time.Millisecond

	ordinaryRate   = 300
	surgeRate      = 1000
	requestTimeout = 2 * time.Second
	// The backend servers are warmed up for 1/warmUpShare of the duration of a run. That
	// time is not part of the result.
	warmUpShare  = 5
	startTimeout = 15 * time.Second
)

// DeepCapacity returns the capacity of the deep service in calls per second, normally and
// while it is slowed down during the surge.
func DeepCapacity() (normal, slowed int) {
	const slots = deepServers * deepSlots
	return int(slots * time.Second / deepServiceTime), int(slots * time.Second / slowedDeepServiceTime)
}

// Plan sets the durations and the request rates of a run.
type Plan struct {
	// WarmUp is the time before the first phase. Before, During and After are the
	// durations of the three phases.
	WarmUp, Before, During, After time.Duration
	// OrdinaryRate and SurgeRate are in requests per second.
	OrdinaryRate, SurgeRate int
	// Progress is called with the current step or phase. It may be nil.
	Progress func(step string, done, total time.Duration)
}

// NewPlan divides the duration of a run among the warm-up and the phases.
func NewPlan(duration time.Duration) Plan {
	measured := duration - duration/warmUpShare
	return Plan{
		WarmUp: duration / warmUpShare, Before: measured / 4, During: measured * 3 / 8, After: measured * 3 / 8,
		OrdinaryRate: ordinaryRate, SurgeRate: surgeRate,
	}
}

// Result is the result of one run.
type Result struct {
	experiment.Summary
	// Retries counts the retries of callers, nodes and backend servers together.
	Retries int `json:"retries"`
	// DuplicateBookings counts bookings that ran more than once.
	DuplicateBookings int `json:"duplicateBookings"`
	// FalselyNotRun counts bookings that ran although the caller was told that they had
	// not run.
	FalselyNotRun int `json:"falselyNotRun"`
	// DeepCalls counts the calls that the deep service has started to run.
	DeepCalls int `json:"deepCalls"`
}

// Comparison holds the results of the same surge with and without the layer.
type Comparison struct {
	With    Result `json:"with"`
	Without Result `json:"without"`
}

// Run runs a surge of lookups and bookings against a deep service that slows down, first
// without the layer and then with it.
func Run(ctx context.Context, plan Plan) (c Comparison, err error) {
	defer func() { err = eris.Wrap(err, "demo") }()
	if c.Without, err = surgeWithoutLayer(ctx, plan); err != nil {
		return Comparison{}, err
	}
	if c.With, err = surgeWithLayer(ctx, plan); err != nil {
		return Comparison{}, err
	}
	return c, ctx.Err()
}

// deployment is the set of backend servers of a run.
type deployment struct {
	slow   atomic.Bool
	orders []*backend.Backend
	deep   []*backend.Backend
	all    []*backend.Backend
}

// newDeployment returns two backend servers per service. Each call of orders makes a child
// call to catalogue, and each call of catalogue makes one to the deep service, dispatch.
func newDeployment() *deployment {
	s := &deployment{}
	deepTimes := func() time.Duration {
		if s.slow.Load() {
			return slowedDeepServiceTime
		}
		return deepServiceTime
	}
	stock := backend.Child{Method: http.MethodGet, Service: "catalogue", Path: "/stock/egg-tray-30"}
	dispatchRoutes := backend.Child{Method: http.MethodGet, Service: "dispatch", Path: "/routes/addis"}
	for range deepServers {
		orders := backend.New("orders", backend.WithServiceTime(shallowServiceTime), backend.WithWorkers(50), backend.WithChildren(stock))
		catalogue := backend.New("catalogue", backend.WithServiceTime(shallowServiceTime), backend.WithWorkers(50), backend.WithChildren(dispatchRoutes))
		deep := backend.New("dispatch", backend.WithServiceTimes(deepTimes), backend.WithWorkers(deepSlots))
		s.orders = append(s.orders, orders)
		s.deep = append(s.deep, deep)
		s.all = append(s.all, orders, catalogue, deep)
	}
	return s
}

// sender sends one request of a run.
type sender func(ctx context.Context, r lacewingslip.Request) experiment.Reply

// load sends the requests of a run and records their outcomes.
type load struct {
	send sender

	mu sync.Mutex
	// notRun holds the bookings that were reported as not run.
	notRun map[string]bool
}

// classes returns the mix of requests. The name of the run distinguishes its bookings from
// those of other runs.
func (l *load) classes(run string) []experiment.Class {
	return []experiment.Class{
		{Name: "bookings", Importance: call.Critical, Weight: 1, Send: l.book(run)},
		{Name: "stock checks", Importance: call.High, Weight: 4, Send: l.lookUp("/stock/egg-tray-30")},
		{Name: "catalogue pages", Importance: call.Normal, Weight: 5, Send: l.lookUp("/moulds")},
	}
}

func (l *load) book(run string) func(context.Context, int) experiment.Reply {
	return func(ctx context.Context, number int) experiment.Reply {
		name := fmt.Sprintf("%s-%d", run, number)
		reply := l.send(ctx, lacewingslip.Request{
			Service: "orders", Method: http.MethodPost, Path: "/book", Repeat: call.Never,
			Header: http.Header{backend.HeaderBooking: {name}}, Body: []byte(name),
		})
		if reply.Outcome == call.NotRun {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.notRun[name] = true
		}
		return reply
	}
}

func (l *load) lookUp(path string) func(context.Context, int) experiment.Reply {
	return func(ctx context.Context, number int) experiment.Reply {
		return l.send(ctx, lacewingslip.Request{
			Service: "catalogue", Path: fmt.Sprintf("%s?request=%d", path, number), Repeat: call.Always,
		})
	}
}

// runLoad runs the warm-up and the phases, and counts the runs at the backend servers.
func (s *deployment) runLoad(ctx context.Context, plan Plan, step string, send sender) Result {
	l := &load{send: send, notRun: make(map[string]bool)}
	progress := func(phase string, elapsed, total time.Duration) { plan.report(step+": "+phase, elapsed, total) }
	experiment.Run(ctx, experiment.Plan{
		Classes:  l.classes("warm-up"),
		Phases:   []experiment.Phase{{Name: "warm-up", Duration: plan.WarmUp, Rate: plan.OrdinaryRate}},
		Timeout:  requestTimeout,
		Progress: progress,
	})
	deepCalls := s.deepCalls()
	record := experiment.Run(ctx, experiment.Plan{
		Classes: l.classes("run"),
		Phases: []experiment.Phase{
			{Name: "before", Duration: plan.Before, Rate: plan.OrdinaryRate},
			{Name: "surge", Duration: plan.During, Rate: plan.SurgeRate, Begin: func() { s.slow.Store(true) }},
			{Name: "after", Duration: plan.After, Rate: plan.OrdinaryRate, Begin: func() { s.slow.Store(false) }},
		},
		Timeout:  requestTimeout,
		Progress: progress,
	})
	result := Result{Summary: record.Summarize(), DeepCalls: s.deepCalls() - deepCalls}
	for _, count := range result.Counts {
		result.Retries += count.Retries
	}
	s.countBookings(&result, l.notRun)
	return result
}

func (s *deployment) countBookings(result *Result, notRun map[string]bool) {
	runs := make(map[string]int)
	for _, b := range s.orders {
		for name, n := range b.Runs() {
			runs[name] += n
		}
	}
	for name, n := range runs {
		if n > 1 {
			result.DuplicateBookings++
		}
		if notRun[name] {
			result.FalselyNotRun++
		}
	}
}

func (s *deployment) deepCalls() (total int) {
	for _, b := range s.deep {
		total += b.TotalCalls()
	}
	return total
}

func surgeWithLayer(ctx context.Context, plan Plan) (result Result, err error) {
	plan.report("with lacewingslip: starting nodes", 0, 0)
	s := newDeployment()
	root, branches, err := examples.Tesfaye()
	if err != nil {
		return Result{}, err
	}
	options := []loopback.Option{loopback.WithTree(root, branches...)}
	for i, b := range s.all {
		options = append(options, loopback.WithUpstream("addis", []string{"addis-a", "addis-b"}[i/(len(s.all)/2)], b))
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	system, err := loopback.Start(startCtx, options...)
	if err != nil {
		return Result{}, err
	}
	defer system.Stop(context.WithoutCancel(ctx))
	var addresses []string
	for i := range s.all {
		addresses = append(addresses, system.Caller(i))
	}
	client, err := lacewingslip.New(addresses)
	if err != nil {
		return Result{}, err
	}
	return s.runLoad(ctx, plan, "with lacewingslip", func(ctx context.Context, r lacewingslip.Request) experiment.Reply {
		return sendThroughNode(ctx, client, r)
	}), nil
}

func sendThroughNode(ctx context.Context, client *lacewingslip.Client, r lacewingslip.Request) experiment.Reply {
	answer, err := client.Do(ctx, r)
	var failure *lacewingslip.Error
	if errors.As(err, &failure) {
		return experiment.Reply{Outcome: failure.Outcome(), Retries: failure.Retries()}
	}
	return toReply(r, answer.Status, answer.Body, answer.Retries)
}

func surgeWithoutLayer(ctx context.Context, plan Plan) (result Result, err error) {
	plan.report("without: starting backend servers", 0, 0)
	s, d := newDeployment(), newDirectProxy()
	var servers []*http.Server
	defer func() {
		for _, server := range servers {
			server.Close()
		}
	}()
	listen := func(handler http.Handler) (address string, err error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: directTimeout}
		servers = append(servers, server)
		go func() { _ = server.Serve(listener) }()
		return listener.Addr().String(), nil
	}
	proxyAddress, err := listen(d)
	if err != nil {
		return Result{}, err
	}
	for _, b := range s.all {
		address, err := listen(b)
		if err != nil {
			return Result{}, err
		}
		if err := b.Announce(ctx, proxyAddress, address); err != nil {
			return Result{}, err
		}
	}
	result = s.runLoad(ctx, plan, "without", d.sendRequest)
	result.Retries = int(d.retries.Load())
	return result, nil
}

func (d *directProxy) sendRequest(ctx context.Context, r lacewingslip.Request) experiment.Reply {
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	status, body, err := d.send(ctx, method, "/"+r.Service+r.Path, r.Header, r.Body)
	if err != nil {
		return experiment.Reply{Outcome: call.Unknown}
	}
	return toReply(r, status, body, 0)
}

// toReply converts a response to a reply. The response is wrong unless it repeats the path
// and the body of the request, as the stand-in backend server does.
func toReply(r lacewingslip.Request, status int, body []byte, retries int) experiment.Reply {
	if status != http.StatusOK {
		return experiment.Reply{Outcome: call.Answered, Failed: true, Retries: retries}
	}
	expected := fmt.Sprintf("%s %s", r.Path, r.Body)
	return experiment.Reply{Outcome: call.Answered, Retries: retries, Wrong: !strings.Contains(string(body), expected)}
}

func (p Plan) report(step string, done, total time.Duration) {
	if p.Progress != nil {
		p.Progress(step, done, total)
	}
}
