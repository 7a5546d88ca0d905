package quota

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Nodes is a set of nodes, among which the keepers of each workspace are chosen.
type Nodes struct {
	names []string
	// hashes has the hashes of the names.
	hashes []uint64
}

// NewNodes returns the set of the nodes with the names, which may be in any order.
func NewNodes(names []string) Nodes {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	n := Nodes{names: names, hashes: make([]uint64, len(names))}
	for i, name := range names {
		n.hashes[i] = xxhash.Sum64String(name)
	}
	return n
}

// Equal reports whether the sets have the same nodes.
func (n Nodes) Equal(other Nodes) bool { return slices.Equal(n.names, other.names) }

// Len returns the number of nodes.
func (n Nodes) Len() int { return len(n.names) }

// Keepers returns up to the number of nodes that are the keepers of a workspace, in the order
// of their rank. A cap of fewer keepers has the first ones.
func (n Nodes) Keepers(workspace string, number int) (keepers []string) {
	type ranked struct {
		index int
		score uint64
	}
	workspaceHash := xxhash.Sum64String(workspace)
	all := make([]ranked, len(n.names))
	for i := range n.names {
		all[i] = ranked{i, score(workspaceHash, n.hashes[i])}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
	})
	for _, r := range all[:min(number, len(all))] {
		keepers = append(keepers, n.names[r.index])
	}
	return keepers
}

// rank returns how many nodes come before the node as keepers of the workspace. ok is false
// if the set does not have the node.
func (n Nodes) rank(workspace, node string) (rank int, ok bool) {
	own, ok := slices.BinarySearch(n.names, node)
	if !ok {
		return 0, false
	}
	workspaceHash := xxhash.Sum64String(workspace)
	ownScore := score(workspaceHash, n.hashes[own])
	for i, hash := range n.hashes {
		if s := score(workspaceHash, hash); s > ownScore || s == ownScore && i < own {
			rank++
		}
	}
	return rank, true
}

// score returns the rendezvous hash of a workspace and a node.
func score(workspaceHash, nodeHash uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], workspaceHash)
	binary.LittleEndian.PutUint64(both[8:], nodeHash)
	return xxhash.Sum64(both[:])
}
