package mesh

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
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
	// confirmationInterval is how often a started node that can't read the log asks its
	// backend server whether it is leaving.
	confirmationInterval = 500 * time.Millisecond
	// If the log does not take the record that the backend server is leaving within
	// recordCopyDelay, other nodes are asked to hold it. The server takes an announcement
	// for lost that is not acknowledged within a second, so it is told to repeat it after
	// maxLeaveAckWait.
	recordCopyDelay = 100 * time.Millisecond
	maxLeaveAckWait = 800 * time.Millisecond
	// maxHeldReports bounds the reports that a started node holds back. A
	// backend server sends one every 1.5 s.
	maxHeldReports = 64
)

// announcementHandler receives the announcements of the backend server beside
// this node.
//
// An announcement may arrive late, when the server has left already. A process that has
// just started does not know what an earlier process of the node has acknowledged. It holds back
// all reports until it knows the earlier record, and uses the server only once that has
// confirmed by a health response that it is not leaving: nobody else may know of the leave.
type announcementHandler struct {
	settings  nodeconfig.Config
	tracker   *upstream.Tracker
	sidecar   *sidecar
	directory *fleet.Directory
	exchange  *exchange
	desired   *desiredState
	events    eventRecorder

	// mu keeps announcements in the order of their arrival.
	mu sync.Mutex
	// held has the reports that wait for the record of an earlier process, and released is
	// closed once they have been applied.
	held     []platform.Report
	released chan struct{}
	// contested is the last contested announcement that the server is ready, until the server
	// has confirmed one, and asking is true while it is asked for that.
	contested *upstream.Announcement
	asking    bool
}

// ServeHTTP receives an announcement. It is in force as soon as it is applied here, because
// all requests to the backend server pass through this node. That the server is leaving is
// acknowledged only when it is known outside this process too: a process that starts after
// this one must not use the server again.
func (a *announcementHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	report, err := platform.DecodeReport(r)
	if err != nil {
		a.events.Record(event.AnnouncementRejected, slog.String("error", err.Error()))
		platform.Reject(w, err)
		return
	}
	change, applied := a.receive(report)
	if report.Leaves() && !a.awaitLeave(r.Context(), report, change, applied) {
		a.recordReport(event.AnnouncementPostponed, report)
		platform.Postpone(w)
		return
	}
	platform.Acknowledge(w)
}

// awaitLeave waits until a leave that was received is in force and outlasts this process.
// ok is false if that took too long, or if the leave is contested.
func (a *announcementHandler) awaitLeave(ctx context.Context, report platform.Report, change upstream.Change, applied bool) (ok bool) {
	ctx, cancel := context.WithTimeout(ctx, maxLeaveAckWait)
	defer cancel()
	if !applied {
		select {
		case <-a.released:
		case <-ctx.Done():
			return false
		}
		change, _ = a.receive(report)
	}
	return change != upstream.Contested && a.awaitLeaveHeld(ctx)
}

// awaitLeaveHeld waits until the log or other nodes hold the record of this node, if it says
// that the backend server takes no work. held is false if the context ended before.
//
// Other nodes may be lost together with this one. What binds a later process then is that it
// finds some record of the node in the log and asks the server. Without one, only the log counts.
func (a *announcementHandler) awaitLeaveHeld(ctx context.Context) (held bool) {
	if self := a.directory.Self(); self.Epoch == 0 || self.TakesWork {
		return true
	}
	inLog, cancelLog := context.WithTimeout(ctx, recordCopyDelay)
	defer cancelLog()
	if a.directory.AwaitHeld(inLog, 0) {
		return true
	}
	if !a.directory.IsRecorded() {
		return a.directory.AwaitHeld(ctx, 0)
	}
	return a.directory.AwaitHeld(ctx, a.exchange.copyOwnRecord(context.WithoutCancel(ctx)))
}

// receive applies a report, or holds it back.
func (a *announcementHandler) receive(report platform.Report) (change upstream.Change, applied bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.released:
		return a.apply(report), true
	default:
	}
	if len(a.held) == maxHeldReports {
		a.held = a.held[1:]
	}
	a.held = append(a.held, report)
	a.recordReport(event.AnnouncementHeld, report)
	return upstream.Unchanged, false
}

// apply applies a report. The mutex must be held.
func (a *announcementHandler) apply(report platform.Report) (change upstream.Change) {
	announcement := report.Announcement
	before := a.tracker.Server()
	if report.Deregistered {
		change = a.tracker.Deregister(time.Now(), announcement.Instance, announcement.StartMs)
	} else {
		change = a.tracker.Apply(time.Now(), announcement)
	}
	a.recordChange(report, before, change)
	if change == upstream.Contested && !report.Leaves() {
		a.contested = &announcement
		if !a.asking {
			a.asking = true
			go a.askServer(context.Background())
		}
	}
	return change
}

// recordChange records the effect of a report and applies the changed state of the server.
// The mutex must be held.
func (a *announcementHandler) recordChange(report platform.Report, before upstream.Server, change upstream.Change) {
	if change != upstream.Unchanged {
		a.recordReport(event.AnnouncementTaken, report, slog.String("change", change.String()))
	}
	if change != upstream.Changed {
		return
	}
	a.applyServerState()
	if after := a.tracker.Server(); before.TakesWork() && !isSameIncarnation(before, after) {
		a.sidecar.crashes.serverReplaced(before)
	}
}

// recordReport records an event about a report.
func (a *announcementHandler) recordReport(id event.ID, report platform.Report, attrs ...slog.Attr) {
	announcement := report.Announcement
	a.events.Record(id, append([]slog.Attr{
		slog.String("instance", announcement.Instance), slog.Int64("born", announcement.StartMs),
		slog.Int64("sequence", announcement.Sequence), slog.Bool("left", report.Deregistered), slog.String("said", announcement.State.String()),
		slog.Int("slots", announcement.Slots),
	}, attrs...)...)
}

// release applies the reports that were held back. The record of an earlier process must have
// been restored. The server is asked for its state afterwards.
func (a *announcementHandler) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sidecar.serverKnown.Store(true)
	a.asking = true
	if a.directory.IsFirstProcess() {
		a.tracker.RecordFirstProcess()
	}
	for _, report := range a.held {
		a.apply(report)
	}
	a.held = nil
	close(a.released)
}

// holdsLeave reports whether the backend server has said that it is leaving in a report that
// is held back.
func (a *announcementHandler) holdsLeave() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.held, platform.Report.Leaves)
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
	startMs := server.StartMs()
	if !server.TakesWork() {
		// A later process must not take a late announcement of any of them.
		startMs = a.tracker.LatestStartMs()
	}
	a.sidecar.applyServerState(server)
	a.directory.Update(func(m *fleet.Member) {
		m.Instance, m.StartMs, m.Slots, m.TakesWork = server.Instance(), startMs, server.Slots(), server.TakesWork()
	})
}

// restoreServerState restores what an earlier process of the node knew of the backend
// server, and then queries its state by health requests. This matters when this node's
// process has restarted but the backend server has not, because the next announcement may
// be seconds away.
func (a *announcementHandler) restoreServerState(ctx context.Context) {
	if !a.awaitOwnRecord(ctx) {
		return
	}
	a.restoreRecord()
	a.release()
	defer a.restoreFromLog(ctx)
	select {
	case <-a.desired.loaded:
		a.askServer(ctx)
	case <-ctx.Done():
	}
}

// askServer sends health requests to the backend server while its state is unknown or its
// announcement is contested. After the last attempt, the next announcement makes this node ask
// again.
func (a *announcementHandler) askServer(ctx context.Context) {
	for range healthAttempts {
		if a.isServerKnown() || a.restoreFromHealth(ctx) {
			break
		}
		follow.Pause(ctx, healthRetryInterval)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asking = false
}

func (a *announcementHandler) isServerKnown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.contested == nil && a.tracker.Server().State() != upstream.Unknown
}

// awaitOwnRecord waits until the record that an earlier process wrote is known as far as
// possible. ok is false if the context has ended. The log may have lost the record, or the
// earlier process could not write it, so other nodes are asked too.
//
// While the log can't be read, a record of other nodes is believed if it says that the
// server is leaving, but not if it says that it takes work: they may not have heard of the
// latest one. The server must say whether it is leaving.
func (a *announcementHandler) awaitOwnRecord(ctx context.Context) (ok bool) {
	ticker := time.NewTicker(confirmationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.directory.Loaded():
			a.awaitOtherNodes(ctx)
			return ctx.Err() == nil
		case <-ticker.C:
			if a.exchange.answered.Load() && (a.recordedAsLeaving() || a.holdsLeave() || a.serverIsHealthy(ctx)) {
				return ctx.Err() == nil
			}
		case <-ctx.Done():
			return false
		}
	}
}

// restoreFromLog restores the record of an earlier process again when the log has been read.
// It may be newer than that of other nodes.
func (a *announcementHandler) restoreFromLog(ctx context.Context) {
	select {
	case <-a.directory.Loaded():
		a.restoreRecord()
	case <-ctx.Done():
	}
}

// awaitOtherNodes waits until other nodes have been asked for the record of an earlier
// process. The log may have lost the records of all of them, so that this node does not know
// them yet.
func (a *announcementHandler) awaitOtherNodes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.exchange.ownRecordWait)
	defer cancel()
	select {
	case <-a.exchange.ownRecordFetched:
	case <-ctx.Done():
	}
}

// serverIsHealthy reports whether the backend server answers a health request and is not
// leaving.
func (a *announcementHandler) serverIsHealthy(ctx context.Context) bool {
	path := a.sidecar.healthPath()
	if path == "" {
		return false
	}
	_, status, err := a.sidecar.requestHealth(ctx, path)
	return err == nil && status == http.StatusOK
}

// restoreRecord applies the record of an earlier process. If it says that the backend server
// is leaving, late announcements of that incarnation are ignored, and the record is
// published again, because the log may have lost it and this process publishes nothing
// until the next announcement.
func (a *announcementHandler) restoreRecord() {
	a.mu.Lock()
	defer a.mu.Unlock()
	record := a.directory.Earlier()
	if !a.recordedAsLeaving() {
		a.tracker.Restore(record.Instance, record.StartMs, record.Slots, upstream.Unknown)
		return
	}
	if a.tracker.Restore(record.Instance, record.StartMs, record.Slots, upstream.Gone) == upstream.Changed {
		a.applyServerState()
		return
	}
	a.directory.Update(func(m *fleet.Member) {
		if m.Epoch == 0 || !m.TakesWork && m.StartMs < record.StartMs {
			m.Instance, m.StartMs, m.Slots = record.Instance, record.StartMs, record.Slots
		}
	})
}

// restoreFromHealth sends one health request and applies the response. done is
// false if the request should be repeated.
func (a *announcementHandler) restoreFromHealth(ctx context.Context) (done bool) {
	path := a.sidecar.healthPath()
	if path == "" {
		a.confirmUnasked()
		return true
	}
	h, status, err := a.sidecar.requestHealth(ctx, path)
	if err != nil {
		return false
	}
	instance := platform.AnsweredBy(h)
	if status != http.StatusOK || instance == "" {
		// A server that responds with 503 is leaving, and announces itself when it
		// is ready again.
		return status == http.StatusServiceUnavailable
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.contested != nil && a.contested.Instance == instance {
		a.applyContested(a.tracker.Confirm)
		return true
	}
	a.contested = nil
	load, hasLoad := platform.ServerLoad(h)
	if !hasLoad {
		return false
	}
	if a.recordedAsLeaving() && a.directory.Earlier().Instance == instance {
		return true
	}
	if a.tracker.Restore(instance, 0, load.Slots, upstream.Ready) == upstream.Changed {
		a.events.Record(event.BackendAnnounced, slog.String("instance", instance), slog.Int("slots", load.Slots),
			slog.String("source", "health request"))
		a.applyServerState()
		a.sidecar.capacity.adopt(time.Now(), load)
	}
	return true
}

// confirmUnasked applies a contested announcement of a server without a health path if it can't
// be a late one.
func (a *announcementHandler) confirmUnasked() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.contested != nil {
		a.applyContested(a.tracker.ConfirmByTime)
	}
}

// applyContested applies the contested announcement. The mutex must be held.
func (a *announcementHandler) applyContested(confirm func(now time.Time, a upstream.Announcement) upstream.Change) {
	announcement, before := *a.contested, a.tracker.Server()
	change := confirm(time.Now(), announcement)
	if change != upstream.Contested {
		a.contested = nil
	}
	a.recordChange(platform.Report{Announcement: announcement}, before, change)
}

// recordedAsLeaving reports whether an earlier process of this node recorded that the
// backend server is leaving, as far as the log or other nodes have the record. The
// responses to health requests do not necessarily show that.
func (a *announcementHandler) recordedAsLeaving() bool {
	record := a.directory.Earlier()
	return record.Instance != "" && !record.TakesWork
}
