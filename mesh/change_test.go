package mesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// Guards against a request on a kept connection that gets no answer because a new version of
// the desired state comes into force while it is read, waits for a slot or runs.
func TestRequestBesideChangeIsAnswered(t *testing.T) {
	const head = "POST /once/x HTTP/1.1\r\nHost: example\r\nX-Request-Id: a\r\nX-Deadline-Ms: 5000\r\nContent-Length: 10\r\n\r\n"
	const body = "0123456789"
	longTimeout := once("once")
	longTimeout.Timeout = 5 * time.Second
	shortTimeout := longTimeout
	shortTimeout.Timeout = 100 * time.Millisecond
	otherService := longTimeout
	otherService.Service = "vanished"
	changes := map[string]struct {
		limits operator.Limits
		routes []operator.Route
	}{
		"shorter idle limit": {operator.Limits{IdleTimeout: time.Millisecond}, []operator.Route{longTimeout}},
		"shorter time-out":   {operator.Limits{}, []operator.Route{shortTimeout}},
		"route vanishes":     {operator.Limits{}, []operator.Route{safe("safe")}},
		"service vanishes":   {operator.Limits{}, []operator.Route{otherService}},
		"smaller body":       {operator.Limits{BodyBytes: 1}, []operator.Route{longTimeout}},
		"smaller head":       {operator.Limits{HeaderBytes: 1}, []operator.Route{longTimeout}},
		"all":                {operator.Limits{IdleTimeout: time.Millisecond, HeaderBytes: 1, BodyBytes: 1}, []operator.Route{safe("safe")}},
	}
	phases := map[string]struct {
		sentBefore string
		// busySlots is the number of requests that run before.
		busySlots int
		runs      bool
	}{
		"first byte read":  {sentBefore: head[:1]},
		"half of the head": {sentBefore: head[:len(head)/2]},
		"head":             {sentBefore: head},
		"half of the body": {sentBefore: head + body[:5]},
		"waits for a slot": {sentBefore: head + body, busySlots: usableSlots(8)},
		"runs":             {sentBefore: head + body, runs: true},
	}
	for changeName, change := range changes {
		for phaseName, phase := range phases {
			for _, sender := range []string{"own node", "other node"} {
				t.Run(changeName+"/"+phaseName+"/"+sender, func(t *testing.T) {
					t.Parallel()
					d := newDeployment(t, "orders", "catalogue")
					d.publish(longTimeout)
					d.awaitConvergence()
					runner, v := d.vms[0], d.vms[0]
					if sender == "other node" {
						v = d.vms[1]
					}
					client := connect(t, v)
					client.answer(strings.Replace(head, "Id: a", "Id: before", 1) + body)
					proceed, received := make(chan struct{}), make(chan string, usableSlots(8)+1)
					runner.server.SetRunHook(func(r *http.Request) (ok bool) {
						received <- r.Header.Get("X-Request-Id")
						<-proceed
						return true
					})
					var others sync.WaitGroup
					for n := range phase.busySlots {
						others.Go(func() { d.call(runner, http.MethodPost, "/once/", fmt.Sprintf("busy%d", n)) })
					}
					for range phase.busySlots {
						<-received
					}
					client.write(phase.sentBefore)
					switch {
					case phase.runs:
						must.Eq(t, "a", <-received)
					case phase.busySlots > 0:
						eventually(t, func() bool { return runner.node.lifecycle.components.sidecar.slots.Load().Waiting > 0 })
					default:
						// Leaves time for the node to read what was sent.
						time.Sleep(50 * time.Millisecond)
					}
					d.version++
					d.log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, operator.EncodeDesiredStateWithLimits(d.version, change.limits, change.routes, "orders"))
					d.awaitConvergence()
					// Leaves time for the periodic work to apply the limits.
					time.Sleep(3 * tickInterval)
					close(proceed)
					status := client.answer((head + body)[len(phase.sentBefore):])
					others.Wait()
					switch status {
					case http.StatusOK:
						must.Eq(t, 1, runner.server.Runs("a"))
					case http.StatusServiceUnavailable, http.StatusNotFound, http.StatusRequestEntityTooLarge:
						must.Eq(t, 0, runner.server.Runs("a"))
					default:
						t.Fatalf("unexpected status %d", status)
					}
					if phase.runs {
						must.Eq(t, http.StatusOK, status)
					}
				})
			}
		}
	}
}

// connect opens a connection to the node of a VM as a caller.
func connect(t *testing.T, v *vm) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", v.settings.Listen.Caller)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return &rawClient{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// answer sends bytes and reads a whole answer with any status.
func (c *rawClient) answer(bytes string) (status int) {
	c.t.Helper()
	c.write(bytes)
	response, err := http.ReadResponse(c.reader, nil)
	must.NoError(c.t, err)
	_, err = io.ReadAll(response.Body)
	must.NoError(c.t, err)
	must.NoError(c.t, response.Body.Close())
	return response.StatusCode
}
