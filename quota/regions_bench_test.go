package quota_test

import (
	"testing"
	"time"
)

// BenchmarkRegions reports what caps cost in a deployment with regions: the messages to other
// nodes and to other regions, how long admitted requests wait and how many of them for 20 ms or
// more, the part of the requests within the cap that is refused, and the most requests in a window
// as a part of what is allowed. Each figure is over several seeds.
func BenchmarkRegions(b *testing.B) {
	const seeds = 6
	for capName, c := range regionCaps {
		for loadName, load := range regionLoads {
			b.Run(capName+"/"+loadName, func(b *testing.B) {
				var requests, owed, admitted, remote, crossRegion, peak, late float64
				var waited time.Duration
				for b.Loop() {
					for seed := range uint64(seeds) {
						n := newRegionNetwork(c.cap, seed)
						load(n, c.rate, c.step)
						n.run(time.Second)
						requests += float64(len(n.offered))
						owed += float64(n.owed(c.cap))
						admitted += float64(len(n.admitted))
						remote += float64(n.remote)
						crossRegion += float64(n.crossRegion)
						peak = max(peak, float64(most(n.admitted, window)))
						for _, d := range n.waited {
							waited += d
							if d >= otherRegion {
								late++
							}
						}
					}
				}
				allowed := (c.cap.Rate*window.Seconds()+c.cap.Burst)*1.1 + 20
				b.ReportMetric(remote/requests, "messages/request")
				b.ReportMetric(crossRegion/requests, "to-other-regions/request")
				b.ReportMetric(waited.Seconds()*1000/max(admitted, 1), "wait-ms")
				b.ReportMetric(100*late/max(admitted, 1), "waited-20ms-%")
				b.ReportMetric(100*(1-admitted/owed), "refused-within-cap-%")
				b.ReportMetric(100*peak/allowed, "of-bound-%")
			})
		}
	}
}
