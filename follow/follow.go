// Package follow reads a keyed topic of the platform's log service continuously: the
// newest record of each key first, and then each new record.
//
// # Usage
//
//	f := follow.New(log, "keyed.nodes", events, handle)
//	f.Run(ctx)
//
// A failed call is retried with jittered exponential backoff. If the log has already
// deleted the next records, or was restored from an earlier copy, the follower reads the
// newest record of each key again.
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
	// defaultMaxWait is the longest time for which a read waits for a record. The log
	// service allows up to 30 s, and each read is charged. A read that goes on while the log
	// is restored may wait beyond its new end, where the next change does not wake it.
	defaultMaxWait = 8 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call. The rate limits
	// of the log service are shared by all nodes, and changes must take effect within
	// seconds: once the log answers again, a follower has all records after at most
	// 1.5 * maxBackoff if calls were rejected, or readTimeout of package platform and
	// 1.5 * minBackoff if they got no answer, and two calls, the second of which reads the
	// newest records of a restored log.
	minBackoff = 120 * time.Millisecond
	maxBackoff = time.Second
	// disabledInterval is how often a disabled follower checks whether it has been
	// enabled.
	disabledInterval = 200 * time.Millisecond
)

// logReader is the part of the platform's log service that a follower uses.
type logReader interface {
	Newest(ctx context.Context, topic string) (records []platform.Record, next platform.Position, err error)
	Read(ctx context.Context, topic string, from platform.Position, wait time.Duration) (records []platform.Record, next platform.Position, err error)
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
	era            *EraTracker
	// maxWait returns the longest time for which the next read waits for a record.
	maxWait func() time.Duration
	// recovered is called after the first complete read that follows a failed call or a
	// restore.
	recovered func()
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

// WithEra sets the tracker of the era of the log. The follower reads the newest records
// again when the era rises.
func WithEra(era *EraTracker) Option { return func(f *Follower) { f.era = era } }

// WithMaxWait sets the function that returns the longest time for which the next read waits
// for a record. A restore over which the log keeps waiting reads is noticed when the read
// ends. The default is 8 s.
func WithMaxWait(maxWait func() time.Duration) Option {
	return func(f *Follower) { f.maxWait = maxWait }
}

// WithRecovered sets a function that is called once records have been handled that were read
// after a failed call or a restore of the log.
func WithRecovered(recovered func()) Option {
	return func(f *Follower) { f.recovered = recovered }
}

// New returns a follower that passes each batch of records to handle. The first
// batch is passed even if it is empty.
func New(log logReader, topic string, events eventRecorder, handle func(records []platform.Record), opts ...Option) *Follower {
	f := &Follower{
		log: log, topic: topic, events: events, handle: handle,
		pauseAfterRead: func(int) time.Duration { return 0 }, enabled: func() bool { return true }, era: NewEraTracker(),
		maxWait: func() time.Duration { return defaultMaxWait }, recovered: func() {},
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
	var next platform.Position
	// loaded is false until the newest records of the known era have been read, and
	// readOnce until any have. era is the highest known era at the time of the last
	// complete read.
	loaded, readOnce, era := false, false, int64(0)
	wait := f.randomWait()
	backoff := NewBackoff(minBackoff, maxBackoff)
	for ctx.Err() == nil {
		if readOnce && !f.enabled() {
			f.unavailable.Store(false)
			wait = 0
			Pause(ctx, disabledInterval)
			continue
		}
		if known := f.era.Known(); !loaded || known > era {
			loaded, era = false, known
		}
		started := time.Now()
		records, after, err := f.read(ctx, next, wait, loaded, era)
		if loaded && f.era.Known() > era {
			continue
		}
		failedBefore := f.unavailable.Load()
		f.recordAvailability(err)
		switch {
		case errors.Is(err, platform.ErrTrimmed):
			loaded = false
			backoff.Wait(ctx)
			continue
		case err != nil:
			// The log may have been restored meanwhile, which only a response can
			// show. A read at the end would wait for the next record.
			wait = 0
			backoff.WaitSince(ctx, started)
			continue
		case loaded && (after.Era != next.Era || after.Offset < next.Offset):
			loaded = false
			backoff.Wait(ctx)
			continue
		}
		restored := next.Era > 0 && after.Era > next.Era
		if restored {
			f.events.Record(event.LogRestored, slog.String("topic", f.topic), slog.Int64("era", after.Era),
				slog.Int64("offset", after.Offset), slog.Int64("offsetBefore", next.Offset))
		}
		next, loaded, readOnce, wait, era = after, true, true, f.randomWait(), max(era, after.Era)
		backoff.Reset()
		f.handle(records)
		if failedBefore || restored {
			f.recovered()
		}
		Pause(ctx, f.pauseAfterRead(len(records)))
	}
}

// randomWait returns how long the next read waits for a record, from half of the longest
// wait. A record ends the reads of all nodes at once. The jitter spreads the next ones, so
// that one of them soon notices a restore and the others hear of it.
func (f *Follower) randomWait() time.Duration {
	longest := f.maxWait()
	return longest/2 + rand.N(longest/2)
}

// read reads the newest records, or the next ones if they were loaded. The latter ends
// when the era rises above the given one.
func (f *Follower) read(ctx context.Context, next platform.Position, wait time.Duration, loaded bool, era int64) (records []platform.Record, after platform.Position, err error) {
	if !loaded {
		return f.log.Newest(ctx, f.topic)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	higher, risen := f.era.Since(era)
	if higher {
		return nil, next, nil
	}
	go func() {
		select {
		case <-risen:
			cancel()
		case <-ctx.Done():
		}
	}()
	return f.log.Read(ctx, f.topic, next, wait)
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
	Pause(ctx, jitter(b.current))
	b.current = min(2*b.current, b.maxPause)
}

// WaitSince is Wait with a pause that counts from the start of the failed call, but is not
// shorter than the first one. A call that has timed out has already spared the server.
func (b *Backoff) WaitSince(ctx context.Context, started time.Time) {
	Pause(ctx, max(jitter(b.current)-time.Since(started), jitter(b.minPause)))
	b.current = min(2*b.current, b.maxPause)
}

// jitter returns 0.5 to 1.5 times the pause.
func jitter(pause time.Duration) time.Duration { return pause/2 + rand.N(pause) }

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
