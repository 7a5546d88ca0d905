package matrix

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
)

// ablatedLedger is a ledger in which one mechanism of at-most-once execution can
// be disabled. With all mechanisms enabled it only delegates to
// [booking.Ledger].
type ablatedLedger struct {
	*booking.Ledger
	disabled    Mechanism
	incarnation uint64

	mu sync.Mutex
	// recorded holds the keys in the underlying ledger if RecordingFirst is
	// disabled.
	recorded map[booking.Key]bool
}

func newAblatedLedger(disabled Mechanism, incarnation uint64) *ablatedLedger {
	return &ablatedLedger{
		Ledger:      booking.New(incarnation, time.Now(), booking.WithValidity(keyValidity)),
		disabled:    disabled,
		incarnation: incarnation,
		recorded:    map[booking.Key]bool{},
	}
}

// Begin is [booking.Ledger.Begin] without the disabled mechanism.
func (g *ablatedLedger) Begin(k booking.Key, f booking.Fingerprint) booking.BeginResult {
	k, f = g.bypassCheck(k, f)
	if g.disabled == RecordingFirst && !g.isRecorded(k) {
		return booking.BeginResult{Verdict: booking.Run}
	}
	begun := g.Ledger.Begin(time.Now(), k, f)
	runAgain := g.disabled == Sealing && begun.Verdict == booking.Sealed ||
		g.disabled == Expiry && begun.Verdict == booking.Expired
	if runAgain {
		return booking.BeginResult{Verdict: booking.Run}
	}
	return begun
}

// Refuse is [booking.Ledger.Refuse] without the disabled mechanism.
func (g *ablatedLedger) Refuse(k booking.Key, f booking.Fingerprint, r call.Reason, successor *booking.Key) {
	k = g.ensureRecorded(k, f)
	if g.disabled == SuccessorRecording {
		successor = nil
	}
	g.Ledger.Refuse(time.Now(), k, r, successor)
}

// Finish is [booking.Ledger.Finish] without the disabled mechanism.
func (g *ablatedLedger) Finish(k booking.Key, f booking.Fingerprint, o call.Outcome, r call.Reason, a *booking.Answer) {
	k = g.ensureRecorded(k, f)
	g.Ledger.Finish(time.Now(), k, o, r, a)
}

// ensureRecorded creates the record that Begin left out if RecordingFirst is
// disabled, so that the ledger can store the outcome of the key.
func (g *ablatedLedger) ensureRecorded(k booking.Key, f booking.Fingerprint) booking.Key {
	k, f = g.bypassCheck(k, f)
	if g.disabled == RecordingFirst {
		g.Ledger.Begin(time.Now(), k, f)
		g.mu.Lock()
		g.recorded[k] = true
		g.mu.Unlock()
	}
	return k
}

func (g *ablatedLedger) isRecorded(k booking.Key) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.recorded[k]
}

// bypassCheck alters a key or a fingerprint so that the disabled check always
// passes.
func (g *ablatedLedger) bypassCheck(k booking.Key, f booking.Fingerprint) (booking.Key, booking.Fingerprint) {
	if g.disabled == FingerprintCheck {
		f = booking.Fingerprint{}
	}
	if g.disabled == IncarnationCheck && k.Incarnation() != g.incarnation {
		fields := strings.Split(k.String(), ":")
		fields[3], fields[4] = fmt.Sprintf("%016x", g.incarnation), "0"
		k, _ = booking.ParseKey(strings.Join(fields, ":"))
	}
	return k, f
}
