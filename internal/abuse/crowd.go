package abuse

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

const (
	// stallTimeout ends the attempt of a client to send to a node that does not read.
	stallTimeout = 10 * time.Second
	// bodyWait is the time that a client with a body states.
	bodyWait = 20 * time.Second
)

// Attack is what each client of a crowd sends.
type Attack struct {
	// Kept makes the client send an ordinary request first, on the same connection.
	Kept bool
	// Begin is sent once, and then Repeated until Bytes have been sent.
	Begin    string
	Repeated func(n int) string
	Bytes    int
	// End is sent by [Crowd.Finish].
	End string
}

// Crowd is a number of clients, each with one connection.
type Crowd struct {
	attack  Attack
	clients []net.Conn
}

// Open opens the connections and sends the attack on each. It returns once each client has
// sent everything, or can't send more. A client whose connection is refused or closed stays
// away.
func Open(ctx context.Context, count int, address string, attack Attack) (c *Crowd) {
	c = &Crowd{attack: attack, clients: make([]net.Conn, count)}
	payload := attack.payload()
	var sending sync.WaitGroup
	for n := range c.clients {
		sending.Go(func() {
			conn, err := (&net.Dialer{Timeout: stallTimeout}).DialContext(ctx, "tcp", address)
			if err != nil {
				return
			}
			c.clients[n] = conn
			_ = conn.SetDeadline(time.Now().Add(stallTimeout))
			if attack.Kept && !sendOrdinary(conn, address) {
				return
			}
			_, _ = conn.Write(payload)
		})
	}
	sending.Wait()
	return c
}

func (a Attack) payload() (payload []byte) {
	payload = append(payload, a.Begin...)
	for n := 0; len(payload) < a.Bytes; n++ {
		payload = append(payload, a.Repeated(n)...)
	}
	return payload
}

// sendOrdinary sends a request and reads the answer, whose status depends on the port.
func sendOrdinary(conn net.Conn, address string) (ok bool) {
	if _, err := fmt.Fprintf(conn, "GET /ordinary HTTP/1.1\r\nHost: %s\r\n\r\n", address); err != nil {
		return false
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	return answer.Body.Close() == nil
}

// Finish sends the end of the attack on each connection, and returns how many clients got
// each status. Clients whose connection was closed without an answer count as status 0.
func (c *Crowd) Finish() (answers map[int]int) {
	answers = make(map[int]int)
	var mu sync.Mutex
	var finishing sync.WaitGroup
	for _, conn := range c.clients {
		finishing.Go(func() {
			status := 0
			if conn != nil {
				_ = conn.SetDeadline(time.Now().Add(stallTimeout))
				// The answer may have been sent before, so an error does not end the attempt.
				_, _ = conn.Write([]byte(c.attack.End))
				if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					answer.Body.Close()
					status = answer.StatusCode
				}
			}
			mu.Lock()
			defer mu.Unlock()
			answers[status]++
		})
	}
	finishing.Wait()
	return answers
}

// Close closes the connections.
func (c *Crowd) Close() {
	for _, conn := range c.clients {
		if conn != nil {
			conn.Close()
		}
	}
}

// shortLine returns a header line with a name of its own. The maps of header fields take
// many times the bytes of such lines.
func shortLine(n int) string { return fmt.Sprintf("%05x:\r\n", n) }

// HeadBegin is the beginning of a request that the node would forward.
var HeadBegin = "GET /orders/x HTTP/1.1\r\n" + operator.HeadLines("abuse", 2*time.Second)

// ShortLines sends a head of many short lines.
func ShortLines(bytes int) Attack {
	return Attack{Begin: HeadBegin, Repeated: shortLine, Bytes: bytes, End: "\r\n"}
}

// EmptyLines sends empty lines and no request.
func EmptyLines(count int, kept bool) Attack {
	return Attack{Kept: kept, Repeated: func(int) string { return "\r\n" }, Bytes: count * len("\r\n")}
}

// LongLine sends a request line without end.
func LongLine(size int) Attack {
	block := string(bytes.Repeat([]byte("x"), 1<<10))
	return Attack{Begin: "GET /orders/", Repeated: func(int) string { return block }, Bytes: size}
}

// Silence opens connections and sends nothing.
func Silence() Attack { return Attack{} }

// Ordinary sends an ordinary request, reads the answer and then nothing.
func Ordinary() Attack { return Attack{Kept: true} }

// StoppedBody sends a body that stops after a number of bytes of its stated length.
func StoppedBody(target string, stated, sent int) Attack {
	block := string(bytes.Repeat([]byte(" "), 1<<10))
	begin := fmt.Sprintf("POST %s HTTP/1.1\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", target, operator.HeadLines("abuse", bodyWait), stated)
	return Attack{Begin: begin, Repeated: func(int) string { return block }, Bytes: sent}
}

// Chunks sends a body in chunks that continues with the text without end.
func Chunks(begin, repeated string, size int) Attack {
	return Attack{
		Begin:    "POST /orders/x HTTP/1.1\r\n" + operator.HeadLines("abuse", bodyWait) + "Transfer-Encoding: chunked\r\n\r\n" + begin,
		Repeated: func(int) string { return repeated }, Bytes: size,
	}
}
