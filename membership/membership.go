// Package membership tells each node which other nodes exist, where they are,
// what their backend servers do, and whether they can be reached.
//
// [Table] holds the entries and decides: it does no I/O, takes the time as an
// argument and draws from injected randomness. [Gossip] carries the table's
// entries between nodes over HTTP and probes them.
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

// State is what a node's backend server does.
type State uint8

const (
	// Absent means that no backend server has announced itself.
	Absent State = iota
	// Starting means that the backend server runs but takes no calls yet.
	Starting
	// Ready means that the backend server takes calls.
	Ready
	// Draining means that the backend server ends the calls in progress and
	// takes no new ones.
	Draining
	// Gone means that the backend server has failed or has ended.
	Gone
)

var stateNames = []string{Absent: "absent", Starting: "starting", Ready: "ready", Draining: "draining", Gone: "gone"}

// String returns the state's name as in messages.
func (s State) String() string { return nameOf(stateNames, int(s)) }

// MarshalText writes the state's name.
func (s State) MarshalText() (text []byte, err error) { return []byte(s.String()), nil }

// UnmarshalText reads the state's name.
func (s *State) UnmarshalText(text []byte) (err error) {
	i, err := indexOf(stateNames, "state", string(text))
	*s = State(i)
	return err
}

// Health is whether a node can be reached. Of two values for the same version
// of an entry the higher one holds, until the owner raises the version.
type Health uint8

const (
	// Alive means that nothing speaks against the node.
	Alive Health = iota
	// Suspect means that the node answered neither a direct nor an indirect
	// probe. It is still routed to.
	Suspect
	// Unreachable means that a suspect did not refute the suspicion in time. It
	// is hidden from routing until it does.
	Unreachable
	// Left means that the node left on purpose.
	Left
)

var healthNames = []string{Alive: "alive", Suspect: "suspect", Unreachable: "unreachable", Left: "left"}

// Routable says whether calls may be sent to a node of this health.
func (h Health) Routable() bool { return h == Alive || h == Suspect }

// String returns the health's name as in messages.
func (h Health) String() string { return nameOf(healthNames, int(h)) }

// MarshalText writes the health's name.
func (h Health) MarshalText() (text []byte, err error) { return []byte(h.String()), nil }

// UnmarshalText reads the health's name.
func (h *Health) UnmarshalText(text []byte) (err error) {
	i, err := indexOf(healthNames, "health", string(text))
	*h = Health(i)
	return err
}

// Entry describes one incarnation of a node. Only that node changes it, and
// raises the version each time.
type Entry struct {
	f fields
}

// fields is the form of an entry in messages.
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

// Incarnation returns the random number of this start of the node.
func (e Entry) Incarnation() uint64 { return e.f.Incarnation }

// Started returns the start of the incarnation by the node's own clock. It
// orders the incarnations of one node.
func (e Entry) Started() time.Time { return time.UnixMilli(e.f.StartedMS) }

// Version returns the entry's version within its incarnation.
func (e Entry) Version() uint64 { return e.f.Version }

// Peer returns the address for other nodes.
func (e Entry) Peer() string { return e.f.Peer }

// Caller returns the address for callers.
func (e Entry) Caller() string { return e.f.Caller }

// Operator returns the address for operators.
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

// Slots returns the number of calls the backend server runs at once.
func (e Entry) Slots() int { return e.f.Slots }

// Epoch returns the age of the incarnation in seconds when this version was
// made.
func (e Entry) Epoch() uint32 { return e.f.AgeSeconds }

// Member is an entry together with what is known of the node's health.
type Member struct {
	Entry
	// Health is whether the node can be reached.
	Health Health
}

// Self is what a node knows of itself when it starts.
type Self struct {
	// Node is the node's ID, which survives restarts.
	Node string
	// Incarnation is a random number drawn at each start.
	Incarnation uint64
	// Started is the time of the start.
	Started time.Time
	// Peer, Caller and Operator are the addresses the node listens on. Only
	// Peer is required.
	Peer, Caller, Operator string
	// Region and Zone say where the node runs.
	Region, Zone string
	// System is the same for all nodes that belong together. Messages of other
	// systems are refused: an address may pass to a VM of another one while its
	// former peers still send messages there.
	System string
}

// Backend is what a backend server announces to its node.
type Backend struct {
	// Service is the service that the backend server runs.
	Service string
	// Address is where the node reaches it.
	Address string
	// Slots is how many calls it runs at once.
	Slots int
	// Connections is how many connections it takes.
	Connections int
}

// update is what nodes tell each other about one node. A note has no content
// besides the health, and counts only for those who have the version that it
// names.
type update struct {
	fields
	Health Health `json:"health,omitzero"`
	// HealthSeconds is how long the node has had its health, so that all
	// tables remove it at about the same time. It does not count in the order
	// of updates.
	HealthSeconds int64 `json:"healthAge,omitempty"`
}

func (u update) isNote() bool { return u.Peer == "" }

// note returns the update without the content.
func (u update) note() update {
	f := fields{Node: u.Node, Incarnation: u.Incarnation, StartedMS: u.StartedMS, Version: u.Version}
	return update{fields: f, Health: u.Health, HealthSeconds: u.HealthSeconds}
}

// complete adds the content of the held version to a note about it. A note
// about a later version can't be used; one about an earlier version is outdated
// anyway.
func (u *update) complete(held fields) (usable bool) {
	if u.StartedMS == held.StartedMS && u.Incarnation == held.Incarnation && u.Version == held.Version {
		u.fields = held
	}
	return compare(u.fields, Alive, held, Alive) <= 0
}

// compare orders what is known of one node: the later incarnation, then the
// higher version, then the worse health holds. The remaining fields decide
// between entries that only a fault can produce, so that all nodes still agree.
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

func indexOf(names []string, what, name string) (i int, err error) {
	for i, known := range names {
		if known == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%s %q is not one of %q", what, name, names)
}
