package settings

import (
	"crypto/ed25519"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingslip/lacewingslip/appendlog"
)

const (
	// The tail serves nodes that are a few changes behind without a snapshot,
	// which is many times larger than a change.
	maxTailRecords = 256
	maxTailBytes   = 1 << 20

	// maxHeldBytes bounds the records kept while a gap is open.
	maxHeldBytes = 32 << 20
)

// VerdictKind says what became of a record.
type VerdictKind uint8

const (
	// Rejected means that the record broke a rule and has no effect.
	Rejected VerdictKind = iota
	// Accepted means that the change is in force.
	Accepted
	// SnapshotRead means that the snapshot had nothing new.
	SnapshotRead
	// Restored means that a snapshot closed a gap.
	Restored
	// Covered means that the record lies before the history's offset.
	Covered
	// Held means that records before this one are missing.
	Held
)

var verdictKindNames = [...]string{
	Rejected: "rejected", Accepted: "accepted", SnapshotRead: "snapshotRead", Restored: "restored", Covered: "covered", Held: "held",
}

// String returns the kind's name in camel case.
func (k VerdictKind) String() string {
	if int(k) >= len(verdictKindNames) {
		return fmt.Sprintf("invalid(%d)", int(k))
	}
	return verdictKindNames[k]
}

// Verdict is the outcome of one record.
type Verdict struct {
	// Kind says what became of the record.
	Kind VerdictKind
	// Offset is that of the record.
	Offset int64
	// Change is the change that was accepted or rejected. It has no ID if the
	// record could not be read.
	Change Change
	// Reason says why a record was rejected.
	Reason string
	// Replayed holds the verdicts of records that had been held until a snapshot
	// closed the gap before them.
	Replayed []Verdict
}

// History replays the stream of settings. Every node that reads the same records
// reaches the same tree. It is not safe for concurrent use.
type History struct {
	rootKey ed25519.PublicKey
	next    int64
	state   state

	// tail ends at next. Other nodes that are behind get it.
	tail []appendlog.Record
	// held is a run of records after a gap. It ends when a snapshot covers the
	// records before it.
	held []appendlog.Record

	snapshotNext int64
	snapshotAt   time.Time
}

// state is the outcome of all accepted changes.
type state struct {
	root     rootBranch
	services map[string][]Service
	branches map[string]branch
	tree     *Tree
}

// branch is the last accepted change of a branch.
type branch struct {
	change Change
	// rootChange is the root change whose key for the team signed the change.
	// It is kept because a later root change may replace the key, and a reader
	// that starts from a snapshot could not verify the change without it.
	rootChange Change
}

// NewHistory returns a history before the first record. The key signs changes of
// the root branch.
func NewHistory(root ed25519.PublicKey) *History {
	return &History{rootKey: root, state: emptyState()}
}

func emptyState() state {
	root := emptyRoot()
	return state{root: root, services: make(map[string][]Service), branches: make(map[string]branch), tree: newTree(root, nil)}
}

// Tree returns the tree after all records read. It is never nil.
func (h *History) Tree() *Tree { return h.state.tree }

// Offset is the offset of the first record that was not read. It never falls.
func (h *History) Offset() int64 { return h.next }

// Branch returns the content and revision of a branch. The revision is 0 if
// there was no change yet.
func (h *History) Branch(name string) (content string, revision int64) {
	b, ok := h.state.branches[name]
	if !ok {
		return "", 0
	}
	return b.change.content, b.change.Revision()
}

// Branches returns the names of all branches, the root first.
func (h *History) Branches() (names []string) {
	for name := range h.state.branches {
		if name != RootBranch {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if _, ok := h.state.branches[RootBranch]; ok {
		names = slices.Insert(names, 0, RootBranch)
	}
	return names
}

// Gap reports whether records before those held are missing.
func (h *History) Gap() bool { return len(h.held) > 0 }

// wanted is the offset of the next record to read from the log.
func (h *History) wanted() int64 {
	if len(h.held) > 0 {
		return h.held[len(h.held)-1].Offset + 1
	}
	return h.next
}

// Apply replays one record. Records are expected in order of offsets; those
// already read are passed over, and those after a gap are held until the gap is
// closed.
func (h *History) Apply(offset int64, data []byte) Verdict {
	switch {
	case offset < h.next:
		return Verdict{Kind: Covered, Offset: offset}
	case offset > h.next:
		return h.hold(offset, data)
	default:
		return h.replay(offset, data)
	}
}

// Check returns why the change would be rejected if it were the next record, or
// nil.
func (h *History) Check(c Change) error {
	_, err := h.state.accept(c, h.rootKey)
	return err
}

func (h *History) replay(offset int64, data []byte) Verdict {
	h.next = offset + 1
	h.keep(offset, data)
	r, err := decodeRecord(data)
	if err != nil {
		return Verdict{Kind: Rejected, Offset: offset, Reason: err.Error()}
	}
	if r.snapshot != nil {
		return h.noteSnapshot(offset, *r.snapshot)
	}
	if r.skip != nil {
		return Verdict{Kind: Rejected, Offset: offset, Reason: "skip of records, but none are missing"}
	}
	next, err := h.state.accept(*r.change, h.rootKey)
	if err != nil {
		return Verdict{Kind: Rejected, Offset: offset, Change: *r.change, Reason: err.Error()}
	}
	h.state = next
	return Verdict{Kind: Accepted, Offset: offset, Change: *r.change}
}

// accept returns the state after the change, or why it is rejected. The rule
// depends on nothing but the state and the change, so every node decides alike.
func (s state) accept(c Change, rootKey ed25519.PublicKey) (next state, err error) {
	if c.branch != c.team {
		return state{}, fmt.Errorf("team %q may not change branch %q", c.team, c.branch)
	}
	key := rootKey
	if c.branch != RootBranch {
		entry, known := s.root.teams[c.team]
		if !known {
			return state{}, fmt.Errorf("no team %q in the root branch", c.team)
		}
		key = entry.publicKey
	}
	if !c.Verify(key) {
		return state{}, fmt.Errorf("signature is not by the key of team %q", c.team)
	}
	if revision := s.branches[c.branch].revision(); c.base != revision {
		return state{}, fmt.Errorf("made from revision %d of branch %q, which is at revision %d", c.base, c.branch, revision)
	}
	return s.with(branch{change: c, rootChange: s.branches[RootBranch].change})
}

// revision of a branch without a change is 0.
func (b branch) revision() int64 {
	if b.change.id == "" {
		return 0
	}
	return b.change.Revision()
}

// with returns the state with one branch replaced, if the whole tree is valid.
func (s state) with(b branch) (next state, err error) {
	next = state{root: s.root, services: cloned(s.services), branches: cloned(s.branches)}
	next.branches[b.change.branch] = b
	if b.change.branch == RootBranch {
		err = next.parseAll()
	} else {
		d := &document{file: b.change.File().Name}
		next.services[b.change.branch] = parseBranch(d, b.change.branch, []byte(b.change.content), next.root)
		err = invalid(d)
	}
	if err != nil {
		return state{}, err
	}
	next.tree = newTree(next.root, next.services)
	return next, nil
}

// parseAll reads the root branch and all others under it. The branch of a team
// that the root no longer lists must be empty; it is kept for its revision, so
// that its old changes stay stale if the team comes back.
func (s *state) parseAll() error {
	rootFile := s.branches[RootBranch].change.File()
	rootDocument := &document{file: rootFile.Name}
	s.root = parseRoot(rootDocument, rootFile.Text)
	if err := invalid(rootDocument); err != nil {
		return err
	}
	var documents []*document
	for name, b := range s.branches {
		if name == RootBranch {
			continue
		}
		if _, listed := s.root.teams[name]; !listed && len(s.services[name]) == 0 {
			continue
		}
		d := &document{file: b.change.File().Name}
		documents = append(documents, d)
		s.services[name] = parseBranch(d, name, []byte(b.change.content), s.root)
	}
	return invalid(documents...)
}

// keep adds a record to the tail and drops the oldest ones beyond its bounds.
func (h *History) keep(offset int64, data []byte) {
	h.tail = append(h.tail, appendlog.Record{Offset: offset, Data: data})
	h.tail = trim(h.tail, maxTailRecords, maxTailBytes)
}

// hold keeps a record that comes after a gap.
func (h *History) hold(offset int64, data []byte) Verdict {
	if len(h.held) > 0 && offset < h.wanted() {
		return Verdict{Kind: Held, Offset: offset}
	}
	if offset != h.wanted() {
		h.held = nil
	}
	h.held = trim(append(h.held, appendlog.Record{Offset: offset, Data: data}), len(h.held)+1, maxHeldBytes)
	r, err := decodeRecord(data)
	switch {
	case err != nil || len(h.held) == 0:
		return Verdict{Kind: Held, Offset: offset}
	case r.skip != nil:
		return h.holdSkip(offset, *r.skip)
	case r.snapshot != nil:
		return h.holdSnapshot(offset, *r.snapshot)
	default:
		return Verdict{Kind: Held, Offset: offset}
	}
}

func (h *History) holdSnapshot(offset int64, wire snapshotWire) Verdict {
	// A snapshot helps only if the records after those it covers are at hand,
	// up to the snapshot itself. An old one, from a node that was paused while
	// it wrote, covers too little.
	if wire.Next < h.held[0].Offset || wire.Next > offset {
		return Verdict{Kind: Held, Offset: offset}
	}
	if err := h.restore(wire); err != nil {
		return Verdict{Kind: Held, Offset: offset, Reason: err.Error()}
	}
	return Verdict{Kind: Restored, Offset: offset, Replayed: h.release()}
}

// release replays the records held, once what lies before them was restored.
func (h *History) release() (verdicts []Verdict) {
	if len(h.held) == 0 || h.held[0].Offset > h.next {
		return nil
	}
	held := h.held
	h.held = nil
	for _, r := range held {
		if r.Offset >= h.next {
			verdicts = append(verdicts, h.replay(r.Offset, r.Data))
		}
	}
	return verdicts
}

// trim drops records from the front until count and bytes are within bounds.
func trim(records []appendlog.Record, maxCount, maxBytes int) []appendlog.Record {
	bytes := 0
	for i := len(records) - 1; i >= 0; i-- {
		bytes += len(records[i].Data)
		if bytes > maxBytes || len(records)-i > maxCount {
			return slices.Clone(records[i+1:])
		}
	}
	return records
}

func cloned[V any](m map[string]V) map[string]V {
	result := make(map[string]V, len(m)+1)
	for k, v := range m {
		result[k] = v
	}
	return result
}
