package matrix

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
)

// guardedLedger is a ledger that can do without one of its mechanisms. With all
// mechanisms on it only passes calls on.
type guardedLedger struct {
	*booking.Ledger
	off         Mechanism
	incarnation uint64

	mu     sync.Mutex
	opened map[booking.Key]bool // keys that run outside the ledger
}

func newGuardedLedger(off Mechanism, incarnation uint64) *guardedLedger {
	return &guardedLedger{
		Ledger:      booking.New(incarnation, time.Now(), booking.WithValidity(keyValidity)),
		off:         off,
		incarnation: incarnation,
		opened:      map[booking.Key]bool{},
	}
}

// Begin is [booking.Ledger.Begin] without the mechanism that is off.
func (g *guardedLedger) Begin(k booking.Key, f booking.Fingerprint) booking.BeginResult {
	k, f = g.alter(k, f)
	if g.off == RecordingFirst && !g.isOpened(k) {
		return booking.BeginResult{Verdict: booking.Run}
	}
	begun := g.Ledger.Begin(time.Now(), k, f)
	reopen := g.off == Sealing && begun.Verdict == booking.Sealed ||
		g.off == Expiry && begun.Verdict == booking.Expired
	if reopen {
		return booking.BeginResult{Verdict: booking.Run}
	}
	return begun
}

// Refuse is [booking.Ledger.Refuse] without the mechanism that is off.
func (g *guardedLedger) Refuse(k booking.Key, f booking.Fingerprint, r call.Reason, successor *booking.Key) {
	k = g.record(k, f)
	if g.off == SuccessorRecording {
		successor = nil
	}
	g.Ledger.Refuse(time.Now(), k, r, successor)
}

// Finish is [booking.Ledger.Finish] without the mechanism that is off.
func (g *guardedLedger) Finish(k booking.Key, f booking.Fingerprint, o call.Outcome, r call.Reason, a *booking.Answer) {
	k = g.record(k, f)
	g.Ledger.Finish(time.Now(), k, o, r, a)
}

// record makes up for the record that RecordingFirst would have made.
func (g *guardedLedger) record(k booking.Key, f booking.Fingerprint) booking.Key {
	k, f = g.alter(k, f)
	if g.off == RecordingFirst {
		g.Ledger.Begin(time.Now(), k, f)
		g.mu.Lock()
		g.opened[k] = true
		g.mu.Unlock()
	}
	return k
}

func (g *guardedLedger) isOpened(k booking.Key) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened[k]
}

func (g *guardedLedger) alter(k booking.Key, f booking.Fingerprint) (booking.Key, booking.Fingerprint) {
	if g.off == FingerprintCheck {
		f = booking.Fingerprint{}
	}
	if g.off == IncarnationCheck && k.Incarnation() != g.incarnation {
		fields := strings.Split(k.String(), ":")
		fields[3], fields[4] = fmt.Sprintf("%016x", g.incarnation), "0"
		k, _ = booking.ParseKey(strings.Join(fields, ":"))
	}
	return k, f
}
