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

	// Shards is the number of claims streams. All nodes must use the same number,
	// since it determines the stream to which a key is written.
	Shards = 16

	// MaxClockSkew is the largest difference between wall clocks that is
	// tolerated. Keys within this margin of either end of their validity are
	// refused, so that nodes don't decide differently about the same key.
	MaxClockSkew = 60 * time.Second

	maxAppendAttempts = 3
	appendBackoff     = 50 * time.Millisecond
	readPageRecords   = 256
	pruneInterval     = time.Minute
)

var (
	errClaimNotFound = errors.New("record not found")
	errClaimEvicted  = errors.New("caller-chosen key exceeded its maximum age while its claim was written")
)

// Recorder receives events from the catalogue of package event.
type Recorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// Claims maps caller-chosen keys to issued keys through the log service: the
// first claim of a key in log order wins. It is safe for concurrent use.
type Claims struct {
	journal    appendlog.Journal
	recorder   Recorder
	logTimeout time.Duration
	shards     [Shards]*shard

	mu     sync.Mutex
	random *rand.Rand
}

// NewClaims accepts [WithValidity], [WithLogTimeout], [WithMaxKeys],
// [WithRecorder] and [WithRandom]. The log is not read before the first claim or
// [Claims.Load].
func NewClaims(j appendlog.Journal, opts ...Option) *Claims {
	o := options{validity: defaultCallerValidity, logTimeout: defaultLogTimeout, maxKeys: defaultMaxClaims, recorder: discardRecorder{}}
	o.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	o.apply(opts)
	c := &Claims{journal: j, recorder: o.recorder, logTimeout: o.logTimeout, random: o.random}
	for i := range c.shards {
		c.shards[i] = &shard{
			claims: c,
			stream: "claims-" + strconv.Itoa(i),
			index:  newClaimIndex(o.validity, max(o.maxKeys/Shards, 1)),
		}
	}
	return c
}

// SetValidity changes the maximum age of a caller-chosen key. The log must
// retain records for longer than this plus twice [MaxClockSkew].
func (c *Claims) SetValidity(validity time.Duration) {
	for _, s := range c.shards {
		s.mu.Lock()
		s.index.validity = validity
		s.mu.Unlock()
	}
}

// Claim returns the issued key that the caller's key maps to: the proposed key,
// unless an earlier claim in the log maps the caller's key to another. Errors are
// of type [*ClaimError]. A claim that returned an error may still be in the log.
// This is harmless: it maps the caller's key to an issued key under which
// nothing was sent.
func (c *Claims) Claim(ctx context.Context, callerKey string, f Fingerprint, proposed Key) (k Key, err error) {
	created, err := ParseCallerKey(callerKey)
	if err != nil {
		return Key{}, &ClaimError{Reason: call.ReasonKeyMalformed, Outcome: call.NotRun, Cause: err}
	}
	s := c.shards[xxhash.Sum64String(callerKey)%Shards]
	p := &pendingClaim{
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
		return Key{}, logUnavailableError(ctx.Err())
	}
}

// Load reads all claims streams to their ends. A node may call it at startup, so
// that its first claims don't have to read up to an hour of records.
func (c *Claims) Load(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range c.shards {
		group.Go(func() error { return s.load(ctx) })
	}
	return group.Wait()
}

// pendingClaim is a claim that a call of [Claims.Claim] waits for. The shard sets
// key or err and then closes done.
type pendingClaim struct {
	claim
	done chan struct{}
	key  Key
	err  error
}

// shard is one claims stream: the index of the claims read from it, and the
// claims waiting to be appended to it.
type shard struct {
	claims *Claims
	stream string

	mu         sync.Mutex
	index      *claimIndex
	waiting    []*pendingClaim
	committing bool
}

// submit resolves the claim immediately if the index contains its key. Otherwise
// it queues the claim for commitLoop, which runs only while claims are queued.
func (s *shard) submit(p *pendingClaim, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resolve(p) {
		return nil
	}
	if err := s.index.checkAge(p.created, now); err != nil {
		return err
	}
	s.waiting = append(s.waiting, p)
	if !s.committing {
		s.committing = true
		go s.commitLoop()
	}
	return nil
}

// commitLoop appends queued claims in groups, one append at a time. Claims that
// arrive during an append form the next group.
func (s *shard) commitLoop() {
	for {
		group := s.nextGroup()
		if group == nil {
			return
		}
		s.commit(group)
	}
}

// nextGroup removes the claims of the next append from the queue. Claims whose keys
// have been added to the index in the meantime are resolved instead. It returns nil
// if no claim is left.
func (s *shard) nextGroup() (group []*pendingClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.waiting) > 0 && len(group) < maxClaimsPerBatch {
		p := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !s.resolve(p) {
			group = append(group, p)
		}
	}
	if len(group) == 0 {
		s.waiting, s.committing = nil, false
	}
	return group
}

func (s *shard) commit(group []*pendingClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), s.claims.logTimeout)
	defer cancel()
	err := s.append(ctx, group)
	if err == nil {
		err = errClaimEvicted
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range group {
		if s.resolve(p) {
			continue
		}
		p.err = logUnavailableError(err)
		s.claims.recorder.Record(event.ClaimFailed, attrCallerKey(p.callerKey), slog.Any("error", err))
		close(p.done)
	}
}

// append writes the group and reads the stream until the index contains each of
// its keys. The same record is appended again only if it was not found up to the
// end of the stream. If both copies are written, the second has no effect.
func (s *shard) append(ctx context.Context, group []*pendingClaim) (err error) {
	var b batch
	for _, p := range group {
		b.claims = append(b.claims, p.claim)
	}
	data, err := b.encode()
	if err != nil {
		return err
	}
	for attempt := range maxAppendAttempts {
		offset, appendErr := s.claims.journal.Append(ctx, s.stream, data)
		if appendErr == nil && s.applyAppended(b, offset) {
			return nil
		}
		found, readErr := s.readBack(ctx, b)
		if found || readErr != nil {
			return errors.Join(appendErr, readErr)
		}
		err = fmt.Errorf("claim not found in stream %q after append attempt %d: %w", s.stream, attempt+1, errors.Join(errClaimNotFound, appendErr))
		if sleepErr := sleep(ctx, s.claims.backoff(attempt)); sleepErr != nil {
			break
		}
	}
	return err
}

// readBack reads the stream into the index until the index contains all keys of
// the batch, or up to the end of the stream.
func (s *shard) readBack(ctx context.Context, b batch) (found bool, err error) {
	for {
		end, err := s.readPage(ctx)
		if err != nil {
			return false, fmt.Errorf("read back stream %q: %w", s.stream, err)
		}
		if s.containsAll(b) {
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

// readPage reads the next records of the stream into the index and reports
// whether the end of the stream is reached.
func (s *shard) readPage(ctx context.Context) (end bool, err error) {
	s.mu.Lock()
	from := s.index.nextOffset
	s.mu.Unlock()
	page, err := s.claims.journal.Read(ctx, s.stream, from, readPageRecords, 0)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if page.Next < from {
		return false, fmt.Errorf("stream ends at offset %d, but records up to %d were read from it earlier", page.Next, from)
	}
	s.applyPage(page)
	return s.index.nextOffset >= page.Next, nil
}

// applyPage adds records to the index. It skips those that a concurrent reader of
// the same shard has already added, and those that can't be decoded.
func (s *shard) applyPage(page appendlog.Page) {
	for _, record := range page.Records {
		if record.Offset < s.index.nextOffset {
			continue
		}
		s.index.nextOffset = record.Offset + 1
		if b, err := decodeBatch(record.Data); err == nil {
			s.index.apply(b)
		}
	}
	if len(page.Records) == 0 {
		s.index.nextOffset = max(s.index.nextOffset, min(page.Oldest, page.Next))
	}
	s.index.prune(time.Now())
}

// applyAppended adds an appended batch to the index without reading it back. This
// is possible only if the batch directly follows the last record read, so that no
// other claim can precede it. It reports whether the batch was added.
func (s *shard) applyAppended(b batch, offset int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset != s.index.nextOffset {
		return false
	}
	s.index.nextOffset++
	s.index.apply(b)
	s.index.prune(time.Now())
	return true
}

func (s *shard) containsAll(b batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range b.claims {
		if _, known := s.index.lookup(c.callerKey); !known {
			return false
		}
	}
	return true
}

// resolve completes the claim if the index contains its key.
func (s *shard) resolve(p *pendingClaim) bool {
	first, known := s.index.lookup(p.callerKey)
	if !known {
		return false
	}
	switch {
	case first.fingerprint != p.fingerprint:
		p.err = &ClaimError{
			Reason:  call.ReasonKeyReused,
			Outcome: call.NotRun,
			Cause:   errors.New("the caller-chosen key was first used for a request with different content"),
		}
	case first.issued == p.issued:
		s.claims.recorder.Record(event.ClaimWon, attrCallerKey(p.callerKey))
		p.key = first.issued
	default:
		s.claims.recorder.Record(event.ClaimLost, attrCallerKey(p.callerKey))
		p.key = first.issued
	}
	close(p.done)
	return true
}

// backoff returns a random delay, so that nodes don't retry their appends at the
// same time.
func (c *Claims) backoff(attempt int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int64N(int64(appendBackoff) * int64(attempt+1)))
}

// logUnavailableError returns an error with the outcome unknown: another node may
// have claimed the key for an earlier request that ran, which can't be ruled out
// without the log.
func logUnavailableError(cause error) *ClaimError {
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

type discardRecorder struct{}

func (discardRecorder) Record(event.ID, ...slog.Attr) {}
