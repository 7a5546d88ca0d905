package mesh

import (
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

const (
	// budgetShare is the part of the deployment's retry budget that nodes spend.
	// When a request runs again, the calls that it makes count as retries too: in
	// chains of three hops that each retry, they added up to three times the
	// retries that the nodes had granted.
	budgetShare = 0.2
	// leafShare is the part for leaf services. Their own retries, and the calls of
	// requests that are retried with budgetShare at the two hops above, add up to
	// 0.85 of the budget.
	leafShare = 0.45
	// leafIdleTime is how long a service must have made no calls to count as a
	// leaf.
	leafIdleTime = 5 * time.Second
)

// retryBudget limits the retries per service. Each node may retry a share of
// its own requests, and has a part of the fixed slack, so that all nodes
// together stay within the budget of the deployment.
type retryBudget struct {
	bounds    nodeconfig.Bounds
	nodeCount func() int

	mu       sync.Mutex
	services map[string]*retryTokens
}

// retryTokens is a token bucket that is filled by requests and by time.
type retryTokens struct {
	tokens  float64
	updated time.Time
	// lastCallAt is when the service was last known to make calls. Until that is
	// known, it is the creation time of the bucket.
	lastCallAt time.Time
}

// share returns the part of the deployment's budget that nodes spend on the
// service.
func (t *retryTokens) share() float64 {
	if t.updated.Sub(t.lastCallAt) > leafIdleTime {
		return leafShare
	}
	return budgetShare
}

func newRetryBudget(bounds nodeconfig.Bounds, nodeCount func() int) *retryBudget {
	return &retryBudget{bounds: bounds, nodeCount: nodeCount, services: make(map[string]*retryTokens)}
}

// addRequest adds the tokens for one request to the bucket of its service.
func (b *retryBudget) addRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service)
	t.tokens = min(t.tokens+t.share()*b.bounds.RetryRatio, b.capacity(t))
}

// recordLeaf records whether a node of the service reported its backend server
// as a leaf.
func (b *retryBudget) recordLeaf(service string, leaf bool) {
	if leaf {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service)
	t.lastCallAt = t.updated
}

// trySpend takes a token and reports whether there was one, so that the request
// may be retried.
func (b *retryBudget) trySpend(service string) (ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service)
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// slack returns this node's part of the slack for a service.
func (b *retryBudget) slack(t *retryTokens) float64 {
	return t.share() * b.bounds.RetrySlack / float64(max(b.nodeCount(), 1))
}

// capacity returns the maximum number of tokens in a bucket: the part of the
// slack, but at least one, so that fractions from several requests can add up
// to one retry.
func (b *retryBudget) capacity(t *retryTokens) float64 { return max(b.slack(t), 1) }

func (b *retryBudget) bucket(service string) *retryTokens {
	now := time.Now()
	t := b.services[service]
	if t == nil {
		// A whole token for each node would exceed the slack in a large deployment.
		t = &retryTokens{updated: now, lastCallAt: now}
		t.tokens = b.slack(t)
		b.services[service] = t
	}
	if window := b.bounds.RetryWindow; window > 0 {
		// The slack is granted once per window.
		t.tokens = min(t.tokens+b.slack(t)*float64(now.Sub(t.updated))/float64(window), b.capacity(t))
	}
	t.updated = now
	return t
}
