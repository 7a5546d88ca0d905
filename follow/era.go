package follow

import "sync"

// maxEra bounds the era of the log, so that the next one is higher. An era may be a time in
// nanoseconds.
const maxEra = 1 << 62

// EraTracker holds the highest known era of the log, which rises each time the log is
// restored from an earlier copy. It is safe for concurrent use.
type EraTracker struct {
	mu    sync.Mutex
	known int64
	risen chan struct{}
}

// NewEraTracker returns a tracker that knows of no era.
func NewEraTracker() *EraTracker { return &EraTracker{risen: make(chan struct{})} }

// Observe records an era that the log service or another node has stated. An era out of
// bounds is ignored.
func (e *EraTracker) Observe(era int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.known || era > maxEra {
		return
	}
	e.known = era
	close(e.risen)
	e.risen = make(chan struct{})
}

// Known returns the highest known era, or 0 if none is known.
func (e *EraTracker) Known() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// Since returns whether a higher era than the given one is known, and a channel that is
// closed when the highest known era rises.
func (e *EraTracker) Since(era int64) (higher bool, risen <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known > era, e.risen
}
