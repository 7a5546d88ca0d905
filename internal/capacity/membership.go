package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/lacewingslip/lacewingslip/membership"
)

// cost is the mean resource use of one node in a period.
type cost struct {
	bytes, connections, messages float64 // per second, sent and received
	cpuShare                     float64 // share of a core
}

// result holds the measurements at one number of nodes.
type result struct {
	nodes                     int
	idle, changing            cost
	memory                    float64
	changeHalf, changeLast    time.Duration
	failureHalf, failureLast  time.Duration
	worstChange, worstFailure time.Duration
}

func measureMembership(ctx context.Context, sizes []int, period time.Duration, rounds int) (err error) {
	fmt.Println("| nodes | idle B/s | idle msg/s | idle core % | memory KB | B/s at 1 change/s | core % at 1 change/s | change, half s | change, last s | failure, half s | failure, last s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	var results []result
	for _, size := range sizes {
		r, err := measureSize(ctx, size, period, rounds)
		if err != nil {
			return err
		}
		results = append(results, r)
		fmt.Printf("| %d | %.0f | %.2f | %.3f | %.0f | %.0f | %.3f | %.1f | %.1f (worst %.1f) | %.1f | %.1f (worst %.1f) |\n", r.nodes,
			r.idle.bytes, r.idle.messages, 100*r.idle.cpuShare, r.memory/1e3,
			r.changing.bytes, 100*r.changing.cpuShare,
			r.changeHalf.Seconds(), r.changeLast.Seconds(), r.worstChange.Seconds(),
			r.failureHalf.Seconds(), r.failureLast.Seconds(), r.worstFailure.Seconds())
	}
	if len(results) > 1 {
		extrapolate(results[len(results)-2], results[len(results)-1])
	}
	return nil
}

// extrapolate prints estimates for the target size from the slope between two measured
// sizes. Times grow with the logarithm of the number of nodes, all other values
// linearly.
func extrapolate(a, b result) {
	linear := func(value func(r result) float64) float64 {
		return value(b) + (value(b)-value(a))/float64(b.nodes-a.nodes)*float64(targetNodes-b.nodes)
	}
	logarithmic := func(value func(r result) time.Duration) float64 {
		perDoubling := (value(b) - value(a)).Seconds() / math.Log2(float64(b.nodes)/float64(a.nodes))
		return value(b).Seconds() + perDoubling*math.Log2(targetNodes/float64(b.nodes))
	}
	fmt.Printf("| %d, extrapolated | %.0f | %.2f | %.3f | %.0f | %.0f | %.3f | %.1f | %.1f | %.1f | %.1f |\n", targetNodes,
		linear(func(r result) float64 { return r.idle.bytes }),
		linear(func(r result) float64 { return r.idle.messages }),
		linear(func(r result) float64 { return 100 * r.idle.cpuShare }),
		linear(func(r result) float64 { return r.memory / 1e3 }),
		linear(func(r result) float64 { return r.changing.bytes }),
		linear(func(r result) float64 { return 100 * r.changing.cpuShare }),
		logarithmic(func(r result) time.Duration { return r.changeHalf }),
		logarithmic(func(r result) time.Duration { return r.changeLast }),
		logarithmic(func(r result) time.Duration { return r.failureHalf }),
		logarithmic(func(r result) time.Duration { return r.failureLast }))
}

func measureSize(ctx context.Context, size int, period time.Duration, rounds int) (r result, err error) {
	before := memoryInUse()
	c := newCluster()
	defer c.stop()
	if err := c.start(ctx, size); err != nil {
		return r, err
	}
	c.awaitAll(ctx, c.hasFullView)
	// Wait until the nodes have stopped sending the records of the start, each of
	// which is sent a limited number of times.
	sleep(ctx, 30*time.Second)
	r.nodes = size
	r.idle = c.measureUsage(func() { sleep(ctx, period) })
	r.memory = (memoryInUse() - before) / float64(size)
	r.changing = c.measureUsage(func() { c.changeMembers(ctx, period) })
	sleep(ctx, 30*time.Second)
	for range rounds {
		half, last := c.timeChange(ctx)
		r.changeHalf += half / time.Duration(rounds)
		r.changeLast += last / time.Duration(rounds)
		r.worstChange = max(r.worstChange, last)
	}
	for range rounds {
		half, last := c.timeFailure(ctx)
		r.failureHalf += half / time.Duration(rounds)
		r.failureLast += last / time.Duration(rounds)
		r.worstFailure = max(r.worstFailure, last)
	}
	return r, ctx.Err()
}

// measureUsage returns the mean resource use of one node while the function runs. Each
// message is sent by one node and received by another, so the traffic of all nodes is
// twice what the servers count.
func (c *cluster) measureUsage(run func()) (used cost) {
	before := c.usage()
	run()
	after := c.usage()
	perNode := func(amount int64) float64 {
		return float64(amount) / after.time.Sub(before.time).Seconds() / float64(len(c.nodes))
	}
	return cost{
		bytes:       2 * perNode(after.bytes-before.bytes),
		connections: 2 * perNode(after.connections-before.connections),
		messages:    2 * perNode(after.messages-before.messages),
		cpuShare:    perNode(int64(after.cpuTime-before.cpuTime)) / 1e9,
	}
}

// changeMembers changes the membership record of a random node every second.
func (c *cluster) changeMembers(ctx context.Context, period time.Duration) {
	for range int(period / time.Second) {
		c.announce(c.nodes[rand.IntN(len(c.nodes))])
		sleep(ctx, time.Second)
	}
}

func (c *cluster) announce(n *node) (version uint64) {
	self := n.gossip.Self()
	n.gossip.Announce(membership.Backend{Service: self.Service(), Slots: self.Slots() + 1})
	return self.Version() + 1
}

func (c *cluster) timeChange(ctx context.Context) (half, last time.Duration) {
	changed := c.nodes[rand.IntN(len(c.nodes))]
	version := c.announce(changed)
	return c.awaitAll(ctx, func(n *node) bool {
		m, ok := n.gossip.Member(changed.id)
		return ok && m.Version() >= version
	})
}

func (c *cluster) timeFailure(ctx context.Context) (half, last time.Duration) {
	dead := c.nodes[len(c.nodes)-1]
	c.nodes = c.nodes[:len(c.nodes)-1]
	dead.kill()
	return c.awaitAll(ctx, func(n *node) bool {
		m, ok := n.gossip.Member(dead.id)
		return ok && !m.Health.Routable()
	})
}

func (c *cluster) hasFullView(n *node) bool {
	for _, other := range c.nodes {
		own := other.gossip.Self()
		m, ok := n.gossip.Member(other.id)
		if !ok || m.Service() == "" || m.Incarnation() != own.Incarnation() || !m.Health.Routable() {
			return false
		}
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
