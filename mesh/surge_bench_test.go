package mesh

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
)

const (
	surgeCallers     = 64
	surgeServiceTime = 40 * time.Millisecond
	surgeTimeout     = 300 * time.Millisecond
	// Of every slowShare calls, one takes longer than its caller waits, and one is refused
	// by the backend server.
	slowShare = 20
)

// BenchmarkSurgeConnections measures the new connections between nodes and to backend servers
// while callers demand several times what the servers can do. One operation is a call.
//
//	go test ./mesh -run xxx -bench SurgeConnections -benchtime 5000x
func BenchmarkSurgeConnections(b *testing.B) {
	peers := &atomic.Int64{}
	d := newEmptyDeployment(b)
	d.beforeStart = func(n *Node) { countConnections(n, peers) }
	for _, service := range []string{"orders", "orders", "catalogue", "catalogue"} {
		d.addVM(service)
	}
	d.awaitConvergence()
	var arrivals, slow atomic.Int64
	for _, v := range d.vms {
		v.server.SetServiceTime(surgeServiceTime)
		v.server.SetRunHook(func(*http.Request) bool {
			if arrivals.Add(1)%slowShare == 0 {
				slow.Add(1)
				time.Sleep(surgeTimeout)
			}
			return true
		})
		v.server.SetBehaviour(func(*http.Request) server.Behaviour {
			if arrivals.Load()%slowShare == 1 {
				return server.Shed
			}
			return server.Answer
		})
	}
	backendConnections := func() (number int) {
		for _, v := range d.vms {
			number += v.server.Connections()
		}
		return number
	}
	peersBefore, backendBefore := peers.Load(), backendConnections()
	var next, answered atomic.Int64
	var callers sync.WaitGroup
	for n := range surgeCallers {
		callers.Go(func() {
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			for id := next.Add(1); id <= int64(b.N); id = next.Add(1) {
				request, err := operator.Request(d.vms[2+n%2].settings.Listen.Caller, http.MethodPost, "/once/1", strconv.FormatInt(id, 16), surgeTimeout)
				if err != nil {
					b.Error(err)
					return
				}
				response, err := transport.RoundTrip(request)
				if err != nil {
					continue
				}
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	callers.Wait()
	must.Positive(b, answered.Load())
	perThousand := func(n int64) float64 { return 1000 * float64(n) / float64(b.N) }
	b.ReportMetric(perThousand(peers.Load()-peersBefore), "peer-connections/1000")
	b.ReportMetric(perThousand(int64(backendConnections()-backendBefore)), "backend-connections/1000")
	b.ReportMetric(perThousand(answered.Load()), "answered/1000")
	b.ReportMetric(perThousand(slow.Load()), "slow/1000")
	b.ReportMetric(0, "ns/op")
}
