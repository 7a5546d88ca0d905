package mesh

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/platform"
)

// Guards against a long answer that looks complete although the backend server broke off,
// because its caller has received the status line already.
func TestCutLongAnswerIsIncomplete(t *testing.T) {
	// The time limit cuts the endless body. The other answers are cut long before theirs.
	const shortLimit, longLimit, attempts = 200 * time.Millisecond, 5 * time.Second, 20
	d := newDeployment(t, "orders", "catalogue")
	for behaviourName, behaviour := range map[string]server.Behaviour{
		"length": server.CutLongLength, "chunks": server.CutLongChunks, "reset": server.ResetLong, "time limit": server.EndlessBody,
	} {
		for node, v := range map[string]*vm{"at its node": d.vms[0], "at another node": d.vms[1]} {
			for caller, head := range map[string]string{
				"HTTP/1.1":             "HTTP/1.1\r\n",
				"HTTP/1.1, close":      "HTTP/1.1\r\nConnection: close\r\n",
				"HTTP/1.0":             "HTTP/1.0\r\n",
				"HTTP/1.0, keep-alive": "HTTP/1.0\r\nConnection: keep-alive\r\n",
			} {
				t.Run(behaviourName+", "+node+", "+caller, func(t *testing.T) {
					d.vms[0].server.SetBehaviour(func(*http.Request) server.Behaviour { return behaviour })
					limit := longLimit
					if behaviour == server.EndlessBody {
						limit = shortLimit
					}
					var response *http.Response
					for range attempts {
						sent := time.Now()
						conn := sendEmpty(t, v, head, limit)
						var err error
						response, err = http.ReadResponse(bufio.NewReader(conn), nil)
						must.NoError(t, err)
						// A stall may use up the short limit before the answer begins.
						isTooLate := response.StatusCode == http.StatusGatewayTimeout || response.StatusCode == http.StatusServiceUnavailable
						if limit == longLimit || !isTooLate || time.Since(sent) < limit {
							break
						}
						must.NoError(t, response.Body.Close())
					}
					must.Eq(t, http.StatusOK, response.StatusCode)
					defer response.Body.Close()
					_, err := io.Copy(io.Discard, response.Body)
					must.Error(t, err)
				})
			}
		}
	}
}

// Guards against an answer that looks complete although this node has closed the connection
// of the caller, as at the end of a planned stop.
func TestAbortedAnswerIsIncomplete(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			d := newDeployment(t, "orders")
			d.vms[0].server.SetBehaviour(func(*http.Request) server.Behaviour { return server.EndlessBody })
			conn := sendEmpty(t, d.vms[0], version+"\r\n", 5*time.Second)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			defer response.Body.Close()
			d.vms[0].node.lifecycle.components.servers.callerConnections.abort()
			_, err = io.Copy(io.Discard, response.Body)
			must.Error(t, err)
		})
	}
}

// sendEmpty sends a request without a body to the node of the VM. version ends the request
// line, and may be followed by headers.
func sendEmpty(t *testing.T, v *vm, version string, wait time.Duration) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", v.settings.Listen.Caller)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "POST /once/ %sHost: example\r\nX-Request-Id: a\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", version, wait.Milliseconds())
	must.NoError(t, err)
	return conn
}

// Guards against an answer that counts as lost, with status 502, although the time limit of
// the request cut it.
func TestAnswerCutByTimeLimitIsLate(t *testing.T) {
	const timeLimit = 50 * time.Millisecond
	req := &request{id: "a", method: http.MethodPost, host: "example", target: "/once/", header: http.Header{}, deadline: time.Now().Add(time.Minute)}
	for name, receive := range map[string]func(ctx context.Context, pool *hop.Pool) *result{
		"of the backend server": func(ctx context.Context, pool *hop.Pool) *result {
			resp, err := pool.Do(ctx, req.httpRequest(func(http.Header) {}), req.id, matchesRequest(req.id))
			must.NoError(t, err)
			return resultOfResponse(ctx, resp)
		},
		"of another node": func(ctx context.Context, pool *hop.Pool) *result {
			res, _ := newBalancer(nodeconfig.Config{}, nil).send(ctx, &peer{node: "n", pool: pool}, req, 1)
			return res
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				platform.SetRequestID(w.Header(), req.id)
				w.Header().Set(headerHop, fmt.Sprintf("%x %s 1 0 0 8 1 0 0 0 -", requestIDHash(req.id), call.Answered))
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, "begin")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			}))
			defer s.Close()
			ctx, cancel := context.WithTimeout(t.Context(), timeLimit)
			defer cancel()
			res := receive(ctx, hop.New(s.Listener.Addr().String()))
			must.EqOp(t, call.Unknown, res.outcome)
			must.EqOp(t, call.ReasonDeadline, res.reason)
		})
	}
}

// Guards against a cut answer of another node that passes for a refusal or a whole answer.
func TestCutAnswerOfNodeIsUnknown(t *testing.T) {
	req := &request{id: "a", method: http.MethodPost, host: "example", target: "/once/", header: http.Header{}, deadline: time.Now().Add(time.Minute)}
	hopHeader := func(id string, outcome call.Outcome) string {
		return fmt.Sprintf("%s: %x %s 1 0 0 8 1 0 0 0 -\r\n", headerHop, requestIDHash(id), outcome)
	}
	for name, c := range map[string]struct {
		answer  string
		outcome call.Outcome
	}{
		"refused":  {"HTTP/1.1 503 Service Unavailable\r\n" + hopHeader("a", call.NotRun) + "Content-Length: 0\r\n\r\n", call.NotRun},
		"answered": {"HTTP/1.1 200 OK\r\n" + hopHeader("a", call.Answered) + "X-Server-Signature: signed\r\nContent-Length: 4\r\n\r\nbody", call.Answered},
		"refusal of another request first": {
			"HTTP/1.1 503 Service Unavailable\r\n" + hopHeader("b", call.NotRun) + "Content-Length: 0\r\n\r\n" +
				"HTTP/1.1 200 OK\r\n" + hopHeader("a", call.Answered) + "X-Server-Signature: signed\r\nContent-Length: 4\r\n\r\nbody", call.Answered,
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer listener.Close()
			cuts := make(chan int, 1)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, c.answer[:<-cuts])
					conn.Close()
				}
			}()
			b := newBalancer(nodeconfig.Config{}, nil)
			p := &peer{node: "n", pool: hop.New(listener.Addr().String())}
			for cut := range len(c.answer) + 1 {
				cuts <- cut
				res, _ := b.send(t.Context(), p, req, 1)
				expected := call.Unknown
				if cut == len(c.answer) {
					expected = c.outcome
				}
				must.Eq(t, expected, res.outcome, must.Sprintf("cut after %q", c.answer[:cut]))
				res.close()
			}
		})
	}
}
