// Package follow reads a keyed topic of the platform's log service continuously: the
// newest record of each key first, and then each new record.
//
// # Usage
//
//	f := follow.New(log, "keyed.nodes", events, handle)
//	f.Run(ctx)
//
// A failed call is retried with jittered exponential backoff. If the log has already
// deleted the next records, the follower reads the newest record of each key again.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/platform"
)

const (
	// longPollWait is how long a read waits for a record. The log service allows up
	// to 30 s. Long reads save cost, because each read is charged. They don't delay the
	// detection of a dead connection, because its keep-alive probes fail.
	longPollWait = 29 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call. The rate limits
	// of the log service are shared by all nodes, and changes must take effect within
	// seconds.
	minBackoff = 120 * time.Millisecond
	maxBackoff = time.Second
	// disabledInterval is how often a disabled follower checks whether it has been
	// enabled.
	disabledInterval = 200 * time.Millisecond
)

// logReader is the part of the platform's log service that a follower uses.
type logReader interface {
	Newest(ctx context.Context, topic string) (records []platform.Record, next int64, err error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (records []platform.Record, next int64, err error)
}

// eventRecorder records events in the node's log output and timeline.
type eventRecorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// Follower follows one topic.
type Follower struct {
	log            logReader
	topic          string
	events         eventRecorder
	handle         func(records []platform.Record)
	pauseAfterRead func(records int) time.Duration
	enabled        func() bool
	// unavailable is true after a call to the log service has failed, until one
	// succeeds or the follower is disabled.
	unavailable atomic.Bool
}

// Option configures a new follower.
type Option func(*Follower)

// WithPauseAfterRead sets the pause after a read as a function of the number of
// records that it returned. Without a pause, each read would return a single record
// while many are being written.
func WithPauseAfterRead(pause func(records int) time.Duration) Option {
	return func(f *Follower) { f.pauseAfterRead = pause }
}

// WithEnabled makes the follower read only while enabled returns true. The first read
// of the topic takes place in any case.
func WithEnabled(enabled func() bool) Option { return func(f *Follower) { f.enabled = enabled } }

// New returns a follower that passes each batch of records to handle. The first
// batch is passed even if it is empty.
func New(log logReader, topic string, events eventRecorder, handle func(records []platform.Record), opts ...Option) *Follower {
	f := &Follower{
		log: log, topic: topic, events: events, handle: handle,
		pauseAfterRead: func(int) time.Duration { return 0 }, enabled: func() bool { return true },
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// LogReachable reports whether the last call to the log service succeeded. It returns
// true while the follower is disabled.
func (f *Follower) LogReachable() bool { return !f.unavailable.Load() }

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	next, loaded := int64(0), false
	backoff := NewBackoff(minBackoff, maxBackoff)
	for ctx.Err() == nil {
		if loaded && !f.enabled() {
			f.unavailable.Store(false)
			Pause(ctx, disabledInterval)
			continue
		}
		records, after, err := f.read(ctx, next, loaded)
		f.recordAvailability(err)
		switch {
		case errors.Is(err, platform.ErrTrimmed):
			loaded = false
			continue
		case err != nil:
			backoff.Wait(ctx)
			continue
		}
		next, loaded = after, true
		backoff.Reset()
		f.handle(records)
		Pause(ctx, f.pauseAfterRead(len(records)))
	}
}

func (f *Follower) read(ctx context.Context, next int64, loaded bool) (records []platform.Record, after int64, err error) {
	if loaded {
		return f.log.Read(ctx, f.topic, next, longPollWait)
	}
	return f.log.Newest(ctx, f.topic)
}

// recordAvailability records an event when the log service becomes unavailable and
// when it becomes available again.
func (f *Follower) recordAvailability(err error) {
	unavailable := err != nil && !errors.Is(err, platform.ErrTrimmed) && !errors.Is(err, context.Canceled)
	switch before := f.unavailable.Swap(unavailable); {
	case unavailable && !before:
		f.events.Record(event.LogUnavailable, slog.String("topic", f.topic), slog.String("error", err.Error()))
	case !unavailable && before:
		f.events.Record(event.LogAvailable, slog.String("topic", f.topic))
	}
}

// Backoff is a pause that doubles with each failure, up to a maximum.
type Backoff struct {
	minPause, maxPause, current time.Duration
}

// NewBackoff returns a backoff that starts at minPause and grows up to maxPause.
func NewBackoff(minPause, maxPause time.Duration) *Backoff {
	return &Backoff{minPause: minPause, maxPause: maxPause, current: minPause}
}

// Wait pauses for 0.5 to 1.5 times the current pause, and doubles it. The jitter
// spreads the retries of many nodes whose calls failed at the same time.
func (b *Backoff) Wait(ctx context.Context) {
	Pause(ctx, b.current/2+time.Duration(rand.Int64N(int64(b.current))))
	b.current = min(2*b.current, b.maxPause)
}

// Reset sets the pause back to its minimum after a success.
func (b *Backoff) Reset() { b.current = b.minPause }

// Pause waits until the duration has elapsed or the context ends.
func Pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
