package membership

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// direct passes requests to a handler without a network.
type direct struct{ handler http.Handler }

func (d direct) RoundTrip(r *http.Request) (response *http.Response, err error) {
	answer := httptest.NewRecorder()
	d.handler.ServeHTTP(answer, r)
	return answer.Result(), nil
}

// largeTable returns 1,100 entries.
func largeTable() (list []update) {
	for i := range 1100 {
		f := fields{
			Node: fmt.Sprintf("orders-%04d", i), Incarnation: 1 << 60, StartedMS: 1 << 40, Version: 2,
			Peer: "10.120.130.140:7002", Caller: "10.120.130.140:7000", Operator: "10.120.130.140:7003",
			Region: "north", Zone: "north-1", Service: "orders", State: Ready, Slots: 50,
		}
		list = append(list, update{fields: f})
	}
	return list
}

// BenchmarkMembers compares the shared list of 1,100 members with a new one.
func BenchmarkMembers(b *testing.B) {
	g := New(Self{Node: "orders-0000", Incarnation: 1 << 60, Started: time.UnixMilli(1 << 40), Peer: "a:1"})
	g.table.merge(time.Now(), largeTable())
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
// entries, when nothing has changed and when everything has.
func BenchmarkExchange(b *testing.B) {
	list := largeTable()
	for name, changed := range map[string]bool{"idle": false, "all changed": true} {
		b.Run(name, func(b *testing.B) {
			nodes := [2]*Gossip{}
			for i := range nodes {
				nodes[i] = New(Self{Node: list[i].Node, Incarnation: 1 << 60, Started: time.UnixMilli(1 << 40), Peer: list[i].Peer})
				nodes[i].table.merge(time.Now(), list)
			}
			nodes[0].client.Transport = direct{nodes[1].Handler()}
			b.ReportAllocs()
			for b.Loop() {
				for _, g := range nodes {
					for node, r := range g.table.records {
						if changed {
							g.table.pending[node], r.sends = r, 30
						}
					}
					if !changed {
						clear(g.table.pending)
					}
				}
				if err := nodes[0].exchange(b.Context(), list[1].Peer, list[1].Node, askNothing); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
