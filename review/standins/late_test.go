//go:build review

package standins

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// serveOn is how long the server serves on after the ack of its leave.
	serveOn = 12 * time.Second
	// cutLength is how long the machine is partitioned from the store.
	cutLength = 4 * time.Second
)

// playLate lets a server leave. The node beside it is restarted while its machine is cut
// off from the store, and a check-in that the server had sent before its leave arrives
// late, at the new process.
func playLate(d *deployment, trouble bool) {
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
	lateURL, lateBody := u.message("ready")
	d.rec.printf("%s: server %s sends a check-in (ready) that is delayed on its way", m.name, u.id)
	u.setState("left")
	acked, ok := u.announce("left")
	if !ok {
		fatal("the deregistration got no ack")
	}
	bound := acked.Add(drainBound)
	time.Sleep(500 * time.Millisecond)
	before := m.processStart()
	if trouble {
		if os.Getenv("NO_CUT") == "" {
			heal := m.cut()
			time.AfterFunc(cutLength, heal)
			bound = time.Now().Add(cutLength + stableWindow)
		}
		m.signal(syscall.SIGKILL)
		for m.processStart() == before {
			time.Sleep(time.Millisecond)
		}
		if os.Getenv("NO_CUT") == "" {
			time.Sleep(time.Second)
		} else {
			bound = time.Now().Add(stableWindow)
		}
	} else {
		time.Sleep(1300 * time.Millisecond)
	}
	for range 400 {
		if _, ok := u.post("ready (the late check-in)", lateURL, lateBody); ok {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	// The server serves on for some seconds and exits.
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
