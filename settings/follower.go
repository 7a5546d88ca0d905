package settings

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/event"
)

const (
	// maxPollsPerSecond bounds the reads of the log by all nodes together.
	maxPollsPerSecond = 50
	minPollInterval   = time.Second
	maxPageRecords    = 100

	snapshotRecords  = 200
	defaultRetention = 4 * time.Hour
	// snapshotsPerRetention leaves three more chances to write one before the
	// last expires.
	snapshotsPerRetention = 4

	peerTimeout = 5 * time.Second
)

// Recorder keeps numbered events.
type Recorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// Follower keeps a history up to date with the log and with other nodes. All
// methods are safe for concurrent use.
type Follower struct {
	log       appendlog.Journal
	recorder  Recorder
	client    *http.Client
	peers     func() []string
	members   func() int
	changed   func(*Tree)
	random    *rand.Rand // used by the poll loop only
	retention time.Duration

	mu      sync.Mutex
	history *History

	tree   atomic.Pointer[Tree]
	offset atomic.Int64
	hints  chan hint

	// The fields below belong to the poll loop.
	pageLimit   int
	unavailable bool
	gap         bool
	overdue     int // polls since a snapshot became due
}

// hint says that a peer has read more.
type hint struct {
	address string
	offset  int64
}

// Option changes how a [Follower] works.
type Option func(*Follower)

// WithRecorder records the follower's events.
func WithRecorder(recorder Recorder) Option { return func(f *Follower) { f.recorder = recorder } }

// WithHTTPClient asks other nodes with the given HTTP client.
func WithHTTPClient(client *http.Client) Option { return func(f *Follower) { f.client = client } }

// WithPeers gives the peer addresses of other nodes, which are asked for records
// that the log no longer keeps and while it does not answer.
func WithPeers(peers func() []string) Option { return func(f *Follower) { f.peers = peers } }

// WithMembers gives the number of nodes that read the same log. The poll
// interval grows with it.
func WithMembers(members func() int) Option { return func(f *Follower) { f.members = members } }

// WithRandom replaces the source of jitter.
func WithRandom(random *rand.Rand) Option { return func(f *Follower) { f.random = random } }

// WithRetention states how long the log keeps records. A snapshot is written
// after a quarter of that time at the latest.
func WithRetention(retention time.Duration) Option {
	return func(f *Follower) { f.retention = retention }
}

// OnChange is called after each change of the tree, one call at a time. It must
// not wait for anything that needs the follower, beyond Tree, Offset and Behind.
func OnChange(changed func(*Tree)) Option { return func(f *Follower) { f.changed = changed } }

// NewFollower returns a follower that starts from the history.
func NewFollower(log appendlog.Journal, h *History, opts ...Option) *Follower {
	f := &Follower{
		log:       log,
		recorder:  discard{},
		client:    &http.Client{},
		peers:     func() []string { return nil },
		members:   func() int { return 1 },
		changed:   func(*Tree) {},
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		retention: defaultRetention,
		history:   h,
		hints:     make(chan hint, 1),
		pageLimit: maxPageRecords,
	}
	for _, opt := range opts {
		opt(f)
	}
	f.tree.Store(h.Tree())
	f.offset.Store(h.Offset())
	return f
}

type discard struct{}

func (discard) Record(event.ID, ...slog.Attr) {}

// Tree returns the tree in force. It is never nil.
func (f *Follower) Tree() *Tree { return f.tree.Load() }

// Offset is the offset of the first record that was not read. It never falls.
func (f *Follower) Offset() int64 { return f.offset.Load() }

// Behind tells the follower that a peer has read more. It does not block.
func (f *Follower) Behind(peerOffset int64, peerAddress string) {
	if peerOffset <= f.Offset() {
		return
	}
	select {
	case f.hints <- hint{address: peerAddress, offset: peerOffset}:
	default:
		// A pull is already waiting. If it does not suffice, the next exchange
		// with a peer tells so.
	}
}

// Run follows the log and the peers until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.pollLoop(ctx) })
	group.Go(func() error { return f.pullLoop(ctx) })
	return group.Wait()
}

func (f *Follower) pollLoop(ctx context.Context) error {
	// The first poll is jittered too, so that nodes that start together do not
	// all read at once.
	delay := jitter(f.random, minPollInterval) / 2
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
		f.poll(ctx)
		delay = jitter(f.random, PollInterval(f.members()))
	}
}

// PollInterval is the mean time between two polls of one of so many nodes.
func PollInterval(members int) time.Duration {
	return max(minPollInterval, time.Duration(members)*time.Second/maxPollsPerSecond)
}

// jitter spreads a delay evenly from half to one and a half of its length.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(random.Int64N(int64(d)+1))
}

func (f *Follower) poll(ctx context.Context) {
	verdicts, gap, err := catchUp(ctx, f.log, f.pageLimit, f.locked)
	f.recordVerdicts(verdicts)
	if ctx.Err() != nil {
		return
	}
	f.noteLog(err)
	if err == nil {
		f.noteGap(gap)
	}
	if err != nil || gap {
		f.pullFromAnyPeer(ctx)
		return
	}
	f.maybeSnapshot(ctx)
}

// locked lets do use the history, and then puts the tree that it led to in force.
func (f *Follower) locked(do func(h *History)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.history.Tree()
	do(f.history)
	f.offset.Store(f.history.Offset())
	if tree := f.history.Tree(); tree != before {
		f.tree.Store(tree)
		f.changed(tree)
	}
}

// noteLog records when the log stops and starts answering. After a failure the
// next page is small: a page of large records may be more than the client takes,
// or than arrives in time.
func (f *Follower) noteLog(err error) {
	f.pageLimit = maxPageRecords
	if err != nil {
		f.pageLimit = 1
	}
	switch {
	case err != nil && !f.unavailable:
		f.recorder.Record(event.LogUnavailable, slog.String("stream", Stream), slog.String("error", err.Error()))
	case err == nil && f.unavailable:
		f.recorder.Record(event.LogAvailable, slog.String("stream", Stream))
	}
	f.unavailable = err != nil
}

func (f *Follower) noteGap(gap bool) {
	if gap && !f.gap {
		f.recorder.Record(event.SettingsGap, slog.Int64("offset", f.Offset()))
	}
	f.gap = gap
}

// maybeSnapshot writes a snapshot when one is due. It runs right after the log
// was read to its end, so a snapshot by another node counts. On the first poll
// one node in all is expected to write; each further poll doubles the chance, in
// case most of the members can't reach the log.
func (f *Follower) maybeSnapshot(ctx context.Context) {
	now := time.Now()
	f.mu.Lock()
	due := f.history.SnapshotDue(now, snapshotRecords, f.retention/snapshotsPerRetention)
	data, err := f.history.Snapshot(now)
	covered := f.history.Offset()
	f.mu.Unlock()
	if !due {
		f.overdue = 0
		return
	}
	chance := math.Ldexp(1/float64(max(f.members(), 1)), f.overdue)
	f.overdue++
	if err != nil || f.random.Float64() >= chance {
		return
	}
	// If the answer is lost, the next poll finds the snapshot or tries again.
	if _, err := f.log.Append(ctx, Stream, data); err == nil {
		f.recorder.Record(event.SnapshotWritten, slog.Int64("covered", covered), slog.Int("bytes", len(data)))
	}
}

func (f *Follower) pullLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case h := <-f.hints:
			if h.offset > f.Offset() {
				f.pull(ctx, h.address)
			}
		}
	}
}

func (f *Follower) pullFromAnyPeer(ctx context.Context) {
	peers := f.peers()
	if len(peers) == 0 {
		return
	}
	f.pull(ctx, peers[f.random.IntN(len(peers))])
}

// pull gets from a peer what this node lacks. A failure needs no handling: the
// next exchange with a peer, or the next poll, leads to another attempt.
func (f *Follower) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	before := f.Offset()
	body, err := fetch(ctx, f.client, address, before)
	if err != nil {
		return
	}
	var verdicts []Verdict
	f.locked(func(h *History) { verdicts, err = h.merge(body) })
	f.recordVerdicts(verdicts)
	if after := f.Offset(); after > before {
		f.recorder.Record(event.SettingsFromPeer, slog.String("peer", address), slog.Int64("offset", after))
	}
	if err != nil {
		f.recorder.Record(event.SettingsRejected, slog.String("peer", address), slog.String("reason", err.Error()))
	}
}

func (f *Follower) recordVerdicts(verdicts []Verdict) {
	for _, v := range verdicts {
		attrs := []slog.Attr{slog.Int64("offset", v.Offset)}
		if v.Change.ID() != "" {
			attrs = append(attrs, slog.String("change", v.Change.ID()), slog.String("branch", v.Change.Branch()), slog.Int64("revision", v.Change.Revision()))
		}
		switch v.Kind {
		case Accepted:
			f.recorder.Record(event.SettingsAccepted, attrs...)
		case Rejected:
			f.recorder.Record(event.SettingsRejected, append(attrs, slog.String("reason", v.Reason))...)
		case Restored:
			f.recorder.Record(event.SettingsRestored, attrs...)
		case SnapshotRead:
			f.recorder.Record(event.SnapshotIgnored, attrs...)
		case Covered, Held:
			// Nothing was decided.
		}
	}
}

// Handler serves [PathRecords] to nodes that are behind.
func (f *Follower) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(PathRecords, f.serveRecords).Methods(http.MethodGet)
	return router
}

func (f *Follower) serveRecords(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from is not an offset of 0 or more", http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	body := f.history.answer(from, time.Now())
	f.mu.Unlock()
	data, err := marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The receiver notices a body that breaks off.
	_, _ = w.Write(data)
}
