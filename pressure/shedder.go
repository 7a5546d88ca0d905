package pressure

import (
	"math"
	"sync"
	"time"
)

const (
	// levelTimeConstant is the time constant of the moving average of the levels
	// that answers report. The delays of the averages at all hops of the call
	// tree add up.
	levelTimeConstant = 100 * time.Millisecond
	// minReportWeight is the minimum weight of one reported level in the average.
	minReportWeight = 0.02
	// staleTimeConstant is the time constant with which a level decays while no
	// answer reports a new one. When few requests are admitted, there are few
	// answers to report that the level has fallen. The decay starts after a
	// quarter of this time.
	staleTimeConstant = 2 * time.Second
	// minAdmittedShare is the share of the requests of each rank that the local
	// region always admits, so that answers report when the overload is over.
	minAdmittedShare = 0.1
	// informedShare takes its place while other nodes answer questions for the level, which then
	// report the end.
	informedShare = 0.02
	// minLevel is the level below which a target is forgotten.
	minLevel = 0.001
	// initialCredit is the credit of a rank before its first request.
	initialCredit = 0.5

	// maxRemoteLevel is the level from which on no requests are sent to another
	// region, because they would displace that region's own requests.
	maxRemoteLevel = 0.1
)

// Target identifies the requests of one route that are sent to one region.
type Target struct {
	Route, Region string
}

// Shedder tracks the reported level of each target and decides which requests to
// that target are admitted. It is safe for concurrent use.
type Shedder struct {
	mu      sync.Mutex
	targets map[Target]*targetState
}

type targetState struct {
	level     float64
	updatedAt time.Time
	// credits accumulate the admitted share of each request, by its rank. A request is
	// admitted when that of its rank reaches 1, and uses up 1.
	credits map[int]float64
	// informedUntil is until when the level is known without admitted requests.
	informedUntil time.Time
}

// NewShedder returns a shedder that admits all requests until levels are reported.
func NewShedder() *Shedder { return &Shedder{targets: make(map[Target]*targetState)} }

// maxTargets bounds the targets in memory. Targets with level 0 are not stored.
const maxTargets = 4096

// RecordLevel records the level that an answer from the target reports.
func (s *Shedder) RecordLevel(now time.Time, target Target, level float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.targets[target]
	if state == nil {
		if level == 0 || len(s.targets) >= maxTargets {
			return
		}
		state = &targetState{updatedAt: now.Add(-levelTimeConstant), credits: make(map[int]float64)}
		s.targets[target] = state
	}
	elapsed := now.Sub(state.updatedAt)
	state.level = state.levelAt(now)
	state.level += max(sampleWeight(elapsed, levelTimeConstant), minReportWeight) * (level - state.level)
	state.updatedAt = now
	if state.level < minLevel {
		delete(s.targets, target)
	}
}

// RecordAnswer records the level that a node has stated in answer to a question. Until the given
// time, fewer requests have to be admitted in order to notice the end of an overload.
func (s *Shedder) RecordAnswer(now time.Time, target Target, level float64, informedUntil time.Time) {
	s.RecordLevel(now, target, level)
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.targets[target]; state != nil {
		state.informedUntil = informedUntil
	}
}

// Targets returns the targets with a level above 0, and forgets the others.
func (s *Shedder) Targets(now time.Time) (targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for target, state := range s.targets {
		if state.levelAt(now) < minLevel {
			delete(s.targets, target)
			continue
		}
		targets = append(targets, target)
	}
	return targets
}

// Level returns the present level of a target, or 0 if none is recorded.
func (s *Shedder) Level(now time.Time, target Target) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.targets[target]; state != nil {
		return state.levelAt(now)
	}
	return 0
}

// Admit reports whether a request to the local region is admitted. Customer
// requests are divided into ranks by importance. rank is the rank of the request,
// with 0 for the most important one, and ranks is the number of ranks.
func (s *Shedder) Admit(now time.Time, target Target, rank, ranks int) (ok bool) {
	return s.admit(now, target, rank, func(level, least float64) float64 { return share(level, rank, ranks, least) })
}

// AdmitRemote reports whether a request that the local region refuses may be
// sent to the target, which is in another region.
func (s *Shedder) AdmitRemote(now time.Time, target Target) (ok bool) {
	return s.admit(now, target, 0, func(level, _ float64) float64 { return max(1-level/maxRemoteLevel, 0) })
}

func (s *Shedder) admit(now time.Time, target Target, rank int, shareAt func(level, least float64) float64) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.targets[target]
	if state == nil {
		return true
	}
	share := shareAt(state.levelAt(now), state.leastShare(now))
	// Evenly spaced refusals keep the rate of admitted requests steadier than
	// random ones.
	credit, ok := state.credits[rank]
	if !ok {
		credit = initialCredit
	}
	credit += share
	ok = credit >= 1
	if ok {
		credit--
	}
	state.credits[rank] = credit
	return ok
}

// Share returns the share of the requests of a rank that is admitted at a level,
// with rank 0 for the most important of the given number of ranks.
func Share(level float64, rank, ranks int) float64 {
	return share(level, rank, ranks, minAdmittedShare)
}

func share(level float64, rank, ranks int, least float64) float64 {
	lessImportantRanks := float64(ranks - 1 - rank)
	return min(max(1-(level-lessImportantRanks), least), 1)
}

// Share returns the share of the requests of a rank that is admitted at present.
func (s *Shedder) Share(now time.Time, target Target, rank, ranks int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.targets[target]; state != nil {
		return share(state.levelAt(now), rank, ranks, state.leastShare(now))
	}
	return 1
}

// leastShare returns the share of each rank that is always admitted.
func (s *targetState) leastShare(now time.Time) float64 {
	if now.Before(s.informedUntil) {
		return informedShare
	}
	return minAdmittedShare
}

// levelAt returns the level at the given time. It decays exponentially while no
// new level is reported and none is known from an answer.
func (s *targetState) levelAt(now time.Time) float64 {
	staleness := min(now.Sub(s.updatedAt)-staleTimeConstant/4, now.Sub(s.informedUntil))
	if staleness <= 0 {
		return s.level
	}
	return s.level * math.Exp(-float64(staleness)/float64(staleTimeConstant))
}
