package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

const (
	// answerBudgetRatio is the part of the memory of the process that responses may take until
	// their clients have read them.
	answerBudgetRatio = 1.0 / 8
	// answerStallTimeout is how long a client may take nothing of its response before the
	// response may be cut in favour of others. It is longer than the time in which a lost
	// segment is sent again.
	answerStallTimeout = time.Second
	// smallAnswerBytes is the length up to which a response is not charged: it takes no more
	// than the buffers of its connection, which the budget of connections bounds.
	smallAnswerBytes = 4 << 10
	// answerRetryAfter is when a client that is refused because responses take too much memory
	// may try again. Responses that are not read are cut by then.
	answerRetryAfter = answerStallTimeout
	// maxAnswerRoomWait bounds how long a request waits for room for its response. It is longer
	// than the time after which a response that is not read is cut.
	maxAnswerRoomWait = 3 * answerStallTimeout / 2
	// answerRoomInterval is the time between two attempts of a request that waits.
	answerRoomInterval = 50 * time.Millisecond
	// minHeldAnswers is the number of responses for which a small budget has room at least.
	minHeldAnswers = 4
)

// errAnswerEvicted ends the writing of a response that its client does not read.
var errAnswerEvicted = eris.New("the client took nothing of the response while memory for responses was short")

// newAnswerBudget returns the budget of responses, or nil if the settings have no limit of memory.
func newAnswerBudget(settings nodeconfig.Config) *clientlimit.AnswerBudget {
	if settings.MemoryBytes <= 0 {
		return nil
	}
	budget := answerBudgetRatio * float64(settings.MemoryBytes)
	return clientlimit.NewAnswerBudget(int64(budget), map[clientlimit.Port]int64{peerPort: int64(budget * peerReserveRatio)}, answerStallTimeout)
}

// heldAnswer is the charge for a response. The zero value charges nothing.
type heldAnswer struct {
	// conn is the connection of the client if there is a budget.
	conn *serverConn
	// account is nil until there is something to charge, so that small responses cost nothing.
	account *clientlimit.Answer
}

// holdAnswer returns the charge for the response to the request of a context.
func holdAnswer(ctx context.Context) (h heldAnswer) {
	if c, ok := ctx.Value(serverConnKey{}).(*serverConn); ok && c.head.limits != nil && c.head.limits.answers != nil {
		h.conn = c
	}
	return h
}

// charge sets what the response holds. ok is false if there is no room for it.
func (h *heldAnswer) charge(held int64) (ok bool) {
	if h.conn == nil || held <= smallAnswerBytes {
		return true
	}
	if h.account == nil {
		h.account = h.conn.head.limits.answers.Open(h.conn.head.port, h.conn)
	}
	victim, ok := h.account.Charge(time.Now(), held)
	evictAnswer(victim)
	return ok
}

// progress records that a part of the response is about to be written to w. ok is false if the
// response has been evicted. It must be called after the write deadline has been set.
func (h *heldAnswer) progress(w http.ResponseWriter) (ok bool) {
	if h.account == nil {
		return true
	}
	if s, ahead := w.(*startedRequest); ahead && s.w == nil {
		// The client can't take it yet. Its eviction would cut the response before it.
		return true
	}
	return h.account.Progress(time.Now())
}

// written returns an error if the response was evicted while its last part was written: the
// connection has to end, because its write deadline may still be set to the past.
func (h *heldAnswer) written() (err error) {
	if h.account != nil && !h.account.Written() {
		return errAnswerEvicted
	}
	return nil
}

func (h *heldAnswer) release() {
	if h.account != nil {
		h.account.Release()
	}
}

// evictAnswer ends the write of a response that its client does not read.
func evictAnswer(victim *clientlimit.Answer) {
	if victim != nil {
		// An error means that the connection has been closed already.
		c := victim.Owner().(*serverConn)
		_ = c.SetWriteDeadline(longPast)
		c.head.limits.refusals.count(metrics.AnswerCut)
	}
}

// awaitAnswerRoom waits until there is room for the response to a request that has not been passed
// on, for up to half of the time that it has left. It returns the refusal if there is none, or nil.
func awaitAnswerRoom(ctx context.Context, deadline time.Time) (refusal *result) {
	if refusal = refuseForAnswers(ctx); refusal == nil {
		return nil
	}
	waitUntil := time.Now().Add(min(time.Until(deadline)/2, maxAnswerRoomWait))
	ticker := time.NewTicker(answerRoomInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			if refusal = refuseForAnswers(ctx); refusal == nil {
				return nil
			}
			if now.Before(waitUntil) {
				continue
			}
		}
		return countAnswerRefusal(ctx, refusal)
	}
}

// countAnswerRefusal counts a refusal of [refuseForAnswers] and returns it.
func countAnswerRefusal(ctx context.Context, refusal *result) *result {
	ctx.Value(serverConnKey{}).(*serverConn).head.limits.refusals.count(metrics.AnswerRefused)
	return refusal
}

// refuseForAnswers returns the refusal of a request that has not run if there is no room for its
// response, or nil. It ends a response that is not read.
func refuseForAnswers(ctx context.Context) (refusal *result) {
	c, ok := ctx.Value(serverConnKey{}).(*serverConn)
	if !ok || c.head.limits == nil || c.head.limits.answers == nil {
		return nil
	}
	budget := c.head.limits.answers
	victim, ok := budget.Admits(time.Now(), c.head.port, min(maxBufferedBytes, budget.Limit()/minHeldAnswers))
	evictAnswer(victim)
	if ok {
		return nil
	}
	refusal = notRunResult(call.ReasonOverloaded, "responses that are held for clients take the memory for them")
	refusal.retryAfter = answerRetryAfter
	return refusal
}

// writeHeld writes the part of a response that is held. Its client may take each part of it in
// the same time as that of a streamed one.
func writeHeld(w http.ResponseWriter, res *result) (err error) {
	controller := http.NewResponseController(w)
	for body := res.body; len(body) > 0; {
		part := body[:min(len(body), streamBuffer)]
		if len(res.body) > smallAnswerBytes {
			// An error means that the writer does not support deadlines, as in tests.
			_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			if !res.held.progress(w) {
				return errAnswerEvicted
			}
		}
		if _, err = w.Write(part); err != nil {
			return err
		}
		body = body[len(part):]
	}
	return res.held.written()
}
