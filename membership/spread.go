package membership

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file decides which records a table sends to other nodes: changes a limited number
// of times, and whatever differs when digests are compared.

const (
	transmissionFactor = 3
	// confirmationsToStop is the number of times that a change must be received from
	// other nodes, or of exchanges between equal tables, until the change is no longer
	// sent. A node that missed the change receives it when digests are compared.
	confirmationsToStop = 3
)

// transmissions returns how many times each node sends a change.
func (t *Table) transmissions() int {
	return int(math.Ceil(transmissionFactor * math.Log2(float64(len(t.records)+1))))
}

// deltas returns the pending records that were sent least often, up to about
// the given number of bytes, and counts them as sent. It omits the nodes in
// exclude.
func (t *Table) deltas(now time.Time, budget int, exclude []update) (updates []update) {
	skip := make(map[string]bool, len(exclude))
	for _, u := range exclude {
		skip[u.Node] = true
	}
	pending := make([]*record, 0, len(t.pending))
	for node, r := range t.pending {
		if !skip[node] {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *record) int {
		if a.remainingSends != b.remainingSends {
			return b.remainingSends - a.remainingSends
		}
		return strings.Compare(a.Node, b.Node)
	})
	for _, r := range pending {
		u := r.update(now)
		if u.Health != Alive {
			u = u.healthOnly()
		}
		if budget -= u.estimatedSize(); budget < 0 && len(updates) > 0 {
			break
		}
		updates = append(updates, u)
		t.countSent(r, 1)
	}
	return updates
}

// countSent reduces the remaining transmissions of a record by n.
func (t *Table) countSent(r *record, n int) {
	if r.remainingSends -= n; r.remainingSends <= 0 {
		delete(t.pending, r.Node)
	}
}

// countEqualTables reduces the remaining transmissions of all pending records
// after an exchange with a node that has the same table.
func (t *Table) countEqualTables() {
	for _, r := range t.pending {
		t.countSent(r, t.confirmationWeight())
	}
}

// confirmationWeight returns the number of transmissions that are saved when
// another node is known to have a record.
func (t *Table) confirmationWeight() int {
	return (t.transmissions() + confirmationsToStop - 1) / confirmationsToStop
}

// checksum returns one hash of the whole table.
func (t *Table) checksum() (sum uint64) {
	for _, bucket := range t.buckets {
		sum ^= bucket
	}
	return sum
}

// allUpdates returns every record, up to about the given number of bytes.
func (t *Table) allUpdates(now time.Time, budget int) (updates []update) {
	for _, r := range t.records {
		if r.removed {
			continue
		}
		u := r.update(now)
		if budget -= u.estimatedSize(); budget < 0 {
			break
		}
		updates = append(updates, u)
	}
	return updates
}

// bucketTags returns the hashes of a bucket's records by node.
func (t *Table) bucketTags(bucket int) (tags map[string]uint32) {
	tags = map[string]uint32{}
	for node, r := range t.records {
		if !r.removed && bucketOf(node) == bucket {
			tags[node] = uint32(r.hash)
		}
	}
	return tags
}

// compareBucket compares a bucket with the tags that another node has sent for
// it. It returns the records that are missing or different on the other node,
// and the nodes that only the other node knows.
func (t *Table) compareBucket(now time.Time, bucket int, theirs map[string]uint32) (updates []update, missing []string) {
	ours := t.bucketTags(bucket)
	for node, tag := range ours {
		theirTag, known := theirs[node]
		switch u := t.records[node].update(now); {
		case !known || theirTag != tag && u.Health == Alive:
			updates = append(updates, u)
		case theirTag != tag:
			updates = append(updates, u.healthOnly())
		}
	}
	for node := range theirs {
		if _, known := ours[node]; !known {
			missing = append(missing, node)
		}
	}
	slices.Sort(missing)
	return updates, missing
}

func bucketOf(node string) int { return int(xxhash.Sum64String(node) % bucketCount) }
