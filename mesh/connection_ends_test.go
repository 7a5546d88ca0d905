package mesh

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/metrics"
)

// eventLog holds the events that were recorded, each as its name and attributes.
type eventLog struct {
	mu    sync.Mutex
	lines []string
}

// Record implements eventRecorder.
func (l *eventLog) Record(id event.ID, attrs ...slog.Attr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprint(id.String(), attrs))
}

// has reports whether an event with the name and all the texts was recorded.
func (l *eventLog) has(name string, texts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		found := strings.HasPrefix(line, name)
		for _, text := range texts {
			found = found && strings.Contains(line, text)
		}
		if found {
			return true
		}
	}
	return false
}

func (l *eventLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n")
}

const numberedRequest = "POST / HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"

// Guards against a fault of the program that leaves a request, which may have been passed
// on, without an answer.
func TestCrashOfHandlerIsAnswered(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Server-Signature", "signed")
		panic("index out of range")
	}))
	_, server.Listener = trackConnections(server.Config, server.Listener)
	server.Start()
	defer server.Close()
	client, err := net.Dial("tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	_, err = io.WriteString(client, numberedRequest)
	must.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(client), nil)
	must.NoError(t, err)
	defer answer.Body.Close()
	must.Eq(t, http.StatusBadGateway, answer.StatusCode)
	must.Eq(t, "r1", answer.Header.Get("X-Request-Id"))
	must.Eq(t, "", answer.Header.Get("X-Server-Signature"))
	must.True(t, answer.Close)
}

// Guards against a connection that ends without an answer and without a trace.
func TestEndWithoutAnswerIsRecorded(t *testing.T) {
	const hang = "hang"
	for name, c := range map[string]struct {
		sent    string
		handler http.HandlerFunc
		end     func(t *testing.T, open *connections, client net.Conn)
		event   string
		texts   []string
	}{
		"handler crashes": {
			sent: numberedRequest, handler: func(http.ResponseWriter, *http.Request) { panic("index out of range") },
			event: event.CallCrashed.String(), texts: []string{"request=r1", "index out of range", "stack=", "version=7", "hop=ingress"},
		},
		"handler crashes within its answer": {
			sent: numberedRequest, handler: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				panic("index out of range")
			},
			event: event.AnswerNotSent.String(), texts: []string{"request=r1", "closedBy=node", "without a whole answer"},
		},
		"answer is cut": {
			sent: numberedRequest, handler: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				panic(http.ErrAbortHandler)
			},
			event: event.AnswerNotSent.String(), texts: []string{"request=r1", "closedBy=node", "without a whole answer"},
		},
		"node aborts": {
			sent: numberedRequest, end: func(_ *testing.T, open *connections, _ net.Conn) { open.abort() },
			event: event.AnswerNotSent.String(), texts: []string{"request=r1", "closedBy=node", "planned stop"},
		},
		"peer resets": {
			sent: numberedRequest, end: func(t *testing.T, _ *connections, client net.Conn) {
				must.NoError(t, client.(*net.TCPConn).SetLinger(0))
				must.NoError(t, client.Close())
			},
			event: event.AnswerNotSent.String(), texts: []string{"request=r1", "closedBy=peer"},
		},
		"peer closes within a head": {
			sent: numberedRequest[:20], end: func(t *testing.T, open *connections, client net.Conn) {
				eventually(t, open.isReading)
				must.NoError(t, client.Close())
			},
			event: event.RequestNotRead.String(), texts: []string{"error=EOF"},
		},
		"head is malformed": {
			sent: "POST / HTTP/1.1\r\nbad\r\n\r\n", event: event.RequestNotRead.String(), texts: []string{"status=HTTP/1.1 400"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan struct{}, 1)
			handler := c.handler
			if handler == nil {
				handler = func(w http.ResponseWriter, r *http.Request) {
					received <- struct{}{}
					<-r.Context().Done()
					_, _ = io.WriteString(w, strings.Repeat(hang, 1<<16))
				}
			}
			events := &eventLog{}
			httpServer := httptest.NewUnstartedServer(handler)
			var open *connections
			open, httpServer.Listener = trackConnections(httpServer.Config, httpServer.Listener,
				withConnectionEvents(events, metrics.Ingress, func() int64 { return 7 }))
			httpServer.Start()
			defer httpServer.Close()
			client, err := net.Dial("tcp", httpServer.Listener.Addr().String())
			must.NoError(t, err)
			defer client.Close()
			_, err = io.WriteString(client, c.sent)
			must.NoError(t, err)
			if c.end != nil {
				if c.event == event.AnswerNotSent.String() {
					<-received
				}
				c.end(t, open, client)
			}
			eventually(t, func() bool { return events.has(c.event, c.texts...) })
		})
	}
}

// Guards against events about connections that end as they should.
func TestAnsweredConnectionIsNotRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		sent string
		end  func(open *connections, client net.Conn)
	}{
		"closed by the caller":        {numberedRequest, func(_ *connections, client net.Conn) { client.Close() }},
		"closed by the idle limit":    {numberedRequest, func(open *connections, _ net.Conn) { open.closeExpired(time.Now().Add(2*idleLimit), idleLimit) }},
		"closed with the answer":      {strings.Replace(numberedRequest, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), func(_ *connections, client net.Conn) { client.Close() }},
		"closed without any requests": {"", func(_ *connections, client net.Conn) { client.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			events := &eventLog{}
			httpServer := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			var open *connections
			open, httpServer.Listener = trackConnections(httpServer.Config, httpServer.Listener,
				withConnectionEvents(events, metrics.Ingress, func() int64 { return 7 }))
			httpServer.Start()
			defer httpServer.Close()
			client, err := net.Dial("tcp", httpServer.Listener.Addr().String())
			must.NoError(t, err)
			defer client.Close()
			_, err = io.WriteString(client, c.sent)
			must.NoError(t, err)
			eventually(t, func() bool { return open.count() == 1 })
			if c.sent != "" {
				_, err = client.Read(make([]byte, 1))
				must.NoError(t, err)
			}
			eventually(t, func() bool {
				c.end(open, client)
				return open.count() == 0
			})
			must.Eq(t, "", events.text())
		})
	}
}

// Guards against messages of net/http that get lost outside of the log of events.
func TestMessageOfServerIsRecorded(t *testing.T) {
	d := newDeployment(t, "orders")
	n := d.vms[0].node
	for _, server := range n.lifecycle.components.servers.all {
		must.NotNil(t, server.ErrorLog)
	}
	events := &eventLog{}
	_, err := serverErrorWriter{events}.Write([]byte("http: Accept error\n"))
	must.NoError(t, err)
	must.True(t, events.has(event.ServerError.String(), "detail=http: Accept error]"), must.Sprint(events.text()))
}
