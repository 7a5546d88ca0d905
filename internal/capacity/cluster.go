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

// cluster is a set of nodes in this process that talk over loopback HTTP.
type cluster struct {
	nodes []*node
	count counters
	seeds []string
	log   countingLog
	// regions maps peer addresses to regions. While apart is true, messages
	// between regions are lost.
	regions sync.Map
	apart   atomic.Bool
}

type node struct {
	gossip *membership.Gossip
	id     string
	number int
	zone   int
	server *http.Server
	stop   context.CancelFunc
	ended  sync.WaitGroup
}

// counters count what passes the servers, which is what passes the clients too.
type counters struct {
	connections, messages, bytes atomic.Int64
}

// usage is what the whole process has used.
type usage struct {
	at                           time.Time
	processor                    time.Duration
	connections, messages, bytes int64
}

func newCluster() *cluster {
	return &cluster{log: countingLog{Service: logservice.New(), inSecond: map[int64]int{}}}
}

func (c *cluster) start(ctx context.Context, count int) (err error) {
	for i := range count {
		n, err := c.startNode(ctx, i)
		if err != nil {
			return fmt.Errorf("node %d can't start: %w", i, err)
		}
		c.nodes = append(c.nodes, n)
		// A few starts per millisecond keep the process within its files.
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
		// Two runs at once must not use the same IDs: a port that one has closed
		// may be opened by the other, and their nodes would take each other for
		// earlier incarnations.
		Node: fmt.Sprintf("o%05d-%04d", os.Getpid()%100_000, i), Incarnation: rand.Uint64(), Started: time.Now(),
		Peer: address, Caller: "10.120.130.140:7000", Operator: "10.120.130.140:7003",
		Region: region, Zone: fmt.Sprintf("%s-%d", region, zone),
	}
	ctx, cancel := context.WithCancel(ctx)
	n = &node{id: self.Node, number: i, zone: zone, stop: cancel}
	// The same transport as by default, except for the link between regions.
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: c.dialer(region)}
	n.gossip = membership.New(self, membership.WithSeeds(c.seeds...), membership.WithJournal(&c.log), membership.WithTransport(tr))
	n.server = &http.Server{Handler: c.counted(n.gossip.Handler())}
	n.ended.Go(func() { _ = n.server.Serve(countingListener{listener, &c.count}) })
	n.ended.Go(func() { _ = n.gossip.Run(ctx) })
	n.gossip.Announce(membership.Backend{Service: fmt.Sprintf("service-%d", i%39), Slots: 50})
	return n, nil
}

// dialer connects to other nodes unless the link to them is cut.
func (c *cluster) dialer(region string) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if other, ok := c.regions.Load(address); ok && other != region && c.apart.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return d.DialContext(ctx, network, address)
	}
}

// counted counts the messages of a handler. Each request has one answer.
func (c *cluster) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.count.messages.Add(2)
		handler.ServeHTTP(w, r)
	})
}

// kill ends a node without a word.
func (n *node) kill() {
	n.stop()
	_ = n.server.Close()
	n.ended.Wait()
}

func (c *cluster) stop() { killAll(c.nodes) }

func killAll(nodes []*node) {
	var ended sync.WaitGroup
	for _, n := range nodes {
		ended.Go(n.kill)
	}
	ended.Wait()
}

// await waits until all nodes fulfil the condition and returns how long that
// took for half of them and for the last.
func (c *cluster) await(ctx context.Context, condition func(n *node) bool) (half, last time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Minute)
	defer cancel()
	began := time.Now()
	for ctx.Err() == nil {
		done := 0
		for _, n := range c.nodes {
			if condition(n) {
				done++
			}
		}
		if half == 0 && 2*done >= len(c.nodes) {
			half = time.Since(began)
		}
		if done == len(c.nodes) {
			return half, time.Since(began)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return half, time.Since(began)
}

func (c *cluster) usage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{
		at:          time.Now(),
		processor:   time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		connections: c.count.connections.Load(),
		messages:    c.count.messages.Load(),
		bytes:       c.count.bytes.Load(),
	}
}

// memory returns the bytes of heap and stacks in use.
func memory() (bytes float64) {
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
	mu       sync.Mutex
	inSecond map[int64]int
}

func (l *countingLog) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	l.mu.Lock()
	l.inSecond[time.Now().Unix()]++
	l.mu.Unlock()
	return l.Service.Append(ctx, stream, data)
}

// reset forgets the counts and returns the appends and the most in one second.
func (l *countingLog) reset() (appends, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, count := range l.inSecond {
		appends += count
		most = max(most, count)
	}
	l.inSecond = map[int64]int{}
	return appends, most
}
