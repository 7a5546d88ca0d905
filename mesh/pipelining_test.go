package mesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// pipelinedHead returns the head of a request that states its time limit.
func pipelinedHead(method, path, id string) string {
	return method + " " + path + " HTTP/1.1\r\n" + operator.HeadLines(id, 5*time.Second) + "\r\n"
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
		sent.WriteString(pipelinedHead(http.MethodGet, "/safe/", fmt.Sprint(n)))
	}
	client.write(sent.String())
	for n := range requests {
		client.expect(fmt.Sprint(n), http.StatusOK, fmt.Sprintf("answer of %d", n))
	}
}
