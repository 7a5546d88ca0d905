package quarantine

import (
	"slices"
	"time"
)

// crash is the end of a server under a run.
type crash struct {
	id          CrashID
	started, at time.Time
	isolated    bool
}

// suspect is a request that was running at a server that crashed.
type suspect struct {
	// crashes is sorted by time. All of them came after cleared.
	crashes []crash
	// restored and restoredAt are the number of crashes in isolation of an earlier
	// conviction and the time of the last one. The number is 0 if there is none.
	restored   int
	restoredAt time.Time
	// cleared is the time of the last completed run, or zero.
	cleared time.Time
}

// addCrash adds a crash if it is not known. An age does not include the time that its message
// took, so a crash seems the later, the slower the message was. Of several times of the same
// crash, the earliest is the closest.
func (s *suspect) addCrash(c crash) (added bool) {
	if known := slices.IndexFunc(s.crashes, func(other crash) bool { return other.id == c.id }); known >= 0 {
		if c.at.Before(s.crashes[known].at) {
			s.crashes[known].started, s.crashes[known].at = c.started, c.at
			s.clear(s.cleared)
			s.sort()
		}
		return false
	}
	if !c.at.After(s.cleared) {
		return false
	}
	if len(s.crashes) == maxCrashes {
		// Crashes in isolation weigh most. If there are no others, the block has its maximum
		// length without the first one.
		oldest := max(slices.IndexFunc(s.crashes, func(c crash) bool { return !c.isolated }), 0)
		s.crashes = slices.Delete(s.crashes, oldest, oldest+1)
	}
	s.crashes = append(s.crashes, c)
	s.sort()
	return true
}

func (s *suspect) sort() {
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}

// restore adds an earlier conviction.
func (s *suspect) restore(crashes int, at time.Time) {
	if at.After(s.cleared) && crashes > s.isolatedCrashes() {
		s.restored, s.restoredAt = crashes, at
	}
}

// clear removes the evidence from before a completed run.
func (s *suspect) clear(at time.Time) {
	if at.Before(s.cleared) {
		return
	}
	s.cleared = at
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.at.After(at) })
	if !s.restoredAt.After(at) {
		s.restored, s.restoredAt = 0, time.Time{}
	}
}

// isCleared reports whether there is no evidence.
func (s *suspect) isCleared() bool { return len(s.crashes) == 0 && s.restored == 0 }

// isolatedCrashes returns the number of crashes in isolation. One of them convicts.
func (s *suspect) isolatedCrashes() (crashes int) {
	later := 0
	for _, c := range s.crashes {
		if !c.isolated {
			continue
		}
		crashes++
		if c.started.After(s.restoredAt) {
			later++
		}
	}
	if s.restored > 0 {
		return max(crashes, s.restored+later)
	}
	return crashes
}

// independentCrashes counts the crashes of runs that started after the crash counted
// before.
func (s *suspect) independentCrashes() (crashes int) {
	var last time.Time
	for _, c := range s.crashes {
		if c.started.After(last) {
			last = c.at
			crashes++
		}
	}
	return crashes
}

func (s *suspect) lastCrash() (at time.Time) {
	at = s.restoredAt
	if n := len(s.crashes); n > 0 && s.crashes[n-1].at.After(at) {
		at = s.crashes[n-1].at
	}
	return at
}

func (s *suspect) verdict(now time.Time) Verdict {
	if left := s.lastCrash().Add(blockTime(s.isolatedCrashes())).Sub(now); left > 0 && s.isolatedCrashes() > 0 {
		return Verdict{Level: Blocked, RetryAfter: left}
	}
	if s.isolatedCrashes() > 0 || len(s.crashes) >= simultaneousCrashes || s.independentCrashes() >= independentCrashes {
		return Verdict{Level: Isolated, RetryAfter: isolatedRetry}
	}
	return Verdict{}
}

// blockTime returns how long a request is blocked after a number of crashes in isolation.
func blockTime(isolatedCrashes int) (block time.Duration) {
	if isolatedCrashes == 0 {
		return 0
	}
	block = firstBlock
	for n := 1; n < isolatedCrashes && block < maxBlock; n++ {
		block *= blockGrowth
	}
	return min(block, maxBlock)
}

// expired reports whether nothing has to be remembered of the suspect. The end of a block
// does not expire it at once, so that a further crash makes the next block longer.
func (s *suspect) expired(now time.Time) bool {
	if s.isCleared() {
		return now.Sub(s.cleared) > clearedLifetime
	}
	return convictionExpired(now, s.isolatedCrashes(), s.lastCrash())
}

func convictionExpired(now time.Time, isolatedCrashes int, at time.Time) bool {
	return now.Sub(at) > 2*blockTime(isolatedCrashes)+evidenceLifetime
}
