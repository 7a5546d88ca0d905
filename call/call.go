// Package call defines the types that describe a call in all parts of
// lacewingslip: its importance, its repeat policy, its outcome, and the context
// that nodes pass to each other with every attempt.
//
// # Usage
//
// A node parses the context of an attempt from the headers that another node
// sent, and writes the context of each attempt that it makes itself:
//
//	received, err := call.ParseContext(request.Header)
//	...
//	attempt := call.Context{Request: received.Request, Call: call.NewID(), Depth: received.Depth + 1}
//	attempt.Write(outgoing.Header)
//
// [RemoveInternal] removes the headers that only nodes may set from messages of
// callers and backend servers.
package call

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// Importance is the priority of a call under overload. Calls of lower importance
// are refused before calls of higher importance.
type Importance uint8

const (
	// Low is for background work and for calls without a context.
	Low Importance = iota
	// Normal is for ordinary lookups.
	Normal
	// High is for lookups that a business decision depends on.
	High
	// Critical is for bookings and filings.
	Critical
)

var importanceNames = [...]string{Low: "low", Normal: "normal", High: "high", Critical: "critical"}

// Importances returns all values in ascending order.
func Importances() []Importance { return []Importance{Low, Normal, High, Critical} }

// String returns the name used in settings and headers.
func (i Importance) String() string { return nameOf(importanceNames[:], int(i)) }

// ParseImportance parses a name that [Importance.String] returns.
func ParseImportance(name string) (i Importance, err error) {
	n, err := indexOf(importanceNames[:], "importance", name)
	return Importance(n), err
}

// RepeatPolicy defines when a call may be sent again after a failed attempt.
type RepeatPolicy uint8

const (
	// IfNotRun allows another attempt only if the earlier one certainly did not
	// run.
	IfNotRun RepeatPolicy = iota
	// Never marks a booking, which is not idempotent and runs at most once.
	Never
	// Always allows another attempt after any failure. It is for idempotent
	// lookups.
	Always
)

var repeatPolicyNames = [...]string{IfNotRun: "ifNotRun", Never: "never", Always: "always"}

// RepeatPolicies returns all policies.
func RepeatPolicies() []RepeatPolicy { return []RepeatPolicy{IfNotRun, Never, Always} }

// String returns the name used in settings.
func (p RepeatPolicy) String() string { return nameOf(repeatPolicyNames[:], int(p)) }

// ParseRepeatPolicy parses a name that [RepeatPolicy.String] returns.
func ParseRepeatPolicy(name string) (p RepeatPolicy, err error) {
	n, err := indexOf(repeatPolicyNames[:], "repeat policy", name)
	return RepeatPolicy(n), err
}

// Outcome is the result of a request as reported to its caller.
type Outcome uint8

const (
	// Unknown means that the request may have run. It is the zero value, so
	// that a missing or malformed outcome is never taken for a definite one.
	Unknown Outcome = iota
	// Answered means that the message holds the backend server's complete
	// answer.
	Answered
	// NotRun means that no attempt of the request has run or will run.
	NotRun
)

var outcomeNames = [...]string{Unknown: "unknown", Answered: "answered", NotRun: "notRun"}

// String returns the name used in headers and error bodies.
func (o Outcome) String() string { return nameOf(outcomeNames[:], int(o)) }

// ParseOutcome parses a name that [Outcome.String] returns.
func ParseOutcome(name string) (o Outcome, err error) {
	n, err := indexOf(outcomeNames[:], "outcome", name)
	return Outcome(n), err
}

// ID identifies an attempt of a call or a customer request. It is random, so
// that an answer to one call is never accepted as the answer to another.
type ID string

// NewID returns an ID of 128 random bits in hexadecimal.
func NewID() ID {
	var bits [16]byte
	// crypto/rand.Read never fails: it aborts the program instead.
	_, _ = rand.Read(bits[:])
	return ID(hex.EncodeToString(bits[:]))
}

// Randomness returns the first 32 random bits of the ID. All nodes derive the
// same random choice for a customer request from it. It is 0 for an ID that is
// too short or not hexadecimal.
func (id ID) Randomness() (randomness uint32) {
	if len(id) < 8 {
		return 0
	}
	bits, _ := strconv.ParseUint(string(id[:8]), 16, 32)
	return uint32(bits)
}

// ParseID checks that text has the form of an ID returned by [NewID].
func ParseID(text string) (id ID, err error) {
	if len(text) != 32 || strings.ToLower(text) != text {
		return "", fmt.Errorf("call ID %q is not 32 lower-case hexadecimal digits", text)
	}
	if _, err := hex.DecodeString(text); err != nil {
		return "", fmt.Errorf("call ID %q is not 32 lower-case hexadecimal digits", text)
	}
	return ID(text), nil
}

func nameOf(names []string, index int) string {
	if index >= len(names) {
		return fmt.Sprintf("invalid(%d)", index)
	}
	return names[index]
}

func indexOf(names []string, kind, name string) (index int, err error) {
	for i, known := range names {
		if known == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%s %q is not one of %s", kind, name, strings.Join(names, ", "))
}
