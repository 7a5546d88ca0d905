package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/hop"
)

// echo listens and sends back what it reads. What it has read is sent to got.
func echo(t *testing.T) (address string, got chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	got = make(chan string, 16)
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
					got <- string(buffer[:n])
					if _, err = c.Write(buffer[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), got
}

func through(t *testing.T) (l *link, got chan string, dial func() net.Conn) {
	t.Helper()
	address, got := echo(t)
	l, err := newLink("127.0.0.1:0", address)
	must.NoError(t, err)
	t.Cleanup(l.close)
	return l, got, func() net.Conn {
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

// answers reports whether the text comes back within a time.
func answers(t *testing.T, c net.Conn, text string, within time.Duration) bool {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(within)))
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(c, buffer)
	return err == nil && string(buffer) == text
}

const shortly, long = 50 * time.Millisecond, 5 * time.Second

// Guards against cuts that let something through, or lose what a real network
// would deliver after them.
func TestCuts(t *testing.T) {
	for name, c := range map[string]struct {
		trouble trouble
		arrives bool
	}{
		"to the target":   {cutForward, false},
		"from the target": {cutBackward, true},
		"both ways":       {cutBoth, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, got, dial := through(t)
			conn := dial()
			send(t, conn, "a")
			must.True(t, answers(t, conn, "a", long))
			must.Eq(t, "a", <-got)
			l.set(c.trouble)
			send(t, conn, "b")
			must.False(t, answers(t, conn, "b", shortly))
			must.Eq(t, c.arrives, len(got) == 1)
			l.set(passing)
			must.True(t, answers(t, conn, "b", long))
		})
	}
}

// Guards against bytes that arrive after their sender has given them up, which no
// network delivers: the nodes rely on a reset for that.
func TestResetDuringCut(t *testing.T) {
	l, got, dial := through(t)
	conn := dial()
	send(t, conn, "a")
	must.True(t, answers(t, conn, "a", long))
	must.Eq(t, "a", <-got)
	l.set(cutForward)
	send(t, conn, "b")
	time.Sleep(shortly)
	hop.Reset(conn)
	time.Sleep(shortly)
	l.set(passing)
	time.Sleep(shortly)
	must.Eq(t, 0, len(got))
}

// Guards against a silence that ends, or that reaches new connections.
func TestSilence(t *testing.T) {
	l, _, dial := through(t)
	old := dial()
	send(t, old, "a")
	must.True(t, answers(t, old, "a", long))
	l.silence(rand.New(rand.NewPCG(1, 1)), 1)
	send(t, old, "b")
	must.False(t, answers(t, old, "b", shortly))
	fresh := dial()
	send(t, fresh, "c")
	must.True(t, answers(t, fresh, "c", long))
}

// Guards against checks that find nothing: each of these breaks a promise.
func TestLedgerFindsBrokenPromises(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(l *ledger)
		want int
	}{
		"nothing wrong":                {func(l *ledger) { l.ran("a", "orders", "catalogue") }, 0},
		"ran twice":                    {func(l *ledger) { l.ran("a", "orders", "catalogue"); l.ran("a", "orders", "catalogue") }, 1},
		"ran, then said not to have":   {func(l *ledger) { l.ran("a", "orders", "catalogue"); l.promised("a") }, 1},
		"said not to have, then ran":   {func(l *ledger) { l.promised("a"); l.ran("a", "orders", "catalogue") }, 1},
		"ran at another service":       {func(l *ledger) { l.ran("a", "dispatch", "catalogue") }, 1},
		"ran for another caller":       {func(l *ledger) { l.ran("a", "orders", "orders") }, 1},
		"ran without having been sent": {func(l *ledger) { l.ran("b", "orders", "catalogue") }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(time.Now())
			l.sent("a", "orders", "catalogue", true)
			c.do(l)
			_, broken := l.result(budget{seconds: 10, ratio: 0.2, slack: 10})
			must.SliceLen(t, c.want, broken)
		})
	}
}

// Guards against a retry budget that is not checked.
func TestLedgerFindsTooManyRepeats(t *testing.T) {
	l := newLedger(time.Now())
	l.sent("a", "dispatch", "orders", false)
	for range 12 {
		l.ran("a", "dispatch", "orders")
	}
	_, broken := l.result(budget{seconds: 10, ratio: 0.2, slack: 10})
	must.SliceNotEmpty(t, broken)
	_, broken = newLedger(time.Now()).result(budget{seconds: 10, ratio: 0.2, slack: 10})
	must.SliceEmpty(t, broken)
}
