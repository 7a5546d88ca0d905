package fairshare_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/fairshare"
)

// crowd is a workspace that sends a request each 50 ms, half of which are admitted.
type crowd struct {
	divider *fairshare.Divider
	now     time.Time
	sent    uint64
}

func newCrowd(seed uint64) *crowd {
	c := &crowd{divider: fairshare.New(rand.New(rand.NewPCG(seed, 2)).Float64), now: start}
	c.run(start.Add(10 * time.Second))
	return c
}

func (c *crowd) run(end time.Time) {
	for c.now = c.now.Add(50 * time.Millisecond); c.now.Before(end); c.now = c.now.Add(50 * time.Millisecond) {
		c.sent++
		c.divider.Admit(c.now, "r", 0.5, fairshare.Request{Workspace: "w", Fingerprint: c.sent})
	}
	c.now = end
}

// Guards against callers that have waited and are refused like new ones, and against clients
// that go first although they have not waited as they were told.
func TestWhoGoesFirst(t *testing.T) {
	const (
		wait     = 600 * time.Millisecond
		returner = 1_000_000
	)
	type arrival struct {
		at          time.Duration
		workspace   string
		fingerprint uint64
	}
	for name, c := range map[string]struct {
		arrivals []arrival
		// first is whether the last arrival goes before new ones.
		first bool
	}{
		"on time":                    {[]arrival{{wait, "w", returner}}, true},
		"a little late":              {[]arrival{{wait + 300*time.Millisecond, "w", returner}}, true},
		"too early":                  {[]arrival{{wait - 100*time.Millisecond, "w", returner}}, false},
		"much too late":              {[]arrival{{wait + 2*time.Second, "w", returner}}, false},
		"another beside it":          {[]arrival{{wait / 2, "w", returner}, {wait, "w", returner}}, true},
		"repeated before":            {[]arrival{{wait / 4, "w", returner}, {wait / 2, "w", returner}, {wait, "w", returner}}, false},
		"twice on time":              {[]arrival{{wait, "w", returner}, {wait, "w", returner}}, false},
		"never refused":              {[]arrival{{wait, "w", returner + 1}}, false},
		"refused, another workspace": {[]arrival{{wait, "v", returner}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			first := 0
			for seed := range uint64(50) {
				crowd := newCrowd(seed)
				refusedAt := crowd.now
				crowd.divider.ExpectReturn(refusedAt, fairshare.Request{Workspace: "w", Fingerprint: returner}, wait)
				var verdict fairshare.Verdict
				for _, a := range c.arrivals {
					crowd.run(refusedAt.Add(a.at))
					verdict = crowd.divider.Admit(crowd.now, "r", 0.5, fairshare.Request{Workspace: a.workspace, Fingerprint: a.fingerprint}).Verdict
				}
				if verdict == fairshare.Returned {
					first++
				}
			}
			if c.first {
				must.Eq(t, 50, first)
			} else {
				must.Zero(t, first)
			}
		})
	}
}

// Replays callers of two workspaces that return once at the time that they were told. Guards
// against callers that wait in vain, and against a workspace whose callers return and take the
// part of another whose callers do not.
func TestReturns(t *testing.T) {
	const (
		share    = 0.5
		wait     = 700 * time.Millisecond
		interval = 20 * time.Millisecond
		duration = 60 * time.Second
	)
	d, now := fairshare.New(rand.New(rand.NewPCG(1, 2)).Float64), start
	type request struct {
		at time.Time
		r  fairshare.Request
	}
	var returns []request
	offered, admitted := make(map[string]int), make(map[string]int)
	decide := func(kind string, r fairshare.Request) (ok bool) {
		offered[kind]++
		ok = d.Admit(now, "r", share, r).Verdict.Admitted()
		if ok {
			admitted[kind]++
		}
		return ok
	}
	for n := uint64(0); now.Before(start.Add(duration)); n++ {
		now = now.Add(interval)
		for len(returns) > 0 && !returns[0].at.After(now) {
			decide("return", returns[0].r)
			returns = returns[1:]
		}
		waiting := fairshare.Request{Workspace: "waits", Fingerprint: n}
		if !decide("new", waiting) {
			d.ExpectReturn(now, waiting, wait)
			returns = append(returns, request{now.Add(wait), waiting})
		}
		decide("other", fairshare.Request{Workspace: "leaves", Fingerprint: n})
	}
	part := func(kind string) float64 { return float64(admitted[kind]) / float64(offered[kind]) }
	t.Logf("admitted of new requests %.2f, of those that return %.2f, of the other workspace %.2f", part("new"), part("return"), part("other"))
	must.Greater(t, 2*part("new"), part("return"))
	must.Greater(t, 0.05, part("new"))
	must.GreaterEq(t, 0.7, part("other"))
	total := float64(admitted["new"]+admitted["return"]+admitted["other"]) / float64(offered["new"]+offered["return"]+offered["other"])
	must.InDelta(t, share, total, 0.01)
}

// Guards against a workspace that gets more than its share on one route by returning, because
// its requests on another route, of which all are admitted, clear what it has used in advance.
func TestDebtOutlastsOtherRoutes(t *testing.T) {
	d, now := fairshare.New(rand.New(rand.NewPCG(1, 2)).Float64), start
	const rounds = 5000
	admitted := make(map[string]int)
	for n := range uint64(rounds) {
		now = now.Add(10 * time.Millisecond)
		for _, workspace := range []string{"returns", "leaves"} {
			r := fairshare.Request{Workspace: workspace, Fingerprint: n}
			if workspace == "returns" {
				d.Admit(now, "other", 1, fairshare.Request{Workspace: workspace, Fingerprint: rounds + n})
				d.ExpectReturn(now, r, 0)
			}
			if d.Admit(now, "r", 0.5, r).Verdict.Admitted() {
				admitted[workspace]++
			}
		}
	}
	t.Logf("of %d requests each, %d of the workspace that returns are admitted and %d of the other", rounds, admitted["returns"], admitted["leaves"])
	must.GreaterEq(t, admitted["returns"], admitted["leaves"])
	must.InDelta(t, rounds, float64(admitted["returns"]+admitted["leaves"]), 0.01*rounds)
}

// Guards against a node that refuses its only caller for good.
func TestOnlyCaller(t *testing.T) {
	for _, share := range []float64{0.1, 0.5} {
		for _, interval := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("share %.1f, every %v", share, interval), func(t *testing.T) {
				d, now := fairshare.New(rand.New(rand.NewPCG(1, 2)).Float64), start
				refused, admitted, most := 0, 0, 0
				for range 500 {
					now = now.Add(interval)
					if d.Admit(now, "r", share, fairshare.Request{Workspace: "w"}).Verdict.Admitted() {
						admitted++
						refused = 0
						continue
					}
					refused++
					most = max(most, refused)
				}
				t.Logf("%d of 500 admitted, at most %d refused in a row", admitted, most)
				must.InDelta(t, share*500, float64(admitted), 5)
				must.LessEq(t, int(4/share), most)
			})
		}
	}
}

// Guards against a workspace with a cap far below the mean that is shut out.
func TestSmallestWeightKeepsAShare(t *testing.T) {
	l := newLoad(1, 200)
	l.decide = divider(1)
	small := l.workspaces[75]
	small.weight, small.rate = 1e-6, 1
	l.run(20 * time.Second)
	l.level = 0.8
	l.reset()
	l.run(300 * time.Second)
	t.Logf("admitted %.3f", admittedOf(small))
	must.Greater(t, 0.01, admittedOf(small))
}

// Guards against requests of one rank that reduce what their workspace is admitted in another.
func TestRanksAreApart(t *testing.T) {
	d, now := fairshare.New(rand.New(rand.NewPCG(1, 2)).Float64), start
	for n := range 2000 {
		now = now.Add(5 * time.Millisecond)
		d.Admit(now, "r", 0.1, fairshare.Request{Workspace: "w", Priority: 2})
		d.Admit(now, "r", 0.1, fairshare.Request{Workspace: "w", Priority: 2})
		if n%100 != 0 {
			d.Admit(now, "r", 0.5, fairshare.Request{Workspace: "v", Priority: 1})
			continue
		}
		verdict := d.Admit(now, "r", 0.5, fairshare.Request{Workspace: "w", Priority: 1}).Verdict
		if n > 200 {
			must.Eq(t, fairshare.WithinShare, verdict)
		}
	}
}

// BenchmarkAdmit measures a decision while all workspaces are in memory.
func BenchmarkAdmit(b *testing.B) {
	for name, share := range map[string]float64{"all admitted": 1, "half admitted": 0.5} {
		b.Run(name, func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			d, now := fairshare.New(random.Float64), start
			var names [5000]string
			for n := range names {
				names[n] = fmt.Sprintf("w%d", n)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				d.Admit(now, "r", share, fairshare.Request{Workspace: names[random.IntN(len(names))]})
			}
		})
	}
}
