package quarantine

import (
	"slices"
	"time"
)

// Evidence is what a node tells others about a request. Ages are relative to the time at
// which it was made.
type Evidence struct {
	Request Fingerprint
	Crashes []Crash
	// Restored is the number of crashes in isolation of an earlier conviction, the last of
	// which was RestoredAge ago. It is 0 if there is none.
	Restored    int
	RestoredAge time.Duration
	// Cleared is true if a run of the request has completed, ClearedAge ago.
	Cleared    bool
	ClearedAge time.Duration
}

// Crash is the end of a server under a run of the request.
type Crash struct {
	ID CrashID
	// Age is the time since the crash, and RunTime how long the run had taken then.
	Age, RunTime time.Duration
	// Isolated is true if the run was isolated.
	Isolated bool
}

// Evidence returns the evidence on the requests.
func (l *List) Evidence(now time.Time, requests []Fingerprint) (evidence []Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range requests {
		if s := l.suspects[request]; s != nil && len(evidence) < maxSuspectsPerCrash {
			evidence = append(evidence, s.evidence(now, request))
		}
	}
	return evidence
}

// Restricting returns the evidence on all requests that are not free.
func (l *List) Restricting(now time.Time) (evidence []Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for request, s := range l.suspects {
		if s.verdict(now).Level != Free && len(evidence) < maxSuspectsPerCrash {
			evidence = append(evidence, s.evidence(now, request))
		}
	}
	return evidence
}

// Merge adds the evidence of another node. It returns the requests that the other node does
// not know to have completed since.
func (l *List) Merge(now time.Time, evidence []Evidence) (cleared []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range evidence[:min(len(evidence), maxSuspectsPerCrash)] {
		if l.mergeOne(now, e) {
			cleared = append(cleared, e.Request)
		}
	}
	return cleared
}

// mergeOne adds the evidence on one request. outdated is true if the request has completed
// after the last of the crashes. The mutex must be held.
func (l *List) mergeOne(now time.Time, e Evidence) (outdated bool) {
	if s := l.suspects[e.Request]; e.Cleared && s != nil {
		s.clear(now.Add(-e.ClearedAge))
	}
	var last time.Time
	for _, c := range e.Crashes[:min(len(e.Crashes), maxCrashes)] {
		at := now.Add(-max(c.Age, 0))
		if l.addCrash(e.Request, crash{id: c.ID, started: at.Add(-max(c.RunTime, 0)), at: at, isolated: c.Isolated}) && at.After(last) {
			last = at
		}
	}
	if e.Restored > 0 {
		l.restore(now, Conviction{Request: e.Request, Crashes: e.Restored, At: now.Add(-max(e.RestoredAge, 0))})
	}
	s := l.suspects[e.Request]
	if s == nil || len(e.Crashes) == 0 {
		return false
	}
	if !last.IsZero() && l.completedRecently(last, e.Request) {
		s.clear(last)
	}
	return s.isCleared()
}

// restore adds an earlier conviction. The mutex must be held.
func (l *List) restore(now time.Time, c Conviction) {
	if c.Crashes < 1 || convictionExpired(now, c.Crashes, c.At) {
		return
	}
	if c.At.After(now) {
		// The clock of the VM that wrote it is ahead.
		c.At = now
	}
	s := l.suspects[c.Request]
	if s == nil {
		s = l.add(c.Request)
	}
	if s != nil {
		s.restore(c.Crashes, c.At)
	}
}

func (s *suspect) evidence(now time.Time, request Fingerprint) Evidence {
	e := Evidence{Request: request, Restored: s.restored}
	if s.restored > 0 {
		e.RestoredAge = now.Sub(s.restoredAt)
	}
	if !s.cleared.IsZero() {
		e.Cleared, e.ClearedAge = true, now.Sub(s.cleared)
	}
	for _, c := range s.crashes {
		e.Crashes = append(e.Crashes, Crash{ID: c.id, Age: now.Sub(c.at), RunTime: c.at.Sub(c.started), Isolated: c.isolated})
	}
	return e
}

// Conviction is the verdict on a convicted request, as it is kept across restarts.
type Conviction struct {
	Request Fingerprint
	// Crashes is the number of crashes in isolation, and At the time of the last crash.
	Crashes int
	At      time.Time
}

// Convictions returns the convicted requests, the latest first.
func (l *List) Convictions() (convictions []Conviction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for request, s := range l.suspects {
		if crashes := s.isolatedCrashes(); crashes > 0 {
			convictions = append(convictions, Conviction{Request: request, Crashes: crashes, At: s.lastCrash()})
		}
	}
	slices.SortFunc(convictions, func(a, b Conviction) int { return b.At.Compare(a.At) })
	return convictions
}

// Restore adds convictions from before a restart. They do not add up with evidence on the
// same crashes.
func (l *List) Restore(now time.Time, convictions []Conviction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range convictions {
		l.restore(now, c)
	}
}
