package mesh

import (
	"cmp"
	"slices"
)

// otherPeers returns all nodes except this one.
func (b *balancer) otherPeers() (peers []*peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for node, p := range b.peers {
		if node != b.settings.Node {
			peers = append(peers, p)
		}
	}
	return peers
}

// recordKeepers returns a number of nodes that keep the record of this node while the log
// can't be written, the most preferred ones first. Each process of this node selects the
// same ones, unless the reachable nodes have changed.
func (b *balancer) recordKeepers(number int) (peers []*peer) {
	peers = b.reachablePeers("")
	slices.SortFunc(peers, func(x, y *peer) int {
		return cmp.Compare(hashOf(b.settings.Node+"/"+x.node), hashOf(b.settings.Node+"/"+y.node))
	})
	return peers[:min(number, len(peers))]
}

// reachablePeers returns the reachable nodes of a service, or of all services if it is "",
// except this one.
func (b *balancer) reachablePeers(service string) (peers []*peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for node, p := range b.peers {
		if node != b.settings.Node && !p.unreachable && (service == "" || p.member.Service == service) {
			peers = append(peers, p)
		}
	}
	return peers
}

// reachableInZone returns the reachable nodes of this zone, including this one.
func (b *balancer) reachableInZone() (peers []*peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.findReachableInZone()
}

// findReachableInZone is reachableInZone with the mutex held.
func (b *balancer) findReachableInZone() (peers []*peer) {
	for _, p := range b.inZone {
		if !p.unreachable {
			peers = append(peers, p)
		}
	}
	return peers
}

// zoneWatchers returns the watchers of this zone, which may include this node. They are
// selected again only after a change of a node. The caller must not change them.
func (b *balancer) zoneWatchers() (watchers []*peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.watchersRevision == b.revision {
		return b.watchers
	}
	b.watchers, b.watchersRevision = firstInOrder(b.findReachableInZone(), watchersPerZone), b.revision
	return b.watchers
}

// firstReachable returns the reachable nodes, including this one, that come first in the
// order of watchers.
func (b *balancer) firstReachable(number int) (peers []*peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if !p.unreachable {
			peers = append(peers, p)
		}
	}
	return firstInOrder(peers, number)
}

// firstInOrder returns the number of nodes that come first in the order of watchers. It
// reorders the given ones.
func firstInOrder(peers []*peer, number int) []*peer {
	slices.SortFunc(peers, func(x, y *peer) int { return cmp.Compare(x.watcherOrder, y.watcherOrder) })
	return peers[:min(number, len(peers))]
}

// otherWatchers returns the watchers of all zones, except this node. The reachable nodes of a
// zone with the lowest watcherOrder are its watchers.
func (b *balancer) otherWatchers() (watchers []*peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byZone := make(map[string][]*peer)
	for _, p := range b.peers {
		if !p.unreachable {
			byZone[p.member.Zone] = append(byZone[p.member.Zone], p)
		}
	}
	for _, peers := range byZone {
		for _, p := range firstInOrder(peers, watchersPerZone) {
			if p.node != b.settings.Node {
				watchers = append(watchers, p)
			}
		}
	}
	return watchers
}

// reachableByZone returns the number of reachable nodes of each zone.
func (b *balancer) reachableByZone() (nodes map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	nodes = make(map[string]int)
	for _, p := range b.peers {
		if !p.unreachable {
			nodes[p.member.Zone]++
		}
	}
	return nodes
}

// quotaNodes returns all known nodes, if they or their reachability may have changed since the
// revision seen.
func (b *balancer) quotaNodes(seen uint64) (nodes map[string]quotaNode, revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.revision == seen {
		return nil, seen
	}
	nodes = make(map[string]quotaNode, len(b.peers))
	for node, p := range b.peers {
		nodes[node] = quotaNode{p.address, p.region, b.distance(p), !p.unreachable}
	}
	return nodes, b.revision
}

// distance returns the distance of a node from this one. The mutex must be held.
func (b *balancer) distance(p *peer) int {
	switch {
	case p.node == b.settings.Node:
		return ownNode
	case p.member.Zone == b.settings.Zone:
		return ownZone
	case p.region == b.settings.Region:
		return ownRegion
	default:
		return otherRegion
	}
}

// countServices returns the number of services that have nodes.
func (b *balancer) countServices() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.services)
}

// countPeers returns the numbers of reachable and unreachable nodes.
func (b *balancer) countPeers() (reachable, unreachable int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.unreachable {
			unreachable++
		}
	}
	return len(b.peers) - unreachable, unreachable
}

// peerByIP returns the node with the IP in its address.
func (b *balancer) peerByIP(ip string) (p *peer, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok = b.byIP[ip]
	return p, ok
}
