package mesh

import (
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/site"
)

const (
	// budgetShare is the part of the deployment's retry budget that nodes use. The
	// calls of a request that runs again count as repeats too: in chains of three
	// hops, each with its own retries, they used three times what the nodes had
	// granted.
	budgetShare = 0.2
	// leafShare applies to services that call no others. Their own attempts and
	// the calls of requests that run again at two hops above, each with
	// budgetShare, add up to 0.85 of the budget.
	leafShare = 0.45
	// leafMemory is how long a service must have made no calls to be one of these.
	leafMemory = 5 * time.Second
)

// retryBudget bounds the attempts beyond the first of each request, per service.
// Each node uses a share of its own requests, and its part of the slack, so that
// all nodes together stay within the deployment's budget.
type retryBudget struct {
	bounds site.Bounds
	nodes  func() int

	mu       sync.Mutex
	services map[string]*retryTokens
}

// retryTokens is a bucket that fills with requests and with time.
type retryTokens struct {
	tokens  float64
	updated time.Time
	// callsAt is when the service was last known to call others, or not known.
	callsAt time.Time
}

// share is the part of the deployment's budget that nodes use for the service.
func (t *retryTokens) share() float64 {
	if t.updated.Sub(t.callsAt) > leafMemory {
		return leafShare
	}
	return budgetShare
}

func newRetryBudget(bounds site.Bounds, nodes func() int) *retryBudget {
	return &retryBudget{bounds: bounds, nodes: nodes, services: make(map[string]*retryTokens)}
}

// arrived adds the share of a request to the budget of its service.
func (b *retryBudget) arrived(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service)
	t.tokens = min(t.tokens+t.share()*b.bounds.RetryRatio, b.capacity(t))
}

// heard takes in whether a node of the service says that its backend server makes
// no calls.
func (b *retryBudget) heard(service string, leaf bool) {
	if leaf {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service)
	t.callsAt = t.updated
}

// take reports whether another attempt is allowed, and counts it.
func (b *retryBudget) take(service string) (ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service)
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// slack is this node's part of the slack for a service.
func (b *retryBudget) slack(t *retryTokens) float64 {
	return t.share() * b.bounds.RetrySlack / float64(max(b.nodes(), 1))
}

// capacity is what a bucket holds: the part of the slack, and one attempt at
// least, so that shares of requests can add up to one.
func (b *retryBudget) capacity(t *retryTokens) float64 { return max(b.slack(t), 1) }

func (b *retryBudget) bucket(service string) *retryTokens {
	now := time.Now()
	t := b.services[service]
	if t == nil {
		// A whole token for each node would exceed the slack in a large deployment.
		t = &retryTokens{updated: now, callsAt: now}
		t.tokens = b.slack(t)
		b.services[service] = t
	}
	if window := b.bounds.RetryWindow; window > 0 {
		// The slack is granted once in each window.
		t.tokens = min(t.tokens+b.slack(t)*float64(now.Sub(t.updated))/float64(window), b.capacity(t))
	}
	t.updated = now
	return t
}
