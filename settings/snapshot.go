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

// Snapshot returns a record that holds the last accepted change of every branch and
// the offset up to which it covers the log. It includes the signatures, so that a
// reader need not trust the writer for the content.
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

// verifiable reports whether the change can be verified with the current keys.
func (h *History) verifiable(c Change) bool {
	return c.branch == RootBranch || c.Verify(h.state.root.teams[c.branch].publicKey)
}

// SnapshotDue reports whether the log has at least the given number of records that
// the last snapshot does not cover, or the last snapshot has at least the given age.
// A history without accepted changes needs no snapshot.
func (h *History) SnapshotDue(now time.Time, records int64, age time.Duration) bool {
	if len(h.state.branches) == 0 {
		return false
	}
	return h.next-h.lastSnapshotNext >= records || now.Sub(h.lastSnapshotTime) >= age
}

// recordSnapshot handles a snapshot that covers only records already replayed. It
// only changes the time at which the next snapshot is due.
func (h *History) recordSnapshot(offset int64, wire snapshotWire) Verdict {
	if wire.Next > offset {
		return Verdict{Kind: Rejected, Offset: offset, Reason: fmt.Sprintf("snapshot covers records up to offset %d, but is itself at offset %d", wire.Next, offset)}
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
	h.updateLastSnapshot(wire)
	return Verdict{Kind: SnapshotRead, Offset: offset}
}

// updateLastSnapshot records the snapshot's covered offset and its writing time rather
// than its own offset, so that a stale snapshot does not delay the next one.
func (h *History) updateLastSnapshot(wire snapshotWire) {
	if wire.Next < h.lastSnapshotNext {
		return
	}
	h.lastSnapshotNext = wire.Next
	h.lastSnapshotTime = time.UnixMilli(wire.WrittenAtMs)
}

// restore replaces the state by that of the snapshot. It returns an error if the
// offset or the revision of a branch would decrease.
func (h *History) restore(wire snapshotWire) (err error) {
	defer func() { err = eris.Wrap(err, "restore settings from snapshot") }()
	if wire.Next <= h.next {
		return fmt.Errorf("snapshot covers records up to offset %d, but records up to %d were already replayed", wire.Next, h.next)
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
			return fmt.Errorf("snapshot has a different change at revision %d of branch %q", b.revision(), name)
		}
	}
	h.state = restored
	h.next = wire.Next
	h.tail = nil
	h.updateLastSnapshot(wire)
	return nil
}

// verifySnapshot returns the state in the snapshot. Each change must be signed with
// the root key, or with a key listed in a root change that is signed with the root key.
func (h *History) verifySnapshot(wire snapshotWire) (s state, err error) {
	s = newState()
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
			return state{}, fmt.Errorf("snapshot has more than one change of branch %q", c.branch)
		}
		signer, ok := findSigningRoot(c, roots, h.rootKey)
		if !ok {
			return state{}, fmt.Errorf("change of branch %q is not signed with a key of its team", c.branch)
		}
		s.branches[c.branch] = branch{change: c, rootChange: signer}
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

// signingRoot is a root change and its parsed content, which lists the team keys.
type signingRoot struct {
	change Change
	parsed rootBranch
}

// verifyRoots returns the root changes of the snapshot, newest first.
func (h *History) verifyRoots(wire snapshotWire) (roots []signingRoot, err error) {
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
			return nil, fmt.Errorf("root change %s is not signed with the root key", c.id)
		}
		d := &document{file: c.File().Name}
		parsed := parseRoot(d, []byte(c.content))
		if err := problemsError(d); err != nil {
			return nil, err
		}
		roots = append(roots, signingRoot{change: c, parsed: parsed})
	}
	slices.SortFunc(roots, func(a, b signingRoot) int { return cmp.Compare(b.change.base, a.change.base) })
	if len(wire.Roots) > 0 && slices.ContainsFunc(wire.Roots, func(w changeWire) bool { return w.Base >= current.Base }) {
		return nil, fmt.Errorf("snapshot lists an earlier root change whose base revision is not below that of its current root change")
	}
	return roots, nil
}

// findSigningRoot returns the newest root change that lists the key by which c is
// signed. A change of the root branch is verified with the root key and returned
// itself.
func findSigningRoot(c Change, roots []signingRoot, rootKey ed25519.PublicKey) (signer Change, ok bool) {
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

// parseSnapshot parses the root branch and then all others. Branches of teams that
// the root branch does not list must be empty, as in [state.parseBranches].
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
			// The problem of the missing team is expected and ignored.
			if len(services) > 0 {
				return fmt.Errorf("branch %q has services, but its team is not listed in the root branch", name)
			}
			continue
		}
		documents = append(documents, d)
		s.services[name] = services
	}
	return problemsError(documents...)
}
