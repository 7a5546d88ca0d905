// Package matrix is the fault matrix of bookings: every fault at every step of a
// booking's way, singly and in pairs. A cell runs the ledger and the claims of
// package booking in a small in-memory wiring of three nodes, their backend
// servers and a log, with one customer who repeats hard through all nodes.
//
// # Usage
//
// Cells use time.Sleep and are meant to run on the fake time of a
// testing/synctest bubble, where a cell's two minutes pass at once:
//
//	synctest.Test(t, func(t *testing.T) {
//		result := matrix.Run(cell, seed, matrix.AllOn)
//	})
//
// The same seed gives the same verdict: delays follow from the seed and the
// message, not from the order in which goroutines run.
package matrix

import (
	"fmt"
	"strings"
)

// Step is a place on a booking's way where a fault can happen.
type Step uint8

// Steps of a booking. Those that end in Request or Answer are messages; the
// others happen within one process.
const (
	CallerRequest Step = iota
	ClaimAppendRequest
	ClaimAppendAnswer
	ClaimReadRequest
	ClaimReadAnswer
	SidecarRequest
	RecordKey
	RecordRefusal
	BackendRequest
	BackendRun
	BackendAnswer
	RecordEnd
	SidecarAnswer
	SuccessorRequest
	SuccessorAnswer
	CallerAnswer
	stepCount
)

var stepNames = [...]string{
	"callerRequest", "claimAppendRequest", "claimAppendAnswer", "claimReadRequest", "claimReadAnswer",
	"sidecarRequest", "recordKey", "recordRefusal", "backendRequest", "backendRun", "backendAnswer", "recordEnd",
	"sidecarAnswer", "successorRequest", "successorAnswer", "callerAnswer",
}

// String returns the step's name in camel case.
func (s Step) String() string { return stepNames[s] }

func (s Step) isMessage() bool {
	return strings.HasSuffix(s.String(), "Request") || strings.HasSuffix(s.String(), "Answer")
}

func (s Step) isRequest() bool { return strings.HasSuffix(s.String(), "Request") }

// Side is the side of a message, or the time before or after a local step.
type Side uint8

const (
	// Sender is the sending side, or before a local step.
	Sender Side = iota
	// Receiver is the receiving side, or after a local step.
	Receiver
)

// Fault is something that goes wrong at a point.
type Fault uint8

const (
	// Kill ends the process at the point. A node restarts as a new incarnation,
	// a backend server restarts, a log is down for a while, and a caller drops
	// its connection.
	Kill Fault = iota
	// Pause freezes the process at the point for longer than any deadline.
	Pause
	// Cut breaks the connection. The sender's side loses the message, the
	// receiver's side delivers it and loses what follows. An answer is cut short.
	Cut
	// Slow delays the message for longer than the deadline of a call.
	Slow
	// Duplicate delivers a request twice.
	Duplicate
	// Late delivers a request again after its caller was told the outcome.
	Late
	// VeryLate delivers a request again after its key has been forgotten.
	VeryLate
	// LogDownWhile makes the log fail for a while.
	LogDownWhile
	// LogSlowWhile makes the log slower than the deadline of a call for a while.
	LogSlowWhile
	// Drain makes the node at the point refuse new work.
	Drain
	// ColdStart replaces the ingress that later repeats use by one that knows no
	// claims.
	ColdStart
	// SettingsRace lets two operators change the validity of keys, down and up.
	SettingsRace
	faultCount
)

var faultNames = [...]string{
	"kill", "pause", "cut", "slow", "duplicate", "late", "veryLate",
	"logDown", "logSlow", "drain", "coldStart", "settingsRace",
}

// String returns the fault's name in camel case.
func (f Fault) String() string { return faultNames[f] }

// Injection is a fault at a point, the first time the customer's booking passes.
type Injection struct {
	Step  Step
	Side  Side
	Fault Fault
}

// String names the injection as fault@step.side.
func (i Injection) String() string {
	sides := [...]string{"before", "after"}
	if i.Step.isMessage() {
		sides = [...]string{"sender", "receiver"}
	}
	return fmt.Sprintf("%s@%s.%s", i.Fault, i.Step, sides[i.Side])
}

// Admission says which sidecars refuse bookings.
type Admission uint8

const (
	// Admitted means that all sidecars have room.
	Admitted Admission = iota
	// FirstRefuses means that the sidecar of the first key has no room.
	FirstRefuses
	// AllRefuseAtFirst means that no sidecar has room for the first second.
	AllRefuseAtFirst
	admissionCount
)

// Scenario is the situation that faults meet.
type Scenario struct {
	CallerChosen bool
	Admission    Admission
}

// String names the scenario.
func (s Scenario) String() string {
	keys := "issued"
	if s.CallerChosen {
		keys = "callerChosen"
	}
	return keys + "/" + [...]string{"admitted", "firstRefuses", "allRefuseAtFirst"}[s.Admission]
}

// Cell is one scenario with none, one or two faults.
type Cell struct {
	Scenario   Scenario
	Injections []Injection
}

// String names the cell.
func (c Cell) String() string {
	parts := []string{c.Scenario.String()}
	for _, i := range c.Injections {
		parts = append(parts, i.String())
	}
	return strings.Join(parts, " ")
}

// Mechanism is a part of at-most-once execution that a run can do without, to
// show that cells fail then.
type Mechanism uint8

const (
	// AllOn switches nothing off.
	AllOn Mechanism = iota
	// Sealing keeps a refused key from running later.
	Sealing
	// RecordingFirst records a key before its booking is sent.
	RecordingFirst
	// IncarnationCheck keeps a restarted sidecar from running older keys.
	IncarnationCheck
	// SuccessorRecording records the second attempt's key with the refusal.
	SuccessorRecording
	// Expiry keeps keys whose records may be gone from running.
	Expiry
	// FingerprintCheck binds a key to one request.
	FingerprintCheck
	// FirstClaimWins makes all nodes follow the first claim in log order.
	FirstClaimWins
	// ReadBack looks for a claim whose append was not answered.
	ReadBack
	// ColdRead makes a node without a view read the stream from its start.
	ColdRead
	// UnknownWithoutLog answers unknown, not notRun, if a claim can't be made.
	UnknownWithoutLog
	mechanismCount
)

var mechanismNames = [...]string{
	"allOn", "sealing", "recordingFirst", "incarnationCheck", "successorRecording", "expiry",
	"fingerprintCheck", "firstClaimWins", "readBack", "coldRead", "unknownWithoutLog",
}

// String returns the mechanism's name in camel case.
func (m Mechanism) String() string { return mechanismNames[m] }

// Mechanisms lists those that can be switched off.
func Mechanisms() (all []Mechanism) {
	for m := AllOn + 1; m < mechanismCount; m++ {
		all = append(all, m)
	}
	return all
}

// Scenarios lists all scenarios.
func Scenarios() (all []Scenario) {
	for a := range admissionCount {
		all = append(all, Scenario{false, a}, Scenario{true, a})
	}
	return all
}

// Injections lists every fault at every point, with those that make no sense.
func Injections() (all []Injection) {
	for step := range stepCount {
		for _, side := range []Side{Sender, Receiver} {
			for f := range faultCount {
				all = append(all, Injection{step, side, f})
			}
		}
	}
	return all
}

// Singles lists the cells of a scenario with no fault and with one.
func Singles(s Scenario) []Cell {
	cells := []Cell{{Scenario: s}}
	for _, i := range Injections() {
		cells = append(cells, Cell{s, []Injection{i}})
	}
	return cells
}

// Pairs calls yield with each cell of two faults that both apply, in a fixed
// order. A pair at one point is included, as a fault may hit twice.
func Pairs(s Scenario, yield func(Cell) bool) {
	var apply []Injection
	for _, i := range Injections() {
		if i.skipped(s) == "" {
			apply = append(apply, i)
		}
	}
	for n, a := range apply {
		for _, b := range apply[n:] {
			if !yield(Cell{s, []Injection{a, b}}) {
				return
			}
		}
	}
}

// skipped returns why an injection makes no sense in a scenario, or "".
func (i Injection) skipped(s Scenario) string {
	claims := i.Step >= ClaimAppendRequest && i.Step <= ClaimReadAnswer
	refusal := i.Step == RecordRefusal
	successor := i.Step == SuccessorRequest || i.Step == SuccessorAnswer
	backend := i.Step >= BackendRequest && i.Step <= RecordEnd
	switch {
	case claims && !s.CallerChosen:
		return "issued keys are not claimed"
	case s.Admission == Admitted && (refusal || successor):
		return "no sidecar refuses in this scenario"
	case s.Admission == AllRefuseAtFirst && backend:
		return "nothing reaches a backend server in this scenario"
	case (i.Fault == Cut || i.Fault == Slow) && !i.Step.isMessage():
		return "no message at this step"
	}
	return i.skippedCopy()
}

func (i Injection) skippedCopy() string {
	switch i.Fault {
	case Duplicate, Late, VeryLate:
		if !i.Step.isRequest() || i.Side == Receiver {
			return "only sent requests can arrive again"
		}
		if i.Step == BackendRequest {
			return "a sidecar sends a booking once on a connection of its own"
		}
		if i.Step == ClaimReadRequest {
			return "reading twice has no effect"
		}
	case Drain:
		if !i.atNode() {
			return "only nodes drain"
		}
	default:
	}
	return ""
}

// atNode reports whether the point lies in a node, and not in a caller, backend
// server or log.
func (i Injection) atNode() bool {
	switch i.Step {
	case CallerRequest, ClaimAppendAnswer, ClaimReadAnswer, BackendAnswer:
		return i.Side == Receiver
	case CallerAnswer, ClaimAppendRequest, ClaimReadRequest, BackendRequest:
		return i.Side == Sender
	case BackendRun:
		return false
	default:
		return true
	}
}
