package quota_test

import (
	"testing"
	"time"

	"github.com/lacewingslip/lacewingslip/quota"
)

// BenchmarkMessages reports the messages a second and node that caps cost, each with an answer,
// without the asks of nodes to themselves. Workspaces of a class are alike, so one of each is
// run and counted for all.
func BenchmarkMessages(b *testing.B) {
	type class struct {
		workspaces int
		rate, load float64
	}
	cases := map[string]struct {
		nodes   int
		classes []class
	}{
		"69 nodes, 76 workspaces":                      {69, []class{{5, 210, 150}, {71, 14, 10}}},
		"69 nodes, 76 workspaces, one at 8 times":      {69, []class{{4, 210, 150}, {1, 210, 1200}, {71, 14, 10}}},
		"69 nodes, 5,000 workspaces":                   {69, []class{{5, 210, 150}, {4995, 0.3, 0.15}}},
		"1,100 nodes, 76 workspaces":                   {1100, []class{{5, 3300, 2400}, {71, 220, 160}}},
		"1,100 nodes, 5,000 workspaces":                {1100, []class{{20, 420, 300}, {4980, 5, 3.5}}},
		"1,100 nodes, 5,000 workspaces, 20 at 8 times": {1100, []class{{20, 420, 2400}, {4980, 5, 3.5}}},
	}
	const duration = 10 * time.Second
	for name, c := range cases {
		b.Run(name, func(b *testing.B) {
			messages, requests := 0.0, 0.0
			for b.Loop() {
				messages, requests = 0, 0
				for _, class := range c.classes {
					n := newNetwork(c.nodes, quota.Cap{Rate: class.rate, Burst: class.rate}, 1)
					n.run(10 * time.Second)
					n.all(class.load, duration)
					n.run(duration)
					messages += float64(class.workspaces) * float64(n.remote)
					requests += float64(class.workspaces) * float64(len(n.offered))
				}
			}
			perNode := 1 / duration.Seconds() / float64(c.nodes)
			b.ReportMetric(messages*perNode, "messages/s/node")
			b.ReportMetric(requests*perNode, "requests/s/node")
			b.ReportMetric(messages/requests, "messages/request")
		})
	}
}
