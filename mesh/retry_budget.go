package mesh

import (
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/budget"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/throughput"
)

const (
	// repeatLimitShare is the part of the deployment's retry budget for the retries of
	// a service and the calls that repeated runs make to it. The rest is a margin: the
	// budgets of the nodes add up only if the traffic of all of them rises and falls
	// at the same time.
	repeatLimitShare = 0.9
	// callerShare is the part that services which call others may spend on retries. A
	// retry there can repeat all calls below it.
	callerShare = 0.2
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
	services map[string]*serviceBudget
}

// serviceBudget is the retry budget of one service at this node.
type serviceBudget struct {
	window *budget.Window
	// lastCallAt is when the service was last known to make calls. Until that is
	// known, it is the time of the first request.
	lastCallAt time.Time
}

func newRetryBudget(bounds nodeconfig.Bounds, nodeCount func() int) *retryBudget {
	return &retryBudget{bounds: bounds, nodeCount: nodeCount, services: make(map[string]*serviceBudget)}
}

// recordRequest counts a request for the service. repeatShare is the probability that
// a repeated run has made it.
func (b *retryBudget) recordRequest(service string, repeatShare float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.service(now, service).window.RecordRequest(now, repeatShare)
}

// recordLeaf records whether a node of the service reported its backend server
// as a leaf.
func (b *retryBudget) recordLeaf(service string, leaf bool) {
	if leaf {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.service(now, service).lastCallAt = now
}

// trySpend counts a retry and returns true if the budget allows one.
func (b *retryBudget) trySpend(service string) (ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	s := b.service(now, service)
	return s.window.Spend(now, b.limit(now, s))
}

// sustainable returns what the budget of the service allows the controller's calls from now on.
func (b *retryBudget) sustainable(now time.Time, service string, c *throughput.Controller) throughput.Retries {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(now, service)
	limit := b.limit(now, s)
	return throughput.Retries{
		RetriesPerS: s.window.SustainableRate(now, limit, c.Rates(), c.Duration(now, b.bounds.RetryWindow)),
		Available:   s.window.Available(now, limit), Ratio: limit.RetryRatio,
	}
}

// limit returns the part of the deployment's budget for the service that this node may
// spend.
func (b *retryBudget) limit(now time.Time, s *serviceBudget) budget.Limit {
	limit := budget.Limit{
		RetryRatio: repeatLimitShare * b.bounds.RetryRatio, RepeatRatio: repeatLimitShare * b.bounds.RetryRatio,
		Slack: repeatLimitShare * b.bounds.RetrySlack / float64(max(b.nodeCount(), 1)),
	}
	if now.Sub(s.lastCallAt) <= leafIdleTime {
		limit.RetryRatio = callerShare * b.bounds.RetryRatio
		limit.Slack = callerShare * b.bounds.RetrySlack / float64(max(b.nodeCount(), 1))
	}
	return limit
}

func (b *retryBudget) service(now time.Time, name string) *serviceBudget {
	s := b.services[name]
	if s == nil {
		s = &serviceBudget{window: budget.NewWindow(b.bounds.RetryWindow), lastCallAt: now}
		b.services[name] = s
	}
	return s
}
