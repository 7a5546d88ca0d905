package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lacewingslip/lacewingslip/event"
)

const (
	suspicionTimeout     = 5 * time.Second
	unreachableRetention = time.Hour
	leftRetention        = 10 * time.Minute
	// tombstoneRetention is how long a removed entry is retained as a tombstone, so that
	// a node that was paused for a long time can't add the removed version again.
	tombstoneRetention = 24 * time.Hour
	// pauseThreshold is the interval between two ticks above which this process is
	// assumed to have been paused. The excess is not counted towards suspicionTimeout.
	pauseThreshold = 3 * time.Second

	bucketCount = 64
	maxRecords  = 16_384
)

// Change is a change of a table that is reported as an event.
type Change struct {
	// Event is the event to record.
	Event event.ID
	// Member is the node after the change.
	Member Member
}

// digest holds one hash per bucket of a table's entries. Two tables with the
// same entries have the same digest.
type digest [bucketCount]uint64

// Table holds the entries of all nodes that one node knows. It is not safe for
// concurrent use.
type Table struct {
	self    string
	records map[string]*record
	buckets digest
	// pending holds the records that are still to be sent to other nodes.
	pending  map[string]*record
	random   *rand.Rand
	lastTick time.Time
	// revision counts changes of entries and health.
	revision uint64

	// reachable and unreachable list the other nodes by health. They are rebuilt
	// on demand if peersStale is set.
	reachable, unreachable []string
	peersStale             bool
}

// NewTable returns a table that holds only the node itself.
func NewTable(now time.Time, self Self, random *rand.Rand) *Table {
	t := &Table{
		self:       self.Node,
		records:    map[string]*record{},
		pending:    map[string]*record{},
		random:     random,
		lastTick:   now,
		peersStale: true,
	}
	own := fields{
		Node: self.Node, Incarnation: self.Incarnation, StartedMS: self.Started.UnixMilli(), Version: 1,
		Peer: self.Peer, Caller: self.Caller, Operator: self.Operator, Region: self.Region, Zone: self.Zone,
	}
	t.store(now, &record{}, update{fields: own})
	return t
}

// SetBackend sets the backend server's fields in the node's own entry and raises
// the entry's version.
func (t *Table) SetBackend(now time.Time, epoch uint32, service string, state State, slots int) {
	own := t.records[t.self]
	next := update{fields: own.fields, Health: own.health}
	next.Service, next.State, next.Slots = service, state, slots
	next.AgeSeconds = epoch
	next.Version++
	t.store(now, own, next)
}

// Leave sets the node's own health to [Left], which takes precedence over
// suspicions.
func (t *Table) Leave(now time.Time) {
	own := t.records[t.self]
	next := update{fields: own.fields, Health: Left}
	next.Version++
	t.store(now, own, next)
}

// Self returns the node's own entry.
func (t *Table) Self() Entry { return Entry{t.records[t.self].fields} }

// Get returns the entry and the health of a node.
func (t *Table) Get(node string) (m Member, ok bool) {
	r, ok := t.records[node]
	if !ok || r.removed {
		return Member{}, false
	}
	return r.member(), true
}

// Members returns all nodes, sorted by ID.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.records))
	for _, r := range t.records {
		if !r.removed {
			members = append(members, r.member())
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Node(), b.Node()) })
	return members
}

// ObserveEpoch records the age of an incarnation that its node has sent.
func (t *Table) ObserveEpoch(now time.Time, node string, incarnation uint64, epoch uint32) {
	if r, ok := t.records[node]; ok && r.Incarnation == incarnation {
		r.observeAge(now, epoch)
	}
}

// Epoch returns a lower bound of the age of a node's incarnation: the last
// received age plus the time since then. With 1,100 nodes a node receives the
// age of another only every few minutes, and keys issued with the last received
// age alone would be close to their expiry.
func (t *Table) Epoch(now time.Time, node string) (incarnation uint64, epoch uint32, ok bool) {
	r, ok := t.records[node]
	if !ok || r.removed {
		return 0, 0, false
	}
	return r.Incarnation, r.minAge(now), true
}

// merge merges the updates of another node. It returns the changes, and the
// table's own record for each update that is older than the record or that can't
// be used.
func (t *Table) merge(now time.Time, updates []update) (changes []Change, newer []update) {
	for _, u := range updates {
		r, known := t.records[u.Node]
		if u.isHealthOnly() && !known {
			continue
		}
		if u.isHealthOnly() && !u.fillContent(r.fields) {
			// The sender answers an older record with its own, complete one.
			newer = append(newer, r.update(now))
			continue
		}
		if !known {
			changes = append(changes, t.add(now, u)...)
			continue
		}
		order := compare(u.fields, u.Health, r.fields, r.health)
		switch {
		case order < 0:
			newer = append(newer, r.update(now))
		case order == 0:
			t.confirm(now, r, u)
		case u.Node == t.self:
			t.refute(now, r, u)
			newer = append(newer, r.update(now))
		default:
			changes = append(changes, t.replace(now, r, u)...)
		}
	}
	return changes, newer
}

// add stores the first update of a node.
func (t *Table) add(now time.Time, u update) (changes []Change) {
	if len(t.records) >= maxRecords || u.Health != Alive && u.healthAge() >= retention(u.Health) {
		return nil
	}
	r := &record{}
	t.store(now, r, u)
	if u.Health == Alive {
		changes = append(changes, Change{event.MemberJoined, r.member()})
	}
	return changes
}

// confirm handles an update that is equal to the table's record. Receiving the
// record shows that it has spread, so it is sent fewer times.
func (t *Table) confirm(now time.Time, r *record, u update) {
	t.countSent(r, t.confirmationWeight())
	if since := now.Add(-u.healthAge()); r.health > Suspect && !r.removed && since.Before(r.healthSince) {
		r.healthSince = since
	}
}

// refute raises the version of the node's own entry above that of an update from
// another node. If that update has another incarnation, this node's clock has
// been set back since that incarnation started.
func (t *Table) refute(now time.Time, own *record, u update) {
	next := update{fields: own.fields, Health: own.health}
	if u.Incarnation != own.Incarnation {
		next.StartedMS = max(own.StartedMS, u.StartedMS+1)
	}
	next.Version = max(own.Version, u.Version) + 1
	t.store(now, own, next)
}

// replace handles an update that is newer than the table's record.
func (t *Table) replace(now time.Time, r *record, u update) (changes []Change) {
	before, restarted := r.health, u.Incarnation != r.Incarnation
	if u.Health != Alive && u.healthAge() >= retention(u.Health) && r.removed {
		return nil
	}
	appeared := r.removed || before == Left
	t.store(now, r, u)
	switch {
	case u.Health == Alive && (restarted || appeared):
		return append(changes, Change{event.MemberJoined, r.member()})
	case u.Health == Alive && before == Unreachable:
		return append(changes, Change{event.MemberBack, r.member()})
	case u.Health == Alive || u.Health == before:
		return nil
	}
	return append(changes, Change{healthEvent(u.Health), r.member()})
}

// markSuspect marks a node as suspect after failed probes of the given version.
func (t *Table) markSuspect(now time.Time, node string, incarnation, version uint64) (changes []Change) {
	r, ok := t.records[node]
	if !ok || r.removed || r.health != Alive || r.Incarnation != incarnation || r.Version != version {
		return nil
	}
	return t.setHealth(now, r, Suspect)
}

// markUnreachable marks a suspect as unreachable after another failed probe of
// the given version.
func (t *Table) markUnreachable(now time.Time, node string, incarnation, version uint64) (changes []Change) {
	r, ok := t.records[node]
	if !ok || r.removed || r.health != Suspect || r.Incarnation != incarnation || r.Version != version {
		return nil
	}
	return t.setHealth(now, r, Unreachable)
}

// expiredSuspects returns up to n nodes that have been suspect for at least
// suspicionTimeout. Each node probes them once more before it marks them as
// unreachable, because a refutation may take longer than suspicionTimeout to
// reach all nodes.
func (t *Table) expiredSuspects(now time.Time, n int) (members []Member) {
	for _, r := range t.records {
		if r.health == Suspect && !r.removed && now.Sub(r.healthSince) >= suspicionTimeout && len(members) < n {
			members = append(members, r.member())
		}
	}
	return members
}

// Tick removes nodes whose retention has ended. It must be called periodically.
func (t *Table) Tick(now time.Time) (changes []Change) {
	paused := max(0, now.Sub(t.lastTick)-pauseThreshold)
	t.lastTick = now
	for node, r := range t.records {
		if r.health == Alive || node == t.self {
			continue
		}
		if r.health == Suspect {
			r.healthSince = r.healthSince.Add(paused)
		}
		changes = append(changes, t.expire(now, r)...)
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Member.Node(), b.Member.Node()) })
	return changes
}

func (t *Table) expire(now time.Time, r *record) (changes []Change) {
	elapsed := now.Sub(r.healthSince)
	switch {
	case r.removed && elapsed >= tombstoneRetention:
		delete(t.records, r.Node)
	case r.removed:
	case elapsed >= retention(r.health):
		t.remove(now, r)
		return append(changes, Change{event.MemberDropped, r.member()})
	}
	return nil
}

func (t *Table) setHealth(now time.Time, r *record, h Health) (changes []Change) {
	t.store(now, r, update{fields: r.fields, Health: h})
	return append(changes, Change{healthEvent(h), r.member()})
}

// store writes an update to a record and schedules the record for sending.
func (t *Table) store(now time.Time, r *record, u update) {
	if r.hash != 0 && !r.removed {
		t.buckets[bucketOf(r.Node)] ^= r.hash
	}
	if r.Incarnation != u.Incarnation {
		r.lastAgeSeconds, r.lastAgeAt = 0, now
	}
	r.fields, r.health, r.healthSince, r.removed = u.fields, u.Health, now.Add(-u.healthAge()), false
	r.observeAge(now, u.AgeSeconds)
	r.hash = r.computeHash()
	t.buckets[bucketOf(r.Node)] ^= r.hash
	t.records[r.Node] = r
	t.peersStale = true
	t.revision++
	r.remainingSends = t.transmissions()
	t.pending[r.Node] = r
}

func (t *Table) remove(now time.Time, r *record) {
	t.buckets[bucketOf(r.Node)] ^= r.hash
	r.removed, r.healthSince = true, now
	t.peersStale = true
	t.revision++
	delete(t.pending, r.Node)
}

// pickReachable returns up to n different random nodes that can be reached. It
// omits the local node and the nodes in exclude.
func (t *Table) pickReachable(n int, exclude ...string) (members []Member) {
	t.refreshPeers()
	return t.sample(t.reachable, n, exclude)
}

// pickUnreachable returns a random node that is marked as unreachable.
func (t *Table) pickUnreachable() (members []Member) {
	t.refreshPeers()
	return t.sample(t.unreachable, 1, nil)
}

func (t *Table) sample(nodes []string, n int, exclude []string) (members []Member) {
	// Most draws find a new node, unless nearly all nodes are requested.
	for range 4 * (n + len(exclude)) {
		if len(members) == n || len(nodes) == 0 {
			break
		}
		node := nodes[t.random.IntN(len(nodes))]
		if !slices.Contains(exclude, node) {
			members = append(members, t.records[node].member())
			exclude = append(slices.Clip(exclude), node)
		}
	}
	return members
}

func (t *Table) refreshPeers() {
	if !t.peersStale {
		return
	}
	t.peersStale = false
	t.reachable, t.unreachable = t.reachable[:0], t.unreachable[:0]
	for _, m := range t.Members() {
		switch {
		case m.Node() == t.self:
		case m.Health.Routable():
			t.reachable = append(t.reachable, m.Node())
		case m.Health == Unreachable:
			t.unreachable = append(t.unreachable, m.Node())
		}
	}
}

func healthEvent(h Health) event.ID {
	switch h {
	case Suspect:
		return event.MemberSuspect
	case Unreachable:
		return event.MemberUnreachable
	case Left:
		return event.MemberLeft
	default:
		return event.MemberBack
	}
}

// retention returns how long a node of this health stays in the table.
func retention(h Health) time.Duration {
	if h == Left {
		return leftRetention
	}
	return unreachableRetention
}
