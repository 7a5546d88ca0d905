package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// watching returns the nodes that read the log themselves, and the others.
func (d *deployment) watching() (watchers, others []*place) {
	for _, p := range d.places {
		if p.node.life.parts.watch.duty() {
			watchers = append(watchers, p)
			continue
		}
		others = append(others, p)
	}
	return watchers, others
}

// In a large deployment each record would cost a read of every node, which
// exceeds the log's rate.
func TestFewNodesReadTheLog(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue", "catalogue")
	eventually(t, func() bool {
		watchers, _ := d.watching()
		return len(watchers) == watchersPerZone
	})
	// Reads that were begun before the choice end with the first change.
	d.announce(d.places[0], "draining")
	d.settle()
	time.Sleep(time.Second)
	const path, changes = "/lacewingslip/log-read", 3
	before := d.log.Calls(path)
	for n := range changes {
		d.announce(d.places[0], []string{"ready", "draining"}[n%2])
		d.settle()
		// Changes that come together are read together.
		time.Sleep(600 * time.Millisecond)
	}
	must.Between(t, 1, d.log.Calls(path)-before, changes*watchersPerZone)
}

// The loss of the nodes that read the log must not keep the others from hearing
// of changes.
func TestLostWatchersAreReplaced(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue")
	eventually(t, func() bool {
		watchers, _ := d.watching()
		return len(watchers) == watchersPerZone
	})
	watchers, others := d.watching()
	for _, p := range watchers {
		kill(p.node)
	}
	d.places = others
	d.announce(others[0], "draining")
	d.settle()
}
