package hop_test

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
)

const idHeader = "X-Request-Id"

func startServer(t *testing.T, behaviours ...server.Behaviour) (s *server.Server, pool *hop.Pool) {
	t.Helper()
	s, err := server.Start("127.0.0.1:0", "i-1")
	must.NoError(t, err)
	t.Cleanup(s.Close)
	n := 0
	s.SetBehaviour(func(*http.Request) server.Behaviour {
		if n++; n <= len(behaviours) {
			return behaviours[n-1]
		}
		return server.Answer
	})
	return s, hop.New(s.Address())
}

// send sends a request with the ID and returns the body of the answer.
func send(ctx context.Context, pool *hop.Pool, method, id string) (body string, err error) {
	request := &http.Request{
		Method: method, URL: &url.URL{Opaque: "/x"}, Host: "example", Header: http.Header{idHeader: {id}},
	}
	answer, err := pool.Do(ctx, request, "", func(_ int, h http.Header) bool { return h.Get(idHeader) == id })
	if err != nil {
		return "", err
	}
	defer answer.Close()
	data, _, err := answer.ReadAll(1 << 20)
	return string(data), err
}

func TestConnectionsAreReused(t *testing.T) {
	s, pool := startServer(t)
	for _, id := range []string{"a", "b", "c"} {
		body, err := send(context.Background(), pool, http.MethodGet, id)
		must.NoError(t, err)
		must.Eq(t, "answer of "+id, body)
	}
	must.Eq(t, 1, s.Connections())
}

// Guards against resending a request that may have run. http.Transport resends a
// GET on its own when a pooled connection breaks.
func TestRequestIsNeverResent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			s, pool := startServer(t, server.Answer, server.LoseAnswer)
			_, err := send(context.Background(), pool, method, "a")
			must.NoError(t, err)
			_, err = send(context.Background(), pool, method, "b")
			must.Error(t, err)
			must.True(t, hop.MayHaveRun(err))
			must.Eq(t, 1, s.Runs("b"))
		})
	}
}

func TestNoConnectionMeansNotRun(t *testing.T) {
	s, pool := startServer(t)
	s.Close()
	_, err := send(context.Background(), pool, http.MethodPost, "a")
	must.Error(t, err)
	must.False(t, hop.MayHaveRun(err))
}

// Guards against returning a duplicate answer to an earlier request as the answer
// to the next one. The duplicate may arrive before or after the next request is
// sent.
func TestExtraAnswers(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "while idle": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			_, pool := startServer(t, server.ExtraAnswer, server.ExtraAnswer)
			for _, id := range []string{"a", "b", "c"} {
				body, err := send(context.Background(), pool, http.MethodGet, id)
				must.NoError(t, err)
				must.Eq(t, "answer of "+id, body)
				time.Sleep(pause)
			}
		})
	}
}

func TestIncompleteAnswers(t *testing.T) {
	_, pool := startServer(t, server.CutAnswer)
	_, err := send(context.Background(), pool, http.MethodGet, "a")
	must.Error(t, err)
}

func TestAnswerToAnotherRequest(t *testing.T) {
	s, pool := startServer(t, server.MismatchedAnswer)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := send(ctx, pool, http.MethodGet, "a")
	must.Error(t, err)
	body, err := send(context.Background(), pool, http.MethodGet, "b")
	must.NoError(t, err)
	must.Eq(t, "answer of b", body)
	must.Eq(t, 2, s.Connections())
}

func TestRequestEndsWithContext(t *testing.T) {
	_, pool := startServer(t, server.Hang)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := send(ctx, pool, http.MethodGet, "a")
	must.ErrorIs(t, err, context.DeadlineExceeded)
}

// A server that drops idle connections loses each request that is sent on one of
// them, and requests that must not run twice can't be resent. The pool must adapt
// after one lost request.
func TestIdleLimitAdaptsToStaleConnections(t *testing.T) {
	s, pool := startServer(t)
	s.ResetIdleAfter(100 * time.Millisecond)
	failed := 0
	for n := range 4 {
		if _, err := send(context.Background(), pool, http.MethodPost, "a"+strconv.Itoa(n)); err != nil {
			failed++
		}
		time.Sleep(150 * time.Millisecond)
	}
	must.Eq(t, 1, failed)
}

func TestSweepClosesUnusedConnections(t *testing.T) {
	s, _ := startServer(t)
	pool := hop.New(s.Address(), hop.WithMaxIdle(time.Millisecond))
	_, err := send(context.Background(), pool, http.MethodGet, "a")
	must.NoError(t, err)
	pool.Sweep(time.Now().Add(time.Second))
	_, err = send(context.Background(), pool, http.MethodGet, "b")
	must.NoError(t, err)
	must.Eq(t, 2, s.Connections())
}

func TestEndToEnd(t *testing.T) {
	h := http.Header{"Connection": {"X-Private, close"}, "X-Private": {"1"}, "Keep-Alive": {"timeout=5"}, "X-Kept": {"1"}}
	must.Eq(t, http.Header{"X-Kept": {"1"}}, hop.EndToEnd(h))
	must.True(t, strings.HasPrefix(h.Get("Connection"), "X-Private"))
}

// A VM that has lost power neither accepts nor refuses connections. A request that
// waits for a connection until its own deadline is lost, although another VM could
// run it.
func TestDialTimesOutBeforeRequest(t *testing.T) {
	// Connections beyond the backlog of a listener that accepts none stay half-open.
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, unix.Close(fd)) })
	must.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must.NoError(t, unix.Listen(fd, 0))
	bound, err := unix.Getsockname(fd)
	must.NoError(t, err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
	for range 2 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err == nil {
			defer conn.Close()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = send(ctx, hop.New(address), http.MethodPost, "a")
	must.Error(t, err)
	must.False(t, hop.MayHaveRun(err))
	must.NoError(t, ctx.Err())
}
