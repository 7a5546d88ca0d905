package settings

import (
	"cmp"
	"crypto/ed25519"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Snapshot returns a record that holds the last accepted change of every branch,
// with the offset that it covers. The signatures go with it, so that a reader
// need not trust the writer for the content.
func (h *History) Snapshot(now time.Time) (data []byte, err error) {
	wire := h.snapshotWire(now)
	return marshal(recordWire{Snapshot: &wire})
}

func (h *History) snapshotWire(now time.Time) snapshotWire {
	wire := snapshotWire{Next: h.next, WrittenAtMs: now.UnixMilli(), Branches: []changeWire{}}
	roots := make(map[int64]Change)
	for _, name := range slices.Sorted(maps.Keys(h.state.branches)) {
		b := h.state.branches[name]
		wire.Branches = append(wire.Branches, b.change.wire())
		if !h.verifiable(b.change) {
			roots[b.rootChange.Revision()] = b.rootChange
		}
	}
	for _, revision := range slices.Sorted(maps.Keys(roots)) {
		wire.Roots = append(wire.Roots, roots[revision].wire())
	}
	return wire
}

// verifiable reports whether the keys now in force verify the change.
func (h *History) verifiable(c Change) bool {
	return c.branch == RootBranch || c.Verify(h.state.root.teams[c.branch].publicKey)
}

// SnapshotDue reports whether enough records or time have passed since the last
// snapshot for another one. A history without accepted changes needs none.
func (h *History) SnapshotDue(now time.Time, records int64, age time.Duration) bool {
	if len(h.state.branches) == 0 {
		return false
	}
	return h.next-h.snapshotNext >= records || now.Sub(h.snapshotAt) >= age
}

// noteSnapshot handles a snapshot that comes after everything it covers was
// read. It changes nothing but when the next one is due.
func (h *History) noteSnapshot(offset int64, wire snapshotWire) Verdict {
	if wire.Next > offset {
		return Verdict{Kind: Rejected, Offset: offset, Reason: fmt.Sprintf("snapshot covers up to offset %d but stands at %d", wire.Next, offset)}
	}
	restored, err := h.verifySnapshot(wire)
	if err != nil {
		return Verdict{Kind: Rejected, Offset: offset, Reason: err.Error()}
	}
	for name, b := range restored.branches {
		if own := h.state.branches[name].revision(); b.revision() > own {
			reason := fmt.Sprintf("snapshot has revision %d of branch %q, which is at revision %d", b.revision(), name, own)
			return Verdict{Kind: Rejected, Offset: offset, Reason: reason}
		}
	}
	h.countSnapshot(wire)
	return Verdict{Kind: SnapshotRead, Offset: offset}
}

// countSnapshot counts a snapshot by what it covers and when it was written, not
// by where it stands. A stale one thus does not delay the next.
func (h *History) countSnapshot(wire snapshotWire) {
	if wire.Next < h.snapshotNext {
		return
	}
	h.snapshotNext = wire.Next
	h.snapshotAt = time.UnixMilli(wire.WrittenAtMs)
}

// restore moves the history to what the snapshot covers. It never moves back:
// neither the offset nor the revision of any branch may fall.
func (h *History) restore(wire snapshotWire) (err error) {
	defer func() { err = eris.Wrap(err, "restore settings from a snapshot") }()
	if wire.Next <= h.next {
		return fmt.Errorf("snapshot covers up to offset %d, but all records up to %d were read", wire.Next, h.next)
	}
	restored, err := h.verifySnapshot(wire)
	if err != nil {
		return err
	}
	for name, b := range h.state.branches {
		other := restored.branches[name]
		if other.revision() < b.revision() {
			return fmt.Errorf("snapshot has revision %d of branch %q, which is at revision %d", other.revision(), name, b.revision())
		}
		if other.revision() == b.revision() && other.change.id != b.change.id {
			return fmt.Errorf("snapshot has another change at revision %d of branch %q", b.revision(), name)
		}
	}
	h.state = restored
	h.next = wire.Next
	h.tail = nil
	h.countSnapshot(wire)
	return nil
}

// verifySnapshot returns the state that the snapshot holds. Each change must be
// signed by a key that the root key vouches for.
func (h *History) verifySnapshot(wire snapshotWire) (s state, err error) {
	s = emptyState()
	roots, err := h.verifyRoots(wire)
	if err != nil {
		return state{}, err
	}
	for _, entry := range wire.Branches {
		c, err := entry.change()
		if err != nil {
			return state{}, err
		}
		if _, twice := s.branches[c.branch]; twice {
			return state{}, fmt.Errorf("snapshot has branch %q twice", c.branch)
		}
		vouching, ok := voucher(c, roots, h.rootKey)
		if !ok {
			return state{}, fmt.Errorf("signature of the change of branch %q is not by a key of its team", c.branch)
		}
		s.branches[c.branch] = branch{change: c, rootChange: vouching}
	}
	if len(s.branches) == 0 {
		return s, nil
	}
	if _, ok := s.branches[RootBranch]; !ok {
		return state{}, fmt.Errorf("snapshot lacks the branch %q", RootBranch)
	}
	if err := s.parseSnapshot(); err != nil {
		return state{}, err
	}
	s.tree = newTree(s.root, s.services)
	return s, nil
}

// vouchingRoot is a root change with the keys it lists.
type vouchingRoot struct {
	change Change
	parsed rootBranch
}

// verifyRoots returns the root changes of the snapshot, the newest first.
func (h *History) verifyRoots(wire snapshotWire) (roots []vouchingRoot, err error) {
	entries := slices.Clone(wire.Roots)
	var current changeWire
	for _, entry := range wire.Branches {
		if entry.Branch == RootBranch {
			current = entry
			entries = append(entries, entry)
		}
	}
	for _, entry := range entries {
		c, err := entry.change()
		if err != nil {
			return nil, err
		}
		if c.branch != RootBranch || c.team != RootBranch || !c.Verify(h.rootKey) {
			return nil, fmt.Errorf("root change %s is not signed by the root key", c.id)
		}
		d := &document{file: c.File().Name}
		parsed := parseRoot(d, []byte(c.content))
		if err := invalid(d); err != nil {
			return nil, err
		}
		roots = append(roots, vouchingRoot{change: c, parsed: parsed})
	}
	slices.SortFunc(roots, func(a, b vouchingRoot) int { return cmp.Compare(b.change.base, a.change.base) })
	if len(wire.Roots) > 0 && slices.ContainsFunc(wire.Roots, func(w changeWire) bool { return w.Base >= current.Base }) {
		return nil, fmt.Errorf("snapshot lists a replaced root change that is newer than its root branch")
	}
	return roots, nil
}

// voucher returns the newest root change whose key for the team signed c.
func voucher(c Change, roots []vouchingRoot, rootKey ed25519.PublicKey) (vouching Change, ok bool) {
	if c.team != c.branch {
		return Change{}, false
	}
	if c.branch == RootBranch {
		return c, c.Verify(rootKey)
	}
	for _, root := range roots {
		if entry, listed := root.parsed.teams[c.team]; listed && c.Verify(entry.publicKey) {
			return root.change, true
		}
	}
	return Change{}, false
}

// parseSnapshot reads all branches under the root branch. Branches of teams that
// the root does not list must be empty, as in [state.parseAll].
func (s *state) parseSnapshot() error {
	root := s.branches[RootBranch].change.File()
	d := &document{file: root.Name}
	s.root = parseRoot(d, root.Text)
	documents := []*document{d}
	for name, b := range s.branches {
		if name == RootBranch {
			continue
		}
		d := &document{file: b.change.File().Name}
		services := parseBranch(d, name, []byte(b.change.content), s.root)
		if _, listed := s.root.teams[name]; !listed {
			// Only the complaint about the missing team is expected here.
			if len(services) > 0 {
				return fmt.Errorf("branch %q of a team that the root branch does not list has services", name)
			}
			continue
		}
		documents = append(documents, d)
		s.services[name] = services
	}
	return invalid(documents...)
}
