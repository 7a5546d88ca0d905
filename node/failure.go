package node

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// failure describes a call that its backend server did not answer.
type failure struct {
	outcome    call.Outcome
	reason     call.Reason
	message    string
	retryAfter time.Duration
	// requestNotRun is true if the outcome is unknown only because an earlier
	// request with the same key may have run. This request itself did not run.
	requestNotRun bool
}

func notRun(reason call.Reason, message string) *failure {
	return &failure{outcome: call.NotRun, reason: reason, message: message}
}

func unknown(reason call.Reason, message string) *failure {
	return &failure{outcome: call.Unknown, reason: reason, message: message}
}

// Error implements error.
func (f *failure) Error() string { return string(f.reason) + ": " + f.message }

// failureBody is the JSON body of an answer that a node gives in place of the
// backend server.
type failureBody struct {
	Outcome   string  `json:"outcome"`
	Reason    string  `json:"reason"`
	Message   string  `json:"message"`
	RequestID call.ID `json:"requestId,omitempty"`
}

// writeFailure answers a request with the failure.
func writeFailure(w http.ResponseWriter, f *failure, request call.ID) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(call.HeaderOutcome, f.outcome.String())
	header.Set(call.HeaderReason, string(f.reason))
	if f.requestNotRun {
		header.Set(call.HeaderAttemptOutcome, call.NotRun.String())
	}
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(retrySeconds(f.retryAfter)))
	}
	body, err := json.Marshal(failureBody{
		Outcome: f.outcome.String(), Reason: string(f.reason), Message: f.message, RequestID: request,
	})
	if err != nil {
		body = []byte("{}")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(call.HTTPStatus(f.outcome, f.reason))
	// A write error means that the receiver has disconnected.
	_, _ = w.Write(body)
}

// retrySeconds rounds a delay up or down to whole seconds at random, and to one
// second at least. The mean of a longer delay is preserved, and callers do not all
// retry at the same time.
func retrySeconds(delay time.Duration) int {
	whole := delay / time.Second
	part := delay - whole*time.Second
	if time.Duration(rand.Int64N(int64(time.Second))) < part {
		whole++
	}
	return max(int(whole), 1)
}

// writeJSON answers an API request with the body as JSON.
func writeJSON(w http.ResponseWriter, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(text, '\n'))
}
