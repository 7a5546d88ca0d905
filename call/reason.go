package call

import "net/http"

// Reason is the cause of a call that its backend server did not answer.
type Reason string

const (
	// ReasonOverloaded means that all slots of the sidecar were in use and its
	// queue was full.
	ReasonOverloaded Reason = "overloaded"
	// ReasonShed means that the backend server itself reported that it did not
	// run the call.
	ReasonShed Reason = "shed"
	// ReasonDisplaced means that a call of higher importance displaced the call
	// from the queue.
	ReasonDisplaced Reason = "displaced"
	// ReasonTooLate means that the call could not finish before its deadline.
	ReasonTooLate Reason = "tooLate"
	// ReasonDeadline means that the deadline passed after the call had started.
	ReasonDeadline Reason = "deadline"
	// ReasonDraining means that the backend server or its node is draining and
	// accepts no new calls.
	ReasonDraining Reason = "draining"
	// ReasonNoUpstream means that no backend server of the service is known.
	ReasonNoUpstream Reason = "noUpstream"
	// ReasonUnreachable means that no connection to the upstream could be opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonSilent means that the call was not sent, because the backend server
	// had stopped answering.
	ReasonSilent Reason = "silent"
	// ReasonLost means that the connection broke before the answer was
	// complete.
	ReasonLost Reason = "lost"
	// ReasonCrashed means that the backend server ended while it ran the call.
	ReasonCrashed Reason = "crashed"
	// ReasonQuarantined means that the call was not sent, because such calls have
	// crashed backend servers.
	ReasonQuarantined Reason = "quarantined"
	// ReasonOverCap means that the workspace of the caller sends more than its cap.
	ReasonOverCap Reason = "overCap"
	// ReasonNoCredit means that no node could be asked whether the call is within the cap of
	// the caller's workspace.
	ReasonNoCredit Reason = "noCredit"
	// ReasonCanceled means that the caller canceled the call or disconnected.
	ReasonCanceled Reason = "canceled"
	// ReasonUnknownService means that the settings have no such service.
	ReasonUnknownService Reason = "unknownService"
	// ReasonUnknownRoute means that the service has no route for the path.
	ReasonUnknownRoute Reason = "unknownRoute"
	// ReasonUnauthorized means that the request needs a key of a workspace and has none that
	// is known.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonUnproven means that the node can't prove that its settings are the newest, so
	// that they may not decide on the request.
	ReasonUnproven Reason = "unproven"
	// ReasonBadRequest means that the request is malformed.
	ReasonBadRequest Reason = "badRequest"
	// ReasonTooLarge means that the request body exceeds its maximum size. The
	// client library also reports it for an answer that is too large.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonTooDeep means that the chain of calls is longer than [MaxDepth].
	ReasonTooDeep Reason = "tooDeep"
	// ReasonNoTokens means that a backend server repeated a failed child call
	// when no retry token remained.
	ReasonNoTokens Reason = "noTokens"
	// ReasonRepeated means that a child booking of a repeated call was refused,
	// because the first attempt of that call may have made the same booking.
	ReasonRepeated Reason = "repeated"
	// ReasonKeyRequired means that a booking has no key.
	ReasonKeyRequired Reason = "keyRequired"
	// ReasonKeyMalformed means that the key could not be parsed.
	ReasonKeyMalformed Reason = "keyMalformed"
	// ReasonKeyExpired means that the key is older than its validity.
	ReasonKeyExpired Reason = "keyExpired"
	// ReasonKeyReused means that the key belongs to another request.
	ReasonKeyReused Reason = "keyReused"
	// ReasonOwnerGone means that the sidecar incarnation that owns the key has
	// ended.
	ReasonOwnerGone Reason = "ownerGone"
	// ReasonAnswerNotKept means that the booking ran, but its answer was too
	// large to be cached for repeats.
	ReasonAnswerNotKept Reason = "answerNotKept"
	// ReasonLogUnavailable means that a caller-chosen key could not be claimed in
	// the log service.
	ReasonLogUnavailable Reason = "logUnavailable"
	// ReasonInternal means that a node failed internally or sent an invalid
	// answer.
	ReasonInternal Reason = "internal"
)

// HTTPStatus returns the HTTP status code for a call that ended with the outcome
// and reason.
func HTTPStatus(outcome Outcome, reason Reason) int {
	switch reason {
	case ReasonOverloaded, ReasonDisplaced, ReasonNoTokens, ReasonOverCap:
		return http.StatusTooManyRequests
	case ReasonTooLate, ReasonDeadline:
		return http.StatusGatewayTimeout
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonUnknownService, ReasonUnknownRoute:
		return http.StatusNotFound
	case ReasonBadRequest, ReasonKeyMalformed, ReasonTooDeep:
		return http.StatusBadRequest
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonKeyRequired:
		return http.StatusPreconditionRequired
	case ReasonKeyReused, ReasonKeyExpired:
		return http.StatusUnprocessableEntity
	case ReasonOwnerGone, ReasonAnswerNotKept, ReasonRepeated:
		return http.StatusConflict
	case ReasonLost, ReasonCrashed:
		return http.StatusBadGateway
	case ReasonLogUnavailable:
		return http.StatusServiceUnavailable
	default:
		if outcome == Unknown {
			return http.StatusBadGateway
		}
		return http.StatusServiceUnavailable
	}
}
