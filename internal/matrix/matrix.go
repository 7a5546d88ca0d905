// Package matrix tests at-most-once execution of bookings under a matrix of
// faults: every fault at every step of a booking, singly and in pairs. A cell runs
// the ledger and the claims of package booking in an in-memory simulation of three
// nodes, their backend servers and a log. One customer sends the same booking
// repeatedly through all nodes.
//
// # Usage
//
// Cells use time.Sleep and are meant to run on the fake clock of a
// testing/synctest bubble, where a cell of 130 simulated seconds takes almost no
// real time:
//
//	synctest.Test(t, func(t *testing.T) {
//		result := matrix.Run(cell, seed, matrix.AllEnabled)
//	})
//
// The same seed gives the same result: delays depend on the seed and the message,
// not on the order in which goroutines run.
package matrix

import (
	"fmt"
	"strings"
)

// Step is a step in the processing of a booking at which a fault can be injected.
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

// Side selects the sending or receiving end of a message, or the time before or
// after a local step.
type Side uint8

const (
	// Sender is the sending end of a message, or the time before a local step.
	Sender Side = iota
	// Receiver is the receiving end of a message, or the time after a local step.
	Receiver
)

// Fault is a kind of failure that can be injected at a point, which is a step and
// a side.
type Fault uint8

const (
	// Kill ends the process at the point. A node restarts as a new incarnation
	// and a backend server restarts, both after restartDelay. A log fails all
	// requests for logFaultDuration, and a caller closes its connection.
	Kill Fault = iota
	// Pause suspends the process at the point for pauseDuration, which is longer than
	// any deadline of a call.
	Pause
	// Cut breaks the connection. At the sender of a request, the request is lost.
	// At its receiver, the request is delivered and the answer is lost. At the
	// sender of an answer, the answer is lost. At its receiver, the answer is
	// truncated, or lost if it has no body.
	Cut
	// Slow delays the message by slowDelay, which is longer than the deadline of a
	// call.
	Slow
	// Duplicate delivers a request twice, with a few milliseconds between.
	Duplicate
	// Late delivers a request again after lateDelay, when its caller has been told
	// the outcome.
	Late
	// VeryLate delivers a request again after veryLateDelay, when the ledger has
	// discarded the expired key.
	VeryLate
	// LogOutage makes the log fail all requests for logFaultDuration.
	LogOutage
	// LogSlowdown delays all requests to the log by more than the deadline of a
	// call, for logFaultDuration.
	LogSlowdown
	// Drain makes the node at the point refuse bookings that are new to it.
	Drain
	// ColdStart discards the cached claims of node n3, which is the ingress of
	// some later calls.
	ColdStart
	// SettingsRace has two operators change the validity of keys in a race, one
	// to a shorter and one to a longer value.
	SettingsRace
	faultCount
)

var faultNames = [...]string{
	"kill", "pause", "cut", "slow", "duplicate", "late", "veryLate",
	"logDown", "logSlow", "drain", "coldStart", "settingsRace",
}

// String returns the fault's name in camel case.
func (f Fault) String() string { return faultNames[f] }

// Injection is a fault that is injected when the main booking reaches a point for
// the first time.
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

// Admission selects which sidecars refuse bookings.
type Admission uint8

const (
	// Admitted means that all sidecars admit bookings.
	Admitted Admission = iota
	// FirstRefuses means that node n2 refuses bookings. The first issued key names
	// this node as its sidecar.
	FirstRefuses
	// AllRefuseAtFirst means that all sidecars refuse bookings in the first second.
	AllRefuseAtFirst
	admissionCount
)

// Scenario is the configuration in which faults are injected: the kind of the
// caller's keys and the admission of bookings.
type Scenario struct {
	CallerChosen bool
	Admission    Admission
}

// String returns the kind of keys and the admission, as in issued/admitted.
func (s Scenario) String() string {
	keys := "issued"
	if s.CallerChosen {
		keys = "callerChosen"
	}
	return keys + "/" + [...]string{"admitted", "firstRefuses", "allRefuseAtFirst"}[s.Admission]
}

// Cell is a scenario with zero to two injected faults.
type Cell struct {
	Scenario   Scenario
	Injections []Injection
}

// String returns the names of the scenario and of the injections, separated by
// spaces.
func (c Cell) String() string {
	parts := []string{c.Scenario.String()}
	for _, i := range c.Injections {
		parts = append(parts, i.String())
	}
	return strings.Join(parts, " ")
}

// Mechanism is a part of at-most-once execution that can be disabled in a run, to
// show that some cells fail without it.
type Mechanism uint8

const (
	// AllEnabled disables no mechanism.
	AllEnabled Mechanism = iota
	// Sealing prevents a booking from running later under a refused key.
	Sealing
	// RecordingFirst records a key before its booking is sent to the backend
	// server.
	RecordingFirst
	// IncarnationCheck prevents a restarted sidecar from running bookings whose
	// keys were issued for an earlier incarnation.
	IncarnationCheck
	// SuccessorRecording stores the key of the next attempt with the refusal.
	SuccessorRecording
	// Expiry refuses keys whose records may have been discarded.
	Expiry
	// FingerprintCheck binds a key to the content of one request.
	FingerprintCheck
	// FirstClaimWins makes all nodes use the first claim of a key in log order.
	FirstClaimWins
	// ReadBack reads the log to learn whether an append without an answer took
	// effect.
	ReadBack
	// ColdRead makes a node without cached claims read the stream from its start.
	ColdRead
	// UnknownWithoutLog answers unknown rather than notRun if the log is
	// unavailable for a claim, as an earlier request with the key may have run.
	UnknownWithoutLog
	mechanismCount
)

var mechanismNames = [...]string{
	"allOn", "sealing", "recordingFirst", "incarnationCheck", "successorRecording", "expiry",
	"fingerprintCheck", "firstClaimWins", "readBack", "coldRead", "unknownWithoutLog",
}

// String returns the mechanism's name in camel case.
func (m Mechanism) String() string { return mechanismNames[m] }

// Mechanisms lists the mechanisms that can be disabled.
func Mechanisms() (all []Mechanism) {
	for m := AllEnabled + 1; m < mechanismCount; m++ {
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

// Injections lists every fault at every point, including combinations that no
// scenario can run.
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

// SingleFaultCells lists the cells of a scenario without a fault and with one.
func SingleFaultCells(s Scenario) []Cell {
	cells := []Cell{{Scenario: s}}
	for _, i := range Injections() {
		cells = append(cells, Cell{s, []Injection{i}})
	}
	return cells
}

// DoubleFaultCells calls yield with each cell of two faults that can both be
// injected in the scenario, in a fixed order. Pairs of the same injection are
// included: the second one takes effect when the booking reaches the point again.
func DoubleFaultCells(s Scenario, yield func(Cell) bool) {
	var possible []Injection
	for _, i := range Injections() {
		if i.skipReason(s) == "" {
			possible = append(possible, i)
		}
	}
	for n, a := range possible {
		for _, b := range possible[n:] {
			if !yield(Cell{s, []Injection{a, b}}) {
				return
			}
		}
	}
}

// skipReason returns why an injection is not possible in a scenario, or "".
func (i Injection) skipReason(s Scenario) string {
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
		return "no booking reaches a backend server in this scenario"
	case (i.Fault == Cut || i.Fault == Slow) && !i.Step.isMessage():
		return "no message at this step"
	}
	return i.skipReasonForFault()
}

// skipReasonForFault returns why the fault is not possible at the point in any
// scenario, or "".
func (i Injection) skipReasonForFault() string {
	switch i.Fault {
	case Duplicate, Late, VeryLate:
		if !i.Step.isRequest() || i.Side == Receiver {
			return "only requests can be duplicated, and only by their sender"
		}
		if i.Step == BackendRequest {
			return "a sidecar sends each booking once, on a separate connection"
		}
		if i.Step == ClaimReadRequest {
			return "a duplicate read has no effect"
		}
	case Drain:
		if !i.atNode() {
			return "only nodes can drain"
		}
	default:
	}
	return ""
}

// atNode reports whether the point is in a node rather than in a caller, backend
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
