package mesh

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// ackLimit is the time after which a server takes its announcement for lost.
const ackLimit = time.Second

// say sends a report of a VM's server and returns the status, or 0 if none arrives in time.
func (d *deployment) say(v *vm, state string) (status int) {
	d.t.Helper()
	v.sequence++
	ctx, cancel := context.WithTimeout(d.t.Context(), ackLimit)
	defer cancel()
	status, err := operator.Announce(ctx, v.settings.Listen.Announce, operator.Announcement{
		Instance: v.instance(), Service: v.settings.Service, Address: v.settings.Backend, Zone: v.settings.Zone, State: state,
		StartMs: v.startMs, Sequence: v.sequence, Slots: 8,
	})
	if err != nil {
		return 0
	}
	return status
}

// Guards against a server that is used again after an acknowledged leave, because its node
// was killed before anybody else knew of it.
func TestAcknowledgedLeaveOutlastsProcess(t *testing.T) {
	for name, faults := range map[string]keyedlog.Faults{
		"log up": {}, "log down": {Down: true}, "log silent": {Silent: true},
	} {
		for _, state := range []string{"draining", ""} {
			t.Run(name+", "+state, func(t *testing.T) {
				d := newDeployment(t, "orders", "orders", "orders", "catalogue")
				v := d.vms[0]
				late := operator.Announcement{
					Instance: v.instance(), Service: v.settings.Service, Address: v.settings.Backend, Zone: v.settings.Zone,
					State: "ready", StartMs: v.startMs, Sequence: v.sequence + 1, Slots: 8,
				}
				v.sequence++
				d.log.SetFaults(faults)
				must.EqOp(t, http.StatusOK, d.say(v, state))
				kill(v.node)
				v.server.Drain()
				d.log.SetFaults(keyedlog.Faults{})
				d.startNode(v)
				eventually(t, v.isRestored)
				status, err := operator.Announce(t.Context(), v.settings.Listen.Announce, late)
				must.NoError(t, err)
				must.EqOp(t, http.StatusOK, status)
				must.False(t, v.self().TakesWork)
			})
		}
	}
}

// Guards against the acknowledgement of a leave that only this process knows of.
func TestLeaveIsAcknowledgedOnlyWhenHeld(t *testing.T) {
	d := newDeployment(t, "orders")
	v := d.vms[0]
	d.log.SetFaults(keyedlog.Faults{Down: true})
	must.EqOp(t, http.StatusServiceUnavailable, d.say(v, "draining"))
	must.False(t, v.node.lifecycle.components.announcements.tracker.Server().TakesWork())
	d.log.SetFaults(keyedlog.Faults{})
	eventually(t, func() bool { return d.say(v, "draining") == http.StatusOK })
}

// Guards against a server that is used again, because it deregistered at a process that had
// not heard of it, and another one was started after that.
func TestLeaveAtRestartedNodeOutlastsIt(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "catalogue")
	v := d.vms[0]
	v.server.Drain()
	for range 2 {
		kill(v.node)
		d.startNode(v)
		must.EqOp(t, http.StatusOK, d.say(v, ""))
	}
	kill(v.node)
	d.startNode(v)
	eventually(t, v.isRestored)
	v.sequence = 1
	must.EqOp(t, http.StatusOK, d.say(v, "ready"))
	must.False(t, v.self().TakesWork)
}
