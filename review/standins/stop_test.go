//go:build review

package standins

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"syscall"
	"time"
)

const (
	grace = 6 * time.Second
	// lateSend is how long after SIGTERM a request may have been sent to be excused if its
	// server is still at work in the last sixth of the grace time.
	lateSend = 3 * time.Second
	// shortWork and longWork are the mean and the longest work of a booking at the site.
	shortWork, longWork = 290 * time.Millisecond, 2100 * time.Millisecond
	// longShare is the share of the bookings with the longest work.
	longShare = 0.3
	// stops is how often the node is stopped and started again.
	stops = 2
)

// stopNode stops a node as the platform does: with SIGTERM, and with SIGKILL after the grace
// time. The stand-in for the platform starts it again.
func (m *machine) stopNode() {
	before := m.processStart()
	m.signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() {
		if m.processStart() == before {
			m.signal(syscall.SIGKILL)
		}
	})
}

// playStop stops a node with SIGTERM and starts it again. Its zone has no other machine, so
// its clients are not directed elsewhere.
func playStop(d *deployment, trouble bool) {
	d.add("addis-a", "desk")
	for range 3 {
		d.add("hawassa-a", "orders")
	}
	d.writeSettings()
	d.publish(route{name: "book", prefix: "/book/", kind: "unsafe", service: "orders", timeoutMs: 5000, attempts: 1},
		route{name: "desk", prefix: "/desk/", kind: "safe", service: "desk", timeoutMs: 5000, attempts: 2})
	for _, m := range d.machines {
		m.start()
	}
	for n, m := range d.machines {
		u := m.startServer(fmt.Sprintf("i-%d", n+1), time.Now(), shortWork)
		u.workOf = func(path string) time.Duration {
			if path == "/book/long" {
				return longWork
			}
			return shortWork
		}
	}
	d.awaitReady()
	time.Sleep(4 * time.Second)

	m := d.machines[0]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for n := range 30 {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			for {
				path := "/book/short"
				if rand.Float64() < longShare {
					path = "/book/long"
				}
				a := m.send("POST", path, 5*time.Second, "tray")
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
		})
	}
	// The platform asks once a second whether the node is ready. The node is the only one of
	// its zone, so fewer than half of the zone's nodes are in when it is not, and its clients
	// go on.
	clients.Go(func() {
		for {
			d.rec.printf("%s: readiness %v", m.name, m.isReady())
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	})
	time.Sleep(4 * time.Second)
	var broken []string
	for range stops {
		time.Sleep(4 * time.Second)
		signalled := time.Now()
		if trouble {
			m.stopNode()
		}
		time.Sleep(time.Until(signalled.Add(grace + time.Second)))
		d.awaitReady()
		ran := map[string]run{}
		for _, m := range d.machines {
			for _, r := range m.server.allRuns() {
				ran[r.id] = r
			}
		}
		mu.Lock()
		for _, a := range answers {
			r, hasRun := ran[a.id]
			after := a.sent.Sub(signalled)
			if a.status != 0 || !hasRun || after < 0 || after > grace || a.ended.Sub(a.sent) > 4900*time.Millisecond {
				continue
			}
			text := fmt.Sprintf("%s, sent %.3f s after SIGTERM, at work at a server from %.3f s, connection closed without an answer at %.3f s",
				a.id, after.Seconds(), r.at.Sub(signalled).Seconds(), a.ended.Sub(signalled).Seconds())
			if after <= lateSend && a.ended.Sub(signalled) >= grace*5/6 {
				d.rec.printf("excused: %s", text)
				continue
			}
			broken = append(broken, "LOST: "+text)
		}
		mu.Unlock()
	}
	close(stop)
	clients.Wait()
	sort.Strings(broken)
	d.finish(broken, "no booking that had been passed on to a server lost its answer around the planned stop")
}
