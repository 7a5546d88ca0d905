package clientlimit

import (
	"container/list"
	"sync"
	"time"
)

// Phase is how far a connection has got with its current request.
type Phase uint8

const (
	// Waiting is the phase of a connection that has never sent a whole head.
	Waiting Phase = iota
	// Arriving is the phase of a connection on which a request has begun to arrive, and has
	// not arrived completely: a head after an answered request, or a body.
	Arriving
	// Idle is the phase of a connection whose last request has been answered.
	Idle
	// Running is the phase of a connection whose request runs or is being answered.
	Running
)

// Verdict is the decision on a new connection.
type Verdict uint8

const (
	// Admitted means that there is room for the connection.
	Admitted Verdict = iota
	// Pending means that the connection has to wait until others have ended.
	Pending
	// Refused means that no connection may be ended in favour of the new one, which is not
	// counted any more.
	Refused
)

// Admission is the decision on a new connection.
type Admission struct {
	Verdict Verdict
	// Victim is a connection to end, or nil.
	Victim *Connection
	// Changed is closed when a pending decision has to be made again.
	Changed <-chan struct{}
}

// ConnectionBudget is the number of connections that the clients of a process may have. It is
// safe for concurrent use.
//
// The owner opens a connection, asks for its admission until the verdict is final, and then
// reports its phase:
//
//	connection := budget.Open("caller", owner)
//	admission := connection.Admit(now)
//	connection.Set(now, clientlimit.Waiting)
//	connection.Close()
type ConnectionBudget struct {
	limit          int
	arrivalTimeout time.Duration

	mu    sync.Mutex
	ports map[Port]*portConnections
	// used counts the open connections, and leaving those of them that have been asked to close.
	used, leaving int
	// changed is closed when a connection has ended or stays. It is nil if nobody waits.
	changed chan struct{}
}

type portConnections struct {
	reserve, used int
	// leaving counts the open connections that have been asked to close.
	leaving int
	// evictable has the connections that may be chosen to end, by phase, in the order in which
	// they entered it.
	evictable [Running]list.List
}

// Connection is an open connection of a client.
type Connection struct {
	budget *ConnectionBudget
	port   *portConnections
	owner  any
	phase  Phase
	since  time.Time
	// element is the entry in the list of evictable connections, or nil.
	element         *list.Element
	leaving, closed bool
}

// NewConnectionBudget returns a budget. The reserve of a port is kept free of the clients of
// other ports. A request that has been arriving for longer than the timeout does not protect
// its connection.
func NewConnectionBudget(limit int, reserves map[Port]int, arrivalTimeout time.Duration) (b *ConnectionBudget) {
	b = &ConnectionBudget{limit: limit, arrivalTimeout: arrivalTimeout, ports: make(map[Port]*portConnections)}
	for port, reserve := range reserves {
		b.ports[port] = &portConnections{reserve: reserve}
	}
	return b
}

// Open counts a new connection, which is not evictable until [Connection.Set]. The owner
// identifies it if it is chosen to end.
func (b *ConnectionBudget) Open(port Port, owner any) *Connection {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ports[port] == nil {
		b.ports[port] = &portConnections{}
	}
	c := &Connection{budget: b, port: b.ports[port], owner: owner, phase: Running}
	b.used++
	c.port.used++
	return c
}

// Limit returns how many connections may be open.
func (b *ConnectionBudget) Limit() int { return b.limit }

// Used returns how many connections are open.
func (b *ConnectionBudget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Owner returns the owner of the connection.
func (c *Connection) Owner() any { return c.owner }

// Admit decides on a new connection. If the budget runs short, it chooses a connection to end:
// one that has never sent a whole head, then one whose request has been arriving for longer
// than the timeout, then an idle one, and always the one that entered its phase first.
// Connections to another port are only chosen if that port uses more than its reserve.
func (c *Connection) Admit(now time.Time) Admission {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fits(c.port, b.used) {
		return Admission{Verdict: Admitted}
	}
	var victim *Connection
	if !b.fits(c.port, b.used-b.leaving) {
		victim = b.oldest(c.port, now)
	}
	if victim == nil && b.leaving == 0 {
		// Its owner closes it at once. Counted until then, it would keep out another new one.
		c.close()
		return Admission{Verdict: Refused}
	}
	if victim != nil {
		victim.unlist()
		victim.leaving = true
		victim.port.leaving++
		b.leaving++
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return Admission{Verdict: Pending, Victim: victim, Changed: b.changed}
}

// Set records that the connection has entered a phase. If it was asked to close in favour
// of another one, it stays open.
func (c *Connection) Set(now time.Time, phase Phase) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed || phase == c.phase && !c.leaving {
		return
	}
	c.stay()
	c.unlist()
	c.phase, c.since = phase, now
	if phase != Running {
		c.element = c.port.evictable[phase].PushBack(c)
	}
}

// IsLeaving reports whether the connection has been chosen to end.
func (c *Connection) IsLeaving() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.leaving
}

// Close records that the connection has been closed.
func (c *Connection) Close() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.close()
}

// close is Close with the mutex held.
func (c *Connection) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.unlist()
	c.stay()
	c.budget.used--
	c.port.used--
	c.budget.notify()
}

// stay cancels the choice of the connection. The mutex must be held.
func (c *Connection) stay() {
	if c.leaving {
		c.leaving = false
		c.port.leaving--
		c.budget.leaving--
		c.budget.notify()
	}
}

func (c *Connection) unlist() {
	if c.element != nil {
		c.port.evictable[c.phase].Remove(c.element)
		c.element = nil
	}
}

// notify makes pending connections ask again. The mutex must be held.
func (b *ConnectionBudget) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// fits reports whether a number of connections leaves the unused reserves of the ports other
// than the given one free. The mutex must be held.
func (b *ConnectionBudget) fits(port *portConnections, used int) bool {
	reserved := 0
	for _, other := range b.ports {
		if other != port {
			reserved += max(other.reserve-other.used, 0)
		}
	}
	return port.used <= port.reserve || used+reserved <= b.limit
}

// oldest returns the connection to end in favour of one to the port, or nil. The connections of
// another port that are about to end already do not count as use of its reserve. The mutex must
// be held.
func (b *ConnectionBudget) oldest(port *portConnections, now time.Time) (victim *Connection) {
	for phase := Waiting; phase < Running; phase++ {
		for _, p := range b.ports {
			first := p.evictable[phase].Front()
			if first == nil || p != port && p.used-p.leaving <= p.reserve {
				continue
			}
			c := first.Value.(*Connection)
			if phase == Arriving && now.Sub(c.since) <= b.arrivalTimeout {
				continue
			}
			if victim == nil || c.since.Before(victim.since) {
				victim = c
			}
		}
		if victim != nil {
			return victim
		}
	}
	return nil
}
