package calltree_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/calltree"
)

// simulate runs two routes at one backend server: parents make four calls each,
// of which one in ten has its parent's deadline, and loners make none.
func simulate(seed uint64, d time.Duration) *calltree.Links {
	random := rand.New(rand.NewPCG(seed, 1))
	links := calltree.NewLinks()
	now := time.Now()
	type open struct {
		run      *calltree.Run
		until    time.Time
		deadline time.Time
		parent   bool
	}
	var running []open
	for end := now.Add(d); now.Before(end); now = now.Add(5 * time.Millisecond) {
		begin := func(route string, parent bool, d time.Duration) {
			deadline := now.Add(time.Second + time.Duration(random.Int64N(int64(500*time.Millisecond))))
			running = append(running, open{links.Start(route, deadline), now.Add(d), deadline, parent})
		}
		if random.Float64() < 0.25 {
			begin("parent", true, 240*time.Millisecond)
		}
		if random.Float64() < 0.1 {
			begin("loner", false, 150*time.Millisecond)
		}
		kept := running[:0]
		for _, o := range running {
			if now.After(o.until) {
				links.End(o.run)
				continue
			}
			if o.parent && random.Float64() < 4.0/48 {
				deadline := now.Add(700 * time.Millisecond)
				if random.Float64() < 0.1 {
					deadline = o.deadline.Add(time.Duration(random.Int64N(int64(time.Millisecond))))
				}
				links.Child("child", deadline)
			}
			kept = append(kept, o)
		}
		running = kept
		links.Tick(now)
	}
	return links
}

// A route that makes no calls must not be refused for a service that it does
// not need, though it runs beside one that does.
func TestLinks(t *testing.T) {
	for seed := range uint64(20) {
		links := simulate(seed, 10*time.Second)
		must.Eq(t, []string{"child"}, links.Children("parent"))
		must.SliceEmpty(t, links.Children("loner"))
	}
}

func TestLinksFade(t *testing.T) {
	links := simulate(1, 10*time.Second)
	now := time.Now().Add(time.Minute)
	for range 2000 {
		now = now.Add(time.Second)
		links.Tick(now)
	}
	must.SliceEmpty(t, links.Children("parent"))
}

func TestCallers(t *testing.T) {
	callers := calltree.NewCallers()
	for n, service := range []string{"a", "b", "c", "d", "a", "b", "c", "d"} {
		callers.Called("customers", service)
		callers.Called("inner", []string{"a", "b"}[n%2])
	}
	callers.Called("rare", "a")
	must.Eq(t, calltree.Unknown, callers.Origin("customers"))
	callers.Tick(time.Now(), 4)
	must.Eq(t, calltree.Customers, callers.Origin("customers"))
	// Calls of backend servers must never be refused for pressure.
	must.Eq(t, calltree.Servers, callers.Origin("inner"))
	must.Eq(t, calltree.Unknown, callers.Origin("rare"))
}

func TestOneServiceTellsNothing(t *testing.T) {
	callers := calltree.NewCallers()
	for range 50 {
		callers.Called("r", "only")
	}
	callers.Tick(time.Now(), 1)
	must.NotEq(t, calltree.Customers, callers.Origin("r"))
}
