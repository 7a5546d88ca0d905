package mesh

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/quarantine"
	"github.com/lacewingslip/lacewingslip/timeline"
)

// Guards against a node that is chosen by an earlier record than the known one, because
// records arrived at the same time, from the log and from other nodes.
func TestRecordsThatArriveTogetherAreUsed(t *testing.T) {
	const rounds = 20_000
	settings := nodeconfig.Config{Node: "self", Service: "orders", Listen: nodeconfig.Listen{Peer: "127.0.0.1:1"}}
	events := timeline.NewRecorder(settings.Node)
	b := newBalancer(settings, events)
	m, err := metrics.New()
	must.NoError(t, err)
	q := newQuarantineSync(quarantine.New(), b, events, m)
	d := newDirectory(settings, platform.NewLogClient("127.0.0.1:1"), follow.NewEraTracker(), b, q, events)
	q.directory = d
	nodes := []string{"a", "b", "c", "d"}
	for epoch := int64(1); epoch <= rounds; epoch++ {
		var merged sync.WaitGroup
		for _, node := range nodes {
			merged.Go(func() {
				d.Merge(fleet.Member{Node: node, Epoch: epoch, Address: "127.0.0.1:2", Service: "orders", TakesWork: true})
			})
		}
		merged.Wait()
		for _, node := range nodes {
			must.EqOp(t, epoch, b.peers[node].member.Epoch)
		}
	}
}

// Guards against a node that is never sent requests again, because its refusal while its
// server was leaving arrived after its next record.
func TestRefusalDoesNotConcernNextRecord(t *testing.T) {
	d := newDeployment(t, "catalogue")
	merge := d.vms[0].node.lifecycle.components.exchange.directory.Merge
	var mu sync.Mutex
	member := fleet.Member{Node: "other", Epoch: 1, Region: "addis", Zone: "dire-a", Service: "orders", Slots: 8, TakesWork: true}
	received := make(map[string]bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.Header.Get(headerHop) == "" {
			_ = json.NewEncoder(w).Encode(exchangeMessage{Self: member})
			return
		}
		req, _, err := readRequest(r, time.Now())
		must.NoError(t, err)
		received[req.id] = true
		member.Epoch++
		merge(member)
		_ = writeResult(w, req.id, notRunResult(call.ReasonDraining, "test"), 0)
	}))
	t.Cleanup(server.Close)
	member.Address = server.Listener.Addr().String()
	merge(member)
	for _, id := range []string{"a", "b"} {
		must.Eq(t, http.StatusServiceUnavailable, d.call(d.vms[0], "GET", "/safe/", id).status)
	}
	must.Eq(t, map[string]bool{"a": true, "b": true}, received)
}

// Guards against a crash of the handler, after which the caller gets no answer, when the records
// of all nodes of a service have been dropped.
func TestServiceWithoutNodesIsRefused(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	left, ingress := d.vms[0], d.vms[1]
	kill(left.node)
	d.log.Put(fleet.Topic, left.settings.Node, nil)
	eventually(t, func() bool {
		_, known := ingress.node.lifecycle.components.exchange.directory.Table().Get(left.settings.Node)
		return !known
	})
	r := d.call(ingress, http.MethodPost, "/once/", "a")
	must.NoError(t, r.err)
	must.Eq(t, http.StatusServiceUnavailable, r.status)
}

// Guards against requests that are sent to nodes of another service, or to nodes that are no
// longer known, because a service has no nodes anymore.
func TestVanishedServiceHasNoNodes(t *testing.T) {
	for name, later := range map[string][]fleet.Member{
		"record dropped":  nil,
		"another service": {{Node: "a", Epoch: 2, Address: "127.0.0.1:2", Service: "catalogue", Slots: 8, TakesWork: true}},
	} {
		t.Run(name, func(t *testing.T) {
			settings := nodeconfig.Config{Node: "self", Service: "orders", Listen: nodeconfig.Listen{Peer: "127.0.0.1:1"}}
			b := newBalancer(settings, timeline.NewRecorder(settings.Node))
			b.setMembers(func() []fleet.Member {
				return []fleet.Member{{Node: "a", Epoch: 1, Address: "127.0.0.1:2", Service: "orders", Slots: 8, TakesWork: true}}
			})
			_, ok := b.choose(&request{service: "orders"}, nil, "")
			must.True(t, ok)
			b.setMembers(func() []fleet.Member { return later })
			_, ok = b.choose(&request{service: "orders"}, nil, "")
			must.False(t, ok)
			must.EqOp(t, len(later), b.countServices())
		})
	}
}
