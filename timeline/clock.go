// Package timeline records numbered events and puts the events of many
// processes into one order.
//
// # Usage
//
// A process has one [Clock], which it takes along on calls and exchanges, and
// one [Recorder]:
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
	// MaxForwardJump bounds how far a received stamp may move the clock ahead
	// of the local wall clock, so that one machine with a wrong clock does not
	// move the clocks of all others.
	MaxForwardJump = 10 * time.Second

	counterBits = 16
	maxCounter  = 1<<counterBits - 1
	maxWall     = 1<<(64-counterBits) - 1
)

// Stamp is a reading of a hybrid logical clock. The stamp of an event is
// greater than the stamps of all events that it can have been caused by.
type Stamp struct {
	wall    int64
	counter uint16
}

// StampAt returns the first stamp of the millisecond that t lies in.
func StampAt(t time.Time) Stamp {
	return Stamp{wall: min(max(t.UnixMilli(), 0), maxWall)}
}

// Time returns the wall clock part.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.wall).UTC() }

// Counter returns the place among the stamps of the same millisecond.
func (s Stamp) Counter() int { return int(s.counter) }

// IsZero reports whether the stamp is the zero value, which precedes all
// others.
func (s Stamp) IsZero() bool { return s == Stamp{} }

// Compare orders stamps.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.wall, other.wall), cmp.Compare(s.counter, other.counter))
}

// String returns the text form used in headers: wall clock milliseconds and
// counter, separated by a point.
func (s Stamp) String() string {
	return strconv.FormatInt(s.wall, 10) + "." + strconv.Itoa(int(s.counter))
}

// ParseStamp is the inverse of [Stamp.String].
func ParseStamp(text string) (s Stamp, err error) {
	before, after, found := strings.Cut(text, ".")
	wall, wallErr := strconv.ParseUint(before, 10, 64-counterBits)
	counter, counterErr := strconv.ParseUint(after, 10, counterBits)
	if !found || wallErr != nil || counterErr != nil {
		return Stamp{}, fmt.Errorf("clock %q is not MILLISECONDS.COUNTER", text)
	}
	return Stamp{wall: int64(wall), counter: uint16(counter)}, nil
}

// MarshalText implements [encoding.TextMarshaler].
func (s Stamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (s *Stamp) UnmarshalText(text []byte) (err error) {
	*s, err = ParseStamp(string(text))
	return err
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	// last packs the latest stamp into one word, so that one atomic operation
	// moves the clock. A counter that overflows carries into the milliseconds.
	last atomic.Uint64
}

// NewClock returns a clock that starts at the wall clock.
func NewClock() *Clock { return &Clock{} }

// Now returns a stamp greater than all that the clock returned or observed.
func (c *Clock) Now() Stamp {
	wall := pack(StampAt(time.Now()))
	for {
		last := c.last.Load()
		next := max(last+1, wall)
		if c.last.CompareAndSwap(last, next) {
			return unpack(next)
		}
	}
}

// Observe moves the clock past a stamp received from another process. A stamp
// further ahead of the wall clock than [MaxForwardJump] is an error and leaves
// the clock as it is.
func (c *Clock) Observe(received Stamp) (err error) {
	now := time.Now()
	if ahead := received.Time().Sub(now); ahead > MaxForwardJump {
		return fmt.Errorf("received clock %s is %s ahead of the local clock, more than %s",
			received, ahead.Round(time.Millisecond), MaxForwardJump)
	}
	stamp := pack(received)
	for {
		last := c.last.Load()
		if stamp <= last || c.last.CompareAndSwap(last, stamp) {
			return nil
		}
	}
}

// ObserveText is [Clock.Observe] for the text form. An empty text, as from a
// sender without a clock, is ignored.
func (c *Clock) ObserveText(text string) (err error) {
	if text == "" {
		return nil
	}
	received, err := ParseStamp(text)
	if err != nil {
		return err
	}
	return c.Observe(received)
}

func pack(s Stamp) uint64 { return uint64(s.wall)<<counterBits | uint64(s.counter) }

func unpack(packed uint64) Stamp {
	return Stamp{wall: int64(packed >> counterBits), counter: uint16(packed & maxCounter)}
}
