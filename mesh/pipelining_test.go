package mesh

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/pipeline"
)

// lookupHead returns the head of a request of a route that may be repeated, with a time limit.
func lookupHead(id string) string {
	return "GET /safe/ HTTP/1.1\r\n" + operator.HeadLines(id, 5*time.Second) + "\r\n"
}

// pipelinedClient connects to the caller port of a VM's node.
func pipelinedClient(t *testing.T, v *vm) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", v.settings.Listen.Caller)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return &rawClient{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// expect reads the response to a request and compares its ID, status and body.
func (c *rawClient) expect(id string, status int, body string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	must.NoError(c.t, err)
	read, err := io.ReadAll(response.Body)
	must.NoError(c.t, err)
	must.NoError(c.t, response.Body.Close())
	must.Eq(c.t, id, response.Header.Get("X-Request-Id"))
	must.Eq(c.t, status, response.StatusCode)
	must.Eq(c.t, body, string(read))
}

// Guards against running the requests of a connection one after the other: the first ends only
// after the last has started, and the responses are ready in reverse order.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	d := newDeployment(t, "orders")
	const requests = 4
	ended := map[string]chan struct{}{}
	for n := range requests + 1 {
		ended[fmt.Sprint(n)] = make(chan struct{})
	}
	close(ended[fmt.Sprint(requests)])
	d.vms[0].server.SetRunHook(func(r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		n := int(id[0] - '0')
		select {
		case <-ended[fmt.Sprint(n+1)]:
			close(ended[id])
			return true
		case <-time.After(10 * time.Second):
			return false
		}
	})
	client := pipelinedClient(t, d.vms[0])
	var sent strings.Builder
	for n := range requests {
		sent.WriteString(lookupHead(fmt.Sprint(n)))
	}
	client.write(sent.String())
	for n := range requests {
		client.expect(fmt.Sprint(n), http.StatusOK, fmt.Sprintf("answer of %d", n))
	}
}

const pipelinedLookup = "GET /safe/%d HTTP/1.1\r\nHost: a\r\n\r\n"

// lookups returns the bytes of numbered requests that may start together.
func lookups(number int) (sent string) {
	for n := range number {
		sent += fmt.Sprintf(pipelinedLookup, n)
	}
	return sent
}

// send sends bytes in pieces without waiting for their reader.
func send(client net.Conn, sent string, piece int) {
	go func() {
		for part := range slices.Chunk([]byte(sent), piece) {
			if _, err := client.Write(part); err != nil {
				return
			}
		}
	}()
}

// awaitResponses reads as many responses as there are paths, compares the path that each
// states. It returns the last body, and whether that response closes the connection.
func awaitResponses(t *testing.T, client net.Conn, paths ...string) (body []byte, closes bool) {
	t.Helper()
	reader := bufio.NewReader(client)
	for _, path := range paths {
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		body, err = io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Eq(t, path, response.Header.Get("X-Path"))
		closes = response.Close
	}
	return body, closes
}

// Guards against a request that starts too early, because it may not be repeated or is not
// certain, or behind one of these; and against one that waits without need, also if its head
// arrives byte by byte. Each request takes 200 ms of virtual time.
func TestPipelinedRequestsStart(t *testing.T) {
	const safe, work = "GET /safe HTTP/1.1\r\nHost: a\r\n\r\n", 200 * time.Millisecond
	for name, c := range map[string]struct {
		sent   string
		starts []int
	}{
		"lookups":             {safe + safe + safe, []int{0, 0, 0}},
		"unsafe route first":  {"GET /once HTTP/1.1\r\nHost: a\r\n\r\n" + safe + safe, []int{0, 1, 1}},
		"unsafe route within": {safe + safe + "GET /once HTTP/1.1\r\nHost: a\r\n\r\n" + safe + safe, []int{0, 0, 1, 2, 2}},
		"body within":         {safe + "POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab" + safe + safe, []int{0, 1, 2, 2}},
		"body first":          {"POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab" + safe + safe, []int{0, 1, 1}},
		"chunks within":       {safe + "POST /safe HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + safe + safe, []int{0, 1, 2, 3}},
		"older version":       {safe + "GET /safe HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + safe + safe, []int{0, 1, 2, 3}},
		"upgrade":             {safe + "GET /safe HTTP/1.1\r\nHost: a\r\nUpgrade: b\r\n\r\n" + safe, []int{0, 1, 2}},
		"close":               {safe + "GET /safe HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + safe, []int{0, 1}},
		"malformed":           {safe + "GET /safe HTTP/1.1\r\n\r\n" + safe, []int{0}},
	} {
		for _, piece := range []int{1, 1 << 20} {
			t.Run(fmt.Sprintf("%s in pieces of %d", name, piece), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var mu sync.Mutex
					var starts []int
					begin := time.Now()
					s := newPipeServer(t, func(_ http.ResponseWriter, r *http.Request) {
						mu.Lock()
						starts = append(starts, int(time.Since(begin)/work))
						mu.Unlock()
						_, _ = io.Copy(io.Discard, r.Body)
						time.Sleep(work)
					})
					_, client, stop := s.start(true)
					send(client, c.sent, piece)
					go func() { _, _ = io.Copy(io.Discard, client) }()
					time.Sleep(10 * work)
					stop()
					mu.Lock()
					defer mu.Unlock()
					must.Eq(t, c.starts, starts)
				})
			})
		}
	}
}

// Guards against memory without bound for a client that sends requests without end and never
// reads, and against requests that never start once the limit has been reached.
func TestPipelinedRequestsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running, sentBytes atomic.Int64
		proceed := make(chan struct{})
		s := newPipeServer(t, func(w http.ResponseWriter, r *http.Request) {
			running.Add(1)
			<-proceed
			w.Header().Set("X-Path", r.RequestURI)
			_, _ = w.Write(make([]byte, 100<<10))
		})
		_, client, stop := s.start(true)
		go func() {
			for n := 0; ; n++ {
				written, err := fmt.Fprintf(client, pipelinedLookup, n)
				if sentBytes.Add(int64(written)); err != nil {
					return
				}
			}
		}()
		synctest.Wait()
		must.EqOp(t, 1+pipeline.MaxStarted, running.Load())
		// 4 KB is the buffer of net/http.
		must.LessEq(t, int64(pipeline.MaxHeldBytes+4<<10), sentBytes.Load())
		must.LessEq(t, int64(pipeline.MaxStarted*startedRequestCost), s.limits.bodies.Used())
		must.LessEq(t, int64(2*pipeline.MaxHeldBytes+pipeline.MaxStarted<<10), s.limits.memory.Used())
		close(proceed)
		synctest.Wait()
		must.EqOp(t, 1+pipeline.MaxStarted, running.Load())
		paths := make([]string, 100)
		for n := range paths {
			paths[n] = fmt.Sprintf("/safe/%d", n)
		}
		awaitResponses(t, client, paths...)
		stop()
	})
}

// Guards against refusing requests, or starting them without a budget, if a budget has no room
// for what would be held.
func TestPipelinedRequestsBeyondBudget(t *testing.T) {
	for name, limit := range map[string]func(l *clientLimits){
		"heads":     func(l *clientLimits) { l.memory = clientlimit.NewBudget(2<<10, nil) },
		"responses": func(l *clientLimits) { l.bodies = clientlimit.NewBudget(2*startedRequestCost-1, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				s := newPipeServer(t, func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("X-Path", r.RequestURI)
					time.Sleep(time.Second)
				})
				limit(s.limits)
				_, client, stop := s.start(true)
				send(client, strings.Repeat("GET /safe HTTP/1.1\r\nHost: a\r\nA: "+strings.Repeat("b", 200)+"\r\n\r\n", 3), 1<<20)
				awaitResponses(t, client, "/safe", "/safe", "/safe")
				must.Eq(t, 3*time.Second, time.Since(begin))
				stop()
			})
		})
	}
}

// Guards against requests that run on, or start, after their client has disconnected.
func TestPipelinedRequestsOfDisconnectedClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var started, cancelled atomic.Int64
		s := newPipeServer(t, func(_ http.ResponseWriter, r *http.Request) {
			started.Add(1)
			<-r.Context().Done()
			cancelled.Add(1)
		})
		_, client, stop := s.start(true)
		send(client, lookups(30), 1<<20)
		synctest.Wait()
		must.EqOp(t, 1+pipeline.MaxStarted, started.Load())
		client.Close()
		synctest.Wait()
		must.EqOp(t, 1+pipeline.MaxStarted, cancelled.Load())
		must.EqOp(t, 1+pipeline.MaxStarted, started.Load())
		stop()
	})
}

// Guards against requests that run on after their client has disconnected while as many bytes
// are held as may be, so that the end of the connection can't be read.
func TestPipelinedRequestsOfDisconnectedClientBeyondBuffer(t *testing.T) {
	started, cancelled := make(chan struct{}, 100), make(chan struct{}, 100)
	s := newPipeServer(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		cancelled <- struct{}{}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := newServer(s.handler)
	_, tracked := trackConnections(server, listener, limitClients(s.limits, callerPort),
		startAhead(&pipelining{handler: s.handler, repeatable: func(string, string) bool { return true }}))
	go func() { _ = server.Serve(tracked) }()
	defer server.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	_, err = io.WriteString(client, strings.Repeat("GET /safe HTTP/1.1\r\nHost: a\r\nA: "+strings.Repeat("b", 700)+"\r\n\r\n", 60))
	must.NoError(t, err)
	for range 1 + pipeline.MaxStarted {
		<-started
	}
	eventually(t, func() bool { return s.limits.memory.Used() >= pipeline.MaxHeldBytes })
	client.Close()
	for range 1 + pipeline.MaxStarted {
		select {
		case <-cancelled:
		case <-time.After(10 * time.Second):
			t.Fatal("requests run on")
		}
	}
	must.EqOp(t, 0, len(started))
}

// Guards against closing the connection with a response while requests behind it have started,
// as when a planned stop begins: they would be left without a response.
func TestPipelinedResponseThatCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeServer(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Path", r.RequestURI)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusOK)
		})
		open, client, stop := s.start(true)
		send(client, lookups(3), 1<<20)
		_, closes := awaitResponses(t, client, "/safe/0", "/safe/1", "/safe/2")
		must.True(t, closes)
		synctest.Wait()
		must.EqOp(t, 0, open.count())
		stop()
	})
}

// Guards against an end of the process by a panic of a request that has started ahead, and
// against losing the responses before it.
func TestPipelinedRequestPanics(t *testing.T) {
	for name, cause := range map[string]any{"crash": "index out of range", "cut": http.ErrAbortHandler} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cancelled atomic.Bool
				s := newPipeServer(t, func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("X-Path", r.RequestURI)
					switch r.RequestURI {
					case "/safe/0":
						time.Sleep(time.Second)
					case "/safe/1":
						panic(cause)
					default:
						<-r.Context().Done()
						cancelled.Store(true)
					}
				})
				_, client, stop := s.start(true)
				send(client, lookups(3), 1<<20)
				reader := bufio.NewReader(client)
				response, err := http.ReadResponse(reader, nil)
				must.NoError(t, err)
				must.NoError(t, response.Body.Close())
				must.Eq(t, "/safe/0", response.Header.Get("X-Path"))
				rest, err := io.ReadAll(reader)
				must.NoError(t, err)
				must.Eq(t, name == "crash", strings.HasPrefix(string(rest), "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\n"))
				must.Eq(t, 0, strings.Count(string(rest), "200 OK"))
				synctest.Wait()
				must.True(t, cancelled.Load())
				stop()
			})
		})
	}
}

// Guards against a crash that leaves no event, because the connection ends before the turn of
// the response, and against a second event for a crash whose response is written.
func TestPipelinedCrashIsRecorded(t *testing.T) {
	for name, cut := range map[string]bool{"dropped": true, "written": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPipeServer(t, func(_ http.ResponseWriter, r *http.Request) {
					if r.RequestURI == "/safe/1" {
						panic("index out of range")
					}
					time.Sleep(time.Second)
					if cut {
						panic(http.ErrAbortHandler)
					}
				})
				open, client, stop := s.start(true)
				var crashes atomic.Int64
				open.record = func(id event.ID, _ ...slog.Attr) {
					if id == event.CallCrashed {
						crashes.Add(1)
					}
				}
				send(client, lookups(2), 1<<20)
				_, err := io.Copy(io.Discard, client)
				must.NoError(t, err)
				stop()
				must.EqOp(t, 1, crashes.Load())
			})
		})
	}
}

// Guards against a long response that is cut, or held without bound, while it waits for an
// earlier one.
func TestLongPipelinedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written, writtenEarly atomic.Int64
		s := newPipeServer(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Path", r.RequestURI)
			if r.RequestURI == "/safe/0" {
				time.Sleep(time.Second)
				writtenEarly.Store(written.Load())
				return
			}
			for n := range 100 {
				// An error shows in the length of the response.
				_, _ = w.Write(bytes.Repeat([]byte{byte(n)}, streamBuffer))
				written.Add(streamBuffer)
			}
		})
		_, client, stop := s.start(true)
		send(client, lookups(2), 1<<20)
		body, _ := awaitResponses(t, client, "/safe/0", "/safe/1")
		must.EqOp(t, maxHeldResponse, writtenEarly.Load())
		must.Eq(t, 100*streamBuffer, len(body))
		for n := range 100 {
			must.Eq(t, byte(n), body[n*streamBuffer])
		}
		stop()
	})
}

// Guards against a client that reads nothing and keeps a response for ever that was held until
// its turn.
func TestUnreadPipelinedResponseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.RequestURI == "/safe/0" {
				time.Sleep(time.Second)
				return
			}
			// An error shows in the length of the response.
			_, _ = w.Write(make([]byte, maxHeldResponse))
		})
		_, client, stop := s.start(true)
		defer stop()
		send(client, lookups(2), 1<<20)
		reader := bufio.NewReader(client)
		first, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		must.NoError(t, first.Body.Close())
		time.Sleep(2 * writeTimeout)
		rest, err := io.ReadAll(reader)
		must.Less(t, maxHeldResponse, len(rest), must.Sprint(err))
	})
}

// Guards against losing requests that have started behind another when a planned stop begins
// while all of them run.
func TestPipelinedRequestsAtStopAreAnswered(t *testing.T) {
	d := newDeployment(t, "orders")
	v := d.vms[0]
	received, proceed := make(chan struct{}, 3), make(chan struct{})
	v.server.SetRunHook(func(*http.Request) bool {
		received <- struct{}{}
		<-proceed
		return true
	})
	client := pipelinedClient(t, v)
	client.write(lookupHead("a") + lookupHead("b") + lookupHead("c"))
	for range 3 {
		<-received
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		v.node.lifecycle.stopping.Store(true)
		v.node.lifecycle.finishRequests(time.Now().Add(10 * time.Second))
	}()
	eventually(t, v.node.lifecycle.refusesAll.Load)
	close(proceed)
	for _, id := range []string{"a", "b", "c"} {
		client.expect(id, http.StatusOK, "answer of "+id)
	}
	_, err := client.reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	<-stopped
}
