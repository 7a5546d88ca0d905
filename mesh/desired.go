package mesh

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/config"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/platform"
)

const (
	// desiredWait is how long one read waits for a new version. The log allows
	// 30 s, and each read is paid for.
	desiredWait = 29 * time.Second
	// A new version must be in force within seconds, so failed reads are
	// repeated sooner than those of members.
	minDesiredRetry = 100 * time.Millisecond
	maxDesiredRetry = 800 * time.Millisecond
)

// stateStore is what the desired state needs of the platform's log.
type stateStore interface {
	Newest(ctx context.Context, topic string) (records []platform.Record, next int64, err error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (records []platform.Record, next int64, err error)
}

// desired holds the newest desired state that this process has heard of, from
// the log or from another node. It never goes back to an older version.
type desired struct {
	store  stateStore
	events recorder
	state  atomic.Pointer[config.State]
	first  chan struct{}

	mu sync.Mutex
	// document is the state as the operator wrote it, for nodes that can't read
	// the log.
	document []byte
	lost     bool
}

func newDesired(store stateStore, events recorder) *desired {
	return &desired{store: store, events: events, first: make(chan struct{})}
}

// current returns the state in force, or nil before the first.
func (d *desired) current() *config.State { return d.state.Load() }

// version returns the version in force, or 0 before the first.
func (d *desired) version() int64 {
	if state := d.state.Load(); state != nil {
		return state.Version()
	}
	return 0
}

// snapshot returns the newest state as the operator wrote it.
func (d *desired) snapshot() (version int64, document []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version(), d.document
}

// take puts a document into force if it is newer than the present state.
func (d *desired) take(document []byte, source string) {
	state, err := platform.DecodeState(document)
	if err != nil {
		d.events.Record(event.SettingsRejected, slog.String("source", source), slog.String("error", err.Error()))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.state.Load()
	if before != nil && state.Version() <= before.Version() {
		return
	}
	d.document = document
	d.state.Store(state)
	if before == nil {
		close(d.first)
	}
	d.events.Record(event.SettingsAccepted, slog.Int64("version", state.Version()), slog.String("source", source))
}

// run follows the log until the context ends.
func (d *desired) run(ctx context.Context) {
	next, known := int64(0), false
	pause := minDesiredRetry
	for ctx.Err() == nil {
		var records []platform.Record
		var err error
		if known {
			var end int64
			if records, end, err = d.store.Read(ctx, platform.OperatorTopic, next, desiredWait); err == nil {
				next = end
			}
		} else if records, next, err = d.store.Newest(ctx, platform.OperatorTopic); err == nil {
			known = true
		}
		d.note(err)
		switch {
		case errors.Is(err, platform.ErrTrimmed):
			known = false
		case err != nil:
			waitFor(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, maxDesiredRetry)
			continue
		}
		pause = minDesiredRetry
		for _, record := range records {
			if record.Key == platform.StateKey && record.Value != nil {
				d.take(record.Value, "log")
			}
		}
	}
}

// note logs when the log service is lost and regained.
func (d *desired) note(err error) {
	lost := err != nil && !errors.Is(err, platform.ErrTrimmed) && !errors.Is(err, context.Canceled)
	switch {
	case lost && !d.lost:
		d.events.Record(event.LogUnavailable, slog.String("topic", platform.OperatorTopic), slog.String("error", err.Error()))
	case !lost && d.lost:
		d.events.Record(event.LogAvailable, slog.String("topic", platform.OperatorTopic))
	}
	d.lost = lost
}

// waitFor waits for the time or the end of the context.
func waitFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
