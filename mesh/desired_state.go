package mesh

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/platform"
)

// desiredState holds the newest desired state that this process has received
// from the log or from another node. It never reverts to an older version.
type desiredState struct {
	events eventRecorder
	proofs *proofs
	state  atomic.Pointer[desired.State]
	// loaded is closed when the first desired state has been received.
	loaded chan struct{}
	// readsLog reports whether this node reads the operator's topic itself.
	readsLog func() bool
	// maxWait returns the longest time for which a read of that topic waits.
	maxWait func() time.Duration
	// recovered is called when the log has been read again after a failure or a restore.
	recovered func()

	mu sync.Mutex
	// changed is closed and replaced when a newer version has come into force.
	changed chan struct{}
	// document returns the state in force with digests of the keys. It is sent to nodes that
	// can't read the log.
	document func() []byte
	follower *follow.Follower
}

func newDesiredState(p *proofs, era *follow.EraTracker, events eventRecorder) *desiredState {
	d := &desiredState{
		events: events, proofs: p, loaded: make(chan struct{}), changed: make(chan struct{}), readsLog: func() bool { return true },
		maxWait: func() time.Duration { return minDesiredStateWait }, recovered: func() {},
	}
	p.desired = d
	d.follower = follow.New(p, platform.DesiredStateTopic, events, d.applyRecords, follow.WithEra(era),
		follow.WithMaxWait(func() time.Duration { return d.maxWait() }), follow.WithEnabled(func() bool { return d.readsLog() }),
		follow.WithRecovered(func() { d.recovered() }))
	return d
}

// current returns the state in force, or nil if none has been received.
func (d *desiredState) current() *desired.State { return d.state.Load() }

// version returns the version in force, or 0 if none has been received.
func (d *desiredState) version() int64 {
	if state := d.state.Load(); state != nil {
		return state.Version()
	}
	return 0
}

// currentDocument returns the state in force with digests in place of keys, or nil if there is
// none.
func (d *desiredState) currentDocument() (document []byte) {
	d.mu.Lock()
	current := d.document
	d.mu.Unlock()
	if current == nil {
		return nil
	}
	return current()
}

// serveDocument serves the state in force to operators.
func (d *desiredState) serveDocument(w http.ResponseWriter, _ *http.Request) {
	document := d.currentDocument()
	if document == nil {
		http.Error(w, "this node has no desired state", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_, _ = w.Write(document)
}

// withKeyDigests returns a function that returns a document for other nodes.
func (d *desiredState) withKeyDigests(state *desired.State, document []byte) func() []byte {
	if !state.HasWorkspaces() {
		return func() []byte { return document }
	}
	return sync.OnceValue(func() []byte {
		digested, err := platform.WithKeyDigests(document)
		if err != nil {
			d.events.Record(event.SettingsRejected, slog.Int64("version", state.Version()), slog.String("error", err.Error()))
		}
		return digested
	})
}

// since returns whether the version in force is newer than the given one, and a channel
// that is closed when a newer version comes into force.
func (d *desiredState) since(version int64) (newer bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version() > version, d.changed
}

// apply puts a document into force if its version is newer than the current
// one. source names the log or the node that it came from. It returns the version of the
// document, or 0 if the document is invalid.
func (d *desiredState) apply(document []byte, source string) (version int64) {
	state, err := platform.DecodeDesiredState(document)
	if err != nil {
		d.events.Record(event.SettingsRejected, slog.String("source", source), slog.String("error", err.Error()))
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.state.Load()
	if current != nil && state.Version() <= current.Version() {
		return state.Version()
	}
	d.document = d.withKeyDigests(state, document)
	d.state.Store(state)
	close(d.changed)
	d.changed = make(chan struct{})
	if current == nil {
		close(d.loaded)
	}
	d.events.Record(event.SettingsAccepted, slog.Int64("version", state.Version()), slog.String("source", source))
	return state.Version()
}

// applyRecords applies the records that the follower has read.
func (d *desiredState) applyRecords(records []platform.Record) {
	d.proofs.recordTopicRead(d.applyAll(records))
}

// applyAll applies records of the operator's topic, and returns the highest version of them.
func (d *desiredState) applyAll(records []platform.Record) (highest int64) {
	for _, record := range records {
		if record.Key == platform.DesiredStateKey && record.Value != nil {
			highest = max(highest, d.apply(record.Value, "log"))
		}
	}
	return highest
}

// run reads the operator's topic, and follows it while this node reads the log, until
// the context ends.
func (d *desiredState) run(ctx context.Context) { d.follower.Run(ctx) }
