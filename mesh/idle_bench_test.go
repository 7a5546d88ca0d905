package mesh

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/fleet"
)

const (
	// idleBenchNodes is the number of nodes that run, half of them in each of two zones. The
	// other members only answer exchanges.
	idleBenchNodes = 24
	// idleBenchSettleTime is the time after which nodes have followed the log and each other.
	idleBenchSettleTime = 4 * time.Second
	// changesPerSecond is the number of records that change under change.
	changesPerSecond = 10
)

// BenchmarkIdleNode measures nodes that carry no requests for a second, at rest and while
// records of other nodes change. It reports the cost per node, which includes a share of the
// stand-in log service.
//
//	go test ./mesh -run xxx -bench IdleNode -benchtime 5x
func BenchmarkIdleNode(b *testing.B) {
	for _, members := range []int{24, 70, 195, 1100} {
		for _, changes := range []int{0, changesPerSecond} {
			b.Run(fmt.Sprintf("members=%d/changes=%d", members, changes), func(b *testing.B) {
				measureIdleNodes(b, members, changes)
			})
		}
	}
}

func measureIdleNodes(b *testing.B, members, changes int) {
	d := newEmptyDeployment(b)
	connections := &atomic.Int64{}
	d.beforeStart = func(n *Node) { countConnections(n, connections) }
	others := startMembers(b, d, members-idleBenchNodes)
	for n := range idleBenchNodes {
		d.zone = []string{"addis-a", "dire-a"}[n%2]
		d.addVM("orders")
	}
	d.awaitConvergence()
	time.Sleep(idleBenchSettleTime)
	connections.Store(0)
	before := used(b)
	for second := range b.N {
		for n := range changes {
			time.Sleep(time.Second / time.Duration(changes))
			others.change(second*changes + n)
		}
		if changes == 0 {
			time.Sleep(time.Second)
		}
	}
	used(b).since(before).report(b, "node", b.N*idleBenchNodes)
	b.ReportMetric(float64(connections.Load())/float64(b.N*idleBenchNodes), "node-connections/op")
	b.ReportMetric(0, "ns/op")
}

// countConnections counts the connections that a node accepts from other nodes.
func countConnections(n *Node, count *atomic.Int64) {
	l := n.lifecycle.components.servers.listeners
	l.peer = countingListener{l.peer, count}
}

type countingListener struct {
	net.Listener
	count *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.count.Add(1)
	}
	return c, err
}

// members are nodes that have a record but do not run. All of them answer exchanges at one
// port.
type members struct {
	d         *deployment
	records   []fleet.Member
	byAddress map[string]fleet.Member
}

// startMembers writes the records of members to the log. They are in zones without nodes.
func startMembers(b *testing.B, d *deployment, number int) (m *members) {
	m = &members{d: d, byAddress: make(map[string]fleet.Member)}
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	must.NoError(b, err)
	_, port, err := net.SplitHostPort(listener.Addr().String())
	must.NoError(b, err)
	for n := range number {
		r := fleet.Member{
			Node: fmt.Sprintf("member-%04d", n), Epoch: time.Now().UnixMilli(), Address: fmt.Sprintf("127.1.%d.%d:%s", n/200, 1+n%200, port),
			Region: "dire", Zone: fmt.Sprintf("dire-%d", n%4), Service: fmt.Sprintf("service-%d", n%39),
			Instance: fmt.Sprintf("j-%d", n), StartMs: time.Now().UnixMilli(), Slots: 100, TakesWork: true,
		}
		m.records = append(m.records, r)
		m.byAddress[r.Address] = r
		m.publish(r)
	}
	server := &http.Server{Handler: m, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { server.Close() })
	return m
}

func (m *members) publish(r fleet.Member) {
	value, err := json.Marshal(r)
	must.NoError(m.d.t, err)
	m.d.log.Put(fleet.Topic, r.Node, value)
}

// change changes a record, or that of a node's server if there are no members.
func (m *members) change(n int) {
	if len(m.records) == 0 {
		// Every other round makes a server take work again.
		state := []string{"draining", "ready"}[n/len(m.d.vms)%2]
		m.d.announce(m.d.vms[n%len(m.d.vms)], state)
		return
	}
	r := &m.records[n%len(m.records)]
	r.Epoch++
	r.TakesWork = !r.TakesWork
	m.publish(*r)
}

// ServeHTTP answers an exchange for the member at the address of the request.
func (m *members) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	record, ok := m.byAddress[r.Host]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(exchangeMessage{Self: record})
}
