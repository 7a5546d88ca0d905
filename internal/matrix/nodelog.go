package matrix

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/appendlog"
)

// nodeLog is the log client of one instance of a node. Its requests and answers
// are subject to faults.
type nodeLog struct {
	sim  *simulation
	proc *process
	// skipBefore holds the end offsets of the streams at the start of the node if
	// ColdRead is disabled. The node then doesn't read earlier records.
	skipBefore map[string]int64

	mu    sync.Mutex
	calls int
	// failNextRead is set after a failed append if ReadBack is disabled.
	failNextRead bool
}

// skippedOffsets returns the offsets below which a starting node reads nothing.
func (sim *simulation) skippedOffsets() map[string]int64 {
	if sim.disabled != ColdRead {
		return nil
	}
	return sim.log.endOffsets()
}

// logAnswer is the log's answer to an append or a read.
type logAnswer struct {
	offset int64
	page   appendlog.Page
	err    error
}

// Append implements [appendlog.Journal].
func (l *nodeLog) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	m := l.newMessage("append", bytes.Contains(data, []byte(mainBooking)))
	a := l.exchange(ctx, m, ClaimAppendRequest, ClaimAppendAnswer, func() (a logAnswer) {
		a.offset, a.err = l.sim.log.Append(context.Background(), stream, data)
		return a
	})
	if a.err != nil && l.sim.disabled == ReadBack {
		l.setFailNextRead(true)
	}
	return a.offset, a.err
}

// Read implements [appendlog.Journal].
func (l *nodeLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (page appendlog.Page, err error) {
	if l.setFailNextRead(false) {
		return appendlog.Page{}, errLost
	}
	cold := l.skipBefore[stream]
	a := l.exchange(ctx, l.newMessage("read", true), ClaimReadRequest, ClaimReadAnswer, func() (a logAnswer) {
		a.page, a.err = l.sim.log.Read(context.Background(), stream, max(from, cold), limit, wait)
		a.page.Oldest = max(a.page.Oldest, cold)
		return a
	})
	return a.page, a.err
}

// exchange sends one request to the log and waits for its answer. Like an HTTP
// client, it returns when the context ends, while the request may still take
// effect.
func (l *nodeLog) exchange(ctx context.Context, m *message, request, answer Step, serve func() logAnswer) logAnswer {
	done := make(chan logAnswer, 1)
	l.sim.wg.Go(func() { done <- l.roundTrip(m, request, answer, serve) })
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return logAnswer{err: fmt.Errorf("log: %w", ctx.Err())}
	}
}

// roundTrip delivers a request to the log and its answer to the node. Faults apply
// at both ends of both messages.
func (l *nodeLog) roundTrip(m *message, request, answer Step, serve func() logAnswer) logAnswer {
	sim := l.sim
	if err := sim.injectFaults(request, Sender, l.proc, m); err != nil {
		return logAnswer{err: err}
	}
	if m.cut {
		return logAnswer{err: errLost}
	}
	for _, after := range m.duplicateDelays {
		sim.wg.Go(func() {
			time.Sleep(after)
			serve()
		})
	}
	time.Sleep(m.delay + sim.messageDelay(m.label))
	if err := sim.injectFaults(request, Receiver, sim.logProc, m); err != nil {
		return logAnswer{err: err}
	}
	down, slow := sim.logState()
	if down {
		return logAnswer{err: errLogDown}
	}
	if slow {
		time.Sleep(slowDelay)
	}
	a := serve()
	answerMessage := &message{label: m.label + "/answer", main: m.main}
	if err := sim.injectFaults(answer, Sender, sim.logProc, answerMessage); err != nil {
		return logAnswer{err: err}
	}
	time.Sleep(answerMessage.delay + sim.messageDelay(answerMessage.label))
	if err := sim.injectFaults(answer, Receiver, l.proc, answerMessage); err != nil {
		return logAnswer{err: err}
	}
	if m.cut || answerMessage.cut {
		return logAnswer{err: errLost}
	}
	return a
}

func (sim *simulation) logState() (down, slow bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	now := time.Now()
	return now.Before(sim.logDownUntil), now.Before(sim.logSlowUntil)
}

func (l *nodeLog) newMessage(op string, isMain bool) *message {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	return &message{label: fmt.Sprintf("%s/%s/%d", l.proc.node.name, op, l.calls), main: isMain}
}

func (l *nodeLog) setFailNextRead(blind bool) (before bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, l.failNextRead = l.failNextRead, blind
	return before
}
