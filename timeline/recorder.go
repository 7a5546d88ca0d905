package timeline

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"

	"github.com/lacewingslip/lacewingslip/event"
)

const (
	defaultCapacity = 8192
	// maxAttrBytes bounds each text of an event. Some texts come from other processes, and
	// the events of a node must fit into its memory.
	maxAttrBytes = 2 << 10
)

// Recorder logs events and buffers the most recent ones. It is safe for concurrent
// use.
type Recorder struct {
	node   string
	clock  *Clock
	logger *slog.Logger

	mu sync.Mutex
	// ring is a ring buffer of the most recent events. The n-th event, counted from
	// 0, is at index n modulo the length.
	ring          []bufferedEvent
	recordedCount uint64
}

// bufferedEvent is an event in the ring buffer. Its attributes are formatted only
// when it is read, since most events are overwritten without being read.
type bufferedEvent struct {
	timestamp Timestamp
	id        event.ID
	attrs     []slog.Attr
}

// Option configures a [Recorder].
type Option func(*Recorder)

// WithClock sets the clock that gives the events their timestamps.
func WithClock(clock *Clock) Option { return func(r *Recorder) { r.clock = clock } }

// WithLogger sets the logger of the events. By default they are only buffered.
func WithLogger(logger *slog.Logger) Option { return func(r *Recorder) { r.logger = logger } }

// WithCapacity sets the number of events that are buffered. The default is 8192.
func WithCapacity(events int) Option {
	return func(r *Recorder) { r.ring = make([]bufferedEvent, max(events, 1)) }
}

// NewRecorder returns a recorder for the node with the given ID.
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
		r.ring = make([]bufferedEvent, defaultCapacity)
	}
	return r
}

// Node returns the ID of the node whose events are recorded.
func (r *Recorder) Node() string { return r.node }

// Clock returns the clock that gives the events their timestamps.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record logs and buffers an event. The caller must not change the attributes afterwards.
func (r *Recorder) Record(id event.ID, attrs ...slog.Attr) {
	attrs = shorten(attrs)
	r.buffer(id, attrs)

	description, _ := id.Describe()
	ctx := context.Background()
	if !r.logger.Enabled(ctx, description.Level) {
		return
	}
	numbered := make([]slog.Attr, 0, len(attrs)+1)
	numbered = append(numbered, slog.Int("event", int(id)))
	r.logger.LogAttrs(ctx, description.Level, id.String(), append(numbered, attrs...)...)
}

// shorten returns the attributes with long texts cut, or a copy if there are any.
func shorten(attrs []slog.Attr) []slog.Attr {
	copied := false
	for i, attr := range attrs {
		if attr.Value.Kind() != slog.KindString {
			continue
		}
		if text := attr.Value.String(); len(text) > maxAttrBytes {
			if !copied {
				attrs, copied = slices.Clone(attrs), true
			}
			attrs[i] = slog.String(attr.Key, fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(text[:maxAttrBytes], ""), len(text)))
		}
	}
	return attrs
}

// Events returns the buffered events after the timestamp, oldest first.
func (r *Recorder) Events(since Timestamp) []Event {
	buffered, _ := r.bufferedAfter(since)
	events := make([]Event, len(buffered))
	for i, e := range buffered {
		events[i] = r.format(e)
	}
	return events
}

// buffer adds an event to the ring buffer. The timestamp is taken under the lock, so
// that the buffer is sorted by timestamp.
func (r *Recorder) buffer(id event.ID, attrs []slog.Attr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.recordedCount%uint64(len(r.ring))] = bufferedEvent{timestamp: r.clock.Now(), id: id, attrs: attrs}
	r.recordedCount++
}

// bufferedAfter returns the buffered events after the timestamp, and the number of
// events that have been overwritten.
func (r *Recorder) bufferedAfter(since Timestamp) (buffered []bufferedEvent, overwritten uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if size := uint64(len(r.ring)); r.recordedCount > size {
		overwritten = r.recordedCount - size
	}
	for n := overwritten; n < r.recordedCount; n++ {
		if e := r.ring[n%uint64(len(r.ring))]; e.timestamp.Compare(since) > 0 {
			buffered = append(buffered, e)
		}
	}
	return buffered, overwritten
}

func (r *Recorder) format(e bufferedEvent) Event {
	description, _ := e.id.Describe()
	formatted := Event{Timestamp: e.timestamp, Node: r.node, ID: e.id, Name: e.id.String(), Level: description.Level}
	for _, attr := range e.attrs {
		formatted.Attributes = append(formatted.Attributes, Attribute{Key: attr.Key, Value: attr.Value.Resolve().String()})
	}
	return formatted
}
