package booking_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
)

// history is what the outside has seen of one key.
type history struct {
	key       booking.Key
	body      string
	ran       bool
	open      bool // run and neither refused nor finished
	notRun    bool
	successor *booking.Key
	answer    *booking.Answer
}

// ledgerMachine drives a ledger with few keys, bodies and bounds, so that keys
// meet again after every kind of end, after expiry and after being forgotten.
type ledgerMachine struct {
	ledger *booking.Ledger
	second int
	keys   []*history
}

// Guards against any order of arrivals, ends, clock steps, bounds and changes of
// validity in which a key runs twice, runs after notRun, or repeats differently.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerMachine{ledger: booking.New(incarnation, start,
			booking.WithValidity(20*time.Second), booking.WithMaxEntries(rapid.IntRange(1, 5).Draw(t, "entries")), booking.WithKeptBytes(2000))}
		t.Repeat(map[string]func(*rapid.T){
			"issue":  m.issue,
			"begin":  m.begin,
			"refuse": m.refuse,
			"finish": m.finish,
			"wait":   func(t *rapid.T) { m.second += rapid.IntRange(0, 15).Draw(t, "seconds") },
			"tick":   func(*rapid.T) { m.ledger.Tick(at(m.second)) },
			"validity": func(t *rapid.T) {
				m.ledger.SetValidity(time.Duration(rapid.IntRange(1, 60).Draw(t, "validity")) * time.Second)
			},
			"": m.bounded,
		})
	})
}

func (m *ledgerMachine) issue(t *rapid.T) {
	age := rapid.IntRange(0, min(m.second, 30)).Draw(t, "age")
	m.keys = append(m.keys, &history{key: issue(uint32(m.second - age))})
}

func (m *ledgerMachine) draw(t *rapid.T, open bool) *history {
	var some []*history
	for _, h := range m.keys {
		if h.open || !open {
			some = append(some, h)
		}
	}
	if len(some) == 0 {
		t.Skip("no such key")
	}
	return rapid.SampledFrom(some).Draw(t, "key")
}

func (m *ledgerMachine) begin(t *rapid.T) {
	h := m.draw(t, false)
	body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
	begun := m.ledger.Begin(at(m.second), h.key, content(body))
	switch begun.Verdict {
	case booking.Run:
		must.False(t, h.ran, must.Sprint("second run"))
		must.False(t, h.notRun, must.Sprint("run after notRun"))
		h.ran, h.open, h.body = true, true, body
		return
	case booking.Reused:
		must.NotEq(t, h.body, body)
		return
	case booking.Wait:
		must.True(t, h.open)
	case booking.Follow:
		must.Eq(t, *h.successor, begun.Successor)
	case booking.Sealed:
		must.True(t, h.notRun && h.successor == nil)
	case booking.Replay:
		must.True(t, !h.notRun && (begun.Answer == nil || begun.Answer == h.answer))
	case booking.Expired:
		h.notRun = h.notRun || begun.Outcome == call.NotRun
		must.False(t, begun.Outcome == call.NotRun && h.ran, must.Sprint("notRun for a key that ran"))
	default:
		t.Fatalf("unexpected verdict %d", begun.Verdict)
	}
	if h.ran && begun.Verdict != booking.Expired {
		must.Eq(t, h.body, body)
	}
}

func (m *ledgerMachine) refuse(t *rapid.T) {
	h := m.draw(t, true)
	if rapid.Bool().Draw(t, "successor") {
		next := issue(0)
		h.successor = &next
	}
	m.ledger.Refuse(at(m.second), h.key, call.ReasonOverloaded, h.successor)
	h.open, h.notRun = false, true
}

func (m *ledgerMachine) finish(t *rapid.T) {
	h := m.draw(t, true)
	h.answer = &booking.Answer{Status: 201, Body: make([]byte, rapid.IntRange(0, 1500).Draw(t, "bytes"))}
	outcome := rapid.SampledFrom([]call.Outcome{call.Answered, call.Unknown}).Draw(t, "outcome")
	m.ledger.Finish(at(m.second), h.key, outcome, call.ReasonLost, h.answer)
	h.open = false
}

func (m *ledgerMachine) bounded(t *rapid.T) {
	open := 0
	for _, h := range m.keys {
		if h.open {
			open++
		}
	}
	entries, bytes := m.ledger.Len()
	must.LessEq(t, 5+open, entries)
	must.LessEq(t, 2000, bytes)
}
