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

// Result is the outcome of an experiment file.
type Result struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Capacity is in whole requests per second, measured without a layer under
	// a load that keeps the slots of the bounding service just full.
	Capacity float64 `json:"capacityPerSecond"`
	Runs     []Trial `json:"runs"`
}

// Trial is one contestant at one surge.
type Trial struct {
	Contestant string  `json:"contestant"`
	Surge      float64 `json:"surge"`
	Summary    Summary `json:"summary"`
	// Goodput counts the whole requests answered in each phase, as a share of
	// what the bounding service can do at its speed in that phase.
	Goodput map[string]float64 `json:"goodput"`
	// Wasted is the share of backend time spent on attempts that failed.
	Wasted float64 `json:"wasted"`
	// RetriesPerRequest counts all calls sent again by callers, backend
	// servers, relays and nodes.
	RetriesPerRequest float64 `json:"retriesPerRequest"`
	RemoteBytes       int64   `json:"remoteBytes"`
	// Reasons counts the calls that failed, by service, status and reason.
	Reasons map[string]int `json:"reasons"`
	record  Record
}

// RunFile runs the experiment in the file, writes result and plot files into
// the directory and a table to out.
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

// Run measures the capacity, then runs each contestant at each surge. Progress
// goes to out.
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
				return Result{}, fmt.Errorf("%s at %gx: %w", name, surge, err)
			}
			_, _ = fmt.Fprintf(out, "%s at %gx done\n", name, surge)
			result.Runs = append(result.Runs, trial)
		}
	}
	return result, ctx.Err()
}

// calibrate drives a closed loop that keeps the bounding service busy.
func (f *File) calibrate(ctx context.Context) (perSecond float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := newWorld(ctx, f)
	if err != nil {
		return 0, err
	}
	defer w.stop()
	c := &noLayer{w: w}
	w.connect(c)
	slots := 0
	for _, b := range w.backends {
		b.ColdTime = 0
		if b.service == f.Capacity {
			slots += b.Slots
		}
	}
	var good atomic.Int64
	var workers sync.WaitGroup
	measured, cancelWorkers := context.WithTimeout(ctx, calibrationTime)
	defer cancelWorkers()
	begun := time.Now()
	for i := range 3 * slots {
		workers.Go(func() {
			for n := 0; measured.Err() == nil; n++ {
				class := f.Classes[(i+n)%len(f.Classes)]
				r := w.request(measured, c, class, fmt.Sprintf("c%d-%d", i, n), f.Regions[i%len(f.Regions)])
				if r.Outcome == call.Answered && time.Since(begun) > calibrationWarmUp {
					good.Add(1)
				}
			}
		})
	}
	workers.Wait()
	if good.Load() == 0 {
		return 0, errors.New("no request was answered while the capacity was measured")
	}
	return float64(good.Load()) / (calibrationTime - calibrationWarmUp).Seconds(), ctx.Err()
}

func (f *File) trial(ctx context.Context, name string, surge, capacity float64) (t Trial, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := newWorld(ctx, f)
	if err != nil {
		return Trial{}, err
	}
	defer w.stop()
	c := contestants[name]()
	if err := c.start(ctx, w); err != nil {
		return Trial{}, err
	}
	defer c.stop()
	w.connect(c)
	var good sync.Map
	plan := f.plan(w, c, surge, capacity, &good)
	t = Trial{Contestant: name, Surge: surge, record: Run(ctx, plan)}
	t.Summary = t.record.Summarize()
	t.Goodput = f.goodput(t.record, capacity)
	t.Wasted, t.RemoteBytes, t.Reasons = w.meter.wasted(&good), w.meter.remoteBytes, w.meter.reasons
	retries := w.meter.retries.Load()
	for _, count := range t.Summary.Counts {
		retries += int64(count.Retries)
	}
	t.RetriesPerRequest = float64(retries) / float64(len(t.record.Samples))
	return t, nil
}

func (f *File) plan(w *world, c contestant, surge, capacity float64, good *sync.Map) Plan {
	plan := Plan{Timeout: f.Timeout}
	for _, class := range f.Classes {
		importance, _ := call.ParseImportance(class.Importance)
		plan.Classes = append(plan.Classes, Class{
			Name: class.Name, Importance: importance, Weight: class.Weight,
			Send: func(ctx context.Context, number int) Reply { return w.customer(ctx, c, class, number, good) },
		})
	}
	for _, phase := range f.Phases {
		load := phase.Load
		if phase.Surge {
			load = surge
		}
		plan.Phases = append(plan.Phases, Phase{
			Name: phase.Name, Duration: phase.Duration, Rate: max(int(load*capacity), 1),
			Begin: func() { w.slow(phase.Slow) },
		})
	}
	return plan
}

// customer is a caller that sends its request again a few times after a
// failure.
func (w *world) customer(ctx context.Context, c contestant, class RequestClass, number int, good *sync.Map) (r Reply) {
	region := w.file.Regions[number%len(w.file.Regions)]
	retries := 0
	for i := 0; i <= w.file.CallerRetries && ctx.Err() == nil; i++ {
		if i > 0 {
			w.meter.retries.Add(1)
			time.Sleep(repeatDelay)
		}
		attempt := fmt.Sprintf("%d-%d", number, i)
		r = w.attempt(ctx, c, class, attempt, region)
		retries += r.Retries
		r.Retries = retries
		if r.Outcome == call.Answered {
			good.Store(attempt, true)
			return r
		}
	}
	return r
}

// attempt is a request that the caller gives up after the file's AttemptTimeout.
func (w *world) attempt(ctx context.Context, c contestant, class RequestClass, attempt, region string) Reply {
	if w.file.AttemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, w.file.AttemptTimeout)
		defer cancel()
	}
	return w.request(ctx, c, class, attempt, region)
}

// request sends one attempt of a customer request.
func (w *world) request(ctx context.Context, c contestant, class RequestClass, attempt, region string) Reply {
	header := http.Header{headerAttempt: {attempt}, headerRegion: {region}}
	method := http.MethodGet
	if class.Booking {
		method = http.MethodPost
	}
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(call.HeaderTimeout, call.FormatTimeout(time.Until(deadline)))
	}
	r := send(ctx, w.client, method, c.entry(region, class.Service)+"/"+class.Service+"/"+class.Name, header)
	if r.status != http.StatusOK {
		w.meter.failed(class.Service+" "+class.Importance, r)
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
		possible := capacity
		if factor, ok := phase.Slow[f.Capacity]; ok {
			possible /= factor
		}
		shares[phase.Name] = float64(good) / phase.Duration.Seconds() / possible
		start += phase.Duration
	}
	return shares
}

func (m *meter) wasted(good *sync.Map) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var failed, all time.Duration
	for attempt, spent := range m.work {
		all += spent
		if _, ok := good.Load(attempt); !ok {
			failed += spent
		}
	}
	if all == 0 {
		return 0
	}
	return float64(failed) / float64(all)
}
