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

// refusingNode returns a connection to a node that refuses all requests.
func refusingNode(t *testing.T) (conn net.Conn, reader *bufio.Reader) {
	d := newDeployment(t, "orders")
	d.vms[0].node.lifecycle.refusesAll.Store(true)
	conn, err := net.Dial("tcp", d.vms[0].settings.Listen.Caller)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn, bufio.NewReader(conn)
}

// sendHead sends the head of a request with a body of the length.
func sendHead(t *testing.T, conn net.Conn, id string, timeout time.Duration, length int) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		operator.Host, id, timeout.Milliseconds(), length)
	must.NoError(t, err)
}

func mustRefuse(t *testing.T, reader *bufio.Reader, id string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, id, response.Header.Get("X-Request-Id"))
}

// Guards against a refusal that waits for the body of the request, and against a connection
// that can't be used for the next request after it.
func TestRefusalBeforeBody(t *testing.T) {
	const bodyBytes = 100 << 10
	conn, reader := refusingNode(t)
	for n := range 5 {
		id := fmt.Sprintf("r-%d", n)
		sendHead(t, conn, id, time.Second, bodyBytes)
		mustRefuse(t, reader, id)
		_, err := io.WriteString(conn, strings.Repeat("x", bodyBytes))
		must.NoError(t, err)
	}
}

// Guards against a body that arrives late after a refusal and is taken for a request.
func TestLateBodyAfterRefusal(t *testing.T) {
	conn, reader := refusingNode(t)
	sendHead(t, conn, "a", 100*time.Millisecond, 1000)
	mustRefuse(t, reader, "a")
	// The node closes the connection once the deadline has passed.
	_, err := reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}
