package pressure_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/pressure"
	"github.com/lacewingslip/lacewingslip/slot"
)

const tick = 100 * time.Millisecond

// run ticks a gauge with a constant load for a duration and returns the last level.
func run(g *pressure.Gauge, d time.Duration, load slot.Load) (level float64) {
	now := time.Now()
	for end := now.Add(d); now.Before(end); now = now.Add(tick) {
		level = g.Tick(now, load)
	}
	return level
}

// simulatedService is a service whose customer requests all have the same rank.
// The level affects the demand feedbackTicks later.
type simulatedService struct {
	gauge  pressure.Gauge
	now    time.Time
	levels []float64
}

// feedbackTicks is the number of ticks until a level affects the demand.
const feedbackTicks = 8

// run offers the demand for a duration and returns the mean of the admitted part.
func (s *simulatedService) run(d time.Duration, offered float64) (mean float64) {
	const slots, meanRun = 13, 50 * time.Millisecond
	ticks := int(d / tick)
	for range ticks {
		level := 0.0
		if n := len(s.levels); n >= feedbackTicks {
			level = s.levels[n-feedbackTicks]
		}
		demand := offered * pressure.Share(level, 0, 1)
		mean += demand / float64(ticks)
		for range int(demand * slots * tick.Seconds() / meanRun.Seconds()) {
			s.gauge.RecordArrival()
		}
		s.now = s.now.Add(tick)
		load := slot.Load{Running: min(int(demand*slots), slots), Limit: slots, MeanRun: meanRun}
		s.levels = append(s.levels, s.gauge.Tick(s.now, load))
	}
	return mean
}

// Guards against a level that oscillates between its bounds instead of settling
// where the admitted demand fits the slots, and against refusals that continue two
// seconds after the end of a surge.
func TestGauge(t *testing.T) {
	for name, surge := range map[string]float64{"half more": 1.5, "twice": 2, "four times": 4} {
		t.Run(name, func(t *testing.T) {
			s := &simulatedService{now: time.Now()}
			s.run(3*time.Second, 0.7)
			must.Eq(t, 0, s.gauge.Level())
			s.run(4*time.Second, surge)
			must.Between(t, 0.8, s.run(4*time.Second, surge), 1.0)
			s.run(2*time.Second, 0.5)
			must.Eq(t, 0, s.gauge.Level())
		})
	}
}

// Guards against admitting requests to a stuck backend server: if all slots stay
// in use with requests waiting, although requests are refused, nearly all requests
// must be refused.
func TestGaugeWithStuckServer(t *testing.T) {
	g := &pressure.Gauge{}
	level := run(g, 15*time.Second, slot.Load{Running: 13, Waiting: 6, Limit: 13})
	must.Greater(t, 0.9, level)
}

func TestLevelIsBounded(t *testing.T) {
	g := &pressure.Gauge{}
	level := run(g, time.Minute, slot.Load{Running: 13, Waiting: 100, Limit: 13})
	must.LessEq(t, 2, level)
}

// Guards against refusing important requests before almost all less important
// ones are refused.
func TestShare(t *testing.T) {
	for name, c := range map[string]struct {
		level       float64
		rank, ranks int
		want        float64
	}{
		"no pressure":                {0, 1, 2, 1},
		"half, least important":      {0.5, 1, 2, 0.5},
		"half, most important":       {0.5, 0, 2, 1},
		"above one, least important": {1.5, 1, 2, 0.1},
		"above one, most important":  {1.5, 0, 2, 0.5},
		"only one rank":              {0.5, 0, 1, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			must.InDelta(t, c.want, pressure.Share(c.level, c.rank, c.ranks), 1e-9)
		})
	}
}

// count returns how many of 100 requests are admitted.
func count(admit func() bool) (admitted int) {
	for range 100 {
		if admit() {
			admitted++
		}
	}
	return admitted
}

func TestAdmit(t *testing.T) {
	shedder := pressure.NewShedder()
	target := pressure.Target{Route: "r", Region: "addis"}
	now := time.Now()
	must.Eq(t, 100, count(func() bool { return shedder.Admit(now, target, 0, 1) }))
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		shedder.RecordLevel(now, target, 0.5)
	}
	must.Between(t, 49, count(func() bool { return shedder.Admit(now, target, 0, 1) }), 51)
	must.Eq(t, 100, count(func() bool { return shedder.Admit(now, pressure.Target{Route: "other"}, 0, 1) }))
	must.Eq(t, 0, count(func() bool { return shedder.AdmitRemote(now, target) }))
}

// Guards against a level that stays high after the pressure is over. While few
// requests are admitted, there are few answers to report a lower level.
func TestLevelDecaysWithoutReports(t *testing.T) {
	shedder := pressure.NewShedder()
	target := pressure.Target{Route: "r"}
	now := time.Now()
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		shedder.RecordLevel(now, target, 2)
	}
	must.Greater(t, 1.9, shedder.Level(now, target))
	must.Less(t, 0.2, shedder.Level(now.Add(8*time.Second), target))
}

// Guards against a smaller share that stays when nobody answers any more, a level that decays while
// answers state it, and targets that are asked for without end.
func TestAnswers(t *testing.T) {
	s, now, target := pressure.NewShedder(), time.Now(), pressure.Target{Route: "lists"}
	s.RecordAnswer(now, target, 1, now.Add(time.Second))
	level := s.Level(now, target)
	must.Eq(t, []pressure.Target{target}, s.Targets(now))
	must.Eq(t, level, s.Level(now.Add(time.Second), target))
	for range 20 {
		s.RecordAnswer(now, target, 1, now.Add(time.Second))
		now = now.Add(200 * time.Millisecond)
	}
	now = now.Add(-200 * time.Millisecond)
	must.InDelta(t, 0.02, s.Share(now, target, 0, 1), 1e-3)
	admitted := 0
	for range 200 {
		if s.Admit(now, target, 0, 1) {
			admitted++
		}
	}
	must.Between(t, 3, admitted, 5)
	must.GreaterEq(t, 0.1, s.Share(now.Add(time.Second), target, 0, 1))
	must.SliceEmpty(t, s.Targets(now.Add(20*time.Second)))
	must.Eq(t, 1, s.Share(now, target, 0, 1))
}
