package mesh

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/upstream"
)

// version returns the version of the desired state in force at the node of a VM.
func (v *vm) version() int { return int(v.node.lifecycle.components.desired.version()) }

// Guards against a version that is taken back or that hides the next one, because a
// restored log returns an older version than the one in force.
func TestRestoredLogTakesNoVersionBack(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "catalogue")
	time.Sleep(settleTime)
	saved := d.log.Copy()
	d.publish(once("once"), safe("lost"))
	d.awaitConvergence()
	inForce := d.version
	reads := d.log.Calls("/lacewingslip/log-newest")
	d.log.Restore(saved)
	// The watchers have read the older version.
	eventually(t, func() bool { return d.log.Calls("/lacewingslip/log-newest") >= reads+2 })
	for _, v := range d.vms {
		must.EqOp(t, inForce, v.version())
	}
	d.publish(once("once"), safe("next"))
	d.awaitConvergence()
	must.Eq(t, 200, d.call(d.vms[3], "GET", "/next/", "a").status)
}

// Guards against a version that is not in force in time, because the operator wrote it at
// an offset that the nodes had read before the log was restored.
func TestVersionAtReusedOffsetIsInForce(t *testing.T) {
	d := newDeployment(t, "orders", "orders", "orders", "catalogue")
	time.Sleep(settleTime)
	saved := d.log.Copy()
	d.publish(once("once"))
	d.awaitConvergence()
	lost := d.state(once("once"))
	d.log.Restore(saved)
	d.publish(once("once"), safe("next"))
	// An unknown key takes the place of the lost record.
	d.log.Put(operator.DesiredStateTopic, "other", lost)
	d.awaitConvergence()
}

// Guards against nodes that are missing from a restored log, because nobody writes the
// records again that they wrote in the lost span.
func TestRecordsOfNodesAreBackInRestoredLog(t *testing.T) {
	for name, restore := range map[string]func(d *deployment, empty keyedlog.Copy){
		"log stays up": func(d *deployment, empty keyedlog.Copy) { d.log.Restore(empty) },
		"log was down": func(d *deployment, empty keyedlog.Copy) {
			d.log.SetFaults(keyedlog.Faults{Down: true})
			eventually(d.t, func() bool {
				return !slices.ContainsFunc(d.vms, func(v *vm) bool {
					c := v.node.lifecycle.components
					return c.watchers.readsLog() && c.exchange.directory.LogReachable()
				})
			})
			d.log.Restore(empty)
			d.log.SetFaults(keyedlog.Faults{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			empty := keyedlog.New().Copy()
			d := newDeployment(t, "orders", "orders", "orders", "orders", "catalogue")
			time.Sleep(settleTime)
			restore(d, empty)
			for _, v := range d.vms {
				eventually(t, func() bool { return d.log.Newest(fleet.Topic, v.settings.Node) != nil })
			}
		})
	}
}

// nodeRole is whether a node of a deployment reads the log itself.
type nodeRole struct {
	services []string
	watcher  bool
}

var nodeRoles = map[string]nodeRole{
	"follows a watcher": {[]string{"orders", "orders", "orders", "catalogue"}, false},
	"is a watcher":      {[]string{"orders", "orders", "orders", "catalogue"}, true},
	"only watchers":     {[]string{"orders", "catalogue"}, true},
}

// newDeploymentWith returns a settled deployment and the VM of a node with the role.
func newDeploymentWith(t *testing.T, role nodeRole) (d *deployment, v *vm) {
	t.Helper()
	d = newDeployment(t, role.services...)
	time.Sleep(settleTime)
	// Nodes that could not reach a watcher for a while read the log too.
	readers, others := d.awaitWatchers()
	if role.watcher {
		return d, readers[0]
	}
	return d, others[0]
}

// Guards against a node that nobody listens to: it started after the log lost its record,
// with its clock set back, so that the other nodes hold a higher epoch than it chose.
func TestNodeWithLowerEpochIsHeard(t *testing.T) {
	for name, role := range nodeRoles {
		t.Run(name, func(t *testing.T) {
			d, v := newDeploymentWith(t, role)
			saved := d.log.Copy()
			ahead := v.self()
			ahead.Epoch += time.Hour.Milliseconds()
			v.node.lifecycle.components.exchange.directory.Merge(ahead)
			d.awaitRecord(v)
			kill(v.node)
			d.log.Restore(saved)
			d.startNode(v)
			d.announce(v, "draining")
			d.awaitRecord(v)
			must.False(t, v.self().TakesWork)
		})
	}
}

// self returns the record of the node of a VM.
func (v *vm) self() fleet.Member { return v.node.lifecycle.components.exchange.directory.Self() }

// awaitRecord waits until all nodes and the log have the record of a VM's node.
func (d *deployment) awaitRecord(v *vm) {
	d.t.Helper()
	eventually(d.t, func() bool {
		m, err := fleet.DecodeMember(d.log.Newest(fleet.Topic, v.settings.Node))
		return err == nil && m == v.self() && !slices.ContainsFunc(d.vms, func(other *vm) bool {
			m, _ = other.node.lifecycle.components.exchange.directory.Table().Get(v.settings.Node)
			return m != v.self()
		})
	})
}

// Guards against an exchange that leaves a node unaware of a record of itself with a higher
// epoch, whichever of the two nodes starts it.
func TestExchangeReturnsHigherEpoch(t *testing.T) {
	for name, starter := range map[string]int{"node starts it": 0, "other node starts it": 1} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "catalogue")
			time.Sleep(settleTime)
			ahead := d.vms[0].self()
			ahead.Epoch += time.Hour.Milliseconds()
			d.vms[1].node.lifecycle.components.exchange.directory.Merge(ahead)
			e := d.vms[starter].node.lifecycle.components.exchange
			must.NoError(t, e.exchangeWith(t.Context(), e.balancer.otherPeers()[0], false))
			must.Greater(t, ahead.Epoch, d.vms[0].self().Epoch)
			d.awaitRecord(d.vms[0])
		})
	}
}

// Guards against a server that is used again although it had announced that it leaves:
// its node restarts after the log lost the record, and the server answers health requests.
func TestLeavingServerIsNotUsedAfterRestore(t *testing.T) {
	for name, test := range map[string]struct {
		services []string
		lose     func(d *deployment, ready keyedlog.Copy)
		used     bool
	}{
		"older record": {[]string{"orders", "catalogue"}, func(d *deployment, ready keyedlog.Copy) { d.log.Restore(ready) }, false},
		"no record":    {[]string{"orders", "catalogue"}, func(d *deployment, _ keyedlog.Copy) { d.restoreRecords(d.vms[1:]...) }, false},
		"no record of others": {[]string{"orders", "catalogue"}, func(d *deployment, ready keyedlog.Copy) {
			d.log.Restore(ready)
			d.restoreRecords(d.vms[0])
		}, false},
		"no records":     {[]string{"orders", "catalogue"}, func(d *deployment, _ keyedlog.Copy) { d.restoreRecords() }, false},
		"log down":       {[]string{"orders", "catalogue"}, func(d *deployment, _ keyedlog.Copy) { d.takeLogDown() }, false},
		"no other nodes": {[]string{"orders"}, func(d *deployment, ready keyedlog.Copy) { d.log.Restore(ready) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, test.services...)
			time.Sleep(settleTime)
			for _, v := range d.vms {
				// The nodes may know each other before the log has their records.
				d.awaitRecord(v)
			}
			v, ready := d.vms[0], d.log.Copy()
			if !test.used {
				d.ownRecordWait = time.Minute
			}
			d.announce(v, "draining")
			d.awaitRecord(v)
			kill(v.node)
			test.lose(d, ready)
			d.startNode(v)
			if test.used {
				eventually(t, func() bool { return v.self().TakesWork })
				return
			}
			eventually(t, func() bool { return v.version() > 0 && isClosed(v.node.lifecycle.components.exchange.ownRecordFetched) })
			time.Sleep(settleTime)
			must.False(t, v.self().TakesWork)
			must.EqOp(t, upstream.Unknown, v.node.lifecycle.components.announcements.tracker.Server().State())
			eventually(t, func() bool {
				m, err := fleet.DecodeMember(d.log.Newest(fleet.Topic, v.settings.Node))
				return err == nil && !m.TakesWork
			})
		})
	}
}

// takeLogDown makes the log unavailable while the node of the first VM is restarted. Without
// the log, it is found by the probes of the second one.
func (d *deployment) takeLogDown() {
	d.log.SetFaults(keyedlog.Faults{Down: true})
	b := d.vms[1].node.lifecycle.components.balancer
	b.markUnreachable(b.otherPeers()[0], "test")
}

func isClosed(c <-chan struct{}) (closed bool) {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// restoreRecords returns the log to a copy that has the records of the nodes of the VMs and
// no others.
func (d *deployment) restoreRecords(kept ...*vm) {
	log := keyedlog.New()
	log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, d.log.Newest(operator.DesiredStateTopic, operator.DesiredStateKey))
	for _, v := range kept {
		log.Put(fleet.Topic, v.settings.Node, d.log.Newest(fleet.Topic, v.settings.Node))
	}
	d.log.Restore(log.Copy())
}

// Guards against a node that serves an older version than the one in force, because it
// started when the restored log had no newer one.
func TestNodeStartedAfterRestoreHasVersionInForce(t *testing.T) {
	for name, role := range nodeRoles {
		t.Run(name, func(t *testing.T) {
			d, v := newDeploymentWith(t, role)
			saved := d.log.Copy()
			d.publish(safe("lost"))
			d.awaitConvergence()
			kill(v.node)
			d.log.Restore(saved)
			d.startNode(v)
			eventually(t, func() bool { return v.version() == d.version })
			d.publish(safe("next"))
			eventually(t, func() bool { return v.version() == d.version })
		})
	}
}

// A read of the desired state that was sent to a silent log ends seconds after the log answers
// again, as if the node did not see the log. Guards against a node, itself a watcher, that
// nobody sends requests to and that keeps the older version until then.
func TestWatcherHearsOfVersionFromRecoveredWatcher(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	unseeing := d.vms[1]
	kill(unseeing.node)
	n, err := New(unseeing.settings)
	must.NoError(t, err)
	n.lifecycle.components.desired.readsLog = func() bool { return false }
	n.lifecycle.components.directory.(*fleet.Directory).SetReadsLog(func() bool { return false })
	must.NoError(t, n.Start(t.Context()))
	unseeing.node = n
	t.Cleanup(func() { kill(n) })
	d.announce(unseeing, "ready")
	d.awaitConvergence()
	time.Sleep(settleTime)
	saved := d.log.Copy()
	d.log.SetFaults(keyedlog.Faults{Down: true})
	eventually(t, func() bool { return !d.vms[0].node.lifecycle.components.desired.follower.LogReachable() })
	d.log.Restore(saved)
	d.publish(once("once"), safe("safe"), safe("next"))
	d.log.SetFaults(keyedlog.Faults{})
	eventually(t, func() bool { return unseeing.version() == d.version })
}
