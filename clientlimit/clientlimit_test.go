package clientlimit_test

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingslip/lacewingslip/clientlimit"
)

const (
	limit   = 1000
	reserve = 200
)

func newBudget() *clientlimit.Budget {
	return clientlimit.NewBudget(limit, map[clientlimit.Port]int64{"peer": reserve})
}

// Guards against turning away a client that holds little, or a request that may run, while
// others fill the budget.
func TestLargestNewestIsEvicted(t *testing.T) {
	budget := newBudget()
	running := budget.Open("caller", "running")
	_, ok := running.Charge(400)
	must.True(t, ok)
	must.True(t, running.Keep())
	for _, name := range []string{"older", "newer"} {
		_, ok = budget.Open("caller", name).Charge(150)
		must.True(t, ok)
	}
	small := budget.Open("caller", "small")
	victims, ok := small.Charge(120)
	must.True(t, ok)
	must.Len(t, 1, victims)
	must.Eq[any](t, "newer", victims[0].Owner())
	must.False(t, victims[0].Keep(), must.Sprint("the victim's request would run"))
	_, ok = budget.Open("caller", "large").Charge(500)
	must.False(t, ok)
	must.True(t, running.Keep())
}

// Guards against a crowd at one port that leaves nothing to the clients of another, in either
// direction.
func TestReserveIsKept(t *testing.T) {
	budget := newBudget()
	for range 20 {
		running := budget.Open("caller", nil)
		if _, ok := running.Charge(100); ok {
			must.True(t, running.Keep())
		}
	}
	peer := budget.Open("peer", nil)
	victims, ok := peer.Charge(reserve)
	must.True(t, ok)
	must.SliceEmpty(t, victims)
	must.True(t, peer.Keep())
	_, ok = budget.Open("peer", nil).Charge(1)
	must.False(t, ok, must.Sprint("more than the reserve was given beside running requests"))
}

// Guards against a budget that shrinks or grows because an account is charged, kept, evicted
// and released in an order that was not thought of.
func TestBudgetIsReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := newBudget()
		ports := []clientlimit.Port{"caller", "peer", "ready"}
		accounts := make([]*clientlimit.Account, 12)
		for n := range accounts {
			accounts[n] = budget.Open(ports[n%len(ports)], n)
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			account := accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				account.Charge(rapid.Int64Range(0, 2*limit).Draw(t, "held"))
			case 2:
				account.Keep()
			default:
				account.Release()
			}
		}
		for _, account := range accounts {
			account.Release()
		}
		must.Zero(t, budget.Used())
		_, ok := budget.Open("caller", nil).Charge(limit - reserve)
		must.True(t, ok)
	})
}

// Guards against a head whose end is found elsewhere than net/http finds it, so that a body
// would be charged as a head, or a head without end would not be.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\nHost: a\n\nbody", "POST / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		reader := bytes.NewReader(text)
		buffered := bufio.NewReaderSize(reader, len(text)+16)
		request, err := http.ReadRequest(buffered)
		consumed := len(text) - reader.Len() - buffered.Buffered()
		var whole, pieces clientlimit.Head
		whole.Scan(text)
		for rest, n := text, max(piece%64, 1); len(rest) > 0; rest = rest[min(n, len(rest)):] {
			pieces.Scan(rest[:min(n, len(rest))])
		}
		must.Eq(t, whole.Ended(), pieces.Ended())
		must.Eq(t, whole.Bytes(), pieces.Bytes())
		must.Eq(t, whole.Cost(), pieces.Cost())
		if err != nil {
			return
		}
		must.NotNil(t, request)
		must.True(t, whole.Ended())
		must.Eq(t, int64(consumed), whole.Bytes())
	})
}

// Guards against a reservation that turns a client away, that leaves no room for clients that
// must be admitted, or that is refused below half of the budget because of the unused reserves
// of other ports: nodes reserve 3/8 of a budget for those, which left 1/8 for reservations.
func TestReserve(t *testing.T) {
	for name, c := range map[string]struct{ reserve, free int64 }{
		"small reserve":          {200, 400},
		"reserves of a node":     {375, 400},
		"reserve above one half": {700, 200},
	} {
		t.Run(name, func(t *testing.T) {
			budget := clientlimit.NewBudget(1000, map[clientlimit.Port]int64{"peer": c.reserve})
			arriving, ahead, peer := budget.Open("caller", nil), budget.Open("caller", nil), budget.Open("peer", nil)
			_, ok := arriving.Charge(100)
			must.True(t, ok)
			must.True(t, ahead.Reserve(c.free))
			must.False(t, ahead.Reserve(c.free+1))
			must.EqOp(t, 100+c.free, budget.Used())
			victims, ok := peer.Charge(c.reserve)
			must.True(t, ok)
			must.SliceEmpty(t, victims)
			peer.Release()
			must.True(t, arriving.Keep())
			must.True(t, ahead.Reserve(50))
			must.EqOp(t, 150, budget.Used())
			ahead.Release()
			must.EqOp(t, 100, budget.Used())
		})
	}
}
