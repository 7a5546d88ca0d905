package mesh

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// Guards against a server that is used again after an acknowledged leave, because the log was
// down and all processes that knew of the leave ended at once, and against a sound one that is
// not used after that.
func TestAcknowledgedLeaveOutlastsAllProcesses(t *testing.T) {
	for name, test := range map[string]struct {
		// leaves are what the server says of itself before the kill, "" for a deregistration.
		leaves     []string
		unstated   bool
		logStaysUp bool
	}{
		"deregisters":                      {leaves: []string{""}},
		"drains":                           {leaves: []string{"draining"}},
		"drains and deregisters":           {leaves: []string{"draining", ""}},
		"deregisters without a start time": {leaves: []string{""}, unstated: true},
		"drains without a start time":      {leaves: []string{"draining"}, unstated: true},
		"log up":                           {leaves: []string{""}, logStaysUp: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, "orders", "orders", "orders", "catalogue")
			v, sound := d.vms[0], d.vms[1]
			late := operator.Announcement{
				Instance: v.instance(), Service: v.settings.Service, Address: v.settings.Backend, Zone: v.settings.Zone,
				State: "ready", StartMs: v.startMs, Sequence: v.sequence + 1, Slots: 8,
			}
			v.sequence += 9
			if !test.logStaysUp {
				d.log.SetFaults(keyedlog.Faults{Down: true})
			}
			v.server.Drain()
			startMs := v.startMs
			if test.unstated {
				v.startMs = 0
			}
			for _, state := range test.leaves {
				must.EqOp(t, http.StatusOK, d.say(v, state))
			}
			v.startMs = startMs
			for _, other := range d.vms {
				kill(other.node)
			}
			d.log.SetFaults(keyedlog.Faults{})
			for _, other := range d.vms {
				d.startNode(other)
			}
			d.announce(sound, "ready")
			eventually(t, func() bool { return v.isRestored() && sound.self().TakesWork })
			// Late announcements may be as far apart as they were sent.
			for range 3 {
				status, err := operator.Announce(t.Context(), v.settings.Listen.Announce, late)
				must.NoError(t, err)
				must.EqOp(t, http.StatusOK, status)
				late.Sequence++
				time.Sleep(1100 * time.Millisecond)
				must.False(t, v.node.lifecycle.components.announcements.tracker.Server().TakesWork())
				must.False(t, v.self().TakesWork)
			}
		})
	}
}
