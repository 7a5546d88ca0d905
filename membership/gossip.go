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
)

const (
	exchangeInterval = time.Second
	// The slowest path, between regions, takes 40 ms for a round trip and as
	// much again to connect.
	exchangeTimeout = time.Second
	// The timeout of an indirect probe leaves its helper time to try the node
	// and to answer.
	helperTimeout = 1500 * time.Millisecond
	helpers       = 2
	// Changes reach nearly all of 1,100 nodes by themselves in this time.
	// Comparing digests sooner mostly finds what is on its way anyway.
	compareInterval = 6 * time.Second
	comparedBuckets = 4
	// Hidden nodes and seeds are tried on one tick in so many.
	reconnectTicks = 5
	maxInFlight    = 64
	maxExpired     = 3
	sampleSize     = 16
	// After the restart of an availability zone, a node that is asked for its
	// table may have started itself just now. When all nodes have, none has the
	// whole table, and this many will do.
	enoughTables = 3

	// An exchange is a request, a comparison and repairs. More messages come
	// only from a faulty node.
	maxRounds = 4

	deltaBytes = 1200
	// Corrections and compared entries are sent up to this size.
	repairBytes = 16 << 10
	// One message leaves room for the names of fields that sizes leave out.
	fullBytes = maxBodyBytes * 3 / 4
)

// Recorder takes the events of membership.
type Recorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// Gossip exchanges a [Table] with other nodes. It is safe for concurrent use.
type Gossip struct {
	self    Self
	seeds   []string
	journal appendlog.Journal
	client  *http.Client

	settingsOffset func() int64
	onBehind       func(offset int64, address string)
	onChange       func()
	readClock      func() string
	observeClock   func(value string)
	recorder       Recorder

	handler  http.Handler
	inFlight chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	table    *Table
	notified uint64
	// members is the table in order, as of the revision listed.
	members []Member
	listed  uint64
	// complete says that a whole table has been received since the start, and
	// fetched how many tables have been received for that.
	complete bool
	fetched  int
	compared time.Time
	// joined holds the addresses of nodes that the log says have joined.
	joined joins
}

// Option changes a [Gossip]. Functions given as options are called from several
// goroutines at once.
type Option func(*Gossip)

// WithSeeds names the peer addresses that a starting node asks for others.
func WithSeeds(addresses ...string) Option { return func(g *Gossip) { g.seeds = addresses } }

// WithJournal lets the node write its joins and leaves to the log, and find
// other nodes there.
func WithJournal(j appendlog.Journal) Option { return func(g *Gossip) { g.journal = j } }

// WithSettingsOffset carries the offset of the node's settings on exchanges.
func WithSettingsOffset(offset func() int64) Option {
	return func(g *Gossip) { g.settingsOffset = offset }
}

// OnBehind is called on each exchange with a node whose settings offset is
// higher than this node's.
func OnBehind(behind func(offset int64, address string)) Option {
	return func(g *Gossip) { g.onBehind = behind }
}

// OnChange is called after the members or their health have changed.
func OnChange(changed func()) Option { return func(g *Gossip) { g.onChange = changed } }

// WithClock carries a hybrid clock value on exchanges. It is at most 64 bytes.
func WithClock(read func() string, observe func(value string)) Option {
	return func(g *Gossip) { g.readClock, g.observeClock = read, observe }
}

// WithRecorder records the events of membership.
func WithRecorder(r Recorder) Option { return func(g *Gossip) { g.recorder = r } }

// WithTransport replaces the HTTP transport to other nodes.
func WithTransport(t http.RoundTripper) Option { return func(g *Gossip) { g.client.Transport = t } }

// WithRandom replaces the source of randomness.
func WithRandom(r *rand.Rand) Option { return func(g *Gossip) { g.random = r } }

// New returns a Gossip that knows only the node itself. It answers other nodes
// at once, and exchanges when [Gossip.Run] runs.
func New(self Self, opts ...Option) *Gossip {
	g := &Gossip{
		self: self,
		// Connections are not kept: with 1,100 members the next exchange with
		// the same node is about ten minutes away.
		client:         &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		settingsOffset: func() int64 { return 0 },
		onBehind:       func(int64, string) {},
		onChange:       func() {},
		readClock:      func() string { return "" },
		observeClock:   func(string) {},
		recorder:       discard{},
		inFlight:       make(chan struct{}, maxInFlight),
		random:         rand.New(rand.NewPCG(self.Incarnation, uint64(self.Started.UnixNano()))),
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

// Announce says that a backend server runs and takes calls.
func (g *Gossip) Announce(b Backend) { g.describe(b.Service, Ready, b.Slots) }

// SetState says what the backend server does.
func (g *Gossip) SetState(s State) {
	own := g.Self()
	g.describe(own.Service(), s, own.Slots())
}

// Leave tells other nodes and the log that this node leaves on purpose. It
// fails only if neither was told.
func (g *Gossip) Leave(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "neither another node nor the log heard of the leave") }()
	g.update(func(now time.Time) []Change {
		g.table.Leave(now)
		return nil
	})
	errs := make(chan error, helpers+2)
	told := g.pick(helpers + 1)
	for _, m := range told {
		go func() { errs <- g.exchange(ctx, m.Peer(), m.Node(), askNothing) }()
	}
	go func() { errs <- g.logLeave(ctx) }()
	heard := false
	for range len(told) + 1 {
		if failure := <-errs; failure != nil {
			err = failure
		} else {
			heard = true
		}
	}
	if heard {
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

// Members returns all known nodes in order of their IDs, the node itself
// included. Callers share the slice and must not change it: with 1,100 members,
// sorting them at each call would take a large part of the processor time that
// a node has for control work.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members == nil || g.listed != g.table.revision {
		g.members, g.listed = slices.Clip(g.table.Members()), g.table.revision
	}
	return g.members
}

// Member returns what is known of one node.
func (g *Gossip) Member(node string) (m Member, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Get(node)
}

// Heard notes the age of an incarnation that its node stated outside of
// exchanges, as in the answer to a call.
func (g *Gossip) Heard(node string, incarnation uint64, epoch uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Heard(time.Now(), node, incarnation, epoch)
}

// Epoch returns the age of a node's incarnation in seconds as last known. It is
// never above the true age.
func (g *Gossip) Epoch(node string) (incarnation uint64, epoch uint32, ok bool) {
	if node == g.self.Node {
		return g.self.Incarnation, g.ownAge(), true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Epoch(time.Now(), node)
}

func (g *Gossip) describe(service string, state State, slots int) {
	g.update(func(now time.Time) []Change {
		own := g.table.Self()
		if own.Service() != service || own.State() != state || own.Slots() != slots {
			g.table.Describe(now, g.ownAge(), service, state, slots)
		}
		return nil
	})
}

func (g *Gossip) ownAge() uint32 {
	return uint32(max(0, time.Since(g.self.Started)/time.Second))
}

// update changes the table and reports what changed.
func (g *Gossip) update(change func(now time.Time) []Change) {
	g.mu.Lock()
	changes := change(time.Now())
	changed := g.table.revision != g.notified
	g.notified = g.table.revision
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

func (g *Gossip) pick(n int, without ...string) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.pick(n, without...)
}

// exchangeLoop runs the table's ticks and starts one exchange on each.
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
	var probed []Member
	var unknown string
	g.update(func(now time.Time) (changes []Change) {
		changes = g.table.Tick(now)
		probed = append(g.table.pick(1), g.table.expired(now, maxExpired)...)
		if len(probed) == 0 || g.random.IntN(reconnectTicks) == 0 {
			probed = append(probed, g.table.pickHidden()...)
			unknown = g.unknownAddress()
		}
		return changes
	})
	for _, m := range probed {
		g.start(running, func() { g.probe(ctx, m) })
	}
	if unknown != "" {
		g.start(running, func() { _ = g.exchange(ctx, unknown, "", askSome) })
	}
}

// start runs an exchange in the background. It drops it if too many wait for
// nodes that do not answer.
func (g *Gossip) start(running *sync.WaitGroup, exchange func()) {
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

// unknownAddress returns a random seed, or address from the log, that belongs
// to no node that can be reached.
func (g *Gossip) unknownAddress() (address string) {
	known := map[string]bool{g.self.Peer: true}
	for _, m := range g.table.Members() {
		known[m.Peer()] = m.Health.Routable()
	}
	var unknown []string
	for _, a := range append(g.joined.addresses(), g.seeds...) {
		if !known[a] {
			unknown = append(unknown, a)
		}
	}
	if len(unknown) == 0 {
		return ""
	}
	return unknown[g.random.IntN(len(unknown))]
}

// probe exchanges with a node and, if it does not answer, lowers its health.
func (g *Gossip) probe(ctx context.Context, m Member) {
	wanted := askNothing
	if !g.isComplete() {
		wanted = askAll
	}
	err := g.exchange(ctx, m.Peer(), m.Node(), wanted)
	if err == nil || ctx.Err() != nil || m.Health == Unreachable {
		return
	}
	if m.Health == Alive && g.reachedThroughOthers(ctx, m) {
		return
	}
	g.update(func(now time.Time) (changes []Change) {
		if m.Health == Suspect {
			return g.table.unreachable(now, m.Node(), m.Incarnation(), m.Version())
		}
		return g.table.suspect(now, m.Node(), m.Incarnation(), m.Version())
	})
}

func (g *Gossip) isComplete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.complete
}

// reachedThroughOthers asks other nodes to exchange with the node.
func (g *Gossip) reachedThroughOthers(ctx context.Context, m Member) (reached bool) {
	asked := g.pick(helpers, m.Node())
	answers := make(chan bool, len(asked))
	for _, helper := range asked {
		go func() {
			var answer probeAnswer
			err := g.post(ctx, helperTimeout, helper.Peer(), probePath, &probeRequest{m.Node()}, &answer)
			answers <- err == nil && answer.Reached
		}()
	}
	for range asked {
		reached = <-answers || reached
	}
	return reached
}

// jitter returns a random time within a tenth of the given one.
func (g *Gossip) jitter(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d*9/10 + time.Duration(g.random.Int64N(int64(d)/5))
}

// upTo returns a random time up to the given one.
func (g *Gossip) upTo(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.random.Int64N(int64(d)))
}

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

type discard struct{}

func (discard) Record(event.ID, ...slog.Attr) {}
