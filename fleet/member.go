// Package fleet maintains the list of a deployment's nodes, with the backend server
// beside each node and whether that server accepts new requests.
//
// # Usage
//
//	table := fleet.NewTable()
//	changed := table.Apply(member)
//	for _, m := range table.Members() { ... }
//
// Each node writes a record of itself to the platform's log service when its backend
// server becomes ready, changes or shuts down, and again after the log was restored from
// an earlier copy. [Directory] keeps the table up to date
// with the log service, and with records from other nodes while this node doesn't
// read the log or the log service rejects its requests. It also tracks whether the record of
// the local node outlasts this process, in the log or at other nodes (copies.go), and keeps
// the record that an earlier process wrote.
package fleet

import (
	"encoding/json"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/upstream"
)

// maxEpoch bounds the epoch of a record, which is usually a time in Unix milliseconds. Its
// node must still be able to count above it.
const maxEpoch = upstream.MaxStartMs

// Member is a node's record of itself and its backend server. It is written to the
// log service and sent between nodes as JSON.
type Member struct {
	Node string `json:"node"`
	// Epoch increases with each record of a node, across restarts of its process.
	Epoch int64 `json:"epoch"`
	// Address is the address at which the node receives requests and state exchanges
	// from other nodes.
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	// Instance and StartMs identify the incarnation of the backend server.
	Instance string `json:"instance,omitempty"`
	StartMs  int64  `json:"born,omitempty"`
	Slots    int    `json:"slots,omitempty"`
	// TakesWork is false until the backend server is ready and once it is shutting
	// down.
	TakesWork bool `json:"takesWork"`
	// Blocked holds requests that have crashed backend servers, in the encoding of package
	// mesh.
	Blocked string `json:"blocked,omitempty"`
}

// Check returns an error if a required field is missing or a field has a value that no
// node writes. All nodes must agree, so the result does not depend on the clock.
func (m Member) Check() (err error) {
	defer func() { err = eris.Wrap(err, "invalid record of a node") }()
	if m.Node == "" || m.Service == "" {
		return eris.Errorf("expected a node and a service, got %.80q and %.80q", m.Node, m.Service)
	}
	if m.Epoch <= 0 || m.Epoch > maxEpoch {
		return eris.Errorf("expected an epoch of 1 to %d, got %d", maxEpoch, m.Epoch)
	}
	if err = hop.CheckAddress(m.Address); err != nil {
		return err
	}
	return upstream.CheckBounds(m.StartMs, m.Slots, m.Node, m.Region, m.Zone, m.Service, m.Instance, m.Blocked)
}

// Outdates reports whether the records are of the same node and other would be ignored
// where m is known, although they differ. Nodes of earlier versions drop Blocked, so it does
// not count.
func (m Member) Outdates(other Member) bool {
	m.Blocked, other.Blocked = "", ""
	return m.Node == other.Node && m.Epoch >= other.Epoch && m != other
}

// DecodeMember decodes a record from JSON and checks it.
func DecodeMember(data []byte) (m Member, err error) {
	if err = json.Unmarshal(data, &m); err != nil {
		return Member{}, eris.Wrap(err, "decode the record of a node")
	}
	if err = m.Check(); err != nil {
		return Member{}, err
	}
	return m, nil
}

// Table holds the newest record of each node. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	members map[string]Member
	// changeCount counts the changes of the table. lastChange has, for each node,
	// the count at the last change of its record.
	changeCount int64
	lastChange  map[string]int64
	nextChange  chan struct{}
	// droppedEpochs has the last epoch of each dropped node. Records up to that
	// epoch are ignored.
	droppedEpochs map[string]int64
	digest        uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		members: make(map[string]Member), droppedEpochs: make(map[string]int64),
		lastChange: make(map[string]int64), nextChange: make(chan struct{}),
	}
}

// Apply stores a record if it is newer than the known record of the node.
func (t *Table) Apply(m Member) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.members[m.Node]
	if known && m.Epoch <= old.Epoch || m.Epoch <= t.droppedEpochs[m.Node] {
		return false
	}
	if known {
		t.digest ^= digestOf(old)
	}
	t.members[m.Node] = m
	t.digest ^= digestOf(m)
	t.changeCount++
	t.lastChange[m.Node] = t.changeCount
	close(t.nextChange)
	t.nextChange = make(chan struct{})
	return true
}

// Since returns the records whose last change came after the change count seen, the
// current change count, and a channel that is closed at the next change.
func (t *Table) Since(seen int64) (members []Member, changes int64, next <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node, change := range t.lastChange {
		if change > seen {
			members = append(members, t.members[node])
		}
	}
	return members, t.changeCount, t.nextChange
}

// Get returns the record of a node.
func (t *Table) Get(node string) (m Member, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok = t.members[node]
	return m, ok
}

// Drop removes a node that has left the deployment permanently.
func (t *Table) Drop(node string) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.members[node]
	if !known {
		return false
	}
	t.digest ^= digestOf(old)
	t.droppedEpochs[node] = old.Epoch
	delete(t.members, node)
	delete(t.lastChange, node)
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

// Digest returns a hash of the nodes and their epochs, independent of their order.
// Tables with equal records have equal digests.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

func digestOf(m Member) uint64 {
	// FNV-1a over the name, followed by the epoch as one block.
	h := uint64(14695981039346656037)
	for i := range len(m.Node) {
		h = (h ^ uint64(m.Node[i])) * 1099511628211
	}
	return (h ^ uint64(m.Epoch)) * 1099511628211
}
