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
	"github.com/lacewingslip/lacewingslip/framing"
)

const (
	// maxPollsPerSecond bounds the total rate at which the nodes poll the log.
	maxPollsPerSecond = 50
	minPollInterval   = time.Second
	maxPageRecords    = 100

	snapshotRecords  = 200
	defaultRetention = 4 * time.Hour
	// snapshotsPerRetention is the number of snapshots per retention period. With
	// four, a snapshot expires only after three more writes were due.
	snapshotsPerRetention = 4

	peerTimeout = 5 * time.Second
)

// Recorder records events from the catalogue of package event.
type Recorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// Follower keeps a [History] up to date by polling the log and by pulling records
// from other nodes. All methods are safe for concurrent use.
type Follower struct {
	log       appendlog.Journal
	recorder  Recorder
	client    *http.Client
	peers     func() []string
	members   func() int
	onChange  func(*Tree)
	random    *rand.Rand // used by the poll loop only
	retention time.Duration

	mu      sync.Mutex
	history *History

	tree   atomic.Pointer[Tree]
	offset atomic.Int64
	hints  chan hint

	// pageLimit and the fields below are used by the poll loop only.
	pageLimit      int
	logUnavailable bool
	inGap          bool
	pollsSinceDue  int // polls since a snapshot became due, 0 if none is due
}

// hint names a peer that has read the log further than this node.
type hint struct {
	address string
	offset  int64
}

// Option configures a [Follower].
type Option func(*Follower)

// WithRecorder sets the recorder of the follower's events.
func WithRecorder(recorder Recorder) Option { return func(f *Follower) { f.recorder = recorder } }

// WithHTTPClient sets the HTTP client for requests to other nodes.
func WithHTTPClient(client *http.Client) Option { return func(f *Follower) { f.client = client } }

// WithPeers sets a function that returns the peer addresses of other nodes. The
// follower requests records from them that the log no longer retains, and while
// the log is unavailable.
func WithPeers(peers func() []string) Option { return func(f *Follower) { f.peers = peers } }

// WithMembers sets a function that returns the number of nodes that poll the same
// log. The poll interval grows with this number.
func WithMembers(members func() int) Option { return func(f *Follower) { f.members = members } }

// WithRandom sets the random source, which is used for jitter, for the choice of a
// peer and for the choice of the node that writes a snapshot.
func WithRandom(random *rand.Rand) Option { return func(f *Follower) { f.random = random } }

// WithRetention sets the time for which the log retains records. A snapshot is
// due after a quarter of this time at the latest.
func WithRetention(retention time.Duration) Option {
	return func(f *Follower) { f.retention = retention }
}

// OnChange sets a function that is called after each change of the tree. Calls are
// never concurrent. The follower's lock is held during a call, so the function
// must not wait for any method other than [Follower.Tree], [Follower.Offset] and
// [Follower.NotifyPeerOffset].
func OnChange(changed func(*Tree)) Option { return func(f *Follower) { f.onChange = changed } }

// NewFollower returns a follower that starts with the given history. [Follower.Run]
// keeps it up to date.
func NewFollower(log appendlog.Journal, h *History, opts ...Option) *Follower {
	f := &Follower{
		log:       log,
		recorder:  discardRecorder{},
		client:    &http.Client{Transport: framing.NewDefaultTransport()},
		peers:     func() []string { return nil },
		members:   func() int { return 1 },
		onChange:  func(*Tree) {},
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

type discardRecorder struct{}

func (discardRecorder) Record(event.ID, ...slog.Attr) {}

// Tree returns the current settings tree. It is never nil.
func (f *Follower) Tree() *Tree { return f.tree.Load() }

// Offset returns the offset of the next record to replay. It never decreases.
func (f *Follower) Offset() int64 { return f.offset.Load() }

// NotifyPeerOffset makes the follower pull records from the peer if the peer's
// offset is greater than its own. It does not block.
func (f *Follower) NotifyPeerOffset(peerOffset int64, peerAddress string) {
	if peerOffset <= f.Offset() {
		return
	}
	select {
	case f.hints <- hint{address: peerAddress, offset: peerOffset}:
	default:
		// A pull is already queued. If it does not get all records, the next
		// membership exchange with a peer queues another one.
	}
}

// Run polls the log and pulls from peers until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.pollLoop(ctx) })
	group.Go(func() error { return f.pullLoop(ctx) })
	return group.Wait()
}

func (f *Follower) pollLoop(ctx context.Context) error {
	// The first poll is jittered too, so that nodes that start at the same time
	// don't all read the log at once.
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

// PollInterval returns the mean time between two polls of one node if the given
// number of nodes polls the log.
func PollInterval(members int) time.Duration {
	return max(minPollInterval, time.Duration(members)*time.Second/maxPollsPerSecond)
}

// jitter returns a random delay, uniformly distributed from 0.5 d to 1.5 d.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(random.Int64N(int64(d)+1))
}

func (f *Follower) poll(ctx context.Context) {
	verdicts, gap, err := catchUp(ctx, f.log, f.pageLimit, f.withHistory)
	f.recordVerdicts(verdicts)
	if ctx.Err() != nil {
		return
	}
	f.recordLogState(err)
	if err == nil {
		f.recordGap(gap)
	}
	if err != nil || gap {
		f.pullFromRandomPeer(ctx)
		return
	}
	f.writeSnapshotIfDue(ctx)
}

// withHistory calls use with the history under the lock, and then publishes the
// resulting tree and offset.
func (f *Follower) withHistory(use func(h *History)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.history.Tree()
	use(f.history)
	f.offset.Store(f.history.Offset())
	if tree := f.history.Tree(); tree != before {
		f.tree.Store(tree)
		f.onChange(tree)
	}
}

// recordLogState records an event when the log becomes unavailable or available.
// After a failure the next page is limited to one record, because a page of large
// records may exceed the client's response limit or its timeout.
func (f *Follower) recordLogState(err error) {
	f.pageLimit = maxPageRecords
	if err != nil {
		f.pageLimit = 1
	}
	switch {
	case err != nil && !f.logUnavailable:
		f.recorder.Record(event.LogUnavailable, slog.String("stream", Stream), slog.String("error", err.Error()))
	case err == nil && f.logUnavailable:
		f.recorder.Record(event.LogAvailable, slog.String("stream", Stream))
	}
	f.logUnavailable = err != nil
}

func (f *Follower) recordGap(gap bool) {
	if gap && !f.inGap {
		f.recorder.Record(event.SettingsGap, slog.Int64("offset", f.Offset()))
	}
	f.inGap = gap
}

// writeSnapshotIfDue writes a snapshot when one is due. It runs directly after the
// log was read to its end, so that snapshots of other nodes are taken into account.
// Each node writes with a probability that makes one writer among all nodes
// expected at the first poll. The probability doubles with each further poll, because
// most of the nodes may be unable to reach the log.
func (f *Follower) writeSnapshotIfDue(ctx context.Context) {
	now := time.Now()
	f.mu.Lock()
	due := f.history.SnapshotDue(now, snapshotRecords, f.retention/snapshotsPerRetention)
	data, err := f.history.Snapshot(now)
	covered := f.history.Offset()
	f.mu.Unlock()
	if !due {
		f.pollsSinceDue = 0
		return
	}
	chance := math.Ldexp(1/float64(max(f.members(), 1)), f.pollsSinceDue)
	f.pollsSinceDue++
	if err != nil || f.random.Float64() >= chance {
		return
	}
	// If the append fails, or if only its response is lost, the next poll writes
	// another snapshot or finds the one that was written.
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

func (f *Follower) pullFromRandomPeer(ctx context.Context) {
	peers := f.peers()
	if len(peers) == 0 {
		return
	}
	f.pull(ctx, peers[f.random.IntN(len(peers))])
}

// pull requests the records that this node lacks from a peer. A failed request
// needs no handling: the next membership exchange or the next poll leads to another
// attempt.
func (f *Follower) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	before := f.Offset()
	body, err := fetch(ctx, f.client, address, before)
	if err != nil {
		return
	}
	var verdicts []Verdict
	f.withHistory(func(h *History) { verdicts, err = h.merge(body) })
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
			// These records were not replayed, so there is no result to record.
		}
	}
}

// Handler serves [PathRecords] to nodes that lack records.
func (f *Follower) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(PathRecords, f.serveRecords).Methods(http.MethodGet)
	return router
}

func (f *Follower) serveRecords(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "query parameter from: expected an offset of 0 or more", http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	body := f.history.responseFrom(from, time.Now())
	f.mu.Unlock()
	data, err := marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write needs no handling: the receiver detects a truncated body.
	_, _ = w.Write(data)
}
