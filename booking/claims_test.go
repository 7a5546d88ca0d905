package booking_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/internal/matrix"
)

func callerKey(age time.Duration, text string) string {
	return fmt.Sprintf("%d-%s", time.Now().Add(-age).Unix(), text)
}

func claim(c *booking.Claims, key, body string) (booking.Key, error) {
	return c.Claim(context.Background(), key, bodyFingerprint(body), issueKey(0))
}

func reasonOf(err error) (call.Reason, call.Outcome) {
	var failed *booking.ClaimError
	if !errors.As(err, &failed) {
		return "", call.Answered
	}
	return failed.Reason, failed.Outcome
}

// Guards against two texts that denote the same key, and against keys that can't
// be represented in log records or headers.
func TestParseCallerKey(t *testing.T) {
	created, err := booking.ParseCallerKey("1700000000-order-7")
	must.NoError(t, err)
	must.Eq(t, 1700000000, created.Unix())
	bad := map[string]struct{ text, message string }{
		"empty":        {"", "does not have the form"},
		"no text":      {"1700000000-", "has 0 characters"},
		"no time":      {"-order", "does not begin with a time"},
		"leading zero": {"01700000000-a", "does not begin with a time"},
		"signed":       {"+1700000000-a", "does not begin with a time"},
		"huge time":    {"170000000000-a", "does not have the form"},
		"space":        {"1700000000-a b", "not printable ASCII"},
		"not ASCII":    {"1700000000-ä", "not printable ASCII"},
		"too long":     {"1700000000-" + strings.Repeat("x", 129), "has 129 characters"},
	}
	for name, c := range bad {
		t.Run(name, func(t *testing.T) {
			_, err := booking.ParseCallerKey(c.text)
			must.ErrorContains(t, err, c.message)
		})
	}
}

// Guards against mapping one caller-chosen key to two issued keys after a fault of
// the log. The second of the two nodes starts with an empty index.
func TestClaimsFirstWins(t *testing.T) {
	cases := map[string]struct {
		faults []matrix.LogFault // for the first requests, in the order append, read, append, ...
		fails  bool
	}{
		"no fault":              {},
		"append answer lost":    {faults: []matrix.LogFault{matrix.LogLosesAnswer}},
		"append without effect": {faults: []matrix.LogFault{matrix.LogDown}},
		"append late":           {faults: []matrix.LogFault{matrix.LogWritesLate}},
		"append twice":          {faults: []matrix.LogFault{matrix.LogDuplicates}},
		"append hangs":          {faults: []matrix.LogFault{matrix.LogHangs}, fails: true},
		"read-back down":        {faults: []matrix.LogFault{matrix.LogLosesAnswer, matrix.LogDown}, fails: true},
		"down":                  {faults: []matrix.LogFault{matrix.LogDown, matrix.LogDown}, fails: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faults := c.faults
				log := matrix.NewLog(time.Millisecond, func(matrix.LogRequest) matrix.LogFault {
					if len(faults) == 0 {
						return matrix.LogWorks
					}
					f := faults[0]
					faults = faults[1:]
					return f
				})
				first, second := booking.NewClaims(log), booking.NewClaims(log)
				key := callerKey(0, "order-7")
				k1, err := claim(first, key, "a")
				must.Eq(t, c.fails, err != nil)
				if c.fails {
					reason, outcome := reasonOf(err)
					must.Eq(t, call.ReasonLogUnavailable, reason)
					must.Eq(t, call.Unknown, outcome)
					k1, err = claim(first, key, "a")
					must.NoError(t, err)
				}
				time.Sleep(10 * time.Second)
				k2, err := claim(second, key, "a")
				must.NoError(t, err)
				must.Eq(t, k1.String(), k2.String())
				_, err = claim(second, key, "b")
				reason, _ := reasonOf(err)
				must.Eq(t, call.ReasonKeyReused, reason)
			})
		})
	}
}

// recordedEvents keeps the attributes of events as text.
type recordedEvents struct{ text []string }

func (r *recordedEvents) Record(_ event.ID, attrs ...slog.Attr) {
	r.text = append(r.text, fmt.Sprint(attrs))
}

// Guards against caller-chosen keys in logs and timelines, where others could read and repeat
// them: when a claim is won, lost, reused for other content, or fails.
func TestEventsHaveNoCallerKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := false
		log := matrix.NewLog(time.Millisecond, func(matrix.LogRequest) matrix.LogFault {
			if down {
				return matrix.LogDown
			}
			return matrix.LogWorks
		})
		events := &recordedEvents{}
		first, second := booking.NewClaims(log, booking.WithRecorder(events)), booking.NewClaims(log, booking.WithRecorder(events))
		key := callerKey(0, "order-7")
		_, err := claim(first, key, "a")
		must.NoError(t, err)
		_, err = second.Claim(context.Background(), key, bodyFingerprint("a"), issueKey(1))
		must.NoError(t, err)
		_, err = claim(first, key, "b")
		must.Error(t, err)
		must.StrNotContains(t, err.Error(), "order-7")
		down = true
		_, err = claim(first, callerKey(0, "order-8"), "a")
		must.Error(t, err)
		must.Len(t, 3, events.text)
		for _, text := range events.text {
			must.StrNotContains(t, text, "order-")
		}
	})
}

// Guards against nodes that decide differently about keys near either end of
// their validity because their clocks differ.
func TestClaimsAge(t *testing.T) {
	cases := map[string]struct {
		age     time.Duration
		reason  call.Reason
		outcome call.Outcome
	}{
		"fresh":         {0, "", call.Answered},
		"nearly old":    {58 * time.Minute, "", call.Answered},
		"old":           {60 * time.Minute, call.ReasonKeyExpired, call.Unknown},
		"clock ahead":   {-30 * time.Second, "", call.Answered},
		"future":        {-90 * time.Second, call.ReasonKeyMalformed, call.Unknown},
		"far in future": {-time.Hour, call.ReasonKeyMalformed, call.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, err := claim(booking.NewClaims(matrix.NewLog(0, nil)), callerKey(c.age, "x"), "a")
				reason, outcome := reasonOf(err)
				must.Eq(t, c.reason, reason)
				must.Eq(t, c.outcome, outcome)
			})
		})
	}
}

// Guards against one append per claim, which would overload the log, and against
// claims of one group that receive each other's keys.
func TestClaimsGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const claims = 800
		log := matrix.NewLog(20*time.Millisecond, nil)
		c := booking.NewClaims(log)
		var wg sync.WaitGroup
		for i := range claims {
			wg.Go(func() {
				proposed := issueKey(0)
				k, err := c.Claim(context.Background(), callerKey(0, fmt.Sprint("order-", i)), bodyFingerprint("a"), proposed)
				must.NoError(t, err)
				must.Eq(t, proposed.String(), k.String())
			})
		}
		wg.Wait()
		appends, _ := log.Requests()
		must.LessEq(t, 3*booking.Shards, appends)
	})
}

// Guards against a caller-chosen key that can be claimed again after its claim was
// evicted, because the index was full or because the validity was raised later, and
// against records that can't be read.
func TestClaimsForget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := matrix.NewLog(0, nil)
		c := booking.NewClaims(log, booking.WithMaxKeys(booking.Shards*4))
		old := callerKey(0, "order-7")
		_, err := claim(c, old, "a")
		must.NoError(t, err)
		for i := range 50 * booking.Shards {
			time.Sleep(time.Second)
			_, err := claim(c, callerKey(0, fmt.Sprint(i)), "a")
			must.NoError(t, err)
		}
		c.SetValidity(24 * time.Hour)
		_, err = claim(c, old, "a")
		reason, _ := reasonOf(err)
		must.Eq(t, call.ReasonKeyExpired, reason)
	})
}

// Guards against an invalid record that blocks the reading of a stream, and
// against reading that does not continue past records that the log has removed.
func TestClaimsReadsPast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := matrix.NewLog(0, nil)
		for i := range booking.Shards {
			stream := fmt.Sprint("claims-", i)
			for range 600 {
				_, err := log.Append(t.Context(), stream, []byte(`{"claims":[]}`))
				must.NoError(t, err)
			}
			log.Trim(stream, 500)
		}
		c := booking.NewClaims(log)
		must.NoError(t, c.Load(t.Context()))
		_, before := log.Requests()
		_, err := claim(c, callerKey(0, "order-7"), "a")
		must.NoError(t, err)
		_, after := log.Requests()
		must.Eq(t, before, after)
	})
}
