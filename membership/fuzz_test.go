package membership

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/appendlog"
)

// malformed lists messages that the decoder must reject, with a part of the
// expected error.
var malformed = map[string]struct{ body, want string }{
	"empty":           {``, "EOF"},
	"not JSON":        {`{`, "unexpected"},
	"unknown field":   {`{"from":"a","incarnation":"1","age":1,"colour":"red"}`, "unknown field"},
	"two values":      {`{"from":"a","incarnation":"1","age":1}{}`, "more after it"},
	"no sender":       {`{"incarnation":"1","age":1}`, "from is"},
	"bad sender":      {`{"from":"a/b","incarnation":"1","age":1}`, "from is"},
	"bad bucket":      {`{"from":"a","incarnation":"1","age":1,"compare":[{"bucket":64}]}`, "bucket 64"},
	"bad ask":         {`{"from":"a","incarnation":"1","age":1,"ask":"more"}`, "ask is"},
	"bad digest":      {`{"from":"a","incarnation":"1","age":1,"digest":"AAAA"}`, "digest"},
	"bad offset":      {`{"from":"a","incarnation":"1","age":1,"settings":-1}`, "negative"},
	"bad state":       {`{"from":"a","incarnation":"1","age":1,"entries":[{"node":"b","incarnation":"1","started":1,"version":1,"peer":"b:1","state":"busy"}]}`, `"busy"`},
	"bad health":      {`{"from":"a","incarnation":"1","age":1,"entries":[{"node":"b","incarnation":"1","started":1,"version":1,"peer":"b:1","health":"ill"}]}`, `"ill"`},
	"bad address":     {`{"from":"a","incarnation":"1","age":1,"entries":[{"node":"b","incarnation":"1","started":1,"version":1,"peer":"b:1/x"}]}`, "expected host:port"},
	"no version":      {`{"from":"a","incarnation":"1","age":1,"entries":[{"node":"b","incarnation":"1","started":1,"peer":"b:1"}]}`, "version is 0"},
	"no content":      {`{"from":"a","incarnation":"1","age":1,"entries":[{"node":"b","incarnation":"1","started":1,"version":1}]}`, "peer is missing"},
	"negative slots":  {`{"from":"a","incarnation":"1","age":1,"entries":[{"node":"b","incarnation":"1","started":1,"version":1,"peer":"b:1","slots":-1}]}`, "slots is -1"},
	"too large":       {`"` + string(bytes.Repeat([]byte("x"), maxBodyBytes)) + `"`, "larger than"},
	"incarnation > 2": {`{"from":"a","incarnation":"18446744073709551616","age":1}`, "incarnation"},
}

const (
	goodRequest = `{"from":"a","incarnation":"1","age":1,"ask":"all","settings":3,"clock":"5.1","entries":[{"node":"b","incarnation":"7","started":1,"version":1,"peer":"b:1","state":"ready","slots":5,"health":"left","healthAge":3}],"compare":[{"bucket":3,"tags":{"b":7}}]}`
	goodRecord  = `{"kind":"join","node":"a","incarnation":"1","peer":"a:1"}`
)

var goodAnswer = `{"from":"a","incarnation":"1","age":1,"same":true,"digest":"` + strings.Repeat("A", 683) + `","want":["b"]}`

// Guards against malformed input that is accepted, or rejected without a reason.
func TestMalformedIsRefused(t *testing.T) {
	for name, tc := range malformed {
		t.Run(name, func(t *testing.T) {
			must.ErrorContains(t, decode(bytes.NewReader([]byte(tc.body)), &exchangeRequest{}), tc.want)
		})
	}
	must.NoError(t, decode(bytes.NewReader([]byte(goodRequest)), &exchangeRequest{}))
	must.NoError(t, decode(bytes.NewReader([]byte(goodAnswer)), &exchangeAnswer{}))
}

// Guards against an announced backend server with which other nodes reject all messages of
// its node.
func TestBackendCheckAgreesWithOtherNodes(t *testing.T) {
	for name, b := range map[string]Backend{
		"good": {Service: "orders", Slots: maxSlots}, "too many slots": {Service: "orders", Slots: maxSlots + 1},
		"negative slots": {Service: "orders", Slots: -1}, "bad service": {Service: "or ders"}, "long service": {Service: strings.Repeat("x", maxNameBytes+1)},
	} {
		t.Run(name, func(t *testing.T) {
			g := New(Self{Node: "b", Incarnation: 7, Started: startTime, Peer: "b:1"})
			g.Announce(b)
			own := update{fields: g.Self().f}
			must.Eq(t, own.validate() == nil, b.Check() == nil)
		})
	}
}

// Guards against a request or an answer that crashes a node or corrupts the node's
// own entry.
func FuzzExchange(f *testing.F) {
	for _, tc := range malformed {
		f.Add([]byte(tc.body))
	}
	f.Add([]byte(goodRequest))
	f.Add([]byte(goodAnswer))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := New(Self{Node: "b", Incarnation: 7, Started: startTime, Peer: "b:1"})
		var request exchangeRequest
		if decode(bytes.NewReader(data), &request) == nil {
			g.handleExchange(&request)
		}
		var answer exchangeAnswer
		if decode(bytes.NewReader(data), &answer) == nil {
			g.handleAnswer(&exchangeRequest{}, &answer)
		}
		own, known := g.Member("b")
		must.True(t, known && own.Health == Alive && own.Incarnation() == 7)
	})
}

// Guards against a probe request that crashes a node, or that is accepted without
// the node to probe.
func FuzzProbe(f *testing.F) {
	for _, seed := range []string{`{"node":"a"}`, `{"node":""}`, `{"reached":true}`, `{"node":"a","x":1}`, `[]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var request probeRequest
		if decode(bytes.NewReader(data), &request) == nil {
			must.NotEq(t, "", request.Node)
		}
		_ = decode(bytes.NewReader(data), &probeAnswer{})
	})
}

// Guards against a record of the log that crashes a node, or that is accepted
// without a valid address.
func FuzzPresence(f *testing.F) {
	for _, seed := range []string{goodRecord, `{"kind":"join"}`, `{"kind":"x","node":"a","peer":"a:1"}`, `null`, ``} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := New(Self{Node: "b", Incarnation: 7, Started: startTime, Peer: "b:1"})
		g.addJoins(appendlog.Page{Records: []appendlog.Record{{Data: data}}})
		for _, address := range g.recentJoins.addresses() {
			must.NoError(t, checkAddress("peer", address, true))
		}
	})
}

// Guards against callbacks that are not called with the settings offset and the
// clock value of an exchange.
func TestCallbacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.options = []Option{
			WithSettingsOffset(func() int64 { return 7 }),
			WithClock(func() string { return "5.1" }, func(string) {}),
		}
		n.start("a0", "a")
		type observed struct {
			offset         int64
			address, clock string
		}
		var mu sync.Mutex
		var got observed
		set := func(change func()) {
			mu.Lock()
			defer mu.Unlock()
			change()
		}
		n.options = []Option{
			OnNewerSettings(func(offset int64, address string) { set(func() { got.offset, got.address = offset, address }) }),
			WithClock(func() string { return "" }, func(value string) { set(func() { got.clock = value }) }),
		}
		b := n.start("b0", "b")
		time.Sleep(30 * time.Second)
		set(func() { must.Eq(t, observed{7, "a0:1", "5.1"}, got) })
		_, epoch, _ := b.Epoch("a0")
		must.Between(t, 20, epoch, 30)
	})
}
