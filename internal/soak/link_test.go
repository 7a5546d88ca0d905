package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/framing"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/internal/standin/early"
)

// startEchoServer starts a server that sends back all data that it reads, and also sends
// the data to the channel received.
func startEchoServer(t *testing.T) (address string, received chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	received = make(chan string, 16)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buffer := make([]byte, 64)
				for {
					n, err := c.Read(buffer)
					if err != nil {
						return
					}
					received <- string(buffer[:n])
					if _, err = c.Write(buffer[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), received
}

func startLink(t *testing.T) (l *link, received chan string, dial func() net.Conn) {
	t.Helper()
	address, received := startEchoServer(t)
	l, err := newLink("127.0.0.1:0", address)
	must.NoError(t, err)
	t.Cleanup(l.close)
	return l, received, func() net.Conn {
		c, err := net.Dial("tcp", l.address())
		must.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(text))
	must.NoError(t, err)
}

// echoes reports whether the text comes back within the time.
func echoes(t *testing.T, c net.Conn, text string, within time.Duration) bool {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(within)))
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(c, buffer)
	return err == nil && string(buffer) == text
}

const shortWait, longWait = 50 * time.Millisecond, 5 * time.Second

// Guards against a cut link that lets data through, or that loses data which a real
// network would deliver after the cut.
func TestCuts(t *testing.T) {
	for name, c := range map[string]struct {
		mode    linkMode
		arrives bool
	}{
		"to the target":   {cutForward, false},
		"from the target": {cutBackward, true},
		"both ways":       {cutBoth, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, received, dial := startLink(t)
			conn := dial()
			send(t, conn, "a")
			must.True(t, echoes(t, conn, "a", longWait))
			must.Eq(t, "a", <-received)
			l.setMode(c.mode)
			send(t, conn, "b")
			must.False(t, echoes(t, conn, "b", shortWait))
			must.Eq(t, c.arrives, len(received) == 1)
			l.setMode(forwarding)
			must.True(t, echoes(t, conn, "b", longWait))
		})
	}
}

// Guards against a link that delivers held data after its sender has reset the
// connection. No network delivers such data, and the nodes rely on that.
func TestResetDuringCut(t *testing.T) {
	l, received, dial := startLink(t)
	conn := dial()
	send(t, conn, "a")
	must.True(t, echoes(t, conn, "a", longWait))
	must.Eq(t, "a", <-received)
	l.setMode(cutForward)
	send(t, conn, "b")
	time.Sleep(shortWait)
	hop.Reset(conn)
	time.Sleep(shortWait)
	l.setMode(forwarding)
	time.Sleep(shortWait)
	must.Eq(t, 0, len(received))
}

// Guards against a black hole that ends, or that affects new connections.
func TestSilence(t *testing.T) {
	l, _, dial := startLink(t)
	old := dial()
	send(t, old, "a")
	must.True(t, echoes(t, old, "a", longWait))
	l.blackhole(rand.New(rand.NewPCG(1, 1)), 1)
	send(t, old, "b")
	must.False(t, echoes(t, old, "b", shortWait))
	fresh := dial()
	send(t, fresh, "c")
	must.True(t, echoes(t, fresh, "c", longWait))
}

// Guards against a ledger that overlooks violations: each case except the first
// violates a guarantee.
func TestLedgerFindsBrokenPromises(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(l *ledger)
		want int
	}{
		"no violation":                  {func(l *ledger) { l.recordRun("a", "orders", "catalogue") }, 0},
		"ran twice":                     {func(l *ledger) { l.recordRun("a", "orders", "catalogue"); l.recordRun("a", "orders", "catalogue") }, 1},
		"ran, then reported as not run": {func(l *ledger) { l.recordRun("a", "orders", "catalogue"); l.recordNotRun("a") }, 1},
		"reported as not run, then ran": {func(l *ledger) { l.recordNotRun("a"); l.recordRun("a", "orders", "catalogue") }, 1},
		"ran at another service":        {func(l *ledger) { l.recordRun("a", "dispatch", "catalogue") }, 1},
		"ran for another caller":        {func(l *ledger) { l.recordRun("a", "orders", "orders") }, 1},
		"ran without having been sent":  {func(l *ledger) { l.recordRun("b", "orders", "catalogue") }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(time.Now())
			l.recordSent("a", "orders", "catalogue", true)
			c.do(l)
			_, violations := l.result(retryBudget{seconds: 10, ratio: 0.2, slack: 10})
			must.SliceLen(t, c.want, violations)
		})
	}
}

// Guards against a ledger that does not check the retry budget.
func TestLedgerFindsTooManyRepeats(t *testing.T) {
	l := newLedger(time.Now())
	l.recordSent("a", "dispatch", "orders", false)
	for range 12 {
		l.recordRun("a", "dispatch", "orders")
	}
	_, violations := l.result(retryBudget{seconds: 10, ratio: 0.2, slack: 10})
	must.SliceNotEmpty(t, violations)
	_, violations = newLedger(time.Now()).result(retryBudget{seconds: 10, ratio: 0.2, slack: 10})
	must.SliceEmpty(t, violations)
}

// Guards against a reset of the server that the link passes on as an orderly end, because its write
// has taken the error.
func TestLinkPassesOnReset(t *testing.T) {
	const tries, uploadBytes = 50, 8 << 20
	s, err := early.Start("127.0.0.1:0", "", func(*http.Request) early.Answer { return early.Answer{Text: "HTTP/1.1 200 OK\r\n\r\npart"} })
	must.NoError(t, err)
	defer s.Close()
	l, err := newLink("127.0.0.1:0", s.Address())
	must.NoError(t, err)
	defer l.close()
	for range tries {
		c, err := net.Dial("tcp", l.address())
		must.NoError(t, err)
		conn := framing.NewConn(c)
		go func() {
			// Fails when the link resets the connection.
			_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: example\r\nContent-Length: %d\r\n\r\n%s", uploadBytes, make([]byte, uploadBytes))
		}()
		_, err = io.Copy(io.Discard, conn)
		must.Error(t, err)
		must.NoError(t, conn.Close())
	}
}
