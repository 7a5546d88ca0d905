// Package experiment compares systems that carry calls between services under
// overload. It generates open-loop load and summarizes the replies.
//
// # Usage
//
//	plan := experiment.Plan{
//		Classes: []experiment.Class{{Name: "booking", Importance: call.Critical, Weight: 1, Send: book}},
//		Phases:  []experiment.Phase{{Name: "before", Duration: 4 * time.Second, Rate: 200}, ...},
//		Timeout: time.Second,
//	}
//	record := experiment.Run(ctx, plan)
//	summary := record.Summarize()
//
// Load is open-loop: requests are sent when they are due, whether or not earlier ones
// were answered, as many independent callers would.
package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	defaultMaxInFlight = 8000
	progressInterval   = 200 * time.Millisecond
)

// Reply is the result of one request.
type Reply struct {
	// Outcome is the outcome as known to the caller.
	Outcome call.Outcome
	// Failed is true if the backend server answered with an error, as it does
	// when a child call was refused.
	Failed bool
	// Wrong is true if an answer was incomplete or belongs to another request.
	Wrong bool
	// Retries is the number of retries of the request and its child calls that
	// were reported to the caller.
	Retries int
}

// Class is a kind of request.
type Class struct {
	Name       string
	Importance call.Importance
	// Weight is the share of the class in all requests, relative to the weights of
	// the other classes.
	Weight int
	// Send sends one request. The number is unique within a run.
	Send func(ctx context.Context, number int) Reply
}

// Phase is a part of a run with a constant request rate.
type Phase struct {
	Name     string
	Duration time.Duration
	// Rate is in requests per second.
	Rate int
	// Begin is called at the start of the phase, for example to slow down a
	// service. It may be nil.
	Begin func()
}

// Plan describes a run. Its first phase is before the overload, its last one after
// the trigger of the overload has ended.
type Plan struct {
	Classes []Class
	Phases  []Phase
	// Timeout is the deadline of each request.
	Timeout time.Duration
	// MaxInFlight limits the number of requests in flight. Requests above the limit
	// are not sent and counted as dropped. Zero means 8000.
	MaxInFlight int
	// Progress is called about five times per second. It may be nil.
	Progress func(phase string, elapsed, total time.Duration)
}

// Sample is one request of a run and its reply.
type Sample struct {
	// Class is the index of the class in the plan.
	Class int
	// Phase is the index of the phase in which the request was due.
	Phase int
	// Due is the scheduled time of the request, from the start of the run.
	Due time.Duration
	// Latency is the time from Due to the reply.
	Latency time.Duration
	Reply   Reply
	// Dropped is true if the request was not sent because MaxInFlight requests
	// were in flight.
	Dropped bool
}

// Good reports whether the request got a complete and correct answer.
func (s Sample) Good() bool {
	return !s.Dropped && s.Reply.Outcome == call.Answered && !s.Reply.Failed && !s.Reply.Wrong
}

// Record holds the samples of a run in the order in which they were due.
type Record struct {
	Plan    Plan
	Samples []Sample
}

// Run generates the load of the plan until its end, or until ctx ends, and waits for
// the replies to all requests sent.
func Run(ctx context.Context, plan Plan) Record {
	if plan.MaxInFlight == 0 {
		plan.MaxInFlight = defaultMaxInFlight
	}
	r := runner{plan: plan, samples: schedule(plan), started: time.Now(), slots: make(chan struct{}, plan.MaxInFlight)}
	sent := r.sendAll(ctx)
	r.pending.Wait()
	return Record{Plan: plan, Samples: r.samples[:sent]}
}

type runner struct {
	plan    Plan
	samples []Sample
	started time.Time
	slots   chan struct{}
	pending sync.WaitGroup
}

// sendAll sends the requests at their scheduled times. It returns the number of
// samples that were due before the context ended.
func (r *runner) sendAll(ctx context.Context) (sent int) {
	phase, reported := -1, time.Duration(0)
	for i := range r.samples {
		sample := &r.samples[i]
		if !sleepUntil(ctx, r.started.Add(sample.Due)) {
			return i
		}
		if sample.Phase != phase {
			phase = sample.Phase
			if begin := r.plan.Phases[phase].Begin; begin != nil {
				begin()
			}
		}
		if r.plan.Progress != nil && sample.Due >= reported {
			reported = sample.Due + progressInterval
			r.plan.Progress(r.plan.Phases[phase].Name, sample.Due, r.plan.totalDuration())
		}
		r.send(ctx, i, sample)
	}
	return len(r.samples)
}

func (r *runner) send(ctx context.Context, number int, sample *Sample) {
	select {
	case r.slots <- struct{}{}:
	default:
		sample.Dropped = true
		return
	}
	r.pending.Go(func() {
		defer func() { <-r.slots }()
		// Deadline and latency count from the scheduled time, so that delays in the
		// load generator do not improve the result.
		due := r.started.Add(sample.Due)
		ctx, cancel := context.WithDeadline(ctx, due.Add(r.plan.Timeout))
		defer cancel()
		sample.Reply = r.plan.Classes[sample.Class].Send(ctx, number)
		sample.Latency = time.Since(due)
	})
}

// schedule spaces the requests of a phase evenly, so that random arrivals do not
// affect the comparison of two runs, and interleaves the classes by weight.
func schedule(plan Plan) []Sample {
	var samples []Sample
	pattern := weightedPattern(plan.Classes)
	start := time.Duration(0)
	for index, phase := range plan.Phases {
		for i := range int(phase.Duration.Seconds() * float64(phase.Rate)) {
			due := start + time.Duration(i)*time.Second/time.Duration(phase.Rate)
			samples = append(samples, Sample{Class: pattern[len(samples)%len(pattern)], Phase: index, Due: due})
		}
		start += phase.Duration
	}
	return samples
}

// weightedPattern returns a sequence that contains each class as often as its weight,
// spread as evenly as possible, by smooth weighted round-robin.
func weightedPattern(classes []Class) []int {
	total := 0
	for _, class := range classes {
		total += class.Weight
	}
	credit := make([]int, len(classes))
	pattern := make([]int, 0, total)
	for range total {
		chosen := 0
		for i, class := range classes {
			credit[i] += class.Weight
			if credit[i] > credit[chosen] {
				chosen = i
			}
		}
		credit[chosen] -= total
		pattern = append(pattern, chosen)
	}
	return pattern
}

func (p Plan) totalDuration() (total time.Duration) {
	for _, phase := range p.Phases {
		total += phase.Duration
	}
	return total
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
