package mesh

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/routing"
	"github.com/lacewingslip/lacewingslip/site"
)

const (
	// peerIdle is how long a connection to another node is kept without use.
	peerIdle = 20 * time.Second
	// A node that can't be reached is asked again after probeFirst, and then
	// after twice the time up to probeLast.
	probeFirst = 150 * time.Millisecond
	probeLast  = 1500 * time.Millisecond
	// probeFleet is the number of nodes from which on each of them asks less
	// often, so that a node that is away is not asked more often in a large
	// deployment.
	probeFleet = 50
	// allRemote lets requests go to other regions whenever the own one is full.
	allRemote = 1.0
)

// balancer chooses the node that a request is sent to, and keeps the
// connections to it.
type balancer struct {
	place  site.Site
	events recorder

	mu    sync.Mutex
	table *routing.Table
	peers map[string]*peer
	byIP  map[string]*peer
	// serviceCount is the number of services that have nodes.
	serviceCount int
}

// peer is another node, or this one.
type peer struct {
	// node, address, region and order never change.
	node, address, region string
	// order is the node's place in the choice of watchers.
	order uint64
	pool  *hop.Pool
	// member and what follows are guarded by the balancer's lock.
	member fleet.Member
	// lost is true while the node can't be reached.
	lost bool
	// probeAt and pause say when it is asked again.
	probeAt time.Time
	pause   time.Duration
	// refusedEpoch is the record with which the node said that its backend
	// server is leaving. It gets requests again with a newer record.
	refusedEpoch int64
}

func newBalancer(place site.Site, events recorder) *balancer {
	return &balancer{
		place: place, events: events, peers: make(map[string]*peer),
		table: routing.New(place.Region, place.Zone, routing.WithRemoteShare(allRemote)),
	}
}

// replace takes over the records of the nodes.
func (b *balancer) replace(members []fleet.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Node] = true
		p := b.peers[m.Node]
		if p == nil || p.address != m.Address || p.region != m.Region {
			if p != nil {
				p.pool.Close()
			}
			p = &peer{node: m.Node, address: m.Address, region: m.Region, order: orderOf(m.Node), pool: hop.New(m.Address, hop.WithMaxIdle(peerIdle))}
			b.peers[m.Node] = p
		}
		p.member = m
	}
	for node, p := range b.peers {
		if !known[node] {
			p.pool.Close()
			delete(b.peers, node)
		}
	}
	b.byIP = make(map[string]*peer, len(b.peers))
	for _, p := range b.peers {
		if ip, _, err := net.SplitHostPort(p.address); err == nil {
			b.byIP[ip] = p
		}
	}
	b.publish()
}

// publish gives the nodes that take work to the routing table.
func (b *balancer) publish() {
	byService := make(map[string][]routing.Upstream)
	for _, p := range b.peers {
		m := p.member
		if _, ok := byService[m.Service]; !ok {
			byService[m.Service] = nil
		}
		if p.lost || !m.TakesWork || p.refusedEpoch >= m.Epoch {
			continue
		}
		byService[m.Service] = append(byService[m.Service], routing.Upstream{
			Node: m.Node, Address: m.Address, Region: m.Region, Zone: m.Zone, Slots: usable(m.Slots),
		})
	}
	b.serviceCount = len(byService)
	now := time.Now()
	for service, upstreams := range byService {
		b.table.Replace(now, service, upstreams)
	}
}

// choose returns a node of the region, or of any if it is empty.
func (b *balancer) choose(r *request, tried []string, region string) (p *peer, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	u, ok := b.table.Choose(now, routing.Query{
		Service: r.service, Importance: importanceOf(r.priority), Tried: tried, Cost: int64(len(r.body)), Region: region,
	})
	if !ok {
		return nil, false
	}
	b.table.Sent(now, r.service, u.Node, int64(len(r.body)))
	return b.peers[u.Node], true
}

// done takes in how an attempt ended.
func (b *balancer) done(r *request, node string, end *reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := routing.Report{
		HasLoad: end.report.known, Bytes: int64(len(end.body)),
		Load: admission.Load{Running: end.report.Running, Limit: end.report.Limit, Queued: end.report.Waiting},
	}
	switch {
	case end.outcome == call.Answered, end.reason == call.ReasonCanceled, end.reason == call.ReasonDeadline:
		report.End = routing.Succeeded
	case end.reason == call.ReasonUnreachable:
		report.End = routing.Unreachable
	case end.outcome == call.NotRun && end.reason == call.ReasonOverloaded:
		// The stated load says it all.
		report.End = routing.Succeeded
	case end.outcome == call.NotRun:
		report.End = routing.Refused
	default:
		report.End = routing.Failed
	}
	b.table.Done(time.Now(), r.service, node, int64(len(r.body)), report)
}

// refuses takes in that the backend server of a node is leaving.
func (b *balancer) refuses(p *peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.refusedEpoch >= p.member.Epoch {
		return
	}
	p.refusedEpoch = p.member.Epoch
	b.publish()
	b.events.Record(event.PeerRefuses, attrPeer(p.node), attrService(p.member.Service),
		slog.Int64("epoch", p.member.Epoch))
}

// lose takes in that a node can't be reached.
func (b *balancer) lose(p *peer, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.lost || b.peers[p.node] != p {
		return
	}
	p.lost, p.pause = true, b.probePause(probeFirst)
	p.probeAt = time.Now().Add(p.pause)
	b.publish()
	b.events.Record(event.PeerLost, attrPeer(p.node), slog.Int64("epoch", p.member.Epoch), attrDetail(detail))
}

// regain takes in that a node answers.
func (b *balancer) regain(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[node]
	if p == nil || !p.lost {
		return
	}
	p.lost = false
	b.publish()
	b.events.Record(event.PeerBack, attrPeer(node), slog.Int64("epoch", p.member.Epoch))
}

// due returns the nodes that are to be asked whether they are back.
func (b *balancer) due(now time.Time) (peers []*peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.lost && now.After(p.probeAt) {
			p.pause = min(2*p.pause, b.probePause(probeLast))
			p.probeAt = now.Add(p.pause)
			peers = append(peers, p)
		}
	}
	return peers
}

func (b *balancer) probePause(base time.Duration) time.Duration {
	return base * time.Duration(1+len(b.peers)/probeFleet)
}

// others returns the nodes other than this one.
func (b *balancer) others() (peers []*peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for node, p := range b.peers {
		if node != b.place.Node {
			peers = append(peers, p)
		}
	}
	return peers
}

// zone returns the nodes of this zone that can be reached, this one among them.
func (b *balancer) zone() (peers []*peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.member.Zone == b.place.Zone && !p.lost {
			peers = append(peers, p)
		}
	}
	return peers
}

// services returns the number of services that have nodes.
func (b *balancer) services() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceCount
}

// counts returns the numbers of nodes that can be reached and that can't.
func (b *balancer) counts() (reachable, lost int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.lost {
			lost++
		}
	}
	return len(b.peers) - lost, lost
}

// at returns the node whose address has the IP.
func (b *balancer) at(ip string) (p *peer, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok = b.byIP[ip]
	return p, ok
}

// tick does the time-driven work.
func (b *balancer) tick(now time.Time) {
	b.mu.Lock()
	b.table.Tick(now)
	pools := make([]*hop.Pool, 0, len(b.peers))
	for _, p := range b.peers {
		pools = append(pools, p.pool)
	}
	b.mu.Unlock()
	for _, pool := range pools {
		pool.Sweep(now)
	}
}

// send sends a request to another node.
func (b *balancer) send(ctx context.Context, p *peer, r *request, version int64) (end *reply, peerVersion int64) {
	out := r.outgoing(func(h http.Header) { writeRequest(h, r, version) })
	answer, err := p.pool.Do(ctx, out, func(_ int, h http.Header) bool { return answersTo(h, r.id) })
	if err != nil {
		return lost(ctx, err), 0
	}
	return readPeerReply(answer, p.node)
}
