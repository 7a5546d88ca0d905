package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/e2e"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
)

const order = "400 egg trays"

// told is what a caller learns. Whatever is not certain is unknown.
type told struct {
	outcome call.Outcome
	reason  call.Reason
	text    string
}

// cell is a booking with a key of node n2, in a system of three nodes.
type cell struct {
	t      *testing.T
	system *e2e.System
	n2     *e2e.Upstream
	key    string
}

func newCell(t *testing.T, backendArguments ...string) *cell {
	place := e2e.Place{Region: "addis", Zone: "addis-a", Service: "orders", Backend: backendArguments}
	c := &cell{t: t, system: start(t, place, place, place)}
	c.n2 = c.system.Upstream(1)
	c.key = c.issue(0, "n2").String()
	return c
}

// issue asks a node for keys until one is for the owner.
func (c *cell) issue(from int, owner string) (key booking.Key) {
	for range 1000 {
		a, err := send(c.t.Context(), http.MethodPost, c.system.Upstream(from).Caller, "/lacewingslip/v1/keys?service=orders&count=64", "", "")
		must.NoError(c.t, err)
		var issued struct {
			Keys []string `json:"keys"`
		}
		must.NoError(c.t, json.Unmarshal([]byte(a.text), &issued), must.Sprint(a.text))
		for _, text := range issued.Keys {
			key, err = booking.ParseKey(text)
			must.NoError(c.t, err)
			if key.Node() == owner {
				return key
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("node %d issued no key of %s", from+1, owner)
	return key
}

// book sends the booking through a node, with two seconds for it.
func (c *cell) book(ctx context.Context, through int) (got told) {
	url := "http://" + c.system.Upstream(through).Caller + "/orders/book"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(strings.NewReader(order)))
	must.NoError(c.t, err)
	request.ContentLength = int64(len(order))
	request.Close = true
	request.Header.Set(call.HeaderKey, c.key)
	request.Header.Set(call.HeaderTimeout, "2000")
	request.Header.Set(backend.HeaderBooking, order)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return told{text: err.Error()}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return told{text: err.Error()}
	}
	outcome, err := call.ParseOutcome(answer.Header.Get(call.HeaderOutcome))
	must.NoError(c.t, err)
	return told{outcome, call.Reason(answer.Header.Get(call.HeaderReason)), string(text)}
}

// begin sends the booking through the first node and returns once it runs.
func (c *cell) begin(ctx context.Context) <-chan told {
	answers := make(chan told, 1)
	go func() { answers <- c.book(ctx, 0) }()
	waitRunning(c.t, c.n2)
	return answers
}

func (c *cell) runs() (n int) {
	for i := range 3 {
		runs, err := c.system.Upstream(i).Runs(c.t.Context())
		must.NoError(c.t, err)
		n += runs[order]
	}
	return n
}

// check compares what callers were told with what ran, in the end.
func (c *cell) check(answers ...told) {
	c.t.Helper()
	runs := c.runs()
	c.t.Logf("ran %d times, callers were told %v", runs, answers)
	must.LessEq(c.t, 1, runs, must.Sprint("the booking ran twice"))
	for _, a := range answers {
		must.False(c.t, a.outcome == call.NotRun && runs > 0, must.Sprint("a booking that ran was called notRun"))
		if a.outcome == call.Answered {
			must.Eq(c.t, "orders POST /orders/book "+order+"\n", a.text)
		}
	}
}

// relay puts a relay between the second node and its backend server.
func (c *cell) relay() *e2e.Relay {
	r, err := e2e.NewRelay(c.n2.Address)
	must.NoError(c.t, err)
	c.t.Cleanup(r.Close)
	b := backend.New("orders")
	must.NoError(c.t, b.Announce(c.t.Context(), c.n2.BackendSide, r.Address()))
	return r
}

// restart starts a node again beside its running backend server, and waits until
// the other nodes issue keys of its new incarnation.
func (c *cell) restart(index int, others ...int) {
	u, name := c.system.Upstream(index), fmt.Sprintf("n%d", index+1)
	must.NoError(c.t, c.system.RestartNode(u))
	b := backend.New("orders")
	for b.Announce(c.t.Context(), u.BackendSide, u.Address) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	incarnation := c.issue(index, name).Incarnation()
	for _, other := range others {
		for c.issue(other, name).Incarnation() != incarnation {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// failLog sets the faults of the log service.
func (c *cell) failLog(faults string) {
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodPut, "http://"+c.system.LogAddress+"/faults", strings.NewReader(faults))
	must.NoError(c.t, err)
	answer, err := http.DefaultClient.Do(request)
	must.NoError(c.t, err)
	answer.Body.Close()
	must.Less(c.t, 300, answer.StatusCode)
}

// Guards against a second run when a caller repeats through all nodes at once,
// and against repeats that don't get the answer.
func TestBookingRepeatedAtOnce(t *testing.T) {
	c := newCell(t, "--service-time", "200ms")
	answers := make([]told, 30)
	var wg sync.WaitGroup
	for n := range answers {
		wg.Go(func() { answers[n] = c.book(t.Context(), n%3) })
	}
	wg.Wait()
	c.check(answers...)
	for _, a := range answers {
		must.Eq(t, call.Answered, a.outcome)
	}
}

// Guards against a second run, or notRun, after the sidecar was killed while the
// booking ran, and by the new process beside the same backend server.
func TestBookingSidecarKilled(t *testing.T) {
	c := newCell(t, "--service-time", "500ms")
	first := c.begin(t.Context())
	c.n2.Node.Kill()
	answers := []told{<-first, c.book(t.Context(), 2)}
	c.restart(1, 0, 2)
	direct := c.book(t.Context(), 1)
	c.check(append(answers, c.book(t.Context(), 0), direct)...)
	must.Eq(t, call.Unknown, direct.outcome)
	must.Eq(t, call.ReasonOwnerGone, direct.reason)
}

// Guards against a second run when the sidecar is frozen while the booking runs,
// and against losing the outcome once it goes on.
func TestBookingSidecarFrozen(t *testing.T) {
	c := newCell(t, "--service-time", "500ms")
	first := c.begin(t.Context())
	must.NoError(t, c.n2.Node.Signal(syscall.SIGSTOP))
	answers := []told{c.book(t.Context(), 2), <-first}
	must.NoError(t, c.n2.Node.Signal(syscall.SIGCONT))
	c.check(append(answers, c.book(t.Context(), 0))...)
	must.Eq(t, call.Unknown, answers[1].outcome)
}

// Guards against attempts that waited in the connections of a frozen sidecar and
// run after their callers were told notRun, or run twice.
func TestBookingSidecarFrozenBefore(t *testing.T) {
	c := newCell(t)
	must.NoError(t, c.n2.Node.Signal(syscall.SIGSTOP))
	answers := make([]told, 2)
	var wg sync.WaitGroup
	for n, through := range []int{0, 2} {
		wg.Go(func() { answers[n] = c.book(t.Context(), through) })
	}
	wg.Wait()
	must.NoError(t, c.n2.Node.Signal(syscall.SIGCONT))
	answers = append(answers, c.book(t.Context(), 0))
	time.Sleep(500 * time.Millisecond) // what arrives late would run by now
	c.check(answers...)
}

// Guards against a cut answer that is taken for a whole one, against an HTTP
// transport that sends the booking again by itself, and against a second run by
// the repeat. The connection has been used before, since only then a transport
// sends again.
func TestBookingAnswerCut(t *testing.T) {
	for name, bytes := range map[string]int{"without answer": 0, "within headers": 20, "within body": 120} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t)
			relay := c.relay()
			bookingKey := c.key
			c.key = c.issue(0, "n2").String()
			warm, err := send(t.Context(), http.MethodPost, c.n2.Caller, "/orders/book", c.key, "warm up")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, warm.status)
			c.key = bookingKey
			relay.CutAnswersAfter(bytes)
			first := c.book(t.Context(), 0)
			relay.CutAnswersAfter(-1)
			repeat := c.book(t.Context(), 2)
			c.check(first, repeat)
			must.Eq(t, 1, c.runs())
			must.Eq(t, call.Unknown, first.outcome)
			must.Eq(t, call.Unknown, repeat.outcome)
		})
	}
}

// Guards against a running booking that is cancelled with its caller, and
// against a repeat through another node that does not find it.
func TestBookingCallerGone(t *testing.T) {
	c := newCell(t, "--service-time", "500ms")
	ctx, cancel := context.WithCancel(t.Context())
	first := c.begin(ctx)
	cancel()
	<-first
	repeat := c.book(t.Context(), 2)
	c.check(repeat)
	must.Eq(t, call.Answered, repeat.outcome)
}

// Guards against a repeat of a refused key that is told notRun although the
// booking ran under the successor, also when the successor's node has ended.
func TestBookingSuccessor(t *testing.T) {
	c := newCell(t)
	left, err := send(t.Context(), http.MethodDelete, c.n2.BackendSide, "/lacewingslip/v1/announcement", "", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusNoContent, left.status)
	first, repeat := c.book(t.Context(), 0), c.book(t.Context(), 2)
	c.check(first, repeat)
	must.Eq(t, call.Answered, first.outcome)
	must.Eq(t, call.Answered, repeat.outcome)
	for i, other := range map[int]int{0: 2, 2: 0} {
		successor := c.system.Upstream(i)
		runs, err := successor.Runs(t.Context())
		must.NoError(t, err)
		if runs[order] == 0 {
			continue
		}
		successor.Node.Kill()
		unreachable := c.book(t.Context(), other)
		c.restart(i, other)
		gone := c.book(t.Context(), other)
		c.check(unreachable, gone)
		must.Eq(t, call.Unknown, unreachable.outcome)
		must.Eq(t, call.Unknown, gone.outcome)
	}
}

// Guards against two issued keys for one caller-chosen key, with answers of the
// log lost, and against notRun for a booking that ran while the log is down.
func TestBookingCallerChosenKey(t *testing.T) {
	c := newCell(t)
	c.key = fmt.Sprintf("%d-order-7", time.Now().Unix())
	c.failLog(`{"loseAnswers": 2}`)
	answers := make([]told, 2)
	var wg sync.WaitGroup
	for through := range answers {
		wg.Go(func() { answers[through] = c.book(t.Context(), through) })
	}
	wg.Wait()
	c.failLog(`{"down": true}`)
	down := c.book(t.Context(), 2)
	c.failLog(`{}`)
	up := c.book(t.Context(), 2)
	c.check(append(answers, down, up)...)
	must.Eq(t, call.Unknown, down.outcome)
	must.Eq(t, call.ReasonLogUnavailable, down.reason)
	must.Eq(t, call.Answered, up.outcome)
}
