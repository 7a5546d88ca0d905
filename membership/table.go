package membership

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingslip/lacewingslip/event"
)

const (
	suspicionTime   = 5 * time.Second
	unreachableKept = time.Hour
	leftKept        = 10 * time.Minute
	// A removed entry is remembered so that a node that was paused for long
	// can't bring it back with the version that was removed.
	removedKept = 24 * time.Hour
	// A tick this late means that this process was paused. The time it was
	// paused for does not count against suspects.
	pauseTime = 3 * time.Second

	// Clocks of two VMs may differ in speed by one part in clockDrift.
	clockDrift = 1000

	bucketCount       = 64
	transmissionsBase = 3
	// Transmissions of a change end after it has been heard from others so many
	// times, or after so many exchanges between equal tables. A node that missed
	// it gets it when digests are compared.
	agreements = 3
	maxRecords = 16_384
)

// Change is a change of a table that operators and routing care about.
type Change struct {
	// Event says what changed.
	Event event.ID
	// Member is the node as it is now known.
	Member Member
}

// digest summarizes a table. Two tables with the same entries have the same
// digest.
type digest [bucketCount]uint64

// Table is what one node knows of all nodes. It is not safe for concurrent use.
type Table struct {
	self     string
	records  map[string]*record
	buckets  digest
	pending  map[string]*record
	random   *rand.Rand
	lastTick time.Time
	// revision counts changes of entries and health.
	revision uint64

	// reachable and hidden are the nodes to exchange with, rebuilt after a
	// change.
	reachable, hidden []string
	stale             bool
}

type record struct {
	fields
	health Health
	// since is when the health took its value, by the local clock.
	since time.Time
	// sends is how many more times the record is sent to others.
	sends int
	// removed records are kept only to recognize what is older.
	removed bool
	// heardSeconds is the age of the incarnation as last heard, from its entry
	// or from the node itself, and heardAt is when that was by the local clock.
	heardSeconds uint32
	heardAt      time.Time
	hash         uint64
}

// NewTable returns a table that holds only the node itself.
func NewTable(now time.Time, self Self, random *rand.Rand) *Table {
	t := &Table{
		self:     self.Node,
		records:  map[string]*record{},
		pending:  map[string]*record{},
		random:   random,
		lastTick: now,
		stale:    true,
	}
	own := fields{
		Node: self.Node, Incarnation: self.Incarnation, StartedMS: self.Started.UnixMilli(), Version: 1,
		Peer: self.Peer, Caller: self.Caller, Operator: self.Operator, Region: self.Region, Zone: self.Zone,
	}
	t.put(now, &record{}, update{fields: own})
	return t
}

// Describe changes the node's own entry and raises its version.
func (t *Table) Describe(now time.Time, epoch uint32, service string, state State, slots int) {
	own := t.records[t.self]
	next := update{fields: own.fields, Health: own.health}
	next.Service, next.State, next.Slots = service, state, slots
	next.AgeSeconds = epoch
	next.Version++
	t.put(now, own, next)
}

// Leave marks the node itself as left, which outranks suspicions.
func (t *Table) Leave(now time.Time) {
	own := t.records[t.self]
	next := update{fields: own.fields, Health: Left}
	next.Version++
	t.put(now, own, next)
}

// Self returns the node's own entry.
func (t *Table) Self() Entry { return Entry{t.records[t.self].fields} }

// Get returns what is known of a node.
func (t *Table) Get(node string) (m Member, ok bool) {
	r, ok := t.records[node]
	if !ok || r.removed {
		return Member{}, false
	}
	return r.member(), true
}

// Members returns all nodes in order of their IDs.
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

// Heard notes the age of an incarnation as its node stated it.
func (t *Table) Heard(now time.Time, node string, incarnation uint64, epoch uint32) {
	if r, ok := t.records[node]; ok && r.Incarnation == incarnation {
		r.hear(now, epoch)
	}
}

// Epoch returns an age that a node's incarnation has certainly reached: the one
// last heard, and the time since. At the target size a node hears of another
// only every few minutes, and keys issued with the last heard age alone would
// be close to their expiry.
func (t *Table) Epoch(now time.Time, node string) (incarnation uint64, epoch uint32, ok bool) {
	r, ok := t.records[node]
	if !ok || r.removed {
		return 0, 0, false
	}
	return r.Incarnation, r.reached(now), true
}

// merge takes in what another node says. It returns the changes, and for each
// update that is older than the table's own record, or that it can't use, that
// record.
func (t *Table) merge(now time.Time, updates []update) (changes []Change, newer []update) {
	for _, u := range updates {
		r, known := t.records[u.Node]
		if u.isNote() && !known {
			continue
		}
		if u.isNote() && !u.complete(r.fields) {
			// The sender answers an older record with its own.
			newer = append(newer, r.update(now))
			continue
		}
		if !known {
			changes = append(changes, t.learn(now, u)...)
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

// learn adds a node that was not known.
func (t *Table) learn(now time.Time, u update) (changes []Change) {
	if len(t.records) >= maxRecords || u.Health != Alive && u.age() >= keptFor(u.Health) {
		return nil
	}
	r := &record{}
	t.put(now, r, u)
	if u.Health == Alive {
		changes = append(changes, Change{event.MemberJoined, r.member()})
	}
	return changes
}

// confirm handles an update that the table holds already. Hearing a record
// means that it has spread, so that it need be sent less often.
func (t *Table) confirm(now time.Time, r *record, u update) {
	t.sent(r, t.agreementWeight())
	if since := now.Add(-u.age()); r.health > Suspect && !r.removed && since.Before(r.since) {
		r.since = since
	}
}

// refute raises the version of the node's own entry above what others say of
// it. An entry of another incarnation that ranks higher comes from a clock that
// was set back since.
func (t *Table) refute(now time.Time, own *record, u update) {
	next := update{fields: own.fields, Health: own.health}
	if u.Incarnation != own.Incarnation {
		next.StartedMS = max(own.StartedMS, u.StartedMS+1)
	}
	next.Version = max(own.Version, u.Version) + 1
	t.put(now, own, next)
}

// replace handles an update that is newer than the table's record.
func (t *Table) replace(now time.Time, r *record, u update) (changes []Change) {
	before, restarted := r.health, u.Incarnation != r.Incarnation
	if u.Health != Alive && u.age() >= keptFor(u.Health) && r.removed {
		return nil
	}
	appeared := r.removed || before == Left
	t.put(now, r, u)
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

// suspect marks a node as suspect after failed probes of the given version.
func (t *Table) suspect(now time.Time, node string, incarnation, version uint64) (changes []Change) {
	r, ok := t.records[node]
	if !ok || r.removed || r.health != Alive || r.Incarnation != incarnation || r.Version != version {
		return nil
	}
	return t.mark(now, r, Suspect)
}

// unreachable hides a suspect after another failed probe of the given version.
func (t *Table) unreachable(now time.Time, node string, incarnation, version uint64) (changes []Change) {
	r, ok := t.records[node]
	if !ok || r.removed || r.health != Suspect || r.Incarnation != incarnation || r.Version != version {
		return nil
	}
	return t.mark(now, r, Unreachable)
}

// expired returns up to n nodes that have been suspect for too long. Each node
// probes them once more by itself before it hides them: a refutation takes
// longer to reach the last node than a suspicion lasts.
func (t *Table) expired(now time.Time, n int) (members []Member) {
	for _, r := range t.records {
		if r.health == Suspect && !r.removed && now.Sub(r.since) >= suspicionTime && len(members) < n {
			members = append(members, r.member())
		}
	}
	return members
}

// Tick removes nodes whose time has passed.
func (t *Table) Tick(now time.Time) (changes []Change) {
	paused := max(0, now.Sub(t.lastTick)-pauseTime)
	t.lastTick = now
	for node, r := range t.records {
		if r.health == Alive || node == t.self {
			continue
		}
		if r.health == Suspect {
			r.since = r.since.Add(paused)
		}
		changes = append(changes, t.age(now, r)...)
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Member.Node(), b.Member.Node()) })
	return changes
}

func (t *Table) age(now time.Time, r *record) (changes []Change) {
	held := now.Sub(r.since)
	switch {
	case r.removed && held >= removedKept:
		delete(t.records, r.Node)
	case r.removed:
	case held >= keptFor(r.health):
		t.remove(now, r)
		return append(changes, Change{event.MemberDropped, r.member()})
	}
	return nil
}

func (t *Table) mark(now time.Time, r *record, h Health) (changes []Change) {
	t.put(now, r, update{fields: r.fields, Health: h})
	return append(changes, Change{healthEvent(h), r.member()})
}

// put stores an update in a record and lets it spread.
func (t *Table) put(now time.Time, r *record, u update) {
	if r.hash != 0 && !r.removed {
		t.buckets[bucketOf(r.Node)] ^= r.hash
	}
	if r.Incarnation != u.Incarnation {
		r.heardSeconds, r.heardAt = 0, now
	}
	r.fields, r.health, r.since, r.removed = u.fields, u.Health, now.Add(-u.age()), false
	r.hear(now, u.AgeSeconds)
	r.hash = r.sum()
	t.buckets[bucketOf(r.Node)] ^= r.hash
	t.records[r.Node] = r
	t.stale = true
	t.revision++
	r.sends = t.transmissions()
	t.pending[r.Node] = r
}

// hear takes over a stated age if it is above the one worked out here.
func (r *record) hear(now time.Time, seconds uint32) {
	if seconds > r.reached(now) {
		r.heardSeconds, r.heardAt = seconds, now
	}
}

// reached is an age in seconds that the incarnation has certainly reached, even
// if its clock is slower than the local one.
func (r *record) reached(now time.Time) (seconds uint32) {
	since := now.Sub(r.heardAt)
	since -= since/clockDrift + time.Second
	if since <= 0 {
		return r.heardSeconds
	}
	return r.heardSeconds + uint32(since/time.Second)
}

func (t *Table) remove(now time.Time, r *record) {
	t.buckets[bucketOf(r.Node)] ^= r.hash
	r.removed, r.since = true, now
	t.stale = true
	t.revision++
	delete(t.pending, r.Node)
}

// transmissions is how often each node sends a change to others.
func (t *Table) transmissions() int {
	return int(math.Ceil(transmissionsBase * math.Log2(float64(len(t.records)+1))))
}

// deltas returns the pending records that were sent least often, up to about
// the given number of bytes, and counts them as sent. It leaves out the nodes
// that the message has or had already.
func (t *Table) deltas(now time.Time, budget int, without []update) (updates []update) {
	skip := make(map[string]bool, len(without))
	for _, u := range without {
		skip[u.Node] = true
	}
	pending := make([]*record, 0, len(t.pending))
	for node, r := range t.pending {
		if !skip[node] {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *record) int {
		if a.sends != b.sends {
			return b.sends - a.sends
		}
		return strings.Compare(a.Node, b.Node)
	})
	for _, r := range pending {
		u := r.update(now)
		if u.Health != Alive {
			u = u.note()
		}
		if budget -= u.size(); budget < 0 && len(updates) > 0 {
			break
		}
		updates = append(updates, u)
		t.sent(r, 1)
	}
	return updates
}

// sent counts transmissions of a record.
func (t *Table) sent(r *record, n int) {
	if r.sends -= n; r.sends <= 0 {
		delete(t.pending, r.Node)
	}
}

// agree notes that another node has the same table.
func (t *Table) agree() {
	for _, r := range t.pending {
		t.sent(r, t.agreementWeight())
	}
}

// agreementWeight is how many transmissions an agreement counts for.
func (t *Table) agreementWeight() int { return (t.transmissions() + agreements - 1) / agreements }

// sum stands for the whole table.
func (t *Table) sum() (sum uint64) {
	for _, bucket := range t.buckets {
		sum ^= bucket
	}
	return sum
}

// all returns every record, up to about the given number of bytes.
func (t *Table) all(now time.Time, budget int) (updates []update) {
	for _, r := range t.records {
		if r.removed {
			continue
		}
		u := r.update(now)
		if budget -= u.size(); budget < 0 {
			break
		}
		updates = append(updates, u)
	}
	return updates
}

// tags returns the hashes of a bucket's records by node.
func (t *Table) tags(bucket int) (tags map[string]uint32) {
	tags = map[string]uint32{}
	for node, r := range t.records {
		if !r.removed && bucketOf(node) == bucket {
			tags[node] = uint32(r.hash)
		}
	}
	return tags
}

// differences compares a bucket with another node's tags of it. It returns the
// records that the other lacks or has otherwise, and the nodes only it knows.
func (t *Table) differences(now time.Time, bucket int, theirs map[string]uint32) (updates []update, unknown []string) {
	ours := t.tags(bucket)
	for node, tag := range ours {
		their, known := theirs[node]
		switch u := t.records[node].update(now); {
		case !known || their != tag && u.Health == Alive:
			updates = append(updates, u)
		case their != tag:
			updates = append(updates, u.note())
		}
	}
	for node := range theirs {
		if _, known := ours[node]; !known {
			unknown = append(unknown, node)
		}
	}
	slices.Sort(unknown)
	return updates, unknown
}

// pick returns up to n different random nodes that can be reached, without the
// node itself and the given ones.
func (t *Table) pick(n int, without ...string) (members []Member) {
	t.refresh()
	return t.sample(t.reachable, n, without)
}

// pickHidden returns a random node that is hidden from routing.
func (t *Table) pickHidden() (members []Member) {
	t.refresh()
	return t.sample(t.hidden, 1, nil)
}

func (t *Table) sample(nodes []string, n int, without []string) (members []Member) {
	// Few draws miss, unless nearly all nodes are asked for.
	for range 4 * (n + len(without)) {
		if len(members) == n || len(nodes) == 0 {
			break
		}
		node := nodes[t.random.IntN(len(nodes))]
		if !slices.Contains(without, node) {
			members = append(members, t.records[node].member())
			without = append(slices.Clip(without), node)
		}
	}
	return members
}

func (t *Table) refresh() {
	if !t.stale {
		return
	}
	t.stale = false
	t.reachable, t.hidden = t.reachable[:0], t.hidden[:0]
	for _, m := range t.Members() {
		switch {
		case m.Node() == t.self:
		case m.Health.Routable():
			t.reachable = append(t.reachable, m.Node())
		case m.Health == Unreachable:
			t.hidden = append(t.hidden, m.Node())
		}
	}
}

func (r *record) member() Member { return Member{Entry{r.fields}, r.health} }

func (r *record) update(now time.Time) update {
	u := update{fields: r.fields, Health: r.health}
	// A suspicion counts from when a node hears of it, which spreads the last
	// probes of all nodes over the time that the suspicion takes to spread.
	if r.health > Suspect {
		u.HealthSeconds = max(0, int64(now.Sub(r.since)/time.Second))
	}
	if r.removed {
		u.HealthSeconds += int64(keptFor(r.health) / time.Second)
	}
	return u
}

// sum hashes what orders the updates of one node.
func (r *record) sum() uint64 {
	data := append([]byte(r.Node), 0)
	data = binary.BigEndian.AppendUint64(data, uint64(r.StartedMS))
	data = binary.BigEndian.AppendUint64(data, r.Incarnation)
	data = binary.BigEndian.AppendUint64(data, r.Version)
	return max(1, xxhash.Sum64(append(data, byte(r.health))))
}

func (u update) age() time.Duration { return time.Duration(u.HealthSeconds) * time.Second }

// size is about the length of the update in a message.
func (u update) size() int {
	const names = 150
	if u.isNote() {
		return names/2 + len(u.Node)
	}
	return names + len(u.Node) + len(u.Peer) + len(u.Caller) + len(u.Operator) +
		len(u.Region) + len(u.Zone) + len(u.Service)
}

func bucketOf(node string) int { return int(xxhash.Sum64String(node) % bucketCount) }

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

// keptFor is how long a node of this health stays in the table.
func keptFor(h Health) time.Duration {
	if h == Left {
		return leftKept
	}
	return unreachableKept
}
