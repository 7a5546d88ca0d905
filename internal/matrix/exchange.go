package matrix

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/routing"
)

// maxSuccessors limits the attempts after the first one of a request, as retry
// tokens do in a node.
const maxSuccessors = 3

// request is a booking request of a caller.
type request struct {
	label         string
	key           string
	booking       string
	authorization string
	main          bool
}

func (r request) fingerprint() booking.Fingerprint {
	return booking.FingerprintOf("POST", "/orders/book", r.authorization, []byte(r.booking))
}

// reply is the answer to a request. An answer whose body is shorter than its
// length was truncated.
type reply struct {
	outcome   call.Outcome
	reason    call.Reason
	body      string
	length    int
	successor *booking.Key
}

func answeredReply(body string) reply {
	return reply{outcome: call.Answered, body: body, length: len(body)}
}

func failedReply(o call.Outcome, r call.Reason) reply { return reply{outcome: o, reason: r} }

// exchange is one request and its answer between two processes.
type exchange struct {
	label           string
	main            bool
	request, answer Step
	timeout         time.Duration
	// target returns the process that listens at the address when the request
	// arrives, and the function with which it handles the request.
	target func() (*process, func() reply)
}

// send carries out an exchange for a process. The receiver continues to handle the
// request if the connection breaks.
func (sim *simulation) send(from *process, x exchange) (r reply, err error) {
	m := &message{label: x.label, main: x.main}
	if err := sim.injectFaults(x.request, Sender, from, m); err != nil {
		return reply{}, err
	}
	for _, after := range m.duplicateDelays {
		sim.wg.Go(func() { sim.deliverDuplicate(x, after) })
	}
	if m.cut {
		return reply{}, errLost
	}
	deadline := time.After(x.timeout)
	time.Sleep(m.delay + sim.messageDelay(x.label))
	to, serve := x.target()
	if to.isKilled() {
		return reply{}, errUnreachable
	}
	replies, broken := make(chan reply, 1), make(chan struct{}, 1)
	sim.wg.Go(func() { sim.receive(to, x, m, serve, replies, broken) })
	select {
	case r = <-replies:
	case <-broken:
		return reply{}, errLost
	case <-to.killed:
		return reply{}, errLost
	case <-from.killed:
		return reply{}, errKilled
	case <-deadline:
		return reply{}, errTimeout
	}
	answerMessage := &message{label: x.label + "/answer", main: x.main}
	if err := sim.injectFaults(x.answer, Receiver, from, answerMessage); err != nil {
		return reply{}, err
	}
	if answerMessage.cut {
		r.body = r.body[:len(r.body)/2]
	}
	if answerMessage.cut && r.length == 0 || len(r.body) != r.length {
		return reply{}, errLost
	}
	return r, nil
}

// receive handles a request at its receiver. It sends the reply to one channel, or
// signals a broken connection to the other.
func (sim *simulation) receive(to *process, x exchange, m *message, serve func() reply, replies chan<- reply, broken chan<- struct{}) {
	if err := sim.injectFaults(x.request, Receiver, to, m); err != nil {
		return
	}
	if m.cut {
		broken <- struct{}{}
	}
	r := serve()
	answerMessage := &message{label: x.label + "/answer", main: x.main}
	if err := sim.injectFaults(x.answer, Sender, to, answerMessage); err != nil {
		return
	}
	if answerMessage.cut {
		select {
		case broken <- struct{}{}:
		default:
		}
		return
	}
	time.Sleep(answerMessage.delay + sim.messageDelay(answerMessage.label))
	replies <- r
}

// deliverDuplicate delivers a request again after a delay, to the process that
// listens at the address at that time.
func (sim *simulation) deliverDuplicate(x exchange, after time.Duration) {
	time.Sleep(after)
	to, serve := x.target()
	if to.awaitRunning(sim.messageDelay(x.label)) == nil {
		serve()
	}
}

// ingress handles a caller's request at a node.
func (i *instance) ingress(r request) reply {
	k, failed := i.resolveKey(r)
	if failed != nil {
		return *failed
	}
	tried := []string{k.Node()}
	for hop := range maxSuccessors + 1 {
		var proposed *booking.Key
		if next := i.chooseUpstream(tried); hop < maxSuccessors && next != nil {
			proposed = i.issue(next)
		}
		answer, err := i.attempt(r, k, proposed, hop)
		switch {
		case errors.Is(err, errTimeout):
			return failedReply(call.Unknown, call.ReasonDeadline)
		case err != nil:
			// The key may have reached its sidecar through another ingress, so
			// even a refused connection does not mean that the booking did not run.
			return failedReply(call.Unknown, call.ReasonLost)
		case answer.successor == nil:
			return answer
		}
		k = *answer.successor
		tried = append(tried, k.Node())
	}
	return failedReply(call.Unknown, call.ReasonNoTokens)
}

// resolveKey returns the issued key of a request. For a key that the caller supplies
// itself, it claims an issued one. It returns a reply if that fails.
func (i *instance) resolveKey(r request) (k booking.Key, failed *reply) {
	if booking.IsIssued(r.key) {
		k, err := booking.ParseKey(r.key)
		if err != nil {
			f := failedReply(call.NotRun, call.ReasonKeyMalformed)
			return booking.Key{}, &f
		}
		return k, nil
	}
	to := i.chooseUpstream(nil)
	if to == nil {
		// An earlier request with this key may have run.
		f := failedReply(call.Unknown, call.ReasonNoUpstream)
		return booking.Key{}, &f
	}
	proposed := i.issue(to)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	k, err := i.currentClaims().Claim(ctx, r.key, r.fingerprint(), *proposed)
	if i.sim.disabled == FirstClaimWins && err == nil {
		return *proposed, nil
	}
	var claimError *booking.ClaimError
	if !errors.As(err, &claimError) {
		return k, nil
	}
	f := failedReply(claimError.Outcome, claimError.Reason)
	if f.reason == call.ReasonLogUnavailable {
		switch i.sim.disabled {
		case ReadBack:
			return *proposed, nil // as if the append were the first claim in the log
		case UnknownWithoutLog:
			f.outcome = call.NotRun
		default:
		}
	}
	return booking.Key{}, &f
}

func (i *instance) currentClaims() *booking.Claims {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.claims
}

func (i *instance) chooseUpstream(tried []string) *node {
	i.mu.Lock()
	defer i.mu.Unlock()
	u, ok := i.routes.Choose(time.Now(), routing.Query{Service: service, Importance: call.Critical, Tried: tried})
	if !ok {
		return nil
	}
	return i.sim.node(u.Node)
}

// reportToRouting reports the result of an attempt to the routing table.
func (i *instance) reportToRouting(n *node, r reply, err error) {
	end := routing.Succeeded
	switch {
	case errors.Is(err, errUnreachable):
		end = routing.Unreachable
	case err != nil:
		end = routing.Failed
	case r.successor != nil || r.outcome == call.NotRun:
		end = routing.Refused
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.routes.RecordResult(time.Now(), service, n.name, 1, routing.Report{Result: end})
}

func (i *instance) issue(n *node) *booking.Key {
	to := n.instance()
	k := booking.Issue(service, n.name, to.incarnation, to.ledger.Epoch(time.Now()))
	return &k
}

func (i *instance) attempt(r request, k booking.Key, proposed *booking.Key, hop int) (answer reply, err error) {
	x := exchange{
		label:   fmt.Sprintf("%s/hop%d", r.label, hop),
		main:    r.main,
		request: SidecarRequest,
		answer:  SidecarAnswer,
		timeout: callTimeout,
	}
	if hop > 0 {
		x.request, x.answer = SuccessorRequest, SuccessorAnswer
	}
	owner := i.sim.node(k.Node())
	x.target = func() (*process, func() reply) {
		to := owner.instance()
		return to.proc, func() reply { return to.sidecar(r, k, proposed) }
	}
	i.mu.Lock()
	i.routes.RecordSent(time.Now(), service, owner.name, 1)
	i.mu.Unlock()
	answer, err = i.sim.send(i.proc, x)
	i.reportToRouting(owner, answer, err)
	return answer, err
}

// sidecar handles an attempt at the node for which the key was issued.
func (i *instance) sidecar(r request, k booking.Key, successor *booking.Key) reply {
	deadline := time.Now().Add(callTimeout)
	m := &message{label: r.label, main: r.main}
	for {
		if i.sim.injectFaults(RecordKey, Sender, i.proc, m) != nil {
			return reply{}
		}
		begun := i.ledger.Begin(k, r.fingerprint())
		if i.sim.injectFaults(RecordKey, Receiver, i.proc, m) != nil {
			return reply{}
		}
		switch begun.Verdict {
		case booking.Run:
			return i.runBooking(r, k, successor, deadline)
		case booking.Wait:
			select {
			case <-begun.Done:
			case <-i.proc.killed:
				return reply{}
			case <-time.After(time.Until(deadline)):
				return failedReply(call.Unknown, call.ReasonDeadline)
			}
		default:
			return recordedReply(begun)
		}
	}
}

// recordedReply returns the reply for a key that the ledger has already decided.
func recordedReply(begun booking.BeginResult) reply {
	switch {
	case begun.HasSuccessor:
		return reply{successor: &begun.Successor}
	case begun.Answer != nil:
		return answeredReply(string(begun.Answer.Body))
	default:
		return failedReply(begun.Outcome, begun.Reason)
	}
}

// runBooking forwards a booking whose key was recorded to the backend server, or
// refuses it.
func (i *instance) runBooking(r request, k booking.Key, successor *booking.Key, deadline time.Time) reply {
	m := &message{label: r.label, main: r.main}
	switch {
	case i.refusesBookings():
		return i.refuse(r, k, call.ReasonOverloaded, successor)
	case time.Now().After(deadline):
		return i.refuse(r, k, call.ReasonTooLate, nil)
	}
	answer, err := i.sim.send(i.proc, exchange{
		label:   r.label + "/backend",
		main:    r.main,
		request: BackendRequest,
		answer:  BackendAnswer,
		timeout: time.Until(deadline),
		target: func() (*process, func() reply) {
			b := i.backendProcess()
			return b, func() reply { return i.sim.serveBackend(b, r) }
		},
	})
	if errors.Is(err, errUnreachable) {
		return i.refuse(r, k, call.ReasonUnreachable, successor)
	}
	if i.sim.injectFaults(RecordEnd, Sender, i.proc, m) != nil {
		return reply{}
	}
	result := answer
	if err == nil {
		i.ledger.Finish(k, r.fingerprint(), call.Answered, "", &booking.Answer{Status: 201, Body: []byte(answer.body)})
	} else {
		result = failedReply(call.Unknown, call.ReasonLost)
		i.ledger.Finish(k, r.fingerprint(), call.Unknown, call.ReasonLost, nil)
	}
	if i.sim.injectFaults(RecordEnd, Receiver, i.proc, m) != nil {
		return reply{}
	}
	return result
}

func (i *instance) refuse(r request, k booking.Key, reason call.Reason, successor *booking.Key) reply {
	m := &message{label: r.label, main: r.main}
	if i.sim.injectFaults(RecordRefusal, Sender, i.proc, m) != nil {
		return reply{}
	}
	i.ledger.Refuse(k, r.fingerprint(), reason, successor)
	if i.sim.injectFaults(RecordRefusal, Receiver, i.proc, m) != nil {
		return reply{}
	}
	if successor != nil {
		return reply{successor: successor}
	}
	return failedReply(call.NotRun, reason)
}

// refusesBookings is a substitute for admission control.
func (i *instance) refusesBookings() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.draining:
		return true
	case i.sim.cell.Scenario.Admission == FirstRefuses:
		return i.name == "n2"
	case i.sim.cell.Scenario.Admission == AllRefuseAtFirst:
		return time.Since(i.sim.start) < refusalPeriod
	default:
		return false
	}
}

// serveBackend handles a booking in the backend server. The booking takes effect
// between the two sides of the step.
func (sim *simulation) serveBackend(b *process, r request) reply {
	m := &message{label: r.label, main: r.main}
	if sim.injectFaults(BackendRun, Sender, b, m) != nil {
		return reply{}
	}
	body := sim.recordRun(r)
	select {
	case <-time.After(serviceTime):
	case <-b.killed:
		return reply{}
	}
	if sim.injectFaults(BackendRun, Receiver, b, m) != nil {
		return reply{}
	}
	return answeredReply(body)
}

func (sim *simulation) recordRun(r request) (body string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	id := r.authorization + "/" + r.booking
	body = fmt.Sprintf("booked %s, run %d", id, len(sim.runLabels[id])+1)
	sim.runLabels[id] = append(sim.runLabels[id], r.label)
	return body
}
