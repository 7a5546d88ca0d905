//go:build review

package standins2

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// lostLeave lets the store be down while a backend server deregisters, and kills all nodes after
// the ack. A check-in of the server from before arrives late.
func lostLeave(c *cluster, trouble bool) (broken bool, err error) {
	for n, service := range []string{"orders", "orders", "orders", "catalogue", "catalogue", "catalogue"} {
		region := []string{"addis", "hawassa", "dire"}[n%3]
		if _, err = c.add(fmt.Sprintf("sidecar-%s-a-%d", region, n/3+1), region+"-a", region, service); err != nil {
			return false, err
		}
	}
	c.publish(operator.EncodeDesiredState(1, []operator.Route{
		{Name: "book", Service: "orders", AtMostOnce: true, Timeout: 1500 * time.Millisecond, Attempts: 2},
		{Name: "look", Service: "catalogue", Timeout: 1500 * time.Millisecond, Attempts: 2},
	}, "orders", "catalogue"))
	if err = c.start(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	m := c.machines[0]
	if trouble {
		c.logf("the store is down")
		c.setStore(storeBusy)
	}
	down := time.Now()
	time.Sleep(500 * time.Millisecond)

	// The last check-in of the server, which arrives late, and its deregistration.
	m.stopAnnouncing()
	m.sequence++
	late := m.checkIn("ready", m.sequence)
	c.logf("%s: %s sends check-in %d (ready)", m.name, m.instance, m.sequence)
	m.srv.Drain()
	var acked time.Time
	for acked.IsZero() && time.Since(down) < 3*time.Second {
		if status := m.post("instances.deregister", fmt.Sprintf(`{"born":%d}`, m.born)); status >= 200 && status < 300 {
			acked = time.Now()
		} else {
			c.logf("%s: the deregistration got %d", m.name, status)
			time.Sleep(200 * time.Millisecond)
		}
	}
	if acked.IsZero() {
		c.logf("the deregistration was not acknowledged: the rule does not apply")
		return false, nil
	}
	c.logf("%s acknowledges that %s is gone", m.name, m.instance)
	if trouble {
		time.Sleep(200 * time.Millisecond)
		c.logf("all nodes are killed")
		for _, o := range c.machines {
			o.signal(syscall.SIGKILL)
		}
		for _, o := range c.machines {
			<-o.exited
		}
		time.Sleep(300 * time.Millisecond)
		for _, o := range c.machines {
			if err = o.startNode(); err != nil {
				return false, err
			}
		}
		c.logf("all nodes are started again")
	}
	time.Sleep(time.Until(down.Add(3 * time.Second)))
	c.setStore(storeServes)
	c.logf("the store serves")
	time.Sleep(500 * time.Millisecond)
	c.logf("%s: the check-in that was sent before arrives: status %d", m.name, m.post("instances.heartbeat", late))
	// Until all machines are in touch.
	time.Sleep(time.Until(down.Add(3*time.Second + stableWindow + time.Second)))

	var mu sync.Mutex
	reached, served := 0, 0
	var clients sync.WaitGroup
	for _, o := range c.machines {
		clients.Go(func() {
			for n := range 20 {
				id := fmt.Sprintf("%s-%d", o.name, n)
				sent := time.Now()
				a := o.send(http.MethodPost, "/book/x", id, 5*time.Second, "")
				mu.Lock()
				if a.status == http.StatusOK {
					served++
				}
				if m.srv.Runs(id) > 0 {
					reached++
					c.logf("%s sent to %s %.3f s after the ack reaches %s: status %d", id, o.name, sent.Sub(acked).Seconds(), m.instance, a.status)
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	c.logf("of %d requests, %d were served and %d reached the server that had left", 20*len(c.machines), served, reached)
	if served < 20 {
		return false, errors.New("too few requests were served")
	}
	return reached > 0, nil
}

func (c *cluster) setStore(f storeFault) {
	for _, m := range c.machines {
		m.fault.Store(int32(f))
	}
}

// stopAnnouncing ends the check-ins at intervals.
func (m *machine) stopAnnouncing() { close(m.stopBeats) }
