package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lacewingslip/lacewingslip/internal/standin/logservice"
	"github.com/lacewingslip/lacewingslip/membership"
)

// cluster is a set of nodes in this process that communicate by HTTP over loopback.
type cluster struct {
	nodes  []*node
	counts counters
	seeds  []string
	log    countingLog
	// regions maps peer addresses to regions. While partitioned is true, connections
	// between regions can't be established.
	regions     sync.Map
	partitioned atomic.Bool
}

type node struct {
	gossip  *membership.Gossip
	id      string
	number  int
	zone    int
	server  *http.Server
	stop    context.CancelFunc
	running sync.WaitGroup
}

// counters counts the traffic of the servers. The clients have the same traffic in
// total.
type counters struct {
	connections, messages, bytes atomic.Int64
}

// usage is the resource use of the whole process since its start.
type usage struct {
	time                         time.Time
	cpuTime                      time.Duration
	connections, messages, bytes int64
}

func newCluster() *cluster {
	return &cluster{log: countingLog{Service: logservice.New(), perSecond: map[int64]int{}}}
}

func (c *cluster) start(ctx context.Context, count int) (err error) {
	for i := range count {
		n, err := c.startNode(ctx, i)
		if err != nil {
			return fmt.Errorf("start node %d: %w", i, err)
		}
		c.nodes = append(c.nodes, n)
		// Pacing the starts keeps the number of open sockets below the file
		// descriptor limit of the process.
		time.Sleep(2 * time.Millisecond)
	}
	return nil
}

func (c *cluster) startNode(ctx context.Context, i int) (n *node, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	if len(c.seeds) < 3 {
		c.seeds = append(c.seeds, address)
	}
	zone := i % 5
	region := []string{"north", "north", "north", "south", "south"}[zone]
	c.regions.Store(address, region)
	self := membership.Self{
		// Concurrent runs must not use the same node IDs: one run may open a port
		// that the other has closed, and a node would then treat a node of the
		// other run as an earlier incarnation of a member.
		Node: fmt.Sprintf("o%05d-%04d", os.Getpid()%100_000, i), Incarnation: rand.Uint64(), Started: time.Now(),
		Peer: address, Caller: "10.120.130.140:7000", Operator: "10.120.130.140:7003",
		Region: region, Zone: fmt.Sprintf("%s-%d", region, zone),
	}
	ctx, cancel := context.WithCancel(ctx)
	n = &node{id: self.Node, number: i, zone: zone, stop: cancel}
	// Same as the default transport, except for the dialer that can block
	// connections between regions.
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: c.dialer(region)}
	n.gossip = membership.New(self, membership.WithSeeds(c.seeds...), membership.WithJournal(&c.log), membership.WithTransport(tr))
	n.server = &http.Server{Handler: c.countMessages(n.gossip.Handler())}
	n.running.Go(func() { _ = n.server.Serve(countingListener{listener, &c.counts}) })
	n.running.Go(func() { _ = n.gossip.Run(ctx) })
	n.gossip.Announce(membership.Backend{Service: fmt.Sprintf("service-%d", i%39), Slots: 50})
	return n, nil
}

// dialer returns a dial function that blocks until its context ends if the target is
// in another region and the regions are partitioned.
func (c *cluster) dialer(region string) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if other, ok := c.regions.Load(address); ok && other != region && c.partitioned.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return d.DialContext(ctx, network, address)
	}
}

// countMessages counts the messages of a handler: each request and its answer.
func (c *cluster) countMessages(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.counts.messages.Add(2)
		handler.ServeHTTP(w, r)
	})
}

// kill stops a node without announcing it to other nodes.
func (n *node) kill() {
	n.stop()
	_ = n.server.Close()
	n.running.Wait()
}

func (c *cluster) stop() { killAll(c.nodes) }

func killAll(nodes []*node) {
	var killed sync.WaitGroup
	for _, n := range nodes {
		killed.Go(n.kill)
	}
	killed.Wait()
}

// awaitAll waits until all nodes fulfil the condition, for at most 5 min. It returns
// the times until half of the nodes and until all nodes did.
func (c *cluster) awaitAll(ctx context.Context, condition func(n *node) bool) (half, last time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Minute)
	defer cancel()
	start := time.Now()
	for ctx.Err() == nil {
		done := 0
		for _, n := range c.nodes {
			if condition(n) {
				done++
			}
		}
		if half == 0 && 2*done >= len(c.nodes) {
			half = time.Since(start)
		}
		if done == len(c.nodes) {
			return half, time.Since(start)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return half, time.Since(start)
}

func (c *cluster) usage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{
		time:        time.Now(),
		cpuTime:     time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		connections: c.counts.connections.Load(),
		messages:    c.counts.messages.Load(),
		bytes:       c.counts.bytes.Load(),
	}
}

// memoryInUse returns the bytes of heap and stacks in use, after a garbage
// collection.
func memoryInUse() (bytes float64) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

type countingListener struct {
	net.Listener
	count *counters
}

func (l countingListener) Accept() (conn net.Conn, err error) {
	conn, err = l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.count.connections.Add(1)
	return countingConn{conn, l.count}, nil
}

type countingConn struct {
	net.Conn
	count *counters
}

func (c countingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.count.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.count.bytes.Add(int64(n))
	return n, err
}

// countingLog is a log service that counts appends.
type countingLog struct {
	*logservice.Service
	mu        sync.Mutex
	perSecond map[int64]int
}

func (l *countingLog) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	l.mu.Lock()
	l.perSecond[time.Now().Unix()]++
	l.mu.Unlock()
	return l.Service.Append(ctx, stream, data)
}

// reset clears the counts. It returns the number of appends, and the highest number
// within one second.
func (l *countingLog) reset() (appends, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, count := range l.perSecond {
		appends += count
		most = max(most, count)
	}
	l.perSecond = map[int64]int{}
	return appends, most
}
