package mesh

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// Guards against a server that is used again because an announcement from before it left
// arrives late, at a process of the node that started after the server had left.
func TestLateAnnouncementToRestartedNode(t *testing.T) {
	for name, test := range map[string]struct {
		// left is the last state that the earlier process received, and later the difference
		// in start time of the server that sends the announcement.
		left    string
		later   int64
		logDown bool
		used    bool
	}{
		"deregistered":           {"", 0, false, false},
		"deregistered, log down": {"", 0, true, false},
		"draining":               {"draining", 0, false, false},
		"next incarnation":       {"", 1, false, true},
		"next one has left too":  {"", 1, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "catalogue")
			v := d.vms[0]
			late := operator.Announcement{
				Instance: v.instance(), Service: v.settings.Service, Address: v.settings.Backend, Zone: v.settings.Zone,
				State: "ready", StartMs: v.startMs + test.later, Sequence: v.sequence, Slots: 8,
			}
			d.announce(v, test.left)
			d.awaitRecord(v)
			kill(v.node)
			if !test.used {
				v.server.Drain()
			}
			if test.logDown {
				d.takeLogDown()
			}
			d.ownRecordWait = time.Minute
			d.startNode(v)
			eventually(t, func() bool {
				return v.version() > 0 && isClosed(v.node.lifecycle.components.exchange.ownRecordFetched) && v.self().Epoch > 0
			})
			status, err := operator.Announce(t.Context(), v.settings.Listen.Announce, late)
			must.NoError(t, err)
			must.EqOp(t, http.StatusOK, status)
			if test.used {
				eventually(t, func() bool { return v.self().TakesWork })
				return
			}
			must.False(t, v.self().TakesWork)
		})
	}
}
