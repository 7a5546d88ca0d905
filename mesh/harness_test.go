package mesh

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

// deployment is a small system on loopback addresses: a stand-in for the log
// service, and nodes with a stand-in backend server each.
type deployment struct {
	t       testing.TB
	log     *keyedlog.Log
	logAddr string
	vms     []*vm
	version int
	// ownRecordWait replaces that of nodes that are started, so that the time in which other
	// nodes answer on a busy machine has no effect. It is not replaced if it is 0.
	ownRecordWait time.Duration
	// bounds are those on keys and caps.
	bounds nodeconfig.Bounds
	// zone is the zone of VMs that are added, or "" for the first one.
	zone string
	// slots is the number of slots that servers announce, or 0 for defaultSlots.
	slots int
	// gated puts a gate between each node that is added and the log.
	gated bool
	// beforeStart is called with each node before it is started, unless it is nil.
	beforeStart func(n *Node)
}

// vm is a VM with a backend server and a node.
type vm struct {
	settings nodeconfig.Config
	node     *Node
	server   *server.Server
	startMs  int64
	sequence int64
	// started is true once the node has been started.
	started bool
	// logGate is between the node and the log of a deployment that is gated or fails closed.
	// suspended is added to its boot clock.
	logGate   *logGate
	suspended atomic.Int64
}

// cutSwitch ends the requests of one kind, those in progress too, while it is cut.
type cutSwitch struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

func newCutSwitch() *cutSwitch {
	s := &cutSwitch{}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *cutSwitch) set(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	if !cut {
		s.ctx, s.cancel = context.WithCancel(context.Background())
	}
}

// context returns a context for a request that ends with the parent or when the switch is
// cut.
func (s *cutSwitch) context(parent context.Context) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(parent)
	// AfterFunc calls the function later, also if the switch is cut already.
	if s.ctx.Err() != nil {
		cancel()
	}
	context.AfterFunc(s.ctx, cancel)
	return ctx
}

// gateFault is how the log treats new requests of one node. Those that wait there go on.
type gateFault int32

const (
	gateServes gateFault = iota
	gateSilent
	gateBusy
	gateLimited
	gateResets
)

// logGate passes requests to the log after a delay unless it is cut. It then ends their
// connections.
type logGate struct {
	http.Handler
	*cutSwitch
	delay atomic.Int64
	fault atomic.Int32
	// reads counts the requests that were passed to the log.
	reads atomic.Int32
}

func (g *logGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := g.context(r.Context())
	switch gateFault(g.fault.Load()) {
	case gateServes:
		g.reads.Add(1)
	case gateSilent:
		<-ctx.Done()
	case gateBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case gateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case gateResets:
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(g.delay.Load()))
	response := httptest.NewRecorder()
	if ctx.Err() == nil {
		g.Handler.ServeHTTP(response, r.WithContext(ctx))
	}
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	maps.Copy(w.Header(), response.Header())
	w.WriteHeader(response.Code)
	// An error means that the node has disconnected.
	_, _ = w.Write(response.Body.Bytes())
}

// firstOwnRecordWait is the wait for other nodes at the first start of a VM's node, which
// has no earlier process.
const firstOwnRecordWait = 20 * time.Millisecond

// defaultSlots is the number of slots of a server.
const defaultSlots = 8

// lastHost numbers the loopback addresses, so that tests do not share ports.
var lastHost atomic.Int64

func newDeployment(t testing.TB, services ...string) *deployment {
	t.Helper()
	return newDeploymentWithBounds(t, nodeconfig.Bounds{}, services...)
}

// newDeploymentWithBounds returns a deployment whose nodes have the bounds on keys and caps.
func newDeploymentWithBounds(t testing.TB, bounds nodeconfig.Bounds, services ...string) *deployment {
	t.Helper()
	d := newEmptyDeployment(t)
	d.bounds = bounds
	for _, service := range services {
		d.addVM(service)
	}
	d.awaitConvergence()
	return d
}

// newEmptyDeployment starts the log service without nodes, and writes a desired state to it.
func newEmptyDeployment(t testing.TB) *deployment {
	t.Helper()
	d := &deployment{t: t, log: keyedlog.New()}
	logServer := httptest.NewServer(d.log)
	t.Cleanup(logServer.Close)
	d.logAddr = logServer.Listener.Addr().String()
	d.publish(once("once"), safe("safe"))
	return d
}

// once and safe return routes to the service orders. Requests of the former may
// run at most once; requests of the latter are idempotent.
func once(name string) operator.Route {
	return operator.Route{Name: name, Service: "orders", AtMostOnce: true, Timeout: time.Second, Attempts: 2}
}

func safe(name string) operator.Route {
	return operator.Route{Name: name, Service: "orders", Timeout: time.Second, Attempts: 2}
}

// publish writes a new version of the desired state to the log.
func (d *deployment) publish(routes ...operator.Route) {
	d.version++
	d.log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, d.state(routes...))
}

func (d *deployment) state(routes ...operator.Route) []byte {
	return operator.EncodeDesiredState(d.version, routes, "orders", "catalogue")
}

// addVM adds a VM, starts its backend server and node, and announces the server
// as ready.
func (d *deployment) addVM(service string) *vm {
	d.t.Helper()
	n := lastHost.Add(1)
	ip := fmt.Sprintf("127.0.%d.%d", 10+n/200, 1+n%200)
	s, err := server.Start(ip+":0", fmt.Sprintf("i-%d", n))
	must.NoError(d.t, err)
	d.t.Cleanup(s.Close)
	v := &vm{server: s, startMs: time.Now().UnixMilli()}
	logAddr := d.logAddr
	if d.bounds.FailClosed || d.gated {
		v.logGate = &logGate{Handler: d.log, cutSwitch: newCutSwitch()}
		gate := httptest.NewServer(v.logGate)
		d.t.Cleanup(gate.Close)
		logAddr = gate.Listener.Addr().String()
	}
	free, err := loopback.FreeAddresses(ip, 5)
	must.NoError(d.t, err)
	v.settings = nodeconfig.Config{
		Node: fmt.Sprintf("node-%d", n), Region: "addis", Zone: "addis-a", IP: ip, Service: service, Backend: s.Address(),
		RegionOf: map[string]string{"addis-a": "addis", "dire-a": "dire"},
		Listen:   nodeconfig.Listen{Caller: free[0], Peer: free[1], Ready: free[2], Announce: free[3]},
		Log:      logAddr,
		Bounds: nodeconfig.Bounds{
			Drain: time.Second, Grace: 2 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
			ConfigApply: d.bounds.ConfigApply, FailClosed: d.bounds.FailClosed, Revoke: d.bounds.Revoke,
			CapWindow: d.bounds.CapWindow, CapOver: d.bounds.CapOver, CapSlack: d.bounds.CapSlack,
		},
	}
	if d.zone != "" {
		v.settings.Zone = d.zone
	}
	_, port, err := net.SplitHostPort(free[4])
	must.NoError(d.t, err)
	_, err = fmt.Sscan(port, &v.settings.FirstPort)
	must.NoError(d.t, err)
	v.settings.LastPort = v.settings.FirstPort
	d.vms = append(d.vms, v)
	d.startNode(v)
	d.announce(v, "ready")
	return v
}

// startNode starts the node of a VM.
func (d *deployment) startNode(v *vm) {
	d.t.Helper()
	n, err := New(v.settings)
	must.NoError(d.t, err)
	e := n.lifecycle.components.exchange
	if !v.started {
		e.ownRecordWait = firstOwnRecordWait
	}
	if d.ownRecordWait > 0 {
		e.ownRecordWait = d.ownRecordWait
	}
	v.started = true
	e.client.Transport = &killableTransport{RoundTripper: e.client.Transport, cutSwitch: newCutSwitch()}
	proofs := n.lifecycle.components.proofs
	clock := proofs.clock
	proofs.clock = func() time.Duration { return clock() + time.Duration(v.suspended.Load()) }
	n.lifecycle.components.caps.now = proofs.clock.now
	if d.beforeStart != nil {
		d.beforeStart(n)
	}
	must.NoError(d.t, n.Start(context.Background()))
	v.node = n
	d.t.Cleanup(func() { kill(n) })
}

// killableTransport sends nothing once its node has been killed, and while it is cut off.
type killableTransport struct {
	http.RoundTripper
	*cutSwitch
	killed atomic.Bool
}

func (k *killableTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := k.context(r.Context())
	if k.killed.Load() || ctx.Err() != nil {
		return nil, net.ErrClosed
	}
	return k.RoundTripper.RoundTrip(r.WithContext(ctx))
}

// kill ends a node without a planned stop.
func kill(n *Node) {
	if transport, ok := n.lifecycle.components.exchange.client.Transport.(*killableTransport); ok {
		transport.killed.Store(true)
	}
	n.lifecycle.components.servers.close()
	n.lifecycle.cancel()
	n.lifecycle.background.Wait()
}

func (v *vm) instance() string {
	return "i-" + strings.TrimPrefix(v.settings.Node, "node-")
}

// announce sends an announcement of the backend server to its node. The state
// "" deregisters the server.
func (d *deployment) announce(v *vm, state string) {
	d.t.Helper()
	v.sequence++
	status, err := operator.Announce(d.t.Context(), v.settings.Listen.Announce, operator.Announcement{
		Instance: v.instance(), Service: v.settings.Service, Address: v.settings.Backend, Zone: v.settings.Zone, State: state,
		StartMs: v.startMs, Sequence: v.sequence, Slots: cmp.Or(d.slots, defaultSlots),
	})
	must.NoError(d.t, err)
	must.Eq(d.t, http.StatusOK, status)
}

// awaitConvergence waits until all nodes have the newest member records and
// desired state.
func (d *deployment) awaitConvergence() {
	d.t.Helper()
	eventually(d.t, func() bool {
		for _, v := range d.vms {
			if int(v.node.lifecycle.components.desired.version()) != d.version || !d.hasCurrentTable(v) {
				return false
			}
		}
		return true
	})
}

// hasCurrentTable reports whether the member table of a VM's node shows for
// every node whether its backend server accepts requests.
func (d *deployment) hasCurrentTable(v *vm) bool {
	table := v.node.lifecycle.components.directory.(*fleet.Directory).Table()
	for _, other := range d.vms {
		m, ok := table.Get(other.settings.Node)
		if !ok || m.TakesWork != other.node.lifecycle.components.announcements.tracker.Server().TakesWork() {
			return false
		}
	}
	return true
}

func eventually(t testing.TB, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
}

// callerResult is the response or error that a caller receives.
type callerResult struct {
	status int
	body   string
	header http.Header
	err    error
}

// call sends a request of a caller to the node of the VM.
func (d *deployment) call(v *vm, method, path, id string) (r callerResult) {
	request, err := operator.Request(v.settings.Listen.Caller, method, path, id, 2*time.Second)
	must.NoError(d.t, err)
	return roundTrip(request)
}

// roundTrip sends a request on a new connection.
func roundTrip(request *http.Request) (r callerResult) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return callerResult{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerResult{status: response.StatusCode, body: string(body), header: response.Header, err: err}
}

// runs returns how often a request ran at all backend servers together.
func (d *deployment) runs(id string) (runs int) {
	for _, v := range d.vms {
		runs += v.server.Runs(id)
	}
	return runs
}
