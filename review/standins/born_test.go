//go:build review

package standins

import (
	"fmt"
	"sync"
	"time"
)

const (
	// clockAhead is how far the clock of the machine is ahead when its server first starts.
	clockAhead = 2400 * time.Millisecond
	// drainServe is how long a draining server serves on after the ack.
	drainServe = 8 * time.Second
)

// playBorn starts a server while the clock of its machine is ahead. The server crashes, the
// clock jumps back, and the server starts again under its ID. Then it drains.
func playBorn(d *deployment, trouble bool) {
	for n := range 4 {
		d.add(fmt.Sprintf("addis-%c", 'a'+n%2), "orders")
	}
	d.writeSettings()
	d.publish(route{name: "book", prefix: "/book/", kind: "unsafe", service: "orders", timeoutMs: 5000, attempts: 1})
	for _, m := range d.machines {
		m.start()
	}
	for n, m := range d.machines[1:] {
		m.startServer(fmt.Sprintf("i-%d", n+2), time.Now(), 250*time.Millisecond)
	}
	d.awaitReady()
	time.Sleep(4 * time.Second)

	m := d.machines[0]
	ahead := clockAhead
	if !trouble {
		ahead = 0
	}
	u := m.startServer("i-1", time.Now().Add(ahead), 250*time.Millisecond)
	time.Sleep(700 * time.Millisecond)
	u.exit("crash")
	time.Sleep(500 * time.Millisecond)
	u = m.startServer("i-1", time.Now(), 250*time.Millisecond)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	for _, m := range d.machines[1:] {
		for range 3 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(150 * time.Millisecond):
					}
					a := m.send("POST", "/book/1", 5*time.Second, "tray")
					mu.Lock()
					answers[a.id] = a
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(6 * time.Second)
	u.setState("draining")
	acked, ok := u.announce("draining")
	if !ok {
		fatal("the check-in got no ack")
	}
	time.Sleep(time.Until(acked.Add(drainServe)))
	u.setState("left")
	u.announce("left")
	lost := u.exit("after its leave")
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()

	var broken []string
	for _, r := range u.allRuns() {
		if r.at.After(acked.Add(drainBound)) {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached server %s %.3f s after the ack that it drains", r.id, u.id, r.at.Sub(acked).Seconds()))
		}
	}
	for _, id := range lost {
		d.rec.printf("booking %s was lost with the server: its client got %d", id, answers[id].status)
	}
	if len(u.allRuns()) == 0 {
		d.rec.printf("the server has run nothing")
	}
	d.finish(broken, fmt.Sprintf("no request reached server %s later than %v after the ack", u.id, drainBound))
}
