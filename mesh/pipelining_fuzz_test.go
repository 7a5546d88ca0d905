package mesh

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/desired"
)

// pipeServer serves connections in memory, whose handlers take virtual time.
type pipeServer struct {
	t       *testing.T
	limits  *clientLimits
	handler http.HandlerFunc
	accepts chan net.Conn
}

func newPipeServer(t *testing.T, handler http.HandlerFunc) *pipeServer {
	return &pipeServer{
		t: t, handler: handler, accepts: make(chan net.Conn, 1),
		limits: &clientLimits{
			memory: clientlimit.NewBudget(64<<20, nil), bodies: clientlimit.NewBudget(64<<20, nil),
			current: func() desired.Limits { return desired.Limits{HeaderBytes: 2 << 10} },
		},
	}
}

// Accept implements net.Listener.
func (s *pipeServer) Accept() (net.Conn, error) {
	if c, ok := <-s.accepts; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (s *pipeServer) Close() error { return nil }

// Addr implements net.Listener.
func (s *pipeServer) Addr() net.Addr { return &net.TCPAddr{} }

// start serves one connection and returns its client side. Requests whose path begins with
// /safe may be repeated.
func (s *pipeServer) start(ahead bool) (open *connections, client net.Conn, stop func()) {
	opts := []connectionsOption{limitClients(s.limits, callerPort)}
	if ahead {
		opts = append(opts, startAhead(&pipelining{handler: s.handler, repeatable: func(_, target string) bool {
			return strings.HasPrefix(target, "/safe")
		}}))
	}
	server := newServer(s.handler)
	open, listener := trackConnections(server, s, opts...)
	client, accepted := net.Pipe()
	s.accepts <- accepted
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) })
	return open, client, func() {
		client.Close()
		close(s.accepts)
		server.Close()
		serving.Wait()
		// Handlers that waited for a body run on.
		time.Sleep(time.Second)
		must.EqOp(s.t, 0, s.limits.memory.Used())
		must.EqOp(s.t, 0, s.limits.bodies.Used())
	}
}

// dateLine differs between two runs.
var dateLine = regexp.MustCompile(`Date: [^\r]*\r\n`)

// servedBytes returns the requests that a server has seen, sorted, and all that it has sent, for
// a client that sends the bytes in pieces.
func servedBytes(t *testing.T, sent []byte, piece int, ahead bool) (seen []string, received string) {
	var mu sync.Mutex
	s := newPipeServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		// Later requests of a few are ready before earlier ones.
		time.Sleep(time.Duration(10-len(r.RequestURI)%10) * time.Millisecond)
		request := fmt.Sprintf("%s %s %s %v %q %v", r.Method, r.Host, r.RequestURI, r.Header, body, err)
		mu.Lock()
		seen = append(seen, request)
		mu.Unlock()
		w.Header().Set("X-Target", r.RequestURI)
		if r.Method != http.MethodHead {
			_, _ = io.WriteString(w, request)
		}
	})
	_, client, stop := s.start(ahead)
	var got bytes.Buffer
	var both sync.WaitGroup
	both.Go(func() {
		for part := range slices.Chunk(sent, piece) {
			if _, err := client.Write(part); err != nil {
				return
			}
		}
	})
	both.Go(func() { _, _ = io.Copy(&got, client) })
	// Less than the time for a head, and more than all requests take one after the other.
	time.Sleep(headerTimeout - time.Millisecond)
	mu.Lock()
	seen = slices.Clone(seen)
	mu.Unlock()
	slices.Sort(seen)
	stop()
	both.Wait()
	return seen, dateLine.ReplaceAllString(got.String(), "")
}

// Guards against a response on the wrong request, a response that is lost or changed, and a
// request that is seen in another way or more often than when the same bytes are served one
// after the other.
func FuzzPipelinedRequests(f *testing.F) {
	const safe, unsafe = "GET /safe/1 HTTP/1.1\r\nHost: a\r\n\r\n", "GET /once/1 HTTP/1.1\r\nHost: a\r\n\r\n"
	const body = "POST /safe/12 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nGET "
	const chunked = "POST /safe/123 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nGET \r\n0\r\n\r\n"
	const closing = "GET /safe/1234 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	for _, sent := range []string{
		safe + closing[:17] + closing[21:], strings.Repeat(safe+"GET /safe/12345 HTTP/1.1\r\nHost: a\r\nA: b\r\n\r\n", 20),
		safe + unsafe + safe + safe, safe + body + safe + safe, safe + chunked + safe + safe, safe + closing + safe,
		safe + "\r\n" + safe, body + "\r\n" + safe + safe, safe + "HEAD /safe/1234567 HTTP/1.1\r\nHost: a\r\n\r\n" + safe,
		safe + "GET /safe/1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + safe, safe + "GET /safe/1 HTTP/1.1\r\n\r\n" + safe,
		safe + "GET /safe/1 HTTP/1.1\r\nHost: a\nX: b\n\n" + safe, safe + "OPTIONS * HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab" + safe + safe,
		safe + "POST /safe/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nab" + safe,
		safe + "GET /safe/1 HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("b", 8<<10) + "\r\n\r\n" + safe,
		safe + "GET /safe/%zz HTTP/1.1\r\nHost: a\r\n\r\n" + safe, safe + safe[:20], safe + "0\n\n0", "POST /safe/1 HTTP/1.1\r\nHost: a\r\n\r\n" + safe + safe,
		safe + "POST /safe/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab" + safe,
	} {
		for _, piece := range []int{1, 7, 64, 1 << 20} {
			f.Add([]byte(sent), piece)
		}
	}
	f.Fuzz(func(t *testing.T, sent []byte, piece int) {
		if len(sent) > 10<<10 || piece <= 0 {
			t.Skip()
		}
		synctest.Test(t, func(t *testing.T) {
			seen, received := servedBytes(t, sent, piece, true)
			// Byte by byte, net/http reads nothing of a head before the response before it.
			expectedSeen, expected := servedBytes(t, sent, 1, false)
			must.Eq(t, expected, received)
			must.Eq(t, expectedSeen, seen)
		})
	})
}
