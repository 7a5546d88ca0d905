package mesh

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// Guards against a server that has left and is used again, because a process that has just
// started takes a late announcement before it knows what the earlier process acknowledged.
func TestAnnouncementBeforeEarlierRecordIsKnown(t *testing.T) {
	for name, test := range map[string]struct{ logDown, drainingBefore bool }{
		"log up":                             {false, false},
		"log down":                           {true, false},
		"log up, late draining of another":   {false, true},
		"log down, late draining of another": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "catalogue")
			v := d.vms[0]
			late := operator.Announcement{
				Instance: v.instance(), Service: v.settings.Service, Address: v.settings.Backend, Zone: v.settings.Zone,
				State: "ready", StartMs: v.startMs, Sequence: v.sequence + 1, Slots: 8,
			}
			another := late
			another.Instance, another.StartMs, another.State = "i-earlier", late.StartMs-1000, "draining"
			d.announce(v, "")
			d.awaitRecord(v)
			kill(v.node)
			v.server.Drain()
			if test.logDown {
				d.log.SetFaults(keyedlog.Faults{Down: true})
			}
			d.startNode(v)
			announcements := []operator.Announcement{late}
			if test.drainingBefore {
				announcements = []operator.Announcement{another, late}
			}
			for _, a := range announcements {
				status, err := operator.Announce(t.Context(), v.settings.Listen.Announce, a)
				must.NoError(t, err)
				// Nobody else holds the record that the server drains.
				postponed := a.State == "draining" && test.logDown
				must.EqOp(t, postponed, status == http.StatusServiceUnavailable)
				must.EqOp(t, !postponed, status == http.StatusOK)
			}
			must.False(t, v.self().TakesWork)
			d.log.SetFaults(keyedlog.Faults{})
			eventually(t, func() bool { return v.isRestored() })
			must.False(t, v.self().TakesWork)
			must.False(t, v.node.lifecycle.components.announcements.tracker.Server().TakesWork())
		})
	}
}

// isRestored reports whether the node of a VM knows what an earlier process knew.
func (v *vm) isRestored() bool {
	return v.node.lifecycle.components.sidecar.serverKnown.Load()
}

// Guards against a sound server that stays out of use after a restart of its node, because
// the log can't be read and the node waits for the record of the earlier process.
func TestSoundServerIsUsedAfterRestartWithoutLog(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	v, other := d.vms[0], d.vms[1]
	d.log.SetFaults(keyedlog.Faults{Down: true})
	kill(v.node)
	d.startNode(v)
	d.announce(v, "ready")
	n := 0
	eventually(t, func() bool {
		n++
		return d.call(other, http.MethodGet, "/safe/", string(rune('a'+n%26))+"-"+string(rune('a'+n/26))).status == http.StatusOK
	})
	must.True(t, v.self().TakesWork)
}

// Guards against a server that stays in use, because its node relied on other nodes that had
// not heard of its leave while the log, which has it, could not be read.
func TestLeaveInLogIsRestoredWhenLogIsBack(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	v, other := d.vms[0], d.vms[1]
	ready := v.self()
	d.announce(v, "")
	d.awaitRecord(v)
	left := d.log.Newest(fleet.Topic, v.settings.Node)
	kill(v.node)
	kill(other.node)
	d.log.Put(fleet.Topic, v.settings.Node, []byte(`{}`))
	d.startNode(other)
	eventually(t, other.isRestored)
	d.announce(other, "ready")
	d.log.SetFaults(keyedlog.Faults{Down: true})
	other.node.lifecycle.components.exchange.directory.Merge(ready)
	d.startNode(v)
	v.sequence = 1
	d.announce(v, "ready")
	e := other.node.lifecycle.components.exchange
	eventually(t, func() bool {
		_ = e.exchangeWith(t.Context(), e.balancer.otherPeers()[0], false)
		return v.self().TakesWork
	})
	d.log.SetFaults(keyedlog.Faults{})
	d.log.Put(fleet.Topic, v.settings.Node, left)
	eventually(t, func() bool { return !v.self().TakesWork })
}
