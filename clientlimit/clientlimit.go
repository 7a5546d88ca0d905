// Package clientlimit decides which clients of a process are turned away because of what
// their requests take, and which connections are closed because there are too many. It does
// no I/O.
//
// It is designed for the clients of one process: up to 8,192 connections, with thousands of
// heads that arrive at once. A charge takes constant time, and so does the choice of a
// connection to close.
//
// # Usage
//
// The owner of a connection follows the head of each request and charges what it takes. It
// ends the connections that it gets back, or its own if the charge is refused:
//
//	budget := clientlimit.NewBudget(64<<20, map[clientlimit.Port]int64{"peer": 8 << 20})
//	account := budget.Open("caller", connection)
//	head.Scan(read)
//	victims, ok := account.Charge(head.Cost())
//	account.Keep()
//	account.Release()
package clientlimit

import (
	"container/list"
	"math"
	"math/bits"
	"sync"
)

// Port names a listener of the process, whose clients may have a reserve.
type Port string

// sizeClasses is the number of classes of accounts by the power of two of what they hold.
const sizeClasses = 64

// Budget is the memory that the clients of a process may take. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	ports map[Port]*portUse
	// used is what all accounts hold, and leaving the part of it that evicted accounts have
	// not released yet.
	used, leaving int64
}

type portUse struct {
	reserve, used int64
	// evictable has the accounts that may be chosen as victims, by the power of two of
	// what they hold and the newest first.
	evictable [sizeClasses]list.List
}

// Account is what one connection holds. The zero value belongs to no budget and may hold any
// amount.
type Account struct {
	budget *Budget
	port   *portUse
	owner  any
	held   int64
	// element is the entry in the list of evictable accounts, or nil.
	element *list.Element
	// evicted is true once the account has been chosen as a victim.
	evicted bool
}

// NewBudget returns a budget. The reserve of a port is kept free of the clients of other
// ports. A limit of 0 means that there is none.
func NewBudget(limit int64, reserves map[Port]int64) (b *Budget) {
	b = &Budget{limit: limit, ports: make(map[Port]*portUse)}
	if limit <= 0 {
		b.limit = math.MaxInt64 / 2
	}
	for port, reserve := range reserves {
		b.ports[port] = &portUse{reserve: reserve}
	}
	return b
}

// Open returns an account for a connection to the port. The owner identifies it if it is
// chosen as a victim.
func (b *Budget) Open(port Port, owner any) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ports[port] == nil {
		b.ports[port] = &portUse{}
	}
	return &Account{budget: b, port: b.ports[port], owner: owner}
}

// Owner returns the owner of the account.
func (a *Account) Owner() any { return a.owner }

// Charge sets what the account holds, and makes it evictable until [Account.Keep]. If the
// budget runs short, it returns the accounts to evict: those that hold the most, and the
// newest among similar ones. ok is false if the account itself has to be turned away.
//
// Accounts of another port are only chosen if that port uses more than its reserve, so a
// crowd at one port does not displace the clients of another.
func (a *Account) Charge(held int64) (victims []*Account, ok bool) {
	b := a.budget
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted {
		return nil, false
	}
	a.setHeld(held)
	for b.isShort(a.port) {
		victim := b.largest(a.port)
		if victim == nil || victim == a {
			a.withdraw()
			return victims, false
		}
		victim.withdraw()
		victims = append(victims, victim)
	}
	return victims, true
}

// Keep protects the account, because its request has been read and may run. ok is false if
// the account has been chosen as a victim before.
func (a *Account) Keep() (ok bool) {
	if a.budget == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.unlist()
	return !a.evicted
}

// Withdraw turns the account away if it is evictable, and reports whether it does.
func (a *Account) Withdraw() (ok bool) {
	if a.budget == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.element == nil {
		return false
	}
	a.withdraw()
	return true
}

// Release returns what the account holds. It can be charged again afterwards unless it was
// evicted.
func (a *Account) Release() {
	b := a.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.unlist()
	if a.evicted {
		b.leaving -= a.held
	}
	b.used -= a.held
	a.port.used -= a.held
	a.held = 0
}

// Limit returns what all accounts may hold, or 0 if there is no limit.
func (b *Budget) Limit() int64 {
	if b.limit == math.MaxInt64/2 {
		return 0
	}
	return b.limit
}

// Used returns what all accounts hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

func (a *Account) setHeld(held int64) {
	a.unlist()
	a.budget.used += held - a.held
	a.port.used += held - a.held
	a.held = held
	a.element = a.port.evictable[bits.Len64(uint64(held))].PushFront(a)
}

func (a *Account) unlist() {
	if a.element != nil {
		a.port.evictable[bits.Len64(uint64(a.held))].Remove(a.element)
		a.element = nil
	}
}

// withdraw records that the account is turned away. What it holds is expected back.
func (a *Account) withdraw() {
	a.unlist()
	a.evicted = true
	a.budget.leaving += a.held
}

// isShort reports whether the clients of a port use more than is left for them beside the
// unused reserves of the other ports. The mutex must be held.
func (b *Budget) isShort(port *portUse) bool {
	return port.used > port.reserve && b.used-b.leaving+b.reservedBeside(port) > b.limit
}

// largest returns the evictable account that holds the most among those of the port and of
// ports that use more than their reserve, or nil. The mutex must be held.
func (b *Budget) largest(port *portUse) (victim *Account) {
	class := -1
	for _, p := range b.ports {
		if p != port && p.used <= p.reserve {
			continue
		}
		for n := sizeClasses - 1; n > class; n-- {
			if newest := p.evictable[n].Front(); newest != nil {
				victim, class = newest.Value.(*Account), n
			}
		}
	}
	return victim
}
