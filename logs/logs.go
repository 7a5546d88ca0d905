// Package logs writes structured log lines without blocking the caller, and limits the
// number of lines per event.
//
// # Usage
//
//	writer := logs.New(os.Stdout)
//	defer writer.Close()
//	logger := slog.New(logs.Limit(slog.NewJSONHandler(writer, nil), logs.PerSecond(20)))
//
// Lines above the limit of an event are omitted; the next line of that event has their
// number in the attribute "omitted". Lines are dropped while the output is too slow;
// [Writer.Dropped] returns their number.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the lines that are buffered for a slow output.
	maxBufferedBytes = 256 << 10
	// flushInterval is how long lines are buffered before they are written together,
	// which saves a system call per line.
	flushInterval = 100 * time.Millisecond
	// defaultPerSecond is the maximum number of lines per event and second. During a
	// surge, a node refuses several hundred requests per second, and a few lines are
	// enough to show it.
	defaultPerSecond = 20
	attrOmitted      = "omitted"
)

// Writer buffers lines and writes them to its output in the background. It is safe for
// concurrent use.
type Writer struct {
	output io.Writer

	mu          sync.Mutex
	buffer      []byte
	spareBuffer []byte
	dropped     int
	wake        chan struct{}
	closing     chan struct{}
	running     sync.WaitGroup
}

// New returns a writer to the output. It must be closed after use.
func New(output io.Writer) *Writer {
	w := &Writer{output: output, wake: make(chan struct{}, 1), closing: make(chan struct{})}
	w.running.Go(w.run)
	return w
}

// Write appends a line to the buffer, or drops it if the buffer is full. It never
// blocks on the output.
func (w *Writer) Write(line []byte) (n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the buffer was full.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes the buffered lines and stops the writer.
func (w *Writer) Close() {
	close(w.closing)
	w.running.Wait()
}

func (w *Writer) run() {
	for {
		select {
		case <-w.closing:
			w.flush()
			return
		case <-w.wake:
		}
		select {
		case <-w.closing:
		case <-time.After(flushInterval):
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.buffer
	w.buffer, w.spareBuffer = w.spareBuffer[:0], nil
	w.mu.Unlock()
	// The error is ignored because there is no other output to report it to.
	_, _ = w.output.Write(lines)
	w.mu.Lock()
	w.spareBuffer = lines
	w.mu.Unlock()
}

// Option configures a limiting handler.
type Option func(*limiter)

// PerSecond sets the maximum number of lines per event and second.
func PerSecond(lines int) Option { return func(l *limiter) { l.perSecond = lines } }

// limiter is a handler that limits the number of lines per message, which is the name
// of the event.
type limiter struct {
	inner     slog.Handler
	perSecond int

	mu     sync.Mutex
	counts map[string]*messageCount
}

type messageCount struct {
	second  int64
	lines   int
	omitted int
}

// Limit returns a handler that passes a limited number of lines per event and second to
// the inner handler.
func Limit(inner slog.Handler, opts ...Option) slog.Handler {
	l := &limiter{inner: inner, perSecond: defaultPerSecond, counts: make(map[string]*messageCount)}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Enabled implements slog.Handler.
func (l *limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.inner.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *limiter) Handle(ctx context.Context, record slog.Record) (err error) {
	omitted, ok := l.admit(record.Message, record.Time.Unix())
	if !ok {
		return nil
	}
	if omitted > 0 {
		record.AddAttrs(slog.Int(attrOmitted, omitted))
	}
	return l.inner.Handle(ctx, record)
}

func (l *limiter) admit(message string, second int64) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[message]
	if c == nil {
		c = &messageCount{}
		l.counts[message] = c
	}
	if c.second != second {
		c.second, c.lines = second, 0
	}
	if c.lines >= l.perSecond {
		c.omitted++
		return 0, false
	}
	c.lines++
	omitted, c.omitted = c.omitted, 0
	return omitted, true
}

// WithAttrs implements slog.Handler.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{inner: l.inner.WithAttrs(attrs), perSecond: l.perSecond, counts: make(map[string]*messageCount)}
}

// WithGroup implements slog.Handler.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{inner: l.inner.WithGroup(name), perSecond: l.perSecond, counts: make(map[string]*messageCount)}
}
