package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingslip/lacewingslip/upstream"
)

// liveServer is the process of a backend server that listens at the address now.
type liveServer struct {
	instance string
	startMs  int64
	healthy  bool
	// acknowledged is true once a node has acknowledged that it is leaving.
	acknowledged bool
}

// leaveOrder is an order of events around two incarnations of a server. Steps are what happens
// at the server: ready, draining or gone as it says of itself, started and exited. Messages that
// it is ready arrive at the step that arrivals state for them, and the node is killed before the
// steps in kills. At "gone again", a deregistration of the first incarnation arrives once more.
type leaveOrder struct {
	steps    []string
	arrivals []int
	kills    map[int]bool
	// stated is whether leaves state the start time. known is whether the log has the record of
	// leaves, or an earlier one that the server is ready. sameID is whether both incarnations
	// have one ID.
	stated, known, sameID bool
}

// play returns what the order breaks, or "".
func (o leaveOrder) play(t *testing.T) (broken string) {
	t.Helper()
	now := time.Now()
	second := "b"
	if o.sameID {
		second = "a"
	}
	server := &liveServer{instance: "a", startMs: 1, healthy: true}
	history := upstream.NewHistory("orders", "10.1.0.8:1", upstream.WithUnknownPast(now))
	history.RecordFirstProcess()
	var left *liveServer
	delayed := make(map[int][]upstream.Announcement)
	receive := func(a upstream.Announcement) {
		change := history.Apply(now, a)
		if change == upstream.Contested && a.State == upstream.Ready && server.healthy && server.instance == a.Instance {
			history.Confirm(now, a)
		}
	}
	sequence, ready := int64(0), 0
	for n, step := range o.steps {
		now = now.Add(700 * time.Millisecond)
		if o.kills[n] {
			history = upstream.NewHistory("orders", "10.1.0.8:1", upstream.WithUnknownPast(now))
			state := upstream.Unknown
			recorded := &liveServer{instance: "a", startMs: 1}
			if o.known && left != nil {
				recorded, state = left, upstream.Gone
			}
			history.Restore(recorded.instance, recorded.startMs, 8, state)
			if server.healthy && state == upstream.Unknown {
				history.Restore(server.instance, 0, 8, upstream.Ready)
			}
		}
		startMs := server.startMs
		if !o.stated {
			startMs = 0
		}
		sequence++
		switch step {
		case "ready":
			delayed[o.arrivals[ready]] = append(delayed[o.arrivals[ready]], newAnnouncement(server.instance, server.startMs, sequence, upstream.Ready))
			ready++
		case "draining":
			server.healthy, server.acknowledged = false, history.Apply(now, newAnnouncement(server.instance, startMs, sequence, upstream.Draining)) != upstream.Contested
		case "gone":
			server.healthy = false
			server.acknowledged = history.Deregister(now, server.instance, startMs) != upstream.Contested || server.acknowledged
			left = server
		case "gone again":
			// The first incarnation's message comes once more.
			first := min(startMs, 1)
			history.Deregister(now, "a", first)
		case "exits and starts":
			server, sequence = &liveServer{instance: second, startMs: 2, healthy: true}, 0
		}
		for _, a := range delayed[n] {
			receive(a)
		}
		if used := history.Server(); server.acknowledged && used.TakesWork() && used.Instance() == server.instance {
			return fmt.Sprintf("used after its acknowledged leave, after step %d", n)
		}
	}
	if server.healthy {
		for range 2 {
			now = now.Add(late)
			sequence++
			receive(newAnnouncement(server.instance, server.startMs, sequence, upstream.Ready))
		}
		if !history.Server().TakesWork() {
			return "a sound server is not used"
		}
	}
	return ""
}

// forEachOrder calls play with each combination of arrivals and of up to two kills.
func forEachOrder(o leaveOrder, play func(o leaveOrder)) {
	var sent []int
	for n, step := range o.steps {
		if step == "ready" {
			sent = append(sent, n)
		}
	}
	var arrive func(arrivals []int)
	arrive = func(arrivals []int) {
		if len(arrivals) < len(sent) {
			for at := sent[len(arrivals)]; at < len(o.steps); at++ {
				arrive(append(arrivals[:len(arrivals):len(arrivals)], at))
			}
			return
		}
		for first := range o.steps {
			for second := first; second < len(o.steps); second++ {
				o.arrivals, o.kills = arrivals, map[int]bool{first: true, second: true}
				play(o)
			}
		}
		o.arrivals, o.kills = arrivals, nil
		play(o)
	}
	arrive(nil)
}

// Guards against a server that is used after a leave which was acknowledged by a process that
// has ended, and against a sound one that is not used: in each order of messages that it is
// ready, which may arrive late, and of kills of the node before, between and after the leaves.
func TestLeaveBindsLaterProcesses(t *testing.T) {
	for name, steps := range map[string][]string{
		"drains, then deregisters":  {"ready", "ready", "draining", "", "gone", "", "exits and starts", "ready"},
		"deregisters at once":       {"ready", "ready", "gone", "", "", "exits and starts", "ready"},
		"drains only":               {"ready", "draining", "", "exits and starts", "ready", ""},
		"next one leaves too":       {"ready", "gone", "exits and starts", "ready", "gone", "", ""},
		"next one drains too":       {"ready", "gone", "exits and starts", "ready", "draining", "", "gone"},
		"next one leaves unheard":   {"ready", "exits and starts", "ready", "gone", "", ""},
		"next one drains unheard":   {"ready", "ready", "exits and starts", "ready", "draining", "", ""},
		"leave comes again":         {"ready", "gone", "exits and starts", "ready", "gone again", "", "ready"},
		"crashes and starts":        {"ready", "ready", "exits and starts", "ready", "ready", ""},
		"leaves before it is heard": {"ready", "gone", "", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			orders := 0
			for variant := range 8 {
				o := leaveOrder{steps: steps, stated: variant&1 != 0, known: variant&2 != 0, sameID: variant&4 != 0}
				forEachOrder(o, func(o leaveOrder) {
					orders++
					if broken := o.play(t); broken != "" {
						t.Fatalf("%s: %+v", broken, o)
					}
				})
			}
			t.Logf("%d orders", orders)
		})
	}
}
