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

// maxSuccessors bounds the second attempts of one request, as retry tokens do.
const maxSuccessors = 3

// request is what a caller sends.
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

// reply is an answer on its way back. An answer whose body is shorter than its
// length was cut.
type reply struct {
	outcome   call.Outcome
	reason    call.Reason
	body      string
	length    int
	successor *booking.Key
}

func answered(body string) reply { return reply{outcome: call.Answered, body: body, length: len(body)} }

func refused(o call.Outcome, r call.Reason) reply { return reply{outcome: o, reason: r} }

// exchange is one request and its answer between two processes.
type exchange struct {
	label           string
	main            bool
	request, answer Step
	timeout         time.Duration
	// target returns the process at the address when the request arrives, and
	// what it does with the request.
	target func() (*process, func() reply)
}

// send carries out an exchange on behalf of a process. The receiver goes on
// when the connection breaks.
func (w *world) send(from *process, x exchange) (r reply, err error) {
	m := &message{label: x.label, main: x.main}
	if err := w.pass(x.request, Sender, from, m); err != nil {
		return reply{}, err
	}
	for _, after := range m.copies {
		w.wg.Go(func() { w.sendCopy(x, after) })
	}
	if m.cut {
		return reply{}, errLost
	}
	deadline := time.After(x.timeout)
	time.Sleep(m.delay + w.delay(x.label))
	to, serve := x.target()
	if to.isDead() {
		return reply{}, errUnreachable
	}
	replies, broken := make(chan reply, 1), make(chan struct{}, 1)
	w.wg.Go(func() { w.receive(to, x, m, serve, replies, broken) })
	select {
	case r = <-replies:
	case <-broken:
		return reply{}, errLost
	case <-to.dead:
		return reply{}, errLost
	case <-from.dead:
		return reply{}, errDead
	case <-deadline:
		return reply{}, errTimeout
	}
	back := &message{label: x.label + "/answer", main: x.main}
	if err := w.pass(x.answer, Receiver, from, back); err != nil {
		return reply{}, err
	}
	if back.cut {
		r.body = r.body[:len(r.body)/2]
	}
	if back.cut && r.length == 0 || len(r.body) != r.length {
		return reply{}, errLost
	}
	return r, nil
}

func (w *world) receive(to *process, x exchange, m *message, serve func() reply, replies chan<- reply, broken chan<- struct{}) {
	if err := w.pass(x.request, Receiver, to, m); err != nil {
		return
	}
	if m.cut {
		broken <- struct{}{}
	}
	r := serve()
	back := &message{label: x.label + "/answer", main: x.main}
	if err := w.pass(x.answer, Sender, to, back); err != nil {
		return
	}
	if back.cut {
		select {
		case broken <- struct{}{}:
		default:
		}
		return
	}
	time.Sleep(back.delay + w.delay(back.label))
	replies <- r
}

// sendCopy delivers a request again, to whatever process is there by then.
func (w *world) sendCopy(x exchange, after time.Duration) {
	time.Sleep(after)
	to, serve := x.target()
	if to.ready(w.delay(x.label)) == nil {
		serve()
	}
}

// ingress handles a caller's request at a node.
func (i *instance) ingress(r request) reply {
	k, failed := i.resolve(r)
	if failed != nil {
		return *failed
	}
	tried := []string{k.Node()}
	for hop := range maxSuccessors + 1 {
		var proposed *booking.Key
		if next := i.choose(tried); hop < maxSuccessors && next != nil {
			proposed = i.issue(next)
		}
		answer, err := i.attempt(r, k, proposed, hop)
		switch {
		case errors.Is(err, errTimeout):
			return refused(call.Unknown, call.ReasonDeadline)
		case err != nil:
			// The key may have reached its sidecar through another ingress, so
			// even a refused connection does not mean that it did not run.
			return refused(call.Unknown, call.ReasonLost)
		case answer.successor == nil:
			return answer
		}
		k = *answer.successor
		tried = append(tried, k.Node())
	}
	return refused(call.Unknown, call.ReasonNoTokens)
}

// resolve returns the issued key of a request.
func (i *instance) resolve(r request) (k booking.Key, failed *reply) {
	if booking.IsIssued(r.key) {
		k, err := booking.ParseKey(r.key)
		if err != nil {
			f := refused(call.NotRun, call.ReasonKeyMalformed)
			return booking.Key{}, &f
		}
		return k, nil
	}
	to := i.choose(nil)
	if to == nil {
		// An earlier request with this key may have run.
		f := refused(call.Unknown, call.ReasonNoUpstream)
		return booking.Key{}, &f
	}
	proposed := i.issue(to)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	k, err := i.currentClaims().Claim(ctx, r.key, r.fingerprint(), *proposed)
	if i.world.off == FirstClaimWins && err == nil {
		return *proposed, nil
	}
	var claimError *booking.ClaimError
	if !errors.As(err, &claimError) {
		return k, nil
	}
	f := refused(claimError.Outcome, claimError.Reason)
	if f.reason == call.ReasonLogUnavailable {
		switch i.world.off {
		case ReadBack:
			return *proposed, nil // as if the append had taken effect and come first
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

func (i *instance) choose(tried []string) *node {
	i.mu.Lock()
	defer i.mu.Unlock()
	u, ok := i.routes.Choose(time.Now(), routing.Query{Service: service, Importance: call.Critical, Tried: tried})
	if !ok {
		return nil
	}
	return i.world.node(u.Node)
}

// report tells the routing table how an attempt ended.
func (i *instance) report(n *node, r reply, err error) {
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
	owner := i.world.node(k.Node())
	x.target = func() (*process, func() reply) {
		to := owner.instance()
		return to.proc, func() reply { return to.sidecar(r, k, proposed) }
	}
	i.mu.Lock()
	i.routes.RecordSent(time.Now(), service, owner.name, 1)
	i.mu.Unlock()
	answer, err = i.world.send(i.proc, x)
	i.report(owner, answer, err)
	return answer, err
}

// sidecar handles an attempt at the node that owns the key.
func (i *instance) sidecar(r request, k booking.Key, successor *booking.Key) reply {
	deadline := time.Now().Add(callTimeout)
	m := &message{label: r.label, main: r.main}
	for {
		if i.world.pass(RecordKey, Sender, i.proc, m) != nil {
			return reply{}
		}
		begun := i.ledger.Begin(k, r.fingerprint())
		if i.world.pass(RecordKey, Receiver, i.proc, m) != nil {
			return reply{}
		}
		switch begun.Verdict {
		case booking.Run:
			return i.run(r, k, successor, deadline)
		case booking.Wait:
			select {
			case <-begun.Done:
			case <-i.proc.dead:
				return reply{}
			case <-time.After(time.Until(deadline)):
				return refused(call.Unknown, call.ReasonDeadline)
			}
		default:
			return replyOf(begun)
		}
	}
}

func replyOf(begun booking.BeginResult) reply {
	switch {
	case begun.HasSuccessor:
		return reply{successor: &begun.Successor}
	case begun.Answer != nil:
		return answered(string(begun.Answer.Body))
	default:
		return refused(begun.Outcome, begun.Reason)
	}
}

// run admits a booking whose key was recorded and passes it on, or refuses it.
func (i *instance) run(r request, k booking.Key, successor *booking.Key, deadline time.Time) reply {
	m := &message{label: r.label, main: r.main}
	switch {
	case i.refusesNow():
		return i.refuse(r, k, call.ReasonOverloaded, successor)
	case time.Now().After(deadline):
		return i.refuse(r, k, call.ReasonTooLate, nil)
	}
	answer, err := i.world.send(i.proc, exchange{
		label:   r.label + "/backend",
		main:    r.main,
		request: BackendRequest,
		answer:  BackendAnswer,
		timeout: time.Until(deadline),
		target: func() (*process, func() reply) {
			b := i.backendProcess()
			return b, func() reply { return i.world.runBackend(b, r) }
		},
	})
	if errors.Is(err, errUnreachable) {
		return i.refuse(r, k, call.ReasonUnreachable, successor)
	}
	if i.world.pass(RecordEnd, Sender, i.proc, m) != nil {
		return reply{}
	}
	result := answer
	if err == nil {
		i.ledger.Finish(k, r.fingerprint(), call.Answered, "", &booking.Answer{Status: 201, Body: []byte(answer.body)})
	} else {
		result = refused(call.Unknown, call.ReasonLost)
		i.ledger.Finish(k, r.fingerprint(), call.Unknown, call.ReasonLost, nil)
	}
	if i.world.pass(RecordEnd, Receiver, i.proc, m) != nil {
		return reply{}
	}
	return result
}

func (i *instance) refuse(r request, k booking.Key, reason call.Reason, successor *booking.Key) reply {
	m := &message{label: r.label, main: r.main}
	if i.world.pass(RecordRefusal, Sender, i.proc, m) != nil {
		return reply{}
	}
	i.ledger.Refuse(k, r.fingerprint(), reason, successor)
	if i.world.pass(RecordRefusal, Receiver, i.proc, m) != nil {
		return reply{}
	}
	if successor != nil {
		return reply{successor: successor}
	}
	return refused(call.NotRun, reason)
}

// refusesNow stands for admission control.
func (i *instance) refusesNow() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.drains:
		return true
	case i.world.cell.Scenario.Admission == FirstRefuses:
		return i.name == "n2"
	case i.world.cell.Scenario.Admission == AllRefuseAtFirst:
		return time.Since(i.world.start) < refusingTime
	default:
		return false
	}
}

// runBackend is the backend server's part. The booking takes effect between the
// two sides of the step.
func (w *world) runBackend(b *process, r request) reply {
	m := &message{label: r.label, main: r.main}
	if w.pass(BackendRun, Sender, b, m) != nil {
		return reply{}
	}
	body := w.recordRun(r)
	select {
	case <-time.After(serviceTime):
	case <-b.dead:
		return reply{}
	}
	if w.pass(BackendRun, Receiver, b, m) != nil {
		return reply{}
	}
	return answered(body)
}

func (w *world) recordRun(r request) (body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := r.authorization + "/" + r.booking
	body = fmt.Sprintf("booked %s, run %d", id, len(w.runs[id])+1)
	w.runs[id] = append(w.runs[id], r.label)
	return body
}
