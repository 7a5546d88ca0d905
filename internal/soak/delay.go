package soak

import (
	"sync"
	"time"
)

const (
	// delayInterval is how often the delay of this process is measured. Shorter delays than
	// minDelay are not counted.
	delayInterval = 10 * time.Millisecond
	minDelay      = 50 * time.Millisecond
)

// delayMeter measures for how long this process could not run. Callers, backend servers,
// links and the log service are part of it, so time limits of nodes do not include these
// times. It is safe for concurrent use.
type delayMeter struct {
	mu     sync.Mutex
	delays []delay
	// begunAt is when the measurement in progress began. It is zero if there is none.
	begunAt time.Time
}

type delay struct {
	end    time.Time
	length time.Duration
}

// measure measures delays until the run stops.
func (m *delayMeter) measure(stopped func() bool) {
	for !stopped() {
		m.begin(time.Now())
		time.Sleep(delayInterval)
		m.end(time.Now())
	}
}

// begin records that a measurement begins.
func (m *delayMeter) begin(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begunAt = now
}

// end records the delay of the measurement in progress.
func (m *delayMeter) end(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if length := m.current(now); length > 0 {
		m.delays = append(m.delays, delay{end: now, length: length})
	}
	m.begunAt = time.Time{}
}

// current returns the delay of the measurement in progress. The mutex must be held.
func (m *delayMeter) current(now time.Time) (length time.Duration) {
	if length = now.Sub(m.begunAt) - delayInterval; m.begunAt.IsZero() || length <= minDelay {
		return 0
	}
	return length
}

// elapsed returns the time since the start without the delays. After a delay, other
// goroutines may run before the one that measures it, so the measurement in progress counts.
func (m *delayMeter) elapsed(start time.Time) (d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	d = now.Sub(start)
	d -= min(m.current(now), d)
	for n := len(m.delays) - 1; n >= 0 && m.delays[n].end.After(start); n-- {
		d -= min(m.delays[n].length, m.delays[n].end.Sub(start))
	}
	return d
}

// longest returns the longest delay.
func (m *delayMeter) longest() (length time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.delays {
		length = max(length, d.length)
	}
	return length
}
