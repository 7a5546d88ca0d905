package clientlimit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingslip/lacewingslip/clientlimit"
)

const (
	connectionLimit   = 10
	connectionReserve = 3
	arrivalTimeout    = 5 * time.Second
)

// connections is a budget of connections with a clock.
type connections struct {
	*clientlimit.ConnectionBudget
	now time.Time
}

func newConnections() *connections {
	reserves := map[clientlimit.Port]int{"caller": connectionReserve, "peer": connectionReserve}
	return &connections{clientlimit.NewConnectionBudget(connectionLimit, reserves, arrivalTimeout), time.Unix(0, 0)}
}

// open opens a connection and closes the victims at once. It returns their owners.
func (c *connections) open(port clientlimit.Port, owner string, phase clientlimit.Phase) (conn *clientlimit.Connection, victims []any, ok bool) {
	c.now = c.now.Add(time.Millisecond)
	conn = c.Open(port, owner)
	for {
		admission := conn.Admit(c.now)
		switch {
		case admission.Verdict == clientlimit.Admitted:
			conn.Set(c.now, phase)
			return conn, victims, true
		case admission.Verdict == clientlimit.Refused, admission.Victim == nil:
			conn.Close()
			return nil, victims, false
		}
		victims = append(victims, admission.Victim.Owner())
		admission.Victim.Close()
	}
}

// Guards against closing a connection that is in use or has proved to be that of an ordinary
// client while there are others, and against accepting beyond the limit.
func TestOrderOfVictims(t *testing.T) {
	budget := newConnections()
	for _, c := range []struct {
		owner string
		phase clientlimit.Phase
	}{
		{"running", clientlimit.Running},
		{"idle", clientlimit.Idle},
		{"idle later", clientlimit.Idle},
		{"slow", clientlimit.Arriving},
		{"silent", clientlimit.Waiting},
		{"silent later", clientlimit.Waiting},
		{"running later", clientlimit.Running},
	} {
		_, victims, ok := budget.open("caller", c.owner, c.phase)
		must.True(t, ok)
		must.SliceEmpty(t, victims)
	}
	budget.now = budget.now.Add(arrivalTimeout)
	for _, victim := range []string{"silent", "silent later", "slow", "idle", "idle later"} {
		_, victims, ok := budget.open("caller", "new", clientlimit.Arriving)
		must.True(t, ok)
		must.Eq(t, []any{victim}, victims)
	}
	_, victims, ok := budget.open("caller", "new", clientlimit.Waiting)
	must.False(t, ok, must.Sprint("a connection was accepted beside requests that run or arrive"))
	must.SliceEmpty(t, victims)
	must.Eq(t, connectionLimit-connectionReserve, budget.Used())
}

// Guards against a crowd at one port that takes the descriptors of the clients of another, be
// it that the crowd sends nothing or that its requests run.
func TestReserveOfConnectionsIsKept(t *testing.T) {
	for name, phase := range map[string]clientlimit.Phase{"silent": clientlimit.Waiting, "running": clientlimit.Running} {
		t.Run(name, func(t *testing.T) {
			budget := newConnections()
			for range 3 * connectionLimit {
				budget.open("operator", "crowd", phase)
			}
			for _, port := range []clientlimit.Port{"caller", "peer"} {
				for range connectionReserve {
					_, victims, ok := budget.open(port, "ordinary", clientlimit.Idle)
					must.True(t, ok)
					must.SliceEmpty(t, victims)
				}
			}
			_, victims, _ := budget.open("operator", "crowd", phase)
			must.SliceNotContains(t, victims, any("ordinary"))
			must.LessEq(t, connectionLimit, budget.Used())
		})
	}
}

// Guards against taking the reserve of a port in favour of several connections to other ports,
// because those of the port that are about to end are still open.
func TestReserveIsKeptWhileConnectionsEnd(t *testing.T) {
	budget := newConnections()
	for range connectionReserve + 1 {
		_, _, ok := budget.open("peer", "idle", clientlimit.Idle)
		must.True(t, ok)
	}
	for range connectionLimit - connectionReserve - 1 {
		_, _, ok := budget.open("caller", "running", clientlimit.Running)
		must.True(t, ok)
	}
	first := budget.Open("operator", "new").Admit(budget.now)
	must.NotNil(t, first.Victim)
	second := budget.Open("caller", "new").Admit(budget.now)
	must.Nil(t, second.Victim, must.Sprint("a connection within the reserve of its port would end"))
}

// Guards against accepting a connection before the one that ends in its favour has been closed,
// and against losing the wait if that one stays because its next request has arrived.
func TestVictimThatStays(t *testing.T) {
	budget := newConnections()
	var idle []*clientlimit.Connection
	for range connectionLimit - connectionReserve {
		c, _, ok := budget.open("caller", "idle", clientlimit.Idle)
		must.True(t, ok)
		idle = append(idle, c)
	}
	accepted := budget.Open("caller", "new")
	first := accepted.Admit(budget.now)
	must.Eq(t, clientlimit.Pending, first.Verdict)
	must.EqOp(t, idle[0], first.Victim)
	again := accepted.Admit(budget.now)
	must.Eq(t, clientlimit.Pending, again.Verdict)
	must.Nil(t, again.Victim, must.Sprint("two connections would end in favour of one"))
	idle[0].Set(budget.now, clientlimit.Arriving)
	<-first.Changed
	second := accepted.Admit(budget.now)
	must.EqOp(t, idle[1], second.Victim)
	idle[1].Close()
	<-second.Changed
	must.Eq(t, clientlimit.Admitted, accepted.Admit(budget.now).Verdict)
}

// Guards against refusing two new connections although there is room for one of them, because
// each counts the other.
func TestOneOfTwoNewConnectionsIsAdmitted(t *testing.T) {
	budget := newConnections()
	for range connectionLimit - connectionReserve - 1 {
		_, _, ok := budget.open("caller", "running", clientlimit.Running)
		must.True(t, ok)
	}
	first, second := budget.Open("caller", "new"), budget.Open("operator", "new")
	must.Eq(t, clientlimit.Refused, first.Admit(budget.now).Verdict)
	must.Eq(t, clientlimit.Admitted, second.Admit(budget.now).Verdict)
	first.Close()
	must.Eq(t, connectionLimit-connectionReserve, budget.Used())
}

// Guards against a budget that shrinks, grows or ends a running request after an order of
// steps that was not thought of.
func TestConnectionsAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := newConnections()
		ports := []clientlimit.Port{"caller", "peer", "operator"}
		phases := make(map[*clientlimit.Connection]clientlimit.Phase)
		var order []*clientlimit.Connection
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			budget.now = budget.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			phase := clientlimit.Phase(rapid.IntRange(0, int(clientlimit.Running)).Draw(t, "phase"))
			if len(order) > 0 && rapid.Bool().Draw(t, "existing") {
				c := order[rapid.IntRange(0, len(order)-1).Draw(t, "connection")]
				if _, open := phases[c]; open && rapid.Bool().Draw(t, "set") {
					c.Set(budget.now, phase)
					phases[c] = phase
				} else {
					c.Close()
					delete(phases, c)
				}
				continue
			}
			c := budget.Open(rapid.SampledFrom(ports).Draw(t, "port"), nil)
			admission := c.Admit(budget.now)
			if victim := admission.Victim; victim != nil {
				must.NotEq(t, clientlimit.Running, phases[victim])
				must.True(t, victim.IsLeaving())
				victim.Close()
				delete(phases, victim)
				admission = c.Admit(budget.now)
			}
			if admission.Verdict != clientlimit.Admitted {
				c.Close()
				continue
			}
			c.Set(budget.now, phase)
			phases[c], order = phase, append(order, c)
			must.LessEq(t, connectionLimit, budget.Used())
		}
		must.Eq(t, len(phases), budget.Used())
		for c := range phases {
			c.Close()
		}
		must.Zero(t, budget.Used())
	})
}
