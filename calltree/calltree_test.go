package calltree_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/calltree"
)

// simulate runs requests to two routes at one backend server. Each request to the
// parent route makes four calls on average, of which one in ten has its parent's
// deadline. Requests to the leaf route make no calls.
func simulate(seed uint64, d time.Duration) *calltree.Links {
	random := rand.New(rand.NewPCG(seed, 1))
	links := calltree.NewLinks()
	now := time.Now()
	type runningRequest struct {
		run      *calltree.Run
		endsAt   time.Time
		deadline time.Time
		parent   bool
	}
	var running []runningRequest
	for end := now.Add(d); now.Before(end); now = now.Add(5 * time.Millisecond) {
		begin := func(route string, parent bool, d time.Duration) {
			deadline := now.Add(time.Second + time.Duration(random.Int64N(int64(500*time.Millisecond))))
			running = append(running, runningRequest{links.Start(route, deadline), now.Add(d), deadline, parent})
		}
		if random.Float64() < 0.25 {
			begin("parent", true, 240*time.Millisecond)
		}
		if random.Float64() < 0.1 {
			begin("leaf", false, 150*time.Millisecond)
		}
		kept := running[:0]
		for _, request := range running {
			if now.After(request.endsAt) {
				links.End(request.run)
				continue
			}
			if request.parent && random.Float64() < 4.0/48 {
				deadline := now.Add(700 * time.Millisecond)
				if random.Float64() < 0.1 {
					deadline = request.deadline.Add(time.Duration(random.Int64N(int64(time.Millisecond))))
				}
				links.RecordCall("child", deadline)
			}
			kept = append(kept, request)
		}
		running = kept
		links.Tick(now)
	}
	return links
}

// Guards against refusing requests to a route for the overload of a service that
// they do not need. The route makes no calls, but its requests run at the same time
// as requests that do.
func TestLinks(t *testing.T) {
	for seed := range uint64(20) {
		links := simulate(seed, 10*time.Second)
		must.Eq(t, []string{"child"}, links.Children("parent"))
		must.SliceEmpty(t, links.Children("leaf"))
	}
}

func TestLinksExpire(t *testing.T) {
	links := simulate(1, 10*time.Second)
	now := time.Now().Add(time.Minute)
	for range 2000 {
		now = now.Add(time.Second)
		links.Tick(now)
	}
	must.SliceEmpty(t, links.Children("parent"))
}

// Plays a route of which nearly all requests are refused after a while. Guards against calls that
// count as known to be none: before enough runs have shown those that match seldom, and because
// the counts decay while hardly any request runs. Such a node would state a level of 0.
func TestKnows(t *testing.T) {
	links, now, runs := calltree.NewLinks(), time.Now(), 0
	run := func(calls bool) {
		runs++
		now = now.Add(200 * time.Millisecond)
		deadline := now.Add(time.Duration(runs) * time.Hour)
		r := links.Start("parent", deadline)
		if calls && runs%10 == 0 {
			links.RecordCall("child", deadline)
		}
		links.End(r)
		links.Tick(now)
	}
	for range 200 {
		run(true)
		must.True(t, !links.Knows("parent") || len(links.Children("parent")) > 0, must.Sprintf("run %d", runs))
	}
	must.True(t, links.Knows("parent"))
	for range 600 {
		now = now.Add(200 * time.Millisecond)
		links.Tick(now)
		must.Eq(t, []string{"child"}, links.Children("parent"))
	}
	// Runs without calls end the link, and a route that does not run any more is forgotten.
	for range 600 {
		for range 4 {
			links.End(links.Start("parent", now))
		}
		run(false)
	}
	must.True(t, links.Knows("parent"))
	must.SliceEmpty(t, links.Children("parent"))
	for range 1500 {
		now = now.Add(200 * time.Millisecond)
		links.Tick(now)
	}
	must.False(t, links.Knows("parent"))
}

func TestCallers(t *testing.T) {
	callers := calltree.NewCallers()
	for n, service := range []string{"a", "b", "c", "d", "a", "b", "c", "d"} {
		callers.RecordCall("customers", service)
		callers.RecordCall("internal", []string{"a", "b"}[n%2])
	}
	callers.RecordCall("rare", "a")
	must.Eq(t, calltree.Unknown, callers.Origin("customers"))
	callers.Tick(time.Now(), 4)
	must.Eq(t, calltree.Customers, callers.Origin("customers"))
	// Calls from backend servers must never be refused because of overload.
	must.Eq(t, calltree.Servers, callers.Origin("internal"))
	must.Eq(t, calltree.Unknown, callers.Origin("rare"))
}

func TestSingleServiceIsNotClassifiedAsCustomers(t *testing.T) {
	callers := calltree.NewCallers()
	for range 50 {
		callers.RecordCall("r", "only")
	}
	callers.Tick(time.Now(), 1)
	must.NotEq(t, calltree.Customers, callers.Origin("r"))
}

// Guards against taking a customer's request for a call of a running one, and against
// refusing a call whose own time limit is shorter or that was read late.
func TestMayBeCall(t *testing.T) {
	deadline := time.Now().Add(time.Second)
	for name, c := range map[string]struct {
		difference time.Duration
		ended, may bool
	}{
		"same deadline":   {0, false, true},
		"earlier":         {-500 * time.Millisecond, false, true},
		"read late":       {50 * time.Millisecond, false, true},
		"later":           {200 * time.Millisecond, false, false},
		"nothing running": {0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			links := calltree.NewLinks()
			run := links.Start("parent", deadline)
			if c.ended {
				links.End(run)
			}
			must.EqOp(t, c.may, links.MayBeCall(deadline.Add(c.difference)))
		})
	}
}
