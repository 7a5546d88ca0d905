package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/metrics"
)

// Guards against an event for each of the clients that an attack makes the node refuse, and
// against one for refusals that were reported.
func TestRefusalEventIsRateLimited(t *testing.T) {
	m, err := metrics.New()
	must.NoError(t, err)
	events, now := make(recordedEvents), time.Now()
	refusals := newClientRefusals(m, events)
	refusals.report(now)
	must.Zero(t, events[event.ClientsRefused])
	for range 1000 {
		refusals.count(metrics.HeadRefused)
		refusals.report(now)
	}
	must.Eq(t, 1, events[event.ClientsRefused])
	must.Eq(t, 1, refusals.recorded[metrics.HeadRefused])
	now = now.Add(refusalEventInterval)
	refusals.report(now)
	must.Eq(t, 2, events[event.ClientsRefused])
	must.Eq(t, 1000, refusals.recorded[metrics.HeadRefused])
	now = now.Add(refusalEventInterval)
	refusals.report(now)
	must.Eq(t, 2, events[event.ClientsRefused])
}

// Guards against refusals that are not counted, or counted for another reason: the attack of a
// head over the limit, and the connections of a full node.
func TestRefusalsAreCounted(t *testing.T) {
	d := newDeployment(t, "orders")
	d.publish(safe("safe"))
	d.awaitConvergence()
	refusals := d.vms[0].node.lifecycle.components.servers.limits.refusals
	connect(t, d.vms[0]).answer(requestOfSize("a", 200<<10))
	eventually(t, func() bool { return refusals.counts[metrics.HeadTooLarge].Load() == 1 })
	v, _, _ := newDeploymentOfFewConnections(t, time.Minute)
	refusals = v.node.lifecycle.components.servers.limits.refusals
	for range callerConnections + 1 {
		connect(t, v)
	}
	eventually(t, func() bool { return refusals.counts[metrics.ConnectionEnded].Load() >= 1 })
}
