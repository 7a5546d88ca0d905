package mesh

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// Guards against nodes that end or stop following after another writer has left odd entries:
// records, a desired state and an announcement that are nested, with a number too large or
// a port out of range.
func TestOddEntriesStopNoNode(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "catalogue")
	leaving, restarted := d.vms[0], d.vms[2]
	nested := []byte(strings.Repeat(`[{"node":`, 11_000))
	const record = `{"node":%q,"epoch":%d,"address":%q,"region":"addis","zone":"addis-a","service":"orders","slots":%d,"takesWork":true}`
	d.log.Put(fleet.Topic, "nested", nested)
	d.log.Put(fleet.Topic, "port", fmt.Appendf(nil, record, "port", 5, "127.0.0.1:99999", 8))
	d.log.Put(fleet.Topic, "slots", fmt.Appendf(nil, record, "slots", 5, "127.0.0.1:1", math.MaxInt64))
	d.log.Put(fleet.Topic, leaving.settings.Node, fmt.Appendf(nil, record, leaving.settings.Node, math.MaxInt64, "127.0.0.1:99999", 8))
	d.log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, nested)
	d.log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, operator.EncodeDesiredState(math.MaxInt64, nil, "orders"))
	status, err := operator.Announce(t.Context(), leaving.settings.Listen.Announce, operator.Announcement{
		Instance: leaving.instance(), Service: "orders", Address: leaving.settings.Backend, State: "ready",
		StartMs: leaving.startMs, Sequence: math.MaxInt64, Slots: 8,
	})
	must.NoError(t, err)
	must.EqOp(t, http.StatusBadRequest, status)

	d.publish(safe("safe"), safe("added"))
	d.announce(leaving, "draining")
	d.awaitConvergence()
	kill(restarted.node)
	d.startNode(restarted)
	d.announce(restarted, "ready")
	d.awaitConvergence()
	for _, v := range d.vms {
		must.Len(t, len(d.vms), v.node.lifecycle.components.exchange.directory.Table().Members())
		for n := range 5 {
			r := d.call(v, http.MethodGet, "/added/", fmt.Sprintf("%s-%d", v.settings.Node, n))
			must.NoError(t, r.err)
			must.EqOp(t, http.StatusOK, r.status)
		}
	}
}
