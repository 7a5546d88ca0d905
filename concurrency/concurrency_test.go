package concurrency_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/concurrency"
)

const (
	slots    = 100
	full     = 94
	interval = 10 * time.Millisecond
)

// server feeds an estimator in virtual time.
type server struct {
	*concurrency.Estimator
	now time.Time
}

func newServer() *server {
	s := &server{Estimator: concurrency.New(), now: time.Unix(1000, 0)}
	s.Reset(slots)
	return s
}

// run lets requests of the work run one after the other at the pace, and ticks in between.
func (s *server) run(d, work time.Duration, pace float64) { s.runRoute("r", d, work, pace) }

func (s *server) runRoute(route string, d, work time.Duration, pace float64) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.Observe(s.now, concurrency.Report{Running: 1, Pace: pace})
		mark := s.Begin(s.now, route, time.Minute)
		s.now = s.now.Add(time.Duration(float64(work) * pace))
		s.Observe(s.now, concurrency.Report{Running: 1, Pace: pace})
		s.End(s.now, mark, concurrency.Result{Route: route, Answered: true, Learn: true, Leaf: true})
		s.Tick(s.now, 0)
	}
}

// Guards against run times that lag behind the pace, and against noise of 600 ms that counts
// as a lasting change.
func TestPace(t *testing.T) {
	for name, c := range map[string]struct {
		pace              float64
		lasts             time.Duration
		wantMean, wantNow time.Duration
	}{
		"as usual":         {1, time.Second, interval, interval},
		"noise":            {2.5, 600 * time.Millisecond, interval, 25 * time.Millisecond},
		"slower for good":  {4, time.Second, 4 * interval, 4 * interval},
		"faster for good":  {0.3, time.Second, 3 * time.Millisecond, 3 * time.Millisecond},
		"faster at once":   {0.5, 20 * time.Millisecond, 5 * time.Millisecond, 5 * time.Millisecond},
		"slower, long ago": {2, 3 * time.Second, 2 * interval, 2 * interval},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer()
			s.run(3*time.Second, interval, 1)
			s.run(c.lasts, interval, c.pace)
			must.Between(t, c.wantMean*95/100, s.MeanRun(), c.wantMean*105/100)
			must.Between(t, c.wantNow*95/100, s.ExpectedRun("r"), c.wantNow*105/100)
			must.Eq(t, full, s.Limit())
		})
	}
}

// Guards against a request with long work for which noise is taken to last until its end.
func TestNoiseEndsBeforeLongWork(t *testing.T) {
	s := newServer()
	s.run(20*time.Second, 400*time.Millisecond, 1)
	s.Observe(s.now, concurrency.Report{Running: 1, Pace: 2.5})
	must.Between(t, 570*time.Millisecond, s.ExpectedRun("r"), 590*time.Millisecond)
}

// Guards against sending a server more than it can queue: it still runs requests whose callers
// have stopped waiting, and never answers those that do not fit.
func TestAbandonedRequestsCount(t *testing.T) {
	s := newServer()
	s.run(3*time.Second, interval, 1)
	for range 120 {
		mark := s.Begin(s.now, "r", time.Second)
		s.End(s.now, mark, concurrency.Result{Route: "r", Abandoned: true})
	}
	must.Eq(t, 1, s.Limit())
	s.Observe(s.now, concurrency.Report{Running: 40, Waiting: 10, Pace: 1})
	must.Eq(t, full-50, s.Limit())
	s.Observe(s.now, concurrency.Report{Pace: 1})
	must.Eq(t, full, s.Limit())
	s.Observe(s.now, concurrency.Report{Running: 30, Pace: 1})
	must.Eq(t, full, s.Limit(), must.Sprint("requests of others than this node do not count"))
}

// Guards against a request that counts as work of no length because it began before the
// server stated its pace for the first time.
func TestRequestBeforeTheFirstPace(t *testing.T) {
	s := newServer()
	mark := s.Begin(s.now, "r", time.Second)
	s.now = s.now.Add(interval)
	s.Observe(s.now, concurrency.Report{Running: 1, Pace: 1})
	s.End(s.now, mark, concurrency.Result{Route: "r", Answered: true, Learn: true})
	must.Zero(t, s.ExpectedRun("r"))
	s.run(interval, interval, 1)
	must.Between(t, interval*95/100, s.ExpectedRun("r"), interval*105/100)
}

// Guards against an estimate that outlives the server process, and against requests of the
// earlier process that count at the new one.
func TestReset(t *testing.T) {
	s := newServer()
	s.run(3*time.Second, interval, 4)
	mark := s.Begin(s.now, "r", time.Second)
	s.Reset(50)
	s.End(s.now, mark, concurrency.Result{Abandoned: true})
	must.Eq(t, 47, s.Limit())
	must.False(t, s.Paced())
	must.Zero(t, s.ExpectedRun("r"))
	s.Adopt(s.now, concurrency.Report{Running: 5, Waiting: 2, Pace: 1})
	must.Eq(t, 40, s.Limit())
}

// Guards against a limit that falls because requests of another route with longer work arrive,
// and against run times of one route that are expected of the other.
func TestRoutesAreSeparate(t *testing.T) {
	s := newServer()
	s.run(5*time.Second, interval, 1)
	s.runRoute("long", 30*time.Second, 10*interval, 1)
	s.Tick(s.now, 10)
	must.Eq(t, full, s.Limit())
	must.Between(t, 9*time.Millisecond, s.ExpectedRun("r"), 11*time.Millisecond)
	must.Between(t, 95*time.Millisecond, s.ExpectedRun("long"), 105*time.Millisecond)
}
