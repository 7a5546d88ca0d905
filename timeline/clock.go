// Package timeline records the events of a process and merges the events of many
// processes in causal order.
//
// # Usage
//
// A process has one [Clock], whose timestamps it sends with calls and membership
// exchanges, and one [Recorder]:
//
//	clock := timeline.NewClock()
//	recorder := timeline.NewRecorder("orders-1", timeline.WithClock(clock), timeline.WithLogger(logger))
//	recorder.Record(event.CallRetried, slog.String(timeline.KeyRequest, string(request)))
//
//	outgoing.Header.Set(call.HeaderClock, clock.Now().String())
//	clock.ObserveText(incoming.Header.Get(call.HeaderClock))
//
// An operator reads the events of several nodes and merges them:
//
//	page, err := timeline.Fetch(ctx, client, "10.0.0.1:7104", timeline.Filter{Request: id})
//	events := timeline.Merge(page.Events, other.Events)
//	err = timeline.WriteText(os.Stdout, events)
package timeline

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// MaxForwardJump bounds how far a received timestamp may advance the clock
	// beyond the local wall clock, so that one machine with a wrong wall clock
	// does not advance the clocks of all other machines.
	MaxForwardJump = 10 * time.Second

	counterBits = 16
	maxCounter  = 1<<counterBits - 1
	maxWall     = 1<<(64-counterBits) - 1
)

// Timestamp is a timestamp of a hybrid logical clock. The timestamp of an event is
// greater than those of all events that can have caused it.
type Timestamp struct {
	wall    int64
	counter uint16
}

// TimestampAt returns the first timestamp of the millisecond that contains t.
func TimestampAt(t time.Time) Timestamp {
	return Timestamp{wall: min(max(t.UnixMilli(), 0), maxWall)}
}

// Time returns the wall clock part in UTC.
func (s Timestamp) Time() time.Time { return time.UnixMilli(s.wall).UTC() }

// Counter returns the logical part, which orders timestamps of the same
// millisecond.
func (s Timestamp) Counter() int { return int(s.counter) }

// IsZero reports whether the timestamp is the zero value, which precedes all
// others.
func (s Timestamp) IsZero() bool { return s == Timestamp{} }

// Compare returns a negative number if s is before other, a positive number if s
// is after other, and 0 if they are equal.
func (s Timestamp) Compare(other Timestamp) int {
	return cmp.Or(cmp.Compare(s.wall, other.wall), cmp.Compare(s.counter, other.counter))
}

// String returns the text form used in headers: wall clock milliseconds and
// counter, separated by a dot.
func (s Timestamp) String() string {
	return strconv.FormatInt(s.wall, 10) + "." + strconv.Itoa(int(s.counter))
}

// ParseTimestamp is the inverse of [Timestamp.String].
func ParseTimestamp(text string) (s Timestamp, err error) {
	wallText, counterText, found := strings.Cut(text, ".")
	wall, wallErr := strconv.ParseUint(wallText, 10, 64-counterBits)
	counter, counterErr := strconv.ParseUint(counterText, 10, counterBits)
	if !found || wallErr != nil || counterErr != nil {
		return Timestamp{}, fmt.Errorf("timestamp %q does not have the form MILLISECONDS.COUNTER", text)
	}
	return Timestamp{wall: int64(wall), counter: uint16(counter)}, nil
}

// MarshalText implements [encoding.TextMarshaler].
func (s Timestamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (s *Timestamp) UnmarshalText(text []byte) (err error) {
	*s, err = ParseTimestamp(string(text))
	return err
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	// last holds the last timestamp in one word, so that the clock is advanced by
	// one atomic operation. If the counter overflows, it carries into the
	// milliseconds.
	last atomic.Uint64
}

// NewClock returns a clock that starts at the wall clock time.
func NewClock() *Clock { return &Clock{} }

// Now returns a timestamp greater than all that the clock has returned or observed.
func (c *Clock) Now() Timestamp {
	wall := pack(TimestampAt(time.Now()))
	for {
		last := c.last.Load()
		next := max(last+1, wall)
		if c.last.CompareAndSwap(last, next) {
			return unpack(next)
		}
	}
}

// Observe advances the clock to a timestamp received from another process, so that
// the next timestamp is greater. If the received timestamp is more than
// [MaxForwardJump] ahead of the wall clock, Observe returns an error and the clock
// does not change.
func (c *Clock) Observe(received Timestamp) (err error) {
	now := time.Now()
	if ahead := received.Time().Sub(now); ahead > MaxForwardJump {
		return fmt.Errorf("received timestamp %s is %s ahead of the local wall clock; expected at most %s",
			received, ahead.Round(time.Millisecond), MaxForwardJump)
	}
	observed := pack(received)
	for {
		last := c.last.Load()
		if observed <= last || c.last.CompareAndSwap(last, observed) {
			return nil
		}
	}
}

// ObserveText is [Clock.Observe] for the text form of a timestamp. An empty text is
// ignored, since the sender may have no clock.
func (c *Clock) ObserveText(text string) (err error) {
	if text == "" {
		return nil
	}
	received, err := ParseTimestamp(text)
	if err != nil {
		return err
	}
	return c.Observe(received)
}

func pack(s Timestamp) uint64 { return uint64(s.wall)<<counterBits | uint64(s.counter) }

func unpack(packed uint64) Timestamp {
	return Timestamp{wall: int64(packed >> counterBits), counter: uint16(packed & maxCounter)}
}
