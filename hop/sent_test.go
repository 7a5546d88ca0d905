package hop

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a connection whose memory grows with each request, and against one that
// forgets a request that may be sent again.
func TestConnectionRemembersRequestsUntilDeadline(t *testing.T) {
	const requests = 10_000
	c := &conn{}
	live, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	past, cancelPast := context.WithTimeout(t.Context(), -time.Minute)
	defer cancelPast()
	c.recordSent(live, "live")
	c.recordSent(t.Context(), "no deadline")
	for n := range requests {
		c.recordSent(past, strconv.Itoa(n))
	}
	must.True(t, c.hasServed("live"))
	must.True(t, c.hasServed("no deadline"))
	must.Less(t, requests/1000, len(c.sent))
}

// Guards against idle connections without a limit at a server whose callers repeat one request
// ID: none of them can be used for it again, so each request opens another one.
func TestRepeatedIDLeavesFewIdleConnections(t *testing.T) {
	p := New("")
	for range 10 * maxServedIdle {
		must.Nil(t, p.popIdle("repeated"))
		client, server := net.Pipe()
		defer server.Close()
		c := &conn{Conn: client}
		c.recordSent(t.Context(), "repeated")
		p.idle = append(p.idle, c)
	}
	must.Len(t, maxServedIdle, p.idle)
	must.NotNil(t, p.popIdle("another"))
}
