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

// MaxAnswerBytes is the size of the largest body that is kept for repeats.
const MaxAnswerBytes = 64 << 10

// answerOverheadBytes is counted for each kept answer beside its text: the map
// of headers, slices and list element.
const answerOverheadBytes = 512

// State is the state of a key that its ledger has recorded. A fresh key has no
// record.
type State uint8

const (
	// Running means that the booking may have been sent to the backend server.
	Running State = iota
	// Done means that the booking ran, or may have run, and has ended.
	Done
	// Refused means that the booking did not run and never will.
	Refused
)

// Verdict is what a sidecar must do with a booking that arrived.
type Verdict uint8

const (
	// Run means that the key was fresh and is now recorded as running. The
	// caller must end it with [Ledger.Finish] or [Ledger.Refuse].
	Run Verdict = iota
	// Wait means that the booking is running. Its end closes Begun.Done.
	Wait
	// Replay means that the booking ended: the answer, or the outcome and
	// reason if there is no answer, are those of the first attempt.
	Replay
	// Sealed means that the booking was refused under this key.
	Sealed
	// Follow means that the booking was refused under this key and went on
	// under the successor.
	Follow
	// Expired means that the key is too old to run. The outcome is notRun only
	// if the ledger still knows that the key did not run earlier.
	Expired
	// OwnerGone means that the key belongs to another incarnation.
	OwnerGone
	// Reused means that the key belongs to a request with other content.
	Reused
	// Malformed means that no issuer can have made this key. The outcome is
	// unknown, since the key could become valid as the incarnation ages.
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

// Answer is the complete answer of a backend server. It must not be changed
// after it was passed to a ledger or received from one.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Begun is a verdict with what belongs to it.
type Begun struct {
	Verdict      Verdict
	Answer       *Answer
	Outcome      call.Outcome
	Reason       call.Reason
	Successor    Key
	HasSuccessor bool
	Done         <-chan struct{}
}

const (
	defaultValidity   = 10 * time.Minute
	defaultKeptBytes  = 32 << 20
	defaultMaxEntries = 150_000

	// retentionFactor times the validity is how long ended keys are kept. With
	// a factor of 1 a first attempt under an expired key could not be told
	// from a repeat whose record is gone, and would have to answer unknown.
	retentionFactor = 2
)

// Ledger keeps the state of the keys of one sidecar incarnation. It is safe for
// concurrent use. Memory is bounded: old entries are forgotten, and a key that
// may have been forgotten never runs.
type Ledger struct {
	mu          sync.Mutex
	incarnation uint64
	started     time.Time
	validity    time.Duration
	maxEntries  int

	entries map[Key]*entry
	ended   byAge
	kept    keptAnswers
	// service and node are the names in the latest key.
	service, node string
	// forgottenBelow is above the epoch of every forgotten entry. A key from
	// there on that has no entry was never begun.
	forgottenBelow uint32
	// expiredBelow is above the epoch of every key that was refused as expired.
	// Such a key stays expired if the validity is raised later.
	expiredBelow uint32
}

type entry struct {
	key         Key
	state       State
	fingerprint Fingerprint
	done        chan struct{}
	outcome     call.Outcome
	reason      call.Reason
	successor   *Key
	answer      *list.Element
}

// New returns the empty ledger of an incarnation that started at the given
// time. It takes [WithValidity], [WithKeptBytes] and [WithMaxEntries].
func New(incarnation uint64, started time.Time, opts ...Option) *Ledger {
	o := options{validity: defaultValidity, keptBytes: defaultKeptBytes, maxEntries: defaultMaxEntries}
	o.apply(opts)
	return &Ledger{
		incarnation: incarnation,
		started:     started,
		validity:    o.validity,
		maxEntries:  o.maxEntries,
		entries:     make(map[Key]*entry),
		kept:        keptAnswers{limit: o.keptBytes},
	}
}

// SetValidity changes how old a key may be to run. It is safe at any time: a
// key that may have been forgotten does not run under a longer validity either.
func (l *Ledger) SetValidity(validity time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validity = validity
}

// Begin decides on a booking that arrived. A fresh key is recorded as running
// before Begin returns, so that the backend server never gets a booking that
// the ledger does not know.
func (l *Ledger) Begin(now time.Time, k Key, f Fingerprint) Begun {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.incarnation != l.incarnation {
		return Begun{Verdict: OwnerGone, Outcome: call.Unknown, Reason: call.ReasonOwnerGone}
	}
	if e, known := l.entries[k]; known {
		return l.repeat(e, f)
	}
	age := int64(l.epoch(now)) - int64(k.epoch)
	if age < 0 {
		return Begun{Verdict: Malformed, Outcome: call.Unknown, Reason: call.ReasonKeyMalformed}
	}
	if k.epoch < l.forgottenBelow {
		return Begun{Verdict: Expired, Outcome: call.Unknown, Reason: call.ReasonKeyExpired}
	}
	if k.epoch < l.expiredBelow || age > seconds(l.validity) {
		l.expiredBelow = max(l.expiredBelow, k.epoch+1)
		return Begun{Verdict: Expired, Outcome: call.NotRun, Reason: call.ReasonKeyExpired}
	}
	k = l.compact(k)
	l.entries[k] = &entry{key: k, state: Running, fingerprint: f, done: make(chan struct{})}
	l.shrink()
	return Begun{Verdict: Run}
}

// Refuse seals a key that Begin let run and of which no byte was sent to the
// backend server. If a successor is given, it is recorded in the same step, and
// the booking goes on under it. A key that has already ended stays as it is.
func (l *Ledger) Refuse(_ time.Time, k Key, r call.Reason, successor *Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.entries[k]
	if !known || e.state != Running {
		return
	}
	if successor != nil && *successor != k {
		next := *successor
		e.successor = &next
	}
	l.end(e, Refused, call.NotRun, r)
}

// Finish records how a key that Begin let run has ended. Without an answer a
// repeat gets the outcome and reason; an answered booking whose answer was not
// kept repeats as unknown. A key that has already ended stays as it is.
func (l *Ledger) Finish(_ time.Time, k Key, o call.Outcome, r call.Reason, a *Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.entries[k]
	if !known || e.state != Running {
		return
	}
	if o == call.NotRun {
		l.end(e, Refused, o, r)
		return
	}
	if o == call.Answered && a != nil {
		e.answer = l.kept.add(a)
	}
	l.end(e, Done, o, r)
}

// Epoch returns the age of the incarnation in whole seconds.
func (l *Ledger) Epoch(now time.Time) uint32 { return l.epoch(now) }

// Tick forgets entries that are past their retention.
func (l *Ledger) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	horizon := int64(l.epoch(now)) - retentionFactor*seconds(l.validity)
	for len(l.ended) > 0 && int64(l.ended[0].key.epoch) < horizon {
		l.forgetOldest()
	}
}

// Len returns the number of recorded keys and the bytes of kept answers.
func (l *Ledger) Len() (entries int, keptBytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries), l.kept.bytes
}

func (l *Ledger) repeat(e *entry, f Fingerprint) Begun {
	if e.fingerprint != f {
		return Begun{Verdict: Reused, Outcome: call.NotRun, Reason: call.ReasonKeyReused}
	}
	switch {
	case e.state == Running:
		return Begun{Verdict: Wait, Done: e.done}
	case e.state == Refused && e.successor != nil:
		return Begun{Verdict: Follow, Outcome: e.outcome, Reason: e.reason, Successor: *e.successor, HasSuccessor: true}
	case e.state == Refused:
		return Begun{Verdict: Sealed, Outcome: e.outcome, Reason: e.reason}
	case e.outcome != call.Answered:
		return Begun{Verdict: Replay, Outcome: e.outcome, Reason: e.reason}
	}
	if a := l.kept.get(e.answer); a != nil {
		return Begun{Verdict: Replay, Outcome: call.Answered, Answer: a}
	}
	return Begun{Verdict: Replay, Outcome: call.Unknown, Reason: call.ReasonAnswerNotKept}
}

func (l *Ledger) end(e *entry, s State, o call.Outcome, r call.Reason) {
	e.state, e.outcome, e.reason = s, o, r
	close(e.done)
	e.done = nil
	heap.Push(&l.ended, e)
	l.shrink()
}

// compact lets all entries share the names of service and node, which are parts
// of the whole request header otherwise.
func (l *Ledger) compact(k Key) Key {
	if k.service != l.service {
		l.service = strings.Clone(k.service)
	}
	if k.node != l.node {
		l.node = strings.Clone(k.node)
	}
	k.service, k.node = l.service, l.node
	return k
}

// shrink keeps the table within its bound. Running keys are not counted out:
// they are as many as the requests in progress, which need more memory.
func (l *Ledger) shrink() {
	for len(l.entries) > l.maxEntries && len(l.ended) > 0 {
		l.forgetOldest()
	}
}

func (l *Ledger) forgetOldest() {
	e := heap.Pop(&l.ended).(*entry)
	l.kept.remove(e.answer)
	delete(l.entries, e.key)
	if e.key.epoch >= l.forgottenBelow {
		l.forgottenBelow = e.key.epoch + 1
	}
}

func (l *Ledger) epoch(now time.Time) uint32 {
	age := now.Sub(l.started)
	return uint32(min(max(seconds(age), 0), math.MaxUint32-1))
}

func seconds(d time.Duration) int64 { return int64(d / time.Second) }

// byAge is a heap of ended entries, oldest epoch first.
type byAge []*entry

func (h byAge) Len() int           { return len(h) }
func (h byAge) Less(i, j int) bool { return h[i].key.epoch < h[j].key.epoch }
func (h byAge) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byAge) Push(x any)        { *h = append(*h, x.(*entry)) }
func (h *byAge) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// keptAnswers holds answers for repeats, oldest first, within a limit of bytes.
type keptAnswers struct {
	order list.List
	bytes int64
	limit int64
}

type keptAnswer struct {
	answer *Answer
	bytes  int64
}

// add keeps the answer and drops the oldest ones if the limit requires it.
func (s *keptAnswers) add(a *Answer) *list.Element {
	if len(a.Body) > MaxAnswerBytes {
		return nil
	}
	element := s.order.PushBack(&keptAnswer{answer: a, bytes: answerBytes(a)})
	s.bytes += answerBytes(a)
	for s.bytes > s.limit && s.order.Len() > 0 {
		s.remove(s.order.Front())
	}
	return element
}

func (s *keptAnswers) get(element *list.Element) *Answer {
	if element == nil {
		return nil
	}
	return element.Value.(*keptAnswer).answer
}

// remove drops an answer. The element stays with its entry and then yields nil.
func (s *keptAnswers) remove(element *list.Element) {
	if s.get(element) == nil {
		return
	}
	kept := element.Value.(*keptAnswer)
	s.bytes -= kept.bytes
	kept.answer = nil
	s.order.Remove(element)
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
