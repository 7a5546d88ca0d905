package backoff_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/backoff"
)

const usable = 1100 * time.Millisecond

var (
	start  = time.Unix(1e9, 0)
	target = backoff.Target{Route: "r", Priority: 1}
)

// uniform plans returns as nodes did before: from 0.4 to 1 s, whatever the load.
func uniform(random *rand.Rand) time.Duration {
	return 400*time.Millisecond + time.Duration(random.Int64N(int64(600*time.Millisecond)))
}

// peak returns the largest number of returns in any window.
func peak(returns []time.Time, window time.Duration) (most int) {
	slices.SortFunc(returns, time.Time.Compare)
	first := 0
	for n, at := range returns {
		for at.Sub(returns[first]) >= window {
			first++
		}
		most = max(most, n+1-first)
	}
	return most
}

// Guards against a wave: callers that are refused together and return together.
func TestCrowdReturnsAsSteadyStream(t *testing.T) {
	const (
		crowd  = 1000
		span   = 100 * time.Millisecond
		window = 50 * time.Millisecond
	)
	for name, share := range map[string]float64{"half admitted": 0.5, "few admitted": 0.1} {
		for _, rate := range []int{0, 20, 1000} {
			t.Run(fmt.Sprintf("%s, %d a second before", name, rate), func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 2))
				planner := backoff.New(random.Float64)
				now := start
				for n := range 2 * rate {
					now = now.Add(time.Second / time.Duration(rate))
					planner.Record(now, target, share, float64(n%10) < 10*share)
				}
				var returns, before []time.Time
				refused := now
				for range crowd {
					now = now.Add(span / crowd)
					planner.Record(now, target, share, false)
					after := planner.Plan(now, target, usable)
					must.Between(t, 100*time.Millisecond, after, backoff.MaxDelay)
					returns = append(returns, now.Add(after))
					before = append(before, now.Add(uniform(random)))
				}
				most := peak(returns, window)
				mean := float64(crowd) * window.Seconds() / returns[crowd-1].Sub(returns[0]).Seconds()
				t.Logf("returns from %v to %v, at most %d in %v, %.0f on average; from 0.4 to 1 s at random %d",
					returns[0].Sub(refused).Round(time.Millisecond), returns[crowd-1].Sub(refused).Round(time.Millisecond), most, window, mean, peak(before, window))
				must.LessEq(t, 1.4*mean, float64(most))
				must.LessEq(t, peak(before, window), most)
			})
		}
	}
}

// Guards against waves that build up while callers are refused for long.
func TestReturnsStaySteady(t *testing.T) {
	const (
		rate    = 200
		share   = 0.3
		seconds = 20
	)
	random := rand.New(rand.NewPCG(1, 2))
	planner := backoff.New(random.Float64)
	var returns []time.Time
	now := start
	for range rate * seconds {
		now = now.Add(time.Second / rate)
		admitted := random.Float64() < share
		planner.Record(now, target, share, admitted)
		if !admitted {
			returns = append(returns, now.Add(planner.Plan(now, target, usable)))
		}
	}
	most := peak(returns, 100*time.Millisecond)
	t.Logf("at most %d return in 100 ms, %.1f on average", most, rate*(1-share)/10)
	must.LessEq(t, 1.6*rate*(1-share)/10, float64(most))
}

// Guards against times that have nothing to do with the load.
func TestTimesFollowTheLoad(t *testing.T) {
	// plan returns the mean time to return of some refused callers, if the share changes by
	// growth per second until it is share.
	plan := func(share, growth float64, refused int) (mean time.Duration) {
		planner, now := backoff.New(rand.New(rand.NewPCG(1, 2)).Float64), start
		const steps = 300
		for n := range steps {
			now = now.Add(5 * time.Millisecond)
			planner.Record(now, target, share-growth*float64(steps-n)*0.005, n%2 == 0)
		}
		for range refused {
			mean += planner.Plan(now, target, usable) / time.Duration(refused)
		}
		return mean
	}
	steady, ending, rising, many := plan(0.8, 0, 5), plan(0.8, 0.5, 5), plan(0.8, -0.1, 5), plan(0.8, 0, 500)
	t.Logf("steady %v, end in sight %v, growing %v, many refused %v", steady, ending, rising, many)
	must.Between(t, 400*time.Millisecond, steady, 700*time.Millisecond)
	must.Between(t, 400*time.Millisecond, ending, 700*time.Millisecond)
	must.Less(t, 350*time.Millisecond, plan(0.95, 0.5, 5))
	must.Between(t, 400*time.Millisecond, rising, 700*time.Millisecond)
	must.Greater(t, steady+50*time.Millisecond, many)
}

// Guards against a time at which the caller has given up already.
func TestTimeIsOfUse(t *testing.T) {
	for name, c := range map[string]struct{ usable, earliest, latest time.Duration }{
		"long":    {10 * time.Second, 400 * time.Millisecond, backoff.MaxDelay},
		"short":   {500 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond},
		"shorter": {150 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond},
		"none":    {0, 100 * time.Millisecond, 100 * time.Millisecond},
		"past":    {-time.Second, 100 * time.Millisecond, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			planner, now := backoff.New(rand.New(rand.NewPCG(1, 2)).Float64), start
			for range 500 {
				now = now.Add(time.Millisecond)
				planner.Record(now, target, 0.2, false)
				must.Between(t, c.earliest, planner.Plan(now, target, c.usable), c.latest)
			}
		})
	}
}

// Guards against memory that grows with the routes that were ever overloaded, and against
// returns that are counted after their time.
func TestStateIsDropped(t *testing.T) {
	planner, now := backoff.New(rand.New(rand.NewPCG(1, 2)).Float64), start
	for n := range 100 {
		other := backoff.Target{Route: fmt.Sprint(n)}
		planner.Record(now, other, 0.5, false)
		planner.Plan(now, other, usable)
	}
	must.Eq(t, 100, planner.Pending(now))
	now = now.Add(2 * time.Second)
	must.Eq(t, 0, planner.Pending(now))
	for n := range 100 {
		planner.Record(now, backoff.Target{Route: fmt.Sprint(n)}, 1, true)
	}
	must.Eq(t, 0, planner.Targets())
	for n := range 10_000 {
		planner.Record(now, backoff.Target{Route: fmt.Sprint(n)}, 0.5, false)
	}
	must.LessEq(t, 4096, planner.Targets())
}

// Guards against a crash by a request that was decided on before the first one, but recorded
// later, because its goroutine was not run in between.
func TestTimeBeforeTheFirstRequest(t *testing.T) {
	planner := backoff.New(rand.New(rand.NewPCG(1, 2)).Float64)
	planner.Record(start, target, 0.5, false)
	other, earlier := backoff.Target{Route: "other"}, start.Add(-time.Second)
	planner.Record(earlier, other, 0.5, false)
	for _, now := range []time.Time{earlier, start, start.Add(time.Second)} {
		must.Between(t, 100*time.Millisecond, planner.Plan(now, other, usable), backoff.MaxDelay)
	}
	must.Eq(t, 0, planner.Pending(start.Add(3*time.Second)))
}

// BenchmarkPlan measures a refusal while many returns are planned.
func BenchmarkPlan(b *testing.B) {
	planner, now := backoff.New(rand.New(rand.NewPCG(1, 2)).Float64), start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		planner.Record(now, target, 0.5, false)
		planner.Plan(now, target, usable)
	}
}
