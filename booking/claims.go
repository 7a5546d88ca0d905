package booking

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
)

const (
	defaultCallerValidity = time.Hour
	defaultLogTimeout     = time.Second
	defaultMaxClaims      = 300_000

	// Shards is the number of claims streams. All nodes must agree on it, since
	// it decides which stream a key belongs to.
	Shards = 16

	// ClockMargin is how far wall clocks may differ. Claims near either end of
	// a key's validity are refused by that much, so that nodes don't disagree.
	ClockMargin = 60 * time.Second

	appendAttempts = 3
	appendBackoff  = 50 * time.Millisecond
	readLimit      = 256
	pruneInterval  = time.Minute
)

var (
	errNotFound = errors.New("record not found")
	errDropped  = errors.New("key became too old while it was claimed")
)

// Recorder receives numbered events.
type Recorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// Claims maps caller-chosen keys to issued keys through the log: the first
// claim of a key in log order decides. It is safe for concurrent use.
type Claims struct {
	journal    appendlog.Journal
	recorder   Recorder
	logTimeout time.Duration
	shards     [Shards]*shard

	mu     sync.Mutex
	random *rand.Rand
}

// NewClaims takes [WithValidity], [WithLogTimeout], [WithMaxEntries],
// [WithRecorder] and [WithRandom]. It reads nothing from the log until the first claim.
func NewClaims(j appendlog.Journal, opts ...Option) *Claims {
	o := options{validity: defaultCallerValidity, logTimeout: defaultLogTimeout, maxEntries: defaultMaxClaims, recorder: noRecorder{}}
	o.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	o.apply(opts)
	c := &Claims{journal: j, recorder: o.recorder, logTimeout: o.logTimeout, random: o.random}
	for i := range c.shards {
		c.shards[i] = &shard{
			claims: c,
			stream: "claims-" + strconv.Itoa(i),
			view:   newView(o.validity, max(o.maxEntries/Shards, 1)),
		}
	}
	return c
}

// SetValidity changes how old a caller-chosen key may be. The log must keep
// records for longer than that plus twice [ClockMargin].
func (c *Claims) SetValidity(validity time.Duration) {
	for _, s := range c.shards {
		s.mu.Lock()
		s.view.validity = validity
		s.mu.Unlock()
	}
}

// Claim returns the issued key that the caller's key stands for: the proposed
// one, unless an earlier claim in the log named another. Errors are of type
// [*ClaimError]. A claim that failed may still be in the log; it then maps the
// caller's key to an issued key under which nothing was sent, which is harmless.
func (c *Claims) Claim(ctx context.Context, callerKey string, f Fingerprint, proposed Key) (k Key, err error) {
	created, err := ParseCallerKey(callerKey)
	if err != nil {
		return Key{}, &ClaimError{Reason: call.ReasonKeyMalformed, Outcome: call.NotRun, Cause: err}
	}
	s := c.shards[xxhash.Sum64String(callerKey)%Shards]
	p := &pending{
		claim: claim{callerKey: callerKey, created: created, fingerprint: f, issued: proposed},
		done:  make(chan struct{}),
	}
	if err := s.submit(p, time.Now()); err != nil {
		return Key{}, err
	}
	select {
	case <-p.done:
		return p.key, p.err
	case <-ctx.Done():
		return Key{}, logUnavailable(ctx.Err())
	}
}

// Load reads all claims streams to their ends. A node may call it when it
// starts, so that its first claims need not read up to an hour of records.
func (c *Claims) Load(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range c.shards {
		group.Go(func() error { return s.load(ctx) })
	}
	return group.Wait()
}

// pending is a claim whose caller waits. The committer sets key or err and then
// closes done.
type pending struct {
	claim
	done chan struct{}
	key  Key
	err  error
}

// shard is one claims stream: its view, and the claims waiting to be appended.
type shard struct {
	claims *Claims
	stream string

	mu         sync.Mutex
	view       *view
	waiting    []*pending
	committing bool
}

// submit settles the claim at once if the view decides it, and otherwise leaves
// it to the committer, which runs only while claims wait.
func (s *shard) submit(p *pending, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settle(p) {
		return nil
	}
	if err := s.view.checkAge(p.created, now); err != nil {
		return err
	}
	s.waiting = append(s.waiting, p)
	if !s.committing {
		s.committing = true
		go s.run()
	}
	return nil
}

// run commits waiting claims, one append at a time. What arrives during an
// append shares the next one.
func (s *shard) run() {
	for {
		group := s.next()
		if group == nil {
			return
		}
		s.commit(group)
	}
}

// next takes the group of the next append, without claims that the view has
// decided in the meantime. It returns nil when no claim waits.
func (s *shard) next() (group []*pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.waiting) > 0 && len(group) < maxClaimsPerBatch {
		p := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !s.settle(p) {
			group = append(group, p)
		}
	}
	if len(group) == 0 {
		s.waiting, s.committing = nil, false
	}
	return group
}

func (s *shard) commit(group []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), s.claims.logTimeout)
	defer cancel()
	err := s.append(ctx, group)
	if err == nil {
		err = errDropped
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range group {
		if s.settle(p) {
			continue
		}
		p.err = logUnavailable(err)
		s.claims.recorder.Record(event.ClaimFailed, slog.String("callerKey", p.callerKey), slog.Any("error", err))
		close(p.done)
	}
}

// append writes the group and reads the stream until each of its keys is
// decided. The same record is appended again only after reading to the end of
// the stream without finding it. Should both copies arrive, the second one
// decides nothing.
func (s *shard) append(ctx context.Context, group []*pending) (err error) {
	var b batch
	for _, p := range group {
		b.claims = append(b.claims, p.claim)
	}
	data, err := b.encode()
	if err != nil {
		return err
	}
	for attempt := range appendAttempts {
		offset, appendErr := s.claims.journal.Append(ctx, s.stream, data)
		if appendErr == nil && s.applyOwn(b, offset) {
			return nil
		}
		found, readErr := s.readBack(ctx, b)
		if found || readErr != nil {
			return errors.Join(appendErr, readErr)
		}
		err = fmt.Errorf("claim not found in %s after append %d: %w", s.stream, attempt+1, errors.Join(errNotFound, appendErr))
		if sleepErr := sleep(ctx, s.claims.backoff(attempt)); sleepErr != nil {
			break
		}
	}
	return err
}

// readBack applies the stream to the view until the batch is decided, or up to
// the end if it is not there.
func (s *shard) readBack(ctx context.Context, b batch) (found bool, err error) {
	for {
		end, err := s.readPage(ctx)
		if err != nil {
			return false, fmt.Errorf("reading back %s: %w", s.stream, err)
		}
		if s.decided(b) {
			return true, nil
		}
		if end {
			return false, nil
		}
	}
}

func (s *shard) load(ctx context.Context) error {
	for {
		end, err := s.readPage(ctx)
		if err != nil || end {
			return err
		}
	}
}

// readPage applies the next records of the stream and reports whether the end
// is reached.
func (s *shard) readPage(ctx context.Context) (end bool, err error) {
	s.mu.Lock()
	from := s.view.next
	s.mu.Unlock()
	page, err := s.claims.journal.Read(ctx, s.stream, from, readLimit, 0)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if page.Next < from {
		return false, fmt.Errorf("stream ends at offset %d, but was read up to %d before", page.Next, from)
	}
	s.apply(page)
	return s.view.next >= page.Next, nil
}

// apply skips records that another reader of the same shard has applied.
func (s *shard) apply(page appendlog.Page) {
	for _, record := range page.Records {
		if record.Offset < s.view.next {
			continue
		}
		s.view.next = record.Offset + 1
		if b, err := decodeBatch(record.Data); err == nil {
			s.view.apply(b)
		}
	}
	if len(page.Records) == 0 {
		s.view.next = max(s.view.next, min(page.Oldest, page.Next))
	}
	s.view.prune(time.Now())
}

// applyOwn spares reading back a record that directly follows what the view has
// read: no other claim can be before it.
func (s *shard) applyOwn(b batch, offset int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset != s.view.next {
		return false
	}
	s.view.next++
	s.view.apply(b)
	s.view.prune(time.Now())
	return true
}

func (s *shard) decided(b batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range b.claims {
		if _, known := s.view.lookup(c.callerKey); !known {
			return false
		}
	}
	return true
}

// settle ends the claim if the view decides it.
func (s *shard) settle(p *pending) bool {
	first, known := s.view.lookup(p.callerKey)
	if !known {
		return false
	}
	switch {
	case first.fingerprint != p.fingerprint:
		p.err = &ClaimError{
			Reason:  call.ReasonKeyReused,
			Outcome: call.NotRun,
			Cause:   fmt.Errorf("caller-chosen key %q belongs to a request with other content", p.callerKey),
		}
	case first.issued == p.issued:
		s.claims.recorder.Record(event.ClaimWon, slog.String("callerKey", p.callerKey))
		p.key = first.issued
	default:
		s.claims.recorder.Record(event.ClaimLost, slog.String("callerKey", p.callerKey))
		p.key = first.issued
	}
	close(p.done)
	return true
}

// backoff is jittered, so that nodes don't repeat their appends together.
func (c *Claims) backoff(attempt int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int64N(int64(appendBackoff) * int64(attempt+1)))
}

// logUnavailable has the outcome unknown: another node may have claimed the key
// for an earlier request that ran, and without the log that can't be excluded.
func logUnavailable(cause error) *ClaimError {
	return &ClaimError{Reason: call.ReasonLogUnavailable, Outcome: call.Unknown, Cause: cause}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type noRecorder struct{}

func (noRecorder) Record(event.ID, ...slog.Attr) {}
