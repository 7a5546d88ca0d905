// Package backoff decides after which time the callers of refused requests return.
//
// # Usage
//
//	planner := backoff.New(rand.Float64)
//	planner.Record(now, target, share, admitted)
//	if !admitted { retryAfter := planner.Plan(now, target, usable) }
//
// Callers return between the end of the overload, if it is in sight, and the last time that is
// of use to them. The planner keeps the number of callers that are to return by the time at
// which they do, and gives each the time at which the fewest others return, so that also a
// crowd that is refused at once comes back as a steady stream. The fewer callers are to return
// relative to the requests that are admitted, the sooner they do.
//
// It is designed for a hundred routes and nodes with 20 to 1,000 customer requests a second. A
// request takes a constant number of operations. The package does no I/O, and all methods get
// the time as an argument.
package backoff

import (
	"math"
	"sync"
	"time"
)

const (
	// MaxDelay is the latest time to return. The shortest time limit of callers is 1.5 s, and
	// the repeated request has to be answered within it.
	MaxDelay = time.Second
	// minDelay is the earliest time to return.
	minDelay = 100 * time.Millisecond
	// noEndShare is the earliest time to return while the end of the overload is not in sight,
	// as a share of the latest. A change of the level takes some 800 ms to have an effect.
	noEndShare = 0.4
	// maxEndShare is the latest start of the returns, as a share of the latest time, so that
	// there is room to spread them.
	maxEndShare = 0.5
	// minSpread is the time over which returns are spread at least.
	minSpread = 200 * time.Millisecond

	// slotLength is the resolution of the times, and slotCount the number of slots for which
	// returns are counted; they cover MaxDelay.
	slotLength = 25 * time.Millisecond
	slotCount  = 64

	// rateTimeConstant is the time constant of the moving average of the admitted requests.
	rateTimeConstant = time.Second
	// trendInterval is the time between the shares from which the end of the overload is
	// estimated, and minTrend the growth of the share per second from which it is in sight.
	trendInterval = 300 * time.Millisecond
	minTrend      = 0.05
	// maxTargets bounds the targets in memory. The states of all are dropped when there are
	// more.
	maxTargets = 4096
)

// Target identifies the requests that are admitted at one share.
type Target struct {
	Route    string
	Priority int
}

// Planner plans the returns of refused callers of one node. It is safe for concurrent use.
type Planner struct {
	mu     sync.Mutex
	random func() float64
	// startedAt is the time of the first request, from which slots are counted. Differences
	// of times do not change when the wall clock is set.
	startedAt time.Time
	targets   map[Target]*targetState
}

// New returns a planner without planned returns. random returns numbers from 0 up to 1.
func New(random func() float64) *Planner {
	return &Planner{random: random, targets: make(map[Target]*targetState)}
}

type targetState struct {
	// returns has the planned returns by slot, from slot current on; slot n is at n modulo
	// slotCount. pending is their sum.
	returns [slotCount]int
	current int64
	pending int
	// admitted is the number of admitted requests with weights that decay over
	// rateTimeConstant.
	admitted   float64
	recordedAt time.Time
	// share is the last share that is admitted, and trend its growth per second between the
	// last two marks.
	share, trend float64
	markedShare  float64
	markedAt     time.Time
}

// Record records the decision on a request, given the share of the requests of its target that
// is admitted. Requests to targets of which all are admitted are not recorded.
func (p *Planner) Record(now time.Time, target Target, share float64, admitted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.targets[target]
	if share >= 1 {
		if state != nil {
			state.share, state.trend = 1, 0
			if state.advance(p.slotOf(now)); state.pending == 0 {
				delete(p.targets, target)
			}
		}
		return
	}
	if state == nil {
		state = p.add(now, target)
		state.markedShare, state.markedAt = 1, now
	}
	state.recordShare(now, share)
	state.admitted *= math.Exp(-float64(now.Sub(state.recordedAt)) / float64(rateTimeConstant))
	state.recordedAt = now
	if admitted {
		state.admitted++
	}
}

func (p *Planner) add(now time.Time, target Target) *targetState {
	if len(p.targets) >= maxTargets {
		clear(p.targets)
	}
	state := &targetState{recordedAt: now, current: p.slotOf(now)}
	p.targets[target] = state
	return state
}

func (s *targetState) recordShare(now time.Time, share float64) {
	s.share = share
	if elapsed := now.Sub(s.markedAt); elapsed >= trendInterval {
		s.trend = (share - s.markedShare) / elapsed.Seconds()
		s.markedShare, s.markedAt = share, now
	}
}

// Plan returns when the caller of a refused request is to return. usable is the time after
// which a return is of no use to the caller any more.
func (p *Planner) Plan(now time.Time, target Target, usable time.Duration) (after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.targets[target]
	if state == nil {
		state = p.add(now, target)
	}
	state.advance(p.slotOf(now))
	latest := max(min(usable, MaxDelay), minDelay)
	earliest := state.earliest(latest)
	latest = min(latest, earliest+max(state.spread(), minSpread))
	first, end := p.slotOf(now.Add(earliest+slotLength-1)), p.slotOf(now.Add(latest))
	if first >= end {
		return earliest
	}
	slot := state.leastUsed(first, end, p.random())
	state.returns[slot%slotCount]++
	state.pending++
	begin := p.startedAt.Add(time.Duration(slot) * slotLength)
	return begin.Sub(now) + scale(p.random(), slotLength)
}

// slotOf returns the number of the slot that has the time. Concurrent requests get their times
// before they wait for the mutex, so a time may be before the first one; it is in slot 0.
func (p *Planner) slotOf(t time.Time) int64 {
	if p.startedAt.IsZero() {
		p.startedAt = t
	}
	return max(int64(t.Sub(p.startedAt)/slotLength), 0)
}

// Pending returns the number of returns that are planned for later times.
func (p *Planner) Pending(now time.Time) (returns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.targets {
		state.advance(p.slotOf(now))
		returns += state.pending
	}
	return returns
}

// Targets returns the number of targets in memory.
func (p *Planner) Targets() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.targets)
}

// earliest returns when returns begin to be of use, given the latest useful time.
func (s *targetState) earliest(latest time.Duration) time.Duration {
	if s.trend < minTrend {
		return max(scale(noEndShare, latest), minDelay)
	}
	untilEnd := (1 - s.share) / s.trend * float64(time.Second)
	return max(time.Duration(min(untilEnd, maxEndShare*float64(latest))), minDelay)
}

// spread returns the time that the admitted requests of the target would take to make up for
// the planned returns.
func (s *targetState) spread() time.Duration {
	rate := s.admitted / rateTimeConstant.Seconds()
	return time.Duration(min(float64(s.pending)/max(rate, 1), MaxDelay.Seconds()) * float64(time.Second))
}

// leastUsed returns a slot from first up to end with the fewest returns. The search starts at
// a random slot, so that the first of several equal slots is not always taken.
func (s *targetState) leastUsed(first, end int64, random float64) (slot int64) {
	number := end - first
	start := int64(random * float64(number))
	slot = first + start
	for n := range number {
		if other := first + (start+n)%number; s.returns[other%slotCount] < s.returns[slot%slotCount] {
			slot = other
		}
	}
	return slot
}

// advance drops the returns in slots before the one given.
func (s *targetState) advance(slot int64) {
	for n := 0; s.current < slot && n < slotCount; n++ {
		s.pending -= s.returns[s.current%slotCount]
		s.returns[s.current%slotCount] = 0
		s.current++
	}
	s.current = max(s.current, slot)
}

func scale(share float64, d time.Duration) time.Duration {
	return time.Duration(share * float64(d))
}
