package lacewingslip

import (
	"errors"
	"fmt"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// Error describes why a call has no complete answer and whether it ran.
type Error struct {
	outcome    call.Outcome
	reason     call.Reason
	status     int
	message    string
	requestID  string
	key        string
	retryAfter time.Duration
	retries    int
	cause      error
	// notSent is true if no connection to a node was opened.
	notSent bool
	// attemptNotRun is true if the node reports that this attempt did not run, and
	// the transport did not send it more than once.
	attemptNotRun bool
}

// Outcome returns the outcome of the call. It is [call.NotRun] only if no attempt of
// the call has run or will run.
func (e *Error) Outcome() call.Outcome { return e.outcome }

// Reason returns one of the reasons defined in package call, or an empty string if
// the node gave none.
func (e *Error) Reason() call.Reason { return e.reason }

// Status returns the HTTP status of the last attempt, or 0 if there was no response.
func (e *Error) Status() int { return e.status }

// RequestID returns the ID of the customer request in the timeline of the nodes.
func (e *Error) RequestID() string { return e.requestID }

// Key returns the idempotency key of the last attempt of a booking. If the outcome
// is unknown, the booking may be repeated with this key.
func (e *Error) Key() string { return e.key }

// RetryAfter returns the delay that the node requested before a retry, or 0.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Retries returns the number of times that nodes and the client sent the call or its
// child calls again.
func (e *Error) Retries() int { return e.retries }

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("call ended with outcome %s", e.outcome)
	if e.reason != "" {
		text += fmt.Sprintf(", reason %s", e.reason)
	}
	if e.message != "" {
		text += ": " + e.message
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if e.requestID != "" {
		text += fmt.Sprintf(" (request %s)", e.requestID)
	}
	return text
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// OutcomeOf returns the outcome of a call from the error that [Client.Do] returned:
// [call.Answered] for nil, and [call.Unknown] for errors other than [*Error].
func OutcomeOf(err error) call.Outcome {
	if err == nil {
		return call.Answered
	}
	var failure *Error
	if errors.As(err, &failure) {
		return failure.outcome
	}
	return call.Unknown
}
