package booking

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// view holds the first claim of each key in a claims stream up to an offset.
// Keys made before the horizon may have been dropped and are refused.
type view struct {
	validity   time.Duration
	maxEntries int

	next    int64
	first   map[callerHash]firstClaim
	names   map[string]string
	horizon time.Time
	pruned  time.Time
}

// callerHash stands for a caller's key, which can be eight times as long.
type callerHash [16]byte

type firstClaim struct {
	fingerprint Fingerprint
	issued      Key
	created     int64
}

func newView(validity time.Duration, maxEntries int) *view {
	return &view{
		validity:   validity,
		maxEntries: maxEntries,
		first:      make(map[callerHash]firstClaim),
		names:      make(map[string]string),
	}
}

func (v *view) lookup(callerKey string) (first firstClaim, known bool) {
	first, known = v.first[hashOf(callerKey)]
	return first, known
}

func (v *view) apply(b batch) {
	for _, c := range b.claims {
		h := hashOf(c.callerKey)
		if _, claimed := v.first[h]; claimed || c.created.Before(v.horizon) {
			continue
		}
		c.issued.service = v.shared(c.issued.service)
		c.issued.node = v.shared(c.issued.node)
		v.first[h] = firstClaim{fingerprint: c.fingerprint, issued: c.issued, created: c.created.Unix()}
	}
}

// checkAge refuses keys that this node or another may no longer, or not yet,
// decide on.
func (v *view) checkAge(created, now time.Time) error {
	age := now.Sub(created)
	switch {
	case age > v.validity-ClockMargin, created.Before(v.horizon):
		return &ClaimError{
			Reason:  call.ReasonKeyExpired,
			Outcome: call.Unknown,
			Cause:   fmt.Errorf("caller-chosen key is %v old, expected at most %v", age.Round(time.Second), v.validity-ClockMargin),
		}
	case age < -2*ClockMargin:
		return futureKey(age, call.NotRun)
	case age < -ClockMargin:
		// A node whose clock is ahead may have accepted it.
		return futureKey(age, call.Unknown)
	}
	return nil
}

// prune drops claims of keys that no node accepts any more, and the oldest ones
// beyond the bound on memory.
func (v *view) prune(now time.Time) {
	full := len(v.first) > v.maxEntries
	if !full && now.Sub(v.pruned) < pruneInterval {
		return
	}
	v.pruned = now
	v.dropBefore(now.Add(-v.validity - 2*ClockMargin))
	if len(v.first) > v.maxEntries {
		v.dropOldest(len(v.first) - v.maxEntries*3/4)
	}
}

func (v *view) dropOldest(n int) {
	created := make([]int64, 0, len(v.first))
	for _, first := range v.first {
		created = append(created, first.created)
	}
	slices.Sort(created)
	v.dropBefore(time.Unix(created[n-1]+1, 0))
}

func (v *view) dropBefore(horizon time.Time) {
	if horizon.Before(v.horizon) {
		return
	}
	v.horizon = horizon
	clear(v.names)
	for h, first := range v.first {
		if first.created < horizon.Unix() {
			delete(v.first, h)
		}
	}
}

// shared returns one copy of a name that many claims repeat.
func (v *view) shared(name string) string {
	if known, ok := v.names[name]; ok {
		return known
	}
	v.names[name] = name
	return name
}

func futureKey(age time.Duration, o call.Outcome) *ClaimError {
	return &ClaimError{
		Reason:  call.ReasonKeyMalformed,
		Outcome: o,
		Cause:   fmt.Errorf("caller-chosen key was made %v in the future, expected at most %v", -age.Round(time.Second), ClockMargin),
	}
}

func hashOf(callerKey string) callerHash {
	sum := sha256.Sum256([]byte(callerKey))
	return callerHash(sum[:16])
}
