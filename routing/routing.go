// Package routing chooses the upstream that receives a call: the least loaded
// of two random ones in the nearest place that has spare capacity.
//
// # Usage
//
// A node keeps one [Table], replaces the upstreams of a service when
// membership changes, and reports each attempt:
//
//	table := routing.New("addis", "addis-a")
//	table.Replace(now, "orders", upstreams)
//	upstream, ok := table.Choose(now, routing.Query{Service: "orders", Cost: size})
//	...
//	table.Sent(now, "orders", upstream.Node, size)
//	...
//	table.Done(now, "orders", upstream.Node, size, routing.Report{End: routing.Succeeded})
//
// When a booking has been refused for overload, Shed starts a short time in
// which Sheds is true for less important calls to the service.
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
	// Region and Zone are where the node runs.
	Region, Zone string
	// Slots is the largest number of calls the backend server runs at once.
	Slots int
}

// Query is a call that needs an upstream.
type Query struct {
	// Service is the called service.
	Service string
	// Importance is that of the call.
	Importance call.Importance
	// Tried lists the node IDs that are not chosen.
	Tried []string
	// Cost is the size of the call in bytes, as far as it is known.
	Cost int64
	// Region restricts the choice to upstreams of a region, with spare capacity
	// or without. It is empty for no restriction.
	Region string
}

// End is how an attempt ended.
type End uint8

const (
	// Succeeded means that a complete answer came.
	Succeeded End = iota
	// Refused means that the sidecar did not run the call.
	Refused
	// Failed means that the call may have run but no complete answer came.
	Failed
	// Unreachable means that no connection was made.
	Unreachable
)

// Report is what an attempt showed about its upstream.
type Report struct {
	// Load is the load that the answer stated. It counts if HasLoad is true.
	Load    admission.Load
	HasLoad bool
	// End is how the attempt ended.
	End End
	// Bytes is the size of the answer.
	Bytes int64
}

const (
	// costUnit is the size in bytes that counts as much as one more call.
	costUnit = 64 << 10
	// callCost is added to the cost of each call for headers and connection.
	callCost = 1 << 10
	// remoteBurst is the cost that may cross regions whatever the share is, so
	// that services with little traffic can use other regions at all.
	remoteBurst = 4 << 10
	// remoteHalfLife is the time after which past traffic counts half.
	remoteHalfLife = time.Second
	// reportAge is how long a stated load counts.
	reportAge = time.Second

	defaultRemoteShare = 0.25
	defaultShedTime    = time.Second
	defaultRecovery    = time.Second
	minWeight          = 0.05
)

// Weights of an upstream after an attempt ended in the given way, as a factor.
var endFactor = [...]float64{Succeeded: 1, Refused: 0.5, Failed: 0.5, Unreachable: 0.1}

// tier ranks upstreams by distance.
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
	// rows is sorted by tier, then by node.
	rows []row
	// local and remote are decayed sums of the cost sent.
	local, remote float64
	decayed       time.Time
	// shedUntil ends the time in which calls less important than shedBelow are
	// refused.
	shedUntil time.Time
	shedBelow call.Importance
}

type row struct {
	Upstream
	tier     tier
	inFlight int
	cost     int64

	load       admission.Load
	reportedAt time.Time
	// reportedInFlight is inFlight when the load was stated.
	reportedInFlight int

	// weight was set at weightAt and rises to 1 until fullAt.
	weight           float64
	weightAt, fullAt time.Time
}

// Option changes a new table.
type Option func(*Table)

// WithRandom sets the source of choices and jitter.
func WithRandom(random *rand.Rand) Option { return func(t *Table) { t.random = random } }

// WithRemoteShare sets the largest share of a service's traffic that may go to
// other regions while there are upstreams in the local one.
func WithRemoteShare(share float64) Option { return func(t *Table) { t.remoteShare = share } }

// WithShedTime sets how long [Table.Shed] lasts.
func WithShedTime(d time.Duration) Option { return func(t *Table) { t.shedTime = d } }

// WithRecovery sets the mean time in which the weight of an upstream returns to
// its full value.
func WithRecovery(d time.Duration) Option { return func(t *Table) { t.recovery = d } }

// New returns an empty table of a node in the given place.
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

// Replace sets the upstreams of a service. What is known about those that stay
// is kept.
func (t *Table) Replace(now time.Time, name string, upstreams []Upstream) {
	s := t.services[name]
	if s == nil {
		s = &service{decayed: now}
		t.services[name] = s
	}
	rows := make([]row, 0, len(upstreams))
	for _, u := range upstreams {
		r := row{weight: 1}
		if old := s.find(u.Node); old != nil && old.Address == u.Address {
			r = *old
		}
		r.Upstream, r.tier = u, t.tierOf(u)
		rows = append(rows, r)
	}
	slices.SortStableFunc(rows, func(a, b row) int { return int(a.tier) - int(b.tier) })
	s.rows = rows
}

// Choose returns the upstream for a call. ok is false if every upstream has
// been tried, or if those left are in other regions and the share of traffic
// that may go there is used up.
func (t *Table) Choose(now time.Time, q Query) (u Upstream, ok bool) {
	s := t.services[q.Service]
	if s == nil {
		return Upstream{}, false
	}
	if q.Region != "" {
		return t.chooseIn(s, now, q)
	}
	for at := 0; at < len(s.rows); {
		end := s.tierEnd(at)
		if s.rows[at].tier == remoteTier && !t.remoteAllowed(s, q.Cost) {
			break
		}
		t.collect(s, at, end, q, now, true)
		if u, ok = t.pick(s, now, q.Cost); ok {
			return u, true
		}
		at = end
	}
	return t.chooseFull(s, now, q)
}

// chooseIn chooses among the upstreams of a region: the nearest with spare
// capacity, or else the least loaded.
func (t *Table) chooseIn(s *service, now time.Time, q Query) (u Upstream, ok bool) {
	for at := 0; at < len(s.rows); at = s.tierEnd(at) {
		t.collect(s, at, s.tierEnd(at), q, now, true)
		if u, ok = t.pick(s, now, q.Cost); ok {
			return u, true
		}
	}
	t.collect(s, 0, len(s.rows), q, now, false)
	return t.pick(s, now, q.Cost)
}

// chooseFull chooses when no upstream has spare capacity: calls wait in the
// queues of the local region rather than cross regions.
func (t *Table) chooseFull(s *service, now time.Time, q Query) (u Upstream, ok bool) {
	remote := s.remoteStart()
	t.collect(s, 0, remote, q, now, false)
	if u, ok = t.pick(s, now, q.Cost); ok || !t.remoteAllowed(s, q.Cost) {
		return u, ok
	}
	t.collect(s, remote, len(s.rows), q, now, false)
	return t.pick(s, now, q.Cost)
}

// Sent records that an attempt was sent.
func (t *Table) Sent(now time.Time, name, node string, cost int64) {
	s, r := t.find(name, node)
	if r == nil {
		return
	}
	s.decay(now)
	r.inFlight++
	r.cost += cost
	t.count(s, r, cost+callCost)
}

// Done records how an attempt ended.
func (t *Table) Done(now time.Time, name, node string, cost int64, report Report) {
	s, r := t.find(name, node)
	if r == nil {
		return
	}
	s.decay(now)
	r.inFlight = max(r.inFlight-1, 0)
	r.cost = max(r.cost-cost, 0)
	t.count(s, r, report.Bytes)
	if report.End >= Refused && report.End != Failed && r.tier != remoteTier {
		// Calls that did not run would raise the allowance of other regions.
		s.local = max(s.local-float64(cost+callCost), 0)
	}
	if report.HasLoad {
		r.load, r.reportedAt, r.reportedInFlight = report.Load, now, r.inFlight
	}
	if factor := endFactor[min(report.End, Unreachable)]; factor < 1 {
		r.weight = max(r.weightOf(now)*factor, minWeight)
		r.weightAt = now
		r.fullAt = now.Add(t.recovery/2 + time.Duration(t.random.Int64N(int64(t.recovery)+1)))
	}
}

// Shed starts the time in which calls less important than i are refused,
// because a booking of that importance was refused for overload.
func (t *Table) Shed(now time.Time, name string, i call.Importance) {
	s := t.services[name]
	if s == nil {
		return
	}
	if now.Before(s.shedUntil) && s.shedBelow > i {
		return
	}
	s.shedUntil, s.shedBelow = now.Add(t.shedTime), i
}

// Sheds reports whether a call of the importance is refused, because a more
// important booking was refused a short time ago.
func (t *Table) Sheds(now time.Time, name string, i call.Importance) bool {
	s := t.services[name]
	return s != nil && i < s.shedBelow && now.Before(s.shedUntil)
}

// Tick lets past traffic count less.
func (t *Table) Tick(now time.Time) {
	for _, s := range t.services {
		s.decay(now)
	}
}

// RemoteBytes returns the bytes that crossed regions so far.
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

// remoteAllowed reports whether another call may go to other regions. Without
// any upstream in the local region all may.
func (t *Table) remoteAllowed(s *service, cost int64) bool {
	if s.remoteStart() == 0 {
		return true
	}
	next := s.remote + float64(cost+callCost)
	return next <= max(t.remoteShare*(s.local+next), remoteBurst)
}

// collect puts the untried rows of the range into the candidates, all or only
// those with spare capacity.
func (t *Table) collect(s *service, from, to int, q Query, now time.Time, spare bool) {
	t.candidates = t.candidates[:0]
	for i := from; i < to; i++ {
		r := &s.rows[i]
		if slices.Contains(q.Tried, r.Node) || q.Region != "" && r.Region != q.Region || spare && !r.spare(now) {
			continue
		}
		t.candidates = append(t.candidates, i)
	}
}

// pick returns the better of two random candidates.
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
		if s.rows[t.candidates[b]].score(now, cost) < s.rows[t.candidates[a]].score(now, cost) {
			a = b
		}
	}
	return s.rows[t.candidates[a]].Upstream, true
}

func (t *Table) count(s *service, r *row, bytes int64) {
	if r.tier == remoteTier {
		t.remoteBytes += bytes
		s.remote += float64(bytes)
		return
	}
	s.local += float64(bytes)
}

func (t *Table) find(name, node string) (s *service, r *row) {
	if s = t.services[name]; s == nil {
		return nil, nil
	}
	return s, s.find(node)
}

func (s *service) find(node string) *row {
	for i := range s.rows {
		if s.rows[i].Node == node {
			return &s.rows[i]
		}
	}
	return nil
}

// tierEnd returns the end of the tier that begins at the index.
func (s *service) tierEnd(at int) int {
	end := at + 1
	for end < len(s.rows) && s.rows[end].tier == s.rows[at].tier {
		end++
	}
	return end
}

func (s *service) remoteStart() int {
	at := len(s.rows)
	for at > 0 && s.rows[at-1].tier == remoteTier {
		at--
	}
	return at
}

func (s *service) decay(now time.Time) {
	for now.Sub(s.decayed) >= remoteHalfLife {
		s.local /= 2
		s.remote /= 2
		s.decayed = s.decayed.Add(remoteHalfLife)
		if s.local+s.remote < 1 {
			s.decayed = now
		}
	}
}

// weightOf rises linearly after a refusal or failure.
func (r *row) weightOf(now time.Time) float64 {
	if !now.Before(r.fullAt) {
		return 1
	}
	passed := float64(now.Sub(r.weightAt)) / float64(r.fullAt.Sub(r.weightAt))
	return r.weight + (1-r.weight)*passed
}

func (r *row) fresh(now time.Time) bool {
	return !r.reportedAt.IsZero() && now.Sub(r.reportedAt) < reportAge
}

// calls estimates the calls at the upstream: those that it stated, corrected by
// what this node has sent and got back since, and never less than this node's
// own.
func (r *row) calls(now time.Time) int {
	if !r.fresh(now) {
		return r.inFlight
	}
	return max(r.load.Running+r.load.Queued+r.inFlight-r.reportedInFlight, r.inFlight)
}

func (r *row) limit(now time.Time) int {
	if r.fresh(now) && r.load.Limit > 0 {
		return r.load.Limit
	}
	return max(r.Slots, 1)
}

// spare reports whether the upstream can start another call. A lowered weight
// counts as a lowered limit.
func (r *row) spare(now time.Time) bool {
	return float64(r.calls(now)) < r.weightOf(now)*float64(r.limit(now))
}

// score is the load after another call as a share of the weighted limit.
func (r *row) score(now time.Time, cost int64) float64 {
	load := float64(r.calls(now)+1) + float64(r.cost+cost)/costUnit
	return load / (r.weightOf(now) * float64(r.limit(now)))
}
