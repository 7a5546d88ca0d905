package mesh

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a new connection for each exchange of state between two nodes, which costs
// both of them.
func TestExchangesReuseConnections(t *testing.T) {
	d := newEmptyDeployment(t)
	d.addVM("orders")
	connections := &atomic.Int64{}
	d.beforeStart = func(n *Node) { countConnections(n, connections) }
	d.addVM("orders")
	d.awaitConvergence()
	e := d.vms[0].node.lifecycle.components.exchange
	p, ok := e.balancer.peerByIP(d.vms[1].settings.IP)
	must.True(t, ok)
	must.NoError(t, e.exchangeWith(t.Context(), p, true))
	before := connections.Load()
	const exchanges = 20
	for range exchanges {
		must.NoError(t, e.exchangeWith(t.Context(), p, true))
	}
	// The nodes may exchange state on their own at the same time.
	must.Less(t, exchanges/4, connections.Load()-before)
}

// Guards against a node that counts as unreachable although it has only closed an unused
// connection, as after a restart.
func TestExchangeAfterRestart(t *testing.T) {
	d := newDeployment(t, "orders", "orders")
	e := d.vms[0].node.lifecycle.components.exchange
	p, ok := e.balancer.peerByIP(d.vms[1].settings.IP)
	must.True(t, ok)
	must.NoError(t, e.exchangeWith(t.Context(), p, false))
	kill(d.vms[1].node)
	d.startNode(d.vms[1])
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	must.NoError(t, e.exchangeWith(ctx, p, false))
}

// Guards against a response that is applied only once the end of its body has arrived, which
// takes until the time-out if that is lost with its node.
func TestExchangeIsAppliedBeforeTheEndOfItsBody(t *testing.T) {
	d := newDeployment(t, "orders", "orders")
	e := d.vms[0].node.lifecycle.components.exchange
	const era = 1_000_000
	ended := make(chan struct{})
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		must.NoError(t, json.NewEncoder(w).Encode(exchangeMessage{Self: d.vms[1].node.lifecycle.components.exchange.directory.Self(), Era: era}))
		must.NoError(t, http.NewResponseController(w).Flush())
		<-ended
	}))
	defer other.Close()
	p := &peer{node: d.vms[1].settings.Node, address: other.Listener.Addr().String()}
	result := make(chan error, 1)
	go func() { result <- e.exchangeWith(t.Context(), p, false) }()
	for e.era.Known() != era {
		select {
		case err := <-result:
			close(ended)
			t.Fatalf("the exchange ended before its response was applied: %v", err)
		case <-time.After(time.Millisecond):
		}
	}
	close(ended)
	must.NoError(t, <-result)
}
