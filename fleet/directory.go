package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/platform"
)

const (
	// Topic holds the newest record of each node under its name.
	Topic = "keyed.nodes"

	// gatherTime is the pause after a read with records, and gatherMany that after
	// one with manyRecords or more. In a start of all nodes each record would
	// otherwise wake each node once.
	gatherTime  = 400 * time.Millisecond
	gatherMany  = 1200 * time.Millisecond
	manyRecords = 4
	// minRetryTime and maxRetryTime bound the pause after a failed write.
	minRetryTime = 150 * time.Millisecond
	maxRetryTime = 1200 * time.Millisecond
	// fencedStep is added to an epoch that the log has seen exceeded, which
	// happens after the time of day has jumped back.
	fencedStep = int64(time.Minute / time.Millisecond)
)

// store is what the directory needs of the platform's log.
type store interface {
	Newest(ctx context.Context, topic string) (records []platform.Record, next int64, err error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (records []platform.Record, next int64, err error)
	Put(ctx context.Context, topic, producer string, epoch int64, key string, value []byte) error
}

// recorder takes events for the log.
type recorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// Directory keeps a table up to date and publishes the record of its own node.
type Directory struct {
	table  *Table
	store  store
	events recorder
	// changed is called after records have been taken in.
	changed func()
	// unpublished is called when the log has not taken the own record.
	unpublished func()
	// duty reports whether this node reads the log itself.
	duty func() bool

	mu sync.Mutex
	// own is the record of this node. Its epoch is 0 until the first one.
	own       Member
	published int64
	wake      chan struct{}
	// loaded is closed after the first complete read of the log.
	loaded   chan struct{}
	loadOnce sync.Once
	follower *follow.Follower
}

// NewDirectory returns the directory of the node that own describes.
func NewDirectory(own Member, table *Table, s store, events recorder, changed func()) *Directory {
	d := &Directory{
		table: table, store: s, events: events, changed: changed, unpublished: func() {}, duty: func() bool { return true },
		own: own, wake: make(chan struct{}, 1), loaded: make(chan struct{}),
	}
	d.follower = follow.New(s, Topic, events, d.takeRecords, follow.WithGather(gather),
		follow.WithDuty(func() bool { return d.duty() }))
	return d
}

// Table returns the table that the directory keeps.
func (d *Directory) Table() *Table { return d.table }

// Loaded is closed once the log has been read for the first time.
func (d *Directory) Loaded() <-chan struct{} { return d.loaded }

// OnUnpublished sets what is called when the log has not taken the own record,
// so that other nodes can hear of it in another way.
func (d *Directory) OnUnpublished(call func()) { d.unpublished = call }

// OnDuty sets what decides whether this node reads the log itself. A node that
// does not has to hear of changes from others, through [Directory.Merge]. It is
// called before [Directory.Run].
func (d *Directory) OnDuty(duty func() bool) { d.duty = duty }

// Own returns the record of this node.
func (d *Directory) Own() Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own
}

// Reachable reports whether the last read of the log succeeded.
func (d *Directory) Reachable() bool { return d.follower.Reachable() }

// Update changes the record of this node; the new one is published soon.
func (d *Directory) Update(change func(m *Member)) {
	d.mu.Lock()
	before := d.own
	change(&d.own)
	same := d.own == before
	if !same {
		d.raise()
	}
	own := d.own
	d.mu.Unlock()
	if same {
		return
	}
	d.table.Apply(own)
	d.changed()
	d.publishSoon()
}

// publishSoon wakes the loop that writes the own record.
func (d *Directory) publishSoon() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// raise gives the own record a higher epoch than any known one of this node.
func (d *Directory) raise() {
	floor := d.own.Epoch
	if known, ok := d.table.Get(d.own.Node); ok {
		floor = max(floor, known.Epoch)
	}
	d.own.Epoch = max(floor+1, time.Now().UnixMilli())
}

// Merge takes records of another node in.
func (d *Directory) Merge(members ...Member) {
	changed := false
	for _, m := range members {
		if m.Check() != nil {
			continue
		}
		changed = d.take(m) || changed
	}
	if changed {
		d.changed()
	}
}

// take applies a record. A newer record of this node itself comes from an
// earlier process, and is replaced.
func (d *Directory) take(m Member) (changed bool) {
	d.mu.Lock()
	self := d.own.Node
	outdated := m.Node == self && d.own.Epoch > 0 && m.Epoch >= d.own.Epoch && m != d.own
	d.mu.Unlock()
	if m.Node != self {
		return d.table.Apply(m)
	}
	if outdated {
		d.mu.Lock()
		d.own.Epoch = max(m.Epoch, d.own.Epoch) + 1
		own := d.own
		d.mu.Unlock()
		changed = d.table.Apply(own)
		d.publishSoon()
		return changed
	}
	return d.table.Apply(m)
}

// Run follows the log and publishes the own record until the context ends.
func (d *Directory) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { d.follower.Run(ctx) })
	loops.Go(func() { d.publishChanges(ctx) })
	loops.Wait()
}

// gather returns the pause after a read.
func gather(records int) time.Duration {
	switch {
	case records >= manyRecords:
		return gatherMany
	case records > 0:
		return gatherTime
	default:
		return 0
	}
}

func (d *Directory) takeRecords(records []platform.Record) {
	changed := false
	for _, record := range records {
		if record.Value == nil {
			changed = d.table.Drop(record.Key) || changed
			continue
		}
		m, err := DecodeMember(record.Value)
		if err != nil {
			d.events.Record(event.MemberUnreadable, slog.String("key", record.Key),
				slog.Int64("offset", record.Offset), slog.String("error", err.Error()))
			continue
		}
		if d.take(m) {
			changed = true
			d.events.Record(event.MemberChanged, slog.String("peer", m.Node), slog.String("service", m.Service),
				slog.String("instance", m.Instance), slog.Bool("takesWork", m.TakesWork),
				slog.Int64("epoch", m.Epoch), slog.Int64("offset", record.Offset))
		}
	}
	if changed {
		d.changed()
	}
	d.loadOnce.Do(func() { close(d.loaded) })
}

func (d *Directory) publishChanges(ctx context.Context) {
	pause, told := follow.NewBackoff(minRetryTime, maxRetryTime), int64(0)
	for ctx.Err() == nil {
		own, due := d.duePublication()
		if !due {
			select {
			case <-ctx.Done():
			case <-d.wake:
			}
			continue
		}
		if err := d.publish(ctx, own); err != nil {
			if told != own.Epoch {
				told = own.Epoch
				d.unpublished()
			}
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
	}
}

func (d *Directory) duePublication() (own Member, due bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own, d.own.Epoch > d.published
}

func (d *Directory) publish(ctx context.Context, own Member) (err error) {
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	err = d.store.Put(ctx, Topic, own.Node, own.Epoch, own.Node, value)
	d.events.Record(event.MemberPublished, slog.Int64("epoch", own.Epoch), slog.String("instance", own.Instance),
		slog.Bool("takesWork", own.TakesWork), slog.Any("error", err))
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.published = max(d.published, own.Epoch)
	case errors.Is(err, platform.ErrFenced) && d.own.Epoch == own.Epoch:
		// An earlier process of this node wrote under a higher epoch, before the
		// time of day jumped back.
		d.own.Epoch += fencedStep
		d.table.Apply(d.own)
	}
	return err
}
