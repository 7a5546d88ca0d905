package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// ledger holds what callers sent and were told, and what backend servers ran. It
// is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*entry
	start    time.Time
	// windows counts per service and second since the start.
	windows    map[string]map[int]*window
	violations []string
	known      map[string]bool
}

// entry is one request.
type entry struct {
	service, caller string
	once            bool
	runs            int
	// promised is true once the caller was told that the request has not run.
	promised bool
}

// window counts the requests of a service that began in one second, and the
// arrivals beyond the first of each.
type window struct{ requests, repeats int }

func newLedger(start time.Time) *ledger {
	return &ledger{
		requests: make(map[string]*entry), windows: make(map[string]map[int]*window), start: start, known: make(map[string]bool),
	}
}

// sent takes in that a caller is about to send a request.
func (l *ledger) sent(id, service, caller string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &entry{service: service, caller: caller, once: once}
	l.at(service, time.Now()).requests++
}

// ran takes in that a backend server of the service began to run a request.
func (l *ledger) ran(id, service, caller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	switch {
	case e == nil:
		l.violate("a backend server of %s ran request %q, which nobody sent", service, id)
		return
	case e.service != service:
		l.violate("request %s for %s ran at %s", id, e.service, service)
	case e.caller != caller:
		l.violate("request %s ran with caller %q, it began beside %s", id, caller, e.caller)
	}
	if e.runs++; e.runs > 1 {
		l.at(service, time.Now()).repeats++
		if e.once {
			l.violate("request %s may run once and ran %d times", id, e.runs)
		}
	}
	if e.promised {
		l.violate("request %s ran after its caller was told that it had not", id)
	}
}

// promised takes in that the caller was told that the request has not run.
func (l *ledger) promised(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	e.promised = true
	if e.runs > 0 {
		l.violate("request %s ran, and its caller was told that it had not", id)
	}
}

// hasRun reports whether the request reached a backend server.
func (l *ledger) hasRun(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id].runs > 0
}

// broken notes a broken promise.
func (l *ledger) broken(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate(format, arguments...)
}

func (l *ledger) violate(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	if !l.known[text] {
		l.known[text] = true
		l.violations = append(l.violations, fmt.Sprintf("%6.2fs %s", time.Since(l.start).Seconds(), text))
	}
}

func (l *ledger) at(service string, now time.Time) *window {
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

// result checks what only the whole run shows, and returns all broken promises.
func (l *ledger) result(b budget) (requests int, violations []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, seconds := range l.windows {
		last := 0
		for second := range seconds {
			last = max(last, second)
		}
		for from := 0; from <= last; from++ {
			repeats, most := sum(seconds, from, b.seconds).repeats, 0
			// The requests are those of this window, or of an earlier one if it had more.
			for _, back := range []int{0, b.seconds / 2, b.seconds} {
				most = max(most, sum(seconds, from-back, b.seconds).requests)
			}
			if float64(repeats) > b.ratio*float64(most)+b.slack {
				l.violate("%s got %d repeats of %d requests in %d s from second %d", service, repeats, most, b.seconds, from)
			}
		}
	}
	return len(l.requests), slices.Clone(l.violations)
}

// budget bounds the repeats of requests.
type budget struct {
	seconds      int
	ratio, slack float64
}

func sum(seconds map[int]*window, from, length int) (total window) {
	for second := from; second < from+length; second++ {
		if w := seconds[second]; w != nil {
			total.requests += w.requests
			total.repeats += w.repeats
		}
	}
	return total
}
