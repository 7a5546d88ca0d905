package fairshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/fairshare"
	"github.com/lacewingslip/lacewingslip/pressure"
	"github.com/lacewingslip/lacewingslip/slot"
)

var start = time.Unix(1e9, 0)

// decision decides on a request.
type decision func(now time.Time, route string, share float64, r fairshare.Request) (admitted bool)

// load is the requests that one node gets in virtual time.
type load struct {
	random *rand.Rand
	now    time.Time
	routes int
	// rank is the rank of all requests, and ranks the number of ranks.
	rank, ranks int
	level       float64
	workspaces  []*workspace
	// decide is the decision under test.
	decide decision

	// granted is the sum of the shares, and admitted that of the admitted requests.
	granted  float64
	admitted int
	// deviations has granted less admitted after each request.
	deviations []float64
}

// workspace sends requests at random times.
type workspace struct {
	name   string
	rate   float64
	weight float64
	// repeats is how often it repeats a refused request, at once.
	repeats int
	// offered and granted count its requests, without repetitions, and those admitted.
	offered, granted int
}

// newLoad returns the load of a deployment with 76 workspaces of which five are large. The
// total is the rate of all of them together.
func newLoad(seed uint64, total float64) *load {
	l := &load{random: rand.New(rand.NewPCG(seed, 1)), now: start, routes: 6, ranks: 1}
	const large, largeRate, smallRate = 5, 10, 1
	unit := total / (large*largeRate + 71*smallRate)
	for n := range 76 {
		w := &workspace{name: fmt.Sprintf("w%d", n), rate: unit * smallRate}
		if n < large {
			w.rate = unit * largeRate
		}
		l.workspaces = append(l.workspaces, w)
	}
	return l
}

func (l *load) share() float64 { return pressure.Share(l.level, l.rank, l.ranks) }

// run sends requests for a duration.
func (l *load) run(d time.Duration) {
	end := l.now.Add(d)
	total := 0.0
	for _, w := range l.workspaces {
		total += w.rate
	}
	for {
		l.now = l.now.Add(time.Duration(l.random.ExpFloat64() / total * float64(time.Second)))
		if l.now.After(end) {
			break
		}
		w := l.next(total)
		route := fmt.Sprintf("route%d", l.random.IntN(l.routes))
		w.offered++
		for range 1 + w.repeats {
			l.granted += l.share()
			admitted := l.decide(l.now, route, l.share(), fairshare.Request{Workspace: w.name, Weight: w.weight})
			if admitted {
				w.granted++
				l.admitted++
			}
			l.deviations = append(l.deviations, l.granted-float64(l.admitted))
			if admitted {
				break
			}
		}
	}
	l.now = end
}

// next returns the workspace that sends the next request, in proportion to the rates.
func (l *load) next(total float64) *workspace {
	rest := l.random.Float64() * total
	for _, w := range l.workspaces {
		if rest -= w.rate; rest < 0 {
			return w
		}
	}
	return l.workspaces[0]
}

// reset begins the counts anew.
func (l *load) reset() {
	l.granted, l.admitted, l.deviations = 0, 0, nil
	for _, w := range l.workspaces {
		w.offered, w.granted = 0, 0
	}
}

// maxDeviation returns the largest deviation of the admitted requests from the share.
func (l *load) maxDeviation() (deviation float64) {
	for _, d := range l.deviations {
		deviation = max(deviation, math.Abs(d))
	}
	return deviation
}

// admittedOf returns the admitted part of the requests of workspaces.
func admittedOf(workspaces ...*workspace) float64 {
	offered, granted := 0, 0
	for _, w := range workspaces {
		offered += w.offered
		granted += w.granted
	}
	return float64(granted) / float64(offered)
}

// maxMin returns the part of the requests of each workspace that max-min fairness admits, by
// the rates at which they send on average.
func (l *load) maxMin() (parts []float64) {
	total := 0.0
	for _, w := range l.workspaces {
		total += w.rate
	}
	target := l.share() * total
	low, high := 0.0, total/0.01
	for range 100 {
		middle := (low + high) / 2
		sum := 0.0
		for _, w := range l.workspaces {
			sum += min(w.rate, middle*w.weightOrMean())
		}
		if sum < target {
			low = middle
		} else {
			high = middle
		}
	}
	for _, w := range l.workspaces {
		parts = append(parts, min(1, high*w.weightOrMean()/w.rate))
	}
	return parts
}

func (w *workspace) weightOrMean() float64 {
	if w.weight > 0 {
		return w.weight
	}
	return 1
}

// divider returns the decision of this package.
func divider(seed uint64) decision {
	d := fairshare.New(rand.New(rand.NewPCG(seed, 2)).Float64)
	return func(now time.Time, route string, share float64, r fairshare.Request) bool {
		return d.Admit(now, route, share, r).Verdict.Admitted()
	}
}

// credit returns the decision by a credit per route and rank, as for requests without a
// workspace (pressure.Shedder).
func credit() decision {
	credits := make(map[string]float64)
	return func(_ time.Time, route string, share float64, _ fairshare.Request) (admitted bool) {
		c, ok := credits[route]
		if !ok {
			c = 0.5
		}
		c += share
		if admitted = c >= 1; admitted {
			c--
		}
		credits[route] = c
		return admitted
	}
}

// warmUp is how long a load lasts before the overload.
const warmUp = 10 * time.Second

// outcome is the part of the requests of one workspace that presses and of the others that is
// admitted, with those that max-min fairness admits.
type outcome struct {
	pressing, others          float64
	idealPressing, idealOther float64
	// within is the part admitted of the workspaces that ask for less than nine tenths of
	// their share.
	within float64
	// deviation is the largest deviation of the admitted requests from the share, and total
	// their number relative to it.
	deviation, total float64
	// granted is the number of requests that the share admits, and excess that of those
	// admitted beyond it, each in one run.
	granted, excess float64
}

// press replays one workspace that sends a multiple of its usual rate for 6 s beside 75 that
// keep to theirs. The results are sums over several seeds, since a node with few
// requests decides by chance.
func press(decide func(seed uint64) decision, seeds int, total, factor, level float64, ranks int, weighted bool) (o outcome) {
	var pressing, others, within workspace
	granted, admitted := 0.0, 0
	for seed := range uint64(seeds) {
		l := newLoad(seed, total)
		l.decide, l.rank, l.ranks = decide(seed), ranks-1, ranks
		if weighted {
			for _, w := range l.workspaces {
				w.weight = float64(len(l.workspaces)) * w.rate / total
			}
		}
		l.run(warmUp)
		l.workspaces[0].rate *= factor
		l.level = level
		l.reset()
		l.run(6 * time.Second)
		ideal := l.maxMin()
		o.idealPressing = ideal[0]
		expected, offered := 0.0, 0
		for n, w := range l.workspaces {
			sum := &others
			if n == 0 {
				sum = &pressing
			} else {
				expected += ideal[n] * float64(w.offered)
				offered += w.offered
			}
			sum.offered += w.offered
			sum.granted += w.granted
			if ideal[n] == 1 && n > 0 {
				within.offered += w.offered
				within.granted += w.granted
			}
		}
		o.idealOther += expected / float64(offered) / float64(seeds)
		o.deviation = max(o.deviation, l.maxDeviation())
		granted += l.granted
		admitted += l.admitted
	}
	o.pressing, o.others, o.total = admittedOf(&pressing), admittedOf(&others), float64(admitted)/granted
	o.granted, o.excess = granted/float64(seeds), (float64(admitted)-granted)/float64(seeds)
	o.within = 1
	if within.offered > 0 {
		o.within = admittedOf(&within)
	}
	return o
}

// Guards against a workspace that takes from others what they ask for within their share, and
// against a total that differs from the share, which would disturb the feedback of the level.
func TestPressingWorkspace(t *testing.T) {
	credits := func(uint64) decision { return credit() }
	for _, c := range []struct {
		total float64
		seeds int
		// tolerance is how much less than by max-min fairness may be admitted. A node with
		// few requests knows the rates of workspaces less well.
		tolerance float64
	}{{21, 20, 0.15}, {200, 4, 0.08}, {1000, 1, 0.08}} {
		for _, weighted := range []bool{false, true} {
			for _, level := range []float64{0.2, 0.5, 0.8, 1.5} {
				for _, factor := range []float64{4, 8} {
					name := fmt.Sprintf("%.0f a second, weighted %v, level %.1f, %.0f times", c.total, weighted, level, factor)
					t.Run(name, func(t *testing.T) {
						ranks := 1 + int(level)
						before := press(credits, c.seeds, c.total, factor, level, ranks, weighted)
						o := press(divider, c.seeds, c.total, factor, level, ranks, weighted)
						t.Logf("others %.2f (credit %.2f, max-min %.2f), within their share %.2f; pressing %.2f (credit %.2f, max-min %.2f); total %.3f (credit %.3f), deviation %.1f (credit %.1f)",
							o.others, before.others, o.idealOther, o.within, o.pressing, before.pressing, o.idealPressing, o.total, before.total, o.deviation, before.deviation)
						must.GreaterEq(t, o.idealOther-c.tolerance, o.others)
						must.Greater(t, before.others, o.others)
						must.Less(t, before.pressing, o.pressing)
						must.GreaterEq(t, 1-c.tolerance, o.within)
						must.InDelta(t, 0, o.excess, 2+0.005*o.granted)
						must.LessEq(t, 12+0.04*c.total, o.deviation)
					})
				}
			}
		}
	}
}

// Guards against a workspace that gains at the expense of others by repeating refused requests
// at once.
func TestRepeatsAtOnce(t *testing.T) {
	for _, level := range []float64{0.2, 0.5, 0.8} {
		others := make(map[int]float64)
		for _, repeats := range []int{0, 10} {
			l := newLoad(1, 200)
			l.decide = divider(1)
			l.run(20 * time.Second)
			l.level = level
			l.workspaces[0].repeats = repeats
			l.run(2 * time.Second)
			l.reset()
			l.run(30 * time.Second)
			others[repeats] = admittedOf(l.workspaces[1:]...)
		}
		t.Logf("level %.1f: of the others, %.3f are admitted without repeats and %.3f with them", level, others[0], others[10])
		must.GreaterEq(t, others[0]-0.02, others[10])
	}
}

// Guards against memory that grows with each workspace that was ever seen, newcomers that are
// refused or that take the part of others, and a total that depends on who sends the requests.
func TestWorkspacesComeAndGo(t *testing.T) {
	d := fairshare.New(rand.New(rand.NewPCG(1, 2)).Float64)
	l := newLoad(1, 200)
	l.decide = func(now time.Time, route string, share float64, r fairshare.Request) bool {
		return d.Admit(now, route, share, r).Verdict.Admitted()
	}
	l.run(20 * time.Second)
	l.level = 0.5
	l.reset()
	steady := l.workspaces[5:40]
	var pressing workspace
	for n := range 300 {
		for m := range 36 {
			w := &workspace{name: fmt.Sprintf("n%d-%d", n, m), rate: steady[0].rate}
			if m == 0 {
				w.rate *= 80
			}
			l.workspaces[40+m] = w
		}
		l.run(time.Second)
		pressing.offered += l.workspaces[40].offered
		pressing.granted += l.workspaces[40].granted
	}
	t.Logf("steady %.2f, pressing for a second %.2f, total %.3f", admittedOf(steady...), admittedOf(&pressing), float64(l.admitted)/l.granted)
	must.LessEq(t, 5000, d.Workspaces())
	must.GreaterEq(t, 0.7, admittedOf(steady...))
	must.Less(t, 0.5, admittedOf(&pressing))
	must.InDelta(t, 1, float64(l.admitted)/l.granted, 0.01)
}

// Guards against a level that oscillates, or settles elsewhere, because the admitted requests
// do not follow it as they do by a credit per rank. The level has an effect on the demand
// after 800 ms.
func TestLevelIsUndisturbed(t *testing.T) {
	run := func(decide decision) (mean, spread float64) {
		const (
			total     = 400
			slots     = 10
			meanRun   = 50 * time.Millisecond
			tick      = 100 * time.Millisecond
			delayed   = 8
			seconds   = 60
			lastTicks = 400
		)
		l := newLoad(1, total)
		l.decide = decide
		gauge := &pressure.Gauge{}
		var admitted []int
		var levels []float64
		for range seconds * time.Second / tick {
			before := l.admitted
			l.run(tick)
			admitted = append(admitted, l.admitted-before)
			arrivals := admitted[max(len(admitted)-delayed, 0)]
			for range arrivals {
				gauge.RecordArrival()
			}
			busy := int(float64(arrivals) / tick.Seconds() * meanRun.Seconds())
			l.level = gauge.Tick(l.now, slot.Load{Running: min(busy, slots), Limit: slots, MeanRun: meanRun})
			levels = append(levels, l.level)
		}
		levels = levels[len(levels)-lastTicks:]
		for _, level := range levels {
			mean += level / lastTicks
		}
		for _, level := range levels {
			spread += (level - mean) * (level - mean) / lastTicks
		}
		return mean, math.Sqrt(spread)
	}
	creditMean, creditSpread := run(credit())
	mean, spread := run(divider(1))
	t.Logf("level %.3f, standard deviation %.3f; by a credit per rank %.3f, %.3f", mean, spread, creditMean, creditSpread)
	must.InDelta(t, creditMean, mean, 0.02)
	must.LessEq(t, 1.3*creditSpread, spread)
}
