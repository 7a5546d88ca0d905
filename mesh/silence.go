package mesh

import (
	"sync"
	"time"
)

const (
	// A backend server is taken for silent if it has answered nothing for
	// silentTime, and for silentRuns mean run times, while silentRequests or more
	// of its requests were open. A server that has lost power neither answers nor
	// resets connections.
	silentTime     = 700 * time.Millisecond
	silentRuns     = 3
	silentRequests = 3
	// silentProbe is the time between two health requests to a silent server.
	silentProbe = 400 * time.Millisecond
)

// silence notices that the backend server has stopped answering, so that no more
// requests are lost to it. It is safe for concurrent use.
type silence struct {
	mu sync.Mutex
	// open counts the requests in progress, and since is when the server was last
	// heard of, or when the first of them was sent if that is later.
	open   int
	since  time.Time
	silent bool
	// probed is when the last health request was sent.
	probed time.Time
}

// sent takes in that a request goes to the server.
func (s *silence) sent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == 0 {
		s.since = now
	}
	s.open++
}

// ended takes in that a request ended; heard is true if the server answered or
// ended the connection.
func (s *silence) ended(now time.Time, heard bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if heard {
		s.since = now
	}
}

// check decides whether the server is silent, and reports whether that changed.
func (s *silence) check(now time.Time, meanRun time.Duration) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	quiet := now.Sub(s.since)
	if s.silent || s.open < silentRequests || quiet < silentTime || quiet < silentRuns*meanRun {
		return false
	}
	s.silent, s.probed = true, now
	return true
}

// is reports whether the server is taken for silent.
func (s *silence) is() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// probeDue reports whether it is time to ask the silent server again.
func (s *silence) probeDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.silent || now.Sub(s.probed) < silentProbe {
		return false
	}
	s.probed = now
	return true
}

// over takes in that the server answers again.
func (s *silence) over(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.since = false, now
}
