package routing_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/routing"
)

// Replays the load of a service all of whose servers refuse half of their calls for some
// seconds, although they have free slots. Guards against calls that leave their zone
// and region in search of a server that accepts them: none does, and the way costs
// traffic between zones.
func TestCallsStayNearWhenAllServersRefuse(t *testing.T) {
	table, now := routing.New("addis", "addis-a"), time.Now()
	table.Replace(now, "dispatch", []routing.Upstream{
		{Node: "near", Region: "addis", Zone: "addis-a", Slots: 100},
		{Node: "next", Region: "addis", Zone: "addis-b", Slots: 100},
		{Node: "far", Region: "dire", Zone: "dire-a", Slots: 100},
	})
	const calls = 3000
	chosen := make(map[string]int)
	var inFlight []string
	for n := range calls {
		now = now.Add(time.Millisecond)
		u, ok := table.Choose(now, routing.Query{Service: "dispatch"})
		must.True(t, ok)
		chosen[u.Node]++
		table.RecordSent(now, "dispatch", u.Node, 0)
		if n%2 == 0 {
			table.RecordResult(now, "dispatch", u.Node, 0, routing.Report{Result: routing.Refused})
			continue
		}
		// An accepted call takes 50 ms.
		if inFlight = append(inFlight, u.Node); len(inFlight) > 25 {
			table.RecordResult(now, "dispatch", inFlight[0], 0, routing.Report{Result: routing.Succeeded})
			inFlight = inFlight[1:]
		}
	}
	must.Less(t, calls/10, chosen["far"])
	must.Greater(t, calls/2, chosen["near"])
}
