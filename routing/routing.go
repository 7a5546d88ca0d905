// Package routing chooses the upstream that receives a call: the less loaded of two
// random upstreams with spare capacity, in the local availability zone if there are
// any, or else in the local region, or else in another region. Where upstreams report how
// long they need for a call, the one that is expected to answer first is chosen instead.
//
// # Usage
//
// A node keeps one [Table], replaces the upstreams of a service when membership
// changes, and reports each attempt:
//
//	table := routing.New("addis", "addis-a")
//	table.Replace(now, "orders", upstreams)
//	upstream, ok := table.Choose(now, routing.Query{Service: "orders", Cost: size})
//	...
//	table.RecordSent(now, "orders", upstream.Node, size)
//	...
//	table.RecordResult(now, "orders", upstream.Node, size, routing.Report{Result: routing.Succeeded})
//
// When a booking has been refused because of overload, [Table.StartShedding] starts a
// short period during which [Table.IsShedding] is true for less important calls to
// the service.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/call"
)

// Upstream is a backend server together with its node.
type Upstream struct {
	// Node is the node's ID.
	Node string
	// Address is the node's peer address.
	Address string
	// Region and Zone are the region and the availability zone of the node.
	Region, Zone string
	// Slots is the largest number of calls the backend server runs at once.
	Slots int
}

// Query is a call that needs an upstream.
type Query struct {
	// Service is the called service.
	Service string
	// Importance is the importance of the call.
	Importance call.Importance
	// Tried lists the IDs of the nodes to exclude, because they were tried before.
	Tried []string
	// Cost is the known part of the size of the call, in bytes.
	Cost int64
	// Region restricts the choice to the upstreams of a region, even if none of them
	// has spare capacity. If it is empty, there is no restriction.
	Region string
	// Route and TimeLeft are the route of the call and the time in which it must be
	// answered, or 0 if that is unknown. They matter only where upstreams report run times.
	Route    string
	TimeLeft time.Duration
}

// Result is the result of an attempt.
type Result uint8

const (
	// Succeeded means that a complete answer was received.
	Succeeded Result = iota
	// Refused means that the sidecar did not run the call.
	Refused
	// Failed means that the call may have run, but no complete answer was received.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
)

// Report describes the result of an attempt and the state of its upstream.
type Report struct {
	// Load is the load that the answer reported. It is valid if HasLoad is true.
	Load    admission.Load
	HasLoad bool
	// Result is the result of the attempt.
	Result Result
	// Bytes is the size of the answer.
	Bytes int64
	// Run is how long the upstream needs for a call of the route at present, and MeanRun
	// that for a call of any route, or 0 if it does not report that. Paced is true if it
	// reports run times, but not necessarily that of the route.
	Route        string
	Paced        bool
	Run, MeanRun time.Duration
}

const (
	// bytesPerCall is the number of bytes in flight that add as much to the load of an
	// upstream as one more call.
	bytesPerCall = 64 << 10
	// callOverheadBytes is added to the cost of each call for headers and connection
	// set-up.
	callOverheadBytes = 1 << 10
	// remoteBurstBytes is the traffic to other regions that is allowed regardless of
	// the remote share, so that services with little traffic can use other regions.
	remoteBurstBytes = 4 << 10
	// trafficHalfLife is the half-life of the traffic counters.
	trafficHalfLife = time.Second
	// maxReportAge is the age up to which a reported load is used.
	maxReportAge = time.Second

	defaultRemoteShare = 0.25
	defaultShedTime    = time.Second
	defaultRecovery    = time.Second
	minWeight          = 0.05
)

// weightFactors holds the factor by which each result of an attempt changes the weight
// of its upstream.
var weightFactors = [...]float64{Succeeded: 1, Refused: 0.5, Failed: 0.5, Unreachable: 0.1}

// tier is the distance of an upstream from this node, nearest first.
type tier uint8

const (
	zoneTier tier = iota
	regionTier
	remoteTier
)

// Table holds the upstreams of all services. It is not safe for concurrent use.
type Table struct {
	region, zone string
	random       *rand.Rand
	remoteShare  float64
	shedTime     time.Duration
	recovery     time.Duration
	services     map[string]*service
	remoteBytes  int64
	candidates   []int
}

type service struct {
	// upstreams is sorted by tier, and within a tier in the order of Replace.
	upstreams []upstreamState
	// localBytes and remoteBytes count the traffic to the local region and to other
	// regions. They decay with trafficHalfLife.
	localBytes, remoteBytes float64
	decayedAt               time.Time
	// shedUntil is the end of the period in which calls less important than shedBelow
	// are refused.
	shedUntil time.Time
	shedBelow call.Importance
	timing    timing
}

// Option changes a new table.
type Option func(*Table)

// WithRandom sets the source of random numbers for choices and jitter.
func WithRandom(random *rand.Rand) Option { return func(t *Table) { t.random = random } }

// WithRemoteShare sets the largest share of a service's traffic that may go to other
// regions while there are upstreams in the local region.
func WithRemoteShare(share float64) Option { return func(t *Table) { t.remoteShare = share } }

// WithShedTime sets the length of the period that [Table.StartShedding] starts.
func WithShedTime(d time.Duration) Option { return func(t *Table) { t.shedTime = d } }

// WithRecovery sets the mean time in which the weight of an upstream returns to its
// full value after a refusal or failure.
func WithRecovery(d time.Duration) Option { return func(t *Table) { t.recovery = d } }

// New returns an empty table for a node in the given region and availability zone.
func New(region, zone string, opts ...Option) *Table {
	t := &Table{
		region: region, zone: zone,
		remoteShare: defaultRemoteShare, shedTime: defaultShedTime, recovery: defaultRecovery,
		services: make(map[string]*service),
	}
	for _, opt := range opts {
		opt(t)
	}
	if t.random == nil {
		t.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return t
}

// Replace sets the upstreams of a service. It keeps the recorded state of upstreams
// whose node and address have not changed.
func (t *Table) Replace(now time.Time, serviceName string, upstreams []Upstream) {
	s := t.services[serviceName]
	if s == nil {
		s = &service{decayedAt: now}
		t.services[serviceName] = s
	}
	states := make([]upstreamState, 0, len(upstreams))
	for _, u := range upstreams {
		state := upstreamState{weight: 1}
		if old := s.find(u.Node); old != nil && old.Address == u.Address {
			state = *old
		}
		state.Upstream, state.tier = u, t.tierOf(u)
		states = append(states, state)
	}
	slices.SortStableFunc(states, func(a, b upstreamState) int { return int(a.tier) - int(b.tier) })
	s.upstreams = states
	s.updateTimed()
}

// Choose returns the upstream for a call. ok is false if every upstream has been
// tried, or if the remaining upstreams are in other regions and the share of traffic
// that may go there is used up.
func (t *Table) Choose(now time.Time, q Query) (u Upstream, ok bool) {
	s := t.services[q.Service]
	if s == nil {
		return Upstream{}, false
	}
	if s.timing.timed {
		return t.chooseByTime(s, now, q)
	}
	if q.Region != "" {
		return t.chooseInRegion(s, now, q)
	}
	for start := 0; start < len(s.upstreams); {
		end := s.tierEnd(start)
		if s.upstreams[start].tier == remoteTier && !t.remoteAllowed(s, q.Cost) {
			break
		}
		t.collect(s, start, end, q, now, true)
		if u, ok = t.pick(s, now, q.Cost); ok {
			return u, true
		}
		start = end
	}
	return t.chooseWithoutSpare(s, now, q)
}

// chooseInRegion chooses among the upstreams of the region of the query: from those
// with spare capacity in the nearest tier, or from all if none has spare capacity.
func (t *Table) chooseInRegion(s *service, now time.Time, q Query) (u Upstream, ok bool) {
	for start := 0; start < len(s.upstreams); start = s.tierEnd(start) {
		t.collect(s, start, s.tierEnd(start), q, now, true)
		if u, ok = t.pick(s, now, q.Cost); ok {
			return u, true
		}
	}
	t.collect(s, 0, len(s.upstreams), q, now, false)
	return t.pick(s, now, q.Cost)
}

// chooseWithoutSpare chooses if no upstream has spare capacity. It prefers the local
// region: calls wait there in a queue instead of crossing regions.
func (t *Table) chooseWithoutSpare(s *service, now time.Time, q Query) (u Upstream, ok bool) {
	remoteStart := s.remoteStart()
	t.collect(s, 0, remoteStart, q, now, false)
	if u, ok = t.pick(s, now, q.Cost); ok || !t.remoteAllowed(s, q.Cost) {
		return u, ok
	}
	t.collect(s, remoteStart, len(s.upstreams), q, now, false)
	return t.pick(s, now, q.Cost)
}

// RecordSent records that an attempt was sent to the node.
func (t *Table) RecordSent(now time.Time, serviceName, node string, cost int64) {
	s, state := t.find(serviceName, node)
	if state == nil {
		return
	}
	s.decay(now)
	state.inFlight++
	state.cost += cost
	t.countBytes(s, state, cost+callOverheadBytes)
}

// RecordResult records the result of an attempt at the node.
func (t *Table) RecordResult(now time.Time, serviceName, node string, cost int64, report Report) {
	s, state := t.find(serviceName, node)
	if state == nil {
		return
	}
	s.decay(now)
	state.inFlight = max(state.inFlight-1, 0)
	state.cost = max(state.cost-cost, 0)
	t.countBytes(s, state, report.Bytes)
	if report.Result >= Refused && report.Result != Failed && state.tier != remoteTier {
		// A call that did not run must not add to the local traffic, because this
		// would raise the traffic allowed to other regions.
		s.localBytes = max(s.localBytes-float64(cost+callOverheadBytes), 0)
	}
	if report.HasLoad {
		state.load, state.reportedAt, state.reportedInFlight = report.Load, now, state.inFlight
	}
	s.recordRun(now, state, report)
	if factor := weightFactors[min(report.Result, Unreachable)]; factor < 1 {
		state.weight = max(state.currentWeight(now)*factor, minWeight)
		state.weightSetAt = now
		state.fullWeightAt = now.Add(t.recovery/2 + time.Duration(t.random.Int64N(int64(t.recovery)+1)))
	}
}

// StartShedding starts a period in which calls less important than i are refused. It
// is called when a booking of importance i was refused because of overload.
func (t *Table) StartShedding(now time.Time, serviceName string, i call.Importance) {
	s := t.services[serviceName]
	if s == nil {
		return
	}
	if now.Before(s.shedUntil) && s.shedBelow > i {
		return
	}
	s.shedUntil, s.shedBelow = now.Add(t.shedTime), i
}

// IsShedding reports whether a call of importance i must be refused, because a more
// important booking was refused a short time ago.
func (t *Table) IsShedding(now time.Time, serviceName string, i call.Importance) bool {
	s := t.services[serviceName]
	return s != nil && i < s.shedBelow && now.Before(s.shedUntil)
}

// Tick decays the traffic counters.
func (t *Table) Tick(now time.Time) {
	for _, s := range t.services {
		s.decay(now)
	}
}

// RemoteBytes returns the number of bytes sent to and received from other regions.
func (t *Table) RemoteBytes() int64 { return t.remoteBytes }

func (t *Table) tierOf(u Upstream) tier {
	switch {
	case u.Region != t.region:
		return remoteTier
	case u.Zone != t.zone:
		return regionTier
	default:
		return zoneTier
	}
}

// remoteAllowed reports whether another call may go to other regions. If there is no
// upstream in the local region, all calls may go there.
func (t *Table) remoteAllowed(s *service, cost int64) bool {
	if s.remoteStart() == 0 {
		return true
	}
	next := s.remoteBytes + float64(cost+callOverheadBytes)
	return next <= max(t.remoteShare*(s.localBytes+next), remoteBurstBytes)
}

// collect sets the candidates to the untried upstreams in the range from start to
// end. If spareOnly is true, it includes only those with spare capacity.
func (t *Table) collect(s *service, start, end int, q Query, now time.Time, spareOnly bool) {
	t.candidates = t.candidates[:0]
	bestWeight := 0.0
	if spareOnly {
		bestWeight = s.bestWeight(now)
	}
	for i := start; i < end; i++ {
		state := &s.upstreams[i]
		if q.excludes(state) || spareOnly && !state.hasSpareCapacity(now, bestWeight) {
			continue
		}
		t.candidates = append(t.candidates, i)
	}
}

// excludes reports whether the upstream was tried or is outside the region of the query.
func (q Query) excludes(u *upstreamState) bool {
	return slices.Contains(q.Tried, u.Node) || q.Region != "" && u.Region != q.Region
}

// pick returns the less loaded of two random candidates.
func (t *Table) pick(s *service, now time.Time, cost int64) (u Upstream, ok bool) {
	n := len(t.candidates)
	if n == 0 {
		return Upstream{}, false
	}
	a := t.random.IntN(n)
	if n > 1 {
		b := t.random.IntN(n - 1)
		if b >= a {
			b++
		}
		if s.upstreams[t.candidates[b]].score(now, cost) < s.upstreams[t.candidates[a]].score(now, cost) {
			a = b
		}
	}
	return s.upstreams[t.candidates[a]].Upstream, true
}

// countBytes adds bytes to the traffic of the service with the upstream.
func (t *Table) countBytes(s *service, state *upstreamState, bytes int64) {
	if state.tier == remoteTier {
		t.remoteBytes += bytes
		s.remoteBytes += float64(bytes)
		return
	}
	s.localBytes += float64(bytes)
}

func (t *Table) find(serviceName, node string) (s *service, state *upstreamState) {
	if s = t.services[serviceName]; s == nil {
		return nil, nil
	}
	return s, s.find(node)
}

func (s *service) find(node string) *upstreamState {
	for i := range s.upstreams {
		if s.upstreams[i].Node == node {
			return &s.upstreams[i]
		}
	}
	return nil
}

// tierEnd returns the end of the tier that starts at the index start.
func (s *service) tierEnd(start int) int {
	end := start + 1
	for end < len(s.upstreams) && s.upstreams[end].tier == s.upstreams[start].tier {
		end++
	}
	return end
}

// remoteStart returns the index of the first upstream in another region.
func (s *service) remoteStart() int {
	start := len(s.upstreams)
	for start > 0 && s.upstreams[start-1].tier == remoteTier {
		start--
	}
	return start
}

func (s *service) decay(now time.Time) {
	for now.Sub(s.decayedAt) >= trafficHalfLife {
		s.localBytes /= 2
		s.remoteBytes /= 2
		s.decayedAt = s.decayedAt.Add(trafficHalfLife)
		if s.localBytes+s.remoteBytes < 1 {
			s.decayedAt = now
		}
	}
}

// bestWeight returns the highest weight of the upstreams.
func (s *service) bestWeight(now time.Time) (weight float64) {
	for i := range s.upstreams {
		weight = max(weight, s.upstreams[i].currentWeight(now))
	}
	return weight
}
