package membership

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/event"
)

const (
	stream = "membership"

	// The restart of an availability zone with 220 nodes appends 44 records a
	// second.
	joinSpread  = 5 * time.Second
	leaveSpread = 500 * time.Millisecond
	// With 1,100 nodes two reads a second reach the log.
	readInterval = 10 * time.Minute
	// A node that knows no other reads more often.
	aloneInterval   = 10 * time.Second
	firstRetry      = time.Second
	lastRetry       = time.Minute
	journalTimeout  = 5 * time.Second
	recordsRead     = 500
	maxRecordBytes  = 4 << 10
	joinedAddresses = 32
)

// presenceKind says what a record in the log is about.
type presenceKind string

const (
	joinRecord  presenceKind = "join"
	leaveRecord presenceKind = "leave"
)

// presence is a record of the stream. It only says where a node may be found:
// entries come from the nodes.
type presence struct {
	Kind        presenceKind `json:"kind"`
	Node        string       `json:"node"`
	Incarnation uint64       `json:"incarnation,string"`
	Peer        string       `json:"peer"`
}

func parsePresence(data []byte) (p presence, err error) {
	defer func() { err = eris.Wrap(err, "membership record can't be read") }()
	if len(data) > maxRecordBytes {
		return p, fmt.Errorf("record has %d bytes, expected at most %d", len(data), maxRecordBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return p, err
	}
	if p.Kind != joinRecord && p.Kind != leaveRecord {
		return p, fmt.Errorf("kind is %q, expected %q or %q", p.Kind, joinRecord, leaveRecord)
	}
	return p, errors.Join(checkName("node", p.Node, true), checkAddress("peer", p.Peer, true))
}

// joins holds the nodes that joined last, oldest first.
type joins []presence

func (j *joins) add(p presence) {
	kept := (*j)[:0]
	for _, other := range *j {
		if other.Node != p.Node {
			kept = append(kept, other)
		}
	}
	if p.Kind == joinRecord {
		kept = append(kept, p)
	}
	*j = kept[max(0, len(kept)-joinedAddresses):]
}

func (j *joins) addresses() (addresses []string) {
	for _, p := range *j {
		addresses = append(addresses, p.Peer)
	}
	return addresses
}

// followLog writes the node's join and then reads those of others now and then.
func (g *Gossip) followLog(ctx context.Context) (err error) {
	if g.journal == nil {
		return nil
	}
	next := g.readLog(ctx, -1)
	if !sleep(ctx, g.upTo(joinSpread)) || !g.logJoin(ctx) {
		return nil
	}
	for {
		interval := readInterval
		if len(g.pick(1)) == 0 {
			interval = aloneInterval
		}
		if !sleep(ctx, g.jitter(interval)) {
			return nil
		}
		next = g.readLog(ctx, next)
	}
}

// logJoin appends the join until it succeeds or the context ends. A second
// record of the same join does no harm.
func (g *Gossip) logJoin(ctx context.Context) (done bool) {
	for wait := firstRetry; ; wait = min(2*wait, lastRetry) {
		err := g.appendPresence(ctx, joinRecord)
		if err == nil {
			return true
		}
		g.recorder.Record(event.LogUnavailable, slog.String("stream", stream), slog.Any("error", err))
		if !sleep(ctx, wait/2+g.upTo(wait)) {
			return false
		}
	}
}

func (g *Gossip) logLeave(ctx context.Context) (err error) {
	if g.journal == nil {
		return errors.New("no log is configured")
	}
	if !sleep(ctx, g.upTo(leaveSpread)) {
		return ctx.Err()
	}
	return g.appendPresence(ctx, leaveRecord)
}

func (g *Gossip) appendPresence(ctx context.Context, kind presenceKind) (err error) {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	data, err := json.Marshal(presence{kind, g.self.Node, g.self.Incarnation, g.self.Peer})
	if err != nil {
		return err
	}
	_, err = g.journal.Append(ctx, stream, data)
	return err
}

// readLog reads the latest joins from the offset on and returns the next
// offset. A negative offset stands for the end of the stream.
func (g *Gossip) readLog(ctx context.Context, from int64) (next int64) {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	end, err := g.journal.Read(ctx, stream, max(0, from), 1, 0)
	if err != nil {
		return from
	}
	start := max(from, end.Oldest, end.Next-recordsRead)
	page, err := g.journal.Read(ctx, stream, start, recordsRead, 0)
	if err != nil {
		return from
	}
	g.takeJoins(page)
	return start + int64(len(page.Records))
}

func (g *Gossip) takeJoins(page appendlog.Page) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range page.Records {
		// Records that can't be read come from a fault elsewhere and are of no
		// use here; other nodes are found without them.
		if p, err := parsePresence(r.Data); err == nil && p.Node != g.self.Node {
			g.joined.add(p)
		}
	}
}
