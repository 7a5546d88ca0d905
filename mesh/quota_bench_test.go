package mesh

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

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
	keeper := newCaps(nodeconfig.Config{Node: "keeper-1"}, &desiredState{}, nil, nil, nil, nil)
	keeper.byName = map[string]quota.Cap{"ws-0042": {Rate: 1e9, Burst: 1e9}}
	keeper.accounts.Restore(keeper.now().Add(-time.Hour), quota.NewNodes([]string{"keeper-1"}))
	mux := http.NewServeMux()
	mux.Handle(quotaPath, keeper)
	server := httptest.NewServer(mux)
	defer server.Close()
	asking := newCaps(nodeconfig.Config{Node: "node-1"}, &desiredState{}, nil, nil, nil, nil)
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
