package main

import (
	"context"
	"fmt"
	"time"
)

// faultCost is the cost of a fault until the membership of all nodes reflects it.
type faultCost struct {
	fault       string
	affected    int
	half, last  time.Duration
	used        cost
	peak        float64 // bytes per second and node, in the second with the most traffic
	elapsed     time.Duration
	quietAfter  time.Duration // until traffic is back to twice the idle rate
	appends     int
	peakAppends int
}

func measureFaults(ctx context.Context, sizes []int, partition time.Duration) (err error) {
	fmt.Println("| nodes | fault | nodes affected | agreed, half s | agreed, last s | messages per node until then | KB per node until then | core % | peak B/s per node | quiet after s | log appends | appends in busiest s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, size := range sizes {
		if err := measureFaultsAt(ctx, size, partition); err != nil {
			return err
		}
	}
	return nil
}

func measureFaultsAt(ctx context.Context, size int, partition time.Duration) (err error) {
	c := newCluster()
	defer c.stop()
	if err := c.start(ctx, size); err != nil {
		return err
	}
	c.awaitAll(ctx, c.hasFullView)
	c.awaitQuiet(ctx)

	rack := c.removeNodes(func(n *node, taken int) bool { return n.zone == 1 && taken < max(1, size/55) })
	c.measureFault(ctx, "rack fails", len(rack), func() { killAll(rack) }, func(n *node) bool { return avoidsAll(n, rack) })
	c.measureFault(ctx, "rack restarts", len(rack), func() { err = c.restartNodes(ctx, rack) }, c.hasFullView)
	zone := c.removeNodes(func(n *node, _ int) bool { return n.zone == 0 })
	c.measureFault(ctx, "zone fails", len(zone), func() { killAll(zone) }, func(n *node) bool { return avoidsAll(n, zone) })
	c.measureFault(ctx, "zone restarts", len(zone), func() { err = c.restartNodes(ctx, zone) }, c.hasFullView)
	south := c.southNodes()
	start := time.Now()
	c.measureFault(ctx, "regions apart", len(south), func() { c.partitioned.Store(true) }, func(n *node) bool { return n.zone >= 3 || avoidsAll(n, south) })
	sleep(ctx, partition-time.Since(start))
	c.measureFault(ctx, "regions together", len(south), func() { c.partitioned.Store(false) }, c.hasFullView)
	return err
}

// measureFault injects a fault and prints its cost until all nodes fulfil the
// condition.
func (c *cluster) measureFault(ctx context.Context, fault string, affected int, run func(), agreed func(n *node) bool) {
	c.log.reset()
	s := faultCost{fault: fault, affected: affected}
	done := make(chan float64, 1)
	sampled, stop := context.WithCancel(ctx)
	go func() { done <- c.samplePeak(sampled) }()
	start := time.Now()
	s.used = c.measureUsage(func() {
		run()
		s.half, s.last = c.awaitAll(ctx, agreed)
		s.elapsed = time.Since(start)
	})
	c.awaitQuiet(ctx)
	s.quietAfter = time.Since(start)
	stop()
	s.peak = <-done
	s.appends, s.peakAppends = c.log.reset()
	seconds := s.elapsed.Seconds()
	fmt.Printf("| %d | %s | %d | %.1f | %.1f | %.0f | %.0f | %.2f | %.0f | %.0f | %d | %d |\n", len(c.nodes), s.fault, s.affected,
		s.half.Seconds(), s.last.Seconds(), s.used.messages*seconds, s.used.bytes*seconds/1e3, 100*s.used.cpuShare, s.peak,
		s.quietAfter.Seconds(), s.appends, s.peakAppends)
}

// samplePeak returns the highest traffic per node within one second, in bytes.
func (c *cluster) samplePeak(ctx context.Context) (peak float64) {
	for ctx.Err() == nil {
		used := c.measureUsage(func() { sleep(ctx, time.Second) })
		if ctx.Err() == nil {
			peak = max(peak, used.bytes)
		}
	}
	return peak
}

// awaitQuiet waits until the traffic per node has fallen below twice the idle rate,
// for at most 3 min.
func (c *cluster) awaitQuiet(ctx context.Context) {
	// Twice the idle rate of a node.
	const quietBytesPerSecond = 2500
	for deadline := time.Now().Add(3 * time.Minute); time.Now().Before(deadline) && ctx.Err() == nil; {
		if c.measureUsage(func() { sleep(ctx, 2*time.Second) }).bytes < quietBytesPerSecond {
			return
		}
	}
}

// removeNodes removes the chosen nodes from the cluster without stopping them.
func (c *cluster) removeNodes(chosen func(n *node, removed int) bool) (removed []*node) {
	var remaining []*node
	for _, n := range c.nodes {
		if chosen(n, len(removed)) {
			removed = append(removed, n)
		} else {
			remaining = append(remaining, n)
		}
	}
	c.nodes = remaining
	return removed
}

func (c *cluster) southNodes() (nodes []*node) {
	for _, n := range c.nodes {
		if n.zone >= 3 {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// restartNodes starts nodes again with their IDs, at new addresses.
func (c *cluster) restartNodes(ctx context.Context, nodes []*node) (err error) {
	for _, n := range nodes {
		restarted, err := c.startNode(ctx, n.number)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, restarted)
	}
	return nil
}

// avoidsAll reports whether the node routes to none of the others.
func avoidsAll(n *node, others []*node) bool {
	for _, other := range others {
		if m, ok := n.gossip.Member(other.id); ok && m.Health.Routable() {
			return false
		}
	}
	return true
}
