package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// clockDriftDivisor is the inverse of the largest relative difference between the
// clock rates of two VMs.
const clockDriftDivisor = 1000

// record is what a table holds of one node.
type record struct {
	fields
	health Health
	// healthSince is the time of the last change of health, by the local clock.
	healthSince time.Time
	// remainingSends is the number of times that the record is still to be sent.
	remainingSends int
	// removed marks a tombstone, which is retained only to reject older updates.
	removed bool
	// lastAgeSeconds is the last known age of the incarnation, from its entry or
	// from the node itself, and lastAgeAt is the local time at which it was received.
	lastAgeSeconds uint32
	lastAgeAt      time.Time
	hash           uint64
}

// observeAge stores a received age if it is above the local lower bound.
func (r *record) observeAge(now time.Time, seconds uint32) {
	if seconds > r.minAge(now) {
		r.lastAgeSeconds, r.lastAgeAt = seconds, now
	}
}

// minAge returns a lower bound of the incarnation's age in seconds, which holds
// even if the node's clock is slower than the local one.
func (r *record) minAge(now time.Time) (seconds uint32) {
	since := now.Sub(r.lastAgeAt)
	since -= since/clockDriftDivisor + time.Second
	if since <= 0 {
		return r.lastAgeSeconds
	}
	return r.lastAgeSeconds + uint32(since/time.Second)
}

func (r *record) member() Member { return Member{Entry{r.fields}, r.health} }

func (r *record) update(now time.Time) update {
	u := update{fields: r.fields, Health: r.health}
	// The age of a suspicion is not sent: each node starts suspicionTimeout when
	// it receives the suspicion. This distributes the last probes of all nodes
	// over the time in which the suspicion reaches them.
	if r.health > Suspect {
		u.HealthSeconds = max(0, int64(now.Sub(r.healthSince)/time.Second))
	}
	if r.removed {
		u.HealthSeconds += int64(retention(r.health) / time.Second)
	}
	return u
}

// computeHash hashes the fields that order the updates of one node.
func (r *record) computeHash() uint64 {
	data := append([]byte(r.Node), 0)
	data = binary.BigEndian.AppendUint64(data, uint64(r.StartedMS))
	data = binary.BigEndian.AppendUint64(data, r.Incarnation)
	data = binary.BigEndian.AppendUint64(data, r.Version)
	return max(1, xxhash.Sum64(append(data, byte(r.health))))
}

func (u update) healthAge() time.Duration { return time.Duration(u.HealthSeconds) * time.Second }

// estimatedSize returns the approximate number of bytes of the update in a
// message.
func (u update) estimatedSize() int {
	const fixedBytes = 150
	if u.isHealthOnly() {
		return fixedBytes/2 + len(u.Node)
	}
	return fixedBytes + len(u.Node) + len(u.Peer) + len(u.Caller) + len(u.Operator) +
		len(u.Region) + len(u.Zone) + len(u.Service)
}
