package budget_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingslip/lacewingslip/budget"
)

const (
	window = 10 * time.Second
	tick   = 100 * time.Millisecond
	ticks  = int(window / tick)
)

var limit = budget.Limit{RetryRatio: 0.2, RepeatRatio: 0.2}

// period is a time of constant load.
type period struct {
	ticks           int
	requestsPerTick int
	// wantedPerTick is the number of retries that are attempted in each tick.
	wantedPerTick int
}

// play plays the periods and returns the requests and the granted retries of each tick.
func play(periods []period) (requests, retries []int) {
	w, now := budget.NewWindow(window), time.Now()
	for _, p := range periods {
		for range p.ticks {
			for range p.requestsPerTick {
				w.RecordRequest(now, 0)
			}
			granted := 0
			for range p.wantedPerTick {
				if w.Spend(now, limit) {
					granted++
				}
			}
			requests, retries = append(requests, p.requestsPerTick), append(retries, granted)
			now = now.Add(tick)
		}
	}
	return requests, retries
}

func sum(values []int, from, to int) (total int) {
	for n := max(from, 0); n < min(to, len(values)); n++ {
		total += values[n]
	}
	return total
}

// Guards against a budget that a later window no longer covers: traffic that ends after
// its retries were granted must not leave a window with too many of them.
func TestBudgetHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var periods []period
		for range rapid.IntRange(1, 8).Draw(t, "periods") {
			periods = append(periods, period{
				ticks:           rapid.IntRange(1, 2*ticks).Draw(t, "ticks"),
				requestsPerTick: rapid.SampledFrom([]int{0, 1, 10, 100}).Draw(t, "requests"),
				wantedPerTick:   rapid.SampledFrom([]int{0, 1, 30, 200}).Draw(t, "wanted"),
			})
		}
		periods = append(periods, period{ticks: 2 * ticks})
		requests, retries := play(periods)
		for end := range len(retries) {
			allowed := max(
				sum(requests, end-ticks, end),
				sum(requests, end-ticks-ticks/2, end-ticks/2),
				sum(requests, end-2*ticks, end-ticks),
			)
			spent := sum(retries, end-ticks, end)
			if float64(spent) > limit.RetryRatio*float64(allowed) {
				t.Fatalf("%d retries in the window that ends at tick %d, expected at most %v of %d requests", spent, end, limit.RetryRatio, allowed)
			}
		}
	})
}

// Replays the load of a service whose servers refuse half of what they receive for a
// few seconds after a time without any refusals. Guards against retries that are limited
// as if refusals were spread evenly over time: the budget of the window must be available
// at once.
func TestUnusedBudgetIsAvailableAtOnce(t *testing.T) {
	_, retries := play([]period{
		{ticks: 2 * ticks, requestsPerTick: 100},
		{ticks: ticks / 10, requestsPerTick: 100, wantedPerTick: 120},
	})
	must.GreaterEq(t, 1100, sum(retries, 2*ticks, len(retries)))
}

// The calls of repeated runs use up the budget too.
func TestRepeatedRunsCount(t *testing.T) {
	for name, c := range map[string]struct {
		repeatShare float64
		want        float64
	}{
		"no repeats":       {0, 200},
		"half of the rest": {0.1, 100},
		"all":              {0.2, 0},
		"more than all":    {0.5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w, now := budget.NewWindow(window), time.Now()
			for range 1000 {
				w.RecordRequest(now, c.repeatShare)
			}
			must.InDelta(t, c.want, w.Available(now, limit), 1e-6)
		})
	}
}

func BenchmarkSpend(b *testing.B) {
	w, now := budget.NewWindow(window), time.Now()
	for b.Loop() {
		w.RecordRequest(now, 0)
		w.Spend(now, limit)
		now = now.Add(time.Millisecond)
	}
}

// Guards against a rate that uses the budget up before the window moves on, and against one
// that leaves much of it unused. Spending at the rate, computed again in each tick, has to go
// on for the rest of the window, also if a part of the budget was spent before.
func TestSustainableRateLasts(t *testing.T) {
	const requestsPerTick = 100
	for name, c := range map[string]struct {
		spentBefore int
		// continuing is the share of the requests that continue.
		continuing float64
	}{
		"nothing spent":           {continuing: 1},
		"half spent":              {spentBefore: 1000, continuing: 1},
		"most requests end":       {continuing: 0.1},
		"half spent and most end": {spentBefore: 1000, continuing: 0.1},
		"all spent and all end":   {spentBefore: 2000},
	} {
		t.Run(name, func(t *testing.T) {
			w, now := budget.NewWindow(window), time.Now()
			for range 2 * ticks {
				for range requestsPerTick {
					w.RecordRequest(now, 0)
				}
				now = now.Add(tick)
			}
			left := limit.RetryRatio * requestsPerTick * float64(ticks)
			for range c.spentBefore {
				if w.Spend(now, limit) {
					left--
				}
			}
			var wanted float64
			var spent [4]float64
			for n := range ticks {
				for range int(c.continuing * requestsPerTick) {
					w.RecordRequest(now, 0)
				}
				expected := budget.Rates{Requests: c.continuing * requestsPerTick / tick.Seconds()}
				wanted += w.SustainableRate(now, limit, expected, time.Duration(ticks-n)*tick) * tick.Seconds()
				for ; wanted >= 1; wanted-- {
					if w.Spend(now, limit) {
						spent[4*n/ticks]++
					}
				}
				now = now.Add(tick)
			}
			must.Between(t, 0.8*left-100, spent[0]+spent[1]+spent[2]+spent[3], left)
			must.GreaterEq(t, 0.15*left-25, slices.Min(spent[:]))
		})
	}
}
