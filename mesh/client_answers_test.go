package mesh

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
)

// longAnswerBytes is the length of the body that the server sends as [server.AnswerLong].
const longAnswerBytes = 200 << 10

// newDeploymentOfFewAnswers returns a deployment with a node whose budget of responses has room
// for a long one.
func newDeploymentOfFewAnswers(t *testing.T, stallTimeout time.Duration) (v *vm, d *deployment, budget *clientlimit.AnswerBudget) {
	t.Helper()
	budget = clientlimit.NewAnswerBudget(4*longAnswerBytes, nil, stallTimeout)
	d = newEmptyDeployment(t)
	d.beforeStart = func(n *Node) { n.lifecycle.components.servers.limits.answers = budget }
	v = d.addVM("orders")
	d.publish(safe("safe"))
	d.awaitConvergence()
	return v, d, budget
}

// Guards against a response that no client reads and that keeps out all others, against a
// request that runs although it was refused for it, and against a write that goes on.
func TestUnreadAnswerIsCut(t *testing.T) {
	for name, c := range map[string]struct {
		stallTimeout time.Duration
		cut          bool
	}{"stalled": {0, true}, "not stalled yet": {time.Hour, false}} {
		t.Run(name, func(t *testing.T) {
			v, d, budget := newDeploymentOfFewAnswers(t, c.stallTimeout)
			client, node := net.Pipe()
			defer client.Close()
			conn := &serverConn{Conn: node}
			conn.head.limits, conn.head.port = v.node.lifecycle.components.servers.limits, callerPort
			res := &result{body: make([]byte, 4*longAnswerBytes), held: holdAnswer(context.WithValue(t.Context(), serverConnKey{}, conn))}
			must.True(t, res.held.charge(int64(len(res.body))))
			written := make(chan error, 1)
			go func() {
				defer res.close()
				written <- writeHeld(pipeWriter{conn}, res)
			}()
			_, err := client.Read(make([]byte, 1))
			must.NoError(t, err)
			answer := d.call(v, http.MethodGet, "/safe/", "a")
			must.NoError(t, answer.err)
			if !c.cut {
				must.Eq(t, http.StatusServiceUnavailable, answer.status)
				must.Zero(t, d.runs("a"))
				must.Eq(t, 0, len(written))
				must.Eq(t, budget.Limit(), budget.Used())
				return
			}
			must.Eq(t, http.StatusOK, answer.status)
			must.Error(t, <-written)
		})
	}
}

// pipeWriter writes to a connection.
type pipeWriter struct{ *serverConn }

// Header implements http.ResponseWriter.
func (pipeWriter) Header() http.Header { return http.Header{} }

// WriteHeader implements http.ResponseWriter.
func (pipeWriter) WriteHeader(int) {}

// Guards against losing the response of a request that has run, because no memory is left to hold
// it, and against a budget that does not get back what a response has taken.
func TestAnswerWithoutRoomIsDelivered(t *testing.T) {
	for name, free := range map[string]int64{"no room": 0, "room for a part": longAnswerBytes / 4} {
		t.Run(name, func(t *testing.T) {
			v, d, budget := newDeploymentOfFewAnswers(t, time.Hour)
			other := budget.Open(callerPort, nil)
			v.server.SetBehaviour(func(*http.Request) server.Behaviour {
				_, ok := other.Charge(time.Now(), budget.Limit()-free)
				must.True(t, ok)
				return server.AnswerLong
			})
			answer := d.call(v, http.MethodGet, "/safe/", "long")
			must.NoError(t, answer.err)
			must.Eq(t, http.StatusOK, answer.status)
			must.True(t, strings.Repeat("x", longAnswerBytes) == answer.body)
			other.Release()
			eventually(t, func() bool { return budget.Used() == 0 })
		})
	}
}

// Guards against taking a response that waits for an earlier one of its connection for one that
// the client does not read: its eviction ends the connection, and cuts the earlier one.
func TestAnswerThatWaitsForItsTurnIsNotCut(t *testing.T) {
	budget := clientlimit.NewAnswerBudget(2*maxHeldResponse, nil, answerStallTimeout)
	conn := new(serverConn)
	conn.head.limits, conn.head.port = &clientLimits{answers: budget}, callerPort
	ctx := context.WithValue(t.Context(), serverConnKey{}, conn)
	s := &startedRequest{
		conn: conn, r: httptest.NewRequestWithContext(ctx, http.MethodGet, "/safe/", http.NoBody),
		header: make(http.Header), full: make(chan struct{}), turn: make(chan http.ResponseWriter, 1),
	}
	res := &result{body: make([]byte, 2*maxHeldResponse), held: holdAnswer(ctx)}
	must.True(t, res.held.charge(int64(len(res.body))))
	written := make(chan error, 1)
	go func() { written <- writeHeld(s, res) }()
	<-s.full
	for now := time.Now(); now.Before(time.Now().Add(2 * answerStallTimeout)); now = now.Add(answerRoomInterval) {
		victim, ok := budget.Admits(now, callerPort, 1)
		must.True(t, victim == nil && !ok)
	}
	s.turn <- httptest.NewRecorder()
	must.NoError(t, <-written)
}
