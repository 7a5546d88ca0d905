package node

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/membership"
	"github.com/lacewingslip/lacewingslip/routing"
	"github.com/lacewingslip/lacewingslip/settings"
	"github.com/lacewingslip/lacewingslip/timeline"
)

// restartedNodes is a membership table in which all nodes except n0 have restarted.
type restartedNodes struct{ allNodesKnown }

func (restartedNodes) Epoch(node string) (uint64, uint32, bool) {
	if node == "n0" {
		return 1, 0, true
	}
	return 2, 0, true
}

// Guards against a false notRun for a booking that one node refused and whose
// successor another node may have run before it restarted. The refusal is not the
// outcome of the booking.
func TestSuccessorOfRestartedNodeIsUnknown(t *testing.T) {
	s, transport := testSender("follow overloaded")
	transport.successor = booking.Issue("orders", "n1", 1, 0).String()
	s.peers.members = restartedNodes{}
	result := s.do(context.Background(), testCall(call.Never, 3, true))
	must.EqOp(t, call.Unknown, result.failure.outcome)
	must.EqOp(t, call.ReasonOwnerGone, result.failure.reason)
}

// scriptedTransport is a transport that ends each attempt in a predefined way and
// stores the requests. The last entry of ends applies to all further attempts.
type scriptedTransport struct {
	ends     []string
	requests []*http.Request
	// successor, if set, is the successor key that a refusing node has recorded.
	successor string
}

func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	end := s.ends[min(len(s.requests), len(s.ends)-1)]
	s.requests = append(s.requests, r)
	if end == "noConnection" {
		return nil, errors.New("refused")
	}
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	if end == "lost" {
		return nil, errors.New("reset")
	}
	header := http.Header{}
	header.Set(call.HeaderCall, r.Header.Get(call.HeaderCall))
	header.Set(call.HeaderTokensLeft, r.Header.Get(call.HeaderTokens))
	body := "ok"
	switch end {
	case "answered":
		header.Set(call.HeaderOutcome, call.Answered.String())
	case "foreign":
		header.Set(call.HeaderOutcome, call.Answered.String())
		header.Set(call.HeaderCall, string(call.NewID()))
	case "noOutcome":
	case "unframed":
		header.Set(call.HeaderOutcome, call.Answered.String())
		return &http.Response{StatusCode: http.StatusOK, Header: header, ContentLength: -1, Body: io.NopCloser(strings.NewReader(body))}, nil
	default:
		header.Set(call.HeaderOutcome, call.NotRun.String())
		header.Set(call.HeaderReason, strings.TrimPrefix(end, "follow "))
		if strings.HasPrefix(end, "follow ") {
			header.Set(call.HeaderSuccessor, cmp.Or(s.successor, r.Header.Get(call.HeaderSuccessor)))
		}
	}
	return &http.Response{StatusCode: http.StatusOK, Header: header, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}, nil
}

// allNodesKnown is a membership table in which every node has incarnation 1.
type allNodesKnown struct{}

func (allNodesKnown) Members() []membership.Member        { return nil }
func (allNodesKnown) Epoch(string) (uint64, uint32, bool) { return 1, 0, true }

type discardEvents struct{}

func (discardEvents) Record(event.ID, ...slog.Attr) {}

func testSender(ends ...string) (s *sender, transport *scriptedTransport) {
	transport = &scriptedTransport{ends: ends}
	table := routing.New("addis", "addis-a", routing.WithRandom(rand.New(rand.NewPCG(1, 2))))
	p := newPeerTable(allNodesKnown{})
	var upstreams []routing.Upstream
	for i := range 4 {
		node := "n" + strconv.Itoa(i)
		upstreams = append(upstreams, routing.Upstream{Node: node, Address: node + ":1", Region: "addis", Zone: "addis-a", Slots: 10})
		p.addresses[node] = node + ":1"
	}
	table.Replace(time.Now(), "orders", upstreams)
	return &sender{transport: transport, routes: newRouteTable(table), peers: p, clock: timeline.NewClock(), events: discardEvents{}}, transport
}

func testCall(repeat call.RepeatPolicy, tokens int, keyMayHaveBeenSent bool) *outgoing {
	c := &outgoing{
		service: settings.Service{Name: "orders"}, route: settings.Route{Repeat: repeat},
		method: http.MethodPost, uri: "/orders/x", header: http.Header{}, deadline: time.Now().Add(time.Minute),
		context: call.Context{Request: call.NewID(), Depth: 1, Importance: call.Normal, Tokens: tokens},
	}
	if repeat == call.Never {
		key := booking.Issue("orders", "n0", 1, 0)
		c.key, c.keyMayHaveBeenSent = &key, keyMayHaveBeenSent
	}
	return c
}

// Guards against more attempts than retry tokens allow, against sending a call again
// that may have run, and against reporting notRun when that is not certain.
func TestAttempts(t *testing.T) {
	const never, ifNotRun, always = call.Never, call.IfNotRun, call.Always
	cases := map[string]struct {
		repeat   call.RepeatPolicy
		tokens   int
		keyKnown bool
		ends     string
		attempts int
		// A trailing "!" means that the request itself did not run and only an
		// earlier request with the same key may have run.
		want string
	}{
		"answered at once":                     {ifNotRun, 3, false, "answered", 1, "answered"},
		"refused, then answered":               {ifNotRun, 3, false, "overloaded,answered", 2, "answered"},
		"refused by all":                       {ifNotRun, 9, false, "overloaded", 4, "notRun overloaded"},
		"refused without tokens":               {ifNotRun, 0, false, "overloaded", 1, "notRun overloaded"},
		"refused with one token":               {ifNotRun, 1, false, "overloaded", 2, "notRun overloaded"},
		"too late is not sent again":           {ifNotRun, 3, false, "tooLate", 1, "notRun tooLate"},
		"never sent":                           {ifNotRun, 1, false, "noConnection", 2, "notRun unreachable"},
		"lost is not sent again":               {ifNotRun, 3, false, "lost,answered", 1, "unknown lost"},
		"lost lookup is sent again":            {always, 3, false, "lost,answered", 2, "answered"},
		"lost, then refused, is unknown":       {always, 2, false, "lost,tooLate", 2, "unknown tooLate"},
		"lost forfeits the tokens lent":        {always, 3, false, "lost", 2, "unknown lost"},
		"answer of another call":               {ifNotRun, 3, false, "foreign", 1, "unknown lost"},
		"answer without outcome":               {ifNotRun, 3, false, "noOutcome", 1, "unknown lost"},
		"answer without verifiable end":        {ifNotRun, 3, false, "unframed", 1, "unknown lost"},
		"booking answered":                     {never, 3, true, "answered", 1, "answered"},
		"booking sealed":                       {never, 3, true, "overloaded", 1, "notRun overloaded"},
		"booking followed":                     {never, 3, true, "follow overloaded,answered", 2, "answered"},
		"booking followed and sealed":          {never, 3, true, "follow overloaded,overloaded", 2, "notRun overloaded"},
		"booking never sent, key known":        {never, 3, true, "noConnection", 1, "unknown unreachable!"},
		"booking never sent, own key":          {never, 3, false, "noConnection,answered", 2, "answered"},
		"booking never sent by all":            {never, 1, false, "noConnection", 2, "notRun unreachable"},
		"booking lost, repeat learns outcome":  {never, 3, true, "lost,answered", 2, "answered"},
		"booking lost, repeat finds it sealed": {never, 3, true, "lost,overloaded", 2, "notRun overloaded"},
		"booking lost, node gone":              {never, 3, false, "lost,noConnection", 2, "unknown unreachable"},
		"booking lost without tokens":          {never, 0, true, "lost", 1, "unknown lost"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, transport := testSender(strings.Split(c.ends, ",")...)
			result := s.do(context.Background(), testCall(c.repeat, c.tokens, c.keyKnown))
			got := "answered"
			if result.failure != nil {
				got = result.failure.outcome.String() + " " + string(result.failure.reason)
				if result.failure.requestNotRun {
					got += "!"
				}
			}
			must.EqOp(t, c.want, got)
			must.EqOp(t, c.attempts, len(transport.requests))
			must.EqOp(t, c.attempts-1, result.retries)
		})
	}
}

// Guards against a retried booking that runs twice because it is sent with another
// key. It must be sent with the same key to the same node, or with the successor key
// that the refusing node returned to the owner of that key.
func TestBookingKeysOfAttempts(t *testing.T) {
	s, transport := testSender("follow overloaded", "lost", "answered")
	c := testCall(call.Never, 5, true)
	first := c.key.String()
	result := s.do(context.Background(), c)
	must.Nil(t, result.failure)
	must.EqOp(t, first, transport.requests[0].Header.Get(call.HeaderIssuedKey))
	second := transport.requests[0].Header.Get(call.HeaderSuccessor)
	must.EqOp(t, second, transport.requests[1].Header.Get(call.HeaderIssuedKey))
	must.EqOp(t, second, transport.requests[2].Header.Get(call.HeaderIssuedKey))
	key, err := booking.ParseKey(second)
	must.NoError(t, err)
	must.EqOp(t, key.Node()+":1", transport.requests[2].URL.Host)
}
