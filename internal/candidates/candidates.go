// Package candidates implements the three designs for at-most-once execution that
// docs/notes/at-most-once.md compares: a claim in the log for each booking, key
// ranges owned by lease, and issued keys.
//
// # Usage
//
// Each design decides whether a booking may run. [Measure] sends bookings to one of
// them; to measure an outage of the log, use a log whose requests fail:
//
//	log := matrix.NewLog(20*time.Millisecond, nil)
//	stats := candidates.Measure(candidates.NewLogClaims(log, 10), load)
package candidates

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
)

// Candidate decides whether a booking may run. When Book returns without an error,
// the booking has run.
type Candidate interface {
	Book(ctx context.Context, id string) error
}

const incarnation = 1

// IssuedKeys is the design of issued keys: the ledger of the sidecar decides without
// the log.
type IssuedKeys struct {
	ledger *booking.Ledger
}

// NewIssuedKeys returns a sidecar with an empty ledger.
func NewIssuedKeys() *IssuedKeys {
	return &IssuedKeys{ledger: booking.New(incarnation, time.Now())}
}

// Book implements [Candidate].
func (c *IssuedKeys) Book(_ context.Context, id string) error {
	now := time.Now()
	k := booking.Issue("orders", "orders-1", incarnation, c.ledger.Epoch(now))
	return run(c.ledger, k, id)
}

// LogClaims is the design with a claim in the log for each booking.
type LogClaims struct {
	ledger *booking.Ledger
	nodes  []*booking.Claims
	next   atomic.Uint64
}

// NewLogClaims returns a number of nodes that claim each key in the log. They receive
// bookings in round-robin order.
func NewLogClaims(j appendlog.Journal, nodes int) *LogClaims {
	c := &LogClaims{ledger: booking.New(incarnation, time.Now())}
	for range nodes {
		c.nodes = append(c.nodes, booking.NewClaims(j))
	}
	return c
}

// Book implements [Candidate].
func (c *LogClaims) Book(ctx context.Context, id string) error {
	now := time.Now()
	callerKey := fmt.Sprintf("%d-%s", now.Unix(), id)
	f := booking.FingerprintOf("POST", "/orders/book", "", []byte(id))
	claims := c.nodes[c.next.Add(1)%uint64(len(c.nodes))]
	k, err := claims.Claim(ctx, callerKey, f, booking.Issue("orders", "orders-1", incarnation, c.ledger.Epoch(now)))
	if err != nil {
		return err
	}
	return run(c.ledger, k, id)
}

// KeyRangeLease is the design of key ranges owned by lease: the holder decides
// without other nodes while its lease is valid, and renews it in the log.
type KeyRangeLease struct {
	journal appendlog.Journal
	holder  string
	ttl     time.Duration
	fenced  bool
	pause   func()

	mu         sync.Mutex
	heldUntil  time.Time
	nextOffset int64
	renewed    chan struct{} // non-nil during a renewal, and closed at its end
	current    leaseRecord
	executed   map[string]bool
}

type leaseRecord struct {
	Holder  string    `json:"holder"`
	Expires time.Time `json:"expires"`
}

const leaseStream = "leases"

// ErrNotHeld means that another node holds the lease, or that it can't be
// renewed.
var ErrNotHeld = errors.New("lease on the key range is not held")

// NewKeyRangeLease returns a node that acquires the lease on the only key range when
// no other node holds it. A fenced node reads the stream before each booking. The
// pause function, which may be nil, is called between the last check of the lease and
// the run of the booking.
func NewKeyRangeLease(j appendlog.Journal, holder string, ttl time.Duration, fenced bool, pause func()) *KeyRangeLease {
	if pause == nil {
		pause = func() {}
	}
	return &KeyRangeLease{journal: j, holder: holder, ttl: ttl, fenced: fenced, pause: pause, executed: map[string]bool{}}
}

// Book implements [Candidate].
func (c *KeyRangeLease) Book(ctx context.Context, id string) error {
	if err := c.ensureHeld(ctx); err != nil {
		return err
	}
	if c.fenced {
		if err := c.checkHolder(ctx); err != nil {
			return err
		}
	}
	c.pause()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.executed[id] {
		return fmt.Errorf("booking %q has already run", id)
	}
	c.executed[id] = true
	return nil
}

// ensureHeld acquires or renews the lease if necessary. The lease is renewed in the
// second half of its term, with one renewal at a time. Bookings run under the current
// lease during a renewal, and wait for the renewal only if the lease has expired.
func (c *KeyRangeLease) ensureHeld(ctx context.Context) error {
	for {
		c.mu.Lock()
		remaining, renewed := time.Until(c.heldUntil), c.renewed
		if renewed == nil && remaining < c.ttl/2 {
			renewed = make(chan struct{})
			c.renewed = renewed
			go c.renew()
		}
		c.mu.Unlock()
		if remaining > 0 {
			return nil
		}
		select {
		case <-renewed:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mu.Lock()
		held := time.Now().Before(c.heldUntil)
		c.mu.Unlock()
		if !held {
			return ErrNotHeld
		}
	}
}

func (c *KeyRangeLease) renew() {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.renewed)
		c.renewed = nil
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if c.checkHolder(ctx) != nil {
		return
	}
	renewal := leaseRecord{Holder: c.holder, Expires: time.Now().Add(c.ttl)}
	data, err := json.Marshal(renewal)
	if err != nil {
		return
	}
	if _, err := c.journal.Append(ctx, leaseStream, data); err != nil {
		return
	}
	if c.checkHolder(ctx) == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.heldUntil = c.current.Expires
	}
}

// checkHolder reads the stream to its end and fails if another node holds the lease.
// A record is valid only if the preceding lease had the same holder or had expired
// when the record was written.
func (c *KeyRangeLease) checkHolder(ctx context.Context) error {
	c.mu.Lock()
	from := c.nextOffset
	c.mu.Unlock()
	page, err := c.journal.Read(ctx, leaseStream, from, 1000, 0)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range page.Records {
		if r.Offset < c.nextOffset {
			continue
		}
		c.nextOffset = r.Offset + 1
		var record leaseRecord
		if err := json.Unmarshal(r.Data, &record); err != nil {
			return err
		}
		acquired := record.Expires.Add(-c.ttl)
		if record.Holder == c.current.Holder || !acquired.Before(c.current.Expires) {
			c.current = record
		}
	}
	if c.current.Holder != c.holder && time.Now().Before(c.current.Expires) {
		return ErrNotHeld
	}
	return nil
}

func run(l *booking.Ledger, k booking.Key, id string) error {
	f := booking.FingerprintOf("POST", "/orders/book", "", []byte(id))
	if begun := l.Begin(time.Now(), k, f); begun.Verdict != booking.Run {
		return fmt.Errorf("booking %q was not run: %s", id, begun.Reason)
	}
	l.Finish(time.Now(), k, call.Answered, "", &booking.Answer{Status: 201, Body: []byte(id)})
	return nil
}

// Load is a number of bookings sent at a constant rate.
type Load struct {
	Interval time.Duration
	Bookings int
	Timeout  time.Duration
}

// Stats holds the results of [Measure].
type Stats struct {
	// Answered is the share of bookings that ran.
	Answered float64
	// Median and P99 are the latencies that the design adds to bookings that ran.
	Median, P99 time.Duration
}

// Measure sends the bookings at a constant rate, whether or not earlier ones have
// completed.
func Measure(c Candidate, load Load) Stats {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var latencies []time.Duration
	for n := range load.Bookings {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), load.Timeout)
			defer cancel()
			start := time.Now()
			if c.Book(ctx, fmt.Sprintf("%d-%d", start.UnixNano(), n)) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(start))
		})
		time.Sleep(load.Interval)
	}
	wg.Wait()
	if len(latencies) == 0 {
		return Stats{}
	}
	slices.Sort(latencies)
	return Stats{
		Answered: float64(len(latencies)) / float64(load.Bookings),
		Median:   latencies[len(latencies)/2],
		P99:      latencies[len(latencies)*99/100],
	}
}
