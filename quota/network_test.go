package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingslip/lacewingslip/quota"
)

const (
	workspace    = "calculators"
	lossTimeout  = 400 * time.Millisecond
	seedOfNodes  = 7
	clockOffset  = 1000 * time.Hour
	sameZone     = time.Millisecond
	otherZone    = 3 * time.Millisecond
	otherRegion  = 20 * time.Millisecond
	nodesPerZone = 12
)

var start = time.Unix(1e9, 0)

// network passes messages between nodes in virtual time. Each node has its own clock.
type network struct {
	random *rand.Rand
	terms  quota.Terms
	now    time.Time
	events eventQueue
	// sequence orders events of the same time.
	sequence int
	nodes    []*testNode
	names    []string
	// indexOf has the indexes of the nodes by name.
	indexOf map[string]int
	lossPct int
	// admitted has the times at which requests were admitted, and granted those at which tokens
	// were granted, in order.
	admitted, granted []time.Time
	// offered has the times at which requests were sent, in order.
	offered []time.Time
	// messages is the number of asks, remote that of those to other nodes, and crossRegion that
	// of those to other regions.
	messages, remote, crossRegion int
	// waited has the times that admitted requests have waited for credit.
	waited []time.Duration
	// regions is the number of regions with two zones each, over which the nodes are spread in
	// turn. If it is 0, the nodes have no regions, and zones of nodesPerZone nodes.
	regions int
	// workspace is the one that the requests belong to.
	workspace string
}

// testNode is a node. Requests and messages that arrive while it is suspended wait.
type testNode struct {
	name      string
	index     int
	offset    time.Duration
	accounts  *quota.Accounts
	requester *quota.Requester
	side      int
	epoch     int
	suspended time.Time
	// cap is the one in the desired state that is in force at the node.
	cap     quota.Cap
	version int
}

type testEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []testEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(testEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newNetwork(nodes int, c quota.Cap, seed uint64) *network {
	return newNetworkWithTerms(nodes, c, seed, quota.NewTerms(window, 0.1, 0))
}

func newNetworkWithTerms(nodes int, c quota.Cap, seed uint64, terms quota.Terms) *network {
	return newNetworkInRegions(nodes, 0, c, seed, terms)
}

func newNetworkInRegions(nodes, regions int, c quota.Cap, seed uint64, terms quota.Terms) *network {
	n := &network{random: rand.New(rand.NewPCG(seed, seedOfNodes)), terms: terms, now: start, regions: regions, workspace: workspace, indexOf: make(map[string]int)}
	for i := range nodes {
		n.names = append(n.names, fmt.Sprintf("node-%d", i))
	}
	for i, name := range n.names {
		n.indexOf[name] = i
		node := &testNode{name: name, index: i, cap: c, offset: time.Duration(n.random.Int64N(int64(clockOffset)))}
		n.nodes = append(n.nodes, node)
		n.startProcess(node)
	}
	return n
}

// startProcess starts a process on a node that the others know.
func (n *network) startProcess(node *testNode) {
	node.epoch++
	node.accounts, node.requester = quota.NewAccounts(node.name, n.terms), quota.NewRequester(n.terms, n.random.Float64)
	node.accounts.Restore(node.clock(n), n.nodeSet())
	node.requester.SetNodes(n.nodeSet())
}

// join adds a node that the others do not know. Each of them learns of it within the time.
func (n *network) join(within time.Duration) {
	name := fmt.Sprintf("node-%d", len(n.names))
	n.names = append(n.names, name)
	node := &testNode{name: name, index: len(n.nodes), cap: n.nodes[0].cap, accounts: quota.NewAccounts(name, n.terms), requester: quota.NewRequester(n.terms, n.random.Float64)}
	n.nodes = append(n.nodes, node)
	n.indexOf[name] = node.index
	nodes := n.nodeSet()
	for _, other := range n.nodes {
		delay := time.Duration(n.random.Int64N(int64(within)))
		if other == node {
			delay = 0
		}
		n.at(other, delay, func() {
			other.accounts.SetNodes(other.clock(n), nodes)
			other.requester.SetNodes(nodes)
		})
	}
	n.run(within)
}

// publish puts a version with a cap into force at each node within the time.
func (n *network) publish(version int, c quota.Cap, within time.Duration) {
	for _, node := range n.nodes {
		n.at(node, time.Duration(n.random.Int64N(int64(within))), func() {
			if version > node.version {
				node.version, node.cap = version, c
			}
		})
	}
}

// nodeSet returns the set of all nodes.
func (n *network) nodeSet() quota.Nodes {
	regionOf := make(map[string]string, len(n.names))
	for i, name := range n.names {
		regionOf[name] = ""
		if n.regions > 0 {
			regionOf[name] = fmt.Sprintf("region-%d", i%n.regions)
		}
	}
	return quota.NewNodesInRegions(regionOf)
}

// kill ends the process of a node, which is started again after the time.
func (n *network) kill(node *testNode, down time.Duration) {
	node.epoch++
	node.suspended = n.now.Add(down)
	n.after(down, func() { n.startProcess(node) })
}

func (node *testNode) clock(n *network) time.Time { return n.now.Add(node.offset) }

// after runs a function after a time.
func (n *network) after(d time.Duration, run func()) {
	n.sequence++
	heap.Push(&n.events, testEvent{n.now.Add(d), n.sequence, run})
}

// at runs a function on a node, unless its process has ended by then.
func (n *network) at(node *testNode, d time.Duration, run func()) {
	epoch := node.epoch
	n.after(d, func() {
		if pause := node.suspended.Sub(n.now); pause > 0 && node.epoch == epoch {
			n.at(node, pause, run)
		} else if node.epoch == epoch {
			run()
		}
	})
}

// run runs events for a time.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events) > 0 && n.events[0].at.Before(end) {
		e := heap.Pop(&n.events).(testEvent)
		n.now = e.at
		e.run()
	}
	n.now = end
}

func (n *network) delay(a, b *testNode) time.Duration {
	if n.regions > 0 {
		switch zones := 2 * n.regions; {
		case a.index%n.regions != b.index%n.regions:
			return otherRegion
		case a.index%zones != b.index%zones:
			return otherZone
		default:
			return sameZone
		}
	}
	if a.index/nodesPerZone == b.index/nodesPerZone {
		return sameZone
	}
	return otherRegion
}

func (n *network) distance(from *testNode) quota.Distance {
	return func(node string) (int, bool) {
		index := n.indexOf[node]
		switch {
		case index == from.index:
			return 0, true
		case n.delay(from, n.nodes[index]) == sameZone:
			return 1, true
		case n.delay(from, n.nodes[index]) == otherZone:
			return 2, true
		default:
			return 3, true
		}
	}
}

// offer sends requests to a node at a rate for a time, at random intervals.
func (n *network) offer(node *testNode, rate float64, d time.Duration) {
	pause := time.Duration(n.random.ExpFloat64() / rate * float64(time.Second))
	if pause > d || rate <= 0 {
		return
	}
	n.after(pause, func() {
		n.at(node, 0, func() { n.request(node) })
		n.offer(node, rate, d-pause)
	})
}

func (n *network) request(node *testNode) {
	n.offered = append(n.offered, n.now)
	sent := n.now
	decided := false
	r := node.requester.Arrive(node.clock(n), n.workspace, node.cap, func(v quota.Verdict) {
		if decided = true; v.Admitted {
			n.admitted = append(n.admitted, n.now)
			n.waited = append(n.waited, n.now.Sub(sent))
		}
	})
	var check func()
	check = func() {
		if n.serve(node); !decided {
			n.at(node, node.requester.NextCheck(node.clock(n), r), check)
		}
	}
	check()
}

func (n *network) serve(node *testNode) {
	for _, ask := range node.requester.Serve(node.clock(n), n.workspace, n.distance(node)) {
		n.ask(node, ask)
	}
}

func (n *network) ask(from *testNode, ask quota.Ask) {
	n.messages++
	sent := from.clock(n)
	to := n.nodes[n.indexOf[ask.Node]]
	answered := false
	d := n.delay(from, to)
	if from == to {
		d = 0
	} else {
		n.remote++
		if d == otherRegion {
			n.crossRegion++
		}
	}
	pass := func(receiver *testNode, run func()) {
		if from.side == to.side && n.random.IntN(100) >= n.lossPct {
			n.at(receiver, d, run)
		}
	}
	pass(to, func() {
		g := to.accounts.Grant(to.clock(n), n.workspace, to.cap, ask.Tokens)
		n.granted = append(n.granted, slices.Repeat([]time.Time{n.now}, g.Tokens)...)
		pass(from, func() {
			if answered {
				return
			}
			answered = true
			from.requester.Answer(sent, from.clock(n), n.workspace, ask, g)
			n.serve(from)
		})
	})
	n.at(from, lossTimeout, func() {
		if !answered {
			answered = true
			from.requester.Fail(from.clock(n), n.workspace, ask)
			n.serve(from)
		}
	})
}

// owed returns how many of the offered requests one token bucket with the cap admits, which is
// full at first.
func (n *network) owed(c quota.Cap) (owed int) {
	burst := max(c.Burst, 1)
	level := burst
	for i, at := range n.offered {
		level = min(level+c.Rate*at.Sub(n.offered[max(i-1, 0)]).Seconds(), burst)
		if level >= 1 {
			level--
			owed++
		}
	}
	return owed
}

// most returns the highest number of the times, which are in order, in any window.
func most(times []time.Time, window time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
