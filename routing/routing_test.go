package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/routing"
)

var start = time.Unix(1_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// upstreams returns n upstreams for each zone, which is a pair of region and
// availability zone.
func upstreams(n, slots int, zones ...[2]string) (all []routing.Upstream) {
	for _, zone := range zones {
		for i := range n {
			all = append(all, routing.Upstream{Node: fmt.Sprintf("%s%d", zone[1], i), Address: "a", Region: zone[0], Zone: zone[1], Slots: slots})
		}
	}
	return all
}

var zoneA, zoneB, remoteZone = [2]string{"r", "a"}, [2]string{"r", "b"}, [2]string{"q", "c"}

func newTable(all []routing.Upstream, opts ...routing.Option) *routing.Table {
	t := routing.New("r", "a", append(opts, routing.WithRandom(rand.New(rand.NewPCG(1, 2))))...)
	t.Replace(start, "s", all)
	return t
}

// sendCalls sends n calls that are not answered, and counts them by the first letter
// of the chosen node.
func sendCalls(t *routing.Table, n int) map[byte]int {
	counts := map[byte]int{}

	for range n {
		if u, ok := t.Choose(start, routing.Query{Service: "s"}); ok {
			counts[u.Node[0]]++
			t.RecordSent(start, "s", u.Node, 0)
		}
	}
	return counts
}

// Guards against retries at an upstream that was tried before, and against traffic
// that leaves a zone or region with spare capacity.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := upstreams(rapid.IntRange(1, 4).Draw(rt, "n"), 3, zoneA, zoneB, remoteZone)
		// TestRemoteShare tests the bound on traffic to other regions.
		table := newTable(all, routing.WithRemoteShare(1))
		inFlight, tried := map[string]int{}, []string(nil)
		for _, u := range all {
			inFlight[u.Node] = rapid.IntRange(0, 4).Draw(rt, "inFlight")
			for range inFlight[u.Node] {
				table.RecordSent(start, "s", u.Node, 0)
			}
			if rapid.Bool().Draw(rt, "tried") {
				tried = append(tried, u.Node)
			}
		}
		u, ok := table.Choose(start, routing.Query{Service: "s", Tried: tried})
		excluded := map[string]bool{}
		for _, node := range tried {
			excluded[node] = true
		}
		must.True(rt, !ok || !excluded[u.Node])
		// all is sorted by distance: an upstream in the first zone with spare capacity
		// must be chosen.
		for _, candidate := range all {
			if !excluded[candidate.Node] && inFlight[candidate.Node] < 3 && (candidate.Region == "r" || ok) {
				must.EqOp(rt, candidate.Zone, u.Zone)
				break
			}
		}
	})
}

// Guards against an unbounded share of traffic between regions.
func TestRemoteShare(t *testing.T) {
	counts := sendCalls(newTable(upstreams(2, 1, zoneA, zoneB, remoteZone)), 4)
	must.Eq(t, map[byte]int{'a': 2, 'b': 2}, counts)
	table := newTable(upstreams(2, 1000, zoneA, remoteZone), routing.WithRemoteShare(0.2))
	counts = sendCalls(table, 5_000)
	must.Between(t, 950, counts['c'], 1000, must.Sprint("a fifth of all calls"))
	must.EqOp(t, int64(counts['c'])<<10, table.RemoteBytes())
	must.EqOp(t, 9, sendCalls(newTable(upstreams(2, 1, remoteZone)), 9)['c'], must.Sprint("no upstream in the local region"))
}

// Guards against sending many calls to upstreams that refuse calls, fail, have no spare
// capacity or have large calls in flight.
func TestAvoid(t *testing.T) {
	share := func(r routing.Report, cost int64, afterMs int) (calls int) {
		table := newTable(upstreams(2, 1_000_000, zoneA))
		table.RecordSent(start, "s", "a0", cost)
		if cost == 0 {
			table.RecordResult(start, "s", "a0", 0, r)
		}
		for range 1000 {
			u, _ := table.Choose(at(afterMs), routing.Query{Service: "s"})
			table.RecordSent(at(afterMs), "s", u.Node, 0)
			if u.Node == "a0" {
				calls++
			}
		}
		return calls
	}
	for name, c := range map[string]struct {
		report           routing.Report
		cost             int64
		after, low, high int
	}{
		"none":        {routing.Report{}, 0, 0, 495, 505},
		"refused":     {routing.Report{Result: routing.Refused}, 0, 0, 325, 340},
		"failed":      {routing.Report{Result: routing.Failed}, 0, 0, 325, 340},
		"unreachable": {routing.Report{Result: routing.Unreachable}, 0, 0, 85, 95},
		"recovered":   {routing.Report{Result: routing.Unreachable}, 0, 1600, 495, 505},
		"full":        {routing.Report{HasLoad: true, Load: admission.Load{Running: 9, Limit: 9}}, 0, 0, 0, 0},
		"stale":       {routing.Report{HasLoad: true, Load: admission.Load{Running: 9, Limit: 9}}, 0, 1100, 495, 505},
		"large":       {routing.Report{}, 100 * 64 << 10, 0, 440, 455},
	} {
		must.Between(t, c.low, share(c.report, c.cost, c.after), c.high, must.Sprint(name))
	}
}

// Guards against lookups that get the capacity a refused booking needed.
func TestShed(t *testing.T) {
	table := newTable(nil)
	must.False(t, table.IsShedding(start, "s", call.Low))
	table.StartShedding(start, "s", call.Critical)
	table.StartShedding(at(1), "s", call.Normal)
	must.True(t, table.IsShedding(at(999), "s", call.High))
	must.False(t, table.IsShedding(at(999), "s", call.Critical))
	must.False(t, table.IsShedding(at(1000), "s", call.High))
	must.False(t, table.IsShedding(at(999), "other", call.Low))
}

// Guards against losing the number of calls in flight when membership changes.
func TestReplace(t *testing.T) {
	table := newTable(upstreams(2, 1, zoneA, zoneB))
	table.RecordSent(start, "s", "a0", 0)
	table.Replace(start, "s", upstreams(1, 1, zoneA, zoneB))
	must.Eq(t, map[byte]int{'b': 1}, sendCalls(table, 1))
	table.RecordResult(start, "s", "gone", 0, routing.Report{})
	table.RecordResult(start, "s", "a0", 0, routing.Report{})
	must.Eq(t, map[byte]int{'a': 1}, sendCalls(table, 1))
}

func BenchmarkChoose(b *testing.B) {
	for name, n := range map[string]int{"6 upstreams": 2, "30 upstreams": 10} {
		b.Run(name, func(b *testing.B) {
			table := newTable(upstreams(n, 50, zoneA, zoneB, remoteZone))
			report := routing.Report{HasLoad: true, Load: admission.Load{Running: 20, Limit: 50}}
			tried := []string{"a0"}
			b.ReportAllocs()
			for b.Loop() {
				u, _ := table.Choose(start, routing.Query{Service: "s", Tried: tried})
				table.RecordSent(start, "s", u.Node, 100)
				table.RecordResult(start, "s", u.Node, 100, report)
			}
		})
	}
}
