package mesh

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/site"
	"github.com/lacewingslip/lacewingslip/upstream"
)

const (
	// A restarted node asks the backend server beside it whether it takes work,
	// instead of waiting for its next announcement. Each question holds a slot
	// and is paid for.
	askAttempts = 3
	askPause    = 250 * time.Millisecond
	askTimeout  = 600 * time.Millisecond
)

// announcements takes in what the backend server beside this node says of
// itself.
type announcements struct {
	place     site.Site
	tracker   *upstream.Tracker
	sidecar   *sidecar
	directory *fleet.Directory
	desired   *desired
	events    recorder
}

// ServeHTTP takes an announcement. It is acknowledged without waiting for the
// log: this node is the only way to its backend server, so the state is in force
// when it stands here.
func (a *announcements) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	report, err := platform.DecodeReport(r)
	if err != nil {
		a.events.Record(event.AnnouncementRejected, slog.String("error", err.Error()))
		platform.Reject(w, err)
		return
	}
	said := report.Announcement
	var change upstream.Change
	if report.Left {
		change = a.tracker.Leave(said.Instance, said.Born)
	} else {
		change = a.tracker.Announce(time.Now(), said)
	}
	if change != upstream.Unchanged {
		a.events.Record(event.AnnouncementTaken, slog.String("instance", said.Instance), slog.Int64("born", said.Born),
			slog.Int64("sequence", said.Sequence), slog.Bool("left", report.Left), slog.String("said", said.State.String()),
			slog.Int("slots", said.Slots), slog.String("change", change.String()))
	}
	if change == upstream.Changed {
		a.apply()
	}
	platform.Acknowledge(w)
}

// apply puts the state of the backend server into force here and publishes it.
func (a *announcements) apply() {
	server := a.tracker.Server()
	a.sidecar.follow(server)
	a.directory.Update(func(m *fleet.Member) {
		m.Instance, m.Born, m.Slots, m.TakesWork = server.Instance(), server.Born(), server.Slots(), server.TakesWork()
	})
}

// restore asks the backend server after a restart of this node alone.
func (a *announcements) restore(ctx context.Context) {
	select {
	case <-a.desired.first:
	case <-ctx.Done():
		return
	}
	path := a.sidecar.healthPath()
	if path == "" {
		return
	}
	for range askAttempts {
		if a.tracker.Server().State() != upstream.Unknown {
			return
		}
		if a.ask(ctx, path) {
			return
		}
		follow.Pause(ctx, askPause)
	}
}

// ask sends one health request. done is false if it is worth asking again.
func (a *announcements) ask(ctx context.Context, path string) (done bool) {
	h, status, err := a.sidecar.ask(ctx, path)
	if err != nil {
		return false
	}
	instance := platform.AnsweredBy(h)
	load, stated := platform.ServerLoad(h)
	if status != http.StatusOK || instance == "" || !stated {
		// A leaving server announces itself when it is ready again.
		return status == http.StatusServiceUnavailable
	}
	if a.left(instance) {
		return true
	}
	if a.tracker.Restore(instance, 0, load.Slots, upstream.Ready) == upstream.Changed {
		a.events.Record(event.BackendAnnounced, slog.String("instance", instance), slog.Int("slots", load.Slots),
			slog.String("source", "health request"))
		a.apply()
	}
	return true
}

// left reports whether an earlier process of this node recorded that the backend
// server is leaving. Its health answers need not say so.
func (a *announcements) left(instance string) bool {
	recorded, ok := a.directory.Table().Get(a.place.Node)
	return ok && recorded.Instance == instance && !recorded.TakesWork
}
