// Package membership maintains in each node a table of all nodes: their addresses,
// the state of their backend servers, and whether they can be reached. It uses a
// gossip protocol with direct and indirect probes, similar to SWIM.
//
// [Table] holds the entries and the rules for merging them. It does no I/O, and
// takes the time and the random source as arguments. [Gossip] exchanges the
// table's entries with other nodes over HTTP and probes the nodes.
//
// # Usage
//
//	gossip := membership.New(self, membership.WithSeeds("10.0.0.1:7002"), membership.WithJournal(log))
//	router.PathPrefix("/lacewingslip/v1/membership/").Handler(gossip.Handler())
//	go gossip.Run(ctx)
//	gossip.Announce(membership.Backend{Service: "orders", Address: "127.0.0.1:8080", Slots: 50})
//	for _, member := range gossip.Members() {
//		if member.Health.Routable() && member.State() == membership.Ready { ... }
//	}
//	err := gossip.Leave(ctx)
package membership

import (
	"cmp"
	"fmt"
	"time"
)

// State is the state of a node's backend server.
type State uint8

const (
	// Absent means that no backend server has announced itself.
	Absent State = iota
	// Starting means that the backend server runs but accepts no calls yet.
	Starting
	// Ready means that the backend server accepts calls.
	Ready
	// Draining means that the backend server completes the calls in progress and
	// accepts no new ones.
	Draining
	// Gone means that the backend server has failed or has exited.
	Gone
)

var stateNames = []string{Absent: "absent", Starting: "starting", Ready: "ready", Draining: "draining", Gone: "gone"}

// String returns the state's name as it is encoded in messages.
func (s State) String() string { return nameOf(stateNames, int(s)) }

// MarshalText encodes the state as its name.
func (s State) MarshalText() (text []byte, err error) { return []byte(s.String()), nil }

// UnmarshalText decodes the state from its name.
func (s *State) UnmarshalText(text []byte) (err error) {
	i, err := indexOfName(stateNames, "state", string(text))
	*s = State(i)
	return err
}

// Health describes whether a node can be reached. Of two values for the same version
// of an entry the higher one takes precedence, until the node that owns the entry
// raises the version.
type Health uint8

const (
	// Alive means that the node is not suspected of a failure.
	Alive Health = iota
	// Suspect means that the node answered neither a direct nor an indirect
	// probe. Calls are still routed to it.
	Suspect
	// Unreachable means that a suspect did not refute the suspicion in time. The
	// node is excluded from routing until it refutes the suspicion.
	Unreachable
	// Left means that the node announced its own shutdown.
	Left
)

var healthNames = []string{Alive: "alive", Suspect: "suspect", Unreachable: "unreachable", Left: "left"}

// Routable reports whether calls may be sent to a node of this health.
func (h Health) Routable() bool { return h == Alive || h == Suspect }

// String returns the health's name as it is encoded in messages.
func (h Health) String() string { return nameOf(healthNames, int(h)) }

// MarshalText encodes the health as its name.
func (h Health) MarshalText() (text []byte, err error) { return []byte(h.String()), nil }

// UnmarshalText decodes the health from its name.
func (h *Health) UnmarshalText(text []byte) (err error) {
	i, err := indexOfName(healthNames, "health", string(text))
	*h = Health(i)
	return err
}

// Entry describes one incarnation of a node. Only that node changes the entry,
// and it raises the version with each change.
type Entry struct {
	f fields
}

// fields is the encoding of an entry in messages.
type fields struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation,string"`
	StartedMS   int64  `json:"started"`
	Version     uint64 `json:"version"`
	Peer        string `json:"peer,omitempty"`
	Caller      string `json:"caller,omitempty"`
	Operator    string `json:"operator,omitempty"`
	Region      string `json:"region,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Service     string `json:"service,omitempty"`
	State       State  `json:"state,omitzero"`
	Slots       int    `json:"slots,omitempty"`
	AgeSeconds  uint32 `json:"age,omitempty"`
}

// Node returns the node's ID.
func (e Entry) Node() string { return e.f.Node }

// Incarnation returns the random number that the node drew when it started.
func (e Entry) Incarnation() uint64 { return e.f.Incarnation }

// Started returns the start time of the incarnation by the node's own clock. The
// incarnations of one node are ordered by it.
func (e Entry) Started() time.Time { return time.UnixMilli(e.f.StartedMS) }

// Version returns the entry's version within its incarnation.
func (e Entry) Version() uint64 { return e.f.Version }

// Peer returns the address on which the node serves other nodes.
func (e Entry) Peer() string { return e.f.Peer }

// Caller returns the address on which the node serves callers.
func (e Entry) Caller() string { return e.f.Caller }

// Operator returns the address on which the node serves operators.
func (e Entry) Operator() string { return e.f.Operator }

// Region returns the node's region.
func (e Entry) Region() string { return e.f.Region }

// Zone returns the node's availability zone.
func (e Entry) Zone() string { return e.f.Zone }

// Service returns the service of the node's backend server, "" if none has
// announced itself.
func (e Entry) Service() string { return e.f.Service }

// State returns the state of the node's backend server.
func (e Entry) State() State { return e.f.State }

// Slots returns the number of calls that the backend server runs concurrently.
func (e Entry) Slots() int { return e.f.Slots }

// Epoch returns the age of the incarnation in seconds at the time when the node
// created this version of its entry.
func (e Entry) Epoch() uint32 { return e.f.AgeSeconds }

// Member is an entry together with the node's health as known locally.
type Member struct {
	Entry
	// Health describes whether the node can be reached.
	Health Health
}

// Self describes the local node at its start.
type Self struct {
	// Node is the node's ID, which does not change on a restart.
	Node string
	// Incarnation is a random number drawn at each start.
	Incarnation uint64
	// Started is the time of the start.
	Started time.Time
	// Peer, Caller and Operator are the addresses that the node listens on. Only
	// Peer is required.
	Peer, Caller, Operator string
	// Region and Zone are the region and the availability zone of the node.
	Region, Zone string
	// System identifies the deployment and is the same for all its nodes.
	// Messages of other systems are refused: the address of a VM may be reassigned
	// to a VM of another system while the former peers still send messages to it.
	System string
}

// Backend is the announcement of a backend server to its node.
type Backend struct {
	// Service is the service that the backend server runs.
	Service string
	// Address is the address on which the node reaches the backend server.
	Address string
	// Slots is the number of calls that the backend server runs concurrently.
	Slots int
	// Connections is the number of connections that the backend server accepts.
	Connections int
}

// Check returns an error if other nodes would reject the entry of a node with the service
// and the slots, and with it all messages of that node.
func (b Backend) Check() (err error) {
	if b.Slots < 0 || b.Slots > maxSlots {
		return fmt.Errorf("slots is %d, expected 0 to %d", b.Slots, maxSlots)
	}
	return checkName("service", b.Service, true)
}

// update is the information about one node in a message. A health-only update
// carries only the health of a version of the entry, and applies only to tables
// that hold that version.
type update struct {
	fields
	Health Health `json:"health,omitzero"`
	// HealthSeconds is how long the node has had its health, so that all
	// tables remove the node at about the same time. It is ignored when updates
	// are compared.
	HealthSeconds int64 `json:"healthAge,omitempty"`
}

func (u update) isHealthOnly() bool { return u.Peer == "" }

// healthOnly returns the update without the content of the entry.
func (u update) healthOnly() update {
	f := fields{Node: u.Node, Incarnation: u.Incarnation, StartedMS: u.StartedMS, Version: u.Version}
	return update{fields: f, Health: u.Health, HealthSeconds: u.HealthSeconds}
}

// fillContent adds the content of the stored entry to a health-only update of
// the same version. It returns false for an update of a later version, which
// can't be used without its content. An update of an earlier version needs no
// content, because it is older than the stored entry.
func (u *update) fillContent(stored fields) (usable bool) {
	if u.StartedMS == stored.StartedMS && u.Incarnation == stored.Incarnation && u.Version == stored.Version {
		u.fields = stored
	}
	return compare(u.fields, Alive, stored, Alive) <= 0
}

// compare orders two updates of one node: the later incarnation takes
// precedence, then the higher version, then the worse health. The remaining
// fields only differ in entries that result from a fault; comparing them makes
// all nodes choose the same entry.
func compare(a fields, ah Health, b fields, bh Health) (order int) {
	return cmp.Or(
		cmp.Compare(a.StartedMS, b.StartedMS),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(ah, bh),
		cmp.Compare(a.Peer, b.Peer),
		cmp.Compare(a.Caller, b.Caller),
		cmp.Compare(a.Operator, b.Operator),
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.State, b.State),
		cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.AgeSeconds, b.AgeSeconds),
	)
}

func nameOf(names []string, i int) (name string) {
	if i >= len(names) {
		return fmt.Sprintf("unknown(%d)", i)
	}
	return names[i]
}

func indexOfName(names []string, kind, name string) (i int, err error) {
	for i, known := range names {
		if known == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%s %q is not one of %q", kind, name, names)
}
