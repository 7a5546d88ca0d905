package mesh

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// delayedTransport sends each request after a delay.
type delayedTransport struct {
	http.RoundTripper
	delay time.Duration
}

func (d delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(d.delay)
	return d.RoundTripper.RoundTrip(r)
}

// Guards against a node that callers are directed to while it has an older version than the
// one in force, because it started when the restored log had no newer one.
func TestReadyOnlyWithVersionInForce(t *testing.T) {
	for name, exchangeDelay := range map[string]time.Duration{"others answer": 0, "others answer late": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "orders", "orders", "catalogue")
			time.Sleep(settleTime)
			saved := d.log.Copy()
			d.publish(safe("added"))
			d.awaitConvergence()
			restarted := d.vms[0]
			kill(restarted.node)
			d.log.Restore(saved)
			n, err := New(restarted.settings)
			must.NoError(t, err)
			n.lifecycle.components.exchange.ownRecordWait = time.Minute
			client := n.lifecycle.components.exchange.client
			client.Transport = delayedTransport{client.Transport, exchangeDelay}
			must.NoError(t, n.Start(t.Context()))
			restarted.node = n
			t.Cleanup(func() { kill(n) })
			eventually(t, func() bool { return operator.Ready(t.Context(), restarted.settings.Listen.Ready) })
			must.EqOp(t, int64(d.version), restarted.node.lifecycle.components.desired.version())
		})
	}
}

// Guards against a watcher that answers at once, again and again, to a node whose messages
// state no era, such as one of an earlier release.
func TestMessageWithoutEraWaits(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "catalogue")
	time.Sleep(settleTime)
	readers, others := d.awaitWatchers()
	e := others[0].node.lifecycle.components.exchange
	watcher := e.balancer.peers[readers[0].settings.Node]
	var seenChanges, tableID int64
	exchanges, end := 0, time.Now().Add(2*maxChangeWait)
	for ; time.Now().Before(end); exchanges++ {
		msg := e.ownMessage()
		msg.WaitMs, msg.TableID, msg.SeenChanges, msg.Era = maxChangeWait.Milliseconds(), tableID, seenChanges, 0
		reply, err := e.send(t.Context(), watcher, msg)
		must.NoError(t, err)
		seenChanges, tableID = reply.SeenChanges, reply.TableID
	}
	must.Less(t, 10, exchanges)
}

// Guards against a started watcher that takes the server of a node that has left for one
// that accepts requests, because the restored log has the node's earlier record and nobody
// writes the later one.
func TestStartedWatcherKnowsThatNodeHasLeft(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue")
	time.Sleep(settleTime)
	readers, others := d.awaitWatchers()
	watcher, left := readers[0], others[len(others)-1]
	saved := d.log.Copy()
	d.announce(left, "draining")
	d.awaitRecord(left)
	kill(left.node)
	left.server.Close()
	kill(watcher.node)
	d.log.Restore(saved)
	d.startNode(watcher)
	d.announce(watcher, "ready")
	eventually(t, func() bool {
		m, ok := watcher.node.lifecycle.components.exchange.directory.Table().Get(left.settings.Node)
		return ok && !m.TakesWork
	})
}
