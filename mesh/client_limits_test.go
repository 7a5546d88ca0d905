package mesh

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// requestOfSize returns a request whose head has about the number of bytes, in short lines.
func requestOfSize(id string, size int) string {
	var head strings.Builder
	fmt.Fprintf(&head, "GET /safe/ HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\n", operator.Host, id)
	for n := 0; head.Len() < size; n++ {
		fmt.Fprintf(&head, "x%d:\r\n", n)
	}
	return head.String() + "\r\n"
}

// Guards against a limit of heads that stays as it was when the listeners were opened, and
// against a refused request that runs.
func TestHeadLimitChangesWithVersion(t *testing.T) {
	d := newDeployment(t, "orders")
	v := d.vms[0]
	for n, c := range []struct {
		limit, size, want int
	}{
		{0, 60 << 10, http.StatusOK},
		{16 << 10, 15 << 10, http.StatusOK},
		{16 << 10, 30 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{100 << 10, 90 << 10, http.StatusOK},
		{16 << 10, 90 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		d.version++
		d.log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, operator.EncodeDesiredStateWithLimits(d.version,
			operator.Limits{HeaderBytes: c.limit}, []operator.Route{safe("safe")}, "orders"))
		d.awaitConvergence()
		id := fmt.Sprint("a", n)
		must.Eq(t, c.want, connect(t, v).answer(requestOfSize(id, c.size)))
		runs := 0
		if c.want == http.StatusOK {
			runs = 1
		}
		must.Eq(t, runs, v.server.Runs(id))
	}
}

// Guards against a time limit of heads that stays as it was when the listeners were opened,
// and against a late head that is answered as if it were malformed.
func TestHeadTimeoutOfDesiredState(t *testing.T) {
	d := newDeployment(t, "orders")
	d.version++
	d.log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, operator.EncodeDesiredStateWithLimits(d.version,
		operator.Limits{HeaderTimeout: time.Millisecond}, []operator.Route{safe("safe")}, "orders"))
	d.awaitConvergence()
	limits := d.vms[0].node.lifecycle.components.servers.limits
	must.Eq(t, time.Millisecond, limits.headTimeout(callerPort))
	must.Eq(t, headerTimeout, limits.headTimeout(peerPort))
	must.Eq(t, http.StatusRequestTimeout, connect(t, d.vms[0]).answer("GET /"))
}

// Guards against a budget that loses what heads have taken: each request that is answered, and
// each connection that is closed within a head, must return it.
func TestHeadsReturnTheirMemory(t *testing.T) {
	d := newDeployment(t, "orders")
	d.publish(safe("safe"))
	d.awaitConvergence()
	v := d.vms[0]
	limits := v.node.lifecycle.components.servers.limits
	kept := connect(t, v)
	for n := range 3 {
		must.Eq(t, http.StatusOK, kept.answer(requestOfSize(fmt.Sprint("kept", n), 8<<10)))
	}
	for range 3 {
		client := connect(t, v)
		client.write(requestOfSize("cut", 8<<10)[:8<<10])
		eventually(t, func() bool { return limits.memory.Used() > 0 })
		client.conn.Close()
	}
	eventually(t, func() bool { return limits.memory.Used() == 0 })
}

// Guards against a request that runs, or fills the memory, although the budget of bodies is
// used up, and against a budget that is not returned.
func TestBodyBeyondBudgetIsNotRun(t *testing.T) {
	d := newEmptyDeployment(t)
	d.beforeStart = func(n *Node) { n.lifecycle.components.servers.limits.bodies = clientlimit.NewBudget(100<<10, nil) }
	v := d.addVM("orders")
	d.awaitConvergence()
	limits := v.node.lifecycle.components.servers.limits
	for name, c := range map[string]struct{ size, want int }{
		"within": {90 << 10, http.StatusOK}, "beyond": {110 << 10, http.StatusServiceUnavailable},
	} {
		head := fmt.Sprintf("POST /once/ HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n", operator.Host, name, c.size)
		must.Eq(t, c.want, connect(t, v).answer(head+strings.Repeat("x", c.size)))
		runs := 0
		if c.want == http.StatusOK {
			runs = 1
		}
		must.Eq(t, runs, v.server.Runs(name))
	}
	eventually(t, func() bool { return limits.bodies.Used() == 0 })
}
