package mesh

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/timeline"
)

var failClosed = nodeconfig.Bounds{FailClosed: true, Revoke: 5 * time.Second, ConfigApply: 3 * time.Second}

var (
	north = operator.Workspace{Name: "north", Keys: []string{"k1"}}
	south = operator.Workspace{Name: "south", Keys: []string{"k2"}}
)

// newKeyedDeployment returns a deployment that fails closed, whose nodes serve requests with
// the keys of north and south.
func newKeyedDeployment(t *testing.T, services ...string) *deployment {
	t.Helper()
	d := newDeploymentWithBounds(t, failClosed, services...)
	d.publishWorkspaces(north, south)
	d.awaitConvergence()
	d.awaitServing(d.vms...)
	return d
}

func (v *vm) proofs() *proofs { return v.node.lifecycle.components.proofs }

// awaitServing waits until the nodes of the VMs serve requests with a key.
func (d *deployment) awaitServing(vms ...*vm) {
	d.t.Helper()
	eventually(d.t, func() bool {
		for _, v := range vms {
			if !v.proofs().serves() {
				return false
			}
		}
		return true
	})
}

// suspend lets time pass on the boot clocks of VMs that no other clock counts.
func suspend(by time.Duration, vms ...*vm) {
	for _, v := range vms {
		v.suspended.Add(int64(by))
	}
}

// setCutOff cuts a node off from the log and from other nodes, or connects it again.
func (v *vm) setCutOff(cutOff bool) {
	v.logGate.set(cutOff)
	v.node.lifecycle.components.exchange.client.Transport.(*killableTransport).set(cutOff)
}

// mustAnswer sends a request with the key to a node and checks the status, and that it ran
// only if it was answered.
func (d *deployment) mustAnswer(v *vm, status int, path, key string) {
	d.t.Helper()
	id := "r-" + strconv.FormatInt(requestNumber.Add(1), 10)
	result := d.callWithKey(v, path, id, key)
	must.NoError(d.t, result.err)
	must.Eq(d.t, status, result.status)
	must.Eq(d.t, status == 200, d.runs(id) == 1)
	must.Eq(d.t, status == 503, result.header.Get("Retry-After") != "")
}

// Guards against a node that is cut off or was suspended and runs requests with a key that
// may have been withdrawn, denies one that it may not know yet, or goes on refusing afterwards.
func TestCutOffNodeRefusesKeys(t *testing.T) {
	d := newKeyedDeployment(t, "orders", "orders", "orders")
	v, other := d.vms[0], d.vms[1]
	v.setCutOff(true)
	d.publishWorkspaces(south, operator.Workspace{Name: "west", Keys: []string{"k3"}})
	eventually(t, func() bool { return other.version() == d.version })
	d.mustAnswer(other, 401, "/once/", "k1")
	d.mustAnswer(other, 200, "/once/", "k3")
	suspend(failClosed.ConfigApply, v)
	d.mustAnswer(v, 503, "/once/", "k3")
	d.mustAnswer(v, 503, "/none/", "k2")
	suspend(failClosed.Revoke-failClosed.ConfigApply, v)
	d.mustAnswer(v, 503, "/once/", "k1")
	d.mustAnswer(v, 503, "/once/", "k2")
	d.mustAnswer(other, 200, "/once/", "k2")
	d.mustAnswer(v, 200, "/open/", "k1")
	v.setCutOff(false)
	d.awaitServing(v)
	d.mustAnswer(v, 401, "/once/", "k1")
	d.mustAnswer(v, 200, "/once/", "k3")
}

// Guards against nodes that confirm each other while none of them reaches the log, and against
// nodes that serve no anonymous requests then or no others afterwards.
func TestSilentLogEndsProofs(t *testing.T) {
	d := newKeyedDeployment(t, "orders", "orders", "orders", "orders")
	for _, v := range d.vms {
		v.logGate.set(true)
	}
	suspend(failClosed.Revoke, d.vms...)
	// The nodes ask each other meanwhile.
	time.Sleep(time.Second)
	for _, v := range d.vms {
		d.mustAnswer(v, 503, "/once/", "k1")
		d.mustAnswer(v, 200, "/open/", "k1")
		d.mustAnswer(v, 503, "/once/", "k1")
	}
	for _, v := range d.vms {
		v.logGate.set(false)
	}
	d.awaitServing(d.vms...)
}

// Guards against a node that refuses requests although another node that it can reach has
// proofs, whichever of them reads the log otherwise.
func TestOneNodeAtTheLogProvesForAll(t *testing.T) {
	d := newKeyedDeployment(t, "orders", "orders", "orders", "orders")
	d.awaitWatchers()
	for _, connected := range d.vms {
		for _, v := range d.vms {
			v.logGate.set(v != connected)
		}
		suspend(failClosed.Revoke, d.vms...)
		d.awaitServing(d.vms...)
	}
}

// Guards against nodes that give up each read of a slow log before its response, so that
// requests are refused although the log is available.
func TestSlowLogProves(t *testing.T) {
	d := newKeyedDeployment(t, "orders", "orders")
	const delay = time.Second
	// Afterwards, all other reads wait for half of minDesiredStateWait or longer.
	time.Sleep(settleTime + time.Second)
	for _, v := range d.vms {
		v.logGate.delay.Store(int64(delay))
	}
	suspend(failClosed.Revoke, d.vms...)
	for _, v := range d.vms {
		eventually(t, func() bool {
			age := v.proofs().statedAge()
			return age.known && age.age < delay+minDesiredStateWait/2
		})
	}
}

// Guards against forwarded requests whose responses do not renew the proof, so that a node
// refuses keys although it reaches others.
func TestForwardedRequestRenewsProof(t *testing.T) {
	d := newKeyedDeployment(t, "catalogue", "orders")
	v := d.vms[0]
	v.setCutOff(true)
	suspend(failClosed.Revoke, v)
	d.mustAnswer(v, 503, "/once/", "k1")
	eventually(t, func() bool {
		// The node takes the other one for unreachable when it can't exchange state with it.
		v.node.lifecycle.components.balancer.markReachable(d.vms[1].settings.Node)
		id := "f-" + strconv.FormatInt(requestNumber.Add(1), 10)
		return d.callWithKey(v, "/open/", id, "k1").status == 200 && v.proofs().serves()
	})
}

// Guards against a started node that serves requests with a key without a proof, and against
// one that does not take that of another node because the log is silent.
func TestNodeRestartsBesideSilentLog(t *testing.T) {
	for name, othersProven := range map[string]bool{"other nodes have proofs": true, "nobody has a proof": false} {
		t.Run(name, func(t *testing.T) {
			d := newKeyedDeployment(t, "orders", "orders", "catalogue")
			v, others := d.vms[0], d.vms[1:]
			kill(v.node)
			v.logGate.set(true)
			if !othersProven {
				for _, other := range others {
					other.logGate.set(true)
				}
				suspend(failClosed.Revoke, others...)
			}
			for _, other := range others {
				b := other.node.lifecycle.components.balancer
				for _, p := range b.otherPeers() {
					if p.node == v.settings.Node {
						b.markUnreachable(p, "killed by the test")
					}
				}
			}
			d.startNode(v)
			if othersProven {
				d.awaitServing(v)
				d.mustAnswer(v, 200, "/open/", "k1")
				return
			}
			eventually(t, func() bool { return v.version() == d.version })
			time.Sleep(time.Second)
			d.mustAnswer(v, 503, "/once/", "k1")
		})
	}
}

// Guards against a proof from a log that was restored from an older copy: it lacks the version
// that withdraws a key, and would lack the next one that was written before it was lost.
func TestRestoredLogProvesNothingUntilItHasTheVersion(t *testing.T) {
	d := newKeyedDeployment(t, "orders", "orders", "orders")
	time.Sleep(settleTime)
	older := d.log.Copy()
	d.publishWorkspaces(south)
	d.awaitConvergence()
	d.log.Restore(older)
	suspend(failClosed.Revoke, d.vms...)
	time.Sleep(time.Second)
	for _, v := range d.vms {
		must.NotEq(t, 200, d.callWithKey(v, "/once/", "withdrawn", "k1").status)
		d.mustAnswer(v, 503, "/once/", "k2")
	}
	must.Zero(t, d.runs("withdrawn"))
	d.publishWorkspaces(south)
	d.awaitConvergence()
	d.awaitServing(d.vms...)
	d.mustAnswer(d.vms[0], 200, "/once/", "k2")
}

// Guards against a proof that is taken from the response to a forwarded request of a node of
// an earlier version, or that is lost on the way.
func TestResponseHeaderCarriesProofAge(t *testing.T) {
	for name, c := range map[string]struct {
		value string
		want  proofAge
	}{
		"none":    {"1 answered 7 1 0 8 5 0 1 1 -", proofAge{}},
		"stated":  {"1 answered 7 1 0 8 5 0 1 1 - a=250", proofAge{250 * time.Millisecond, true}},
		"unknown": {"1 answered 7 1 0 8 5 0 1 1 - z=3 a=0", proofAge{0, true}},
		"below 0": {"1 answered 7 1 0 8 5 0 1 1 - a=-3", proofAge{}},
	} {
		t.Run(name, func(t *testing.T) {
			res, _, err := parseResponseHop(c.value)
			must.NoError(t, err)
			must.Eq(t, c.want, res.proofAge)
		})
	}
}

// requestNumber numbers the requests of the tests.
var requestNumber atomic.Int64

// Guards against keys in what a node sends to others, records or exports.
func TestNodesPassOnNoKeys(t *testing.T) {
	d := newKeyedDeployment(t, "orders", "orders", "orders")
	d.publishWorkspaces(operator.Workspace{Name: "west", Keys: []string{"secret-key"}})
	d.awaitConvergence()
	d.awaitServing(d.vms...)
	for _, v := range d.vms {
		d.mustAnswer(v, 200, "/once/", "secret-key")
		d.mustAnswer(v, 401, "/once/", "secret-other")
		document := v.node.lifecycle.components.desired.currentDocument()
		must.StrContains(t, string(document), "west")
		operatorAddress := net.JoinHostPort(v.settings.IP, strconv.Itoa(v.settings.FirstPort))
		for _, path := range []string{metricsPath, timeline.EventsPath, desired.StatePath} {
			response, err := http.Get("http://" + operatorAddress + path)
			must.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			must.NoError(t, err)
			must.Eq(t, 200, response.StatusCode)
			document = append(document, body...)
		}
		must.StrNotContains(t, string(document), "secret")
	}
}
