package mesh

import (
	"sync"
	"time"
)

const (
	// A backend server counts as silent if it has not responded to any request for
	// minSilentTime and for minSilentMeanRuns times the mean run time, while at
	// least minSilentRequests requests were open. This detects a server that has
	// lost power, which neither responds nor resets connections.
	minSilentTime     = 700 * time.Millisecond
	minSilentMeanRuns = 3
	minSilentRequests = 3
	// silentProbeInterval is the time between two health requests to a silent
	// server.
	silentProbeInterval = 400 * time.Millisecond
)

// silenceDetector detects that the backend server has stopped responding, so
// that no further requests are lost to it. It is safe for concurrent use.
type silenceDetector struct {
	mu sync.Mutex
	// open is the number of requests in progress. lastResponse is the later of the
	// time of the server's last response and the time at which the first of the
	// open requests was sent.
	open         int
	lastResponse time.Time
	silent       bool
	// lastProbe is when the last health request was sent.
	lastProbe time.Time
}

// requestSent records that a request is sent to the server.
func (s *silenceDetector) requestSent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == 0 {
		s.lastResponse = now
	}
	s.open++
}

// requestEnded records the end of a request. responded is true if the server
// responded or closed the connection.
func (s *silenceDetector) requestEnded(now time.Time, responded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if responded {
		s.lastResponse = now
	}
}

// check marks the server as silent if the conditions are met, and reports
// whether it did.
func (s *silenceDetector) check(now time.Time, meanRun time.Duration) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	silentFor := now.Sub(s.lastResponse)
	if s.silent || s.open < minSilentRequests || silentFor < minSilentTime || silentFor < minSilentMeanRuns*meanRun {
		return false
	}
	s.silent, s.lastProbe = true, now
	return true
}

// isSilent reports whether the server is marked as silent.
func (s *silenceDetector) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// probeDue reports whether the next health request to a silent server is due,
// and records it as sent if so.
func (s *silenceDetector) probeDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.silent || now.Sub(s.lastProbe) < silentProbeInterval {
		return false
	}
	s.lastProbe = now
	return true
}

// markResponsive records that the server responds again.
func (s *silenceDetector) markResponsive(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.lastResponse = false, now
}
