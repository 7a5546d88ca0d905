package mesh

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/quota"
)

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkQuotaExchange measures one question for credit over a kept connection, with both
// nodes in this process, and its bytes in both directions without those of TCP/IP.
func BenchmarkQuotaExchange(b *testing.B) {
	clock, err := newBootClock()
	if err != nil {
		b.Fatal(err)
	}
	keeper := newCaps(nodeconfig.Config{Node: "keeper-1"}, clock, &desiredState{}, nil, nil, nil, nil)
	keeper.byName = map[string]quota.Cap{"ws-0042": {Rate: 1e9, Burst: 1e9}}
	keeper.accounts.Restore(keeper.now().Add(-time.Hour), quota.NewNodes([]string{"keeper-1"}))
	mux := http.NewServeMux()
	mux.Handle(quotaPath, keeper)
	server := httptest.NewServer(mux)
	defer server.Close()
	asking := newCaps(nodeconfig.Config{Node: "node-1"}, clock, &desiredState{}, nil, nil, nil, nil)
	var bytes atomic.Int64
	asking.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{conn, &bytes}, err
	}
	b.ReportAllocs()
	questions := 0
	for b.Loop() {
		response, err := asking.exchange("keeper-1", server.Listener.Addr().String(), quotaRequest{Asks: map[string]int{"ws-0042": 1}})
		if err != nil || response.Grants["ws-0042"].Tokens != 1 {
			b.Fatal(response, err)
		}
		questions++
	}
	b.ReportMetric(float64(bytes.Load())/float64(questions), "wire-bytes/op")
}

// BenchmarkCaps measures, at a node among 1,100, the periodic work with 5,000 workspaces and
// the admission of a request by an account that the node keeps itself.
func BenchmarkCaps(b *testing.B) {
	settings := nodeconfig.Config{Node: "node-0", Zone: "a", Region: "r"}
	var members []fleet.Member
	for n := range 1100 {
		members = append(members, fleet.Member{
			Node: fmt.Sprintf("node-%d", n), Epoch: 1, Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), Zone: "a", Region: "r", Service: "s",
		})
	}
	balancer := newBalancer(settings, nil)
	balancer.setMembers(func() []fleet.Member { return members })
	m, err := metrics.New()
	if err != nil {
		b.Fatal(err)
	}
	workspaces := make([]*desired.Workspace, 5000)
	for n := range workspaces {
		workspaces[n] = desired.NewWorkspace(fmt.Sprintf("ws-%d", n), desired.WithCap(1e9, 1))
	}
	state := &desiredState{}
	state.state.Store(desired.New(1, nil, nil, desired.Limits{}, desired.WithWorkspaces(workspaces...)))
	clock, err := newBootClock()
	if err != nil {
		b.Fatal(err)
	}
	directory := fleet.NewDirectory(members[0], fleet.NewTable(), nil, nil, nil)
	c := newCaps(settings, clock, state, balancer, directory, m, nil)
	c.tick()
	b.Run("tick", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.tick()
		}
	})
	b.Run("admit", func(b *testing.B) {
		c.accounts.Restore(c.now().Add(-time.Hour), quota.NewNodes([]string{"node-0"}))
		c.requester.SetNodes(quota.NewNodes([]string{"node-0"}))
		b.ReportAllocs()
		for b.Loop() {
			if _, refusal := c.admit(b.Context(), workspaces[0]); refusal != nil {
				b.Fatal(refusal)
			}
		}
	})
}
