package mesh

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

// callerConnections is the number of connections that callers may have in the tests.
const callerConnections = 4

// newDeploymentOfFewConnections returns a deployment with a node of a small budget of
// connections, of which the clients of other ports take nothing from callers.
func newDeploymentOfFewConnections(t *testing.T, arrivalTimeout time.Duration) (v *vm, d *deployment, budget *clientlimit.ConnectionBudget) {
	t.Helper()
	const others = 100
	budget = clientlimit.NewConnectionBudget(callerConnections+4*others, map[clientlimit.Port]int{
		peerPort: others, announcePort: others, readyPort: others, operatorPort: others,
	}, arrivalTimeout)
	d = newEmptyDeployment(t)
	d.beforeStart = func(n *Node) { n.lifecycle.components.servers.limits.connections = budget }
	v = d.addVM("orders")
	d.awaitConvergence()
	return v, d, budget
}

// isClosed reads until the connection ends, and reports whether it was closed without a byte.
func (c *rawClient) isClosed() bool {
	_, err := c.reader.ReadByte()
	return errors.Is(err, io.EOF)
}

// Guards against closing a connection with a request that arrives or runs, because silent
// clients need its descriptor, and against closing more than the one idle connection whose
// place the first of them takes.
func TestSilentClientsDoNotEndRequests(t *testing.T) {
	v, d, budget := newDeploymentOfFewConnections(t, time.Minute)
	running, arriving, idle, idleLater := connect(t, v), connect(t, v), connect(t, v), connect(t, v)
	for n, client := range []*rawClient{running, arriving, idle, idleLater} {
		must.Eq(t, http.StatusOK, client.answer(requestOfSize(fmt.Sprint("first", n), 0)))
	}
	received, proceed := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(proceed) })
	defer release()
	v.server.SetRunHook(func(*http.Request) bool {
		close(received)
		<-proceed
		return true
	})
	running.write(requestOfSize("running", 0))
	<-received
	head := requestOfSize("arriving", 0)
	arriving.write(head[:1])
	eventually(t, v.node.lifecycle.components.servers.callerConnections.isReading)
	for range 3 * callerConnections {
		connect(t, v)
	}
	must.True(t, idle.isClosed())
	release()
	must.Eq(t, http.StatusOK, running.answer(""))
	v.server.SetRunHook(func(*http.Request) bool { return true })
	must.Eq(t, http.StatusOK, arriving.answer(head[1:]))
	must.Eq(t, http.StatusOK, idleLater.answer(requestOfSize("second", 0)))
	eventually(t, func() bool { return d.call(v, http.MethodGet, "/safe/", "ordinary").status == http.StatusOK })
	kill(v.node)
	must.Zero(t, budget.Used())
}

// Guards against a part of a request that holds its descriptor although others need it, and
// against a request that runs although it was refused.
func TestPartOfRequestIsRefused(t *testing.T) {
	const statedBytes = 2
	for name, part := range map[string]string{
		"head": strings.TrimSuffix(requestOfSize("part", 0), "\r\n"),
		"body": fmt.Sprintf("POST /once/ HTTP/1.1\r\nHost: %s\r\nX-Request-Id: part\r\nX-Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n{", operator.Host, statedBytes),
	} {
		t.Run(name, func(t *testing.T) {
			v, d, _ := newDeploymentOfFewConnections(t, 0)
			limits := v.node.lifecycle.components.servers.limits
			var head clientlimit.Head
			head.Scan([]byte(part))
			bodyCost := int64(0)
			if head.Ended() {
				bodyCost = statedBytes
			}
			var clients []*rawClient
			for range callerConnections {
				client := connect(t, v)
				client.write(part)
				clients = append(clients, client)
				count := int64(len(clients))
				eventually(t, func() bool {
					return limits.memory.Used() == count*head.Cost() && limits.bodies.Used() == count*bodyCost
				})
			}
			eventually(t, func() bool { return d.call(v, http.MethodGet, "/safe/", "ordinary").status == http.StatusOK })
			must.Eq(t, http.StatusServiceUnavailable, clients[0].answer(""))
			must.Zero(t, v.server.Runs("part"))
		})
	}
}

// Guards against a connection that is accepted although requests run on all others.
func TestNoRoomBesideRunningRequests(t *testing.T) {
	v, d, _ := newDeploymentOfFewConnections(t, headerTimeout)
	received, proceed := make(chan struct{}, callerConnections), make(chan struct{})
	release := sync.OnceFunc(func() { close(proceed) })
	defer release()
	v.server.SetRunHook(func(*http.Request) bool {
		received <- struct{}{}
		<-proceed
		return true
	})
	var clients []*rawClient
	for n := range callerConnections {
		client := connect(t, v)
		client.write(requestOfSize(fmt.Sprint("running", n), 0))
		clients = append(clients, client)
		<-received
	}
	must.Error(t, d.call(v, http.MethodGet, "/safe/", "refused").err)
	release()
	for _, client := range clients {
		must.Eq(t, http.StatusOK, client.answer(""))
	}
	eventually(t, func() bool { return d.call(v, http.MethodGet, "/safe/", "ordinary").status == http.StatusOK })
	must.Zero(t, v.server.Runs("refused"))
}

// unreadConn is a connection whose client reads nothing, so that a write ends at its deadline.
type unreadConn struct {
	net.Conn
	writeDeadline time.Time
}

func (c *unreadConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return nil
}

func (c *unreadConn) Write([]byte) (n int, err error) { return 0, os.ErrDeadlineExceeded }

// Guards against a client that reads no answers and keeps its descriptor for longer than the
// connection waits that is to get it.
func TestUnreadRefusalDoesNotDelayNewConnection(t *testing.T) {
	budget := clientlimit.NewConnectionBudget(1, nil, 0)
	conn, other := net.Pipe()
	defer other.Close()
	unread := &unreadConn{Conn: conn}
	c := &serverConn{Conn: unread, idle: true}
	c.client.account = budget.Open(callerPort, c)
	c.endRequest()
	c.recordRead([]byte("G"), false)
	victim := budget.Open(callerPort, nil).Admit(time.Now().Add(time.Second)).Victim
	must.EqOp(t, c.client.account, victim)
	c.endForAnother()
	must.True(t, c.refuse())
	must.False(t, unread.writeDeadline.IsZero())
	must.LessEq(t, admissionTimeout, time.Until(unread.writeDeadline))
}

// Guards against a request without a descriptor for its connection that fails as if it might have
// run, against taking the receiver for unreachable because of it, and against refusing exchanges
// and the log service, which have a reserve: the second node joins while no request gets a
// connection.
func TestRequestWithoutConnectionIsNotRun(t *testing.T) {
	d := newEmptyDeployment(t)
	none := hop.NewConnectionLimit(0, func() {})
	d.beforeStart = func(n *Node) {
		n.lifecycle.components.balancer.limit = none
		n.lifecycle.components.sidecar.backend.setLimit(none)
	}
	for _, v := range []*vm{d.addVM("orders"), d.addVM("gateway")} {
		d.publish(safe("safe"))
		d.awaitConvergence()
		answer := d.call(v, http.MethodGet, "/safe/", "a")
		must.NoError(t, answer.err)
		must.Eq(t, http.StatusServiceUnavailable, answer.status)
		must.Eq(t, "1.000", answer.header.Get("Retry-After"))
		must.Zero(t, d.runs("a"))
		_, unreachable := v.node.lifecycle.components.balancer.countPeers()
		must.Zero(t, unreachable)
	}
}

// Guards against own connections that take what is kept for clients, files, exchanges and the log
// service, or that get fewer than a node with its slots in use needs.
func TestOwnConnectionLimitOfSettings(t *testing.T) {
	must.Nil(t, newOwnConnectionLimit(nodeconfig.Config{}, nil))
	for descriptors, limit := range map[int]int{64: 6, 1024: 154, 4100: 731, 8192: 1498} {
		must.Eq(t, limit, newOwnConnectionLimit(nodeconfig.Config{Descriptors: descriptors}, nil).Limit())
	}
}

// Guards against a budget that leaves no descriptors for files and for the connections of the
// node itself, or nothing to clients.
func TestConnectionBudgetOfSettings(t *testing.T) {
	must.Nil(t, newConnectionBudget(nodeconfig.Config{}))
	for descriptors, limit := range map[int]int{64: 24, 1024: 618, 4100: 2925, 8192: 5994} {
		must.Eq(t, limit, newConnectionBudget(nodeconfig.Config{Descriptors: descriptors}).Limit())
	}
}

// Guards against trying one node after another, and counting a refusal for each, if this process
// has no connection left: the limit is the same for all nodes.
func TestRequestWithoutConnectionIsTriedOnce(t *testing.T) {
	var refused atomic.Int64
	none := hop.NewConnectionLimit(0, func() { refused.Add(1) })
	d := newEmptyDeployment(t)
	d.addVM("orders")
	d.addVM("orders")
	d.beforeStart = func(n *Node) { n.lifecycle.components.balancer.limit = none }
	v := d.addVM("gateway")
	d.publish(safe("safe"))
	d.awaitConvergence()
	must.Eq(t, http.StatusServiceUnavailable, d.call(v, http.MethodGet, "/safe/", "a").status)
	must.EqOp(t, 1, refused.Load())
}
