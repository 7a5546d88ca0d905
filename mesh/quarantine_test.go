package mesh

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/quarantine"
	"github.com/lacewingslip/lacewingslip/timeline"
	"github.com/lacewingslip/lacewingslip/upstream"
)

const deadlyPath = "/safe/deadly"

// crashes counts the crashes of the backend servers of a deployment.
type crashes struct {
	d *deployment
	// runTime is how long a request runs before its server crashes.
	runTime time.Duration
	mu      sync.Mutex
	// down holds the servers that have crashed and are not back.
	down  []*vm
	count int
}

// crashServers makes each backend server crash that begins to run a request with the path.
func (d *deployment) crashServers(path string) *crashes {
	c := &crashes{d: d}
	for _, v := range d.vms {
		c.watch(v, path)
	}
	return c
}

func (c *crashes) watch(v *vm, path string) {
	s := v.server
	s.SetRunHook(func(r *http.Request) bool {
		if r.URL.Path != path {
			return true
		}
		time.Sleep(c.runTime)
		c.mu.Lock()
		defer c.mu.Unlock()
		s.Close()
		if !slices.Contains(c.down, v) {
			c.down = append(c.down, v)
			c.count++
		}
		return false
	})
}

// restart starts the crashed servers again.
func (c *crashes) restart(path string) {
	c.mu.Lock()
	down := c.down
	c.down = nil
	c.mu.Unlock()
	for _, v := range down {
		s, err := server.Start(v.settings.Backend, v.instance())
		must.NoError(c.d.t, err)
		c.d.t.Cleanup(s.Close)
		v.server, v.startMs, v.sequence = s, v.startMs+1, 0
		c.watch(v, path)
		c.d.announce(v, "ready")
	}
}

func (c *crashes) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// convict sends a request that crashes servers until it is blocked.
func (c *crashes) convict(from ...*vm) {
	c.d.t.Helper()
	for n := range 20 {
		r := c.d.call(from[n%len(from)], http.MethodGet, deadlyPath, fmt.Sprintf("deadly-%d", n))
		must.NoError(c.d.t, r.err)
		c.restart(deadlyPath)
		if seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err == nil && seconds > 60 {
			must.Eq(c.d.t, http.StatusServiceUnavailable, r.status)
			return
		}
	}
	c.d.t.Fatalf("the request is not blocked after %d crashes", c.total())
}

// Guards against a request that comes again and again and crashes server after server.
func TestRequestThatCrashesServersIsBlocked(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue", "catalogue")
	c := d.crashServers(deadlyPath)
	callers := d.vms[4:]
	c.convict(callers...)
	must.LessEq(t, 4, c.total())
	before := c.total()
	for n := range 20 {
		r := d.call(callers[n%2], http.MethodGet, deadlyPath, fmt.Sprintf("later-%d", n))
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.Eq(t, 0, d.runs(fmt.Sprintf("later-%d", n)))
		r = d.call(callers[n%2], http.MethodGet, fmt.Sprintf("/safe/other%d", n), fmt.Sprintf("other-%d", n))
		must.Eq(t, http.StatusOK, r.status)
	}
	must.Eq(t, before, c.total())
}

// Guards against an attempt that runs before its node has heard of the crash under the attempt
// before, so that no node counts both. Here no message about crashes arrives.
func TestEvidenceTravelsWithRequest(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue")
	for _, v := range d.vms {
		v.node.lifecycle.components.quarantine.send = func(context.Context, *peer, exchangeMessage) (reply exchangeMessage, err error) {
			return reply, context.DeadlineExceeded
		}
	}
	c := d.crashServers(deadlyPath)
	c.convict(d.vms[4])
	must.Eq(t, 3, c.total())
}

// Guards against a copy that is sent once the failure of the first one has been answered, and
// meets nodes that have not been told yet. Messages take longer than the next copy.
func TestCopyAfterResultMeetsNodesThatKnow(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue", "catalogue")
	for _, v := range d.vms {
		q := v.node.lifecycle.components.quarantine
		send := q.send
		q.send = func(ctx context.Context, p *peer, msg exchangeMessage) (reply exchangeMessage, err error) {
			time.Sleep(maxToldWait / 10)
			return send(ctx, p, msg)
		}
	}
	c := d.crashServers(deadlyPath)
	c.convict(d.vms[4:]...)
	must.Eq(t, 3, c.total())
}

// The node of the caller hears of a crash with the result. Guards against a request that it
// still suspects once a later attempt has completed.
func TestCompletedAttemptClearsRequestAtIngress(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "catalogue")
	c := &crashes{d: d}
	c.watch(d.vms[0], deadlyPath)
	for n := 0; c.total() == 0; n++ {
		must.Less(t, 20, n)
		must.Eq(t, http.StatusOK, d.call(d.vms[2], http.MethodGet, deadlyPath, strconv.Itoa(n)).status)
	}
	request := quarantine.Request{Method: http.MethodGet, Host: operator.Host, Target: deadlyPath, Caller: "catalogue"}.Fingerprint()
	must.False(t, d.vms[2].node.lifecycle.components.sidecar.quarantine.IsSuspect(request))
}

// Copies that run at the same time end many servers before any node can know. Guards against
// a later wave of them that ends as many.
func TestCopiesAtTheSameTimeAreBlocked(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "orders", "orders", "orders", "orders", "catalogue", "catalogue")
	c := d.crashServers("/once/deadly")
	c.runTime = 50 * time.Millisecond
	wave := func(name string) {
		var calls sync.WaitGroup
		for n := range 12 {
			calls.Go(func() { d.call(d.vms[8+n%2], http.MethodPost, "/once/deadly", fmt.Sprintf("%s-%d", name, n)) })
		}
		calls.Wait()
		c.restart("/once/deadly")
	}
	wave("first")
	first := c.total()
	must.GreaterEq(t, simultaneousCopies, first)
	// Nodes in touch have to know 3 s after the third crash.
	request := quarantine.Request{Method: http.MethodPost, Host: operator.Host, Target: "/once/deadly", Caller: "catalogue"}.Fingerprint()
	for _, v := range d.vms {
		list := v.node.lifecycle.components.sidecar.quarantine
		must.Wait(t, wait.InitialSuccess(wait.Timeout(3*time.Second), wait.Gap(5*time.Millisecond), wait.BoolFunc(func() bool {
			return list.Verdict(time.Now(), request).Level != quarantine.Free
		})))
	}
	wave("second")
	must.LessEq(t, first+maxIsolationNodes, c.total())
	wave("third")
	must.LessEq(t, first+maxIsolationNodes, c.total())
}

// simultaneousCopies is the least number of servers that the first copies end.
const simultaneousCopies = 4

// Guards against an isolated request that is refused for as long as the server of the node
// that is to run it is lost.
func TestIsolatedRequestRunsBesideLostServer(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "catalogue")
	request := quarantine.Request{Method: http.MethodGet, Host: operator.Host, Target: "/safe/a", Caller: "catalogue"}.Fingerprint()
	suspects := suspectList(request, false)
	for _, v := range d.vms {
		list := v.node.lifecycle.components.sidecar.quarantine
		list.Merge(time.Now(), suspects.Evidence(time.Now(), []quarantine.Fingerprint{request}))
		must.Eq(t, quarantine.Isolated, list.Verdict(time.Now(), request).Level)
	}
	isolated := requestTo("orders", request)
	p, _ := d.vms[3].node.lifecycle.components.balancer.isolationNode(isolated, nil)
	for _, v := range d.vms {
		if v.settings.Node == p.node {
			v.server.Close()
		}
	}
	must.Eq(t, http.StatusOK, d.call(d.vms[3], http.MethodGet, "/safe/a", "a").status)
}

func requestTo(service string, fingerprint quarantine.Fingerprint) *request {
	return &request{service: service, fingerprint: fingerprint}
}

// suspectList returns a list with a request under which two servers have crashed, or three
// if it is convicted.
func suspectList(request quarantine.Fingerprint, convicted bool) *quarantine.List {
	list := quarantine.New()
	for n, isolated := range []bool{false, false, true} {
		if at := time.Now().Add(time.Duration(n-4) * time.Second); !isolated || convicted {
			list.RecordCrash(at, quarantine.NewCrashID(), []quarantine.Run{{Request: request, Started: at.Add(-time.Millisecond), Isolated: isolated}})
		}
	}
	return list
}

// Guards against a leaving server that is used again because its node restarts while its
// record has a blocked request.
func TestLeavingServerWithBlockedRequestStaysOut(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "catalogue")
	v := d.vms[0]
	d.witness(v)
	d.announce(v, "draining")
	eventually(t, func() bool {
		m, err := fleet.DecodeMember(d.log.Newest(fleet.Topic, v.settings.Node))
		return err == nil && !m.TakesWork && m.Blocked != ""
	})
	kill(v.node)
	d.startNode(v)
	<-v.node.lifecycle.components.exchange.ownRecordFetched
	follow.Pause(t.Context(), healthTimeout)
	must.False(t, v.node.lifecycle.components.announcements.tracker.Server().TakesWork())
	eventually(t, func() bool {
		m, err := fleet.DecodeMember(d.log.Newest(fleet.Topic, v.settings.Node))
		return err == nil && !m.TakesWork && m.Blocked != ""
	})
}

// witness makes a node convict a request.
func (d *deployment) witness(v *vm) {
	d.t.Helper()
	q := v.node.lifecycle.components.quarantine
	request := quarantine.Request{Target: "/a"}.Fingerprint()
	q.list.Merge(time.Now(), suspectList(request, true).Restricting(time.Now()))
	q.serverCrashed([]quarantine.Fingerprint{request})
	must.NotEq(d.t, "", q.directory.Self().Blocked)
}

// Nodes of an earlier version pass records on without blocked requests. Guards against a
// node that writes its record again for each of them.
func TestRecordWithoutBlockedRequestsIsNotReplaced(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	d.witness(d.vms[0])
	directory := d.vms[0].node.lifecycle.components.exchange.directory
	stripped := directory.Self()
	stripped.Blocked = ""
	directory.Merge(stripped)
	must.Eq(t, stripped.Epoch, directory.Self().Epoch)
}

// The node beside the server may know of a block before the first node does.
func TestRetryAfterOfNodeBesideServer(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	request := quarantine.Request{Method: http.MethodGet, Host: operator.Host, Target: "/safe/a", Caller: "catalogue"}.Fingerprint()
	d.vms[0].node.lifecycle.components.sidecar.quarantine.Merge(time.Now(), suspectList(request, true).Restricting(time.Now()))
	r := d.call(d.vms[1], http.MethodGet, "/safe/a", "a")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Greater(t, 500, seconds)
}

// The same server announces itself to a restarted node that knows it from a health request.
func TestAnnouncementToRestartedNodeIsNoCrash(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	v := d.vms[0]
	kill(v.node)
	d.startNode(v)
	eventually(t, func() bool { return v.node.lifecycle.components.announcements.tracker.Server().TakesWork() })
	detector := v.node.lifecycle.components.sidecar.crashes
	request := quarantine.Request{Target: "/a"}.Fingerprint()
	must.False(t, detector.breakOff(t.Context(), detector.start(request, false)))
	d.announce(v, "ready")
	must.False(t, detector.list.IsSuspect(request))
}

// The connection of the request that crashes the server may end a moment before the server
// stops listening.
func TestFirstEndBeforeListenerCloses(t *testing.T) {
	list, checks := quarantine.New(), 0
	ready := upstream.New("orders", "127.0.0.1:1")
	ready.Restore("i-1", 1, 8, upstream.Ready)
	d := newCrashDetector(list, timeline.NewRecorder("n"), func(context.Context) error {
		if checks++; checks == 1 {
			return nil
		}
		return syscall.ECONNREFUSED
	}, ready.Server)
	guilty, other := quarantine.Request{Target: "/a"}.Fingerprint(), quarantine.Request{Target: "/b"}.Fingerprint()
	first, second := d.start(guilty, false), d.start(other, false)
	must.False(t, d.breakOff(t.Context(), first))
	must.True(t, d.breakOff(t.Context(), second))
	must.True(t, list.IsSuspect(guilty))
}

// Guards against evidence that waits behind nodes that are cut off, and against goroutines
// that pile up meanwhile.
func TestEvidenceSpreadsBesideUnreachableNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, reachable = 600, 500
		request := quarantine.Request{Target: "/a"}.Fingerprint()
		b := newBalancer(nodeconfig.Config{Node: "self", Service: "orders"}, timeline.NewRecorder("self"))
		b.setMembers(func() (members []fleet.Member) {
			for n := range nodes {
				members = append(members, fleet.Member{Node: strconv.Itoa(n), Epoch: 1, Address: fmt.Sprintf("127.0.0.1:%d", n+1), Service: "orders"})
			}
			return members
		})
		q := newQuarantineSync(suspectList(request, true), b, timeline.NewRecorder("self"), nil)
		var mu sync.Mutex
		reached := make(map[string]bool)
		q.ownMessage = func() exchangeMessage { return exchangeMessage{} }
		q.send = func(_ context.Context, p *peer, _ exchangeMessage) (reply exchangeMessage, err error) {
			if n, _ := strconv.Atoi(p.node); n >= reachable {
				time.Sleep(exchangeTimeout)
				return reply, context.DeadlineExceeded
			}
			time.Sleep(time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			reached[p.node] = true
			return reply, nil
		}
		// The time until nodes count as in touch is 3 s.
		for range 30 {
			q.requestReleased(request)
			time.Sleep(100 * time.Millisecond)
			must.LessEq(t, 2*nodes, runtime.NumGoroutine())
		}
		mu.Lock()
		must.MapLen(t, reachable, reached)
		mu.Unlock()
		// The last attempts at the other nodes end.
		time.Sleep(time.Minute)
	})
}

// Guards against a blocked request that runs again after all nodes have restarted at once.
func TestBlockedRequestIsKnownAfterRestart(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue")
	c := d.crashServers(deadlyPath)
	c.convict(d.vms[4])
	eventually(t, func() bool {
		return slices.ContainsFunc(d.vms, func(v *vm) bool {
			return strings.Contains(string(d.log.Newest(fleet.Topic, v.settings.Node)), `"blocked"`)
		})
	})
	for _, v := range d.vms {
		kill(v.node)
	}
	for _, v := range d.vms {
		d.startNode(v)
		d.announce(v, "ready")
	}
	d.awaitConvergence()
	before := c.total()
	r := d.call(d.vms[4], http.MethodGet, deadlyPath, "after")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, before, c.total())
}

// Evidence spreads between nodes while the log is away, also to a node that restarts.
func TestRequestIsBlockedWithoutLog(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue")
	d.log.SetFaults(keyedlog.Faults{Down: true})
	c := d.crashServers(deadlyPath)
	c.convict(d.vms[4])
	must.LessEq(t, 4, c.total())
	for _, v := range []*vm{d.vms[0], d.vms[4]} {
		kill(v.node)
		d.startNode(v)
		list := v.node.lifecycle.components.sidecar.quarantine
		eventually(t, func() bool { return list.Blocked(time.Now()) == 1 })
	}
}

// A backend server that only breaks off its response has not crashed, so the request is not
// suspect of anything.
func TestBrokenOffResponsesAreNoCrash(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	d.vms[0].server.SetBehaviour(func(*http.Request) server.Behaviour { return server.LoseAnswer })
	for n := range 8 {
		r := d.call(d.vms[1], http.MethodGet, "/safe/a", strconv.Itoa(n))
		must.Eq(t, http.StatusBadGateway, r.status)
	}
	request := quarantine.Request{Method: http.MethodGet, Host: operator.Host, Target: "/safe/a", Caller: "catalogue"}.Fingerprint()
	must.False(t, d.vms[0].node.lifecycle.components.sidecar.quarantine.IsSuspect(request))
}

// A backend server may be back before it is found to be down. Its next announcement then
// shows that it has crashed.
func TestCrashOfServerThatIsBackAtOnce(t *testing.T) {
	list := quarantine.New()
	ready := upstream.New("orders", "127.0.0.1:1")
	ready.Restore("i-1", 1, 8, upstream.Ready)
	d := newCrashDetector(list, timeline.NewRecorder("n"), func(context.Context) error { return nil }, ready.Server)
	request := quarantine.Request{Target: "/a"}.Fingerprint()
	must.False(t, d.breakOff(t.Context(), d.start(request, false)))
	must.False(t, list.IsSuspect(request))
	d.serverReplaced(ready.Server())
	must.True(t, list.IsSuspect(request))
}

// Guards against a request that makes server after server hang, which ends none of them.
func TestRequestsAtSilentServerAreSuspect(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	d.vms[0].server.SetBehaviour(func(*http.Request) server.Behaviour { return server.Hang })
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := range 2 * minSilentRequests {
		calls.Go(func() { d.call(d.vms[1], http.MethodGet, fmt.Sprintf("/safe/%d", n), strconv.Itoa(n)) })
	}
	sidecar := d.vms[0].node.lifecycle.components.sidecar
	eventually(t, sidecar.silence.isSilent)
	request := quarantine.Request{Method: http.MethodGet, Host: operator.Host, Target: "/safe/0", Caller: "catalogue"}.Fingerprint()
	eventually(t, func() bool { return sidecar.quarantine.IsSuspect(request) })
}

// Guards against a run that started in the same millisecond as an earlier crash, and seems to
// another node to have started before it.
func TestOrderOfCrashesWithinMillisecond(t *testing.T) {
	request, now := quarantine.Request{Target: "/a"}.Fingerprint(), time.Now()
	list, other := quarantine.New(), quarantine.New()
	for n := range 2 {
		started := now.Add(time.Duration(n) * 200 * time.Microsecond)
		list.RecordCrash(started.Add(100*time.Microsecond), quarantine.NewCrashID(), []quarantine.Run{{Request: request, Started: started}})
	}
	now = now.Add(time.Millisecond)
	other.Merge(now, decodeEvidence(encodeEvidence(list.Evidence(now, []quarantine.Fingerprint{request}))))
	must.Eq(t, quarantine.Isolated, other.Verdict(now, request).Level)
}

// Nodes may be told of fingerprints, ages and convictions that make no sense.
func TestDecodeConvictions(t *testing.T) {
	fingerprint := quarantine.Request{Target: "/a"}.Fingerprint()
	valid := fingerprint.String() + ":3:1700000000000"
	for name, c := range map[string]struct {
		encoded string
		count   int
	}{
		"none": {"", 0}, "one": {valid, 1}, "beside others": {"x,::," + valid + ",a:b:c", 1}, "too many": {strings.Repeat(valid+",", 99), maxPublishedConvictions},
	} {
		t.Run(name, func(t *testing.T) {
			convictions := decodeConvictions(c.encoded)
			must.Len(t, c.count, convictions)
			for _, conviction := range convictions {
				must.Eq(t, quarantine.Conviction{Request: fingerprint, Crashes: 3, At: time.UnixMilli(1700000000000)}, conviction)
			}
		})
	}
}
