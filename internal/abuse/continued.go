package abuse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

const (
	// byteInterval is the pause between the bytes of a head that arrives one byte at a time.
	byteInterval = 200 * time.Millisecond
	// unreadBuffer is the receive buffer of a client that reads no answer.
	unreadBuffer = 4 << 10
	// unreadRequests is how many requests such a client sends. Their answers are longer than
	// what the kernel holds of them.
	unreadRequests = 64
	// reconnectInterval is the pause between a connection or request of a client and its next
	// one.
	reconnectInterval = 50 * time.Millisecond
)

// requestNumber numbers the requests of crowds.
var requestNumber atomic.Int64

func requestFor(path, id string) string {
	return "GET " + path + " HTTP/1.1\r\n" + operator.HeadLines(id, bodyWait) + "\r\n"
}

// Continued is a crowd whose clients go on until it is closed.
type Continued struct {
	stop    context.CancelFunc
	clients sync.WaitGroup
}

// Close ends the crowd.
func (c *Continued) Close() {
	c.stop()
	c.clients.Wait()
}

// OpenContinued starts a crowd in which each client behaves in the same way. It returns once
// each client has connected, or has failed to.
func OpenContinued(ctx context.Context, count int, address string, behave func(ctx context.Context, conn net.Conn, address string)) (c *Continued) {
	ctx, stop := context.WithCancel(ctx)
	c = &Continued{stop: stop}
	var connecting sync.WaitGroup
	for range count {
		connecting.Add(1)
		c.clients.Go(func() {
			conn, err := (&net.Dialer{Timeout: stallTimeout}).DialContext(ctx, "tcp", address)
			connecting.Done()
			if err != nil {
				return
			}
			defer conn.Close()
			unblock := context.AfterFunc(ctx, func() { conn.Close() })
			defer unblock()
			behave(ctx, conn, address)
		})
	}
	connecting.Wait()
	return c
}

// SendByteByByte sends header lines without end, one byte at a time.
func SendByteByByte(ctx context.Context, conn net.Conn, _ string) {
	text := HeadBegin
	for n := 0; ; n++ {
		if len(text) == 0 {
			text = shortLine(n)
		}
		if _, err := conn.Write([]byte(text[:1])); err != nil || !pause(ctx, byteInterval) {
			return
		}
		text = text[1:]
	}
}

// Reconnect opens and closes connections without end, every second one with a part of a head.
func Reconnect(ctx context.Context, conn net.Conn, address string) {
	for n := 0; ; n++ {
		if n%2 == 1 {
			// An error means that the node has closed the connection.
			_, _ = conn.Write([]byte(HeadBegin))
		}
		// A reset leaves no port in use by a closed connection.
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		if !pause(ctx, reconnectInterval) {
			return
		}
		next, err := (&net.Dialer{Timeout: stallTimeout}).DialContext(ctx, "tcp", address)
		if err != nil {
			return
		}
		conn = next
	}
}

// SendUnread sends requests for long answers, many of them at once, and reads no answer.
func SendUnread(ctx context.Context, conn net.Conn, _ string) {
	_ = conn.(*net.TCPConn).SetReadBuffer(unreadBuffer)
	var requests strings.Builder
	for range unreadRequests {
		requests.WriteString(requestFor(longAnswerPath, fmt.Sprintf("unread-%d", requestNumber.Add(1))))
	}
	if _, err := io.WriteString(conn, requests.String()); err == nil {
		<-ctx.Done()
	}
}

// SendSameID sends requests with the same ID without end and reads their answers.
func SendSameID(ctx context.Context, conn net.Conn, _ string) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := conn.Write([]byte(requestFor("/"+route+"/x", "same"))); err != nil {
			return
		}
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if err != nil || !pause(ctx, reconnectInterval) {
			return
		}
	}
}

func pause(ctx context.Context, duration time.Duration) (ok bool) {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
