// Package quarantine finds requests that crash the backend servers that run them, and
// decides which requests may still be sent to a server.
//
// # Usage
//
//	list := quarantine.New()
//	list.RecordCrash(now, quarantine.NewCrashID(), running)
//	list.RecordRun(now, fingerprint)
//	switch verdict := list.Verdict(now, fingerprint); verdict.Level { ... }
//
// A crash makes all requests suspect that were running at the server, most of which are
// innocent. A run that completes, at any server, clears a request, so only one that has
// crashed each server since then collects evidence.
//
// A suspect is isolated if it was running at three servers that crashed, or at two, the
// second of which it reached only after the crash of the first. It is then not sent again by
// itself, and a server runs one isolated request at a time. A crash under an isolated run
// convicts the request, because servers that end for other reasons, as after a loss of
// power, rarely do so just then. A convicted request is blocked for a time. Then it is
// isolated again, since the cause may have been repaired. Each further crash makes the next
// block longer.
//
// Each node has a list, and nodes tell each other their [Evidence]. Times are exchanged as
// ages, because the clocks of VMs differ. The package does no I/O, and all methods get the
// time as an argument.
package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// independentCrashes is the number of crashes, each of a run that started after the one
	// before, from which a request is isolated. simultaneousCrashes is the number from which
	// it is isolated whenever its runs started.
	independentCrashes  = 2
	simultaneousCrashes = 3
	// firstBlock is how long a request is blocked after the first crash in isolation. The
	// block after each further one is blockGrowth times as long, up to maxBlock.
	firstBlock  = 10 * time.Minute
	blockGrowth = 4
	maxBlock    = 24 * time.Hour
	// trialTimeout is how long an isolated run that does not end keeps others away.
	trialTimeout = 30 * time.Second
	// isolatedRetry is when a request that meets another isolated run may come again.
	isolatedRetry = time.Second
	// evidenceLifetime is how long crashes are remembered after the block for them.
	evidenceLifetime = 30 * time.Minute
	// clearedLifetime is how long it is remembered that a suspect has completed. A
	// conviction from before that may be restored as long as its block lasts.
	clearedLifetime = maxBlock
	// maxSuspects bounds the requests that are remembered, maxCrashes the crashes of each of
	// them, and maxSuspectsPerCrash the requests that one crash makes suspect.
	maxSuspects         = 1024
	maxCrashes          = 16
	maxSuspectsPerCrash = 128
	// A request that has completed within recentRunTime before a crash is not made suspect
	// by it. Requests that run all the time are running at each server that ends.
	recentRunTime = 2 * time.Second
	// recentRuns is the number of completed runs that are remembered for that.
	recentRuns = 1024
)

// Level states how a request is treated.
type Level uint8

const (
	// Free means that nothing restricts the request.
	Free Level = iota
	// Isolated means that the request may run if [List.StartTrial] allows it, and is not
	// sent again by itself.
	Isolated
	// Blocked means that the request is refused.
	Blocked
)

// Verdict is the decision on a request.
type Verdict struct {
	Level Level
	// RetryAfter is when a request that is refused for the verdict may come again.
	RetryAfter time.Duration
}

// CrashID identifies the end of one server, so that a crash that is reported by several
// ways counts once.
type CrashID uint64

// NewCrashID returns an ID for a crash that was observed.
func NewCrashID() CrashID { return CrashID(rand.Uint64()) }

// Run is a run of a request at a server.
type Run struct {
	Request Fingerprint
	Started time.Time
	// Isolated is true if [List.StartTrial] has allowed the run.
	Isolated bool
}

// List holds the suspect requests. It is safe for concurrent use.
type List struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	recent   [recentRuns]completedRun
	// trial identifies the isolated run in progress, or is 0 if there is none. It started
	// at trialAt.
	trial, lastTrial Trial
	trialAt          time.Time
}

// completedRun is an entry of the table of recently completed runs, which is indexed by a
// part of the fingerprint.
type completedRun struct {
	request Fingerprint
	at      time.Time
}

// Trial identifies an isolated run.
type Trial int64

// New returns an empty list.
func New() *List { return &List{suspects: make(map[Fingerprint]*suspect)} }

// Verdict returns the decision on a request.
func (l *List) Verdict(now time.Time, request Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[request]
	if s == nil {
		return Verdict{}
	}
	return s.verdict(now)
}

// RecordCrash records that a server has crashed while the runs were in progress. It returns
// the requests that are suspect of it. If there are too many, the runs that started last are
// more likely the cause.
func (l *List) RecordCrash(now time.Time, id CrashID, runs []Run) (suspects []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs = slices.SortedFunc(slices.Values(runs), func(a, b Run) int { return b.Started.Compare(a.Started) })
	for _, run := range runs {
		if len(suspects) == maxSuspectsPerCrash {
			break
		}
		if l.completedRecently(now, run.Request) || slices.Contains(suspects, run.Request) {
			continue
		}
		if l.addCrash(run.Request, crash{id: id, started: run.Started, at: now, isolated: run.Isolated}) {
			suspects = append(suspects, run.Request)
		}
	}
	return suspects
}

// RecordRun records that a server has completed a run of the request. released is true if
// the request was not free.
func (l *List) RecordRun(now time.Time, request Fingerprint) (released bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*l.recentRun(request) = completedRun{request: request, at: now}
	s := l.suspects[request]
	if s == nil {
		return false
	}
	released = s.verdict(now).Level != Free
	s.clear(now)
	return released
}

// StartTrial reports whether an isolated request may run now. If so, [List.EndTrial] must be
// called after the run.
func (l *List) StartTrial(now time.Time, request Fingerprint) (trial Trial, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[request]
	if s != nil && s.verdict(now).Level == Blocked || l.trial != 0 && now.Sub(l.trialAt) < trialTimeout {
		return 0, false
	}
	l.lastTrial++
	l.trial, l.trialAt = l.lastTrial, now
	return l.trial, true
}

// EndTrial records the end of a run that StartTrial has allowed.
func (l *List) EndTrial(trial Trial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.trial == trial {
		l.trial = 0
	}
}

// IsSuspect reports whether there is evidence against the request.
func (l *List) IsSuspect(request Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[request]
	return s != nil && !s.isCleared()
}

// Tick forgets old evidence.
func (l *List) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for request, s := range l.suspects {
		if s.expired(now) {
			delete(l.suspects, request)
		}
	}
}

// Blocked returns the number of requests that are blocked.
func (l *List) Blocked(now time.Time) (blocked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.suspects {
		if s.verdict(now).Level == Blocked {
			blocked++
		}
	}
	return blocked
}

// addCrash adds a crash to the evidence against a request. The mutex must be held.
func (l *List) addCrash(request Fingerprint, c crash) (added bool) {
	s := l.suspects[request]
	if s == nil {
		if s = l.add(request); s == nil {
			return false
		}
	}
	return s.addCrash(c)
}

// add adds a suspect without evidence, or returns nil if the list is full of convicted
// requests. The mutex must be held.
func (l *List) add(request Fingerprint) (s *suspect) {
	if len(l.suspects) >= maxSuspects {
		l.dropLeast()
	}
	if len(l.suspects) >= maxSuspects {
		return nil
	}
	s = &suspect{}
	l.suspects[request] = s
	return s
}

// dropLeast removes a quarter of the list, those with the least evidence first. Convicted
// requests remain.
func (l *List) dropLeast() {
	type candidate struct {
		request Fingerprint
		crashes int
		at      time.Time
	}
	var candidates []candidate
	for request, s := range l.suspects {
		if s.isolatedCrashes() == 0 {
			candidates = append(candidates, candidate{request, len(s.crashes), s.lastCrash()})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.at.Compare(b.at))
	})
	for _, c := range candidates[:min(len(candidates), maxSuspects/4)] {
		delete(l.suspects, c.request)
	}
}

// recentRun returns the entry of the table of completed runs for the request, which may
// hold another one.
func (l *List) recentRun(request Fingerprint) *completedRun {
	return &l.recent[(int(request[0])<<8|int(request[1]))%recentRuns]
}

// completedRecently reports whether a run of the request has completed here within
// recentRunTime before the time of a crash, or after it.
func (l *List) completedRecently(at time.Time, request Fingerprint) bool {
	recent := l.recentRun(request)
	return recent.request == request && !recent.at.IsZero() && at.Sub(recent.at) < recentRunTime
}
