package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/framing"
)

const (
	exchangeInterval = time.Second
	// exchangeTimeout allows for the slowest connections, between regions, which take
	// 40 ms to connect and 40 ms for each round trip.
	exchangeTimeout = time.Second
	// indirectProbeTimeout allows the intermediary a full exchangeTimeout for its own
	// exchange, and time to answer.
	indirectProbeTimeout = 1500 * time.Millisecond
	indirectProbes       = 2
	// compareInterval is the minimum time between two comparisons of digests. Gossip
	// alone delivers changes to nearly all of 1,100 nodes in this time. Comparing
	// digests more often mostly finds changes that are about to arrive.
	compareInterval = 6 * time.Second
	comparedBuckets = 4
	// reconnectEvery is the mean number of ticks per attempt to contact an unreachable
	// node and an unknown address.
	reconnectEvery   = 5
	maxInFlight      = 64
	maxExpiredProbes = 3
	sampleSize       = 16
	// maxIncompleteTables is the number of incomplete tables after which a node regards
	// its own table as complete. After the restart of an availability zone, a node
	// whose table is requested may itself have just started. If all nodes have just
	// started, none of them has the whole table.
	maxIncompleteTables = 3

	// maxRounds bounds the rounds of an exchange, which consists of a request, a
	// comparison and repairs. Only a faulty node causes more rounds.
	maxRounds = 4

	maxDeltaBytes = 1200
	// maxRepairBytes bounds the entries that are sent to correct or complete the table
	// of the other node.
	maxRepairBytes = 16 << 10
	// maxTableBytes bounds the estimated size of a whole table. The rest of the body is
	// for the field names, which estimated sizes do not count in full.
	maxTableBytes = maxBodyBytes * 3 / 4
)

// Recorder records the events of this package.
type Recorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// Gossip exchanges a [Table] with other nodes. It is safe for concurrent use.
type Gossip struct {
	self    Self
	seeds   []string
	journal appendlog.Journal
	client  *http.Client

	settingsOffset  func() int64
	onNewerSettings func(offset int64, address string)
	onChange        func()
	readClock       func() string
	observeClock    func(value string)
	recorder        Recorder

	handler  http.Handler
	inFlight chan struct{}

	mu               sync.Mutex
	random           *rand.Rand
	table            *Table
	notifiedRevision uint64
	// members caches the table's members, sorted by ID, at membersRevision.
	members         []Member
	membersRevision uint64
	// complete is true once a whole table, or maxIncompleteTables others, have been
	// received since the start. tablesFetched counts the answers to fetchAll.
	complete      bool
	tablesFetched int
	lastCompared  time.Time
	// recentJoins holds the latest joins that were read from the log.
	recentJoins joinList
}

// Option configures a [Gossip]. Functions passed in options are called
// concurrently from several goroutines.
type Option func(*Gossip)

// WithSeeds sets the peer addresses from which a starting node requests other nodes.
func WithSeeds(addresses ...string) Option { return func(g *Gossip) { g.seeds = addresses } }

// WithJournal makes the node write its joins and leaves to the log, and read
// those of other nodes from it.
func WithJournal(j appendlog.Journal) Option { return func(g *Gossip) { g.journal = j } }

// WithSettingsOffset sends the offset of the node's settings with each exchange.
func WithSettingsOffset(offset func() int64) Option {
	return func(g *Gossip) { g.settingsOffset = offset }
}

// OnNewerSettings sets a function that is called on each exchange with a node whose
// settings offset is higher than this node's.
func OnNewerSettings(onNewer func(offset int64, address string)) Option {
	return func(g *Gossip) { g.onNewerSettings = onNewer }
}

// OnChange sets a function that is called after the members or their health have
// changed.
func OnChange(changed func()) Option { return func(g *Gossip) { g.onChange = changed } }

// WithClock sends a hybrid clock value with each exchange and passes received
// values to observe. A value has at most 64 bytes.
func WithClock(read func() string, observe func(value string)) Option {
	return func(g *Gossip) { g.readClock, g.observeClock = read, observe }
}

// WithRecorder records the events of membership.
func WithRecorder(r Recorder) Option { return func(g *Gossip) { g.recorder = r } }

// WithTransport replaces the HTTP transport to other nodes.
func WithTransport(t http.RoundTripper) Option { return func(g *Gossip) { g.client.Transport = t } }

// WithRandom replaces the source of randomness.
func WithRandom(r *rand.Rand) Option { return func(g *Gossip) { g.random = r } }

// New returns a Gossip that knows only the local node. Its handler answers other
// nodes from the start; [Gossip.Run] starts exchanges with them.
func New(self Self, opts ...Option) *Gossip {
	g := &Gossip{
		self: self,
		// Keep-alives are disabled because with 1,100 members a node exchanges
		// with the same node only about every ten minutes.
		client:          &http.Client{Transport: framing.NewTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true})},
		settingsOffset:  func() int64 { return 0 },
		onNewerSettings: func(int64, string) {},
		onChange:        func() {},
		readClock:       func() string { return "" },
		observeClock:    func(string) {},
		recorder:        discardRecorder{},
		inFlight:        make(chan struct{}, maxInFlight),
		random:          rand.New(rand.NewPCG(self.Incarnation, uint64(self.Started.UnixNano()))),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.table = NewTable(time.Now(), self, g.random)
	g.handler = g.routes()
	return g
}

// Handler answers exchanges and indirect probes on the peer address.
func (g *Gossip) Handler() http.Handler { return g.handler }

// Run exchanges with other nodes until the context ends.
func (g *Gossip) Run(ctx context.Context) (err error) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.followLog(ctx) })
	group.Go(func() error { return g.exchangeLoop(ctx) })
	return eris.Wrap(group.Wait(), "membership ended")
}

// Announce publishes that a backend server runs and accepts calls.
func (g *Gossip) Announce(b Backend) { g.setBackend(b.Service, Ready, b.Slots) }

// SetState publishes the state of the backend server.
func (g *Gossip) SetState(s State) {
	own := g.Self()
	g.setBackend(own.Service(), s, own.Slots())
}

// Leave announces the shutdown of this node to other nodes and to the log. It
// fails only if no other node received the announcement and it was not appended
// to the log.
func (g *Gossip) Leave(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "announcement of the shutdown reached neither another node nor the log") }()
	g.changeTable(func(now time.Time) []Change {
		g.table.Leave(now)
		return nil
	})
	errs := make(chan error, indirectProbes+2)
	// The nodes that receive the announcement spread it to all others.
	peers := g.pickReachable(indirectProbes + 1)
	for _, m := range peers {
		go func() { errs <- g.exchange(ctx, m.Peer(), m.Node(), fetchChanges) }()
	}
	go func() { errs <- g.logLeave(ctx) }()
	delivered := false
	for range len(peers) + 1 {
		if failure := <-errs; failure != nil {
			err = failure
		} else {
			delivered = true
		}
	}
	if delivered {
		return nil
	}
	return err
}

// Self returns the node's own entry.
func (g *Gossip) Self() Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Self()
}

// Members returns all known nodes, including the local one, sorted by ID. The
// slice is shared and must not be modified: with 1,100 members, sorting at each
// call would use a large part of the CPU time that a node has for control work.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members == nil || g.membersRevision != g.table.revision {
		g.members, g.membersRevision = slices.Clip(g.table.Members()), g.table.revision
	}
	return g.members
}

// Member returns the entry and the health of one node.
func (g *Gossip) Member(node string) (m Member, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Get(node)
}

// ObserveEpoch records the age of an incarnation that its node has sent outside
// of exchanges, such as in the answer to a call.
func (g *Gossip) ObserveEpoch(node string, incarnation uint64, epoch uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.ObserveEpoch(time.Now(), node, incarnation, epoch)
}

// Epoch returns a lower bound of the age of a node's incarnation in seconds.
func (g *Gossip) Epoch(node string) (incarnation uint64, epoch uint32, ok bool) {
	if node == g.self.Node {
		return g.self.Incarnation, g.ownAge(), true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Epoch(time.Now(), node)
}

func (g *Gossip) setBackend(service string, state State, slots int) {
	g.changeTable(func(now time.Time) []Change {
		own := g.table.Self()
		if own.Service() != service || own.State() != state || own.Slots() != slots {
			g.table.SetBackend(now, g.ownAge(), service, state, slots)
		}
		return nil
	})
}

func (g *Gossip) ownAge() uint32 {
	return uint32(max(0, time.Since(g.self.Started)/time.Second))
}

// changeTable applies a function to the table, records the events of the changes
// that it returns, and calls onChange if the table has a new revision.
func (g *Gossip) changeTable(change func(now time.Time) []Change) {
	g.mu.Lock()
	changes := change(time.Now())
	changed := g.table.revision != g.notifiedRevision
	g.notifiedRevision = g.table.revision
	g.mu.Unlock()

	for _, c := range changes {
		m := c.Member
		g.recorder.Record(c.Event, slog.String("node", m.Node()), slog.String("peer", m.Peer()),
			slog.Uint64("incarnation", m.Incarnation()), slog.Uint64("version", m.Version()))
	}
	if changed {
		g.onChange()
	}
}

func (g *Gossip) pickReachable(n int, exclude ...string) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.pickReachable(n, exclude...)
}

// exchangeLoop runs the table's ticks and starts the exchanges of each tick.
func (g *Gossip) exchangeLoop(ctx context.Context) (err error) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		g.tick(ctx, &running)
		if !sleep(ctx, g.jitter(exchangeInterval)) {
			return nil
		}
	}
}

func (g *Gossip) tick(ctx context.Context, running *sync.WaitGroup) {
	var targets []Member
	var address string
	g.changeTable(func(now time.Time) (changes []Change) {
		changes = g.table.Tick(now)
		targets = append(g.table.pickReachable(1), g.table.expiredSuspects(now, maxExpiredProbes)...)
		if len(targets) == 0 || g.random.IntN(reconnectEvery) == 0 {
			targets = append(targets, g.table.pickUnreachable()...)
			address = g.pickUnknownAddress()
		}
		return changes
	})
	for _, m := range targets {
		g.startExchange(running, func() { g.probe(ctx, m) })
	}
	if address != "" {
		g.startExchange(running, func() { _ = g.exchange(ctx, address, "", fetchSample) })
	}
}

// startExchange runs an exchange in the background. It drops the exchange if
// maxInFlight others are waiting, for example for nodes that do not answer.
func (g *Gossip) startExchange(running *sync.WaitGroup, exchange func()) {
	select {
	case g.inFlight <- struct{}{}:
	default:
		return
	}
	running.Go(func() {
		defer func() { <-g.inFlight }()
		exchange()
	})
}

// pickUnknownAddress returns a random address, from the seeds or the log, that
// does not belong to a reachable node.
func (g *Gossip) pickUnknownAddress() (address string) {
	known := map[string]bool{g.self.Peer: true}
	for _, m := range g.table.Members() {
		known[m.Peer()] = m.Health.Routable()
	}
	var unknown []string
	for _, a := range append(g.recentJoins.addresses(), g.seeds...) {
		if !known[a] {
			unknown = append(unknown, a)
		}
	}
	if len(unknown) == 0 {
		return ""
	}
	return unknown[g.random.IntN(len(unknown))]
}

// probe exchanges with a node. If the node does not answer, probe marks a suspect
// as unreachable, and an alive node as suspect unless an indirect probe succeeds.
func (g *Gossip) probe(ctx context.Context, m Member) {
	scope := fetchChanges
	if !g.isComplete() {
		scope = fetchAll
	}
	err := g.exchange(ctx, m.Peer(), m.Node(), scope)
	if err == nil || ctx.Err() != nil || m.Health == Unreachable {
		return
	}
	if m.Health == Alive && g.probeIndirectly(ctx, m) {
		return
	}
	g.changeTable(func(now time.Time) (changes []Change) {
		if m.Health == Suspect {
			return g.table.markUnreachable(now, m.Node(), m.Incarnation(), m.Version())
		}
		return g.table.markSuspect(now, m.Node(), m.Incarnation(), m.Version())
	})
}

func (g *Gossip) isComplete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.complete
}

// probeIndirectly requests that other nodes exchange with the node, and reports whether
// one of them reached it.
func (g *Gossip) probeIndirectly(ctx context.Context, m Member) (reached bool) {
	intermediaries := g.pickReachable(indirectProbes, m.Node())
	answers := make(chan bool, len(intermediaries))
	for _, intermediary := range intermediaries {
		go func() {
			var answer probeAnswer
			err := g.post(ctx, indirectProbeTimeout, intermediary.Peer(), probePath, &probeRequest{m.Node()}, &answer)
			answers <- err == nil && answer.Reached
		}()
	}
	for range intermediaries {
		reached = <-answers || reached
	}
	return reached
}

// jitter returns a random duration within 10% of d.
func (g *Gossip) jitter(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d*9/10 + time.Duration(g.random.Int64N(int64(d)/5))
}

// randomDuration returns a random duration below d.
func (g *Gossip) randomDuration(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.random.Int64N(int64(d)))
}

// sleep returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) (slept bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

type discardRecorder struct{}

func (discardRecorder) Record(event.ID, ...slog.Attr) {}
