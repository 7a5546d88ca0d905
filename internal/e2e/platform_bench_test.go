package e2e_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/e2e"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

const (
	platformNodes = 12
	// platformMemory is the smallest memory of a VM in the users' deployments.
	platformMemory = 184 << 20
	// platformServiceTime is how long a backend server takes for a call.
	platformServiceTime = 20 * time.Millisecond
	// platformSettleTime is the time after which all nodes know each other.
	platformSettleTime = 4 * time.Second
	callersPerNode     = 4
)

// platformNode is a node process and the stand-in server beside it.
type platformNode struct {
	settings nodeconfig.Config
	process  *e2e.Process
}

// BenchmarkPlatformNodes measures node processes that carry a constant rate of calls, each of
// which passes two nodes. One operation is a second. It reports the processor time of a node
// in a second and for each call, and its largest resident memory.
//
//	go test ./internal/e2e -run xxx -bench PlatformNodes -benchtime 10x
func BenchmarkPlatformNodes(b *testing.B) {
	for _, rate := range []int{0, 20, 100} {
		b.Run(fmt.Sprintf("calls=%d", rate), func(b *testing.B) {
			nodes := startPlatformNodes(b)
			time.Sleep(platformSettleTime)
			before := processorSeconds(b, nodes)
			var calls, answered atomic.Int64
			end := time.Now().Add(time.Duration(b.N) * time.Second)
			var callers sync.WaitGroup
			for n := range len(nodes) * callersPerNode * min(rate, 1) {
				callers.Go(func() {
					callAtRate(nodes[n%len(nodes)].settings.Listen.Caller, end, float64(rate)/callersPerNode, &calls, &answered)
				})
			}
			callers.Wait()
			time.Sleep(time.Until(end))
			seconds := processorSeconds(b, nodes) - before
			b.ReportMetric(1e3*seconds/float64(b.N*len(nodes)), "node-cpu-ms/op")
			if calls.Load() > 0 {
				b.ReportMetric(1e6*seconds/float64(calls.Load()), "cpu-µs/call")
				b.ReportMetric(float64(answered.Load())/float64(calls.Load()), "answered")
			}
			b.ReportMetric(float64(largestMemory(b, nodes))/1e3, "peak-MB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// callAtRate makes calls over a kept connection at a constant rate.
func callAtRate(address string, end time.Time, rate float64, calls, answered *atomic.Int64) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	interval := time.Duration(float64(time.Second) / rate)
	for next := time.Now().Add(time.Duration(float64(interval) * float64(time.Now().UnixNano()%1000) / 1000)); next.Before(end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		request, err := operator.Request(address, http.MethodPost, "/once/1", strconv.FormatInt(calls.Add(1), 16), time.Second)
		if err != nil {
			continue
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			answered.Add(1)
		}
	}
}

func startPlatformNodes(b *testing.B) (nodes []*platformNode) {
	b.Helper()
	log := keyedlog.New()
	logServer := httptest.NewServer(log)
	b.Cleanup(logServer.Close)
	routes := []operator.Route{{Name: "once", Service: "orders", AtMostOnce: true, Timeout: time.Second, Attempts: 2}}
	log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, operator.EncodeDesiredState(1, routes, "orders"))
	for n := range platformNodes {
		ip := fmt.Sprintf("127.30.%d.%d", os.Getpid()%200, 1+n)
		s, err := server.Start(ip+":0", fmt.Sprintf("i-%d", n))
		must.NoError(b, err)
		b.Cleanup(s.Close)
		s.SetServiceTime(platformServiceTime)
		zone := []string{"addis-a", "dire-a"}[n%2]
		settings := nodeconfig.Config{
			Node: fmt.Sprintf("node-%d", n), Region: strings.TrimSuffix(zone, "-a"), Zone: zone, Service: "orders", Backend: s.Address(),
			RegionOf: map[string]string{"addis-a": "addis", "dire-a": "dire"},
			Log:      logServer.Listener.Addr().String(), MemoryBytes: platformMemory,
			Bounds: nodeconfig.Bounds{Drain: time.Second, Grace: 2 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50},
		}
		must.NoError(b, e2e.SetPlatformAddresses(&settings, ip))
		nodes = append(nodes, startPlatformNode(b, settings))
	}
	return nodes
}

// startPlatformNode starts a node process and announces the server beside it.
func startPlatformNode(b *testing.B, settings nodeconfig.Config) (n *platformNode) {
	b.Helper()
	process, err := e2e.StartPlatformNode(binaries, b.TempDir(), settings, nil)
	must.NoError(b, err)
	b.Cleanup(process.Kill)
	announcement := operator.Announcement{
		Instance: "i-" + strings.TrimPrefix(settings.Node, "node-"), Service: settings.Service, Address: settings.Backend, Zone: settings.Zone,
		State: "ready", StartMs: time.Now().UnixMilli(), Sequence: 1, Slots: 100,
	}
	for {
		if status, err := operator.Announce(context.Background(), settings.Listen.Announce, announcement); err == nil && status == http.StatusOK {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return &platformNode{settings: settings, process: process}
}

// processorSeconds returns the processor time that the nodes have used.
func processorSeconds(b *testing.B, nodes []*platformNode) (seconds float64) {
	b.Helper()
	const ticksPerSecond = 100
	for _, n := range nodes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.process.ID()))
		must.NoError(b, err)
		// The name of the program, in brackets, is the second field.
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		for _, field := range fields[11:13] {
			ticks, err := strconv.Atoi(field)
			must.NoError(b, err)
			seconds += float64(ticks) / ticksPerSecond
		}
	}
	return seconds
}

// largestMemory returns the largest resident memory of a node, in KB.
func largestMemory(b *testing.B, nodes []*platformNode) (largest int) {
	b.Helper()
	for _, n := range nodes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.ID()))
		must.NoError(b, err)
		_, rest, _ := strings.Cut(string(text), "VmHWM:")
		kb, err := strconv.Atoi(strings.Fields(rest)[0])
		must.NoError(b, err)
		largest = max(largest, kb)
	}
	return largest
}
