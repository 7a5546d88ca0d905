package timeline

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"github.com/lacewingslip/lacewingslip/event"
)

const defaultCapacity = 8192

// Recorder logs events and keeps the latest of them. It is safe for concurrent
// use.
type Recorder struct {
	node   string
	clock  *Clock
	logger *slog.Logger

	mu sync.Mutex
	// ring holds the latest events. The event with number n, counted from 0,
	// is at n modulo its length.
	ring     []entry
	recorded uint64
}

// entry is an event whose attributes are not formatted yet, since most events
// are overwritten without ever being read.
type entry struct {
	at    Stamp
	id    event.ID
	attrs []slog.Attr
}

// Option changes a [Recorder].
type Option func(*Recorder)

// WithClock makes the recorder stamp events with the process's clock.
func WithClock(clock *Clock) Option { return func(r *Recorder) { r.clock = clock } }

// WithLogger makes the recorder log events. By default they are only kept.
func WithLogger(logger *slog.Logger) Option { return func(r *Recorder) { r.logger = logger } }

// WithCapacity sets how many events are kept.
func WithCapacity(events int) Option {
	return func(r *Recorder) { r.ring = make([]entry, max(events, 1)) }
}

// NewRecorder returns a recorder for the process of the node.
func NewRecorder(node string, opts ...Option) *Recorder {
	r := &Recorder{
		node:   node,
		clock:  NewClock(),
		logger: slog.New(slog.DiscardHandler),
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.ring == nil {
		r.ring = make([]entry, defaultCapacity)
	}
	return r
}

// Node returns the name of the process whose events are recorded.
func (r *Recorder) Node() string { return r.node }

// Clock returns the clock that stamps the events.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record logs an event and keeps it.
func (r *Recorder) Record(id event.ID, attrs ...slog.Attr) {
	r.keep(id, slices.Clone(attrs))

	described, _ := id.Describe()
	ctx := context.Background()
	if !r.logger.Enabled(ctx, described.Level) {
		return
	}
	numbered := make([]slog.Attr, 0, len(attrs)+1)
	numbered = append(numbered, slog.Int("event", int(id)))
	r.logger.LogAttrs(ctx, described.Level, id.String(), append(numbered, attrs...)...)
}

// Events returns the kept events after the stamp, oldest first.
func (r *Recorder) Events(since Stamp) []Event {
	entries, _ := r.after(since)
	events := make([]Event, len(entries))
	for i, e := range entries {
		events[i] = r.format(e)
	}
	return events
}

// keep stamps the event under the lock, so that the ring is in order of stamps.
func (r *Recorder) keep(id event.ID, attrs []slog.Attr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.recorded%uint64(len(r.ring))] = entry{at: r.clock.Now(), id: id, attrs: attrs}
	r.recorded++
}

// after returns the kept events after the stamp and the number of events that
// were overwritten.
func (r *Recorder) after(since Stamp) (entries []entry, overwritten uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if size := uint64(len(r.ring)); r.recorded > size {
		overwritten = r.recorded - size
	}
	for n := overwritten; n < r.recorded; n++ {
		if e := r.ring[n%uint64(len(r.ring))]; e.at.Compare(since) > 0 {
			entries = append(entries, e)
		}
	}
	return entries, overwritten
}

func (r *Recorder) format(e entry) Event {
	described, _ := e.id.Describe()
	formatted := Event{At: e.at, Node: r.node, ID: e.id, Name: e.id.String(), Level: described.Level}
	for _, attr := range e.attrs {
		formatted.Attributes = append(formatted.Attributes, Attribute{Key: attr.Key, Value: attr.Value.Resolve().String()})
	}
	return formatted
}
