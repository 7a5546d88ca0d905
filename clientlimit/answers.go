package clientlimit

import (
	"container/list"
	"sync"
	"time"
)

// maxTickGap is the time between two calls of Tick from which on the process is taken to have
// stood still, and the time after it in which nothing is evicted. Ticks are due every 100 ms.
const maxTickGap = 300 * time.Millisecond

// AnswerBudget is the memory that responses may take until their clients have read them. It is
// safe for concurrent use.
//
// The owner of a response charges what it takes while it is read from the server. Once it is
// written, each part that the client has taken counts as progress:
//
//	answer := budget.Open("caller", owner)
//	victim, ok := answer.Charge(now, 64<<10)
//	ok = answer.Progress(now)
//	ok = answer.Written()
//	answer.Release()
type AnswerBudget struct {
	limit        int64
	stallTimeout time.Duration

	mu    sync.Mutex
	ports map[Port]*portAnswers
	// used is what all responses hold, and leaving the part of it that victims have not
	// released yet.
	used, leaving int64
	// tickedAt is when Tick was last called, or zero. Nothing is evicted before evictAfter.
	tickedAt, evictAfter time.Time
}

type portAnswers struct {
	reserve, used int64
	// written has the responses that are being written, in the order of their last progress.
	written list.List
}

// Answer is a response that is held until its client has read it.
type Answer struct {
	budget *AnswerBudget
	port   *portAnswers
	owner  any
	held   int64
	// progressAt is when the client last took a part, once the response is being written.
	progressAt time.Time
	// element is the entry in the list of responses that are being written, or nil.
	element *list.Element
	evicted bool
}

// NewAnswerBudget returns a budget. The reserve of a port is kept free of the clients of other
// ports. A response whose client has taken nothing for longer than the timeout may be evicted.
func NewAnswerBudget(limit int64, reserves map[Port]int64, stallTimeout time.Duration) (b *AnswerBudget) {
	b = &AnswerBudget{limit: limit, stallTimeout: stallTimeout, ports: make(map[Port]*portAnswers)}
	for port, reserve := range reserves {
		b.ports[port] = &portAnswers{reserve: reserve}
	}
	return b
}

// Open returns the account of a response to a client of the port. The owner identifies it if it
// is chosen as a victim.
func (b *AnswerBudget) Open(port Port, owner any) *Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Answer{budget: b, port: b.port(port), owner: owner}
}

// port returns the use of a port. The mutex must be held.
func (b *AnswerBudget) port(port Port) *portAnswers {
	if b.ports[port] == nil {
		b.ports[port] = &portAnswers{}
	}
	return b.ports[port]
}

// Admits reports whether a request of the port may run: whether there is room for its response. If
// not, it also returns a response to evict, or nil.
func (b *AnswerBudget) Admits(now time.Time, port Port, room int64) (victim *Answer, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grant(now, b.port(port), room)
}

// Tick records that the process runs. After it has stood still, responses have made no progress
// whose clients have read, so nothing is evicted until their writers have run.
func (b *AnswerBudget) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stoodStill(now) {
		b.evictAfter = now.Add(maxTickGap)
	}
	b.tickedAt = now
}

// stoodStill reports whether a call of Tick is overdue. The mutex must be held.
func (b *AnswerBudget) stoodStill(now time.Time) bool {
	return !b.tickedAt.IsZero() && now.Sub(b.tickedAt) > maxTickGap
}

// Limit returns what all responses may hold.
func (b *AnswerBudget) Limit() int64 { return b.limit }

// Used returns what all responses hold.
func (b *AnswerBudget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Owner returns the owner of the response.
func (a *Answer) Owner() any { return a.owner }

// Charge sets what the response holds. If there is no room for it, ok is false, the charge stays
// as it was, and the response has to be passed on without being held. That of an evicted response
// never changes, because what it leaves has been counted. The victim is a response
// to evict, or nil: the one whose client has taken nothing for the longest time.
func (a *Answer) Charge(now time.Time, held int64) (victim *Answer, ok bool) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted {
		return nil, false
	}
	if more := held - a.held; more > 0 {
		if victim, ok = b.grant(now, a.port, more); !ok {
			return victim, false
		}
	}
	a.set(held)
	return nil, true
}

// Progress records that a part of the response is about to be written, because the client has
// taken what was written before. ok is false if the response has been evicted.
func (a *Answer) Progress(now time.Time) (ok bool) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted {
		return false
	}
	a.progressAt = now
	if a.element == nil {
		a.element = a.port.written.PushBack(a)
	} else {
		a.port.written.MoveToBack(a.element)
	}
	return true
}

// Written records that the client has taken all that was written, so that the response can't be
// evicted until the next call of Progress. ok is false if it has been evicted before.
func (a *Answer) Written() (ok bool) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.unlist()
	return !a.evicted
}

// Release returns what the response holds.
func (a *Answer) Release() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.unlist()
	if a.evicted {
		a.budget.leaving -= a.held
	}
	a.set(0)
	a.evicted = false
}

func (a *Answer) set(held int64) {
	a.budget.used += held - a.held
	a.port.used += held - a.held
	a.held = held
}

func (a *Answer) unlist() {
	if a.element != nil {
		a.port.written.Remove(a.element)
		a.element = nil
	}
}

// grant reports whether a port may use more bytes, and returns a response to evict if not and if
// those that leave already do not make enough room. The mutex must be held.
func (b *AnswerBudget) grant(now time.Time, port *portAnswers, more int64) (victim *Answer, ok bool) {
	reserved := int64(0)
	for _, other := range b.ports {
		if other != port {
			reserved += max(other.reserve-other.used, 0)
		}
	}
	if port.used+more <= port.reserve || b.used+more+reserved <= b.limit {
		return nil, true
	}
	if b.used-b.leaving+more+reserved <= b.limit || b.stoodStill(now) || now.Before(b.evictAfter) {
		return nil, false
	}
	for _, p := range b.ports {
		first := p.written.Front()
		if first == nil || p != port && p.used <= p.reserve {
			continue
		}
		a := first.Value.(*Answer)
		if now.Sub(a.progressAt) > b.stallTimeout && (victim == nil || a.progressAt.Before(victim.progressAt)) {
			victim = a
		}
	}
	if victim != nil {
		victim.unlist()
		victim.evicted = true
		b.leaving += victim.held
	}
	return victim, false
}
