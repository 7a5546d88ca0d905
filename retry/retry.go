// Package retry bounds the retries of a customer request over its whole chain
// of calls with tokens that are granted once and lent from hop to hop.
//
// # Usage
//
// A node opens a running call for each attempt that its backend server works
// on, asks for a permit for each child call, and closes the running call with
// its answer:
//
//	ledger.Open(retry.Running{Context: attempt, Deadline: deadline})
//	permit, ok := ledger.BeginChild(attempt.Call, child)
//	...
//	ledger.EndChild(attempt.Call, child, retry.ChildEnd{TokensLeft: budget.Left(), Outcome: outcome})
//	...
//	tokensLeft := ledger.Close(attempt.Call)
//
// Whoever sends a call, ingress or egress, spends the granted or permitted
// tokens through a [Budget].
package retry

import (
	"slices"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// Running is a call that this node's backend server works on.
type Running struct {
	// Context came with the attempt.
	Context call.Context
	// Deadline is when the remaining time of the attempt ends.
	Deadline time.Time
}

// Child is a call that the backend server makes while it runs another call.
type Child struct {
	// Service, Method and URI identify the call: the same three after a failure
	// are a retry.
	Service, Method, URI string
	// Content is a fingerprint of the request. A child booking with the same
	// content is a repeat of the same booking.
	Content [32]byte
}

// Permit is what a child call may use.
type Permit struct {
	// Tokens is the number of retry tokens lent to the child call.
	Tokens int
	// Retry is true if the child call repeats one that failed.
	Retry bool
	// Key is the booking key that the child call must reuse, or empty. It is
	// also set if the child call is refused: then an earlier attempt of the same
	// booking may have run, and the outcome is unknown.
	Key string
}

// ChildEnd is how a child call ended.
type ChildEnd struct {
	// TokensLeft is the number of lent tokens that came back.
	TokensLeft int
	// Outcome is what the backend server was told.
	Outcome call.Outcome
	// Failed is true for an answer that a backend server may repeat the call
	// for, such as one with status 500 or above.
	Failed bool
	// Shed is true if the child call, or one below it, was refused for overload.
	Shed bool
	// Key is the booking key of the child call, or empty.
	Key string
}

const (
	// contextlessMemory is how long a failed child call without a context is
	// remembered.
	contextlessMemory = time.Second
	// contextlessPerToken is the number of answered child calls without a
	// context that earn one retry among them.
	contextlessPerToken = 10
	maxContextlessStock = 3 * contextlessPerToken
	// maxContextlessRows bounds memory if a backend server fails on many URIs.
	maxContextlessRows = 1024
)

// Ledger is a node's table of running calls and their retry tokens. It is safe
// for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	running map[call.ID]*entry
	free    []*entry

	// now is the time of the last tick.
	now         time.Time
	contextless map[identity]failure
	// stock is the number of answered child calls without a context that have
	// not been used up by retries.
	stock int
}

type identity struct{ service, method, uri string }

type entry struct {
	Running
	tokens int
	// lent is the number of tokens that children have not returned.
	lent int
	// shed is true if a child call was refused for overload.
	shed   bool
	failed []failedChild
	keys   []boundKey
}

// failedChild is a child call whose repeats are retries.
type failedChild struct {
	id identity
	// retries is the number of retries in progress.
	retries int
	// shed is true if the latest failure was a refusal for overload.
	shed bool
}

// boundKey is the key of a child booking whose outcome is not known.
type boundKey struct {
	id      identity
	content [32]byte
	key     string
}

type failure struct {
	count int
	at    time.Time
}

// Option changes a new ledger.
type Option func(*Ledger)

// New returns an empty ledger.
func New(opts ...Option) *Ledger {
	l := &Ledger{running: make(map[call.ID]*entry), contextless: make(map[identity]failure)}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Open records an attempt that the backend server begins to work on.
func (l *Ledger) Open(r Running) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.newEntry()
	e.Running, e.tokens = r, r.Context.Tokens
	l.running[r.Context.Call] = e
}

// Lookup returns a running call.
func (l *Ledger) Lookup(id call.ID) (r Running, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.running[id]
	if !ok {
		return Running{}, false
	}
	return e.Running, true
}

// Shed reports whether a child of the running call was refused for overload, so
// that its failure, if it fails, is due to a service further down.
func (l *Ledger) Shed(id call.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.running[id]
	return ok && e.shed
}

// Close ends a running call and returns the tokens it has left. Tokens lent to
// children that are still in progress are forfeited.
func (l *Ledger) Close(id call.ID) (tokensLeft int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.running[id]
	if !ok {
		return 0
	}
	delete(l.running, id)
	l.free = append(l.free, e)
	return e.tokens
}

// BeginChild takes all tokens that a child call may be lent: half of those the
// running call has, rounded up. The other half is kept for its siblings, and
// every hop of a chain still gets a token as long as one is left. A repeat of a
// failed child costs one token; ok is false if there is none, or if the child
// was refused for overload: its sender has tried other upstreams, and a repeat
// would work for the same refusal once more. Child calls without a known running call get no tokens.
func (l *Ledger) BeginChild(id call.ID, c Child) (p Permit, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.running[id]
	if !known {
		return l.beginContextless(c)
	}
	f := e.failedAt(c)
	p.Key = e.keyOf(c)
	p.Retry = f >= 0 || p.Key != ""
	if p.Retry && (e.tokens == 0 || f >= 0 && e.failed[f].shed) {
		return p, false
	}
	if p.Retry {
		e.tokens--
	}
	if f >= 0 {
		e.failed[f].retries++
	}
	p.Tokens = (e.tokens + 1) / 2
	e.tokens -= p.Tokens
	e.lent += p.Tokens
	return p, true
}

// BindKey records the booking key of a child call before it is sent. A backend
// server that gives up on the child call and repeats it may do so before the
// first attempt has ended here.
func (l *Ledger) BindKey(id call.ID, c Child, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.running[id]; ok {
		e.bind(c, key)
	}
}

// EndChild records the end of a child call that BeginChild permitted.
func (l *Ledger) EndChild(id call.ID, c Child, end ChildEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	failed := end.Failed || end.Outcome != call.Answered
	e, ok := l.running[id]
	if !ok {
		l.endContextless(c, failed)
		return
	}
	left := min(max(end.TokensLeft, 0), e.lent)
	e.lent -= left
	e.tokens += left
	e.shed = e.shed || end.Shed
	e.release(c, end)
	e.mark(c, failed, end.Shed)
}

// Tick lets failures of child calls without a context be forgotten.
func (l *Ledger) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = now
	for id, f := range l.contextless {
		if f.at.IsZero() {
			f.at = now
			l.contextless[id] = f
		}
		if now.Sub(f.at) >= contextlessMemory {
			delete(l.contextless, id)
		}
	}
}

func (l *Ledger) newEntry() *entry {
	if n := len(l.free); n > 0 {
		e := l.free[n-1]
		l.free = l.free[:n-1]
		clear(e.failed)
		clear(e.keys)
		*e = entry{failed: e.failed[:0], keys: e.keys[:0]}
		return e
	}
	return &entry{}
}

// beginContextless treats a child call whose running call is not known. Nothing
// tells a repeat by the backend server from the same call made for another
// customer, so repeats of recent failures are limited to a share of the
// answered calls.
func (l *Ledger) beginContextless(c Child) (p Permit, ok bool) {
	id := c.identity()
	f, failed := l.contextless[id]
	if !failed {
		return Permit{}, true
	}
	p.Retry = true
	if l.stock < contextlessPerToken {
		return p, false
	}
	l.stock -= contextlessPerToken
	if f.count--; f.count == 0 {
		delete(l.contextless, id)
	} else {
		l.contextless[id] = f
	}
	return p, true
}

func (l *Ledger) endContextless(c Child, failed bool) {
	if !failed {
		l.stock = min(l.stock+1, maxContextlessStock)
		return
	}
	id := c.identity()
	f, known := l.contextless[id]
	if !known && len(l.contextless) >= maxContextlessRows {
		return
	}
	l.contextless[id] = failure{count: f.count + 1, at: l.now}
}

func (c Child) identity() identity { return identity{c.Service, c.Method, c.URI} }

func (e *entry) failedAt(c Child) int {
	return slices.IndexFunc(e.failed, func(f failedChild) bool { return f.id == c.identity() })
}

// mark remembers a failure until a retry of the same call is answered.
func (e *entry) mark(c Child, failed, shed bool) {
	at := e.failedAt(c)
	switch {
	case at < 0 && failed:
		e.failed = append(e.failed, failedChild{id: c.identity(), shed: shed})
	case at >= 0 && e.failed[at].retries > 0:
		e.failed[at].retries--
		e.failed[at].shed = shed
		if !failed {
			e.failed = slices.Delete(e.failed, at, at+1)
		}
	}
}

func (e *entry) keyAt(c Child) int {
	return slices.IndexFunc(e.keys, func(k boundKey) bool { return k.id == c.identity() && k.content == c.Content })
}

func (e *entry) keyOf(c Child) string {
	if at := e.keyAt(c); at >= 0 {
		return e.keys[at].key
	}
	return ""
}

func (e *entry) bind(c Child, key string) {
	if at := e.keyAt(c); at >= 0 {
		e.keys[at].key = key
		return
	}
	e.keys = append(e.keys, boundKey{id: c.identity(), content: c.Content, key: key})
}

// release keeps the key of a booking whose outcome is not known, and drops it
// once the outcome is.
func (e *entry) release(c Child, end ChildEnd) {
	if end.Key == "" {
		return
	}
	if end.Outcome == call.Unknown {
		e.bind(c, end.Key)
		return
	}
	if at := e.keyAt(c); at >= 0 && e.keys[at].key == end.Key {
		e.keys = slices.Delete(e.keys, at, at+1)
	}
}
