package mesh

import (
	"context"
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
