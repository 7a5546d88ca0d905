// Package fleet knows the nodes of a deployment: which backend server stands
// beside each of them, and whether it takes work.
//
// # Usage
//
//	table := fleet.NewTable()
//	changed := table.Apply(member)
//	for _, m := range table.Members() { ... }
//
// Each node writes one record of itself to the platform's log when its backend
// server starts to take work, changes or leaves. [Directory] keeps the table up
// to date with the log and, while the log turns this node away, with other
// nodes.
package fleet

import (
	"encoding/json"
	"sync"

	"github.com/rotisserie/eris"
)

// Member is what a node says about itself and its backend server. It is written
// to the log and sent between nodes as JSON.
type Member struct {
	Node string `json:"node"`
	// Epoch rises with each record of a node, over all its processes.
	Epoch int64 `json:"epoch"`
	// Address takes calls and messages of other nodes.
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	// Instance and Born name the lifetime of the backend server.
	Instance string `json:"instance,omitempty"`
	Born     int64  `json:"born,omitempty"`
	Slots    int    `json:"slots,omitempty"`
	// TakesWork is false while the backend server leaves or has not started.
	TakesWork bool `json:"takesWork"`
}

// Check returns what is missing in a record of another writer.
func (m Member) Check() (err error) {
	if m.Node == "" || m.Address == "" || m.Service == "" || m.Epoch <= 0 {
		return eris.Errorf("a record of a node needs node, address, service and epoch; it has %+v", m)
	}
	return nil
}

// DecodeMember reads a record.
func DecodeMember(data []byte) (m Member, err error) {
	if err = json.Unmarshal(data, &m); err != nil {
		return Member{}, eris.Wrap(err, "decode the record of a node")
	}
	return m, m.Check()
}

// Table holds the newest record of each node. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	members map[string]Member
	// changes numbers the changes of the table, and changedAt has the number of
	// the last change of each node.
	changes   int64
	changedAt map[string]int64
	changed   chan struct{}
	// dropped has the last epoch of nodes that have left.
	dropped map[string]int64
	digest  uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		members: make(map[string]Member), dropped: make(map[string]int64),
		changedAt: make(map[string]int64), changed: make(chan struct{}),
	}
}

// Apply takes a record in if it is newer than the known one.
func (t *Table) Apply(m Member) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.members[m.Node]
	if known && m.Epoch <= old.Epoch || m.Epoch <= t.dropped[m.Node] {
		return false
	}
	if known {
		t.digest ^= digestOf(old)
	}
	t.members[m.Node] = m
	t.digest ^= digestOf(m)
	t.changes++
	t.changedAt[m.Node] = t.changes
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// Since returns the records that have changed after a number of changes, the
// present number, and a channel that is closed at the next change.
func (t *Table) Since(seen int64) (members []Member, changes int64, next <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node, at := range t.changedAt {
		if at > seen {
			members = append(members, t.members[node])
		}
	}
	return members, t.changes, t.changed
}

// Get returns the record of a node.
func (t *Table) Get(node string) (m Member, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok = t.members[node]
	return m, ok
}

// Drop removes a node that has left for good.
func (t *Table) Drop(node string) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.members[node]
	if !known {
		return false
	}
	t.digest ^= digestOf(old)
	t.dropped[node] = old.Epoch
	delete(t.members, node)
	delete(t.changedAt, node)
	return true
}

// Members returns all records.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		members = append(members, m)
	}
	return members
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members)
}

// Digest is equal for tables with equal records.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

func digestOf(m Member) uint64 {
	// FNV-1a over the name, mixed with the epoch.
	h := uint64(14695981039346656037)
	for i := range len(m.Node) {
		h = (h ^ uint64(m.Node[i])) * 1099511628211
	}
	return (h ^ uint64(m.Epoch)) * 1099511628211
}
