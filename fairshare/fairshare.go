// Package fairshare divides the admitted part of the requests of a rank between workspaces.
//
// # Usage
//
//	divider := fairshare.New(rand.Float64)
//	decision := divider.Admit(now, route, share, request)
//	if !decision.Verdict.Admitted() { divider.ExpectReturn(now, request, retryAfter) }
//
// The share is the admitted part of all requests of the route and rank, as package pressure
// derives it from the level. The total stays at that share; the divider decides only whose
// requests are admitted, by max-min fairness: a workspace that asks for less than its share is
// admitted in full, and what it leaves goes to the others in proportion to their weights.
//
// The demand of a workspace is counted over all routes of the rank, because one node sees few
// requests of a workspace on one route. The share that a unit of weight gets is found per route,
// such that the requests that have arrived there lately are admitted at the share in total.
//
// A request that returns at the time that it was told goes before new ones of its workspace and
// rank, at the expense of their part only.
//
// It is designed for 5,000 workspaces and for nodes with 20 to 1,000 customer requests a second.
// A request takes a constant number of operations. The package does no I/O, and all methods get
// the time as an argument.
package fairshare

import (
	"sync"
	"time"
)

const (
	// maxDemands bounds the pairs of workspace and priority in memory, and maxRoutes the pairs
	// of route and priority.
	maxDemands = 5000
	maxRoutes  = 1024
	// minWeight keeps a small share for workspaces with a cap far below the mean, all of whose
	// callers may be at one node.
	minWeight = 0.05
	// maxBalance is the number of requests by which the admitted ones of a workspace may fall
	// short of its part. The next one is admitted then.
	maxBalance = 1.5
	// maxDebt is how many requests of a workspace that return may be admitted in advance of the
	// part of the workspace.
	maxDebt = 2
	// minNewShare is the part of the requests admitted otherwise that is admitted of new ones
	// while returning ones go first. If new requests were all refused, all callers would have
	// to wait, and one that can't would get no answer at all.
	minNewShare = 0.25
)

// Request is what the decision on a request depends on.
type Request struct {
	Workspace string
	// Priority is the priority of the request. Requests with the same one have the same rank.
	Priority int
	// Weight is the weight of the workspace relative to the mean, or 0 for the mean.
	Weight float64
	// Fingerprint is the same for a request and its repetition, and differs between most others.
	Fingerprint uint64
}

// Verdict is the decision on a request.
type Verdict uint8

const (
	// Unrestricted requests are admitted because all of their rank are.
	Unrestricted Verdict = iota
	// WithinShare requests are admitted because their workspace asks for less than its share.
	WithinShare
	// BeyondShare requests are admitted although their workspace asks for more than its share.
	BeyondShare
	// Returned requests are admitted before new ones of their workspace.
	Returned
	// Refused requests are not admitted.
	Refused
)

var verdictNames = [...]string{
	Unrestricted: "unrestricted", WithinShare: "withinShare", BeyondShare: "beyondShare", Returned: "returned", Refused: "refused",
}

// String returns the name of the verdict in metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Admitted reports whether the request is admitted.
func (v Verdict) Admitted() bool { return v != Refused }

// Decision is the verdict on a request, with the values that led to it.
type Decision struct {
	Verdict Verdict
	// Demand is the rate at which the workspace sends requests of the rank, and Share the part
	// of it that is admitted at the fair rate of the route. Both are in requests per second.
	Demand, Share float64
}

// Divider divides the admitted requests of one node. It is safe for concurrent use.
type Divider struct {
	mu     sync.Mutex
	random func() float64
	// startedAt is the time of the first request.
	startedAt time.Time
	demands   *lru[demandKey, demand]
	routes    *lru[routeKey, routeState]
}

type demandKey struct {
	workspace string
	priority  int
}

type routeKey struct {
	route    string
	priority int
}

// New returns a divider that knows no workspace. random returns numbers from 0 up to 1.
func New(random func() float64) *Divider {
	return &Divider{random: random, demands: newLRU[demandKey, demand](maxDemands), routes: newLRU[routeKey, routeState](maxRoutes)}
}

// Workspaces returns the number of workspaces in memory, counted once for each priority.
func (d *Divider) Workspaces() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.demands.len()
}

// Admit decides on a request, given the share of the requests of its route and rank that is
// admitted in total.
func (d *Divider) Admit(now time.Time, route string, share float64, r Request) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	demand := d.demands.get(demandKey{r.Workspace, r.Priority})
	rate := demand.recordRequest(now, d.startedAt)
	returned := demand.recordReturn(now, r.Fingerprint)
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	state := d.routes.get(routeKey{route, r.Priority})
	ratio := max(weight, minWeight) / rate
	state.recordRequest(now, ratio)
	if share >= 1 {
		state.balance = 0
		return Decision{Verdict: Unrestricted, Demand: rate, Share: rate}
	}
	fairRate := state.fairRate(share)
	probability := min(ratio*fairRate, 1)
	verdict := d.decide(demand, probability, returned)
	state.recordDecision(share, verdict.Admitted())
	return Decision{Verdict: verdict, Demand: rate, Share: probability * rate}
}

// decide decides on a request that is to be admitted with the probability.
func (d *Divider) decide(demand *demand, probability float64, returned bool) Verdict {
	if probability >= 1 {
		return WithinShare
	}
	verdict := Refused
	switch {
	case returned && demand.balance > -maxDebt:
		verdict = Returned
	// A fixed pattern could meet the pattern of the requests and always refuse the same ones.
	case d.random() < demand.corrected(probability):
		verdict = BeyondShare
	}
	demand.balance += probability
	if verdict.Admitted() {
		demand.balance--
	}
	return verdict
}

// ExpectReturn records that the caller of a refused request has been told to return after the
// time.
func (d *Divider) ExpectReturn(now time.Time, r Request, after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.demands.get(demandKey{r.Workspace, r.Priority}).expectReturn(now, r.Fingerprint, now.Add(after))
}
