package matrix

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/appendlog"
)

// nodeLog is the log as one instance of a node sees it, with the faults on the
// way there and back.
type nodeLog struct {
	world *world
	proc  *process
	// coldAt holds the ends of the streams when the node started, if it skips
	// what was before (ColdRead is off).
	coldAt map[string]int64

	mu    sync.Mutex
	calls int
	blind bool
}

func (w *world) coldOffset() map[string]int64 {
	if w.off != ColdRead {
		return nil
	}
	return w.log.ends()
}

// logAnswer is the log's answer to either request.
type logAnswer struct {
	offset int64
	page   appendlog.Page
	err    error
}

// Append implements [appendlog.Journal].
func (l *nodeLog) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	m := l.message("append", bytes.Contains(data, []byte(mainBooking)))
	a := l.exchange(ctx, m, ClaimAppendRequest, ClaimAppendAnswer, func() (a logAnswer) {
		a.offset, a.err = l.world.log.Append(context.Background(), stream, data)
		return a
	})
	if a.err != nil && l.world.off == ReadBack {
		l.setBlind(true)
	}
	return a.offset, a.err
}

// Read implements [appendlog.Journal].
func (l *nodeLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (page appendlog.Page, err error) {
	if l.setBlind(false) {
		return appendlog.Page{}, errLost
	}
	cold := l.coldAt[stream]
	a := l.exchange(ctx, l.message("read", true), ClaimReadRequest, ClaimReadAnswer, func() (a logAnswer) {
		a.page, a.err = l.world.log.Read(context.Background(), stream, max(from, cold), limit, wait)
		a.page.Oldest = max(a.page.Oldest, cold)
		return a
	})
	return a.page, a.err
}

// exchange carries out one request to the log. It returns when the context ends,
// as an HTTP client does, while the request may still take effect.
func (l *nodeLog) exchange(ctx context.Context, m *message, request, answer Step, serve func() logAnswer) logAnswer {
	done := make(chan logAnswer, 1)
	l.world.wg.Go(func() { done <- l.carry(m, request, answer, serve) })
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return logAnswer{err: fmt.Errorf("log: %w", ctx.Err())}
	}
}

func (l *nodeLog) carry(m *message, request, answer Step, serve func() logAnswer) logAnswer {
	w := l.world
	if err := w.pass(request, Sender, l.proc, m); err != nil {
		return logAnswer{err: err}
	}
	if m.cut {
		return logAnswer{err: errLost}
	}
	for _, after := range m.copies {
		w.wg.Go(func() {
			time.Sleep(after)
			serve()
		})
	}
	time.Sleep(m.delay + w.delay(m.label))
	if err := w.pass(request, Receiver, w.logProc, m); err != nil {
		return logAnswer{err: err}
	}
	down, slow := w.logState()
	if down {
		return logAnswer{err: errLogDown}
	}
	if slow {
		time.Sleep(slowTime)
	}
	a := serve()
	back := &message{label: m.label + "/answer", main: m.main}
	if err := w.pass(answer, Sender, w.logProc, back); err != nil {
		return logAnswer{err: err}
	}
	time.Sleep(back.delay + w.delay(back.label))
	if err := w.pass(answer, Receiver, l.proc, back); err != nil {
		return logAnswer{err: err}
	}
	if m.cut || back.cut {
		return logAnswer{err: errLost}
	}
	return a
}

func (w *world) logState() (down, slow bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	return now.Before(w.logDown), now.Before(w.logSlow)
}

func (l *nodeLog) message(op string, isMain bool) *message {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	return &message{label: fmt.Sprintf("%s/%s/%d", l.proc.node.name, op, l.calls), main: isMain}
}

func (l *nodeLog) setBlind(blind bool) (before bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, l.blind = l.blind, blind
	return before
}
