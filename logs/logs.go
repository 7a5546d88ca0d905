// Package logs writes structured log lines without ever blocking, and bounds
// how many lines of each event are written.
//
// # Usage
//
//	writer := logs.New(os.Stdout)
//	defer writer.Close()
//	logger := slog.New(logs.Limit(slog.NewJSONHandler(writer, nil), logs.PerSecond(20)))
//
// Lines over the limit of an event are left out; the next line of the event
// says how many. Lines that the output does not take in time are dropped and
// counted in the same way.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// bufferLimit bounds the lines in bytes that wait for a slow output.
	bufferLimit = 256 << 10
	// flushInterval is how long lines are gathered before they are written, which
	// saves a system call for each.
	flushInterval = 100 * time.Millisecond
	// defaultPerSecond is the number of lines of one event in a second. A surge
	// refuses some hundred requests a second at a node, which a few lines show.
	defaultPerSecond = 20
	attrOmitted      = "omitted"
)

// Writer passes lines on in the background. It is safe for concurrent use.
type Writer struct {
	output io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	wake    chan struct{}
	closing chan struct{}
	done    sync.WaitGroup
}

// New returns a writer to the output.
func New(output io.Writer) *Writer {
	w := &Writer{output: output, wake: make(chan struct{}, 1), closing: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

// Write keeps a line for the output, or drops it if too many wait.
func (w *Writer) Write(line []byte) (n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > bufferLimit {
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

// Dropped returns the number of lines that the output did not take in time.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what is left.
func (w *Writer) Close() {
	close(w.closing)
	w.done.Wait()
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
	w.buffer, w.spare = w.spare[:0], nil
	w.mu.Unlock()
	// A lost output has nowhere to be reported.
	_, _ = w.output.Write(lines)
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}

// Option changes a limiting handler.
type Option func(*limiter)

// PerSecond sets the number of lines of one event in a second.
func PerSecond(lines int) Option { return func(l *limiter) { l.perSecond = lines } }

// limiter bounds the lines of each message. Records are counted by message,
// which is the event's name.
type limiter struct {
	inner     slog.Handler
	perSecond int

	mu     sync.Mutex
	counts map[string]*count
}

type count struct {
	second  int64
	lines   int
	omitted int
}

// Limit returns a handler that passes a bounded number of lines on.
func Limit(inner slog.Handler, opts ...Option) slog.Handler {
	l := &limiter{inner: inner, perSecond: defaultPerSecond, counts: make(map[string]*count)}
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
		c = &count{}
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
	return &limiter{inner: l.inner.WithAttrs(attrs), perSecond: l.perSecond, counts: make(map[string]*count)}
}

// WithGroup implements slog.Handler.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{inner: l.inner.WithGroup(name), perSecond: l.perSecond, counts: make(map[string]*count)}
}
