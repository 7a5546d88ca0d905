package experiment_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/experiment"
)

// Guards against a load generator that waits for answers: slow answers must not lower
// the offered load, and latencies must count from the scheduled time of the request.
func TestLoadIsOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		record := experiment.Run(t.Context(), experiment.Plan{
			Classes: []experiment.Class{
				{Name: "lookup", Importance: call.Normal, Weight: 3, Send: after(800*time.Millisecond, call.Answered)},
				{Name: "booking", Importance: call.Critical, Weight: 1, Send: after(5*time.Second, call.Answered)},
			},
			Phases:  []experiment.Phase{{Name: "only", Duration: 2 * time.Second, Rate: 100}},
			Timeout: time.Second,
		})
		counts := record.Summarize().Counts
		must.EqOp(t, experiment.Counts{Class: "lookup", Importance: "normal", Phase: "only", Sent: 150, Good: 150, Median: 800, P99: 800}, counts[0])
		must.EqOp(t, experiment.Counts{Class: "booking", Importance: "critical", Phase: "only", Sent: 50, Unknown: 50}, counts[1])
	})
}

// Guards against a load generator that runs out of memory when a server does not
// answer.
func TestInFlightIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		record := experiment.Run(t.Context(), experiment.Plan{
			Classes:     []experiment.Class{{Name: "lookup", Weight: 1, Send: after(time.Hour, call.Answered)}},
			Phases:      []experiment.Phase{{Name: "only", Duration: time.Second, Rate: 100}},
			Timeout:     time.Minute,
			MaxInFlight: 30,
		})
		must.EqOp(t, 70, record.Summarize().Counts[0].Dropped)
	})
}

// Guards against a recovery time that starts or ends at the wrong time.
func TestRecovery(t *testing.T) {
	cases := map[string]struct {
		failing   time.Duration // from the start of the surge, which lasts 2 s
		recovered bool
		millis    int64
	}{
		"at once":      {2 * time.Second, true, 0},
		"after 1500ms": {3500 * time.Millisecond, true, 1450}, // 50 ms earlier, 95% of the window of 1 s is good
		"never":        {time.Hour, false, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var overloadStart time.Time
				send := func(context.Context, int) experiment.Reply {
					if !overloadStart.IsZero() && time.Since(overloadStart) < tc.failing {
						return experiment.Reply{Outcome: call.NotRun, Retries: 2}
					}
					return experiment.Reply{Outcome: call.Answered}
				}
				summary := experiment.Run(t.Context(), experiment.Plan{
					Classes: []experiment.Class{{Name: "lookup", Weight: 1, Send: send}},
					Phases: []experiment.Phase{
						{Name: "before", Duration: 2 * time.Second, Rate: 100},
						{Name: "surge", Duration: 2 * time.Second, Rate: 100, Begin: func() { synctest.Wait(); overloadStart = time.Now() }},
						{Name: "after", Duration: 5 * time.Second, Rate: 100},
					},
					Timeout: time.Second,
				}).Summarize()
				must.EqOp(t, tc.recovered, summary.Recovered)
				must.EqOp(t, tc.millis, summary.RecoveryMillis)
				must.EqOp(t, 2, summary.MaxRetries)
			})
		})
	}
}

func after(d time.Duration, outcome call.Outcome) func(context.Context, int) experiment.Reply {
	return func(ctx context.Context, _ int) experiment.Reply {
		select {
		case <-time.After(d):
			return experiment.Reply{Outcome: outcome}
		case <-ctx.Done():
			return experiment.Reply{}
		}
	}
}
