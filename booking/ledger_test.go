package booking_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
)

const incarnation = 0xc0ffee

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func atSecond(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }

func issueKey(epoch uint32) booking.Key {
	return booking.Issue("orders", "orders-1", incarnation, epoch)
}

func bodyFingerprint(body string) booking.Fingerprint {
	return booking.FingerprintOf("POST", "/orders/book", "", []byte(body))
}

// Guards against two texts that denote the same key, and against a truncated or
// altered key that is accepted as another one.
func TestParseKey(t *testing.T) {
	good := issueKey(42)
	parsed, err := booking.ParseKey(good.String())
	must.NoError(t, err)
	must.Eq(t, good.String(), parsed.String())
	must.True(t, good == parsed)
	must.LessEq(t, booking.MaxKeyLength, len(good.String()))
	nonce := strings.Repeat("0a", 16)
	bad := map[string]struct{ text, message string }{
		"empty":                  {"", "does not have the form"},
		"caller-chosen":          {"1700000000-order-7", "does not have the form"},
		"other version":          {strings.Replace(good.String(), "k1", "k2", 1), "does not have the form"},
		"too long":               {strings.Repeat("x", 500), "key has 500 bytes, expected at most 193"},
		"no service":             {"k1::n:0000000000000001:1:" + nonce, `service "" does not have 1 to 64 characters`},
		"space in node":          {"k1:s:a b:0000000000000001:1:" + nonce, `node "a b" has a character`},
		"short incarnation":      {"k1:s:n:1:1:" + nonce, "not 16 lower-case hexadecimal digits"},
		"upper-case incarnation": {"k1:s:n:000000000000000A:1:" + nonce, "not 16 lower-case hexadecimal digits"},
		"leading zero in epoch":  {"k1:s:n:0000000000000001:01:" + nonce, "not a whole number of seconds"},
		"epoch too large":        {"k1:s:n:0000000000000001:4294967296:" + nonce, "not a whole number of seconds"},
		"short nonce":            {"k1:s:n:0000000000000001:1:0a", "not 32 lower-case hexadecimal digits"},
		"upper-case nonce":       {"k1:s:n:0000000000000001:1:" + strings.ToUpper(nonce), "not 32 lower-case hexadecimal digits"},
	}
	for name, c := range bad {
		t.Run(name, func(t *testing.T) {
			_, err := booking.ParseKey(c.text)
			must.ErrorContains(t, err, c.message)
		})
	}
}

// Guards against a modified booking that is run or answered under the key of the
// original one.
func TestFingerprintOf(t *testing.T) {
	base := booking.FingerprintOf("POST", "/a", "x", []byte("b"))
	others := map[string]booking.Fingerprint{
		"method":        booking.FingerprintOf("PUT", "/a", "x", []byte("b")),
		"uri":           booking.FingerprintOf("POST", "/b", "x", []byte("b")),
		"authorization": booking.FingerprintOf("POST", "/a", "y", []byte("b")),
		"body":          booking.FingerprintOf("POST", "/a", "x", []byte("c")),
		"shifted":       booking.FingerprintOf("POST", "/ax", "", []byte("b")),
	}
	for name, other := range others {
		test.NotEq(t, base, other, test.Sprint(name))
	}
}

// Guards against running a key twice and against a wrong answer to a repeated
// booking.
func TestLedgerRepeats(t *testing.T) {
	answer := &booking.Answer{Status: 201, Body: []byte("booked")}
	large := &booking.Answer{Status: 200, Body: bytes.Repeat([]byte("x"), booking.MaxCachedBodyBytes+1)}
	successor := issueKey(0)
	type end func(l *booking.Ledger, k booking.Key)
	cases := map[string]struct {
		end     end
		verdict booking.Verdict
		outcome call.Outcome
		reason  call.Reason
	}{
		"running":          {func(*booking.Ledger, booking.Key) {}, booking.Wait, call.Unknown, ""},
		"answered":         {func(l *booking.Ledger, k booking.Key) { l.Finish(atSecond(1), k, call.Answered, "", answer) }, booking.Replay, call.Answered, ""},
		"large answer":     {func(l *booking.Ledger, k booking.Key) { l.Finish(atSecond(1), k, call.Answered, "", large) }, booking.Replay, call.Unknown, call.ReasonAnswerNotKept},
		"no answer cached": {func(l *booking.Ledger, k booking.Key) { l.Finish(atSecond(1), k, call.Answered, "", nil) }, booking.Replay, call.Unknown, call.ReasonAnswerNotKept},
		"lost":             {func(l *booking.Ledger, k booking.Key) { l.Finish(atSecond(1), k, call.Unknown, call.ReasonLost, nil) }, booking.Replay, call.Unknown, call.ReasonLost},
		"refused":          {func(l *booking.Ledger, k booking.Key) { l.Refuse(atSecond(1), k, call.ReasonOverloaded, nil) }, booking.Sealed, call.NotRun, call.ReasonOverloaded},
		"successor":        {func(l *booking.Ledger, k booking.Key) { l.Refuse(atSecond(1), k, call.ReasonDraining, &successor) }, booking.Follow, call.NotRun, call.ReasonDraining},
		"own successor":    {func(l *booking.Ledger, k booking.Key) { l.Refuse(atSecond(1), k, call.ReasonDraining, &k) }, booking.Sealed, call.NotRun, call.ReasonDraining},
		"ended twice": {func(l *booking.Ledger, k booking.Key) {
			l.Refuse(atSecond(1), k, call.ReasonTooLate, nil)
			l.Finish(atSecond(1), k, call.Answered, "", answer)
		}, booking.Sealed, call.NotRun, call.ReasonTooLate},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, k := booking.New(incarnation, start), issueKey(0)
			must.Eq(t, booking.Run, l.Begin(atSecond(0), k, bodyFingerprint("a")).Verdict)
			waiting := l.Begin(atSecond(0), k, bodyFingerprint("a"))
			must.Eq(t, booking.Wait, waiting.Verdict)
			c.end(l, k)
			again := l.Begin(atSecond(2), k, bodyFingerprint("a"))
			must.Eq(t, c.verdict, again.Verdict)
			must.Eq(t, c.outcome, again.Outcome)
			must.Eq(t, c.reason, again.Reason)
			must.Eq(t, c.verdict == booking.Follow, again.HasSuccessor)
			must.Eq(t, c.outcome == call.Answered, again.Answer == answer)
			must.Eq(t, booking.Reused, l.Begin(atSecond(2), k, bodyFingerprint("b")).Verdict)
			select {
			case <-waiting.Done:
				must.NotEq(t, booking.Wait, c.verdict)
			default:
				must.Eq(t, booking.Wait, c.verdict)
			}
		})
	}
}

// Guards against keys that this incarnation must never run.
func TestLedgerRejects(t *testing.T) {
	other := booking.Issue("orders", "orders-1", incarnation+1, 0)
	cases := map[string]struct {
		key     booking.Key
		second  int
		verdict booking.Verdict
		outcome call.Outcome
	}{
		"another incarnation": {other, 0, booking.OwnerGone, call.Unknown},
		"future epoch":        {issueKey(6), 5, booking.Malformed, call.Unknown},
		"last valid second":   {issueKey(5), 65, booking.Run, call.Unknown},
		"expired":             {issueKey(5), 66, booking.Expired, call.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := booking.New(incarnation, start, booking.WithValidity(time.Minute))
			result := l.Begin(atSecond(c.second), c.key, bodyFingerprint("a"))
			must.Eq(t, c.verdict, result.Verdict)
			must.Eq(t, c.outcome, result.Outcome)
		})
	}
}

// Guards against the outcome notRun, or a second run, for a key whose record was
// evicted.
func TestLedgerForgets(t *testing.T) {
	l := booking.New(incarnation, start, booking.WithValidity(time.Minute))
	k := issueKey(0)
	l.Begin(atSecond(0), k, bodyFingerprint("a"))
	l.Tick(atSecond(1000))
	must.Eq(t, booking.Wait, l.Begin(atSecond(1000), k, bodyFingerprint("a")).Verdict)
	l.Finish(atSecond(1000), k, call.Answered, "", nil)
	l.Tick(atSecond(1001))
	l.SetValidity(time.Hour)
	again := l.Begin(atSecond(1001), k, bodyFingerprint("a"))
	must.Eq(t, booking.Expired, again.Verdict)
	must.Eq(t, call.Unknown, again.Outcome)
	must.Eq(t, booking.Run, l.Begin(atSecond(1001), issueKey(1), bodyFingerprint("a")).Verdict)
}

// Guards against a key that is refused as expired and later runs because the
// validity was raised.
func TestLedgerKeepsExpired(t *testing.T) {
	l, k := booking.New(incarnation, start, booking.WithValidity(time.Second)), issueKey(0)
	must.Eq(t, call.NotRun, l.Begin(atSecond(5), k, bodyFingerprint("a")).Outcome)
	l.SetValidity(time.Hour)
	must.Eq(t, booking.Expired, l.Begin(atSecond(5), k, bodyFingerprint("a")).Verdict)
	must.Eq(t, booking.Run, l.Begin(atSecond(5), issueKey(1), bodyFingerprint("a")).Verdict)
}

// Guards against unbounded memory, and against a key that runs again because its
// record was evicted before its validity ended, because there were too many records.
func TestLedgerBounds(t *testing.T) {
	l := booking.New(incarnation, start, booking.WithMaxKeys(10), booking.WithAnswerCacheBytes(4<<10))
	keys := make([]booking.Key, 100)
	for i := range keys {
		keys[i] = issueKey(uint32(i))
		must.Eq(t, booking.Run, l.Begin(atSecond(i), keys[i], bodyFingerprint("a")).Verdict)
		l.Finish(atSecond(i), keys[i], call.Answered, "", &booking.Answer{Status: 200, Body: make([]byte, 1000)})
	}
	recorded, bytes := l.Len()
	must.Eq(t, 10, recorded)
	must.LessEq(t, 4<<10, bytes)
	must.Eq(t, booking.Expired, l.Begin(atSecond(100), keys[0], bodyFingerprint("a")).Verdict)
	must.Eq(t, call.ReasonAnswerNotKept, l.Begin(atSecond(100), keys[90], bodyFingerprint("a")).Reason)
	must.NotNil(t, l.Begin(atSecond(100), keys[99], bodyFingerprint("a")).Answer)
}
