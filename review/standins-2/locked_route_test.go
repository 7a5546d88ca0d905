//go:build review

package standins2

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

const (
	// workTime is how long the servers of the added route work, and slowFactor how much longer
	// while they are slow.
	workTime   = 250 * time.Millisecond
	slowFactor = 12
	slowTime   = 9 * time.Second
	steadyTime = 20 * time.Second
)

// lockedRoute adds a route, makes the servers of its service slow for a while, and lowers the
// time-out of the route when they are as fast as before.
func lockedRoute(c *cluster, trouble bool) (broken bool, err error) {
	regions := []string{"addis", "hawassa", "dire"}
	for n, service := range []string{"catalogue", "catalogue", "catalogue", "orders", "orders", "orders"} {
		region := regions[n%3]
		if _, err = c.add(fmt.Sprintf("sidecar-%s-a-%d", region, n/3+1), region+"-a", region, service); err != nil {
			return false, err
		}
	}
	document := func(version int, late time.Duration) []byte {
		routes := []operator.Route{{Name: "book", Service: "orders", AtMostOnce: true, Timeout: 1500 * time.Millisecond, Attempts: 2}}
		if late > 0 {
			routes = append(routes, operator.Route{Name: "late", Service: "catalogue", Timeout: late, Attempts: 2})
		}
		return operator.EncodeDesiredState(version, routes, "orders", "catalogue")
	}
	c.publish(document(1, 0))
	if err = c.start(); err != nil {
		return false, err
	}
	setWork := func(work time.Duration) {
		for _, m := range c.machines[:3] {
			m.srv.SetServiceTime(work)
		}
	}
	setWork(workTime)
	time.Sleep(6 * time.Second)
	c.publish(document(2, 5*time.Second))
	c.logf("version 2 acknowledged: it adds the route late, with a time-out of 5000 ms")
	time.Sleep(3 * time.Second)
	if trouble {
		c.logf("the servers of catalogue work %d times as long for %v", slowFactor, slowTime)
		setWork(slowFactor * workTime)
	}
	c.load("before", "late", 10, slowTime-3*time.Second)
	setWork(workTime)
	c.publish(document(3, time.Second))
	c.logf("the servers are as fast as before; version 3 acknowledged: the time-out of late is 1000 ms")
	time.Sleep(stableWindow + configApply)

	c.logf("steady state")
	var first, added map[int]int
	var loads sync.WaitGroup
	loads.Go(func() { first = c.load("first", "book", 10, steadyTime) })
	loads.Go(func() { added = c.load("added", "late", 10, steadyTime) })
	loads.Wait()
	total := func(counts map[int]int) (n int) {
		for _, count := range counts {
			n += count
		}
		return n
	}
	firstShare, addedShare := float64(first[200])/float64(total(first)), float64(added[200])/float64(total(added))
	c.logf("route of version 1: %v, served %.3f; route of version 2: %v, served %.3f", first, firstShare, added, addedShare)
	if firstShare < 0.9 || total(added) < 20 {
		return false, errors.New("too few requests were served or sent")
	}
	return addedShare < firstShare/4, nil
}

// load sends requests at a rate per second, to all machines in turn, and returns the answers by
// status.
func (c *cluster) load(name, route string, perSecond int, length time.Duration) (statuses map[int]int) {
	statuses = make(map[int]int)
	var mu sync.Mutex
	var clients sync.WaitGroup
	method := http.MethodGet
	if route == "book" {
		method = http.MethodPost
	}
	for n := range int(length.Seconds() * float64(perSecond)) {
		m := c.machines[n%len(c.machines)]
		id := fmt.Sprintf("%s-%d", name, n)
		clients.Go(func() {
			sent := time.Now()
			a := m.send(method, "/"+route+"/x", id, 5*time.Second, "")
			ran := 0
			for _, o := range c.machines {
				ran += o.srv.Runs(id)
			}
			c.logf("%s to %s: status %d after %.3f s, ran %d times", id, m.name, a.status, time.Since(sent).Seconds(), ran)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	clients.Wait()
	return statuses
}
