package booking

import (
	"crypto/sha256"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// claimIndex holds the first claim of each key in a claims stream, up to an
// offset. Claims of keys created before evictedBefore may have been evicted, so
// such keys are refused.
type claimIndex struct {
	validity  time.Duration
	maxClaims int

	nextOffset    int64
	firstClaims   map[callerKeyHash]firstClaim
	internedNames map[string]string
	evictedBefore time.Time
	lastPruned    time.Time
}

// callerKeyHash replaces a caller's key in the index to save memory: a key can be
// eight times as long.
type callerKeyHash [16]byte

type firstClaim struct {
	fingerprint Fingerprint
	issued      Key
	created     int64
}

func newClaimIndex(validity time.Duration, maxClaims int) *claimIndex {
	return &claimIndex{
		validity:      validity,
		maxClaims:     maxClaims,
		firstClaims:   make(map[callerKeyHash]firstClaim),
		internedNames: make(map[string]string),
	}
}

func (idx *claimIndex) lookup(callerKey string) (first firstClaim, known bool) {
	first, known = idx.firstClaims[hashCallerKey(callerKey)]
	return first, known
}

func (idx *claimIndex) apply(b batch) {
	for _, c := range b.claims {
		h := hashCallerKey(c.callerKey)
		if _, claimed := idx.firstClaims[h]; claimed || c.created.Before(idx.evictedBefore) {
			continue
		}
		c.issued.service = idx.intern(c.issued.service)
		c.issued.node = idx.intern(c.issued.node)
		idx.firstClaims[h] = firstClaim{fingerprint: c.fingerprint, issued: c.issued, created: c.created.Unix()}
	}
}

// checkAge refuses keys that are too old or too far in the future for this node
// or for another node, whose clock may differ.
func (idx *claimIndex) checkAge(created, now time.Time) error {
	age := now.Sub(created)
	switch {
	case age > idx.validity-MaxClockSkew, created.Before(idx.evictedBefore):
		return &ClaimError{
			Reason:  call.ReasonKeyExpired,
			Outcome: call.Unknown,
			Cause:   fmt.Errorf("caller-chosen key is %v old, expected at most %v", age.Round(time.Second), idx.validity-MaxClockSkew),
		}
	case age < -2*MaxClockSkew:
		return futureKeyError(age, call.NotRun)
	case age < -MaxClockSkew:
		// A node whose clock is ahead may have accepted the key.
		return futureKeyError(age, call.Unknown)
	}
	return nil
}

// prune evicts claims of keys that are too old for every node, and the oldest
// claims if there are more than maxClaims. It does nothing within pruneInterval
// of the previous run unless the index is full.
func (idx *claimIndex) prune(now time.Time) {
	full := len(idx.firstClaims) > idx.maxClaims
	if !full && now.Sub(idx.lastPruned) < pruneInterval {
		return
	}
	idx.lastPruned = now
	idx.evictBefore(now.Add(-idx.validity - 2*MaxClockSkew))
	if len(idx.firstClaims) > idx.maxClaims {
		idx.evictOldest(len(idx.firstClaims) - idx.maxClaims*3/4)
	}
}

func (idx *claimIndex) evictOldest(n int) {
	created := make([]int64, 0, len(idx.firstClaims))
	for _, first := range idx.firstClaims {
		created = append(created, first.created)
	}
	slices.Sort(created)
	idx.evictBefore(time.Unix(created[n-1]+1, 0))
}

func (idx *claimIndex) evictBefore(cutoff time.Time) {
	if cutoff.Before(idx.evictedBefore) {
		return
	}
	idx.evictedBefore = cutoff
	clear(idx.internedNames)
	for h, first := range idx.firstClaims {
		if first.created < cutoff.Unix() {
			delete(idx.firstClaims, h)
		}
	}
}

// intern returns a shared copy of a service or node name, which occurs in many
// claims.
func (idx *claimIndex) intern(name string) string {
	if known, ok := idx.internedNames[name]; ok {
		return known
	}
	idx.internedNames[name] = name
	return name
}

func futureKeyError(age time.Duration, o call.Outcome) *ClaimError {
	return &ClaimError{
		Reason:  call.ReasonKeyMalformed,
		Outcome: o,
		Cause:   fmt.Errorf("caller-chosen key was created %v in the future, expected at most %v", -age.Round(time.Second), MaxClockSkew),
	}
}

func hashCallerKey(callerKey string) callerKeyHash {
	sum := sha256.Sum256([]byte(callerKey))
	return callerKeyHash(sum[:16])
}

// attrCallerKey returns the hash of a caller-chosen key as an attribute of events. Whoever knows
// the key can find its events, but nobody can read it from them.
func attrCallerKey(callerKey string) slog.Attr {
	return slog.String("callerKeyHash", fmt.Sprintf("%x", hashCallerKey(callerKey)))
}
