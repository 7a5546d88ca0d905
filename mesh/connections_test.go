package mesh

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/server"
)

// idleLimit is the limit for idle connections in the tests.
const idleLimit = time.Second

// Guards against closing a connection for being idle after a request has been read from it.
// net/http reports a connection as idle until it has read the whole head of a request, and
// the handler runs although the connection is closed.
func TestRequestReadAtIdleLimitIsAnswered(t *testing.T) {
	for name, end := range map[string]func(*connections){
		"limit": func(open *connections) { open.closeExpired(time.Now().Add(2*idleLimit), idleLimit) },
		"stop":  func(open *connections) { open.closeIdle() },
	} {
		t.Run(name, func(t *testing.T) {
			requests := 0
			_, client := serveConnections(t, func(open *connections, state http.ConnState) {
				if state == http.StateActive {
					if requests++; requests == 2 {
						end(open)
					}
				}
			})
			client.exchange(emptyRequest)
			client.exchange(emptyRequest)
			must.Eq(t, 2, requests)
		})
	}
}

// Guards against closing a connection for being idle while a request arrives in pieces.
func TestRequestInPiecesAtIdleLimitIsAnswered(t *testing.T) {
	for name, firstPiece := range map[string]int{"one byte": 1, "request line": 17, "all but the last byte": len(emptyRequest) - 1} {
		for when, await := range map[string]func(t *testing.T, open *connections){
			"arrived": func(*testing.T, *connections) {},
			"read":    func(t *testing.T, open *connections) { eventually(t, open.isReading) },
		} {
			t.Run(name+" "+when, func(t *testing.T) {
				open, client := serveConnections(t, func(*connections, http.ConnState) {})
				client.exchange(emptyRequest)
				client.write(emptyRequest[:firstPiece])
				await(t, open)
				open.closeExpired(time.Now().Add(2*idleLimit), idleLimit)
				client.exchange(emptyRequest[firstPiece:])
			})
		}
	}
}

// Guards against closing a connection while the rest of a head that has been read in part
// may still arrive, because the pause is longer than the idle limit.
func TestPauseInHeadIsNotIdle(t *testing.T) {
	open, client := serveConnections(t, func(*connections, http.ConnState) {})
	client.exchange(emptyRequest)
	client.write(emptyRequest[:1])
	eventually(t, open.isReading)
	closed, _ := open.closeExpired(time.Now().Add(2*idleLimit), idleLimit)
	must.EqOp(t, 0, closed)
	closed, _ = open.closeExpired(time.Now().Add(2*headerTimeout), idleLimit)
	must.EqOp(t, 1, closed)
	eventually(t, func() bool { return open.count() == 0 })
}

// Guards against cutting a request that is in progress when a planned stop closes the
// connections: of a caller, accepted after the stop looked for requests, or of another
// node, whose slot is free while a long answer is still being sent.
func TestRequestAtEndOfStopIsAnswered(t *testing.T) {
	for name, sender := range map[string]int{"of a caller": 0, "of another node": 1} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "catalogue")
			stopping := d.vms[0]
			received, proceed := make(chan struct{}), make(chan struct{})
			stopping.server.SetBehaviour(func(*http.Request) server.Behaviour {
				close(received)
				<-proceed
				return server.Answer
			})
			answered := make(chan callerResult, 1)
			go func() { answered <- d.call(d.vms[sender], http.MethodPost, "/once/", "a") }()
			<-received
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				stopping.node.lifecycle.finishRequests(time.Now().Add(10 * time.Second))
			}()
			time.Sleep(2 * connectionDrainTimeout)
			close(proceed)
			r := <-answered
			must.NoError(t, r.err)
			must.Eq(t, http.StatusOK, r.status)
			<-stopped
		})
	}
}

// Guards against losing a request of another node that meets the close of its connection
// at the end of a stop: the sender can't know whether it has run.
func TestStoppingNodeClosesConnectionsOfOtherNodes(t *testing.T) {
	d := newDeployment(t, "orders")
	v := d.vms[0]
	v.node.lifecycle.components.sidecar.stopping.Store(true)
	conn, err := net.Dial("tcp", v.settings.Listen.Peer)
	must.NoError(t, err)
	defer conn.Close()
	req := &request{id: "a", method: http.MethodPost, target: "/once/", header: http.Header{}, service: "orders", deadline: time.Now().Add(time.Second)}
	must.NoError(t, req.httpRequest(func(h http.Header) { setRequestHeaders(h, req, 1) }).Write(conn))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.True(t, response.Close)
}

// Guards against closing the connection of a request that runs for longer than the idle
// limit.
func TestRunningRequestIsNotIdle(t *testing.T) {
	received, proceed := make(chan struct{}, 2), make(chan struct{}, 2)
	httpServer := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received <- struct{}{}
		<-proceed
	}))
	var open *connections
	open, httpServer.Listener = trackConnections(httpServer.Config, httpServer.Listener)
	httpServer.Start()
	defer httpServer.Close()
	conn, err := net.Dial("tcp", httpServer.Listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	client := &rawClient{t: t, conn: conn, reader: bufio.NewReader(conn)}
	// The second request is pipelined, so nothing is read for it.
	client.write(emptyRequest + emptyRequest)
	for range 2 {
		<-received
		closed, _ := open.closeExpired(time.Now().Add(2*idleLimit), idleLimit)
		must.Eq(t, 0, closed)
		proceed <- struct{}{}
		client.exchange("")
	}
}

// Guards against cutting a request in the last half of a short grace time.
func TestPlannedStopWithShortGrace(t *testing.T) {
	for name, grace := range map[string]time.Duration{"1 s": time.Second, "2 s": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders")
			v := d.vms[0]
			settings := v.settings
			settings.Bounds.Grace = grace
			v.node.Reload(settings)
			v.server.SetServiceTime(400 * time.Millisecond)
			answered := make(chan callerResult, 1)
			time.AfterFunc(200*time.Millisecond, func() { answered <- d.call(v, http.MethodPost, "/once/", "a") })
			must.NoError(t, v.node.Stop(context.Background()))
			r := <-answered
			must.NoError(t, r.err)
			must.Eq(t, http.StatusOK, r.status)
		})
	}
}

// Guards against a caller that gets no answer, and a connection that stays open, when the
// body of a request stops arriving.
func TestStalledBodyIsAnswered(t *testing.T) {
	for name, c := range map[string]struct{ length, sent int }{
		"short body": {10, 3}, "long body": {maxBufferedBytes + 100, maxBufferedBytes + 10},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "catalogue")
			conn, err := net.Dial("tcp", d.vms[1].settings.Listen.Caller)
			must.NoError(t, err)
			defer conn.Close()
			must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: example\r\nX-Request-Id: a\r\nX-Deadline-Ms: 1000\r\nContent-Length: %d\r\n\r\n%s",
				c.length, strings.Repeat("x", c.sent))
			must.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			must.GreaterEq(t, http.StatusInternalServerError, response.StatusCode)
		})
	}
}

// Guards against a connection that stays open after its limit or after a stop, because a
// few bytes that begin no request have arrived, or because net/http resets the read
// deadline after it has reported the connection as idle.
func TestIdleConnectionEnds(t *testing.T) {
	limit := func(open *connections) { open.closeExpired(time.Now().Add(2*idleLimit), idleLimit) }
	stop := func(open *connections) { open.closeIdle() }
	for name, c := range map[string]struct {
		trailing string
		end      func(*connections)
	}{
		"limit":             {"", limit},
		"limit, line break": {"\r\n", limit},
		"stop":              {"", stop},
	} {
		t.Run(name, func(t *testing.T) {
			open, client := serveConnections(t, func(open *connections, state http.ConnState) {
				if state == http.StateIdle {
					c.end(open)
				}
			})
			client.exchange(emptyRequest)
			client.write(c.trailing)
			eventually(t, func() bool {
				c.end(open)
				return open.count() == 0
			})
		})
	}
}

// Guards against a connection that expires although a part of a request was read after its
// idle time had been compared with the limit.
func TestPartReadWhileConnectionExpires(t *testing.T) {
	for range 20_000 {
		conn, other := net.Pipe()
		c := &serverConn{Conn: conn}
		c.endRequest()
		now, start := c.idleSince.Add(time.Second), make(chan struct{})
		var steps sync.WaitGroup
		steps.Go(func() {
			<-start
			c.recordRead([]byte("P"), false)
		})
		steps.Go(func() {
			<-start
			c.expire(now, 10*time.Millisecond)
		})
		close(start)
		steps.Wait()
		must.False(t, c.expired)
		conn.Close()
		other.Close()
	}
}

// Guards against reading on from a connection after a read has failed because it expired:
// bufio returns the part of a line that it has as a whole line, so the request that is
// passed on would be another than the one that was sent.
func TestExpiredConnectionIsNotReadAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	accepted, err := serverListener{listener}.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	c := accepted.(*serverConn)
	c.endRequest()
	_, expired := c.expire(time.Now().Add(time.Minute), time.Second)
	must.True(t, expired)
	buffer := make([]byte, 100)
	_, err = c.Read(buffer)
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = io.WriteString(client, "late")
	must.NoError(t, err)
	eventually(t, c.hasUnreadData)
	n, err := c.Read(buffer)
	must.Eq(t, 0, n)
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
	must.Error(t, err)
}

func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// isReading reports whether a part of a request has been read from a connection.
func (s *connections) isReading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.mu.Lock()
		reading := c.idle && c.reading
		c.mu.Unlock()
		if reading {
			return true
		}
	}
	return false
}

const emptyRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"

// rawClient is a client that decides which bytes it sends.
type rawClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// serveConnections starts a server, and a client that is connected to it. The hook is
// called before the connections learn of a state.
func serveConnections(t *testing.T, hook func(open *connections, state http.ConnState)) (open *connections, client *rawClient) {
	t.Helper()
	httpServer := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	open, httpServer.Listener = trackConnections(httpServer.Config, httpServer.Listener)
	onStateChange := httpServer.Config.ConnState
	httpServer.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateActive {
			hook(open, state)
		}
		onStateChange(c, state)
		if state != http.StateActive {
			hook(open, state)
		}
	}
	httpServer.Start()
	t.Cleanup(httpServer.Close)
	conn, err := net.Dial("tcp", httpServer.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return open, &rawClient{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *rawClient) write(bytes string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, bytes)
	must.NoError(c.t, err)
}

// exchange sends bytes and reads an answer.
func (c *rawClient) exchange(bytes string) {
	c.t.Helper()
	c.write(bytes)
	response, err := http.ReadResponse(c.reader, nil)
	must.NoError(c.t, err)
	must.NoError(c.t, response.Body.Close())
	must.Eq(c.t, http.StatusOK, response.StatusCode)
}
