package lacewingslip

import (
	"errors"
	"fmt"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// Error says why a call has no complete answer and whether it ran.
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
	// notSent is true if no connection to a node was made.
	notSent bool
	// attemptNotRun is true if a node says that this attempt did not run, and
	// the transport did not send it before.
	attemptNotRun bool
}

// Outcome is [call.NotRun] only if no attempt of the call has run or will run.
func (e *Error) Outcome() call.Outcome { return e.outcome }

// Reason is from the fixed list of package call.
func (e *Error) Reason() call.Reason { return e.reason }

// Status is the HTTP status of the last attempt, 0 if there was none.
func (e *Error) Status() int { return e.status }

// RequestID identifies the customer request in the time line of the nodes.
func (e *Error) RequestID() string { return e.requestID }

// Key is the idempotency key of the last attempt of a booking. After an unknown
// outcome the booking may be repeated with it.
func (e *Error) Key() string { return e.key }

// RetryAfter is how long the node asked to wait, 0 if it did not.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Retries is how often the call and its child calls were sent again, by nodes
// and by the client.
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

// Unwrap returns the error below, nil if a node answered.
func (e *Error) Unwrap() error { return e.cause }

// OutcomeOf returns the outcome that an error of [Client.Do] stands for.
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
