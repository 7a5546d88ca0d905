package mesh

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/slot"
)

const (
	// benchBatch is the number of calls that are made directly and then through the nodes,
	// in turns, so that other load of the machine affects both alike.
	benchBatch = 200
	// benchIDs is the number of request IDs. Calls of one ID are further apart than the
	// deadline of a request.
	benchIDs       = 1 << 15
	largeBodyBytes = 64 << 10
	benchSlots     = 200
)

// usage is the resources that this process has used so far.
type usage struct {
	cpu    time.Duration
	allocs uint64
	bytes  uint64
}

// used returns the resources that this process has used so far. Unlike elapsed time,
// processor time depends little on the other load of the machine.
func used(b *testing.B) (u usage) {
	b.Helper()
	var r syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &r))
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), allocs: m.Mallocs, bytes: m.TotalAlloc}
}

func (u usage) since(before usage) usage {
	return usage{cpu: u.cpu - before.cpu, allocs: u.allocs - before.allocs, bytes: u.bytes - before.bytes}
}

func (u usage) add(other usage) usage {
	return usage{cpu: u.cpu + other.cpu, allocs: u.allocs + other.allocs, bytes: u.bytes + other.bytes}
}

// report reports the resources per operation, with a prefix for their units.
func (u usage) report(b *testing.B, prefix string, operations int) {
	b.Helper()
	b.ReportMetric(float64(u.cpu.Nanoseconds())/1e3/float64(operations), prefix+"-cpu-µs/op")
	b.ReportMetric(float64(u.allocs)/float64(operations), prefix+"-allocs/op")
	b.ReportMetric(float64(u.bytes)/float64(operations), prefix+"-B/op")
}

// benchCaller makes calls one after the other.
type benchCaller struct {
	url, body string
	status    int
	transport *http.Transport
}

var benchID atomic.Int64

// call makes a call and reads the response. It checks without package must, whose functions
// look up their callers each time.
func (c *benchCaller) call() (err error) {
	request, err := http.NewRequest(http.MethodPost, c.url, strings.NewReader(c.body))
	if err != nil {
		return err
	}
	request.Host = operator.Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", strconv.FormatInt(benchID.Add(1)%benchIDs, 16))
	request.Header.Set("X-Deadline-Ms", "1000")
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != c.status {
		return fmt.Errorf("got status %d, expected %d", response.StatusCode, c.status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// runCalls makes calls, which the callers share and make at the same time.
func runCalls(b *testing.B, callers []*benchCaller, calls int) {
	b.Helper()
	var running sync.WaitGroup
	for n, caller := range callers {
		running.Go(func() {
			for range (calls + len(callers) - 1 - n) / len(callers) {
				if err := caller.call(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	running.Wait()
}

// callBenchmark is a way to make calls.
type callBenchmark struct {
	callers int
	// fresh makes each call use a new connection.
	fresh  bool
	body   string
	status int
	// prepare changes the nodes beside the caller and the server, unless it is nil.
	prepare func(b *testing.B, caller, server *vm)
}

// callersOf returns the callers of an address, which expect the status.
func (c callBenchmark) callersOf(address string, status int) (callers []*benchCaller) {
	for range c.callers {
		callers = append(callers, &benchCaller{
			url: "http://" + address + "/once/1?page=2", body: c.body, status: status,
			transport: &http.Transport{DisableKeepAlives: c.fresh, DisableCompression: true},
		})
	}
	return callers
}

// BenchmarkCall measures a call through two nodes against the same call without nodes, in one
// run. The caller, the nodes and the backend server share this process, so their processor
// time is the whole cost of the call.
//
//	go test ./mesh -run xxx -bench 'Call$' -benchtime 20000x
func BenchmarkCall(b *testing.B) {
	small, large := strings.Repeat("x", 100), strings.Repeat("x", largeBodyBytes)
	const ok, refused = http.StatusOK, http.StatusServiceUnavailable
	for _, c := range []struct {
		name string
		callBenchmark
	}{
		{"kept", callBenchmark{callers: 1, body: small, status: ok}},
		{"kept16", callBenchmark{callers: 16, body: small, status: ok}},
		{"fresh", callBenchmark{callers: 1, body: small, status: ok, fresh: true}},
		{"large", callBenchmark{callers: 1, body: large, status: ok}},
		{"refusedAtIngress", callBenchmark{callers: 1, body: small, status: refused, prepare: refuseAtIngress}},
		{"refusedAtIngressLarge", callBenchmark{callers: 1, body: large, status: refused, prepare: refuseAtIngress}},
		{"refusedAtSidecar", callBenchmark{callers: 1, body: small, status: refused, prepare: refuseAtSidecar}},
	} {
		b.Run(c.name, func(b *testing.B) {
			d := newEmptyDeployment(b)
			d.slots = benchSlots
			d.addVM("orders")
			d.addVM("catalogue")
			d.awaitConvergence()
			if c.prepare != nil {
				c.prepare(b, d.vms[1], d.vms[0])
			}
			direct := c.callersOf(d.vms[0].server.Address(), http.StatusOK)
			nodes := c.callersOf(d.vms[1].settings.Listen.Caller, c.status)
			var directUse, nodesUse usage
			runCalls(b, direct, benchBatch)
			runCalls(b, nodes, benchBatch)
			runtime.GC()
			for done := 0; done < b.N; done += benchBatch {
				calls := min(benchBatch, b.N-done)
				before := used(b)
				runCalls(b, direct, calls)
				between := used(b)
				runCalls(b, nodes, calls)
				directUse, nodesUse = directUse.add(between.since(before)), nodesUse.add(used(b).since(between))
			}
			for n := range direct {
				direct[n].transport.CloseIdleConnections()
				nodes[n].transport.CloseIdleConnections()
			}
			directUse.report(b, "direct", b.N)
			nodesUse.report(b, "nodes", b.N)
			b.ReportMetric(float64(nodesUse.cpu)/float64(directUse.cpu), "ratio")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// refuseAtIngress makes the caller's node refuse all requests.
func refuseAtIngress(_ *testing.B, caller, _ *vm) { caller.node.lifecycle.refusesAll.Store(true) }

// refuseAtSidecar occupies the only slot beside the server, whose requests take a minute.
func refuseAtSidecar(b *testing.B, _, server *vm) {
	slots := server.node.lifecycle.components.sidecar.slots
	slots.Resize(1)
	for range 2 {
		release, err := slots.Acquire(b.Context(), slot.Request{WaitUntil: time.Now().Add(time.Second)})
		must.NoError(b, err)
		if slots.Load().MeanRun == 0 {
			release(time.Minute)
		}
	}
}
