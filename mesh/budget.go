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
}

func newRetryBudget(bounds site.Bounds, nodes func() int) *retryBudget {
	return &retryBudget{bounds: bounds, nodes: nodes, services: make(map[string]*retryTokens)}
}

// arrived adds the share of a request to the budget of its service.
func (b *retryBudget) arrived(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service)
	t.tokens = min(t.tokens+budgetShare*b.bounds.RetryRatio, b.capacity())
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

// slack is this node's part of the slack.
func (b *retryBudget) slack() float64 {
	return budgetShare * b.bounds.RetrySlack / float64(max(b.nodes(), 1))
}

// capacity is what a bucket holds: the part of the slack, and one attempt at
// least, so that shares of requests can add up to one.
func (b *retryBudget) capacity() float64 { return max(b.slack(), 1) }

func (b *retryBudget) bucket(service string) *retryTokens {
	now := time.Now()
	t := b.services[service]
	if t == nil {
		// A whole token for each node would exceed the slack in a large deployment.
		t = &retryTokens{tokens: b.slack(), updated: now}
		b.services[service] = t
	}
	if window := b.bounds.RetryWindow; window > 0 {
		// The slack is granted once in each window.
		t.tokens = min(t.tokens+b.slack()*float64(now.Sub(t.updated))/float64(window), b.capacity())
	}
	t.updated = now
	return t
}
