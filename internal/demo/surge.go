// Package demo compares a surge with and without the layer, inside one process.
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
	// The deep service dispatch has two backend servers with ten slots each.
	// At 40 ms per call it can do 500 calls per second, slowed down half of
	// that.
	deepServers  = 2
	deepSlots    = 10
	deepTime     = 40 * time.Millisecond
	slowDeepTime = 80 * time.Millisecond
	shallowTime  = 2 * time.Millisecond

	ordinaryRate   = 300
	surgeRate      = 1000
	requestTimeout = 2 * time.Second
	// warmUpShare of the duration of a run goes to warming up the backend
	// servers. That time is not part of the result.
	warmUpShare  = 5
	startTimeout = 15 * time.Second
)

// DeepCapacity returns the calls per second that the deep service can do, usually
// and during the surge.
func DeepCapacity() (usual, slowed int) {
	const slots = deepServers * deepSlots
	return int(slots * time.Second / deepTime), int(slots * time.Second / slowDeepTime)
}

// Plan says how long and how hard the surge is.
type Plan struct {
	// WarmUp is the time before the first phase. Before, During and After are
	// the lengths of the three phases.
	WarmUp, Before, During, After time.Duration
	// OrdinaryRate and SurgeRate are in requests per second.
	OrdinaryRate, SurgeRate int
	// Progress is told about steps and phases. It may be nil.
	Progress func(step string, done, total time.Duration)
}

// NewPlan divides the duration of a run among the phases.
func NewPlan(duration time.Duration) Plan {
	measured := duration - duration/warmUpShare
	return Plan{
		WarmUp: duration / warmUpShare, Before: measured / 4, During: measured * 3 / 8, After: measured * 3 / 8,
		OrdinaryRate: ordinaryRate, SurgeRate: surgeRate,
	}
}

// Result is what one run showed.
type Result struct {
	experiment.Summary
	// Retries counts those of callers, nodes and backend servers together.
	Retries int `json:"retries"`
	// DuplicateBookings counts bookings that ran more than once.
	DuplicateBookings int `json:"duplicateBookings"`
	// FalselyNotRun counts bookings that ran although the caller was told that
	// they had not.
	FalselyNotRun int `json:"falselyNotRun"`
	// DeepCalls counts the calls that the deep service began to run.
	DeepCalls int `json:"deepCalls"`
}

// Comparison holds the same surge with and without the layer.
type Comparison struct {
	With    Result `json:"with"`
	Without Result `json:"without"`
}

// Run drives a surge of lookups and bookings through a slow deep service,
// first without the layer and then with it.
func Run(ctx context.Context, plan Plan) (c Comparison, err error) {
	defer func() { err = eris.Wrap(err, "demo") }()
	if c.Without, err = surgeWithout(ctx, plan); err != nil {
		return Comparison{}, err
	}
	if c.With, err = surgeWith(ctx, plan); err != nil {
		return Comparison{}, err
	}
	return c, ctx.Err()
}

// site is the set of backend servers of a run.
type site struct {
	slow   atomic.Bool
	orders []*backend.Backend
	deep   []*backend.Backend
	all    []*backend.Backend
}

// newSite returns two backend servers per service. Orders and catalogue pages
// look into the catalogue's stock, and that into the routes of dispatch.
func newSite() *site {
	s := &site{}
	deepTimes := func() time.Duration {
		if s.slow.Load() {
			return slowDeepTime
		}
		return deepTime
	}
	stock := backend.Child{Method: http.MethodGet, Service: "catalogue", Path: "/stock/egg-tray-30"}
	lorries := backend.Child{Method: http.MethodGet, Service: "dispatch", Path: "/routes/addis"}
	for range deepServers {
		orders := backend.New("orders", backend.WithServiceTime(shallowTime), backend.WithWorkers(50), backend.WithChildren(stock))
		catalogue := backend.New("catalogue", backend.WithServiceTime(shallowTime), backend.WithWorkers(50), backend.WithChildren(lorries))
		deep := backend.New("dispatch", backend.WithServiceTimes(deepTimes), backend.WithWorkers(deepSlots))
		s.orders = append(s.orders, orders)
		s.deep = append(s.deep, deep)
		s.all = append(s.all, orders, catalogue, deep)
	}
	return s
}

// sender makes one request of a run.
type sender func(ctx context.Context, r lacewingslip.Request) experiment.Reply

// load makes the requests of a run and notes what callers were told.
type load struct {
	send sender

	mu sync.Mutex
	// notRun holds the bookings that were reported as not run.
	notRun map[string]bool
}

// classes returns the mix of requests. The run's name keeps the bookings of two
// runs apart.
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

// drive runs the load and counts what happened at the backend servers.
func (s *site) drive(ctx context.Context, plan Plan, step string, send sender) Result {
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

func (s *site) countBookings(result *Result, notRun map[string]bool) {
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

func (s *site) deepCalls() (total int) {
	for _, b := range s.deep {
		total += b.Total()
	}
	return total
}

func surgeWith(ctx context.Context, plan Plan) (result Result, err error) {
	plan.report("with lacewingslip: starting nodes", 0, 0)
	s := newSite()
	root, branches, err := examples.Tesfaye()
	if err != nil {
		return Result{}, err
	}
	options := []loopback.Option{loopback.WithTree(root, branches...)}
	for i, b := range s.all {
		options = append(options, loopback.WithUpstream("addis", []string{"addis-a", "addis-b"}[i/(len(s.all)/2)], b))
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	system, err := loopback.Start(starting, options...)
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
	return s.drive(ctx, plan, "with lacewingslip", func(ctx context.Context, r lacewingslip.Request) experiment.Reply {
		return sendWith(ctx, client, r)
	}), nil
}

func sendWith(ctx context.Context, client *lacewingslip.Client, r lacewingslip.Request) experiment.Reply {
	answer, err := client.Do(ctx, r)
	var failure *lacewingslip.Error
	if errors.As(err, &failure) {
		return experiment.Reply{Outcome: failure.Outcome(), Retries: failure.Retries()}
	}
	return reply(r, answer.Status, answer.Body, answer.Retries)
}

func surgeWithout(ctx context.Context, plan Plan) (result Result, err error) {
	plan.report("without: starting backend servers", 0, 0)
	s, d := newSite(), newDirect()
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
	hub, err := listen(d)
	if err != nil {
		return Result{}, err
	}
	for _, b := range s.all {
		address, err := listen(b)
		if err != nil {
			return Result{}, err
		}
		if err := b.Announce(ctx, hub, address); err != nil {
			return Result{}, err
		}
	}
	result = s.drive(ctx, plan, "without", d.sendWithout)
	result.Retries = int(d.retries.Load())
	return result, nil
}

func (d *direct) sendWithout(ctx context.Context, r lacewingslip.Request) experiment.Reply {
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	status, body, err := d.send(ctx, method, "/"+r.Service+r.Path, r.Header, r.Body)
	if err != nil {
		return experiment.Reply{Outcome: call.Unknown}
	}
	return reply(r, status, body, 0)
}

// reply judges an answer. The stand-in repeats the request line in it.
func reply(r lacewingslip.Request, status int, body []byte, retries int) experiment.Reply {
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
