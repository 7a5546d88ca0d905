package pressure

import (
	"math"
	"sync"
	"time"
)

const (
	// heardTime is the time over which the levels of answers are averaged. It adds
	// up over the hops of the call tree.
	heardTime = 100 * time.Millisecond
	// minWeight is the least weight of an answer.
	minWeight = 0.02
	// heardMemory is how long a level stays without news. When few requests are
	// admitted, few answers bring news.
	heardMemory = 2 * time.Second
	// minShare of the requests of each rank is always admitted to the own region, so that answers
	// show when the pressure has gone.
	minShare = 0.1

	// remoteLevel is the level of another region from which on it takes no
	// requests from here: they would take the place of its own ones.
	remoteLevel = 0.1
)

// Way is a route's requests to the nodes of a region.
type Way struct {
	Route, Region string
}

// Door keeps the level of each way and decides on its requests. It is safe for
// concurrent use.
type Door struct {
	mu   sync.Mutex
	ways map[Way]*doorway
}

type doorway struct {
	level float64
	heard time.Time
	// credit is what is left of the share of admitted requests.
	credit float64
}

// NewDoor returns a door that admits everything.
func NewDoor() *Door { return &Door{ways: make(map[Way]*doorway)} }

// maxDoorways bounds the ways that are kept; those without pressure are not.
const maxDoorways = 4096

// Heard takes in the level that an answer to a request states.
func (d *Door) Heard(now time.Time, way Way, level float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.ways[way]
	if w == nil {
		if level == 0 || len(d.ways) >= maxDoorways {
			return
		}
		w = &doorway{heard: now.Add(-heardTime), credit: 0.5}
		d.ways[way] = w
	}
	passed := now.Sub(w.heard)
	w.level = w.at(now)
	w.level += max(weightOf(passed, heardTime), minWeight) * (level - w.level)
	w.heard = now
	if w.level < 0.001 {
		delete(d.ways, way)
	}
}

// Level returns the level of a way.
func (d *Door) Level(now time.Time, way Way) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.ways[way]; w != nil {
		return w.at(now)
	}
	return 0
}

// Admit decides on a request to the own region. Place is that of its rank among
// the places of all ranks of customer requests, 0 for the most important one.
func (d *Door) Admit(now time.Time, way Way, place, places int) (ok bool) {
	return d.pass(now, way, func(level float64) float64 { return Share(level, place, places) })
}

// AdmitRemote decides on a request that the own region has no room for.
func (d *Door) AdmitRemote(now time.Time, way Way) (ok bool) {
	return d.pass(now, way, func(level float64) float64 { return max(1-level/remoteLevel, 0) })
}

func (d *Door) pass(now time.Time, way Way, shareAt func(level float64) float64) (ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.ways[way]
	if w == nil {
		return true
	}
	share := shareAt(w.at(now))
	// Spreading the refusals evenly keeps the number of admitted requests
	// steadier than chance would.
	w.credit += share
	if w.credit < 1 {
		return false
	}
	w.credit--
	return true
}

// Share returns the part of the requests of a rank that is admitted at a level.
func Share(level float64, place, places int) float64 {
	below := float64(places - 1 - place)
	return min(max(1-(level-below), minShare), 1)
}

// at returns the level after it has faded without news.
func (w *doorway) at(now time.Time) float64 {
	silent := now.Sub(w.heard) - heardMemory/4
	if silent <= 0 {
		return w.level
	}
	return w.level * math.Exp(-float64(silent)/float64(heardMemory))
}
