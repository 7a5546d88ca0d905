// Package follow keeps up with a keyed topic of the platform's log: it reads the
// newest record of each key once, and then each record that is written.
//
// # Usage
//
//	f := follow.New(store, "keyed.nodes", events, take)
//	f.Run(ctx)
//
// A failed call is repeated after a growing, jittered pause. When the log has
// deleted the records that come next, the newest ones are read again.
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
	// readWait is how long one read waits for a record. The log allows 30 s; each
	// read is paid for, and a silent connection shows by its probes.
	readWait = 29 * time.Second
	// minPause and maxPause bound the pause after a failed call. The rates of the
	// log are shared by all nodes, and news must be in force within seconds.
	minPause = 120 * time.Millisecond
	maxPause = time.Second
	// dutyInterval is how often a follower that is not on duty looks whether that
	// has changed.
	dutyInterval = 200 * time.Millisecond
)

// store is what following needs of the platform's log.
type store interface {
	Newest(ctx context.Context, topic string) (records []platform.Record, next int64, err error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (records []platform.Record, next int64, err error)
}

// recorder takes events for the log.
type recorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// Follower keeps up with one topic.
type Follower struct {
	store  store
	topic  string
	events recorder
	take   func(records []platform.Record)
	gather func(records int) time.Duration
	duty   func() bool
	// lost is true while the log does not answer.
	lost atomic.Bool
}

// Option changes a new follower.
type Option func(*Follower)

// WithGather sets the pause after a read, by the number of its records. Reads
// that follow at once would each bring one record while many are written.
func WithGather(gather func(records int) time.Duration) Option {
	return func(f *Follower) { f.gather = gather }
}

// WithDuty makes the follower read only while it is on duty, and in any case
// until it has read the topic once.
func WithDuty(duty func() bool) Option { return func(f *Follower) { f.duty = duty } }

// New returns a follower that gives each batch of records to take, the first
// one also if it is empty.
func New(s store, topic string, events recorder, take func(records []platform.Record), opts ...Option) *Follower {
	f := &Follower{
		store: s, topic: topic, events: events, take: take,
		gather: func(int) time.Duration { return 0 }, duty: func() bool { return true },
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Reachable reports whether the last call of the log succeeded. It is true while
// the follower is not on duty.
func (f *Follower) Reachable() bool { return !f.lost.Load() }

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	next, known := int64(0), false
	pause := NewBackoff(minPause, maxPause)
	for ctx.Err() == nil {
		if known && !f.duty() {
			f.lost.Store(false)
			Pause(ctx, dutyInterval)
			continue
		}
		records, after, err := f.read(ctx, next, known)
		f.note(err)
		switch {
		case errors.Is(err, platform.ErrTrimmed):
			known = false
			continue
		case err != nil:
			pause.Wait(ctx)
			continue
		}
		next, known = after, true
		pause.Reset()
		f.take(records)
		Pause(ctx, f.gather(len(records)))
	}
}

func (f *Follower) read(ctx context.Context, next int64, known bool) (records []platform.Record, after int64, err error) {
	if known {
		return f.store.Read(ctx, f.topic, next, readWait)
	}
	return f.store.Newest(ctx, f.topic)
}

// note logs when the log service is lost and regained.
func (f *Follower) note(err error) {
	lost := err != nil && !errors.Is(err, platform.ErrTrimmed) && !errors.Is(err, context.Canceled)
	switch before := f.lost.Swap(lost); {
	case lost && !before:
		f.events.Record(event.LogUnavailable, slog.String("topic", f.topic), slog.String("error", err.Error()))
	case !lost && before:
		f.events.Record(event.LogAvailable, slog.String("topic", f.topic))
	}
}

// Backoff is a pause that doubles from one failure to the next.
type Backoff struct {
	least, most, pause time.Duration
}

// NewBackoff returns a backoff between two pauses.
func NewBackoff(least, most time.Duration) *Backoff {
	return &Backoff{least: least, most: most, pause: least}
}

// Wait pauses for half to one and a half times the present pause, which spreads
// the calls of many nodes that failed together, and doubles it.
func (b *Backoff) Wait(ctx context.Context) {
	Pause(ctx, b.pause/2+time.Duration(rand.Int64N(int64(b.pause))))
	b.pause = min(2*b.pause, b.most)
}

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.pause = b.least }

// Pause waits for the time or the end of the context.
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
