package mesh

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
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

// awaitWatchers waits until only the watchers read the log, and returns the nodes as
// splitByLogReading does.
func (d *deployment) awaitWatchers() (readers, others []*vm) {
	d.t.Helper()
	eventually(d.t, func() bool {
		readers, others = d.splitByLogReading()
		return len(readers) == watchersPerZone
	})
	return readers, others
}

// If every node of a large deployment read each record, the reads would exceed
// the rate limit of the log.
func TestFewNodesReadTheLog(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue", "catalogue")
	// A node that could not follow the watchers that it knew at its start reads the log for a
	// while after it.
	time.Sleep(settleTime)
	d.awaitWatchers()
	// Reads that started before the watchers were selected end with the first
	// change.
	d.announce(d.vms[0], "draining")
	d.awaitConvergence()
	time.Sleep(max(time.Second, settleTime))
	const changes = 3
	before := d.log.Reads(fleet.Topic)
	for n := range changes {
		d.announce(d.vms[0], []string{"ready", "draining"}[n%2])
		d.awaitConvergence()
		// Changes that follow within a short time would be read together.
		time.Sleep(600 * time.Millisecond)
	}
	must.Between(t, 1, d.log.Reads(fleet.Topic)-before, changes*watchersPerZone)
}

// Guards against versions that are late although many watchers read them, and against reads
// that grow with the number of zones.
func TestWaitForDesiredStateGrowsWithWatchers(t *testing.T) {
	for name, test := range map[string]struct {
		zones, nodesPerZone int
		want                time.Duration
	}{
		"alone":      {1, 1, minDesiredStateWait},
		"one zone":   {1, 24, minDesiredStateWait},
		"six zones":  {6, 4, 6 * watchersPerZone * waitPerWatcher},
		"many zones": {40, 27, maxDesiredStateWait},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(nodeconfig.Config{}, nil)
			for n := range test.zones * test.nodesPerZone {
				b.peers[strconv.Itoa(n)] = &peer{member: fleet.Member{Zone: strconv.Itoa(n % test.zones)}}
			}
			must.EqOp(t, test.want, (&watcherSelection{balancer: b}).maxWaitForDesiredState())
		})
	}
}

// When all watchers fail, the other nodes must still receive changes.
func TestLostWatchersAreReplaced(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue")
	watchers, others := d.awaitWatchers()
	for _, v := range watchers {
		kill(v.node)
	}
	d.vms = others
	d.announce(others[0], "draining")
	d.awaitConvergence()
}

// If every node read each version of the desired state, the calls to the log would grow
// with the number of nodes times the number of changes.
func TestFewNodesReadTheDesiredState(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue", "catalogue")
	// The watchers follow the desired state from settleTime on.
	time.Sleep(settleTime)
	d.awaitWatchers()
	// Reads that started before the watchers were selected end with the first
	// version.
	d.publish(once("once"), safe("safe"))
	d.awaitConvergence()
	time.Sleep(time.Second)
	const changes = 5
	before := d.log.Deliveries(operator.DesiredStateTopic)
	for range changes {
		d.publish(once("once"), safe("safe"))
		d.awaitConvergence()
	}
	must.Between(t, 1, d.log.Deliveries(operator.DesiredStateTopic)-before, changes*watchersPerZone)
}

// A version that is published while no watcher is left must come into force at the
// other nodes, and two versions in quick succession must both be passed on.
func TestDesiredStateWithoutWatchers(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue")
	time.Sleep(settleTime)
	watchers, others := d.awaitWatchers()
	for _, v := range watchers {
		kill(v.node)
	}
	d.vms = others
	d.publish(once("first"))
	d.publish(once("second"), safe("safe"))
	eventually(t, func() bool {
		for _, v := range others {
			if int(v.node.lifecycle.components.desired.version()) != d.version {
				return false
			}
		}
		return true
	})
}

// Guards against nodes that stay with an older version, because the watcher that they follow
// is cut off from the log and goes on answering.
func TestFollowersOfCutOffWatcherHearOfVersions(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "orders", "orders", "catalogue", "catalogue")
	d.awaitWatchers()
	for cut := range watchersPerZone {
		readers, followers := d.splitByLogReading()
		v := readers[cut]
		kill(v.node)
		n, err := New(v.settings)
		must.NoError(t, err)
		// Apart from its first read, this node does not see what is in the log.
		n.lifecycle.components.desired.readsLog = func() bool { return false }
		must.NoError(t, n.Start(t.Context()))
		v.node = n
		t.Cleanup(func() { kill(n) })
		d.announce(v, "ready")
		d.awaitConvergence()
		d.awaitWatchers()
		time.Sleep(settleTime)
		d.publish(once("once"), safe("safe"))
		for _, follower := range followers {
			eventually(t, func() bool { return follower.version() == d.version })
		}
		kill(n)
		d.startNode(v)
		d.announce(v, "ready")
		d.awaitConvergence()
		d.awaitWatchers()
	}
}

// Guards against nodes that keep an older version because those that read the log for them
// are turned away by it and go on answering, and those that take their place are turned away
// too.
func TestVersionReachesNodesWhoseReadersAreTurnedAway(t *testing.T) {
	for name, fault := range map[string]gateFault{"no response": gateSilent, "busy": gateBusy, "rate limit": gateLimited, "reset": gateResets} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newEmptyDeployment(t)
			d.gated = true
			for range 8 {
				d.addVM("orders")
			}
			d.awaitConvergence()
			time.Sleep(settleTime)
			readers, _ := d.awaitWatchers()
			for range 2 {
				for _, v := range readers {
					v.logGate.fault.Store(int32(fault))
				}
				// Ends the reads that wait in the log.
				d.publish(once("once"))
				d.awaitVersion()
				readers = nil
				for _, v := range d.vms {
					v.logGate.reads.Store(0)
				}
				d.publish(once("once"), safe("safe"))
				time.Sleep(100 * time.Millisecond)
				d.publish(safe("safe"))
				d.awaitVersion()
				for _, v := range d.vms {
					if v.logGate.reads.Load() > 0 && len(readers) < watchersPerZone {
						readers = append(readers, v)
					}
				}
			}
		})
	}
}

// awaitVersion waits until the newest version is in force at all nodes.
func (d *deployment) awaitVersion() {
	d.t.Helper()
	eventually(d.t, func() bool {
		for _, v := range d.vms {
			if v.version() != d.version {
				return false
			}
		}
		return true
	})
}
