package mesh

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/quota"
)

const (
	cappedWorkspace = "calculators"
	cappedKey       = "k-1"
)

// newCappedDeployment returns a deployment whose caps are in force at all nodes, with full
// buckets. The clock of the caps stands still from then on, so that no token is added and no
// credit expires.
func newCappedDeployment(t *testing.T, burst float64, services ...string) *deployment {
	t.Helper()
	d := newDeployment(t, services...)
	d.publishCap(burst)
	stopped := d.vms[0].node.lifecycle.components.caps.now().Add(time.Minute)
	for _, v := range d.vms {
		c := v.node.lifecycle.components.caps
		eventually(t, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.accounts.Complete() && len(c.nodes) == len(d.vms) && len(c.byName) == 1
		})
		c.mu.Lock()
		c.now = func() time.Time { return stopped }
		c.mu.Unlock()
	}
	return d
}

// publishCap brings a cap with a rate of 1 and the burst into force at all nodes.
func (d *deployment) publishCap(burst float64) {
	d.t.Helper()
	d.version++
	open := once("open")
	open.Anonymous = true
	routes := []operator.Route{once("once"), open, {Name: "nowhere", Service: "nowhere", Attempts: 1}}
	d.log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, operator.EncodeDesiredStateWith(d.version, operator.Limits{}, routes, []string{"orders"},
		operator.WithWorkspaces(operator.Workspace{Name: cappedWorkspace, Keys: []string{cappedKey}, Rate: 1, Burst: burst})))
	d.awaitConvergence()
}

// Guards against a node that grants itself credit by an earlier cap, for a request that arrived
// just before the cap was lowered, while it grants others credit by the one in force.
func TestOwnCreditIsGrantedByTheCapInForce(t *testing.T) {
	d := newCappedDeployment(t, 10, "orders")
	components := d.vms[0].node.lifecycle.components
	earlier, ok := components.desired.current().WorkspaceOf(cappedKey)
	must.True(t, ok)
	d.publishCap(2)
	admitted := 0
	for range 10 {
		if _, refusal := components.caps.admit(t.Context(), earlier); refusal == nil {
			admitted++
		}
	}
	must.Eq(t, 2, admitted)
}

// Guards against a node that divides caps by the earlier region of another one until the next
// change of the nodes, while nodes that start later divide them by the new one.
func TestChangedRegionChangesKeepers(t *testing.T) {
	const burst = 300
	clock, err := newBootClock()
	must.NoError(t, err)
	settings := nodeconfig.Config{Node: "node-0", Region: "region-0"}
	members := []fleet.Member{
		{Node: "node-0", Address: "127.0.0.1:1", Region: "region-0"},
		{Node: "node-1", Address: "127.0.0.2:1", Region: "region-1"},
		{Node: "node-2", Address: "127.0.0.3:1", Region: "region-1"},
		{Node: "node-3", Address: "127.0.0.4:1", Region: "region-1"},
	}
	b := newBalancer(settings, nil)
	setMembers := func() { b.setMembers(func() []fleet.Member { return members }) }
	setMembers()
	c := newCaps(settings, clock, &desiredState{}, b, fleet.NewDirectory(members[0], fleet.NewTable(), nil, nil, nil), nil, nil)
	now := time.Now()
	c.now = func() time.Time { return now }
	c.tick()
	c.accounts.Learn(now, c.nodeSet(), true, true)
	// granted returns what a bucket that has filled up grants.
	granted := func() int {
		now = now.Add(time.Minute)
		return c.accounts.Grant(now, cappedWorkspace, quota.Cap{Rate: burst, Burst: burst}, burst).Tokens
	}
	part := granted()
	members[3].Region = "region-2"
	setMembers()
	c.tick()
	// The four nodes are keepers in two regions, and one of each region in three.
	must.Greater(t, part, granted())
	must.Between(t, burst/4, part, burst/3)
}

// Guards against a cap that each node applies alone, whole or in part, and against refusals
// without a time to retry, of requests that run, or of requests without workspace.
func TestCapHoldsOverAllNodes(t *testing.T) {
	d := newCappedDeployment(t, 9, "orders", "orders", "orders")
	answered := 0
	for n := range 15 {
		id := fmt.Sprintf("r-%d", n)
		switch r := d.callWithKey(d.vms[n%2], "/once/a", id, cappedKey); r.status {
		case http.StatusOK:
			answered++
		default:
			must.Eq(t, http.StatusTooManyRequests, r.status)
			must.Greater(t, 0, platform.RetryAfter(r.header))
			must.Eq(t, 0, d.runs(id))
		}
	}
	must.Eq(t, 9, answered)
	must.Eq(t, http.StatusOK, d.call(d.vms[0], http.MethodPost, "/open/a", "without-key").status)
}

// Guards against requests that use up the cap although they do not run.
func TestCreditOfRefusedRequestIsGivenBack(t *testing.T) {
	d := newCappedDeployment(t, 2, "orders")
	for n := range 5 {
		must.Eq(t, http.StatusServiceUnavailable, d.callWithKey(d.vms[0], "/nowhere/a", fmt.Sprintf("r-%d", n), cappedKey).status)
	}
	must.Eq(t, http.StatusOK, d.callWithKey(d.vms[0], "/once/a", "r", cappedKey).status)
}

// Guards against a cap of which a node gives itself a part while it can't reach the keeper, and
// against the answer that the workspace is over its cap, which is not known then.
func TestRequestWithoutKeeperIsNotRun(t *testing.T) {
	d := newCappedDeployment(t, 1, "orders", "orders")
	keeper, other := d.vms[0], d.vms[1]
	if quota.NewNodes([]string{keeper.settings.Node, other.settings.Node}).Keepers(cappedWorkspace, 1)[0] != keeper.settings.Node {
		keeper, other = other, keeper
	}
	kill(keeper.node)
	r := d.callWithKey(other, "/once/a", "r", cappedKey)
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Greater(t, 0, platform.RetryAfter(r.header))
	must.Eq(t, 0, d.runs("r"))
}

// Guards against a keeper that does not understand later nodes, and one that grants credit of
// caps that it does not know.
func TestQuotaEndpoint(t *testing.T) {
	d := newCappedDeployment(t, 6, "orders")
	cases := map[string]struct{ body, want string }{
		"unknown field":     {`{"asks":{"calculators":2},"later":true}`, `{"node":%q,"lifetimeMs":250,"grants":{"calculators":{"tokens":2,"level":4.1}}}`},
		"unknown workspace": {`{"asks":{"other":2}}`, `{"node":%q,"lifetimeMs":0,"grants":{}}`},
	}
	v := d.vms[0]
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, err := http.Post("http://"+v.settings.Listen.Peer+jsonQuotaPath, "application/json", bytes.NewBufferString(c.body))
			must.NoError(t, err)
			body, err := io.ReadAll(r.Body)
			r.Body.Close()
			must.NoError(t, err)
			must.Eq(t, fmt.Sprintf(c.want, v.settings.Node), string(body))
		})
	}
}

// Guards against a request that runs beyond the cap of its workspace because its key belonged to
// another one when its body began to arrive, and against credit of that workspace that is lost.
func TestMovedKeyCountsForItsNewWorkspace(t *testing.T) {
	d := newCappedDeployment(t, 1, "orders")
	first := operator.Workspace{Name: "first", Keys: []string{"k-1"}, Rate: 1, Burst: 1}
	second := operator.Workspace{Name: "second", Keys: []string{"k-2"}, Rate: 1, Burst: 1}
	d.publishWorkspaces(first, second)
	d.awaitConvergence()
	must.Eq(t, http.StatusOK, d.callWithKey(d.vms[0], "/once/a", "uses-up-the-cap", "k-2").status)
	body, rest := io.Pipe()
	request, err := operator.Request(d.vms[0].settings.Listen.Caller, http.MethodPost, "/once/a", "moved", 2*time.Second)
	must.NoError(t, err)
	operator.AddKey(request, "k-1")
	request.Body = body
	go func() {
		_, _ = io.WriteString(rest, "first")
		first.Keys, second.Keys = []string{"k-3"}, []string{"k-1"}
		d.publishWorkspaces(first, second)
		d.awaitConvergence()
		rest.Close()
	}()
	must.Eq(t, http.StatusTooManyRequests, roundTrip(request).status)
	must.Eq(t, 0, d.runs("moved"))
	must.Eq(t, http.StatusOK, d.callWithKey(d.vms[0], "/once/a", "given-back", "k-3").status)
}

// newSecondIngress returns a further ingress of a node, with admission of its own.
func newSecondIngress(n *Node) *ingress {
	c := n.lifecycle.components
	return newIngress(n.lifecycle.settings, c.desired, c.balancer, c.sidecar, c.exchange, c.caps.events, c.caps.metrics, n.lifecycle,
		newCustomerAdmission(n.lifecycle.settings), newAccessControl(c.proofs), c.caps,
		newRetryBudget(nodeconfig.Bounds{}, func() int { return 1 }), c.quarantine.list)
}

// Guards against credit of a request refused at admission that nobody can use while the node
// waits for the rest of its body.
func TestCreditIsGivenBackBeforeTheUnreadBody(t *testing.T) {
	d := newCappedDeployment(t, 1, "orders")
	i := newSecondIngress(d.vms[0].node)
	overloaded := &result{report: loadReport{level: 1, origin: calltree.Customers, present: true}}
	route, _ := i.desired.current().Match(operator.Host, "/once/a")
	req := &request{route: route.Name(), priority: route.Priority()}
	for range 200 {
		for _, region := range append(i.admission.regions, i.settings.Region) {
			i.admission.recordResult(req, region, overloaded)
		}
	}
	eventually(t, func() bool { return !i.admission.admit(req).admitted })
	listener := httptest.NewServer(i)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /once/a HTTP/1.1\r\nHost: %s\r\nX-Request-Id: refused\r\nX-Key: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: 10\r\n\r\n",
		operator.Host, cappedKey)
	must.NoError(t, err)
	mustRefuse(t, bufio.NewReader(conn), "refused")
	must.Eq(t, http.StatusOK, d.callWithKey(d.vms[0], "/once/a", "r", cappedKey).status)
}

// Guards against credit that is used twice because the handler panics after the request has run.
func TestCreditOfRequestThatRanBeforeAPanicIsSpent(t *testing.T) {
	d := newCappedDeployment(t, 1, "orders")
	i := newSecondIngress(d.vms[0].node)
	// Without it, the handler panics with the result of an attempt.
	i.exchange = nil
	request, err := operator.Request(d.vms[0].settings.Listen.Caller, http.MethodGet, "/once/a", "r", 2*time.Second)
	must.NoError(t, err)
	operator.AddKey(request, cappedKey)
	request.RequestURI = "/once/a"
	func() {
		defer func() { must.NotNil(t, recover()) }()
		i.ServeHTTP(httptest.NewRecorder(), request)
	}()
	must.Eq(t, 1, d.runs("r"))
	must.Eq(t, http.StatusTooManyRequests, d.callWithKey(d.vms[0], "/once/a", "second", cappedKey).status)
}
