package upstream

import (
	"sync"
	"time"
)

// Tracker is a [History] that is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	history *History
}

// New returns a tracker for the server of the service at the address.
func New(service, address string, opts ...Option) *Tracker {
	return &Tracker{history: NewHistory(service, address, opts...)}
}

// RecordFirstProcess is [History.RecordFirstProcess].
func (t *Tracker) RecordFirstProcess() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.RecordFirstProcess()
}

// Server returns the last known state of the server.
func (t *Tracker) Server() Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Server()
}

// LatestStartMs is [History.LatestStartMs].
func (t *Tracker) LatestStartMs() (startMs int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.LatestStartMs()
}

// Apply is [History.Apply].
func (t *Tracker) Apply(now time.Time, a Announcement) (change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Apply(now, a)
}

// Confirm is [History.Confirm].
func (t *Tracker) Confirm(now time.Time, a Announcement) (change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Confirm(now, a)
}

// ConfirmByTime is [History.ConfirmByTime].
func (t *Tracker) ConfirmByTime(now time.Time, a Announcement) (change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.ConfirmByTime(now, a)
}

// Deregister is [History.Deregister].
func (t *Tracker) Deregister(now time.Time, instance string, startMs int64) (change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Deregister(now, instance, startMs)
}

// Restore is [History.Restore].
func (t *Tracker) Restore(instance string, startMs int64, slots int, state State) (change Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Restore(instance, startMs, slots, state)
}
