package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/platform"
)

const (
	// Topic is the log topic of the records of all nodes. The key of a record is the
	// name of its node.
	Topic = "keyed.nodes"

	// batchPause is the pause after a read that returned records, and
	// largeBatchPause is the pause after a read that returned largeBatchRecords or
	// more. Without the pauses, each record would wake each reading node once when all
	// nodes start together.
	batchPause        = 400 * time.Millisecond
	largeBatchPause   = 1200 * time.Millisecond
	largeBatchRecords = 4
	// firstReadWait is how long a write waits for the first read of the log.
	firstReadWait = 500 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed write.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = 1200 * time.Millisecond
	// After the log was restored, all nodes write their records again. The writes are
	// spread over rewriteSpreadPerNode for each node, because the log service limits the
	// writes of all nodes together, and over minRewriteSpread at least.
	rewriteSpreadPerNode = 3 * time.Millisecond
	minRewriteSpread     = 300 * time.Millisecond
	// fencedEpochStep is added to an epoch that the log service has rejected as
	// outdated. This happens after the system clock has been set back. The step doubles
	// with each further rejection.
	fencedEpochStep = int64(time.Minute / time.Millisecond)
	// maxFencedWrites is the number of rejections after which a node writes under another
	// producer name, because a foreign writer may have used the name with an epoch that
	// can't be exceeded.
	maxFencedWrites = 6
)

// logClient is the part of the platform's log service that the directory uses.
type logClient interface {
	Newest(ctx context.Context, topic string) (records []platform.Record, next platform.Position, err error)
	Read(ctx context.Context, topic string, from platform.Position, wait time.Duration) (records []platform.Record, next platform.Position, err error)
	Put(ctx context.Context, topic, producer string, epoch int64, key string, value []byte) (era int64, err error)
}

// eventRecorder records events in the node's log output and timeline.
type eventRecorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// Directory keeps a table up to date with the log service and publishes the record
// of the local node.
type Directory struct {
	table  *Table
	log    logClient
	events eventRecorder
	// onChange is called after the table has changed.
	onChange func()
	// onPublishError is called when publishing the local node's record has failed.
	onPublishError func()
	// readsLog reports whether this node reads the log itself.
	readsLog func() bool

	mu sync.Mutex
	// self is the record of the local node. Its epoch is 0 until the first update.
	self Member
	// firstEpoch is the epoch of the first update, and earlier the newest known record of
	// the local node that an earlier process wrote.
	firstEpoch int64
	earlier    Member
	// seenInLog is true once the log had a record of the local node, and seenEra is the era of
	// the log then.
	seenInLog      bool
	seenEra        int64
	publishedEpoch int64
	// publishedEra is the era of the log that has the record with publishedEpoch.
	publishedEra int64
	copies       copies
	// fencedWrites counts the writes rejected as outdated since the last accepted one, and
	// producers the producer names given up.
	fencedWrites, producers int
	wake                    chan struct{}
	// loaded is closed after the log has been read completely for the first time.
	loaded   chan struct{}
	loadOnce sync.Once
	follower *follow.Follower
	era      *follow.EraTracker
}

// Option configures a new directory.
type Option func(*Directory)

// WithEra sets the tracker of the era of the log, which other users of the log share.
func WithEra(era *follow.EraTracker) Option { return func(d *Directory) { d.era = era } }

// NewDirectory returns a directory for the local node, which self describes.
func NewDirectory(self Member, table *Table, log logClient, events eventRecorder, onChange func(), opts ...Option) *Directory {
	d := &Directory{
		table: table, log: log, events: events, onChange: onChange, onPublishError: func() {}, readsLog: func() bool { return true },
		self: self, wake: make(chan struct{}, 1), loaded: make(chan struct{}),
		era: follow.NewEraTracker(), copies: newCopies(),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.follower = follow.New(log, Topic, events, d.applyRecords, follow.WithPauseAfterRead(pauseAfterRead), follow.WithEra(d.era),
		follow.WithEnabled(func() bool { return d.readsLog() }))
	return d
}

// Table returns the table that the directory keeps up to date.
func (d *Directory) Table() *Table { return d.table }

// Loaded returns a channel that is closed once the log has been read for the first
// time.
func (d *Directory) Loaded() <-chan struct{} { return d.loaded }

// OnPublishError sets the function that is called when publishing the local node's
// record to the log has failed, so that the record can be sent directly to the other
// nodes.
func (d *Directory) OnPublishError(callback func()) { d.onPublishError = callback }

// SetReadsLog sets the function that decides whether this node reads the log itself. A
// node that doesn't must receive changes from other nodes and pass them to
// [Directory.Merge]. SetReadsLog must be called before [Directory.Run].
func (d *Directory) SetReadsLog(readsLog func() bool) { d.readsLog = readsLog }

// Self returns the record of the local node.
func (d *Directory) Self() Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

// Earlier returns the newest known record of the local node that an earlier process wrote,
// or an empty one.
func (d *Directory) Earlier() Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.earlier
}

// IsFirstProcess reports whether the log has been read and neither it nor another node has a
// record of the local node, not even an unreadable one. It must be called before the first
// update.
func (d *Directory) IsFirstProcess() bool {
	select {
	case <-d.loaded:
	default:
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.earlier.Epoch == 0 && !d.seenInLog
}

// IsRecorded reports whether the log has a record of the local node, of any time, so that each
// later process knows that it has had an earlier one.
func (d *Directory) IsRecorded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost, _ := d.era.Since(max(d.seenEra, d.publishedEra))
	return (d.seenInLog || d.publishedEpoch > 0) && !lost
}

// LogReachable reports whether the last read of the log succeeded. See
// [follow.Follower.LogReachable].
func (d *Directory) LogReachable() bool { return d.follower.LogReachable() }

// Update changes the record of the local node and schedules its publication.
func (d *Directory) Update(change func(m *Member)) {
	d.mu.Lock()
	before := d.self
	change(&d.self)
	unchanged := d.self == before
	if !unchanged {
		d.raiseEpoch()
	}
	self := d.self
	d.mu.Unlock()
	if unchanged {
		return
	}
	d.table.Apply(self)
	d.onChange()
	d.wakePublisher()
}

// wakePublisher wakes the loop that publishes the local node's record.
func (d *Directory) wakePublisher() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// raiseEpoch sets the epoch of the local node's record above every epoch known for
// this node.
func (d *Directory) raiseEpoch() {
	known := d.self.Epoch
	if stored, ok := d.table.Get(d.self.Node); ok {
		known = max(known, stored.Epoch)
	}
	d.self.Epoch = max(known+1, time.Now().UnixMilli())
	if d.firstEpoch == 0 {
		d.firstEpoch = d.self.Epoch
	}
}

// Merge applies records that were received from another node. Invalid records are
// ignored.
func (d *Directory) Merge(members ...Member) {
	changed := false
	for _, m := range members {
		if m.Check() != nil {
			continue
		}
		changed = d.apply(m) || changed
	}
	if changed {
		d.onChange()
	}
}

// apply applies a record to the table. A newer record of the local node was written
// by an earlier process of the node, and is replaced by a record with a higher
// epoch.
func (d *Directory) apply(m Member) (changed bool) {
	d.mu.Lock()
	ownName := d.self.Node
	outdated := d.self.Epoch > 0 && m.Outdates(d.self)
	if m.Node == ownName && (d.firstEpoch == 0 || outdated || m.Epoch < d.firstEpoch) && m.Epoch > d.earlier.Epoch {
		d.earlier = m
	}
	d.mu.Unlock()
	if m.Node != ownName {
		return d.table.Apply(m)
	}
	if outdated {
		d.mu.Lock()
		d.self.Epoch = max(m.Epoch, d.self.Epoch) + 1
		self := d.self
		d.mu.Unlock()
		changed = d.table.Apply(self)
		d.wakePublisher()
		return changed
	}
	return d.table.Apply(m)
}

// Run follows the log and publishes the local node's record until the context ends.
func (d *Directory) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { d.follower.Run(ctx) })
	loops.Go(func() { d.publishLoop(ctx) })
	loops.Wait()
}

// pauseAfterRead returns the pause after a read that returned the number of
// records.
func pauseAfterRead(records int) time.Duration {
	switch {
	case records >= largeBatchRecords:
		return largeBatchPause
	case records > 0:
		return batchPause
	default:
		return 0
	}
}

// decodeRecord decodes a record of the log, whose key is the name of its node.
func decodeRecord(record platform.Record) (m Member, err error) {
	m, err = DecodeMember(record.Value)
	if err == nil && m.Node != record.Key {
		err = eris.Errorf("expected the record of node %q, got that of %q", record.Key, m.Node)
	}
	return m, err
}

func (d *Directory) applyRecords(records []platform.Record) {
	changed, ownOverwritten, ownName := false, false, d.Self().Node
	for _, record := range records {
		if record.Value == nil {
			changed = d.table.Drop(record.Key) || changed
			continue
		}
		m, err := decodeRecord(record)
		if record.Key == ownName {
			ownOverwritten = err != nil
			d.recordSeen()
		}
		if err != nil {
			d.events.Record(event.MemberUnreadable, slog.String("key", record.Key),
				slog.Int64("offset", record.Offset), slog.String("error", err.Error()))
			continue
		}
		if d.apply(m) {
			changed = true
			d.events.Record(event.MemberChanged, slog.String("peer", m.Node), slog.String("service", m.Service),
				slog.String("instance", m.Instance), slog.Bool("takesWork", m.TakesWork),
				slog.Int64("epoch", m.Epoch), slog.Int64("offset", record.Offset))
		}
	}
	if ownOverwritten && d.Self().Epoch > 0 {
		d.Update(func(m *Member) { m.Epoch++ })
		d.events.Record(event.MemberOverwritten, slog.Int64("epoch", d.Self().Epoch))
	}
	if changed {
		d.onChange()
	}
	d.loadOnce.Do(func() { close(d.loaded) })
}

// recordSeen records that the log has a record of the local node.
func (d *Directory) recordSeen() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seenInLog, d.seenEra = true, d.era.Known()
}

// publication is the state of the local node's record in the log.
type publication int

const (
	// published means that the log has the record.
	published publication = iota
	// pending means that the record has changed since it was published.
	pending
	// lost means that the log was restored after it had acknowledged the record.
	lost
)

func (d *Directory) publishLoop(ctx context.Context) {
	backoff := follow.NewBackoff(minRetryPause, maxRetryPause)
	notifiedEpoch, pausedEra := int64(0), int64(0)
	for ctx.Err() == nil {
		self, state, eraRisen := d.publication()
		if state == published {
			select {
			case <-ctx.Done():
			case <-d.wake:
			case <-eraRisen:
			}
			continue
		}
		if known := d.era.Known(); state == lost && pausedEra < known {
			pausedEra = known
			d.pauseUntilUpdate(ctx, rand.N(max(minRewriteSpread, time.Duration(d.table.Len())*rewriteSpreadPerNode)))
			continue
		}
		if err := d.publish(ctx, self); err != nil {
			// The other nodes have a record that was published before.
			if state == pending && notifiedEpoch != self.Epoch {
				notifiedEpoch = self.Epoch
				d.onPublishError()
			}
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
	}
}

// pauseUntilUpdate waits until the duration has elapsed, the local node's record is
// updated, or the context ends.
func (d *Directory) pauseUntilUpdate(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.wake:
	case <-ctx.Done():
	}
}

// publication returns the local node's record, its state in the log, and a channel that
// is closed when the era of the log rises.
func (d *Directory) publication() (self Member, state publication, eraRisen <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	higher, eraRisen := d.era.Since(d.publishedEra)
	switch {
	case d.self.Epoch > d.publishedEpoch:
		state = pending
	case higher && d.publishedEpoch > 0:
		state = lost
	}
	return d.self, state, eraRisen
}

// errNotRead means that the log has not been read yet. A write could replace the record of an
// earlier process before this one knows it.
var errNotRead = errors.New("the log has not been read yet")

// errEarlierEra means that a write was acknowledged before the log was restored.
var errEarlierEra = errors.New("the record was written to an earlier era of the log")

// awaitLoaded waits for the first read of the log, for firstReadWait at most.
func (d *Directory) awaitLoaded(ctx context.Context) (loaded bool) {
	timer := time.NewTimer(firstReadWait)
	defer timer.Stop()
	select {
	case <-d.loaded:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (d *Directory) publish(ctx context.Context, self Member) (err error) {
	if !d.awaitLoaded(ctx) {
		return errNotRead
	}
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	known := d.era.Known()
	era, err := d.log.Put(ctx, Topic, d.producer(), self.Epoch, self.Node, value)
	// The era never falls. If the log states a lower one than was known before the write,
	// the known era is not the log's.
	era = max(era, known)
	d.events.Record(event.MemberPublished, slog.Int64("epoch", self.Epoch), slog.String("instance", self.Instance),
		slog.Bool("takesWork", self.TakesWork), slog.Int64("era", era), slog.Any("error", err))
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil && self.Epoch >= d.publishedEpoch:
		d.publishedEpoch, d.publishedEra, d.fencedWrites = self.Epoch, era, 0
		if era < d.era.Known() {
			return errEarlierEra
		}
		d.copies.notify()
	case errors.Is(err, platform.ErrFenced) && d.self.Epoch == self.Epoch:
		// An earlier process of this node has written a record with a higher epoch,
		// before the system clock was set back, or a foreign writer has used the name.
		d.self.Epoch += fencedEpochStep << d.fencedWrites
		d.table.Apply(d.self)
		if d.fencedWrites++; d.fencedWrites == maxFencedWrites {
			d.fencedWrites, d.producers = 0, d.producers+1
			d.events.Record(event.ProducerReplaced, slog.String("producer", d.producerName()))
		}
	}
	return err
}

func (d *Directory) producer() (name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.producerName()
}

// producerName returns the name under which the record is written. The mutex must be held.
func (d *Directory) producerName() (name string) {
	if d.producers == 0 {
		return d.self.Node
	}
	return fmt.Sprintf("%s#%d", d.self.Node, d.producers+1)
}
