//go:build review

package standins2

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// refusedTime is for how long the store turns some machines away.
const refusedTime = 9 * time.Second

// staleWatchers lets the store turn away the machines of one zone that read it: their calls get
// no answer, while it serves the other machines and the operator. A desired state that moves a
// route to another service is acknowledged meanwhile. With ALL=1, the machines of both zones that
// read the store are turned away, with 503.
func staleWatchers(c *cluster, trouble bool) (broken bool, err error) {
	services := []string{"orders", "orders", "orders", "catalogue", "catalogue", "catalogue"}
	for _, region := range []string{"addis", "hawassa"} {
		for n, service := range services {
			if _, err = c.add(fmt.Sprintf("sidecar-%s-a-%d", region, n+1), region+"-a", region, service); err != nil {
				return false, err
			}
		}
	}
	document := func(version int, service string) []byte {
		return operator.EncodeDesiredState(version, []operator.Route{
			{Name: "book", Service: service, AtMostOnce: true, Timeout: 1500 * time.Millisecond, Attempts: 2},
			{Name: "look", Service: "catalogue", Timeout: 1500 * time.Millisecond, Attempts: 2},
		}, "orders", "catalogue")
	}
	c.publish(document(1, "orders"))
	if err = c.start(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)

	// The machines that still read the store.
	all := os.Getenv("ALL") == "1"
	before := make(map[*machine]int64)
	for _, m := range c.machines {
		before[m] = m.operatorReads.Load()
	}
	time.Sleep(5 * time.Second)
	var readers, others []*machine
	for _, m := range c.machines {
		if reads := m.operatorReads.Load() - before[m]; reads > 0 && (all || m.zone == c.machines[0].zone) {
			readers = append(readers, m)
			c.logf("%s (%s) reads the store", m.name, m.zone)
		} else {
			others = append(others, m)
		}
	}
	if len(readers) == 0 || float64(len(readers)) > 0.35*float64(len(c.machines)) {
		return false, fmt.Errorf("%d of %d machines read the store, expected at most 0.35", len(readers), len(c.machines))
	}
	calm := time.Now()
	fault := storeSilent
	if all {
		fault = storeBusy
	}
	if trouble {
		c.logf("the store turns away %d of %d machines for %v", len(readers), len(c.machines), refusedTime)
		for _, m := range readers {
			m.fault.Store(int32(fault))
		}
	}
	begin := time.Now()
	// Reads that wait in the store end meanwhile.
	time.Sleep(2500 * time.Millisecond)
	acked := c.publish(document(2, "catalogue"))
	c.logf("version 2 acknowledged: route book goes to catalogue, not to orders")

	var mu sync.Mutex
	var late, stale, served int
	var clients sync.WaitGroup
	for _, m := range others {
		clients.Go(func() {
			for n := 0; time.Since(begin) < refusedTime-500*time.Millisecond; n++ {
				id := fmt.Sprintf("%s-%d", m.name, n)
				sent := time.Now()
				a := m.send(http.MethodPost, "/book/x", id, 5*time.Second, "")
				ran := ""
				for _, s := range c.machines {
					if s.srv.Runs(id) > 0 {
						ran = s.service
					}
				}
				mu.Lock()
				c.logf("%s sent %.3f s after the ack of version 2 to %s: status %d, run by service %q", id, sent.Sub(acked).Seconds(), m.name, a.status, ran)
				if sent.Sub(acked) > configApply {
					late++
					if a.status == http.StatusOK {
						served++
					}
					if ran == "orders" {
						stale++
					}
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	for _, m := range readers {
		m.fault.Store(int32(storeServes))
	}
	c.logf("sent later than %v after the ack, at %d machines in touch (no disturbance for %v): %d; served %d; run by the old service %d", configApply, len(others), time.Since(calm).Round(time.Second), late, served, stale)
	if late == 0 || served < late/2 {
		return false, errors.New("too few requests were served")
	}
	return stale > 0, nil
}
