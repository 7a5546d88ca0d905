package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	// recoveredShare is the part of the earlier goodput that counts as
	// recovered.
	recoveredShare = 0.95
	// recoveryWindow is how long goodput must stay at that level, and
	// recoveryStep the resolution of the recovery time.
	recoveryWindow = time.Second
	recoveryStep   = 50 * time.Millisecond

	maxLatencyMillis = 120_000
)

// Counts sums up the requests of one class in one phase.
type Counts struct {
	Class      string `json:"class"`
	Importance string `json:"importance"`
	Phase      string `json:"phase"`
	// Sent counts all requests that were due.
	Sent int `json:"sent"`
	// Good counts complete and correct answers.
	Good int `json:"good"`
	// Refused counts requests that certainly did not run.
	Refused int `json:"refused"`
	// Failed counts error answers of backend servers.
	Failed int `json:"failed"`
	// Unknown counts requests that may have run but were not answered.
	Unknown int `json:"unknown"`
	// Wrong counts answers that were incomplete or to another request.
	Wrong int `json:"wrong"`
	// Dropped counts requests that the load generator could not send.
	Dropped int `json:"dropped"`
	Retries int `json:"retries"`
	// Median and P99 are latencies of good requests, in milliseconds.
	Median int64 `json:"medianMs"`
	P99    int64 `json:"p99Ms"`
}

// Share returns the part of the requests that got a good answer.
func (c Counts) Share() float64 {
	if c.Sent == 0 {
		return 0
	}
	return float64(c.Good) / float64(c.Sent)
}

// Summary sums up a run.
type Summary struct {
	// Counts is in order of phases, then classes.
	Counts []Counts `json:"counts"`
	// Recovered is true if goodput came back after the cause.
	Recovered bool `json:"recovered"`
	// RecoveryMillis is the time from the start of the last phase until
	// goodput was back, if it was.
	RecoveryMillis int64 `json:"recoveryMs"`
	// MaxRetries is the largest number of retries of one request.
	MaxRetries int `json:"maxRetries"`
}

// Summarize counts what happened. The first phase is the time before the cause
// of the overload, the last one the time after it.
func (r Record) Summarize() (s Summary) {
	classes := len(r.Plan.Classes)
	s.Counts = make([]Counts, classes*len(r.Plan.Phases))
	latencies := make([]*hdrhistogram.Histogram, len(s.Counts))
	for i := range s.Counts {
		class := r.Plan.Classes[i%classes]
		s.Counts[i] = Counts{Class: class.Name, Importance: class.Importance.String(), Phase: r.Plan.Phases[i/classes].Name}
		latencies[i] = hdrhistogram.New(1, maxLatencyMillis, 3)
	}
	for _, sample := range r.Samples {
		cell := sample.Phase*classes + sample.Class
		s.Counts[cell].add(sample)
		s.MaxRetries = max(s.MaxRetries, sample.Reply.Retries)
		if sample.Good() {
			// A latency above the range is recorded as its upper end.
			_ = latencies[cell].RecordValue(min(sample.Latency.Milliseconds(), maxLatencyMillis))
		}
	}
	for i := range s.Counts {
		s.Counts[i].Median = latencies[i].ValueAtQuantile(50)
		s.Counts[i].P99 = latencies[i].ValueAtQuantile(99)
	}
	recovery, recovered := r.recovery()
	s.RecoveryMillis, s.Recovered = recovery.Milliseconds(), recovered
	return s
}

func (c *Counts) add(s Sample) {
	c.Sent++
	c.Retries += s.Reply.Retries
	switch {
	case s.Good():
		c.Good++
	case s.Dropped:
		c.Dropped++
	case s.Reply.Failed:
		c.Failed++
	case s.Reply.Wrong:
		c.Wrong++
	case s.Reply.Outcome == call.NotRun:
		c.Refused++
	default:
		c.Unknown++
	}
}

// recovery returns the time from the start of the last phase until requests
// are answered at nearly the same share as in the first phase, for the length
// of a window.
func (r Record) recovery() (d time.Duration, ok bool) {
	last := len(r.Plan.Phases) - 1
	if last < 1 {
		return 0, false
	}
	end := r.Plan.total()
	start := end - r.Plan.Phases[last].Duration
	before, _ := r.goodShare(0, r.Plan.Phases[0].Duration)
	if before == 0 {
		return 0, false
	}
	for t := start; t+recoveryWindow <= end; t += recoveryStep {
		if share, sent := r.goodShare(t, t+recoveryWindow); sent && share >= recoveredShare*before {
			return t - start, true
		}
	}
	return 0, false
}

// goodShare is by the time at which requests were due.
func (r Record) goodShare(from, to time.Duration) (share float64, ok bool) {
	sent, good := 0, 0
	for _, sample := range r.Samples {
		if sample.Due < from || sample.Due >= to {
			continue
		}
		sent++
		if sample.Good() {
			good++
		}
	}
	if sent == 0 {
		return 0, false
	}
	return float64(good) / float64(sent), true
}
