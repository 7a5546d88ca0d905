//go:build review

package standins

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// shortCut is how long the machine is partitioned from the store.
	shortCut = 2 * time.Second
	// checkInDelay is how late the check-in arrives that the server sent before its leave.
	checkInDelay = 4 * time.Second
)

// playUnwritten lets a server leave while its machine is cut off from the store. The node is
// killed before it has told anybody of the leave. After the cut, when the new process has
// read the store and other nodes know it, a check-in from before the leave arrives.
func playUnwritten(d *deployment, trouble bool) {
	for n := range 4 {
		d.add(fmt.Sprintf("addis-%c", 'a'+n%2), "orders")
	}
	d.writeSettings()
	d.publish(route{name: "book", prefix: "/book/", kind: "unsafe", service: "orders", timeoutMs: 5000, attempts: 1})
	for _, m := range d.machines {
		m.start()
	}
	for n, m := range d.machines {
		m.startServer(fmt.Sprintf("i-%d", n+1), time.Now(), 250*time.Millisecond)
	}
	d.awaitReady()
	time.Sleep(4 * time.Second)

	// Clients book on all machines but that of the server which leaves.
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
	time.Sleep(2 * time.Second)

	m := d.machines[0]
	u := m.server
	if trouble {
		heal := m.cut()
		time.AfterFunc(shortCut, heal)
	}
	time.Sleep(500 * time.Millisecond)
	lateURL, lateBody := u.message("ready")
	d.rec.printf("%s: server %s sends a check-in (ready) that is delayed on its way", m.name, u.id)
	sent := time.Now()
	u.setState("left")
	acked, ok := u.announce("left")
	if !ok {
		fatal("the deregistration got no ack")
	}
	bound := acked.Add(drainBound)
	if trouble {
		time.Sleep(500 * time.Millisecond)
		m.signal(syscall.SIGKILL)
		bound = time.Now().Add(shortCut + stableWindow)
	}
	time.Sleep(time.Until(sent.Add(checkInDelay)))
	d.rec.printf("%s: readiness %v", m.name, m.isReady())
	u.post("ready (the late check-in)", lateURL, lateBody)
	time.Sleep(time.Until(acked.Add(serveOn)))
	lost := u.exit("after its leave")
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()

	var broken []string
	for _, r := range u.allRuns() {
		if r.at.After(bound) {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached server %s %.3f s after the ack of its leave", r.id, u.id, r.at.Sub(acked).Seconds()))
		}
	}
	for _, id := range lost {
		d.rec.printf("booking %s was lost with the server: its client got %d", id, answers[id].status)
	}
	d.finish(broken, fmt.Sprintf("no request reached server %s later than %v after the ack", u.id, drainBound))
}
