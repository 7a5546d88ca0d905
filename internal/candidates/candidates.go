// Package candidates holds the three designs for at-most-once execution that
// docs/notes/at-most-once.md compares: a claim in the log per booking, key
// ranges owned by lease, and issued keys.
//
// # Usage
//
// Each design decides whether a booking may run, and [Measure] runs bookings
// through one of them with and without an outage of the log:
//
//	log := matrix.NewLog(20*time.Millisecond, nil)
//	figures := candidates.Measure(candidates.NewIssued(), load)
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

// Candidate decides whether a booking may run. A booking that Book accepts has
// run when Book returns.
type Candidate interface {
	Book(ctx context.Context, id string) error
}

const incarnation = 1

// Issued is the design of issued keys: the sidecar's ledger decides alone.
type Issued struct {
	ledger *booking.Ledger
}

// NewIssued returns a sidecar with an empty ledger.
func NewIssued() *Issued {
	return &Issued{ledger: booking.New(incarnation, time.Now())}
}

// Book implements [Candidate].
func (c *Issued) Book(_ context.Context, id string) error {
	now := time.Now()
	k := booking.Issue("orders", "orders-1", incarnation, c.ledger.Epoch(now))
	return run(c.ledger, k, id)
}

// Claimed is the design of a claim in the log per booking.
type Claimed struct {
	ledger *booking.Ledger
	nodes  []*booking.Claims
	next   atomic.Uint64
}

// NewClaimed returns nodes that claim each key in the log, and take turns in
// receiving bookings.
func NewClaimed(j appendlog.Journal, nodes int) *Claimed {
	c := &Claimed{ledger: booking.New(incarnation, time.Now())}
	for range nodes {
		c.nodes = append(c.nodes, booking.NewClaims(j))
	}
	return c
}

// Book implements [Candidate].
func (c *Claimed) Book(ctx context.Context, id string) error {
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

// Leased is the design of key ranges owned by lease: the holder decides alone
// while its lease lasts, and renews it in the log.
type Leased struct {
	journal appendlog.Journal
	holder  string
	ttl     time.Duration
	fenced  bool
	pause   func()

	mu      sync.Mutex
	until   time.Time
	next    int64
	renewed chan struct{} // closed when the renewal in progress has ended
	last    leaseRecord
	ran     map[string]bool
}

type leaseRecord struct {
	Holder  string    `json:"holder"`
	Expires time.Time `json:"expires"`
}

const leaseStream = "leases"

// ErrNotHeld means that another node holds the lease, or that it can't be
// renewed.
var ErrNotHeld = errors.New("lease on the key range is not held")

// NewLeased returns a node that takes the lease on the one key range when it is
// free. If it is fenced, it reads the stream before each booking. The pause
// function, which may be nil, is called between the last check and the run.
func NewLeased(j appendlog.Journal, holder string, ttl time.Duration, fenced bool, pause func()) *Leased {
	if pause == nil {
		pause = func() {}
	}
	return &Leased{journal: j, holder: holder, ttl: ttl, fenced: fenced, pause: pause, ran: map[string]bool{}}
}

// Book implements [Candidate].
func (c *Leased) Book(ctx context.Context, id string) error {
	if err := c.hold(ctx); err != nil {
		return err
	}
	if c.fenced {
		if err := c.check(ctx); err != nil {
			return err
		}
	}
	c.pause()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ran[id] {
		return fmt.Errorf("booking %q ran before", id)
	}
	c.ran[id] = true
	return nil
}

// hold makes sure that the lease is held. It is renewed in its last half, by one
// booking at a time; others go on under the old lease while it lasts.
func (c *Leased) hold(ctx context.Context) error {
	for {
		c.mu.Lock()
		left, renewed := time.Until(c.until), c.renewed
		if renewed == nil && left < c.ttl/2 {
			renewed = make(chan struct{})
			c.renewed = renewed
			go c.renew()
		}
		c.mu.Unlock()
		if left > 0 {
			return nil
		}
		select {
		case <-renewed:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mu.Lock()
		held := time.Now().Before(c.until)
		c.mu.Unlock()
		if !held {
			return ErrNotHeld
		}
	}
}

func (c *Leased) renew() {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.renewed)
		c.renewed = nil
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if c.check(ctx) != nil {
		return
	}
	asked := leaseRecord{Holder: c.holder, Expires: time.Now().Add(c.ttl)}
	data, err := json.Marshal(asked)
	if err != nil {
		return
	}
	if _, err := c.journal.Append(ctx, leaseStream, data); err != nil {
		return
	}
	if c.check(ctx) == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.until = c.last.Expires
	}
}

// check reads the stream to its end and fails if another node holds the lease.
// A record counts only if the lease before it was its holder's or had ended.
func (c *Leased) check(ctx context.Context) error {
	c.mu.Lock()
	from := c.next
	c.mu.Unlock()
	page, err := c.journal.Read(ctx, leaseStream, from, 1000, 0)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range page.Records {
		if r.Offset < c.next {
			continue
		}
		c.next = r.Offset + 1
		var next leaseRecord
		if err := json.Unmarshal(r.Data, &next); err != nil {
			return err
		}
		asked := next.Expires.Add(-c.ttl)
		if next.Holder == c.last.Holder || !asked.Before(c.last.Expires) {
			c.last = next
		}
	}
	if c.last.Holder != c.holder && time.Now().Before(c.last.Expires) {
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

// Load is a steady stream of bookings.
type Load struct {
	Every    time.Duration
	Bookings int
	Timeout  time.Duration
}

// Figures are what [Measure] found.
type Figures struct {
	// Answered is the share of bookings that ran.
	Answered float64
	// Median and P99 are added latencies of bookings that ran.
	Median, P99 time.Duration
}

// Measure sends the bookings at a steady rate, whether or not earlier ones have
// ended.
func Measure(c Candidate, load Load) Figures {
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
		time.Sleep(load.Every)
	}
	wg.Wait()
	if len(latencies) == 0 {
		return Figures{}
	}
	slices.Sort(latencies)
	return Figures{
		Answered: float64(len(latencies)) / float64(load.Bookings),
		Median:   latencies[len(latencies)/2],
		P99:      latencies[len(latencies)*99/100],
	}
}
