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

// Guards against a load generator that waits for answers: slow answers must not
// lower the offered load, and must count from when the request was due.
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

// Guards against a generator that runs out of memory behind a server that
// hangs.
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

// Guards against a recovery time that begins or ends at the wrong moment.
func TestRecovery(t *testing.T) {
	cases := map[string]struct {
		down      time.Duration // from the start of the cause, which lasts 2 s
		recovered bool
		millis    int64
	}{
		"at once":      {2 * time.Second, true, 0},
		"after 1500ms": {3500 * time.Millisecond, true, 1450}, // 95% of a window of 1 s is good 50 ms earlier
		"never":        {time.Hour, false, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cause time.Time
				send := func(context.Context, int) experiment.Reply {
					if !cause.IsZero() && time.Since(cause) < tc.down {
						return experiment.Reply{Outcome: call.NotRun, Retries: 2}
					}
					return experiment.Reply{Outcome: call.Answered}
				}
				summary := experiment.Run(t.Context(), experiment.Plan{
					Classes: []experiment.Class{{Name: "lookup", Weight: 1, Send: send}},
					Phases: []experiment.Phase{
						{Name: "before", Duration: 2 * time.Second, Rate: 100},
						{Name: "surge", Duration: 2 * time.Second, Rate: 100, Begin: func() { synctest.Wait(); cause = time.Now() }},
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
