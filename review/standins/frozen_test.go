//go:build review

package standins

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"sync"
	"syscall"
	"time"
)

// watcherOrder is the value by which the nodes of a zone choose which of them read the
// store, as docs/notes and the source show it.
func watcherOrder(node string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	return h.Sum64()
}

// freezeLength is how long the machines stand still.
const freezeLength = 5 * time.Second

// playFrozen moves a route to another service while two of twenty machines stand still.
func playFrozen(d *deployment, trouble bool) {
	for n := range 20 {
		d.add([]string{"addis-a", "hawassa-a"}[n/10], []string{"orders", "desk"}[n%2])
	}
	d.writeSettings()
	book := route{name: "book", prefix: "/book/", kind: "unsafe", service: "orders", timeoutMs: 5000, attempts: 1}
	d.publish(book)
	for _, m := range d.machines {
		m.start()
	}
	for n, m := range d.machines {
		m.startServer(fmt.Sprintf("i-%d", n+1), time.Now(), 100*time.Millisecond)
	}
	d.awaitReady()
	time.Sleep(4 * time.Second)
	for _, m := range d.machines {
		if a := m.send("POST", "/book/0", 5*time.Second, "tray"); a.status != 200 {
			fatal("a booking failed before the change: %d", a.status)
		}
	}
	time.Sleep(4 * time.Second)

	zone := append([]*machine(nil), d.machines[:10]...)
	sort.Slice(zone, func(a, b int) bool { return watcherOrder(zone[a].name) < watcherOrder(zone[b].name) })
	frozen := zone[:2]
	// Clients book on all other machines, throughout.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]answer{}
	for n, m := range d.machines {
		if slices.Contains(frozen, m) {
			continue
		}
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 25 * time.Millisecond)
			for {
				a := m.send("POST", "/book/1", 5*time.Second, "tray")
				mu.Lock()
				sent[a.id] = a
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, m := range frozen {
			m.signal(syscall.SIGSTOP)
		}
	}
	book.service = "desk"
	acked := d.publish(book)
	time.Sleep(time.Until(acked.Add(freezeLength)))
	if trouble {
		for _, m := range frozen {
			m.signal(syscall.SIGCONT)
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	bound := acked.Add(configApply)
	var broken []string
	for _, m := range d.machines {
		if m.service != "orders" {
			continue
		}
		for _, r := range m.server.allRuns() {
			if a, ok := sent[r.id]; ok && a.sent.After(bound) {
				broken = append(broken, fmt.Sprintf("CONFIG: %s, sent to %s %.3f s after the ack of the version that moves the route to desk, was run by orders", r.id, a.ingress, a.sent.Sub(acked).Seconds()))
			}
		}
	}
	sort.Strings(broken)
	d.finish(broken, "all bookings that were sent later than ConfigApplyMs after the ack were run by the new service")
}
