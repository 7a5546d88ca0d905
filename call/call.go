// Package call holds the vocabulary that all parts of lacewingslip share about
// a call: how important it is, whether it may be repeated, how it ended, and
// the context that travels with it from node to node.
//
// # Usage
//
// A node reads the context of an attempt from the headers another node sent,
// and writes one for each attempt of its own:
//
//	received, err := call.ParseContext(request.Header)
//	...
//	attempt := call.Context{Request: received.Request, Call: call.NewID(), Depth: received.Depth + 1}
//	attempt.Write(outgoing.Header)
//
// Headers that only nodes may set are removed from what callers and backend
// servers send with [RemoveInternal].
package call

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// Importance ranks calls under overload. A call is given up before any call of
// higher importance.
type Importance uint8

const (
	// Low is for work that nobody waits for, and for calls without a context.
	Low Importance = iota
	// Normal is for ordinary lookups.
	Normal
	// High is for lookups that a business decision waits for.
	High
	// Critical is for bookings and filings.
	Critical
)

var importanceNames = [...]string{Low: "low", Normal: "normal", High: "high", Critical: "critical"}

// Importances lists all levels, least important first.
func Importances() []Importance { return []Importance{Low, Normal, High, Critical} }

// String returns the name used in settings and headers.
func (i Importance) String() string { return nameOf(importanceNames[:], int(i)) }

// ParseImportance is the inverse of [Importance.String].
func ParseImportance(name string) (i Importance, err error) {
	n, err := indexOf(importanceNames[:], "importance", name)
	return Importance(n), err
}

// RepeatPolicy says when a call may be sent again after a failed attempt.
type RepeatPolicy uint8

const (
	// IfNotRun allows another attempt only after the earlier one certainly did
	// not run.
	IfNotRun RepeatPolicy = iota
	// Never marks a booking: the call is not idempotent and runs at most once.
	Never
	// Always allows another attempt after any failure. It is meant for lookups
	// that may run twice without harm.
	Always
)

var repeatPolicyNames = [...]string{IfNotRun: "ifNotRun", Never: "never", Always: "always"}

// RepeatPolicies lists all policies.
func RepeatPolicies() []RepeatPolicy { return []RepeatPolicy{IfNotRun, Never, Always} }

// String returns the name used in settings.
func (p RepeatPolicy) String() string { return nameOf(repeatPolicyNames[:], int(p)) }

// ParseRepeatPolicy is the inverse of [RepeatPolicy.String].
func ParseRepeatPolicy(name string) (p RepeatPolicy, err error) {
	n, err := indexOf(repeatPolicyNames[:], "repeat policy", name)
	return RepeatPolicy(n), err
}

// Outcome is what a caller is told about its request.
type Outcome uint8

const (
	// Unknown means that the request may have run. It is the zero value, so
	// that a missing or unreadable report never claims more than is known.
	Unknown Outcome = iota
	// Answered means that the backend server's complete answer follows.
	Answered
	// NotRun means that no attempt of the request has run or will run.
	NotRun
)

var outcomeNames = [...]string{Unknown: "unknown", Answered: "answered", NotRun: "notRun"}

// String returns the name used in headers and error bodies.
func (o Outcome) String() string { return nameOf(outcomeNames[:], int(o)) }

// ParseOutcome is the inverse of [Outcome.String].
func ParseOutcome(name string) (o Outcome, err error) {
	n, err := indexOf(outcomeNames[:], "outcome", name)
	return Outcome(n), err
}

// ID identifies a call or a customer request. It is random, so that an answer
// can't be taken for that of another call.
type ID string

// NewID returns an ID of 128 random bits in hexadecimal.
func NewID() ID {
	var bits [16]byte
	// crypto/rand.Read never fails: it aborts the program instead.
	_, _ = rand.Read(bits[:])
	return ID(hex.EncodeToString(bits[:]))
}

// Lot returns 32 of the ID's random bits, by which all nodes make the same
// random choice for a customer request.
func (id ID) Lot() (lot uint32) {
	if len(id) < 8 {
		return 0
	}
	// An ID that is not hexadecimal gets the lot 0 like one that is too short.
	bits, _ := strconv.ParseUint(string(id[:8]), 16, 32)
	return uint32(bits)
}

// ParseID checks that text has the form that [NewID] gives.
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
