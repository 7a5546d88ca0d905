package levelquery_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/levelquery"
	"github.com/lacewingslip/lacewingslip/pressure"
)

const tick = 100 * time.Millisecond

func middle() float64 { return 0.5 }

// Guards against more than ten questions in any second, whatever the number of routes, and against
// routes that are never asked for because others are, of which some are not answered.
func TestQuestionsAreLimited(t *testing.T) {
	table, now := levelquery.New(middle), time.Now()
	var overloaded []pressure.Target
	for n := range 30 {
		overloaded = append(overloaded, pressure.Target{Route: fmt.Sprintf("route-%d", n)})
	}
	var sent []time.Time
	asked := make(map[pressure.Target]int)
	for range 120 {
		now = now.Add(tick)
		for _, target := range table.Due(now, overloaded) {
			sent = append(sent, now)
			asked[target]++
			table.RecordAnswer(now, target, asked[target]%2 == 0, levelquery.MinHold)
		}
		recent := 0
		for _, at := range sent {
			if now.Sub(at) < time.Second {
				recent++
			}
		}
		must.LessEq(t, 10, recent)
	}
	must.MapLen(t, len(overloaded), asked)
}

// Guards against questions while all levels are 0, while responses state the level, while one is
// open, and after the end; and against none while another node asks.
func TestDue(t *testing.T) {
	table, now := levelquery.New(middle), time.Now()
	target := pressure.Target{Route: "lists"}
	due := func(after time.Duration, overloaded ...pressure.Target) int {
		now = now.Add(after)
		return len(table.Due(now, overloaded))
	}
	must.Zero(t, due(0))
	table.RecordResponse(now, target)
	must.Zero(t, due(time.Second))
	table.RecordResponse(now, target)
	must.Zero(t, due(50*time.Millisecond, target))
	must.Eq(t, 1, due(tick, target))
	must.Zero(t, due(tick, target))
	table.RecordAnswer(now, target, true, levelquery.MinHold)
	must.True(t, table.Known(now, target))
	must.Zero(t, due(50*time.Millisecond, target))
	table.Want(now, target)
	must.Eq(t, 1, due(tick))
	// An answer that states nothing leaves the level unknown.
	table.RecordAnswer(now, target, false, levelquery.MinHold)
	must.Zero(t, due(2*time.Second))
	must.False(t, table.Known(now, target))
}

// Plays two nodes whose services call each other, after a level that both have recorded has ended.
// Guards against questions that cause each other without end.
func TestQuestionsInLoopEnd(t *testing.T) {
	routes, now := []string{"lists", "entries"}, time.Now()
	tables := []*levelquery.Table{levelquery.New(middle), levelquery.New(middle)}
	var answers []func()
	last := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += tick {
		now = now.Add(tick)
		if elapsed%(levelquery.MinHold+tick) == 0 {
			for _, answer := range answers {
				answer()
			}
			answers = nil
		}
		for n, table := range tables {
			asked := pressure.Target{Route: routes[1-n]}
			var overloaded []pressure.Target
			if elapsed < time.Second {
				overloaded = append(overloaded, asked)
			}
			for _, target := range table.Due(now, overloaded) {
				last = elapsed
				tables[1-n].Want(now, pressure.Target{Route: routes[n]}, slices.Concat(table.Path(now, target), []string{target.Route})...)
				answers = append(answers, func() { table.RecordAnswer(now, target, false, levelquery.MinHold) })
			}
		}
	}
	must.Between(t, 1, last, 10*time.Second)
}

// Guards against a node of an earlier version that is asked again within a second, or never.
func TestUnsupported(t *testing.T) {
	table, now := levelquery.New(middle), time.Now()
	table.RecordUnsupported(now, "node-1")
	must.False(t, table.Supports(now.Add(900*time.Millisecond), "node-1"))
	must.True(t, table.Supports(now.Add(time.Second), "node-1"))
	must.True(t, table.Supports(now, "node-2"))
}

// Guards against an end that is answered late, and against answers at once while the level stays.
func TestHeld(t *testing.T) {
	for name, c := range map[string]struct {
		recorded, first, later float64
		known                  bool
		want                   time.Duration
	}{
		"stays":            {1, 1, 1, true, levelquery.MinHold},
		"rises":            {0.5, 0.5, 1, true, levelquery.MinHold},
		"falls":            {1, 1, 0.8, true, tick},
		"has ended before": {0.05, 0, 0, true, 0},
		"has fallen far":   {1, 0.7, 0.7, true, 0},
		"nothing known":    {1, 0, 0, false, levelquery.MinHold},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			held, level := levelquery.Hold(now, c.recorded, levelquery.MinHold), c.first
			var after time.Duration
			for ; !held.Due(now.Add(after), level, c.known); after += tick {
				level = c.later
			}
			must.Eq(t, c.want, after)
		})
	}
}

// Guards against nodes that are asked more often than they may be in large deployments, and against
// holds that delay the decay of levels without need in small ones.
func TestHoldFor(t *testing.T) {
	must.Eq(t, levelquery.MinHold, levelquery.HoldFor(8, 4))
	must.Eq(t, levelquery.MinHold, levelquery.HoldFor(71, 8))
	must.Eq(t, levelquery.MaxHold, levelquery.HoldFor(1100, 28))
	must.Eq(t, levelquery.MaxHold, levelquery.HoldFor(1100, 0))
}
