package main

import (
	"context"
	"fmt"
	"time"
)

// spread is what a fault costs until all nodes agree on it.
type spread struct {
	fault      string
	affected   int
	half, last time.Duration
	used       cost
	peak       float64 // bytes per second and node, in the busiest second
	elapsed    time.Duration
	settled    time.Duration // until traffic is back to twice the idle rate
	appends    int
	mostPerSec int
}

func measureFaults(ctx context.Context, sizes []int, apart time.Duration) (err error) {
	fmt.Println("| nodes | fault | nodes affected | agreed, half s | agreed, last s | messages per node until then | KB per node until then | core % | peak B/s per node | quiet after s | log appends | appends in busiest s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, size := range sizes {
		if err := faultsOf(ctx, size, apart); err != nil {
			return err
		}
	}
	return nil
}

func faultsOf(ctx context.Context, size int, apart time.Duration) (err error) {
	c := newCluster()
	defer c.stop()
	if err := c.start(ctx, size); err != nil {
		return err
	}
	c.await(ctx, c.knowsAll)
	c.quiet(ctx)

	rack := c.take(func(n *node, taken int) bool { return n.zone == 1 && taken < max(1, size/55) })
	c.report(ctx, "rack fails", len(rack), func() { killAll(rack) }, func(n *node) bool { return hides(n, rack) })
	c.report(ctx, "rack restarts", len(rack), func() { err = c.restart(ctx, rack) }, c.knowsAll)
	zone := c.take(func(n *node, _ int) bool { return n.zone == 0 })
	c.report(ctx, "zone fails", len(zone), func() { killAll(zone) }, func(n *node) bool { return hides(n, zone) })
	c.report(ctx, "zone restarts", len(zone), func() { err = c.restart(ctx, zone) }, c.knowsAll)
	south := c.south()
	began := time.Now()
	c.report(ctx, "regions apart", len(south), func() { c.apart.Store(true) }, func(n *node) bool { return n.zone >= 3 || hides(n, south) })
	sleep(ctx, apart-time.Since(began))
	c.report(ctx, "regions together", len(south), func() { c.apart.Store(false) }, c.knowsAll)
	return err
}

// report runs a fault and prints what it costs.
func (c *cluster) report(ctx context.Context, fault string, affected int, run func(), agreed func(n *node) bool) {
	c.log.reset()
	s := spread{fault: fault, affected: affected}
	done := make(chan float64, 1)
	sampled, stop := context.WithCancel(ctx)
	go func() { done <- c.sample(sampled) }()
	began := time.Now()
	s.used = c.during(func() {
		run()
		s.half, s.last = c.await(ctx, agreed)
		s.elapsed = time.Since(began)
	})
	c.quiet(ctx)
	s.settled = time.Since(began)
	stop()
	s.peak = <-done
	s.appends, s.mostPerSec = c.log.reset()
	seconds := s.elapsed.Seconds()
	fmt.Printf("| %d | %s | %d | %.1f | %.1f | %.0f | %.0f | %.2f | %.0f | %.0f | %d | %d |\n", len(c.nodes), s.fault, s.affected,
		s.half.Seconds(), s.last.Seconds(), s.used.messages*seconds, s.used.bytes*seconds/1e3, 100*s.used.processor, s.peak,
		s.settled.Seconds(), s.appends, s.mostPerSec)
}

// sample returns the highest traffic per node within a second.
func (c *cluster) sample(ctx context.Context) (peak float64) {
	for ctx.Err() == nil {
		used := c.during(func() { sleep(ctx, time.Second) })
		if ctx.Err() == nil {
			peak = max(peak, used.bytes)
		}
	}
	return peak
}

// quiet waits until the nodes have little to tell each other.
func (c *cluster) quiet(ctx context.Context) {
	const quietBytesPerSecond = 2500
	for deadline := time.Now().Add(3 * time.Minute); time.Now().Before(deadline) && ctx.Err() == nil; {
		if c.during(func() { sleep(ctx, 2*time.Second) }).bytes < quietBytesPerSecond {
			return
		}
	}
}

// take removes the nodes that fulfil the condition from the cluster.
func (c *cluster) take(chosen func(n *node, taken int) bool) (taken []*node) {
	var left []*node
	for _, n := range c.nodes {
		if chosen(n, len(taken)) {
			taken = append(taken, n)
		} else {
			left = append(left, n)
		}
	}
	c.nodes = left
	return taken
}

func (c *cluster) south() (nodes []*node) {
	for _, n := range c.nodes {
		if n.zone >= 3 {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// restart starts nodes again under their IDs, at new addresses.
func (c *cluster) restart(ctx context.Context, nodes []*node) (err error) {
	for _, n := range nodes {
		fresh, err := c.startNode(ctx, n.number)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, fresh)
	}
	return nil
}

// hides says whether the node routes to none of the others.
func hides(n *node, others []*node) bool {
	for _, other := range others {
		if m, ok := n.gossip.Member(other.id); ok && m.Health.Routable() {
			return false
		}
	}
	return true
}
