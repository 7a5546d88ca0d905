package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/platform"
)

// cursorLifetime is how long after a read the next one continues there. Afterwards, the newest
// records are read, since there may be many in between.
const cursorLifetime = time.Minute

// Cursor reads a keyed topic of the log when asked to, without waiting, from where its last
// read ended. It is safe for concurrent use.
type Cursor struct {
	log   logReader
	topic string

	mu sync.Mutex
	// position continues the read that was sent last, at the time sentAt.
	position platform.Position
	sentAt   time.Duration
}

// NewCursor returns a cursor whose first read returns the newest record of each key.
func NewCursor(log logReader, topic string) *Cursor { return &Cursor{log: log, topic: topic} }

// CursorRead is the result of a read.
type CursorRead struct {
	Records []platform.Record
	// Era is the era of the log.
	Era int64
	// Complete is true if the log had no other record when it received the read.
	Complete bool
}

// Read reads the records since the last read. now is the time on any clock that is the same
// for all reads. If the log has deleted records or was restored, the result is empty and
// incomplete, and the next read returns the newest record of each key.
func (c *Cursor) Read(ctx context.Context, now time.Duration) (r CursorRead, err error) {
	c.mu.Lock()
	from := c.position
	known := from != platform.Position{} && now-c.sentAt < cursorLifetime
	c.mu.Unlock()
	var next platform.Position
	if known {
		r.Records, next, err = c.log.Read(ctx, c.topic, from, 0)
	} else {
		r.Records, next, err = c.log.Newest(ctx, c.topic)
	}
	if errors.Is(err, platform.ErrTrimmed) || err == nil && known && (next.Era != from.Era || next.Offset < from.Offset) {
		c.forget(from)
		return CursorRead{}, nil
	}
	if err != nil {
		return CursorRead{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now > c.sentAt {
		c.position, c.sentAt = next, now
	}
	r.Era, r.Complete = next.Era, !known || next.Offset == from.Offset
	return r, nil
}

// forget makes the next read one of the newest records, unless another one has continued.
func (c *Cursor) forget(position platform.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.position == position {
		c.position = platform.Position{}
	}
}
