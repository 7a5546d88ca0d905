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

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTable() *Table {
	self := Self{Node: "a", Incarnation: 1, Started: startTime, Peer: "a:1"}
	return NewTable(startTime, self, rand.New(rand.NewPCG(1, 2)))
}

// updateOfB returns an update of node "b", which started at the given second.
func updateOfB(started int64, version uint64, h Health) update {
	f := fields{Node: "b", Incarnation: uint64(started), StartedMS: 1000 * started, Version: version, Peer: "b:1", Slots: int(version)}
	return update{fields: f, Health: h}
}

// Guards against an order of updates in which an older one replaces a newer one.
func TestMergeOrder(t *testing.T) {
	for name, tc := range map[string]struct {
		stored, received update
		wins             bool
	}{
		"higher version":             {updateOfB(1, 1, Alive), updateOfB(1, 2, Alive), true},
		"lower version":              {updateOfB(1, 2, Alive), updateOfB(1, 1, Alive), false},
		"suspicion":                  {updateOfB(1, 1, Alive), updateOfB(1, 1, Suspect), true},
		"late alive update":          {updateOfB(1, 1, Suspect), updateOfB(1, 1, Alive), false},
		"refutation":                 {updateOfB(1, 1, Unreachable), updateOfB(1, 2, Alive), true},
		"suspicion of old version":   {updateOfB(1, 2, Alive), updateOfB(1, 1, Unreachable), false},
		"leave":                      {updateOfB(1, 1, Unreachable), updateOfB(1, 2, Left), true},
		"suspicion after leave":      {updateOfB(1, 2, Left), updateOfB(1, 2, Suspect), false},
		"restart":                    {updateOfB(1, 9, Alive), updateOfB(2, 1, Alive), true},
		"restart after leave":        {updateOfB(1, 9, Left), updateOfB(2, 1, Alive), true},
		"late update of old process": {updateOfB(2, 1, Alive), updateOfB(1, 9, Alive), false},
		"suspicion of old process":   {updateOfB(2, 1, Alive), updateOfB(1, 9, Unreachable), false},
		"late leave of old process":  {updateOfB(2, 1, Alive), updateOfB(1, 9, Left), false},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			table.merge(startTime, []update{tc.stored})
			_, newer := table.merge(startTime, []update{tc.received})
			m, _ := table.Get("b")
			must.Eq(t, tc.wins, m == Member{Entry{tc.received.fields}, tc.received.Health})
			must.Eq(t, !tc.wins, len(newer) == 1, must.Sprint("the sender must receive the newer record"))
		})
	}
}

// Guards against missing, duplicate or wrong events.
func TestChanges(t *testing.T) {
	for name, tc := range map[string]struct {
		stored, received []update
		want             []event.ID
	}{
		"join":       {nil, []update{updateOfB(1, 1, Alive)}, []event.ID{event.MemberJoined}},
		"known dead": {nil, []update{updateOfB(1, 1, Unreachable)}, nil},
		"new state":  {[]update{updateOfB(1, 1, Alive)}, []update{updateOfB(1, 2, Alive)}, nil},
		"restart":    {[]update{updateOfB(1, 1, Alive)}, []update{updateOfB(2, 1, Alive)}, []event.ID{event.MemberJoined}},
		"suspect":    {[]update{updateOfB(1, 1, Alive)}, []update{updateOfB(1, 1, Suspect)}, []event.ID{event.MemberSuspect}},
		"refuted":    {[]update{updateOfB(1, 1, Unreachable)}, []update{updateOfB(1, 2, Alive)}, []event.ID{event.MemberBack}},
		"left":       {[]update{updateOfB(1, 1, Alive)}, []update{updateOfB(1, 2, Left)}, []event.ID{event.MemberLeft}},
		"duplicate":  {nil, []update{updateOfB(1, 2, Left), updateOfB(1, 2, Left)}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			table.merge(startTime, tc.stored)
			changes, _ := table.merge(startTime, tc.received)
			var got []event.ID
			for _, c := range changes {
				got = append(got, c.Event)
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// Guards against a node that was paused for over an hour and whose messages add
// entries again that the other nodes have removed.
func TestRemovedStaysRemoved(t *testing.T) {
	table := newTable()
	table.merge(startTime, []update{updateOfB(1, 5, Unreachable)})
	later := startTime.Add(unreachableRetention)
	must.Eq(t, event.MemberDropped, table.Tick(later)[0].Event)
	_, newer := table.merge(later, []update{updateOfB(1, 5, Alive)})
	must.SliceLen(t, 1, table.Members())
	must.Eq(t, Unreachable, newer[0].Health)
	table.merge(later, []update{updateOfB(1, 6, Alive)})
	must.SliceLen(t, 2, table.Members(), must.Sprint("a refutation adds the node again"))
	table.Tick(later.Add(tombstoneRetention))
	must.SliceLen(t, 2, table.Members())
}

// Guards against suspects that are marked as unreachable because this process was
// paused.
func TestPauseDoesNotCountAgainstSuspects(t *testing.T) {
	table := newTable()
	table.merge(startTime, []update{updateOfB(1, 1, Suspect)})
	table.Tick(startTime.Add(time.Minute))
	must.SliceEmpty(t, table.expiredSuspects(startTime.Add(time.Minute), 9))
	table.Tick(startTime.Add(time.Minute + 2*time.Second))
	must.SliceLen(t, 1, table.expiredSuspects(startTime.Add(time.Minute+2*time.Second), 9))
}

// Guards against changes that are sent without end, or too few times to spread.
func TestTransmissionsAreBounded(t *testing.T) {
	table := newTable()
	table.merge(startTime, []update{updateOfB(1, 1, Alive)})
	count := 0
	for range 100 {
		for _, u := range table.deltas(startTime, maxDeltaBytes, nil) {
			if u.Node == "b" {
				count++
			}
		}
	}
	must.Eq(t, table.transmissions(), count)
}

// Guards against changes that are still sent although all nodes have them.
func TestAgreementEndsTransmissions(t *testing.T) {
	table := newTable()
	table.merge(startTime, []update{updateOfB(1, 1, Alive)})
	for range confirmationsToStop {
		must.MapNotEmpty(t, table.pending)
		table.countEqualTables()
	}
	must.MapEmpty(t, table.pending)
}

// Guards against health-only updates that are applied to another version than
// their own.
func TestHealthOnlyUpdates(t *testing.T) {
	for name, tc := range map[string]struct {
		stored, healthOnly update
		want               Health
	}{
		"same version":      {updateOfB(1, 2, Alive), updateOfB(1, 2, Suspect), Suspect},
		"earlier version":   {updateOfB(1, 2, Alive), updateOfB(1, 1, Unreachable), Alive},
		"later version":     {updateOfB(1, 2, Alive), updateOfB(1, 3, Unreachable), Alive},
		"later incarnation": {updateOfB(1, 2, Alive), updateOfB(2, 1, Unreachable), Alive},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			table.merge(startTime, []update{tc.stored})
			_, newer := table.merge(startTime, []update{tc.healthOnly.healthOnly()})
			must.Eq(t, name != "same version", len(newer) == 1, must.Sprint("the sender must receive the stored record"))
			m, _ := table.Get("b")
			must.Eq(t, Member{Entry{tc.stored.fields}, tc.want}, m)
		})
	}
}

var randomUpdate = rapid.Custom(func(t *rapid.T) update {
	f := fields{
		Node:        rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "node"),
		StartedMS:   rapid.Int64Range(1, 2).Draw(t, "started"),
		Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
		Version:     rapid.Uint64Range(1, 3).Draw(t, "version"),
		Peer:        "b:1",
	}
	return update{fields: f, Health: Health(rapid.IntRange(0, 3).Draw(t, "health"))}
})

func mergedTable(lists ...[]update) *Table {
	table := newTable()
	for _, list := range lists {
		table.merge(startTime, list)
	}
	return table
}

// Guards against merge results that depend on the order, grouping or repetition of
// messages, and against different tables with equal digests.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOf(randomUpdate)
		a, b, c := list.Draw(t, "a"), list.Draw(t, "b"), list.Draw(t, "c")
		one, other := mergedTable(a, b, c), mergedTable(c, b, a)
		must.Eq(t, one.Members(), other.Members(), must.Sprint("commutative"))
		grouped := mergedTable(a, mergedTable(b, c).allUpdates(startTime, maxTableBytes))
		must.Eq(t, one.Members(), grouped.Members(), must.Sprint("associative"))
		must.Eq(t, one.Members(), mergedTable(a, b, c, b, a).Members(), must.Sprint("idempotent"))
		must.Eq(t, one.buckets, other.buckets)
		// Tables that differ in at most one entry test the digest most strictly.
		one, other = mergedTable(a), mergedTable(a, []update{randomUpdate.Draw(t, "last")})
		must.Eq(t, slices.Equal(one.Members(), other.Members()), one.buckets == other.buckets, must.Sprint("digests agree iff tables agree"))
	})
}
