package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/membership"
	"github.com/lacewingslip/lacewingslip/routing"
)

// routeTable makes the routing table safe for concurrent use and updates it from
// membership.
type routeTable struct {
	mu       sync.Mutex
	table    *routing.Table
	services map[string]bool
	// upstreams is the number of upstreams in the table.
	upstreams int
}

func newRouteTable(table *routing.Table) *routeTable {
	return &routeTable{table: table, services: make(map[string]bool)}
}

func routingQuery(service string, importance call.Importance) routing.Query {
	return routing.Query{Service: service, Importance: importance, Cost: 1}
}

func (r *routeTable) choose(query routing.Query) (upstream routing.Upstream, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Choose(time.Now(), query)
}

func (r *routeTable) recordSent(service, node string, cost int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordSent(time.Now(), service, node, cost)
}

func (r *routeTable) recordResult(service, node string, cost int64, report routing.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordResult(time.Now(), service, node, cost, report)
}

func (r *routeTable) isShedding(service string, importance call.Importance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.IsShedding(time.Now(), service, importance)
}

func (r *routeTable) startShedding(service string, importance call.Importance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.StartShedding(time.Now(), service, importance)
}

func (r *routeTable) upstreamCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upstreams
}

func (r *routeTable) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Tick(now)
}

// replace replaces the upstreams by the members that can receive calls.
func (r *routeTable) replace(members []membership.Member) {
	upstreams := make(map[string][]routing.Upstream)
	for _, m := range members {
		if m.State() != membership.Ready || !m.Health.Routable() {
			continue
		}
		upstreams[m.Service()] = append(upstreams[m.Service()], routing.Upstream{
			Node: m.Node(), Address: m.Peer(), Region: m.Region(), Zone: m.Zone(), Slots: m.Slots(),
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstreams = 0
	for service := range r.services {
		if _, ok := upstreams[service]; !ok {
			r.table.Replace(time.Now(), service, nil)
			delete(r.services, service)
		}
	}
	for service, list := range upstreams {
		r.services[service] = true
		r.upstreams += len(list)
		r.table.Replace(time.Now(), service, list)
	}
}

// memberSnapshot is the last known list of members, for components that are built
// before membership.
type memberSnapshot struct {
	members atomic.Pointer[[]membership.Member]
	// changed is true if the membership table has changed since it was last read.
	changed atomic.Bool
	seeds   []string
}

func newMemberSnapshot(config Config) *memberSnapshot {
	s := &memberSnapshot{seeds: config.seeds}
	s.changed.Store(true)
	return s
}

func (s *memberSnapshot) replace(members []membership.Member) { s.members.Store(&members) }

// nodeCount returns the number of known nodes, at least 1.
func (s *memberSnapshot) nodeCount() int {
	if members := s.members.Load(); members != nil {
		return max(len(*members), 1)
	}
	return 1
}

// peerAddresses returns the peer addresses of the routable nodes, or the seed
// addresses if there are none.
func (s *memberSnapshot) peerAddresses() (addresses []string) {
	if members := s.members.Load(); members != nil {
		for _, m := range *members {
			if m.Health.Routable() {
				addresses = append(addresses, m.Peer())
			}
		}
	}
	if len(addresses) == 0 {
		return s.seeds
	}
	return addresses
}

// memberTable is the part of membership that the data path uses.
type memberTable interface {
	Members() []membership.Member
	Epoch(node string) (incarnation uint64, epoch uint32, ok bool)
}

// peerTable looks up single nodes and issues keys for them.
type peerTable struct {
	members memberTable

	mu        sync.RWMutex
	addresses map[string]string
	// ended holds, by node, an incarnation that is known to have ended although
	// membership may still list it.
	ended map[string]uint64
}

func newPeerTable(members memberTable) *peerTable {
	return &peerTable{members: members, addresses: make(map[string]string), ended: make(map[string]uint64)}
}

// replace replaces the peer addresses by those of all members, reachable or not,
// except nodes that have left on purpose, which run no more keys.
func (p *peerTable) replace(members []membership.Member) {
	addresses := make(map[string]string, len(members))
	for _, m := range members {
		if m.Health != membership.Left {
			addresses[m.Node()] = m.Peer()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
	for node := range p.ended {
		if _, known := addresses[node]; !known {
			delete(p.ended, node)
		}
	}
}

// markEnded records that an incarnation of a node has ended and can't run its keys.
// No more keys are issued for the node until membership lists its next incarnation.
func (p *peerTable) markEnded(node string, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended[node] = incarnation
}

func (p *peerTable) hasEnded(node string, incarnation uint64) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	ended, ok := p.ended[node]
	return ok && ended == incarnation
}

// lookup returns the peer address and the incarnation of a node.
func (p *peerTable) lookup(node string) (address string, incarnation uint64, ok bool) {
	p.mu.RLock()
	address, ok = p.addresses[node]
	p.mu.RUnlock()
	if !ok {
		return "", 0, false
	}
	incarnation, _, ok = p.members.Epoch(node)
	return address, incarnation, ok
}

// issueKey issues a new key that only the node may run.
func (p *peerTable) issueKey(service, node string) (key booking.Key, ok bool) {
	incarnation, epoch, ok := p.members.Epoch(node)
	if !ok || p.hasEnded(node, incarnation) {
		return booking.Key{}, false
	}
	return booking.Issue(service, node, incarnation, epoch), true
}
