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

	// joinSpread is the time over which nodes that start at once spread their joins. It
	// limits the restart of an availability zone with 220 nodes to 44 appends per
	// second.
	joinSpread  = 5 * time.Second
	leaveSpread = 500 * time.Millisecond
	// readInterval is the mean time between two reads of the log. With 1,100 nodes, the
	// log serves about two of these reads per second.
	readInterval = 10 * time.Minute
	// aloneReadInterval replaces readInterval while a node knows no other reachable
	// node.
	aloneReadInterval = 10 * time.Second
	minRetryInterval  = time.Second
	maxRetryInterval  = time.Minute
	journalTimeout    = 5 * time.Second
	maxRecordsPerRead = 500
	maxRecordBytes    = 4 << 10
	maxRecentJoins    = 32
)

// presenceKind is the kind of a record in the log.
type presenceKind string

const (
	joinRecord  presenceKind = "join"
	leaveRecord presenceKind = "leave"
)

// presence is a record of the stream. It only gives an address at which a node
// may be reached; entries are received from the nodes.
type presence struct {
	Kind        presenceKind `json:"kind"`
	Node        string       `json:"node"`
	Incarnation uint64       `json:"incarnation,string"`
	Peer        string       `json:"peer"`
}

func parsePresence(data []byte) (p presence, err error) {
	defer func() { err = eris.Wrap(err, "decode membership record") }()
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

// joinList holds the latest joins, oldest first.
type joinList []presence

func (j *joinList) add(p presence) {
	kept := (*j)[:0]
	for _, other := range *j {
		if other.Node != p.Node {
			kept = append(kept, other)
		}
	}
	if p.Kind == joinRecord {
		kept = append(kept, p)
	}
	*j = kept[max(0, len(kept)-maxRecentJoins):]
}

func (j *joinList) addresses() (addresses []string) {
	for _, p := range *j {
		addresses = append(addresses, p.Peer)
	}
	return addresses
}

// followLog appends the node's join and then reads the joins of other nodes
// periodically.
func (g *Gossip) followLog(ctx context.Context) (err error) {
	if g.journal == nil {
		return nil
	}
	next := g.readLog(ctx, -1)
	if !sleep(ctx, g.randomDuration(joinSpread)) || !g.logJoin(ctx) {
		return nil
	}
	for {
		interval := readInterval
		if len(g.pickReachable(1)) == 0 {
			interval = aloneReadInterval
		}
		if !sleep(ctx, g.jitter(interval)) {
			return nil
		}
		next = g.readLog(ctx, next)
	}
}

// logJoin retries appending the join until it succeeds or the context ends. A
// second record of the same join has no effect.
func (g *Gossip) logJoin(ctx context.Context) (done bool) {
	for wait := minRetryInterval; ; wait = min(2*wait, maxRetryInterval) {
		err := g.appendPresence(ctx, joinRecord)
		if err == nil {
			return true
		}
		g.recorder.Record(event.LogUnavailable, slog.String("stream", stream), slog.Any("error", err))
		if !sleep(ctx, wait/2+g.randomDuration(wait)) {
			return false
		}
	}
}

func (g *Gossip) logLeave(ctx context.Context) (err error) {
	if g.journal == nil {
		return errors.New("no log is configured")
	}
	if !sleep(ctx, g.randomDuration(leaveSpread)) {
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

// readLog reads the records from the offset on, at most the maxRecordsPerRead
// latest ones, and returns the next offset. A negative offset reads the latest
// records of the stream.
func (g *Gossip) readLog(ctx context.Context, from int64) (next int64) {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	end, err := g.journal.Read(ctx, stream, max(0, from), 1, 0)
	if err != nil {
		return from
	}
	start := max(from, end.Oldest, end.Next-maxRecordsPerRead)
	page, err := g.journal.Read(ctx, stream, start, maxRecordsPerRead, 0)
	if err != nil {
		return from
	}
	g.addJoins(page)
	return start + int64(len(page.Records))
}

func (g *Gossip) addJoins(page appendlog.Page) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range page.Records {
		// Invalid records result from a fault elsewhere and are ignored. Other
		// nodes can be found without them.
		if p, err := parsePresence(r.Data); err == nil && p.Node != g.self.Node {
			g.recentJoins.add(p)
		}
	}
}
