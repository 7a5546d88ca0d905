package candidates_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/candidates"
	"github.com/lacewingslip/lacewingslip/internal/matrix"
)

const leaseTime = 10 * time.Second

var designs = map[string]func(*matrix.Log) candidates.Candidate{
	"issued":    func(*matrix.Log) candidates.Candidate { return candidates.NewIssuedKeys() },
	"claimed":   func(l *matrix.Log) candidates.Candidate { return candidates.NewLogClaims(l, 1) },
	"claimed10": func(l *matrix.Log) candidates.Candidate { return candidates.NewLogClaims(l, 10) },
	"leased": func(l *matrix.Log) candidates.Candidate {
		return candidates.NewKeyRangeLease(l, "n1", leaseTime, false, nil)
	},
	"leasedFenced": func(l *matrix.Log) candidates.Candidate {
		return candidates.NewKeyRangeLease(l, "n1", leaseTime, true, nil)
	},
}

// Prints the figures for the table of docs/notes/at-most-once.md. On a fake clock, each
// design runs for a minute with the log and for a minute during its outage. Guards
// against a change of the results on which the choice of issued keys is based.
func TestComparison(t *testing.T) {
	for _, interval := range []time.Duration{100 * time.Millisecond, 10 * time.Millisecond} {
		answered := map[string]float64{}
		for name, design := range designs {
			synctest.Test(t, func(t *testing.T) {
				var down atomic.Bool
				log := matrix.NewLog(20*time.Millisecond, func(matrix.LogRequest) matrix.LogFault {
					if down.Load() {
						return matrix.LogDown
					}
					return matrix.LogWorks
				})
				c := design(log)
				load := candidates.Load{Interval: interval, Bookings: int(time.Minute / interval), Timeout: 2 * time.Second}
				normal := candidates.Measure(c, load)
				appends, reads := log.Requests()
				down.Store(true)
				outage := candidates.Measure(c, load)
				must.Eq(t, 1, normal.Answered)
				answered[name] = outage.Answered
				t.Logf("%-12s %3.0f/s: median %v, p99 %v, appends/booking %.3f, reads/booking %.3f, answered in outage %.1f%%",
					name, float64(time.Second)/float64(interval), normal.Median, normal.P99,
					float64(appends)/float64(load.Bookings), float64(reads)/float64(load.Bookings), 100*outage.Answered)
			})
		}
		must.Eq(t, 1, answered["issued"])
		must.Eq(t, 0, answered["claimed"])
		must.Less(t, 0.2, answered["leased"])
	}
}

// Shows why leases were not chosen: a holder that is paused between its last check of
// the lease and the run runs a booking that the next holder has already run, with and
// without fencing.
func TestPausedLeaseHolder(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		t.Run(fmt.Sprint("fenced=", fenced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := matrix.NewLog(time.Millisecond, nil)
				paused := candidates.NewKeyRangeLease(log, "n1", leaseTime, fenced, func() { time.Sleep(2 * leaseTime) })
				newHolder := candidates.NewKeyRangeLease(log, "n2", leaseTime, fenced, nil)
				first := make(chan error, 1)
				go func() { first <- paused.Book(context.Background(), "order-7") }()
				time.Sleep(leaseTime / 2)
				must.ErrorIs(t, newHolder.Book(t.Context(), "order-7"), candidates.ErrNotHeld)
				time.Sleep(leaseTime)
				must.NoError(t, newHolder.Book(t.Context(), "order-7"))
				must.NoError(t, <-first) // both ran
			})
		})
	}
}

// BenchmarkBook measures each design with a log that takes 2 ms per request, in real
// time and with many concurrent callers. Run it with -benchtime 100000x, as a ledger
// accepts at most 150,000 keys per second.
func BenchmarkBook(b *testing.B) {
	for name, design := range designs {
		b.Run(name, func(b *testing.B) {
			log := matrix.NewLog(2*time.Millisecond, nil)
			c := design(log)
			var n atomic.Int64
			b.SetParallelism(16)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := c.Book(context.Background(), fmt.Sprint(n.Add(1))); err != nil {
						b.Error(err)
						return
					}
				}
			})
			appends, _ := log.Requests()
			b.ReportMetric(float64(appends)/float64(b.N), "appends/op")
		})
	}
}
