package mesh

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/quarantine"
	"github.com/lacewingslip/lacewingslip/upstream"
)

const (
	// crashCheckTimeout bounds the connection that shows whether the backend server still
	// runs after it has broken off a response.
	crashCheckTimeout = 100 * time.Millisecond
	// crashSpread is how long after the first response that it breaks off a crashing server
	// may still accept connections.
	crashSpread = time.Second
	// restartWindow is how long after it has broken off responses a backend server may
	// announce a new incarnation, so that they count as ended by a crash.
	restartWindow = 15 * time.Second
	// maxUnexplained bounds the runs without response that wait for such an announcement.
	maxUnexplained = 128
)

// crashDetector detects that the backend server has crashed or hangs, and which requests it
// was running. A server that has only broken off a response still accepts connections.
type crashDetector struct {
	list   *quarantine.List
	events eventRecorder
	// checkListening returns an error if the backend server accepts no connection.
	checkListening func(ctx context.Context) error
	server         func() upstream.Server
	// onSuspects is called with the requests that are suspect of a crash, and onReleased
	// with one that was restricted and has completed.
	onSuspects func(requests []quarantine.Fingerprint)
	onReleased func(request quarantine.Fingerprint)
	// awaitTold waits until other nodes have been told of a restricted request, and for no
	// longer than to its deadline.
	awaitTold func(ctx context.Context, request quarantine.Fingerprint, deadline time.Time)

	// checking holds a token while a connection shows whether the server runs.
	checking chan struct{}

	mu      sync.Mutex
	running map[*quarantine.Run]struct{}
	// crashedAt is when the last crash was detected. It explains the end of all runs that
	// started before. checkedAt is when the last check began that showed no crash.
	crashedAt, checkedAt time.Time
	// unexplained holds the latest runs that ended without response although the server
	// accepted connections afterwards.
	unexplained []unexplainedEnd
}

type unexplainedEnd struct {
	run quarantine.Run
	at  time.Time
}

func newCrashDetector(list *quarantine.List, events eventRecorder, checkListening func(ctx context.Context) error, server func() upstream.Server) *crashDetector {
	return &crashDetector{
		list: list, events: events, checkListening: checkListening, server: server,
		checking: make(chan struct{}, 1), running: make(map[*quarantine.Run]struct{}),
		onSuspects: func([]quarantine.Fingerprint) {}, onReleased: func(quarantine.Fingerprint) {},
		awaitTold: func(context.Context, quarantine.Fingerprint, time.Time) {},
	}
}

// start records that a request is sent to the server.
func (d *crashDetector) start(request quarantine.Fingerprint, isolated bool) *quarantine.Run {
	run := &quarantine.Run{Request: request, Started: time.Now(), Isolated: isolated}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[run] = struct{}{}
	return run
}

// complete records that the server has responded to a request.
func (d *crashDetector) complete(run *quarantine.Run) {
	d.drop(run)
	if d.list.RecordRun(time.Now(), run.Request) {
		d.onReleased(run.Request)
	}
}

// drop records that a run has ended otherwise.
func (d *crashDetector) drop(run *quarantine.Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, run)
}

// breakOff records that the connection to the server ended before it had responded. crashed
// is true if the server has crashed. Of the runs that end together, one checks that, and
// the others wait for it.
func (d *crashDetector) breakOff(ctx context.Context, run *quarantine.Run) (crashed bool) {
	defer d.drop(run)
	endedAt := time.Now()
	if !d.server().TakesWork() {
		return false
	}
	select {
	case d.checking <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-d.checking }()
	if crashed, known := d.isExplained(run, endedAt); known {
		return crashed
	}
	checkCtx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	checkedAt := time.Now()
	if err := d.checkListening(checkCtx); !errors.Is(err, syscall.ECONNREFUSED) {
		if ctx.Err() != nil {
			// The check of another run decides.
			checkedAt = time.Time{}
		}
		d.recordUnexplained(run, endedAt, checkedAt)
		return false
	}
	d.recordCrash(d.server(), d.endAll(), "connection refused")
	return true
}

// isExplained reports whether an earlier check shows how the run has ended.
func (d *crashDetector) isExplained(run *quarantine.Run, endedAt time.Time) (crashed, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if run.Started.Before(d.crashedAt) {
		return true, true
	}
	if endedAt.Before(d.checkedAt) {
		d.addUnexplained(run, endedAt)
		return false, true
	}
	return false, false
}

func (d *crashDetector) recordUnexplained(run *quarantine.Run, endedAt, checkedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if checkedAt.After(d.checkedAt) {
		d.checkedAt = checkedAt
	}
	d.addUnexplained(run, endedAt)
}

// addUnexplained must be called with the mutex held.
func (d *crashDetector) addUnexplained(run *quarantine.Run, endedAt time.Time) {
	d.unexplained = append(d.unexplained, unexplainedEnd{run: *run, at: endedAt})
	d.unexplained = d.unexplained[max(len(d.unexplained)-maxUnexplained, 0):]
}

// serverSilent records that the server has stopped responding. A request can make a server
// hang instead of ending it.
func (d *crashDetector) serverSilent() { d.recordCrash(d.server(), d.endAll(), "no response") }

// serverReplaced records that the server has announced a new incarnation although the
// earlier one had not announced that it leaves. Runs that were broken off shortly before
// have ended with it.
func (d *crashDetector) serverReplaced(earlier upstream.Server) {
	d.mu.Lock()
	runs := d.takeUnexplained(time.Now().Add(-restartWindow))
	d.mu.Unlock()
	if len(runs) > 0 {
		d.recordCrash(earlier, runs, "new incarnation")
	}
}

// endAll returns the runs that a crash at this moment ends.
func (d *crashDetector) endAll() (runs []quarantine.Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashedAt = time.Now()
	runs = d.takeUnexplained(d.crashedAt.Add(-crashSpread))
	for run := range d.running {
		runs = append(runs, *run)
	}
	return runs
}

// takeUnexplained returns the runs that have ended unexplained since the time, and forgets
// all of them. The mutex must be held.
func (d *crashDetector) takeUnexplained(since time.Time) (runs []quarantine.Run) {
	for _, end := range d.unexplained {
		if end.at.After(since) {
			runs = append(runs, end.run)
		}
	}
	d.unexplained = nil
	return runs
}

func (d *crashDetector) recordCrash(server upstream.Server, runs []quarantine.Run, sign string) {
	suspects := d.list.RecordCrash(time.Now(), quarantine.NewCrashID(), runs)
	d.events.Record(event.BackendCrashed, slog.String("instance", server.Instance()), slog.Int("running", len(runs)),
		slog.Int("suspects", len(suspects)), slog.String("sign", sign))
	d.onSuspects(suspects)
}
