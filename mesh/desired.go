package mesh

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/lacewingslip/lacewingslip/config"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/platform"
)

// desired holds the newest desired state that this process has heard of, from
// the log or from another node. It never goes back to an older version.
type desired struct {
	events recorder
	state  atomic.Pointer[config.State]
	first  chan struct{}

	mu sync.Mutex
	// document is the state as the operator wrote it, for nodes that can't read
	// the log.
	document []byte
	follower *follow.Follower
}

func newDesired(store *platform.Store, events recorder) *desired {
	d := &desired{events: events, first: make(chan struct{})}
	d.follower = follow.New(store, platform.OperatorTopic, events, d.takeRecords)
	return d
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
func (d *desired) snapshot() (document []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.document
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

// takeRecords puts the operator's records into force.
func (d *desired) takeRecords(records []platform.Record) {
	for _, record := range records {
		if record.Key == platform.StateKey && record.Value != nil {
			d.take(record.Value, "log")
		}
	}
}

// run follows the log until the context ends.
func (d *desired) run(ctx context.Context) { d.follower.Run(ctx) }
