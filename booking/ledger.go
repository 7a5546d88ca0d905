package booking

import (
	"container/heap"
	"container/list"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// MaxCachedBodyBytes is the size of the largest answer body that a ledger caches
// for repeated bookings.
const MaxCachedBodyBytes = 64 << 10

// answerOverheadBytes estimates the memory of a cached answer besides its text:
// the header map, slices and list element.
const answerOverheadBytes = 512

// State is the state of a key in its ledger. A key that no booking has used yet
// has no record and therefore no state.
type State uint8

const (
	// Running means that the booking may have been sent to the backend server.
	Running State = iota
	// Done means that the booking has ended and ran or may have run.
	Done
	// Refused means that the booking did not run and will never run.
	Refused
)

// Verdict tells a sidecar how to handle a received booking.
type Verdict uint8

const (
	// Run means that the key was unused and is now recorded as running. The
	// caller must end it with [Ledger.Finish] or [Ledger.Refuse].
	Run Verdict = iota
	// Wait means that the booking is running. [BeginResult.Done] is closed when it ends.
	Wait
	// Replay means that the booking has ended. The result holds the answer of
	// the first attempt or, without an answer, its outcome and reason.
	Replay
	// Sealed means that the booking was refused under this key.
	Sealed
	// Follow means that the booking was refused under this key and was retried
	// under the successor key.
	Follow
	// Expired means that the key is too old to run. The outcome is notRun only
	// if the ledger can rule out that the key ran earlier.
	Expired
	// OwnerGone means that the key was issued for another incarnation.
	OwnerGone
	// Reused means that the key was first used for a request with different
	// content.
	Reused
	// Malformed means that the key's epoch lies in the future, so no issuer can
	// have created it. The outcome is unknown because the key would become valid
	// once the incarnation reaches that age.
	Malformed
)

var verdictNames = [...]string{
	Run:       "run",
	Wait:      "wait",
	Replay:    "replay",
	Sealed:    "sealed",
	Follow:    "follow",
	Expired:   "expired",
	OwnerGone: "ownerGone",
	Reused:    "reused",
	Malformed: "malformed",
}

// String returns the name used in metrics.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return fmt.Sprintf("invalid(%d)", uint8(v))
	}
	return verdictNames[v]
}

// Answer is the complete answer of a backend server. It must not be modified after
// it was passed to a ledger or received from one.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// BeginResult is the result of [Ledger.Begin].
type BeginResult struct {
	Verdict Verdict
	// Answer is set for [Replay] if the first attempt's answer is cached.
	Answer  *Answer
	Outcome call.Outcome
	Reason  call.Reason
	// Successor is the key of the next attempt. It is valid if HasSuccessor is true.
	Successor    Key
	HasSuccessor bool
	// Done is set for [Wait] and closed when the running booking ends.
	Done <-chan struct{}
}

const (
	defaultValidity         = 10 * time.Minute
	defaultAnswerCacheBytes = 32 << 20
	defaultMaxKeys          = 150_000

	// retentionFactor is the ratio of the time for which ended keys are retained to
	// the validity. With a factor of 1, a first attempt under an expired key could
	// not be distinguished from a repeat whose record was evicted, and its outcome
	// would be unknown.
	retentionFactor = 2
)

// Ledger records the state of the keys of one sidecar incarnation. It is safe
// for concurrent use. Memory is bounded: old records are evicted, and a key
// whose record may have been evicted never runs.
type Ledger struct {
	mu          sync.Mutex
	incarnation uint64
	started     time.Time
	validity    time.Duration
	maxKeys     int

	records      map[Key]*keyRecord
	endedRecords epochHeap
	answers      answerCache
	// service and node are the names in the most recent key, see internNames.
	service, node string
	// evictedBelow is greater than the epoch of every evicted record. A key with
	// this or a later epoch that has no record was never passed to Begin.
	evictedBelow uint32
	// expiredBelow is greater than the epoch of every key that was refused as
	// expired. Such a key stays expired if the validity is raised later.
	expiredBelow uint32
}

type keyRecord struct {
	key         Key
	state       State
	fingerprint Fingerprint
	done        chan struct{}
	outcome     call.Outcome
	reason      call.Reason
	successor   *Key
	answer      *list.Element
}

// New returns an empty ledger for an incarnation that started at the given
// time. It accepts [WithValidity], [WithAnswerCacheBytes] and [WithMaxKeys].
func New(incarnation uint64, started time.Time, opts ...Option) *Ledger {
	o := options{validity: defaultValidity, answerCacheBytes: defaultAnswerCacheBytes, maxKeys: defaultMaxKeys}
	o.apply(opts)
	return &Ledger{
		incarnation: incarnation,
		started:     started,
		validity:    o.validity,
		maxKeys:     o.maxKeys,
		records:     make(map[Key]*keyRecord),
		answers:     answerCache{maxBytes: o.answerCacheBytes},
	}
}

// SetValidity changes the maximum age at which a key may run. It may be called
// at any time: a key whose record may have been evicted does not run even if the
// validity is raised.
func (l *Ledger) SetValidity(validity time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validity = validity
}

// Begin decides how to handle a received booking. An unused key is recorded as
// running before Begin returns, so that the backend server never receives a
// booking that the ledger has not recorded.
func (l *Ledger) Begin(now time.Time, k Key, f Fingerprint) BeginResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.incarnation != l.incarnation {
		return BeginResult{Verdict: OwnerGone, Outcome: call.Unknown, Reason: call.ReasonOwnerGone}
	}
	if record, known := l.records[k]; known {
		return l.beginRepeat(record, f)
	}
	age := int64(l.epoch(now)) - int64(k.epoch)
	if age < 0 {
		return BeginResult{Verdict: Malformed, Outcome: call.Unknown, Reason: call.ReasonKeyMalformed}
	}
	if k.epoch < l.evictedBelow {
		return BeginResult{Verdict: Expired, Outcome: call.Unknown, Reason: call.ReasonKeyExpired}
	}
	if k.epoch < l.expiredBelow || age > seconds(l.validity) {
		l.expiredBelow = max(l.expiredBelow, k.epoch+1)
		return BeginResult{Verdict: Expired, Outcome: call.NotRun, Reason: call.ReasonKeyExpired}
	}
	k = l.internNames(k)
	l.records[k] = &keyRecord{key: k, state: Running, fingerprint: f, done: make(chan struct{})}
	l.enforceMaxKeys()
	return BeginResult{Verdict: Run}
}

// Refuse marks a running key as refused, so that it never runs. No byte of the
// booking may have been sent to the backend server. A successor is recorded
// atomically with the refusal; the booking is then retried under it. Refuse has
// no effect on a key that has already ended.
func (l *Ledger) Refuse(_ time.Time, k Key, r call.Reason, successor *Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, known := l.records[k]
	if !known || record.state != Running {
		return
	}
	if successor != nil && *successor != k {
		next := *successor
		record.successor = &next
	}
	l.endRecord(record, Refused, call.NotRun, r)
}

// Finish records the result of a running key. Repeats get the answer or, without
// one, the outcome and reason. If the booking was answered but the answer is not
// cached, repeats get the outcome unknown. Finish has no effect on a key that
// has already ended.
func (l *Ledger) Finish(_ time.Time, k Key, o call.Outcome, r call.Reason, a *Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, known := l.records[k]
	if !known || record.state != Running {
		return
	}
	if o == call.NotRun {
		l.endRecord(record, Refused, o, r)
		return
	}
	if o == call.Answered && a != nil {
		record.answer = l.answers.add(a)
	}
	l.endRecord(record, Done, o, r)
}

// Epoch returns the age of the incarnation in whole seconds.
func (l *Ledger) Epoch(now time.Time) uint32 { return l.epoch(now) }

// Tick evicts records whose retention has ended.
func (l *Ledger) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	horizon := int64(l.epoch(now)) - retentionFactor*seconds(l.validity)
	for len(l.endedRecords) > 0 && int64(l.endedRecords[0].key.epoch) < horizon {
		l.evictOldest()
	}
}

// Len returns the number of recorded keys and the size of the cached answers.
func (l *Ledger) Len() (keys int, answerBytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records), l.answers.bytes
}

func (l *Ledger) beginRepeat(record *keyRecord, f Fingerprint) BeginResult {
	if record.fingerprint != f {
		return BeginResult{Verdict: Reused, Outcome: call.NotRun, Reason: call.ReasonKeyReused}
	}
	switch {
	case record.state == Running:
		return BeginResult{Verdict: Wait, Done: record.done}
	case record.state == Refused && record.successor != nil:
		return BeginResult{Verdict: Follow, Outcome: record.outcome, Reason: record.reason, Successor: *record.successor, HasSuccessor: true}
	case record.state == Refused:
		return BeginResult{Verdict: Sealed, Outcome: record.outcome, Reason: record.reason}
	case record.outcome != call.Answered:
		return BeginResult{Verdict: Replay, Outcome: record.outcome, Reason: record.reason}
	}
	if a := l.answers.get(record.answer); a != nil {
		return BeginResult{Verdict: Replay, Outcome: call.Answered, Answer: a}
	}
	return BeginResult{Verdict: Replay, Outcome: call.Unknown, Reason: call.ReasonAnswerNotKept}
}

func (l *Ledger) endRecord(record *keyRecord, s State, o call.Outcome, r call.Reason) {
	record.state, record.outcome, record.reason = s, o, r
	close(record.done)
	record.done = nil
	heap.Push(&l.endedRecords, record)
	l.enforceMaxKeys()
}

// internNames makes all records share one copy of the service and node names.
// Substrings of the request header would keep the whole header in memory.
func (l *Ledger) internNames(k Key) Key {
	if k.service != l.service {
		l.service = strings.Clone(k.service)
	}
	if k.node != l.node {
		l.node = strings.Clone(k.node)
	}
	k.service, k.node = l.service, l.node
	return k
}

// enforceMaxKeys evicts the oldest ended keys while there are more than maxKeys
// records. Running keys are never evicted: their number is bounded by the
// requests in progress, which need more memory than the records.
func (l *Ledger) enforceMaxKeys() {
	for len(l.records) > l.maxKeys && len(l.endedRecords) > 0 {
		l.evictOldest()
	}
}

func (l *Ledger) evictOldest() {
	record := heap.Pop(&l.endedRecords).(*keyRecord)
	l.answers.remove(record.answer)
	delete(l.records, record.key)
	if record.key.epoch >= l.evictedBelow {
		l.evictedBelow = record.key.epoch + 1
	}
}

func (l *Ledger) epoch(now time.Time) uint32 {
	age := now.Sub(l.started)
	return uint32(min(max(seconds(age), 0), math.MaxUint32-1))
}

func seconds(d time.Duration) int64 { return int64(d / time.Second) }

// epochHeap is a heap of ended keys, lowest epoch first.
type epochHeap []*keyRecord

func (h epochHeap) Len() int           { return len(h) }
func (h epochHeap) Less(i, j int) bool { return h[i].key.epoch < h[j].key.epoch }
func (h epochHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *epochHeap) Push(x any)        { *h = append(*h, x.(*keyRecord)) }
func (h *epochHeap) Pop() any {
	last := len(*h) - 1
	record := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return record
}

// answerCache holds answers for repeated bookings, oldest first, up to maxBytes.
type answerCache struct {
	elements list.List
	bytes    int64
	maxBytes int64
}

type cachedAnswer struct {
	answer *Answer
	bytes  int64
}

// add caches the answer and evicts the oldest ones if the cache exceeds maxBytes.
// It returns nil if the body is larger than [MaxCachedBodyBytes].
func (c *answerCache) add(a *Answer) *list.Element {
	if len(a.Body) > MaxCachedBodyBytes {
		return nil
	}
	element := c.elements.PushBack(&cachedAnswer{answer: a, bytes: answerBytes(a)})
	c.bytes += answerBytes(a)
	for c.bytes > c.maxBytes && c.elements.Len() > 0 {
		c.remove(c.elements.Front())
	}
	return element
}

func (c *answerCache) get(element *list.Element) *Answer {
	if element == nil {
		return nil
	}
	return element.Value.(*cachedAnswer).answer
}

// remove evicts an answer. The key's record still refers to the element, for which
// get then returns nil.
func (c *answerCache) remove(element *list.Element) {
	if c.get(element) == nil {
		return
	}
	cached := element.Value.(*cachedAnswer)
	c.bytes -= cached.bytes
	cached.answer = nil
	c.elements.Remove(element)
}

func answerBytes(a *Answer) int64 {
	n := answerOverheadBytes + len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return int64(n)
}
