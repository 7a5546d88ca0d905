package mesh

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/slot"
)

// Replays a request that as many backend servers as its route allows have refused.
// Guards against giving up while a server may still accept it, also if the node of the other one
// refuses it, against sending it to further servers, and against trying a node again that has
// become unreachable.
func TestRequestIsSentAgainToServerThatRefusedIt(t *testing.T) {
	first, second := &peer{node: "first"}, &peer{node: "second"}
	for name, c := range map[string]struct {
		secondMayHaveRun bool
		refused          []string
		maxBackends      int
		want             *peer
	}{
		"both refused it":            {maxBackends: 2, want: first},
		"the second may run it":      {maxBackends: 2, secondMayHaveRun: true},
		"the first node refuses":     {maxBackends: 2, refused: []string{"first"}, want: second},
		"both nodes refuse":          {maxBackends: 2, refused: []string{"second", "first"}},
		"another node refused it":    {maxBackends: 2, refused: []string{"third"}, want: first},
		"there are no other servers": {maxBackends: 3, want: first},
	} {
		t.Run(name, func(t *testing.T) {
			s := &nodeSelector{
				balancer: newBalancer(nodeconfig.Config{}, nil), admission: newCustomerAdmission(nodeconfig.Config{}),
				request: &request{deadline: time.Now().Add(time.Second)}, maxBackends: c.maxBackends, attempts: 2,
			}
			s.recordBackend(first, true)
			s.recordBackend(second, !c.secondMayHaveRun)
			must.Eq(t, !c.secondMayHaveRun, s.hasNext())
			s.refused = c.refused
			p, ok := s.next()
			must.Eq(t, c.want != nil, ok)
			must.Eq(t, c.want, p)
		})
	}
}

// Guards against sending a request only to the first server that rejected it, which may reject
// everything, and against more or fewer attempts than a request needs if half are rejected.
func TestRejectedRequestIsSentByTurns(t *testing.T) {
	s := &nodeSelector{
		balancer: newBalancer(nodeconfig.Config{}, nil), admission: newCustomerAdmission(nodeconfig.Config{}),
		request: &request{deadline: time.Now().Add(time.Second)}, maxBackends: 2, attempts: 2,
	}
	peers := []*peer{{node: "first"}, {node: "second"}}
	s.recordBackend(peers[0], true)
	s.recordBackend(peers[1], true)
	for n := range maxRejectedAttempts - 2 {
		must.True(t, s.hasNext())
		p, ok := s.next()
		must.True(t, ok)
		must.Eq(t, peers[n%2], p)
		s.recordBackend(p, true)
	}
	must.False(t, s.hasNext())
}

// Guards against asking a node again that has just stated that the request would wait there for
// longer than it may, and against leaving out one whose queue may have become shorter.
func TestFullNodeIsNotAskedAgain(t *testing.T) {
	const timeout = 250 * time.Millisecond
	for name, c := range map[string]struct {
		wait, elapsed time.Duration
		want          bool
	}{
		"the wait is too long":             {wait: 300 * time.Millisecond, want: true},
		"the wait is short enough":         {wait: 200 * time.Millisecond},
		"the wait is nearly over":          {wait: 255 * time.Millisecond, elapsed: 8 * time.Millisecond},
		"the refusal was some time ago":    {wait: time.Minute, elapsed: 80 * time.Millisecond},
		"the node has not stated a wait":   {},
		"the wait is as long as permitted": {wait: timeout},
	} {
		t.Run(name, func(t *testing.T) {
			n := fullNode{node: "first", refusedAt: time.Unix(100, 0), wait: c.wait}
			must.Eq(t, c.want, n.refuses(n.refusedAt.Add(c.elapsed), timeout))
		})
	}
	for wait, again := range map[time.Duration]bool{0: true, time.Millisecond: true, time.Minute: false} {
		b := newBalancer(nodeconfig.Config{Region: "here"}, nil)
		b.setMembers(func() []fleet.Member {
			return []fleet.Member{{Node: "only", Address: "127.0.0.2:1", Region: "here", Service: "orders", Slots: 10, TakesWork: true, Epoch: 1}}
		})
		s := &nodeSelector{
			balancer: b, admission: newCustomerAdmission(nodeconfig.Config{}), maxBackends: 2,
			request: &request{service: "orders", deadline: time.Now().Add(time.Second), fromCustomer: true},
		}
		p, ok := s.next()
		must.True(t, ok)
		s.recordRefusal(p, &result{wait: wait})
		_, ok = s.next()
		must.Eq(t, again, ok)
	}
}

// Guards against a wait that is lost or changed between nodes, and against invalid ones.
func TestExpectedWait(t *testing.T) {
	w := httptest.NewRecorder()
	must.NoError(t, writeResult(w, "1", overloadedResult(&slot.FullError{Wait: 1500 * time.Millisecond}), 1))
	must.Eq(t, 1500*time.Millisecond, expectedWait(w.Header()))
	for _, value := range []string{"", "-1", "3600001", "1.5"} {
		must.Zero(t, expectedWait(http.Header{headerWait: {value}}))
	}
}
