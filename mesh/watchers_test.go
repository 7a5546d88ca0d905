package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// splitByLogReading returns the nodes that read the log themselves, and the
// others.
func (d *deployment) splitByLogReading() (readers, others []*vm) {
	for _, v := range d.vms {
		if v.node.lifecycle.components.watchers.readsLog() {
			readers = append(readers, v)
			continue
		}
		others = append(others, v)
	}
	return readers, others
}

// If every node of a large deployment read each record, the reads would exceed
// the rate limit of the log.
func TestFewNodesReadTheLog(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue", "catalogue")
	eventually(t, func() bool {
		readers, _ := d.splitByLogReading()
		return len(readers) == watchersPerZone
	})
	// Reads that started before the watchers were selected end with the first
	// change.
	d.announce(d.vms[0], "draining")
	d.awaitConvergence()
	time.Sleep(time.Second)
	const path, changes = "/lacewingslip/log-read", 3
	before := d.log.Calls(path)
	for n := range changes {
		d.announce(d.vms[0], []string{"ready", "draining"}[n%2])
		d.awaitConvergence()
		// Changes that follow within a short time would be read together.
		time.Sleep(600 * time.Millisecond)
	}
	must.Between(t, 1, d.log.Calls(path)-before, changes*watchersPerZone)
}

// When all watchers fail, the other nodes must still receive changes.
func TestLostWatchersAreReplaced(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue")
	eventually(t, func() bool {
		readers, _ := d.splitByLogReading()
		return len(readers) == watchersPerZone
	})
	watchers, others := d.splitByLogReading()
	for _, v := range watchers {
		kill(v.node)
	}
	d.vms = others
	d.announce(others[0], "draining")
	d.awaitConvergence()
}
