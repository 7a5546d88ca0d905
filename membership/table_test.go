package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingslip/lacewingslip/event"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTable() *Table {
	self := Self{Node: "a", Incarnation: 1, Started: start, Peer: "a:1"}
	return NewTable(start, self, rand.New(rand.NewPCG(1, 2)))
}

// entry is about node "b", which started at the given second.
func entry(started int64, version uint64, h Health) update {
	f := fields{Node: "b", Incarnation: uint64(started), StartedMS: 1000 * started, Version: version, Peer: "b:1", Slots: int(version)}
	return update{fields: f, Health: h}
}

// Guards against an order of entries in which an older fact wins over a newer
// one.
func TestMergeOrder(t *testing.T) {
	for name, tc := range map[string]struct {
		held, heard update
		wins        bool
	}{
		"higher version":            {entry(1, 1, Alive), entry(1, 2, Alive), true},
		"lower version":             {entry(1, 2, Alive), entry(1, 1, Alive), false},
		"suspicion":                 {entry(1, 1, Alive), entry(1, 1, Suspect), true},
		"late word of being alive":  {entry(1, 1, Suspect), entry(1, 1, Alive), false},
		"refutation":                {entry(1, 1, Unreachable), entry(1, 2, Alive), true},
		"suspicion of old version":  {entry(1, 2, Alive), entry(1, 1, Unreachable), false},
		"leave":                     {entry(1, 1, Unreachable), entry(1, 2, Left), true},
		"suspicion after leave":     {entry(1, 2, Left), entry(1, 2, Suspect), false},
		"restart":                   {entry(1, 9, Alive), entry(2, 1, Alive), true},
		"restart after leave":       {entry(1, 9, Left), entry(2, 1, Alive), true},
		"late word of old process":  {entry(2, 1, Alive), entry(1, 9, Alive), false},
		"suspicion of old process":  {entry(2, 1, Alive), entry(1, 9, Unreachable), false},
		"late leave of old process": {entry(2, 1, Alive), entry(1, 9, Left), false},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			table.merge(start, []update{tc.held})
			_, newer := table.merge(start, []update{tc.heard})
			m, _ := table.Get("b")
			must.Eq(t, tc.wins, m == Member{Entry{tc.heard.fields}, tc.heard.Health})
			must.Eq(t, !tc.wins, len(newer) == 1, must.Sprint("the sender must hear what it lacks"))
		})
	}
}

// Guards against events that operators can't rely on.
func TestChanges(t *testing.T) {
	for name, tc := range map[string]struct {
		held, heard []update
		want        []event.ID
	}{
		"join":       {nil, []update{entry(1, 1, Alive)}, []event.ID{event.MemberJoined}},
		"known dead": {nil, []update{entry(1, 1, Unreachable)}, nil},
		"new state":  {[]update{entry(1, 1, Alive)}, []update{entry(1, 2, Alive)}, nil},
		"restart":    {[]update{entry(1, 1, Alive)}, []update{entry(2, 1, Alive)}, []event.ID{event.MemberJoined}},
		"suspect":    {[]update{entry(1, 1, Alive)}, []update{entry(1, 1, Suspect)}, []event.ID{event.MemberSuspect}},
		"back":       {[]update{entry(1, 1, Unreachable)}, []update{entry(1, 2, Alive)}, []event.ID{event.MemberBack}},
		"left":       {[]update{entry(1, 1, Alive)}, []update{entry(1, 2, Left)}, []event.ID{event.MemberLeft}},
		"twice":      {nil, []update{entry(1, 2, Left), entry(1, 2, Left)}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			table.merge(start, tc.held)
			changes, _ := table.merge(start, tc.heard)
			var got []event.ID
			for _, c := range changes {
				got = append(got, c.Event)
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// Guards against a node that was paused for over an hour and brings back what
// the others have removed.
func TestRemovedStaysRemoved(t *testing.T) {
	table := newTable()
	table.merge(start, []update{entry(1, 5, Unreachable)})
	later := start.Add(unreachableKept)
	must.Eq(t, event.MemberDropped, table.Tick(later)[0].Event)
	_, newer := table.merge(later, []update{entry(1, 5, Alive)})
	must.SliceLen(t, 1, table.Members())
	must.Eq(t, Unreachable, newer[0].Health)
	table.merge(later, []update{entry(1, 6, Alive)})
	must.SliceLen(t, 2, table.Members(), must.Sprint("a refutation brings the node back"))
	table.Tick(later.Add(removedKept))
	must.SliceLen(t, 2, table.Members())
}

// Guards against suspects that are hidden because this process was paused.
func TestPauseDoesNotCountAgainstSuspects(t *testing.T) {
	table := newTable()
	table.merge(start, []update{entry(1, 1, Suspect)})
	table.Tick(start.Add(time.Minute))
	must.SliceEmpty(t, table.expired(start.Add(time.Minute), 9))
	table.Tick(start.Add(time.Minute + 2*time.Second))
	must.SliceLen(t, 1, table.expired(start.Add(time.Minute+2*time.Second), 9))
}

// Guards against changes that are sent for ever, or too seldom to spread.
func TestTransmissionsAreBounded(t *testing.T) {
	table := newTable()
	table.merge(start, []update{entry(1, 1, Alive)})
	sent := 0
	for range 100 {
		for _, u := range table.deltas(start, deltaBytes, nil) {
			if u.Node == "b" {
				sent++
			}
		}
	}
	must.Eq(t, table.transmissions(), sent)
}

// Guards against changes that are repeated although all nodes know them.
func TestAgreementEndsTransmissions(t *testing.T) {
	table := newTable()
	table.merge(start, []update{entry(1, 1, Alive)})
	for range agreements {
		must.MapNotEmpty(t, table.pending)
		table.agree()
	}
	must.MapEmpty(t, table.pending)
}

// Guards against notes that change another version than the one they are about.
func TestNotes(t *testing.T) {
	for name, tc := range map[string]struct {
		held, note update
		want       Health
	}{
		"same version":      {entry(1, 2, Alive), entry(1, 2, Suspect), Suspect},
		"earlier version":   {entry(1, 2, Alive), entry(1, 1, Unreachable), Alive},
		"later version":     {entry(1, 2, Alive), entry(1, 3, Unreachable), Alive},
		"later incarnation": {entry(1, 2, Alive), entry(2, 1, Unreachable), Alive},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			table.merge(start, []update{tc.held})
			_, newer := table.merge(start, []update{tc.note.note()})
			must.Eq(t, name != "same version", len(newer) == 1, must.Sprint("the other node must hear what is held here"))
			m, _ := table.Get("b")
			must.Eq(t, Member{Entry{tc.held.fields}, tc.want}, m)
		})
	}
}

var updates = rapid.Custom(func(t *rapid.T) update {
	f := fields{
		Node:        rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "node"),
		StartedMS:   rapid.Int64Range(1, 2).Draw(t, "started"),
		Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
		Version:     rapid.Uint64Range(1, 3).Draw(t, "version"),
		Peer:        "b:1",
	}
	return update{fields: f, Health: Health(rapid.IntRange(0, 3).Draw(t, "health"))}
})

func merged(lists ...[]update) *Table {
	table := newTable()
	for _, list := range lists {
		table.merge(start, list)
	}
	return table
}

// Guards against tables that depend on the order, grouping or number of the
// messages that made them, and digests that do not tell them apart.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOf(updates)
		a, b, c := list.Draw(t, "a"), list.Draw(t, "b"), list.Draw(t, "c")
		one, other := merged(a, b, c), merged(c, b, a)
		must.Eq(t, one.Members(), other.Members(), must.Sprint("commutative"))
		grouped := merged(a, merged(b, c).all(start, fullBytes))
		must.Eq(t, one.Members(), grouped.Members(), must.Sprint("associative"))
		must.Eq(t, one.Members(), merged(a, b, c, b, a).Members(), must.Sprint("idempotent"))
		must.Eq(t, one.buckets, other.buckets)
		// Tables that differ in one entry at most are the hardest to tell apart.
		one, other = merged(a), merged(a, []update{updates.Draw(t, "last")})
		must.Eq(t, slices.Equal(one.Members(), other.Members()), one.buckets == other.buckets, must.Sprint("digests agree iff tables agree"))
	})
}
