// Package retry bounds the number of retries of a customer request over its whole
// call chain. Each retry costs a token. The request is granted a number of tokens at
// ingress, and each hop lends some of its tokens to the next.
//
// # Usage
//
// A node opens a running call for each attempt that its backend server runs,
// requests a permit for each child call, and closes the running call when it is
// answered:
//
//	ledger.Open(retry.RunningCall{Context: attempt, Deadline: deadline})
//	permit, ok := ledger.BeginChild(attempt.Call, child)
//	...
//	ledger.EndChild(attempt.Call, child, retry.ChildResult{TokensLeft: budget.Remaining(), Outcome: outcome})
//	...
//	tokensLeft := ledger.Close(attempt.Call)
//
// The sender of a call, which is the ingress or the egress, spends the granted or
// lent tokens through a [Budget].
package retry

import (
	"slices"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// RunningCall is a call that this node's backend server is running.
type RunningCall struct {
	// Context is the context received with the attempt.
	Context call.Context
	// Deadline is when the attempt expires.
	Deadline time.Time
}

// Child identifies a child call, which the backend server makes while it runs
// another call.
type Child struct {
	// Service, Method and URI identify the call. A call that equals a failed one in
	// these three fields is a retry.
	Service, Method, URI string
	// Content is a fingerprint of the request. A child booking that also has the
	// same content is a repeat of the same booking.
	Content [32]byte
}

// Permit is the permission to send a child call.
type Permit struct {
	// Tokens is the number of retry tokens lent to the child call.
	Tokens int
	// Retry is true if the child call repeats one that failed.
	Retry bool
	// Key is the booking key that the child call must reuse, or empty. It is also
	// set if the child call is not permitted, but an earlier attempt of the same
	// booking may have run, so that the outcome is unknown.
	Key string
}

// ChildResult is the result of a child call.
type ChildResult struct {
	// TokensLeft is the number of lent tokens that were returned.
	TokensLeft int
	// Outcome is the outcome reported to the backend server that made the call.
	Outcome call.Outcome
	// Failed is true if the call was answered, but the backend server may repeat it
	// because of the answer, for example one with status 500 or above.
	Failed bool
	// Shed is true if the child call, or a call made for it, was refused because of
	// overload.
	Shed bool
	// Key is the booking key of the child call, or empty.
	Key string
}

const (
	// contextlessFailureLifetime is how long a failure of a child call without a
	// context is kept.
	contextlessFailureLifetime = time.Second
	// contextlessAnswersPerRetry is the number of answered child calls without a
	// context that allow one retry of such a call.
	contextlessAnswersPerRetry = 10
	maxContextlessCredit       = 3 * contextlessAnswersPerRetry
	// maxContextlessFailures bounds memory use if calls to many URIs fail.
	maxContextlessFailures = 1024
)

// Ledger is a node's table of running calls and their retry tokens. It is safe
// for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	running map[call.ID]*callState
	// unused holds the states of closed calls for reuse.
	unused []*callState

	// now is the time of the last tick.
	now                 time.Time
	contextlessFailures map[callIdentity]contextlessFailure
	// contextlessCredit is the number of answered child calls without a context that
	// have not been used up by retries.
	contextlessCredit int
}

type callIdentity struct{ service, method, uri string }

type callState struct {
	RunningCall
	tokens int
	// lent is the number of tokens that child calls have not returned.
	lent int
	// shed is true if a child call was refused because of overload.
	shed           bool
	failedChildren []failedChild
	keys           []boundKey
}

// failedChild is a child call that failed, so that a repeat of it is a retry.
type failedChild struct {
	id callIdentity
	// retries is the number of retries in progress.
	retries int
	// shed is true if the latest failure was a refusal because of overload.
	shed bool
}

// boundKey is the key of a child booking that is in progress, or whose outcome is
// unknown.
type boundKey struct {
	id      callIdentity
	content [32]byte
	key     string
}

// contextlessFailure counts the failures of a child call without a context.
type contextlessFailure struct {
	count      int
	recordedAt time.Time
}

// Option changes a new ledger.
type Option func(*Ledger)

// New returns an empty ledger.
func New(opts ...Option) *Ledger {
	l := &Ledger{running: make(map[call.ID]*callState), contextlessFailures: make(map[callIdentity]contextlessFailure)}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Open records an attempt that the backend server starts to run.
func (l *Ledger) Open(r RunningCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.newCallState()
	s.RunningCall, s.tokens = r, r.Context.Tokens
	l.running[r.Context.Call] = s
}

// Lookup returns the running call with the given ID.
func (l *Ledger) Lookup(id call.ID) (r RunningCall, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.running[id]
	if !ok {
		return RunningCall{}, false
	}
	return s.RunningCall, true
}

// ChildShed reports whether a child call of the running call was refused because of
// overload. If it was and the running call fails, the failure is attributed to a
// service deeper in the call chain.
func (l *Ledger) ChildShed(id call.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.running[id]
	return ok && s.shed
}

// Close removes a running call and returns the number of its remaining tokens.
// Tokens lent to child calls that are still in progress are lost.
func (l *Ledger) Close(id call.ID) (tokensLeft int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.running[id]
	if !ok {
		return 0
	}
	delete(l.running, id)
	l.unused = append(l.unused, s)
	return s.tokens
}

// BeginChild requests a permit for a child call of the running call with the given ID.
//
// It lends the child call half of the remaining tokens, rounded up. The other half is
// reserved for further child calls, and rounding up gives every hop of a chain a token as
// long as one remains. A child call whose running call is not known gets no tokens.
//
// The retry of a failed child call costs one token. ok is false if no token remains,
// or if the child call was refused because of overload: its sender has already tried
// other upstreams, and a retry would cause more work for the same refusal.
func (l *Ledger) BeginChild(id call.ID, c Child) (p Permit, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.running[id]
	if !known {
		return l.beginContextless(c)
	}
	index := s.failedIndex(c)
	p.Key = s.key(c)
	p.Retry = index >= 0 || p.Key != ""
	if p.Retry && (s.tokens == 0 || index >= 0 && s.failedChildren[index].shed) {
		return p, false
	}
	if p.Retry {
		s.tokens--
	}
	if index >= 0 {
		s.failedChildren[index].retries++
	}
	p.Tokens = (s.tokens + 1) / 2
	s.tokens -= p.Tokens
	s.lent += p.Tokens
	return p, true
}

// BindKey records the booking key of a child call. It must be called before the child
// call is sent, because a backend server that stops waiting for the child call may
// repeat it before the first attempt has ended at this node.
func (l *Ledger) BindKey(id call.ID, c Child, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.running[id]; ok {
		s.bindKey(c, key)
	}
}

// EndChild records the result of a child call that BeginChild permitted.
func (l *Ledger) EndChild(id call.ID, c Child, result ChildResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	failed := result.Failed || result.Outcome != call.Answered
	s, ok := l.running[id]
	if !ok {
		l.endContextless(c, failed)
		return
	}
	returned := min(max(result.TokensLeft, 0), s.lent)
	s.lent -= returned
	s.tokens += returned
	s.shed = s.shed || result.Shed
	s.updateKey(c, result)
	s.updateFailure(c, failed, result.Shed)
}

// Tick removes old failures of child calls without a context.
func (l *Ledger) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = now
	for id, f := range l.contextlessFailures {
		if f.recordedAt.IsZero() {
			f.recordedAt = now
			l.contextlessFailures[id] = f
		}
		if now.Sub(f.recordedAt) >= contextlessFailureLifetime {
			delete(l.contextlessFailures, id)
		}
	}
}

func (l *Ledger) newCallState() *callState {
	if n := len(l.unused); n > 0 {
		s := l.unused[n-1]
		l.unused = l.unused[:n-1]
		clear(s.failedChildren)
		clear(s.keys)
		*s = callState{failedChildren: s.failedChildren[:0], keys: s.keys[:0]}
		return s
	}
	return &callState{}
}

// beginContextless decides on a child call whose running call is not known. For such
// calls, a retry by the backend server can't be distinguished from the same call made
// for another customer request. Therefore calls that equal a recently failed one are
// limited to a share of the answered calls.
func (l *Ledger) beginContextless(c Child) (p Permit, ok bool) {
	id := c.identity()
	f, failed := l.contextlessFailures[id]
	if !failed {
		return Permit{}, true
	}
	p.Retry = true
	if l.contextlessCredit < contextlessAnswersPerRetry {
		return p, false
	}
	l.contextlessCredit -= contextlessAnswersPerRetry
	if f.count--; f.count == 0 {
		delete(l.contextlessFailures, id)
	} else {
		l.contextlessFailures[id] = f
	}
	return p, true
}

func (l *Ledger) endContextless(c Child, failed bool) {
	if !failed {
		l.contextlessCredit = min(l.contextlessCredit+1, maxContextlessCredit)
		return
	}
	id := c.identity()
	f, known := l.contextlessFailures[id]
	if !known && len(l.contextlessFailures) >= maxContextlessFailures {
		return
	}
	l.contextlessFailures[id] = contextlessFailure{count: f.count + 1, recordedAt: l.now}
}

func (c Child) identity() callIdentity { return callIdentity{c.Service, c.Method, c.URI} }

// failedIndex returns the index of the failed child call that c repeats, or -1.
func (s *callState) failedIndex(c Child) int {
	return slices.IndexFunc(s.failedChildren, func(f failedChild) bool { return f.id == c.identity() })
}

// updateFailure records the failure of a child call, or the result of a retry. It
// removes the failure if the retry was answered.
func (s *callState) updateFailure(c Child, failed, shed bool) {
	index := s.failedIndex(c)
	switch {
	case index < 0 && failed:
		s.failedChildren = append(s.failedChildren, failedChild{id: c.identity(), shed: shed})
	case index >= 0 && s.failedChildren[index].retries > 0:
		s.failedChildren[index].retries--
		s.failedChildren[index].shed = shed
		if !failed {
			s.failedChildren = slices.Delete(s.failedChildren, index, index+1)
		}
	}
}

// keyIndex returns the index of the key of the booking that c repeats, or -1.
func (s *callState) keyIndex(c Child) int {
	return slices.IndexFunc(s.keys, func(k boundKey) bool { return k.id == c.identity() && k.content == c.Content })
}

func (s *callState) key(c Child) string {
	if index := s.keyIndex(c); index >= 0 {
		return s.keys[index].key
	}
	return ""
}

func (s *callState) bindKey(c Child, key string) {
	if index := s.keyIndex(c); index >= 0 {
		s.keys[index].key = key
		return
	}
	s.keys = append(s.keys, boundKey{id: c.identity(), content: c.Content, key: key})
}

// updateKey keeps the key of a child booking if its outcome is unknown, and removes it
// otherwise.
func (s *callState) updateKey(c Child, result ChildResult) {
	if result.Key == "" {
		return
	}
	if result.Outcome == call.Unknown {
		s.bindKey(c, result.Key)
		return
	}
	if index := s.keyIndex(c); index >= 0 && s.keys[index].key == result.Key {
		s.keys = slices.Delete(s.keys, index, index+1)
	}
}
