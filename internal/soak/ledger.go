package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// ledger records the requests that callers sent, the outcomes that they were told, and
// the runs at backend servers, and detects violations of the guarantees. It is safe for
// concurrent use.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*requestRecord
	start    time.Time
	// windows has the counts of each service for each second since the start.
	windows    map[string]map[int]*window
	violations []string
	reported   map[string]bool
}

// requestRecord is what is known about one request.
type requestRecord struct {
	service, caller string
	atMostOnce      bool
	runs            int
	// childCalls is the number of calls that the runs of the request have made.
	childCalls int
	// reportedNotRun is true once the caller was told that the request has not run.
	reportedNotRun bool
	// unanswered states how the node ended the connection of the request without a
	// complete answer, if it did.
	unanswered string
	// identity is what the request was sent with, and sentAt when.
	identity identity
	sentAt   time.Time
}

// window counts the requests of a service that were sent in one second, and the runs
// in that second that repeated an earlier run of a request.
type window struct{ requests, repeats int }

func newLedger(start time.Time) *ledger {
	return &ledger{
		requests: make(map[string]*requestRecord), windows: make(map[string]map[int]*window), start: start, reported: make(map[string]bool),
	}
}

// recordSent records that a caller is about to send a request.
func (l *ledger) recordSent(id, service, caller string, atMostOnce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &requestRecord{service: service, caller: caller, atMostOnce: atMostOnce}
	l.windowAt(service, time.Now()).requests++
}

// nextCallID returns the ID for a call that a run of the request makes. A request that is
// sent again can run at two backend servers at once, so the calls of its runs need
// different IDs.
func (l *ledger) nextCallID(id string) (callID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	if e == nil {
		return id + ".0"
	}
	e.childCalls++
	return fmt.Sprintf("%s.%d", id, e.childCalls)
}

// recordRun records that a backend server of the service has started to run a request.
func (l *ledger) recordRun(id, service, caller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	switch {
	case e == nil:
		l.addViolation("a backend server of %s ran request %q, which no caller sent", service, id)
		return
	case e.service != service:
		l.addViolation("request %s for service %s ran at service %s", id, e.service, service)
	case e.caller != caller:
		l.addViolation("request %s ran with caller service %q, but was sent by %s", id, caller, e.caller)
	}
	if e.runs++; e.runs > 1 {
		l.windowAt(service, time.Now()).repeats++
		if e.atMostOnce {
			l.addViolation("request %s may run at most once, but ran %d times", id, e.runs)
		}
	}
	if e.reportedNotRun {
		l.addViolation("request %s ran after its caller was told that it had not run", id)
	}
	if e.unanswered != "" {
		l.addViolation("request %s ran without an answer: %s", id, e.unanswered)
	}
}

// recordUnanswered records that a node ended the connection of a request without a
// complete answer, which is allowed only if the request reaches no backend server, neither
// before nor afterwards.
func (l *ledger) recordUnanswered(id, failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	e.unanswered = failure
	if e.runs > 0 {
		l.addViolation("request %s ran without an answer: %s", id, failure)
	}
}

// recordNotRun records that the caller was told that the request has not run.
func (l *ledger) recordNotRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	e.reportedNotRun = true
	if e.runs > 0 {
		l.addViolation("request %s ran, but its caller was told that it had not run", id)
	}
}

// recordViolation records a violated guarantee. Repeated identical violations are
// recorded once.
func (l *ledger) recordViolation(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(format, arguments...)
}

// addViolation records a violation. The caller holds the lock.
func (l *ledger) addViolation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	if !l.reported[text] {
		l.reported[text] = true
		l.violations = append(l.violations, fmt.Sprintf("%6.2fs %s", time.Since(l.start).Seconds(), text))
	}
}

// windowAt returns the window of the service at the time, and creates it if necessary.
// The caller holds the lock.
func (l *ledger) windowAt(service string, now time.Time) *window {
	seconds := l.windows[service]
	if seconds == nil {
		seconds = make(map[int]*window)
		l.windows[service] = seconds
	}
	second := int(now.Sub(l.start) / time.Second)
	if seconds[second] == nil {
		seconds[second] = &window{}
	}
	return seconds[second]
}

// result checks the retry budget over the whole run, and returns the number of requests
// and all violations.
func (l *ledger) result(b retryBudget) (requests int, violations []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, seconds := range l.windows {
		last := 0
		for second := range seconds {
			last = max(last, second)
		}
		for from := 0; from <= last; from++ {
			repeats, largest := sumWindows(seconds, from, b.seconds).repeats, 0
			// Repeats may follow their requests in a later window, so the limit uses the
			// largest number of requests in this window and the ones before it.
			for _, offset := range []int{0, b.seconds / 2, b.seconds} {
				largest = max(largest, sumWindows(seconds, from-offset, b.seconds).requests)
			}
			if float64(repeats) > b.ratio*float64(largest)+b.slack {
				l.addViolation("%s ran %d repeats for %d requests in %d s from second %d, more than the retry budget", service, repeats, largest, b.seconds, from)
			}
		}
	}
	return len(l.requests), slices.Clone(l.violations)
}

// retryBudget limits the repeats of requests in each period of so many seconds to a share
// of the requests plus a constant.
type retryBudget struct {
	seconds      int
	ratio, slack float64
}

func sumWindows(seconds map[int]*window, from, length int) (total window) {
	for second := from; second < from+length; second++ {
		if w := seconds[second]; w != nil {
			total.requests += w.requests
			total.repeats += w.repeats
		}
	}
	return total
}
