package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	calibrationTime   = 4 * time.Second
	calibrationWarmUp = time.Second
)

// Result holds the measurements of an experiment.
type Result struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Capacity is in customer requests per second, measured without a layer under
	// a closed-loop load that keeps all slots of the limiting service busy.
	Capacity float64 `json:"capacityPerSecond"`
	Runs     []Trial `json:"runs"`
}

// Trial is a run with one contestant at one surge.
type Trial struct {
	Contestant string  `json:"contestant"`
	Surge      float64 `json:"surge"`
	Summary    Summary `json:"summary"`
	// Goodput is the rate of customer requests with a good answer in each phase,
	// as a share of the capacity of the limiting service at its service time in
	// that phase.
	Goodput map[string]float64 `json:"goodput"`
	// Wasted is the share of backend time spent on failed attempts of customer
	// requests.
	Wasted float64 `json:"wasted"`
	// RetriesPerRequest is the mean number of retries per customer request, by
	// callers, backend servers, relays and nodes together.
	RetriesPerRequest float64 `json:"retriesPerRequest"`
	RemoteBytes       int64   `json:"remoteBytes"`
	// Reasons counts the failed calls by service, status and reason. Requests of
	// callers also state their importance.
	Reasons map[string]int `json:"reasons"`
	record  Record
}

// RunFile runs the experiment in the file. It writes result and plot files into the
// directory, and progress and a table to out.
func RunFile(ctx context.Context, path, directory string, out io.Writer) (err error) {
	f, err := LoadFile(path)
	if err != nil {
		return err
	}
	result, err := f.Run(ctx, out)
	if err != nil {
		return err
	}
	if _, err := io.WriteString(out, result.Table()); err != nil {
		return err
	}
	return result.Save(directory)
}

// Run measures the capacity, then runs each contestant at each surge. It writes
// progress to out.
func (f *File) Run(ctx context.Context, out io.Writer) (result Result, err error) {
	result = Result{Name: f.Name, Seed: f.Seed}
	if result.Capacity, err = f.calibrate(ctx); err != nil {
		return Result{}, err
	}
	_, _ = fmt.Fprintf(out, "capacity: %.1f whole requests per second\n", result.Capacity)
	for _, surge := range f.Surges {
		for _, name := range f.Contestants {
			trial, err := f.trial(ctx, name, surge, result.Capacity)
			if err != nil {
				return Result{}, fmt.Errorf("contestant %s at surge %gx: %w", name, surge, err)
			}
			_, _ = fmt.Fprintf(out, "%s at %gx done\n", name, surge)
			result.Runs = append(result.Runs, trial)
		}
	}
	return result, ctx.Err()
}

// calibrate measures the capacity with a closed-loop load that keeps the limiting
// service busy.
func (f *File) calibrate(ctx context.Context) (perSecond float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	env, err := newEnvironment(ctx, f)
	if err != nil {
		return 0, err
	}
	defer env.stop()
	c := &noLayer{env: env}
	env.connectBackends(c)
	slots := 0
	for _, b := range env.backends {
		b.ColdTime = 0
		if b.service == f.Capacity {
			slots += b.Slots
		}
	}
	var good atomic.Int64
	var workers sync.WaitGroup
	measured, cancelWorkers := context.WithTimeout(ctx, calibrationTime)
	defer cancelWorkers()
	started := time.Now()
	for i := range 3 * slots {
		workers.Go(func() {
			for n := 0; measured.Err() == nil; n++ {
				class := f.Classes[(i+n)%len(f.Classes)]
				r := env.request(measured, c, class, fmt.Sprintf("c%d-%d", i, n), f.Regions[i%len(f.Regions)])
				if r.Outcome == call.Answered && time.Since(started) > calibrationWarmUp {
					good.Add(1)
				}
			}
		})
	}
	workers.Wait()
	if good.Load() == 0 {
		return 0, errors.New("capacity measurement: no request was answered")
	}
	return float64(good.Load()) / (calibrationTime - calibrationWarmUp).Seconds(), ctx.Err()
}

// trial runs one contestant at one surge with new backend servers.
func (f *File) trial(ctx context.Context, name string, surge, capacity float64) (t Trial, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	env, err := newEnvironment(ctx, f)
	if err != nil {
		return Trial{}, err
	}
	defer env.stop()
	c := contestants[name]()
	if err := c.start(ctx, env); err != nil {
		return Trial{}, err
	}
	defer c.stop()
	env.connectBackends(c)
	var answeredAttempts sync.Map
	plan := f.plan(env, c, surge, capacity, &answeredAttempts)
	t = Trial{Contestant: name, Surge: surge, record: Run(ctx, plan)}
	t.Summary = t.record.Summarize()
	t.Goodput = f.goodput(t.record, capacity)
	t.Wasted, t.RemoteBytes, t.Reasons = env.meter.wastedShare(&answeredAttempts), env.meter.remoteBytes, env.meter.reasons
	retries := env.meter.retries.Load()
	for _, count := range t.Summary.Counts {
		retries += int64(count.Retries)
	}
	t.RetriesPerRequest = float64(retries) / float64(len(t.record.Samples))
	return t, nil
}

func (f *File) plan(env *environment, c contestant, surge, capacity float64, answeredAttempts *sync.Map) Plan {
	plan := Plan{Timeout: f.Timeout}
	for _, class := range f.Classes {
		importance, _ := call.ParseImportance(class.Importance)
		plan.Classes = append(plan.Classes, Class{
			Name: class.Name, Importance: importance, Weight: class.Weight,
			Send: func(ctx context.Context, number int) Reply {
				return env.customer(ctx, c, class, number, answeredAttempts)
			},
		})
	}
	for _, phase := range f.Phases {
		load := phase.Load
		if phase.Surge {
			load = surge
		}
		plan.Phases = append(plan.Phases, Phase{
			Name: phase.Name, Duration: phase.Duration, Rate: max(int(load*capacity), 1),
			Begin: func() { env.setServiceTimeFactors(phase.Slow) },
		})
	}
	return plan
}

// customer sends a request and retries it up to CallerRetries times after a failure.
// It adds the name of an answered attempt to answeredAttempts.
func (env *environment) customer(ctx context.Context, c contestant, class RequestClass, number int, answeredAttempts *sync.Map) (r Reply) {
	region := env.file.Regions[number%len(env.file.Regions)]
	retries := 0
	for i := 0; i <= env.file.CallerRetries && ctx.Err() == nil; i++ {
		if i > 0 {
			env.meter.retries.Add(1)
			time.Sleep(retryDelay)
		}
		attempt := fmt.Sprintf("%d-%d", number, i)
		r = env.attempt(ctx, c, class, attempt, region)
		retries += r.Retries
		r.Retries = retries
		if r.Outcome == call.Answered {
			answeredAttempts.Store(attempt, true)
			return r
		}
	}
	return r
}

// attempt sends one attempt of a request, which the caller cancels after the file's
// AttemptTimeout.
func (env *environment) attempt(ctx context.Context, c contestant, class RequestClass, attempt, region string) Reply {
	if env.file.AttemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, env.file.AttemptTimeout)
		defer cancel()
	}
	return env.request(ctx, c, class, attempt, region)
}

// request sends one attempt of a customer's request and classifies the answer.
func (env *environment) request(ctx context.Context, c contestant, class RequestClass, attempt, region string) Reply {
	header := http.Header{headerAttempt: {attempt}, headerRegion: {region}}
	method := http.MethodGet
	if class.Booking {
		method = http.MethodPost
	}
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(call.HeaderTimeout, call.FormatTimeout(time.Until(deadline)))
	}
	r := send(ctx, env.client, method, c.callerURL(region, class.Service)+"/"+class.Service+"/"+class.Name, header)
	if r.status != http.StatusOK {
		env.meter.addFailure(class.Service+" "+class.Importance, r)
	}
	reply := Reply{Retries: r.retries}
	switch {
	case r.status == http.StatusOK:
		reply.Outcome = call.Answered
		reply.Wrong = strings.TrimRight(r.body, " ") != attempt
	case r.outcome == call.NotRun.String(),
		r.outcome == "" && r.status == http.StatusServiceUnavailable:
		reply.Outcome = call.NotRun
	}
	return reply
}

// goodput returns the share of the capacity that was answered in each phase. A
// request counts in the phase in which its answer came.
func (f *File) goodput(r Record, capacity float64) map[string]float64 {
	shares := make(map[string]float64)
	start := time.Duration(0)
	for _, phase := range f.Phases {
		good := 0
		for _, s := range r.Samples {
			if end := s.Due + s.Latency; s.Good() && end >= start && end < start+phase.Duration {
				good++
			}
		}
		phaseCapacity := capacity
		if factor, ok := phase.Slow[f.Capacity]; ok {
			phaseCapacity /= factor
		}
		shares[phase.Name] = float64(good) / phase.Duration.Seconds() / phaseCapacity
		start += phase.Duration
	}
	return shares
}

// wastedShare returns the share of backend time that was not spent on the
// answered attempts.
func (m *meter) wastedShare(answeredAttempts *sync.Map) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var failed, all time.Duration
	for attempt, spent := range m.timeByAttempt {
		all += spent
		if _, ok := answeredAttempts.Load(attempt); !ok {
			failed += spent
		}
	}
	if all == 0 {
		return 0
	}
	return float64(failed) / float64(all)
}
