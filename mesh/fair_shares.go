package mesh

import (
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingslip/lacewingslip/backoff"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/fairshare"
)

const (
	// minAnswerTime is the time for which a caller that returns needs to be answered, if no
	// request of the route has taken longer. maxAnswerShare bounds it as a share of the time
	// that the caller has left, because few requests take as long as the longest one.
	minAnswerTime  = 100 * time.Millisecond
	maxAnswerShare = 1.0 / 3
	// shareEventInterval is the minimum time between events about workspaces beyond their
	// share.
	shareEventInterval = 5 * time.Second
)

// shareRequest describes a request for the decision between workspaces.
func shareRequest(req *request) fairshare.Request {
	return fairshare.Request{Workspace: req.workspace, Priority: req.priority, Weight: req.weight, Fingerprint: returnFingerprint(req)}
}

// returnFingerprint returns a digest by which a request is recognised when its caller repeats
// it. The ID and the time limit of a request differ each time it is sent, and its body has not
// been read.
func returnFingerprint(req *request) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{req.method, desired.CanonicalHost(req.host), req.target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// returnTarget identifies the requests that are admitted at the same share as the request.
func returnTarget(req *request) backoff.Target {
	return backoff.Target{Route: req.route, Priority: req.priority}
}

// planReturn returns after which time the caller of a request that is refused under pressure
// is to come again. responseTime is the longest time that requests of the route have taken
// lately.
func (a *customerAdmission) planReturn(now time.Time, req *request, responseTime time.Duration) (after time.Duration) {
	timeLeft := req.callerDeadline.Sub(now)
	answerTime := min(max(responseTime, minAnswerTime), time.Duration(maxAnswerShare*float64(timeLeft)))
	after = a.returns.Plan(now, returnTarget(req), timeLeft-answerTime)
	if req.workspace != "" {
		a.shares.ExpectReturn(now, shareRequest(req), after)
	}
	return after
}

// recordShares records a decision between workspaces in the metrics, and a refusal as an event
// if there has been none for a while.
func (i *ingress) recordShares(now time.Time, req *request, decision admissionDecision) {
	if !decision.divided {
		return
	}
	i.metrics.ShareDecided(decision.shares.Verdict.String())
	if decision.admitted {
		return
	}
	last := i.shareEventAt.Load()
	if last != nil && now.Sub(*last) < shareEventInterval {
		return
	}
	// A copy, so that the argument of requests without an event stays on the stack.
	at := now
	if !i.shareEventAt.CompareAndSwap(last, &at) {
		return
	}
	i.events.Record(event.ShareExceeded, slog.String("workspace", req.workspace), attrRoute(req.route), slog.Float64("level", decision.level),
		slog.Float64("demand", decision.shares.Demand), slog.Float64("share", decision.shares.Share))
}
