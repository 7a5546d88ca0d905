package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/freshness"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/platform"
)

const (
	// proofReaders is the number of nodes in the whole deployment that read the log for
	// proofs.
	proofReaders = 3
	// lateReadTime is how long after a read for a proof another one is sent while there is no
	// response. The log usually responds within 4 ms. It may be slow, or have lost the read
	// while it was away.
	lateReadTime = 500 * time.Millisecond
	// maxProofReads bounds these reads. Each ends after proofReadTimeout, so that a log that needs
	// more than a second for each response still gives proofs.
	maxProofReads    = 4
	proofReadTimeout = 2 * time.Second
	// maxFurtherReads bounds the reads that follow each other until one returns no record.
	maxFurtherReads = 3
	// maxProofAsks bounds the requests to other nodes in progress. A frozen node answers none.
	maxProofAsks = 4
	// proofPollPause is the pause after a waiting request that brought no proof.
	proofPollPause = 300 * time.Millisecond
	// rolesInterval is how often a node determines which nodes read the log for proofs.
	rolesInterval = 500 * time.Millisecond
	// defaultRevoke and defaultApply are the revocation time and the time in which a version
	// must take effect if the settings do not give them.
	defaultRevoke = 5 * time.Second
	defaultApply  = 2500 * time.Millisecond
	// maxProofAge bounds the ages that other nodes state.
	maxProofAge = 24 * time.Hour
)

// proofs holds the proof that the desired state in force is the newest, and renews it. Package
// freshness decides when; a node whose proof has become too old reads the log, whoever else
// answers it.
type proofs struct {
	settings nodeconfig.Config
	clock    bootClock
	log      *platform.LogClient
	// cursor reads the operator's topic for proofs.
	cursor  *follow.Cursor
	events  eventRecorder
	metrics *metrics.Metrics
	bounds  atomic.Pointer[nodeconfig.Bounds]
	// desired, balancer, exchange and watchers are set once all of them have been built.
	desired  *desiredState
	balancer *balancer
	exchange *exchange
	watchers *watcherSelection

	mu      sync.Mutex
	tracker *freshness.Tracker
	// renewed is closed and replaced when the proof is renewed.
	renewed chan struct{}
	// topicRead is the read of the operator's topic whose records are being applied.
	topicRead freshness.Read
	// situation has the times of the last requests for proofs. reading and asking count those
	// in progress to the log and to other nodes, and polling is true while one waits at a
	// reader.
	situation       freshness.Situation
	reading, asking int
	polling         bool
	// readerIndex selects the reader that is polled.
	readerIndex int
	// serving is whether requests with a key are served, as last recorded.
	serving bool

	// roles are used by run only.
	roles proofRoles
}

// proofRoles are the nodes from which a node gets proofs.
type proofRoles struct {
	determinedAt time.Time
	// others are the other nodes that can be reached, and readers those of them that read the
	// log for proofs.
	others, readers []*peer
	// isReader is true if this node is a reader, of the rank.
	isReader bool
	rank     int
	// relays is true if other nodes wait for the proofs of this node.
	relays bool
}

func newProofs(settings nodeconfig.Config, clock bootClock, logClient *platform.LogClient, m *metrics.Metrics, events eventRecorder) (p *proofs) {
	p = &proofs{
		settings: settings, clock: clock, log: logClient, cursor: follow.NewCursor(logClient.WithReadTimeout(proofReadTimeout), platform.DesiredStateTopic), metrics: m, events: events,
		tracker: freshness.New(revocationTime(settings.Bounds), freshness.WithApply(applyTime(settings.Bounds))), renewed: make(chan struct{}),
	}
	p.bounds.Store(&settings.Bounds)
	return p
}

// reload applies changed bounds.
func (p *proofs) reload(bounds nodeconfig.Bounds) {
	p.bounds.Store(&bounds)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.SetBounds(revocationTime(bounds), applyTime(bounds))
}

// revocationTime returns the revocation time, or 0 if the deployment does not fail closed.
func revocationTime(bounds nodeconfig.Bounds) time.Duration {
	switch {
	case !bounds.FailClosed:
		return 0
	case bounds.Revoke <= 0:
		return defaultRevoke
	default:
		return bounds.Revoke
	}
}

// applyTime returns the time in which a version must take effect.
func applyTime(bounds nodeconfig.Bounds) time.Duration {
	if bounds.ConfigApply <= 0 {
		return defaultApply
	}
	return bounds.ConfigApply
}

// failsClosed reports whether requests with a key need a proof.
func (p *proofs) failsClosed() bool { return p.bounds.Load().FailClosed }

// guardsKeys reports whether requests are refused now for want of a proof.
func (p *proofs) guardsKeys() bool {
	state := p.desired.current()
	return p.failsClosed() && state != nil && state.HasWorkspaces()
}

// inUse reports whether this node states and renews its proof: once it has a desired state,
// and knows other nodes unless requests depend on the proof.
func (p *proofs) inUse() bool {
	return p.guardsKeys() || p.desired.current() != nil && p.watchers.isSettled()
}

// serves reports whether a request with a key that has been read may run.
func (p *proofs) serves() bool {
	if !p.failsClosed() {
		return true
	}
	// A log that was restored while this node started may have an older version than the
	// other nodes.
	if !p.exchange.hasAskedPeers() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The clock is read with the mutex held, so that the proof is not younger than the time.
	return p.tracker.Serves(p.clock())
}

// knowsVersions reports whether all versions are known that may be in force for longer than
// the time in which a version must take effect.
func (p *proofs) knowsVersions() bool {
	limit := applyTime(*p.bounds.Load())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failsClosed() {
		limit = min(limit, p.tracker.ServeLimit())
	}
	return p.tracker.YoungerThan(p.clock(), limit)
}

// proofAge is the age of a proof, if it is known.
type proofAge struct {
	age   time.Duration
	known bool
}

// milliseconds returns the age, rounded up, or nil if it is unknown.
func (a proofAge) milliseconds() (age *int64) {
	if !a.known {
		return nil
	}
	ms := int64((a.age + time.Millisecond - 1) / time.Millisecond)
	return &ms
}

// proofAgeOf returns the age in milliseconds that another node has stated. A value that no
// node states counts as unknown.
func proofAgeOf(ms *int64) proofAge {
	if ms == nil || *ms < 0 || *ms > maxProofAge.Milliseconds() {
		return proofAge{}
	}
	return proofAge{time.Duration(*ms) * time.Millisecond, true}
}

func (m exchangeMessage) proofAge() proofAge { return proofAgeOf(m.ProofAgeMs) }

// statedAge returns the age of the proof for other nodes. It is unknown where the deployment
// needs no proofs.
func (p *proofs) statedAge() (a proofAge) {
	if !p.inUse() {
		return proofAge{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a.age, a.known = p.tracker.Age(p.clock())
	return a
}

// recordResponse records that another node has responded to a request that was sent at the
// time.
func (p *proofs) recordResponse(sentAt, held time.Duration, age proofAge, version int64) {
	if version > platform.MaxVersion {
		return
	}
	inForce := p.desired.version()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordAnnounced(version)
	if !age.known {
		return
	}
	p.recordRenewal(p.tracker.RecordResponse(freshness.Response{
		SentAt: sentAt, ReceivedAt: p.clock(), Held: held, Age: age.age, Version: version,
	}, inForce))
}

// recordRenewal wakes those that wait for the next proof. The mutex must be held.
func (p *proofs) recordRenewal(renewed bool) {
	if renewed {
		close(p.renewed)
		p.renewed = make(chan struct{})
	}
}

// Newest implements the reader of the topic that a follower uses.
func (p *proofs) Newest(ctx context.Context, topic string) (records []platform.Record, next platform.Position, err error) {
	sentAt := p.clock()
	records, next, err = p.log.Newest(ctx, topic)
	if err == nil {
		p.setTopicRead(freshness.Read{SentAt: sentAt, Era: next.Era, Complete: true})
	}
	return records, next, err
}

// Read implements the reader of the topic that a follower uses. A read that has waited proves
// only that there was nothing newer when it was sent, which is too long ago to be of use.
func (p *proofs) Read(ctx context.Context, topic string, from platform.Position, wait time.Duration) (records []platform.Record, next platform.Position, err error) {
	sentAt := p.clock()
	records, next, err = p.log.Read(ctx, topic, from, wait)
	if err == nil && next.Era == from.Era && next.Offset >= from.Offset {
		p.setTopicRead(freshness.Read{SentAt: sentAt, Era: next.Era, Complete: len(records) == 0 && next.Offset == from.Offset})
	}
	return records, next, err
}

func (p *proofs) setTopicRead(read freshness.Read) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.topicRead = read
}

// recordTopicRead records the read of the operator's topic after its records have been
// applied. highest is the highest version among them.
func (p *proofs) recordTopicRead(highest int64) {
	inForce := p.desired.version()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.topicRead.Version = highest
	p.recordRenewal(p.tracker.RecordRead(p.topicRead, inForce))
}

// start begins the schedule anew. It must be called before the first tick.
func (p *proofs) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	p.situation = freshness.Situation{LastAsk: now - time.Minute, LastRead: now, Jitter: rand.Float64()}
}

// tick renews the proof.
func (p *proofs) tick(ctx context.Context) {
	if p.inUse() {
		p.renew(ctx)
		return
	}
	// When all nodes start together, only the readers read once they know each other.
	p.start()
}

// renew starts the requests for a proof that are due.
func (p *proofs) renew(ctx context.Context) {
	if time.Since(p.roles.determinedAt) >= rolesInterval {
		p.roles = p.determineRoles()
	}
	roles := p.roles
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	p.situation.Reader, p.situation.Rank, p.situation.Peers = roles.isReader, roles.rank, len(roles.others)
	ask, read := p.tracker.Due(now, p.situation)
	if ask && p.asking < maxProofAsks {
		p.asking++
		p.situation.LastAsk, p.situation.Jitter = now, rand.Float64()
		go p.ask(ctx, roles.others[rand.IntN(len(roles.others))])
	}
	if read && (p.reading == 0 || p.reading < maxProofReads && now-p.situation.LastRead >= lateReadTime) {
		p.reading++
		p.situation.LastRead, p.situation.Jitter = now, rand.Float64()
		if !roles.isReader {
			p.recordOverdue(now)
		}
		go p.readLog(ctx)
	}
	if roles.relays && len(roles.readers) > 0 && !p.polling {
		p.polling = true
		go p.poll(ctx, roles.readers[p.readerIndex%len(roles.readers)])
	}
	p.recordServing(now)
}

func (p *proofs) determineRoles() (r proofRoles) {
	r.determinedAt, r.others = time.Now(), p.balancer.reachablePeers("")
	for n, candidate := range p.balancer.firstReachable(proofReaders) {
		if candidate.node == p.settings.Node {
			r.isReader, r.rank = true, n
			continue
		}
		r.readers = append(r.readers, candidate)
	}
	r.relays = r.isReader || p.watchers.readsLog()
	return r
}

// recordOverdue records that no other node has passed on a recent proof. The mutex must be held.
func (p *proofs) recordOverdue(now time.Duration) {
	age, ok := p.tracker.Age(now)
	p.events.Record(event.ProofOverdue, attrMs("ageMs", age), slog.Bool("proven", ok), slog.Int("failedReads", p.situation.FailedReads),
		slog.Int64("version", p.desired.version()))
}

// recordServing records when requests with a key begin or cease to be refused. The mutex must
// be held.
func (p *proofs) recordServing(now time.Duration) {
	age, ok := p.tracker.Age(now)
	if ok {
		p.metrics.SetProofAge(age)
	}
	serving := p.tracker.Serves(now)
	if serving == p.serving || !p.guardsKeys() {
		return
	}
	p.serving = serving
	id := event.ProofMissing
	if serving {
		id = event.ProofRenewed
	}
	p.events.Record(id, attrMs("ageMs", age), slog.Bool("proven", ok), slog.Int64("version", p.desired.version()))
}

// ask requests the proof of another node.
func (p *proofs) ask(ctx context.Context, from *peer) {
	err := p.exchange.exchangeWith(ctx, from, false)
	if err != nil && ctx.Err() == nil {
		p.balancer.markUnreachable(from, err.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asking--
	p.situation.PeersAnswer = err == nil
}

// poll waits for the next proof of a reader.
func (p *proofs) poll(ctx context.Context, reader *peer) {
	before := p.nextRenewal()
	message := p.exchange.ownMessage()
	message.WaitMs, message.ProofOnly = maxChangeWait.Milliseconds(), true
	_, err := p.exchange.send(ctx, reader, message)
	if err != nil && ctx.Err() == nil {
		p.balancer.markUnreachable(reader, err.Error())
	}
	if err != nil || p.nextRenewal() == before {
		follow.Pause(ctx, proofPollPause)
		p.mu.Lock()
		p.readerIndex++
		p.mu.Unlock()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.polling = false
}

// nextRenewal returns a channel that is closed at the next renewal of the proof.
func (p *proofs) nextRenewal() (renewed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.renewed
}

// readLog reads the operator's topic without waiting, until there is nothing more.
func (p *proofs) readLog(ctx context.Context) {
	var err error
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reading--
		p.situation.FailedReads++
		if err == nil {
			p.situation.FailedReads = 0
		}
	}()
	more := true
	for n := 0; n < maxFurtherReads && more && err == nil; n++ {
		more, err = p.readOnce(ctx)
	}
}

// readOnce reads the versions since the last read. more is true if there may be further ones.
func (p *proofs) readOnce(ctx context.Context) (more bool, err error) {
	sentAt := p.clock()
	read, err := p.cursor.Read(ctx, sentAt)
	if err != nil {
		return false, err
	}
	highest := p.desired.applyAll(read.Records)
	inForce := p.desired.version()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordRenewal(p.tracker.RecordRead(freshness.Read{SentAt: sentAt, Era: read.Era, Version: highest, Complete: read.Complete}, inForce))
	return !read.Complete, nil
}

// helpful returns a channel that is closed once the proof of this node helps the sender of a
// message that waits here, or nil if that can't happen.
func (p *proofs) helpful(ctx context.Context, received exchangeMessage) <-chan struct{} {
	age := received.proofAge()
	if !p.inUse() || !age.known && !received.ProofOnly {
		return nil
	}
	if !age.known {
		age.age = revocationTime(*p.bounds.Load())
	}
	helps := make(chan struct{})
	startedAt := p.clock()
	go func() {
		for ctx.Err() == nil {
			p.mu.Lock()
			now, renewed := p.clock(), p.renewed
			ok, after := p.tracker.Helps(now, age.age+now-startedAt, received.ProofOnly)
			p.mu.Unlock()
			if ok {
				close(helps)
				return
			}
			var due <-chan time.Time
			if after > 0 {
				due = time.After(after)
			}
			select {
			case <-renewed:
			case <-due:
			case <-ctx.Done():
			}
		}
	}()
	return helps
}
