package quota

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Nodes is a set of nodes, among which the keepers of each workspace are chosen. The keepers
// of a workspace are spread over the regions: callers come from all of them, and an exchange
// with another region takes 40 ms and is charged by the byte.
type Nodes struct {
	names []string
	// hashes has the hashes of the names, and regions the regions of the nodes.
	hashes  []uint64
	regions []string
	// regionCount is the number of different regions.
	regionCount int
}

// NewNodes returns the set of the nodes with the names, which may be in any order, in one
// region.
func NewNodes(names []string) Nodes {
	regionOf := make(map[string]string, len(names))
	for _, name := range names {
		regionOf[name] = ""
	}
	return NewNodesInRegions(regionOf)
}

// NewNodesInRegions returns the set of the nodes with the names that are the keys, in the
// regions that are the values.
func NewNodesInRegions(regionOf map[string]string) Nodes {
	n := Nodes{names: slices.Sorted(maps.Keys(regionOf))}
	for _, name := range n.names {
		n.hashes = append(n.hashes, xxhash.Sum64String(name))
		n.regions = append(n.regions, regionOf[name])
	}
	n.regionCount = len(slices.Compact(slices.Sorted(slices.Values(n.regions))))
	return n
}

// Equal reports whether the sets have the same nodes.
func (n Nodes) Equal(other Nodes) bool {
	return slices.Equal(n.names, other.names) && slices.Equal(n.regions, other.regions)
}

// Len returns the number of nodes.
func (n Nodes) Len() int { return len(n.names) }

// Keepers returns up to the number of nodes that are the keepers of a workspace, in the order
// of their rank. A cap of fewer keepers has the first ones.
func (n Nodes) Keepers(workspace string, number int) (keepers []string) {
	for _, index := range n.ranked(workspace)[:min(number, len(n.names))] {
		keepers = append(keepers, n.names[index])
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
	return slices.Index(n.ranked(workspace), own), true
}

// ranked returns the indexes of all nodes in the order in which they are keepers of the
// workspace: the first of each region by the rendezvous hash, then the second of each, and so
// on.
func (n Nodes) ranked(workspace string) (indexes []int) {
	workspaceHash := xxhash.Sum64String(workspace)
	scores := make([]uint64, len(n.names))
	for i, hash := range n.hashes {
		scores[i] = score(workspaceHash, hash)
		indexes = append(indexes, i)
	}
	byScore := func(a, b int) int { return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b)) }
	slices.SortFunc(indexes, byScore)
	// rounds has, for each node, the number of nodes of its region that come before it.
	rounds, inRegion := make([]int, len(n.names)), make(map[string]int)
	for _, i := range indexes {
		rounds[i] = inRegion[n.regions[i]]
		inRegion[n.regions[i]]++
	}
	slices.SortFunc(indexes, func(a, b int) int { return cmp.Or(cmp.Compare(rounds[a], rounds[b]), byScore(a, b)) })
	return indexes
}

// score returns the rendezvous hash of a workspace and a node.
func score(workspaceHash, nodeHash uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], workspaceHash)
	binary.LittleEndian.PutUint64(both[8:], nodeHash)
	return xxhash.Sum64(both[:])
}
