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

// callResult is the result of a call as its caller sees it. Without a complete response,
// the outcome is unknown.
type callResult struct {
	outcome call.Outcome
	reason  call.Reason
	text    string
}

// bookingTest is a test of one booking, with a key that node n2 owns, in a system of three
// nodes.
type bookingTest struct {
	t      *testing.T
	system *e2e.System
	n2     *e2e.Upstream
	key    string
}

func newBookingTest(t *testing.T, backendArguments ...string) *bookingTest {
	spec := e2e.UpstreamSpec{Region: "addis", Zone: "addis-a", Service: "orders", BackendArguments: backendArguments}
	c := &bookingTest{t: t, system: start(t, spec, spec, spec)}
	c.n2 = c.system.Upstream(1)
	c.key = c.issueKey(0, "n2").String()
	return c
}

// issueKey requests keys from a node until it issues one that the owner node owns.
func (c *bookingTest) issueKey(from int, owner string) (key booking.Key) {
	for range 1000 {
		a, err := send(c.t.Context(), http.MethodPost, c.system.Upstream(from).CallerAddress, "/lacewingslip/v1/keys?service=orders&count=64", "", "")
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
	c.t.Fatalf("node %d issued no key that %s owns", from+1, owner)
	return key
}

// book sends the booking through a node, with a timeout of two seconds.
func (c *bookingTest) book(ctx context.Context, through int) (result callResult) {
	url := "http://" + c.system.Upstream(through).CallerAddress + "/orders/book"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(strings.NewReader(order)))
	must.NoError(c.t, err)
	request.ContentLength = int64(len(order))
	request.Close = true
	request.Header.Set(call.HeaderKey, c.key)
	request.Header.Set(call.HeaderTimeout, "2000")
	request.Header.Set(backend.HeaderBooking, order)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{text: err.Error()}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return callResult{text: err.Error()}
	}
	outcome, err := call.ParseOutcome(answer.Header.Get(call.HeaderOutcome))
	must.NoError(c.t, err)
	return callResult{outcome, call.Reason(answer.Header.Get(call.HeaderReason)), string(text)}
}

// startBooking sends the booking through the first node, and returns once it is running.
func (c *bookingTest) startBooking(ctx context.Context) <-chan callResult {
	answers := make(chan callResult, 1)
	go func() { answers <- c.book(ctx, 0) }()
	waitCallRunning(c.t, c.n2)
	return answers
}

// runs returns how many times the booking ran on all backend servers together.
func (c *bookingTest) runs() (n int) {
	for i := range 3 {
		runs, err := c.system.Upstream(i).Runs(c.t.Context())
		must.NoError(c.t, err)
		n += runs[order]
	}
	return n
}

// checkResults compares the results that callers got with the number of runs. It is called
// after all calls have ended.
func (c *bookingTest) checkResults(answers ...callResult) {
	c.t.Helper()
	runs := c.runs()
	c.t.Logf("the booking ran %d times, callers got %v", runs, answers)
	must.LessEq(c.t, 1, runs, must.Sprint("the booking ran twice"))
	for _, a := range answers {
		must.False(c.t, a.outcome == call.NotRun && runs > 0, must.Sprint("a booking that ran was reported as notRun"))
		if a.outcome == call.Answered {
			must.Eq(c.t, "orders POST /orders/book "+order+"\n", a.text)
		}
	}
}

// insertRelay inserts a relay between the second node and its backend server. The backend
// server is restarted so that it sends its announcements to an address that ignores them:
// it repeats them every 200 ms, and the next one would remove the relay from the path.
func (c *bookingTest) insertRelay() *e2e.Relay {
	c.n2.Backend.Kill()
	c.n2.BackendArguments = append(c.n2.BackendArguments, "--node", c.n2.OperatorAddress)
	must.NoError(c.t, c.system.StartBackend(c.n2))
	for {
		if _, err := c.n2.Runs(c.t.Context()); err == nil {
			break
		}
		must.NoError(c.t, c.t.Context().Err())
		time.Sleep(10 * time.Millisecond)
	}
	r, err := e2e.NewRelay(c.n2.ServerAddress)
	must.NoError(c.t, err)
	c.t.Cleanup(r.Close)
	b := backend.New("orders")
	must.NoError(c.t, b.Announce(c.t.Context(), c.n2.BackendAddress, r.Address()))
	return r
}

// restartNode restarts a node whose process has ended, announces its running backend
// server, and waits until the other nodes issue keys of its new incarnation.
func (c *bookingTest) restartNode(index int, others ...int) {
	u, name := c.system.Upstream(index), fmt.Sprintf("n%d", index+1)
	must.NoError(c.t, c.system.RestartNode(u))
	b := backend.New("orders")
	for b.Announce(c.t.Context(), u.BackendAddress, u.ServerAddress) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	incarnation := c.issueKey(index, name).Incarnation()
	for _, other := range others {
		for c.issueKey(other, name).Incarnation() != incarnation {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// setLogFaults sets the faults of the log service.
func (c *bookingTest) setLogFaults(faults string) {
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodPut, "http://"+c.system.LogAddress+"/faults", strings.NewReader(faults))
	must.NoError(c.t, err)
	answer, err := http.DefaultClient.Do(request)
	must.NoError(c.t, err)
	answer.Body.Close()
	must.Less(c.t, 300, answer.StatusCode)
}

// Guards against a second run when a caller sends the booking through all nodes at the same
// time, and against repeats that do not get the response.
func TestBookingRepeatedAtOnce(t *testing.T) {
	c := newBookingTest(t, "--service-time", "200ms")
	answers := make([]callResult, 30)
	var wg sync.WaitGroup
	for n := range answers {
		wg.Go(func() { answers[n] = c.book(t.Context(), n%3) })
	}
	wg.Wait()
	c.checkResults(answers...)
	for _, a := range answers {
		must.Eq(t, call.Answered, a.outcome)
	}
}

// Guards against a second run or the outcome notRun after the sidecar was killed while the
// booking was running, also when the call arrives at the sidecar's new process beside the
// same backend server.
func TestBookingSidecarKilled(t *testing.T) {
	c := newBookingTest(t, "--service-time", "500ms")
	first := c.startBooking(t.Context())
	c.n2.Node.Kill()
	answers := []callResult{<-first, c.book(t.Context(), 2)}
	c.restartNode(1, 0, 2)
	direct := c.book(t.Context(), 1)
	c.checkResults(append(answers, c.book(t.Context(), 0), direct)...)
	must.Eq(t, call.Unknown, direct.outcome)
	must.Eq(t, call.ReasonOwnerGone, direct.reason)
}

// Guards against a second run when the sidecar is frozen while the booking is running, and
// against the loss of the outcome after the sidecar has been continued.
func TestBookingSidecarFrozen(t *testing.T) {
	c := newBookingTest(t, "--service-time", "500ms")
	first := c.startBooking(t.Context())
	must.NoError(t, c.n2.Node.Signal(syscall.SIGSTOP))
	answers := []callResult{c.book(t.Context(), 2), <-first}
	must.NoError(t, c.n2.Node.Signal(syscall.SIGCONT))
	c.checkResults(append(answers, c.book(t.Context(), 0))...)
	must.Eq(t, call.Unknown, answers[1].outcome)
}

// Guards against attempts that are queued in the connections of a frozen sidecar, and that
// run after their callers were told notRun, or run twice.
func TestBookingSidecarFrozenBefore(t *testing.T) {
	c := newBookingTest(t)
	must.NoError(t, c.n2.Node.Signal(syscall.SIGSTOP))
	answers := make([]callResult, 2)
	var wg sync.WaitGroup
	for n, through := range []int{0, 2} {
		wg.Go(func() { answers[n] = c.book(t.Context(), through) })
	}
	wg.Wait()
	must.NoError(t, c.n2.Node.Signal(syscall.SIGCONT))
	answers = append(answers, c.book(t.Context(), 0))
	time.Sleep(500 * time.Millisecond) // late attempts would have run by now
	c.checkResults(answers...)
}

// Guards against a truncated response that is treated as complete, against an HTTP transport
// that resends the booking by itself, and against a second run by the caller's repeat. The
// connection is used for another call first, because a transport only resends requests on
// reused connections.
func TestBookingAnswerCut(t *testing.T) {
	for name, bytes := range map[string]int{"without response": 0, "within headers": 20, "within body": 120} {
		t.Run(name, func(t *testing.T) {
			c := newBookingTest(t)
			relay := c.insertRelay()
			bookingKey := c.key
			c.key = c.issueKey(0, "n2").String()
			warm, err := send(t.Context(), http.MethodPost, c.n2.CallerAddress, "/orders/book", c.key, "warm up")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, warm.status)
			c.key = bookingKey
			relay.TruncateResponsesAfter(bytes)
			first := c.book(t.Context(), 0)
			relay.TruncateResponsesAfter(-1)
			repeat := c.book(t.Context(), 2)
			c.checkResults(first, repeat)
			must.Eq(t, 1, c.runs())
			must.Eq(t, call.Unknown, first.outcome)
			must.Eq(t, call.Unknown, repeat.outcome)
		})
	}
}

// Guards against a running booking that is cancelled because its caller disconnects, and
// against a repeat through another node that does not find the booking.
func TestBookingCallerGone(t *testing.T) {
	c := newBookingTest(t, "--service-time", "500ms")
	ctx, cancel := context.WithCancel(t.Context())
	first := c.startBooking(ctx)
	cancel()
	<-first
	repeat := c.book(t.Context(), 2)
	c.checkResults(repeat)
	must.Eq(t, call.Answered, repeat.outcome)
}

// Guards against a repeat with a refused key that gets the outcome notRun although the
// booking ran under the successor key, also after the node that owns the successor key
// has ended.
func TestBookingSuccessor(t *testing.T) {
	c := newBookingTest(t)
	deregistered, err := send(t.Context(), http.MethodDelete, c.n2.BackendAddress, "/lacewingslip/v1/announcement", "", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusNoContent, deregistered.status)
	first, repeat := c.book(t.Context(), 0), c.book(t.Context(), 2)
	c.checkResults(first, repeat)
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
		c.restartNode(i, other)
		gone := c.book(t.Context(), other)
		c.checkResults(unreachable, gone)
		must.Eq(t, call.Unknown, unreachable.outcome)
		must.Eq(t, call.Unknown, gone.outcome)
	}
}

// Guards against two issued keys for one caller-chosen key when responses of the log
// service are lost, and against the outcome notRun for a booking that ran, when the log
// service is down.
func TestBookingCallerChosenKey(t *testing.T) {
	c := newBookingTest(t)
	c.key = fmt.Sprintf("%d-order-7", time.Now().Unix())
	c.setLogFaults(`{"loseAnswers": 2}`)
	answers := make([]callResult, 2)
	var wg sync.WaitGroup
	for through := range answers {
		wg.Go(func() { answers[through] = c.book(t.Context(), through) })
	}
	wg.Wait()
	c.setLogFaults(`{"down": true}`)
	down := c.book(t.Context(), 2)
	c.setLogFaults(`{}`)
	up := c.book(t.Context(), 2)
	c.checkResults(append(answers, down, up)...)
	must.Eq(t, call.Unknown, down.outcome)
	must.Eq(t, call.ReasonLogUnavailable, down.reason)
	must.Eq(t, call.Answered, up.outcome)
}
