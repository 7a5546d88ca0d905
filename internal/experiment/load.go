// Package experiment drives open-loop load against services and sums up what
// came back.
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
// Load is open-loop: requests are sent when they are due, whether or not
// earlier ones were answered, as with many independent callers.
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

// Reply is how one request ended.
type Reply struct {
	// Outcome is what the caller knows in the end.
	Outcome call.Outcome
	// Failed is true if the backend server answered with an error, as it does
	// when a child call was refused.
	Failed bool
	// Wrong is true if an answer was incomplete or belongs to another request.
	Wrong bool
	// Retries is how often the request or its child calls were sent again, as
	// far as the caller was told.
	Retries int
}

// Class is a kind of request.
type Class struct {
	Name       string
	Importance call.Importance
	// Weight is the class's part of all requests, relative to other classes.
	Weight int
	// Send makes one request. Numbers are unique within a run.
	Send func(ctx context.Context, number int) Reply
}

// Phase is a time of constant load.
type Phase struct {
	Name     string
	Duration time.Duration
	// Rate is in requests per second.
	Rate int
	// Begin is called when the phase starts, for example to slow a service
	// down. It may be nil.
	Begin func()
}

// Plan is a run. Its phases are before, during and after the cause of an
// overload.
type Plan struct {
	Classes []Class
	Phases  []Phase
	// Timeout is the deadline of each request.
	Timeout time.Duration
	// MaxInFlight bounds the requests that wait at the same time. Those beyond
	// it are counted as not sent. Zero is 8000.
	MaxInFlight int
	// Progress is called a few times a second. It may be nil.
	Progress func(phase string, elapsed, total time.Duration)
}

// Sample is one request.
type Sample struct {
	// Class is the index of the class in the plan.
	Class int
	// Phase is the index of the phase in which the request was due.
	Phase int
	// Due is when the request was to be sent, from the start of the run.
	Due time.Duration
	// Latency is the time from then to the reply.
	Latency time.Duration
	Reply   Reply
	// Dropped is true if the request was not sent, because too many waited.
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

// Run drives the load of the plan until its end, or until ctx ends, and waits
// for the last replies.
func Run(ctx context.Context, plan Plan) Record {
	if plan.MaxInFlight == 0 {
		plan.MaxInFlight = defaultMaxInFlight
	}
	r := runner{plan: plan, samples: schedule(plan), begun: time.Now(), slots: make(chan struct{}, plan.MaxInFlight)}
	sent := r.sendAll(ctx)
	r.waiting.Wait()
	return Record{Plan: plan, Samples: r.samples[:sent]}
}

type runner struct {
	plan    Plan
	samples []Sample
	begun   time.Time
	slots   chan struct{}
	waiting sync.WaitGroup
}

// sendAll returns the number of samples whose time came.
func (r *runner) sendAll(ctx context.Context) (sent int) {
	phase, reported := -1, time.Duration(0)
	for i := range r.samples {
		sample := &r.samples[i]
		if !sleepUntil(ctx, r.begun.Add(sample.Due)) {
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
			r.plan.Progress(r.plan.Phases[phase].Name, sample.Due, r.plan.total())
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
	r.waiting.Go(func() {
		defer func() { <-r.slots }()
		// The deadline counts from when the request was due, so that a busy
		// load generator does not flatter the result.
		due := r.begun.Add(sample.Due)
		ctx, cancel := context.WithDeadline(ctx, due.Add(r.plan.Timeout))
		defer cancel()
		sample.Reply = r.plan.Classes[sample.Class].Send(ctx, number)
		sample.Latency = time.Since(due)
	})
}

// schedule spaces the requests of a phase evenly, which leaves random arrivals
// out of the comparison of two runs, and mixes the classes by their weights.
func schedule(plan Plan) []Sample {
	var samples []Sample
	pattern := mix(plan.Classes)
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

// mix returns a pattern that holds each class as often as its weight, spread
// as evenly as possible.
func mix(classes []Class) []int {
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

func (p Plan) total() (total time.Duration) {
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
