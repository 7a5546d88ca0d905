package booking_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
)

// observedKey is the history of one key as observed by the ledger's user.
type observedKey struct {
	key       booking.Key
	body      string
	ran       bool
	running   bool // recorded by Begin, and neither refused nor finished
	notRun    bool
	successor *booking.Key
	answer    *booking.Answer
}

// ledgerMachine drives a ledger with few keys, few bodies and low bounds, so that
// keys are repeated after every kind of result, after expiry and after eviction.
type ledgerMachine struct {
	ledger     *booking.Ledger
	nowSeconds int
	keys       []*observedKey
}

// Guards against a key that runs twice, runs after the outcome notRun, or gets
// different results for repeats, in any order of bookings, results, clock steps,
// evictions and changes of validity.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerMachine{ledger: booking.New(incarnation, start,
			booking.WithValidity(20*time.Second), booking.WithMaxKeys(rapid.IntRange(1, 5).Draw(t, "maxKeys")), booking.WithAnswerCacheBytes(2000))}
		t.Repeat(map[string]func(*rapid.T){
			"issue":  m.issue,
			"begin":  m.begin,
			"refuse": m.refuse,
			"finish": m.finish,
			"wait":   func(t *rapid.T) { m.nowSeconds += rapid.IntRange(0, 15).Draw(t, "seconds") },
			"tick":   func(*rapid.T) { m.ledger.Tick(atSecond(m.nowSeconds)) },
			"validity": func(t *rapid.T) {
				m.ledger.SetValidity(time.Duration(rapid.IntRange(1, 60).Draw(t, "validity")) * time.Second)
			},
			"": m.checkBounds,
		})
	})
}

func (m *ledgerMachine) issue(t *rapid.T) {
	age := rapid.IntRange(0, min(m.nowSeconds, 30)).Draw(t, "age")
	m.keys = append(m.keys, &observedKey{key: issueKey(uint32(m.nowSeconds - age))})
}

func (m *ledgerMachine) draw(t *rapid.T, runningOnly bool) *observedKey {
	var candidates []*observedKey
	for _, observed := range m.keys {
		if observed.running || !runningOnly {
			candidates = append(candidates, observed)
		}
	}
	if len(candidates) == 0 {
		t.Skip("no such key")
	}
	return rapid.SampledFrom(candidates).Draw(t, "key")
}

func (m *ledgerMachine) begin(t *rapid.T) {
	observed := m.draw(t, false)
	body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
	result := m.ledger.Begin(atSecond(m.nowSeconds), observed.key, bodyFingerprint(body))
	switch result.Verdict {
	case booking.Run:
		must.False(t, observed.ran, must.Sprint("second run"))
		must.False(t, observed.notRun, must.Sprint("run after notRun"))
		observed.ran, observed.running, observed.body = true, true, body
		return
	case booking.Reused:
		must.NotEq(t, observed.body, body)
		return
	case booking.Wait:
		must.True(t, observed.running)
	case booking.Follow:
		must.Eq(t, *observed.successor, result.Successor)
	case booking.Sealed:
		must.True(t, observed.notRun && observed.successor == nil)
	case booking.Replay:
		must.True(t, !observed.notRun && (result.Answer == nil || result.Answer == observed.answer))
	case booking.Expired:
		observed.notRun = observed.notRun || result.Outcome == call.NotRun
		must.False(t, result.Outcome == call.NotRun && observed.ran, must.Sprint("notRun for a key that ran"))
	default:
		t.Fatalf("unexpected verdict %d", result.Verdict)
	}
	if observed.ran && result.Verdict != booking.Expired {
		must.Eq(t, observed.body, body)
	}
}

func (m *ledgerMachine) refuse(t *rapid.T) {
	observed := m.draw(t, true)
	if rapid.Bool().Draw(t, "successor") {
		next := issueKey(0)
		observed.successor = &next
	}
	m.ledger.Refuse(atSecond(m.nowSeconds), observed.key, call.ReasonOverloaded, observed.successor)
	observed.running, observed.notRun = false, true
}

func (m *ledgerMachine) finish(t *rapid.T) {
	observed := m.draw(t, true)
	observed.answer = &booking.Answer{Status: 201, Body: make([]byte, rapid.IntRange(0, 1500).Draw(t, "bytes"))}
	outcome := rapid.SampledFrom([]call.Outcome{call.Answered, call.Unknown}).Draw(t, "outcome")
	m.ledger.Finish(atSecond(m.nowSeconds), observed.key, outcome, call.ReasonLost, observed.answer)
	observed.running = false
}

func (m *ledgerMachine) checkBounds(t *rapid.T) {
	running := 0
	for _, observed := range m.keys {
		if observed.running {
			running++
		}
	}
	keys, bytes := m.ledger.Len()
	must.LessEq(t, 5+running, keys)
	must.LessEq(t, 2000, bytes)
}
