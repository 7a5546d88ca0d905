package membership

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// network is a simulated network between nodes in one synctest bubble.
type network struct {
	t         *testing.T
	mu        sync.Mutex
	random    *rand.Rand
	nodes     map[string]*testNode // by address
	paused    map[string]chan struct{}
	dropped   func(from, to string) bool
	latency   func() time.Duration
	duplicate bool
	sent      int
	running   sync.WaitGroup
	options   []Option
}

type testNode struct {
	*Gossip
	stop context.CancelFunc
}

// transport is the HTTP transport of one node.
type transport struct {
	n    *network
	from string
}

func newNetwork(t *testing.T) *network {
	n := &network{t: t, random: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*testNode{}, paused: map[string]chan struct{}{}}
	n.dropped = func(string, string) bool { return false }
	n.latency = func() time.Duration { return time.Millisecond }
	return n
}

func (n *network) start(id, region string) *testNode { return n.startAt(id, region, time.Now()) }

func (n *network) startAt(id, region string, started time.Time) *testNode {
	address := id + ":1"
	n.mu.Lock()
	incarnation := n.random.Uint64()
	n.mu.Unlock()
	self := Self{Node: id, Incarnation: incarnation, Started: started, Peer: address, Region: region, Zone: region + "-a"}
	opts := append([]Option{WithSeeds("a0:1", "b0:1"), WithTransport(transport{n, address})}, n.options...)
	ctx, cancel := context.WithCancel(n.t.Context())
	node := &testNode{New(self, opts...), cancel}
	n.mu.Lock()
	n.nodes[address] = node
	n.mu.Unlock()
	n.running.Go(func() { must.NoError(n.t, node.Run(ctx)) })
	n.t.Cleanup(func() { cancel(); n.running.Wait() })
	return node
}

// startAll starts count nodes in each region and waits until their tables agree.
func (n *network) startAll(count int, regions ...string) (nodes []*testNode) {
	for _, region := range regions {
		for i := range count {
			nodes = append(nodes, n.start(fmt.Sprintf("%s%d", region, i), region))
		}
	}
	time.Sleep(20 * time.Second)
	n.requireAgreement(nodes, len(nodes), Alive)
	return nodes
}

// kill stops a node without announcing the shutdown.
func (n *network) kill(node *testNode) {
	node.stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, node.self.Peer)
}

// pause stops a node from sending and answering until the returned function is
// called.
func (n *network) pause(node *testNode) (resume func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	gate := make(chan struct{})
	n.paused[node.self.Peer] = gate
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.paused, node.self.Peer)
		close(gate)
	}
}

// requireAgreement checks that all nodes have the same table, with count members
// of health h.
func (n *network) requireAgreement(nodes []*testNode, count int, h Health) {
	n.t.Helper()
	for _, node := range nodes {
		must.Eq(n.t, count, node.count(h), must.Sprintf("%s knows %v", node.self.Node, node.Members()))
		must.Eq(n.t, nodes[0].table.buckets, node.table.buckets, must.Sprintf("digest of %s", node.self.Node))
	}
}

func (n *testNode) count(h Health) (count int) {
	for _, m := range n.Members() {
		if m.Health == h {
			count++
		}
	}
	return count
}

func (n *network) setDropped(lost func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped = lost
}

func (n *network) waitWhilePaused(address string) {
	n.mu.Lock()
	gate := n.paused[address]
	n.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

func (tr transport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	n, to := tr.n, r.URL.Host
	n.waitWhilePaused(tr.from)
	n.mu.Lock()
	node, delay := n.nodes[to], n.latency()
	lost := n.dropped(tr.from, to)
	gate := n.paused[to]
	n.sent++
	n.mu.Unlock()
	if lost || gate != nil {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if node == nil {
		return nil, errors.New("connection refused")
	}
	body, err := io.ReadAll(r.Body)
	must.NoError(n.t, err)
	answer := httptest.NewRecorder()
	time.Sleep(delay)
	for range 1 + map[bool]int{true: 1}[n.duplicate] {
		answer = httptest.NewRecorder()
		copied := r.Clone(r.Context())
		copied.Body = io.NopCloser(bytes.NewReader(body))
		node.Handler().ServeHTTP(answer, copied)
	}
	time.Sleep(delay)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return answer.Result(), nil
}

// runInBubble runs a test in a synctest bubble, on fake time.
func runInBubble(t *testing.T, test func(t *testing.T, n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newNetwork(t)) })
}
