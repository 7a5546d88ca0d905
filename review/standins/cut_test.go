//go:build review

package standins

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// rounds is how often the route is moved and moved back. The reader notices the partition
// after 2 to 3 s, depending on when its reads began, so a single move does not always show
// the fault.
const rounds = 3

// playCut moves a route to another service while one machine is partitioned from the store.
// The requests of other machines are judged, which reach the store.
func playCut(d *deployment, trouble bool) {
	var zone []*machine
	for range 5 {
		zone = append(zone, d.add("addis-a", ""))
	}
	d.add("hawassa-a", "desk")
	d.add("hawassa-a", "orders")
	// The nodes of a zone choose two of them that read the store, by their names. The others
	// follow the first one or the second one, also by their names.
	sort.Slice(zone, func(a, b int) bool { return watcherOrder(zone[a].name) < watcherOrder(zone[b].name) })
	reader := zone[0]
	reader.service, zone[1].service = "orders", "front"
	var followers, others []*machine
	for _, m := range zone[2:] {
		if watcherOrder(m.name)%2 == 0 {
			followers = append(followers, m)
		} else {
			others = append(others, m)
		}
	}
	if len(followers) < 2 {
		fatal("only %d nodes follow the first reader", len(followers))
	}
	front, orders := followers[0], followers[1]
	front.service, orders.service = "front", "orders"
	for _, m := range append(followers[2:], others...) {
		m.service = "desk"
	}
	d.rec.printf("%s reads the store for the zone, and %s (front) and %s (orders) follow it", reader.name, front.name, orders.name)
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

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]answer{}
	for _, m := range []*machine{front, zone[1]} {
		for range 2 {
			clients.Go(func() {
				for {
					a := m.send("POST", "/book/1", 5*time.Second, "tray")
					mu.Lock()
					sent[a.id] = a
					mu.Unlock()
					select {
					case <-stop:
						return
					case <-time.After(200 * time.Millisecond):
					}
				}
			})
		}
	}
	var broken []string
	for range rounds {
		time.Sleep(4 * time.Second)
		if trouble {
			heal := reader.cut()
			time.AfterFunc(cutLength, heal)
		}
		book.service = "desk"
		acked := d.publish(book)
		time.Sleep(cutLength + time.Second)
		book.service = "orders"
		movedBack := d.publish(book)
		mu.Lock()
		for _, r := range orders.server.allRuns() {
			if a := sent[r.id]; a.sent.After(acked.Add(configApply)) && a.sent.Before(movedBack) {
				broken = append(broken, fmt.Sprintf("CONFIG: %s, sent to %s %.3f s after the ack of the version that moves the route to desk, was run by orders at %s",
					r.id, a.ingress, a.sent.Sub(acked).Seconds(), orders.name))
			}
		}
		mu.Unlock()
	}
	close(stop)
	clients.Wait()
	sort.Strings(broken)
	d.finish(broken, "all bookings that were sent later than ConfigApplyMs after the ack were run by the new service")
}
