package mesh

import (
	"context"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/routing"
)

const (
	// peerIdleTimeout is how long an unused connection to another node is kept.
	peerIdleTimeout = 20 * time.Second
	// sweepInterval is how often unused connections to other nodes are closed. None that has
	// been unused for too long is used in between.
	sweepInterval = time.Second
	// An unreachable node is probed after minProbeInterval. The interval then
	// doubles with each probe up to maxProbeInterval.
	minProbeInterval = 150 * time.Millisecond
	maxProbeInterval = 1500 * time.Millisecond
	// probeScaleNodes is the number of nodes by which the probe intervals grow by
	// their base value. It keeps the rate at which all nodes together probe an
	// unreachable node independent of the size of the deployment.
	probeScaleNodes = 50
	// maxRemoteShare is the share of a service's traffic that may go to other
	// regions. With a share of 1, requests are sent to another region whenever
	// their own region is full.
	maxRemoteShare = 1.0
)

// balancer chooses the node that a request is sent to and holds the connections
// to all nodes.
type balancer struct {
	// limit bounds the connections for requests, or is nil. It is set before the start.
	limit    *hop.ConnectionLimit
	settings nodeconfig.Config
	events   eventRecorder

	mu    sync.Mutex
	table *routing.Table
	peers map[string]*peer
	byIP  map[string]*peer
	// inZone has the nodes of this zone.
	inZone []*peer
	// services has the services that have nodes.
	services map[string]struct{}
	// revision counts the calls of updateTable, which follow each change of a node or of its
	// reachability.
	revision uint64
	// watchers has the watchers of this zone as of watchersRevision.
	watchers         []*peer
	watchersRevision uint64
	// hasUnreachable is true if a node is unreachable.
	hasUnreachable bool
	// sweptAt is when unused connections were last closed.
	sweptAt time.Time
}

// peer is a known node, which may be this one.
type peer struct {
	// node, address, region and watcherOrder never change.
	node, address, region string
	// watcherOrder is the value by which the watchers of a zone are selected.
	watcherOrder uint64
	pool         *hop.Pool
	// member and the fields below are guarded by the balancer's mutex.
	member fleet.Member
	// unreachable is true after a failed connection or exchange, until the node
	// responds again.
	unreachable bool
	// nextProbe is when the unreachable node is next probed, and probeInterval is
	// the time between the last probe and the next one.
	nextProbe     time.Time
	probeInterval time.Duration
	// leavingEpoch is the epoch of the member record that was current when the node was
	// sent a request that it refused because its backend server is leaving. The node is
	// sent requests again once it has published a record with a higher epoch.
	leavingEpoch int64
}

// acceptsRequests reports whether the node can be sent requests, as far as is known. The
// balancer's mutex must be held.
func (p *peer) acceptsRequests() bool {
	return !p.unreachable && p.member.TakesWork && p.leavingEpoch < p.member.Epoch
}

func newBalancer(settings nodeconfig.Config, events eventRecorder) *balancer {
	return &balancer{
		settings: settings, events: events, peers: make(map[string]*peer), services: make(map[string]struct{}),
		table: routing.New(settings.Region, settings.Zone, routing.WithRemoteShare(maxRemoteShare)),
	}
}

// setMembers replaces the records of all nodes by those that current returns, and returns
// them. It is called with the mutex held, so that concurrent changes do not bring back earlier
// records.
func (b *balancer) setMembers(current func() []fleet.Member) (members []fleet.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	members = current()
	known := make(map[string]bool, len(members))
	// changed has the services of which nodes have changed.
	changed, addressesChanged := make(map[string]struct{}), false
	for _, m := range members {
		known[m.Node] = true
		p := b.peers[m.Node]
		if p == nil || p.address != m.Address || p.region != m.Region {
			if p != nil {
				p.pool.Close()
				changed[p.member.Service] = struct{}{}
			}
			p = &peer{
				node: m.Node, address: m.Address, region: m.Region, watcherOrder: watcherOrder(m.Node), member: m,
				pool: hop.New(m.Address, hop.WithMaxIdle(peerIdleTimeout), hop.WithConnectionLimit(b.limit)),
			}
			b.peers[m.Node] = p
			changed[m.Service], addressesChanged = struct{}{}, true
		}
		if p.member != m {
			changed[p.member.Service], changed[m.Service] = struct{}{}, struct{}{}
			p.member = m
		}
	}
	for node, p := range b.peers {
		if !known[node] {
			p.pool.Close()
			delete(b.peers, node)
			changed[p.member.Service], addressesChanged = struct{}{}, true
		}
	}
	if addressesChanged {
		b.byIP = make(map[string]*peer, len(b.peers))
		for _, p := range b.peers {
			if ip, _, err := net.SplitHostPort(p.address); err == nil {
				b.byIP[ip] = p
			}
		}
	}
	if len(changed) > 0 {
		b.inZone = nil
		for _, p := range b.peers {
			if p.member.Zone == b.settings.Zone {
				b.inZone = append(b.inZone, p)
			}
		}
	}
	b.updateTable(changed)
	return members
}

// updateTable passes the nodes of the services that accept requests to the routing table. The
// mutex must be held.
func (b *balancer) updateTable(services map[string]struct{}) {
	b.revision++
	b.hasUnreachable = false
	byService := make(map[string][]routing.Upstream, len(services))
	for service := range services {
		byService[service] = nil
	}
	clear(b.services)
	for _, p := range b.peers {
		m := &p.member
		b.services[m.Service] = struct{}{}
		b.hasUnreachable = b.hasUnreachable || p.unreachable
		if _, changed := services[m.Service]; !changed || !p.acceptsRequests() {
			continue
		}
		byService[m.Service] = append(byService[m.Service], routing.Upstream{
			Node: m.Node, Address: m.Address, Region: m.Region, Zone: m.Zone, Slots: usableSlots(m.Slots),
		})
	}
	now := time.Now()
	for service, upstreams := range byService {
		b.table.Replace(now, service, upstreams)
	}
}

// updateService passes the nodes of the service of a node to the routing table, because that
// node has changed. The mutex must be held.
func (b *balancer) updateService(p *peer) {
	b.updateTable(map[string]struct{}{p.member.Service: {}})
}

// choose returns a node of the request's service in the region, or in any region
// if region is "". It does not return the excluded nodes.
func (b *balancer) choose(req *request, excluded []string, region string) (p *peer, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	u, ok := b.table.Choose(now, routing.Query{
		Service: req.service, Importance: importanceOf(req.priority), Tried: excluded, Cost: int64(len(req.body)), Region: region,
		Route: req.route, TimeLeft: req.deadline.Sub(now),
	})
	if !ok {
		return nil, false
	}
	b.table.RecordSent(now, req.service, u.Node, int64(len(req.body)))
	return b.peers[u.Node], true
}

// isTooLate reports whether no node to which the request may be sent is expected to answer it
// before its deadline.
func (b *balancer) isTooLate(req *request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return b.table.TooLate(now, routing.Query{Service: req.service, Route: req.route, TimeLeft: req.deadline.Sub(now), Cost: int64(len(req.body))})
}

// isolationNode returns the node that runs the requests of this kind while they are
// isolated: among the nodes of the service that accept requests and are not excluded, the
// one with the highest hash of its name and the fingerprint.
func (b *balancer) isolationNode(req *request, excluded []string) (p *peer, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var highest uint64
	for _, candidate := range b.peers {
		if candidate.member.Service != req.service || !candidate.acceptsRequests() || slices.Contains(excluded, candidate.node) {
			continue
		}
		h := fnv.New64a()
		// Writing to a hash never fails.
		_, _ = h.Write(req.fingerprint[:])
		_, _ = h.Write([]byte(candidate.node))
		if sum := h.Sum64(); p == nil || sum > highest {
			p, highest = candidate, sum
		}
	}
	if p == nil {
		return nil, false
	}
	b.table.RecordSent(time.Now(), req.service, p.node, int64(len(req.body)))
	return p, true
}

// recordResult updates the routing table with the result of an attempt.
func (b *balancer) recordResult(req *request, node string, res *result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := routing.Report{
		HasLoad: res.report.present, Bytes: int64(len(res.body)),
		Load:  admission.Load{Running: res.report.Running, Limit: res.report.Limit, Queued: res.report.Waiting},
		Route: req.route, Paced: res.report.paced, Run: res.report.run, MeanRun: res.report.MeanRun,
	}
	switch {
	case res.outcome == call.Answered, res.reason == call.ReasonCanceled, res.reason == call.ReasonDeadline:
		report.Result = routing.Succeeded
	case res.reason == call.ReasonUnreachable:
		report.Result = routing.Unreachable
	case res.outcome == call.NotRun && (res.reason == call.ReasonOverloaded || res.reason == call.ReasonQuarantined):
		// Neither refusal indicates a faulty node. After one for overload, the reported
		// load is enough for the next choice of a node.
		report.Result = routing.Succeeded
	case res.outcome == call.NotRun:
		report.Result = routing.Refused
	default:
		report.Result = routing.Failed
	}
	b.table.RecordResult(time.Now(), req.service, node, int64(len(req.body)), report)
}

// epochOf returns the epoch of the current record of a node.
func (b *balancer) epochOf(p *peer) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return p.member.Epoch
}

// markLeaving records that the backend server of a node was leaving when the record with
// the epoch was current, so that the node is sent no requests until its next record.
func (b *balancer) markLeaving(p *peer, epoch int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.leavingEpoch >= epoch {
		return
	}
	p.leavingEpoch = epoch
	b.updateService(p)
	b.events.Record(event.PeerRefuses, attrPeer(p.node), attrService(p.member.Service), slog.Int64("epoch", epoch))
}

// markUnreachable records that a node can't be reached, so that it is sent no
// requests.
func (b *balancer) markUnreachable(p *peer, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.unreachable || b.peers[p.node] != p {
		return
	}
	p.unreachable, p.probeInterval = true, b.scaleInterval(minProbeInterval)
	p.nextProbe = time.Now().Add(p.probeInterval)
	b.updateService(p)
	b.events.Record(event.PeerLost, attrPeer(p.node), slog.Int64("epoch", p.member.Epoch), attrDetail(detail))
}

// markReachable records that a node responds again.
func (b *balancer) markReachable(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[node]
	if p == nil || !p.unreachable {
		return
	}
	p.unreachable = false
	b.updateService(p)
	b.events.Record(event.PeerBack, attrPeer(node), slog.Int64("epoch", p.member.Epoch))
}

// dueProbes returns the unreachable nodes that are due to be probed, and
// schedules their next probes.
func (b *balancer) dueProbes(now time.Time) (peers []*peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasUnreachable {
		return nil
	}
	for _, p := range b.peers {
		if p.unreachable && now.After(p.nextProbe) {
			p.probeInterval = min(2*p.probeInterval, b.scaleInterval(maxProbeInterval))
			p.nextProbe = now.Add(p.probeInterval)
			peers = append(peers, p)
		}
	}
	return peers
}

func (b *balancer) scaleInterval(base time.Duration) time.Duration {
	return base * time.Duration(1+len(b.peers)/probeScaleNodes)
}

// tick does the periodic work.
func (b *balancer) tick(now time.Time) {
	b.mu.Lock()
	b.table.Tick(now)
	if now.Sub(b.sweptAt) < sweepInterval {
		b.mu.Unlock()
		return
	}
	b.sweptAt = now
	pools := make([]*hop.Pool, 0, len(b.peers))
	for _, p := range b.peers {
		pools = append(pools, p.pool)
	}
	b.mu.Unlock()
	for _, pool := range pools {
		pool.Sweep(now)
	}
}

// send sends a request to another node. It returns the result and the version
// of the desired state at that node.
func (b *balancer) send(ctx context.Context, p *peer, req *request, version int64) (res *result, peerVersion int64) {
	httpReq := req.httpRequest(func(h http.Header) { setRequestHeaders(h, req, version) })
	resp, err := p.pool.Do(ctx, httpReq, req.id, func(_ int, h http.Header) bool { return isResponseTo(h, req.id) })
	if err != nil {
		return resultOfError(ctx, err), 0
	}
	return readPeerResult(ctx, resp, p.node)
}
