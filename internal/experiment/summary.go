package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	// recoveredShare is the share of the goodput before the overload at which
	// goodput counts as recovered.
	recoveredShare = 0.95
	// recoveryWindow is the time for which goodput must reach that level, and
	// recoveryStep is the resolution of the recovery time.
	recoveryWindow = time.Second
	recoveryStep   = 50 * time.Millisecond

	maxLatencyMillis = 120_000
)

// Counts counts the requests of one class in one phase by their results.
type Counts struct {
	Class      string `json:"class"`
	Importance string `json:"importance"`
	Phase      string `json:"phase"`
	// Sent counts all requests that were due, including dropped ones.
	Sent int `json:"sent"`
	// Good counts complete and correct answers.
	Good int `json:"good"`
	// Refused counts requests that are known not to have run.
	Refused int `json:"refused"`
	// Failed counts error answers of backend servers.
	Failed int `json:"failed"`
	// Unknown counts requests that were not answered and may have run.
	Unknown int `json:"unknown"`
	// Wrong counts answers that were incomplete or belong to another request.
	Wrong int `json:"wrong"`
	// Dropped counts requests that the load generator did not send because
	// MaxInFlight requests were in flight.
	Dropped int `json:"dropped"`
	Retries int `json:"retries"`
	// Median and P99 are the latencies of requests with a good answer, in
	// milliseconds.
	Median int64 `json:"medianMs"`
	P99    int64 `json:"p99Ms"`
}

// GoodShare returns the share of the requests that got a good answer.
func (c Counts) GoodShare() float64 {
	if c.Sent == 0 {
		return 0
	}
	return float64(c.Good) / float64(c.Sent)
}

// Summary holds the aggregated results of a run.
type Summary struct {
	// Counts is ordered by phase, then by class.
	Counts []Counts `json:"counts"`
	// Recovered is true if goodput recovered in the last phase.
	Recovered bool `json:"recovered"`
	// RecoveryMillis is the time from the start of the last phase until goodput
	// recovered. It is valid if Recovered is true.
	RecoveryMillis int64 `json:"recoveryMs"`
	// MaxRetries is the largest number of retries of one request.
	MaxRetries int `json:"maxRetries"`
}

// Summarize aggregates the samples. The first phase is the time before the trigger of
// the overload, the last one the time after it.
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
		index := sample.Phase*classes + sample.Class
		s.Counts[index].add(sample)
		s.MaxRetries = max(s.MaxRetries, sample.Reply.Retries)
		if sample.Good() {
			// Latencies above the range of the histogram are recorded as its maximum.
			_ = latencies[index].RecordValue(min(sample.Latency.Milliseconds(), maxLatencyMillis))
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

// recovery returns the time from the start of the last phase to the first window in
// which the share of good answers is at least recoveredShare of that in the first
// phase.
func (r Record) recovery() (d time.Duration, ok bool) {
	last := len(r.Plan.Phases) - 1
	if last < 1 {
		return 0, false
	}
	end := r.Plan.totalDuration()
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

// goodShare returns the share of good answers to the requests scheduled in an
// interval, and false if there were none.
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
