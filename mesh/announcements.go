package mesh

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/upstream"
)

const (
	// After a restart, a node sends health requests to its backend server to find
	// out whether it accepts requests, instead of waiting for the next
	// announcement. The number of attempts is small because each of them occupies a
	// slot of the server and is charged.
	healthAttempts      = 3
	healthRetryInterval = 250 * time.Millisecond
	healthTimeout       = 600 * time.Millisecond
)

// announcementHandler receives the announcements of the backend server beside
// this node.
type announcementHandler struct {
	settings  nodeconfig.Config
	tracker   *upstream.Tracker
	sidecar   *sidecar
	directory *fleet.Directory
	exchange  *exchange
	desired   *desiredState
	events    eventRecorder
}

// ServeHTTP receives an announcement. It is acknowledged without waiting for
// the log: all requests to the backend server pass through this node, so the
// announced state is in force as soon as it is applied here.
func (a *announcementHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	report, err := platform.DecodeReport(r)
	if err != nil {
		a.events.Record(event.AnnouncementRejected, slog.String("error", err.Error()))
		platform.Reject(w, err)
		return
	}
	announcement := report.Announcement
	before := a.tracker.Server()
	var change upstream.Change
	if report.Deregistered {
		change = a.tracker.Deregister(announcement.Instance, announcement.StartMs)
	} else {
		change = a.tracker.Apply(time.Now(), announcement)
	}
	if change != upstream.Unchanged {
		a.events.Record(event.AnnouncementTaken, slog.String("instance", announcement.Instance), slog.Int64("born", announcement.StartMs),
			slog.Int64("sequence", announcement.Sequence), slog.Bool("left", report.Deregistered), slog.String("said", announcement.State.String()),
			slog.Int("slots", announcement.Slots), slog.String("change", change.String()))
	}
	if change == upstream.Changed {
		a.applyServerState()
		if after := a.tracker.Server(); before.TakesWork() && !isSameIncarnation(before, after) {
			a.sidecar.crashes.serverReplaced(before)
		}
	}
	platform.Acknowledge(w)
}

// isSameIncarnation reports whether two states can be of the same incarnation. The start
// time is unknown if the earlier state results from a health request.
func isSameIncarnation(before, after upstream.Server) bool {
	return before.Instance() == after.Instance() && (before.StartMs() == 0 || before.StartMs() == after.StartMs())
}

// applyServerState applies the state of the backend server at this node and
// publishes it.
func (a *announcementHandler) applyServerState() {
	server := a.tracker.Server()
	a.sidecar.applyServerState(server)
	a.directory.Update(func(m *fleet.Member) {
		m.Instance, m.StartMs, m.Slots, m.TakesWork = server.Instance(), server.StartMs(), server.Slots(), server.TakesWork()
	})
}

// restoreServerState queries the state of the backend server by health requests.
// This matters when this node's process has restarted but the backend server has
// not, because the next announcement may be seconds away.
func (a *announcementHandler) restoreServerState(ctx context.Context) {
	select {
	case <-a.desired.loaded:
	case <-ctx.Done():
		return
	}
	path := a.sidecar.healthPath()
	if path == "" {
		return
	}
	a.awaitOwnRecord(ctx)
	a.restoreLeaving()
	for range healthAttempts {
		if a.tracker.Server().State() != upstream.Unknown {
			return
		}
		if a.restoreFromHealth(ctx, path) {
			return
		}
		follow.Pause(ctx, healthRetryInterval)
	}
}

// awaitOwnRecord waits for the record that an earlier process wrote. The log may have lost
// it, so that only other nodes still have it. It may also have lost the records of all other
// nodes, so that this node does not know them yet.
func (a *announcementHandler) awaitOwnRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.exchange.ownRecordWait)
	defer cancel()
	select {
	case <-a.exchange.ownRecordFetched:
	case <-ctx.Done():
	}
}

// restoreLeaving applies the record of an earlier process if it says that the backend
// server is leaving. Late announcements of that incarnation are ignored. The record is
// published again, because the log may have lost it and this process publishes nothing
// until the next announcement.
func (a *announcementHandler) restoreLeaving() {
	record, ok := a.directory.Table().Get(a.settings.Node)
	if !ok || record.TakesWork {
		return
	}
	a.tracker.Restore(record.Instance, record.StartMs, record.Slots, upstream.Gone)
	a.directory.Update(func(m *fleet.Member) {
		if m.Epoch == 0 {
			m.Instance, m.StartMs, m.Slots = record.Instance, record.StartMs, record.Slots
		}
	})
}

// restoreFromHealth sends one health request and applies the response. done is
// false if the request should be repeated.
func (a *announcementHandler) restoreFromHealth(ctx context.Context, path string) (done bool) {
	h, status, err := a.sidecar.requestHealth(ctx, path)
	if err != nil {
		return false
	}
	instance := platform.AnsweredBy(h)
	load, hasLoad := platform.ServerLoad(h)
	if status != http.StatusOK || instance == "" || !hasLoad {
		// A server that responds with 503 is leaving, and announces itself when it
		// is ready again.
		return status == http.StatusServiceUnavailable
	}
	if a.recordedAsLeaving(instance) {
		return true
	}
	if a.tracker.Restore(instance, 0, load.Slots, upstream.Ready) == upstream.Changed {
		a.events.Record(event.BackendAnnounced, slog.String("instance", instance), slog.Int("slots", load.Slots),
			slog.String("source", "health request"))
		a.applyServerState()
	}
	return true
}

// recordedAsLeaving reports whether an earlier process of this node recorded that the
// backend server is leaving, as far as the log or other nodes have the record. The
// responses to health requests do not necessarily show that.
func (a *announcementHandler) recordedAsLeaving(instance string) bool {
	record, ok := a.directory.Table().Get(a.settings.Node)
	return ok && record.Instance == instance && !record.TakesWork
}
