package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

// Replays a request that as many backend servers as its route allows have refused.
// Guards against giving up while a server may still accept it, against sending it to
// further servers, and against trying a node again that has become unreachable.
func TestRequestIsSentAgainToServerThatRefusedIt(t *testing.T) {
	first, second := &peer{node: "first"}, &peer{node: "second"}
	for name, c := range map[string]struct {
		secondMayHaveRun bool
		refused          []string
		maxBackends      int
		want             bool
	}{
		"both refused it":            {maxBackends: 2, want: true},
		"the second may run it":      {maxBackends: 2, secondMayHaveRun: true},
		"the first node refuses":     {maxBackends: 2, refused: []string{"first"}},
		"another node refused it":    {maxBackends: 2, refused: []string{"third"}, want: true},
		"there are no other servers": {maxBackends: 3, want: true},
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
			must.Eq(t, c.want, ok)
			if ok {
				must.Eq(t, first, p)
			}
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
