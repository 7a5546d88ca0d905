package settings

import (
	"crypto/ed25519"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingslip/lacewingslip/appendlog"
)

const (
	// maxTailRecords and maxTailBytes bound the tail. Nodes that lack a few changes
	// receive the tail rather than a snapshot, which is many times larger than a
	// change.
	maxTailRecords = 256
	maxTailBytes   = 1 << 20

	// maxHeldBytes bounds the records that are buffered while earlier ones are
	// missing.
	maxHeldBytes = 32 << 20
)

// VerdictKind is the result of applying a record.
type VerdictKind uint8

const (
	// Rejected means that the record is invalid and has no effect.
	Rejected VerdictKind = iota
	// Accepted means that the change took effect.
	Accepted
	// SnapshotRead means that the snapshot covers only records already replayed.
	SnapshotRead
	// Restored means that a snapshot or skip closed a gap.
	Restored
	// Covered means that the record is before the history's offset and was ignored.
	Covered
	// Held means that earlier records are missing, so this one is buffered.
	Held
)

var verdictKindNames = [...]string{
	Rejected: "rejected", Accepted: "accepted", SnapshotRead: "snapshotRead", Restored: "restored", Covered: "covered", Held: "held",
}

// String returns the kind's name, such as snapshotRead.
func (k VerdictKind) String() string {
	if int(k) >= len(verdictKindNames) {
		return fmt.Sprintf("invalid(%d)", int(k))
	}
	return verdictKindNames[k]
}

// Verdict is the result of applying one record.
type Verdict struct {
	// Kind is the kind of result.
	Kind VerdictKind
	// Offset is the offset of the record.
	Offset int64
	// Change is the change that was accepted or rejected. It has no ID if the
	// record could not be decoded or is not a change.
	Change Change
	// Reason explains why the record was rejected, or why a snapshot or skip did
	// not close a gap.
	Reason string
	// Replayed holds the verdicts of buffered records that were replayed because
	// this record closed the gap before them.
	Replayed []Verdict
}

// History replays the settings stream. All nodes that read the same records derive
// the same tree. It is not safe for concurrent use.
type History struct {
	rootKey ed25519.PublicKey
	next    int64
	state   state

	// tail holds the last records before next. It is sent to nodes that have read
	// fewer records.
	tail []appendlog.Record
	// held buffers consecutive records after a gap. They are replayed once a
	// snapshot, a skip or a peer's records have closed the gap.
	held []appendlog.Record

	lastSnapshotNext int64
	lastSnapshotTime time.Time
}

// state is the result of all accepted changes.
type state struct {
	root     rootBranch
	services map[string][]Service
	branches map[string]branch
	tree     *Tree
}

// branch is the last accepted change of a branch.
type branch struct {
	change Change
	// rootChange is the root change that lists the key by which change is signed.
	// A later root change may replace the key, and a reader that starts from a
	// snapshot could not verify the change without the old root change.
	rootChange Change
}

// NewHistory returns an empty history. Changes of the root branch must be signed by
// the root key.
func NewHistory(root ed25519.PublicKey) *History {
	return &History{rootKey: root, state: newState()}
}

func newState() state {
	root := defaultRoot()
	return state{root: root, services: make(map[string][]Service), branches: make(map[string]branch), tree: newTree(root, nil)}
}

// Tree returns the tree after all replayed records. It is never nil.
func (h *History) Tree() *Tree { return h.state.tree }

// Offset returns the offset of the next record to replay. It never decreases.
func (h *History) Offset() int64 { return h.next }

// Branch returns the content and revision of a branch. The revision is 0 if the
// branch has never been changed.
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

// Gap reports whether records are buffered because earlier ones are missing.
func (h *History) Gap() bool { return len(h.held) > 0 }

// nextToRead returns the offset of the next record to read from the log, which is
// after the buffered records.
func (h *History) nextToRead() int64 {
	if len(h.held) > 0 {
		return h.held[len(h.held)-1].Offset + 1
	}
	return h.next
}

// Apply replays one record. Records are expected in order of offsets. Those
// already replayed are ignored, and those after a gap are buffered until the gap
// is closed.
func (h *History) Apply(offset int64, data []byte) Verdict {
	switch {
	case offset < h.next:
		return Verdict{Kind: Covered, Offset: offset}
	case offset > h.next:
		return h.holdRecord(offset, data)
	default:
		return h.replay(offset, data)
	}
}

// Check returns the error for which the change would be rejected if it were the
// next record, or nil.
func (h *History) Check(c Change) error {
	_, err := h.state.accept(c, h.rootKey)
	return err
}

func (h *History) replay(offset int64, data []byte) Verdict {
	h.next = offset + 1
	h.appendTail(offset, data)
	r, err := decodeRecord(data)
	if err != nil {
		return Verdict{Kind: Rejected, Offset: offset, Reason: err.Error()}
	}
	if r.snapshot != nil {
		return h.recordSnapshot(offset, *r.snapshot)
	}
	if r.skip != nil {
		return Verdict{Kind: Rejected, Offset: offset, Reason: "skip record has no effect: no records are missing"}
	}
	next, err := h.state.accept(*r.change, h.rootKey)
	if err != nil {
		return Verdict{Kind: Rejected, Offset: offset, Change: *r.change, Reason: err.Error()}
	}
	h.state = next
	return Verdict{Kind: Accepted, Offset: offset, Change: *r.change}
}

// accept returns the state after the change, or an error if the change is
// rejected. The result depends only on the state, the change and the root key, so
// all nodes decide in the same way.
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
	return s.withBranch(branch{change: c, rootChange: s.branches[RootBranch].change})
}

// revision returns the branch's revision, which is 0 without a change.
func (b branch) revision() int64 {
	if b.change.id == "" {
		return 0
	}
	return b.change.Revision()
}

// withBranch returns a copy of the state with one branch replaced, or an error if
// the resulting tree is invalid.
func (s state) withBranch(b branch) (next state, err error) {
	next = state{root: s.root, services: cloneMap(s.services), branches: cloneMap(s.branches)}
	next.branches[b.change.branch] = b
	if b.change.branch == RootBranch {
		err = next.parseBranches()
	} else {
		d := &document{file: b.change.File().Name}
		next.services[b.change.branch] = parseBranch(d, b.change.branch, []byte(b.change.content), next.root)
		err = problemsError(d)
	}
	if err != nil {
		return state{}, err
	}
	next.tree = newTree(next.root, next.services)
	return next, nil
}

// parseBranches parses the root branch and then all others. If the root branch no
// longer lists a team, the team's branch must be empty. The branch is
// retained for its revision, so that its old changes remain stale if the team is added
// again.
func (s *state) parseBranches() error {
	rootFile := s.branches[RootBranch].change.File()
	rootDocument := &document{file: rootFile.Name}
	s.root = parseRoot(rootDocument, rootFile.Text)
	if err := problemsError(rootDocument); err != nil {
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
	return problemsError(documents...)
}

// appendTail adds a record to the tail and drops the oldest records that exceed
// the tail's bounds.
func (h *History) appendTail(offset int64, data []byte) {
	h.tail = append(h.tail, appendlog.Record{Offset: offset, Data: data})
	h.tail = trimFront(h.tail, maxTailRecords, maxTailBytes)
}

// holdRecord buffers a record after a gap, and closes the gap if the record is a
// suitable snapshot or skip.
func (h *History) holdRecord(offset int64, data []byte) Verdict {
	if len(h.held) > 0 && offset < h.nextToRead() {
		return Verdict{Kind: Held, Offset: offset}
	}
	if offset != h.nextToRead() {
		h.held = nil
	}
	h.held = trimFront(append(h.held, appendlog.Record{Offset: offset, Data: data}), len(h.held)+1, maxHeldBytes)
	r, err := decodeRecord(data)
	switch {
	case err != nil || len(h.held) == 0:
		return Verdict{Kind: Held, Offset: offset}
	case r.skip != nil:
		return h.applySkip(offset, *r.skip)
	case r.snapshot != nil:
		return h.restoreFromSnapshot(offset, *r.snapshot)
	default:
		return Verdict{Kind: Held, Offset: offset}
	}
}

func (h *History) restoreFromSnapshot(offset int64, wire snapshotWire) Verdict {
	// A snapshot can close the gap only if all records between those it covers and
	// the snapshot itself are buffered. A stale one, written by a node that was
	// paused before the write, covers too few records.
	if wire.Next < h.held[0].Offset || wire.Next > offset {
		return Verdict{Kind: Held, Offset: offset}
	}
	if err := h.restore(wire); err != nil {
		return Verdict{Kind: Held, Offset: offset, Reason: err.Error()}
	}
	return Verdict{Kind: Restored, Offset: offset, Replayed: h.replayHeld()}
}

// replayHeld replays the buffered records if the gap before them is closed.
func (h *History) replayHeld() (verdicts []Verdict) {
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

// trimFront drops the oldest records until count and size are within the bounds.
func trimFront(records []appendlog.Record, maxCount, maxBytes int) []appendlog.Record {
	bytes := 0
	for i := len(records) - 1; i >= 0; i-- {
		bytes += len(records[i].Data)
		if bytes > maxBytes || len(records)-i > maxCount {
			return slices.Clone(records[i+1:])
		}
	}
	return records
}

func cloneMap[V any](m map[string]V) map[string]V {
	result := make(map[string]V, len(m)+1)
	for k, v := range m {
		result[k] = v
	}
	return result
}
