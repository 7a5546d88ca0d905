package membership

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// handlerTransport is an HTTP transport that calls a handler without a network.
type handlerTransport struct{ handler http.Handler }

func (d handlerTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	answer := httptest.NewRecorder()
	d.handler.ServeHTTP(answer, r)
	return answer.Result(), nil
}

// largeTableUpdates returns the updates of 1,100 nodes.
func largeTableUpdates() (updates []update) {
	for i := range 1100 {
		f := fields{
			Node: fmt.Sprintf("orders-%04d", i), Incarnation: 1 << 60, StartedMS: 1 << 40, Version: 2,
			Peer: "10.120.130.140:7002", Caller: "10.120.130.140:7000", Operator: "10.120.130.140:7003",
			Region: "north", Zone: "north-1", Service: "orders", State: Ready, Slots: 50,
		}
		updates = append(updates, update{fields: f})
	}
	return updates
}

// BenchmarkMembers compares the cached list of 1,100 members with a list that is
// built and sorted at each call.
func BenchmarkMembers(b *testing.B) {
	g := New(Self{Node: "orders-0000", Incarnation: 1 << 60, Started: time.UnixMilli(1 << 40), Peer: "a:1"})
	g.table.merge(time.Now(), largeTableUpdates())
	b.Run("shared", func(b *testing.B) {
		for b.Loop() {
			g.Members()
		}
	})
	b.Run("sorted", func(b *testing.B) {
		for b.Loop() {
			g.table.Members()
		}
	})
}

// BenchmarkExchange measures both sides of one exchange with a table of 1,100
// entries, when no entry has changed and when all have.
func BenchmarkExchange(b *testing.B) {
	updates := largeTableUpdates()
	for name, changed := range map[string]bool{"idle": false, "all changed": true} {
		b.Run(name, func(b *testing.B) {
			nodes := [2]*Gossip{}
			for i := range nodes {
				nodes[i] = New(Self{Node: updates[i].Node, Incarnation: 1 << 60, Started: time.UnixMilli(1 << 40), Peer: updates[i].Peer})
				nodes[i].table.merge(time.Now(), updates)
			}
			nodes[0].client.Transport = handlerTransport{nodes[1].Handler()}
			b.ReportAllocs()
			for b.Loop() {
				for _, g := range nodes {
					for node, r := range g.table.records {
						if changed {
							g.table.pending[node], r.remainingSends = r, 30
						}
					}
					if !changed {
						clear(g.table.pending)
					}
				}
				if err := nodes[0].exchange(b.Context(), updates[1].Peer, updates[1].Node, fetchChanges); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
