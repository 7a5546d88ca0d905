package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/framing"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/quota"
)

// refusalEndTime is how long no request of a workspace must have been refused until its
// refusals count as ended.
const refusalEndTime = 5 * time.Second

// Distances to other nodes, by which keepers are chosen.
const (
	ownNode = iota
	ownZone
	ownRegion
	otherRegion
	// suspectDistance is added for a node that has not answered the last question. It is
	// asked only if there is no other.
	suspectDistance
)

// caps applies the caps of workspaces to the requests that this node receives, and answers
// other nodes as a keeper of caps. Package quota decides.
type caps struct {
	settings  nodeconfig.Config
	desired   *desiredState
	balancer  *balancer
	directory *fleet.Directory
	events    eventRecorder
	metrics   *metrics.Metrics
	client    *http.Client
	// now reads a clock that counts the time for which the VM is suspended.
	now func() time.Time

	mu        sync.Mutex
	requester *quota.Requester
	accounts  *quota.Accounts
	// state is the desired state that byName belongs to, which has its workspaces with a cap.
	state  *desired.State
	byName map[string]quota.Cap
	// nodes has the known nodes at a revision of the balancer.
	nodes    map[string]quotaNode
	revision uint64
	links    map[string]*quotaLink
	// refusing has the workspaces of which requests are refused.
	refusing map[string]*refusals
}

// quotaNode is a node that may be a keeper.
type quotaNode struct {
	address, region string
	distance        int
	reachable       bool
}

// refusals counts the refused requests of a workspace.
type refusals struct {
	overCap, noKeeper int
	last              time.Time
}

func newCaps(settings nodeconfig.Config, clock bootClock, d *desiredState, b *balancer, dir *fleet.Directory, m *metrics.Metrics, events eventRecorder) *caps {
	terms := quota.NewTerms(settings.Bounds.CapWindow, settings.Bounds.CapOver, settings.Bounds.CapSlack)
	return &caps{
		settings: settings, desired: d, balancer: b, directory: dir, events: events, metrics: m, now: clock.now,
		requester: quota.NewRequester(terms, rand.Float64), accounts: quota.NewAccounts(settings.Node, terms),
		links: make(map[string]*quotaLink), refusing: make(map[string]*refusals),
		client: &http.Client{Transport: framing.NewTransport(&http.Transport{
			DialContext: hop.Dialer().DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: quotaIdleTimeout, DisableCompression: true,
		})},
	}
}

// capCredit is the credit that a request of a workspace with a cap holds. It is zero for
// other requests.
type capCredit struct{ credit quota.Credit }

// heldCredit is the credit that a request holds until it runs or is refused.
type heldCredit struct {
	caps   *caps
	credit capCredit
}

// take takes credit of the workspace that the request runs for. refusal is nil if the request is
// within the cap.
func (h *heldCredit) take(ctx context.Context, access access) (refusal *result) {
	h.credit, refusal = h.caps.admit(ctx, access.workspace)
	return refusal
}

// spend keeps the credit from being given back.
func (h *heldCredit) spend() { h.credit = capCredit{} }

// giveBack returns credit that is still held.
func (h *heldCredit) giveBack() {
	h.caps.giveBack(h.credit)
	h.spend()
}

// admit decides on a request of a workspace, which is nil if the request has none. It waits
// for the answers of keepers if this node has no credit at hand. refusal is nil if the request
// is admitted.
func (c *caps) admit(ctx context.Context, workspace *desired.Workspace) (credit capCredit, refusal *result) {
	if workspace == nil || workspace.Rate() <= 0 {
		return capCredit{}, nil
	}
	name := workspace.Name()
	verdicts := make(chan quota.Verdict, 1)
	c.mu.Lock()
	if c.nodes == nil {
		c.updateNodes(c.now())
	}
	now := c.now()
	request := c.requester.Arrive(now, name, capOf(workspace), func(v quota.Verdict) { verdicts <- v })
	c.serve(now, name)
	c.mu.Unlock()
	for {
		select {
		case v := <-verdicts:
			return c.conclude(name, v)
		default:
		}
		timer := time.NewTimer(c.nextCheck(request))
		select {
		case v := <-verdicts:
			timer.Stop()
			return c.conclude(name, v)
		case <-timer.C:
			c.mu.Lock()
			c.serve(c.now(), name)
			c.mu.Unlock()
		case <-ctx.Done():
			timer.Stop()
			c.cancel(request, verdicts)
			return capCredit{}, notRunResult(call.ReasonCanceled, "the caller disconnected while the request waited for credit of its workspace")
		}
	}
}

func (c *caps) nextCheck(r *quota.Request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requester.NextCheck(c.now(), r)
}

// cancel removes a request whose caller does not wait any longer.
func (c *caps) cancel(r *quota.Request, verdicts <-chan quota.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requester.Cancel(r)
	select {
	case v := <-verdicts:
		c.requester.GiveBack(c.now(), v.Credit)
	default:
	}
}

// conclude returns the result of admit for a verdict.
func (c *caps) conclude(workspace string, v quota.Verdict) (credit capCredit, refusal *result) {
	switch {
	case v.Admitted:
		c.metrics.CapDecided(metrics.CapAdmitted)
		return capCredit{v.Credit}, nil
	case v.OverCap:
		c.metrics.CapDecided(metrics.CapExceeded)
		refusal = notRunResult(call.ReasonOverCap, "the workspace "+workspace+" is over its cap")
	default:
		c.metrics.CapDecided(metrics.CapUnavailable)
		refusal = notRunResult(call.ReasonNoCredit, "no keeper of the cap of workspace "+workspace+" answers")
	}
	refusal.retryAfter = v.Retry
	c.recordRefusal(workspace, v.OverCap)
	return capCredit{}, refusal
}

// giveBack returns the credit of a request that has not run and will not.
func (c *caps) giveBack(credit capCredit) {
	if credit == (capCredit{}) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requester.GiveBack(c.now(), credit.credit)
}

// serve decides on the waiting requests of a workspace and sends the questions to keepers that
// this needs. The mutex must be held.
func (c *caps) serve(now time.Time, workspace string) {
	distance := func(node string) (distance int, ok bool) { return c.distance(now, node) }
	for again := true; again; {
		again = false
		for _, ask := range c.requester.Serve(now, workspace, distance) {
			if ask.Node != c.settings.Node {
				c.ask(workspace, ask)
				continue
			}
			// More requests may be served now.
			again = true
			c.updateState()
			c.requester.Answer(now, now, workspace, ask, c.accounts.Grant(now, workspace, c.byName[workspace], ask.Tokens))
		}
	}
}

func (c *caps) distance(now time.Time, node string) (distance int, ok bool) {
	n := c.nodes[node]
	if c.links[node].isSuspect(now) {
		return n.distance + suspectDistance, n.reachable
	}
	return n.distance, n.reachable
}

// tick does the periodic work.
func (c *caps) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.updateState()
	c.updateNodes(now)
	if len(c.byName) > 0 {
		c.metrics.SetCapAccounts(c.accounts.Keeps())
	}
	for workspace, r := range c.refusing {
		if now.Sub(r.last) >= refusalEndTime {
			delete(c.refusing, workspace)
			c.events.Record(event.CapRefusalsEnded, attrWorkspace(workspace), slog.Int("overCap", r.overCap), slog.Int("noKeeper", r.noKeeper))
		}
	}
}

// updateNodes takes over the known nodes. The mutex must be held.
func (c *caps) updateNodes(now time.Time) {
	// Before the nodes are read: those that are known earlier may be a part only.
	loaded := c.isLoaded()
	nodes, revision := c.balancer.quotaNodes(c.revision)
	changed := false
	if nodes != nil {
		changed = len(nodes) != len(c.nodes)
		for name, node := range nodes {
			if earlier, known := c.nodes[name]; !known || earlier.region != node.region {
				changed = true
			}
		}
		c.nodes, c.revision = nodes, revision
	}
	if changed {
		c.requester.SetNodes(c.nodeSet())
		for node := range c.links {
			if _, known := nodes[node]; !known {
				delete(c.links, node)
			}
		}
	}
	if changed || loaded && !c.accounts.Complete() {
		c.accounts.Learn(now, c.nodeSet(), loaded, c.directory.Earlier().Epoch > 0)
	}
}

// isLoaded reports whether the records of all nodes have been read from the log.
func (c *caps) isLoaded() bool {
	select {
	case <-c.directory.Loaded():
		return true
	default:
		return false
	}
}

// nodeSet returns the names of the known nodes. The mutex must be held.
func (c *caps) nodeSet() quota.Nodes {
	regionOf := make(map[string]string, len(c.nodes))
	for name, node := range c.nodes {
		regionOf[name] = node.region
	}
	return quota.NewNodesInRegions(regionOf)
}

// updateState takes over the desired state in force. The mutex must be held.
func (c *caps) updateState() {
	state := c.desired.current()
	if state == c.state {
		return
	}
	c.state, c.byName = state, make(map[string]quota.Cap)
	for _, workspace := range state.Workspaces() {
		if workspace.Rate() > 0 {
			c.byName[workspace.Name()] = capOf(workspace)
		}
	}
	capped := func(workspace string) bool { return c.byName[workspace].Rate > 0 }
	c.requester.Retain(capped)
	c.accounts.Retain(c.now(), capped)
}

func capOf(w *desired.Workspace) quota.Cap { return quota.Cap{Rate: w.Rate(), Burst: w.Burst()} }

// recordRefusal records the begin of refusals of a workspace as an event, and counts them.
func (c *caps) recordRefusal(workspace string, overCap bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.refusing[workspace]
	if r == nil {
		r = &refusals{}
		c.refusing[workspace] = r
		c.events.Record(event.CapRefusalsStarted, attrWorkspace(workspace), slog.Bool("overCap", overCap), slog.Int64("version", c.desired.version()))
	}
	r.last = c.now()
	if overCap {
		r.overCap++
	} else {
		r.noKeeper++
	}
}

func attrWorkspace(name string) slog.Attr { return slog.String("workspace", name) }
