package membership

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/appendlog"
)

// Guards against nodes that never find each other, or find only their seeds.
func TestNodesFindEachOther(t *testing.T) {
	run(t, func(t *testing.T, n *network) { n.startAll(10, "a", "b") })
}

// Guards against a dead node that stays routable, and against one that is
// forgotten at once or never.
func TestDeadNode(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		nodes := n.startAll(3, "a")
		n.kill(nodes[2])
		alive := nodes[:2]
		time.Sleep(20 * time.Second)
		n.agree(alive, 1, Unreachable)
		time.Sleep(unreachableKept + time.Minute)
		n.agree(alive, 0, Unreachable)
		n.agree(alive, 2, Alive)
	})
}

// Guards against a node that is lost for good after a pause, and against one
// that blames others for its own pause.
func TestPausedNode(t *testing.T) {
	for name, pause := range map[string]time.Duration{"short": 2 * time.Second, "hidden": time.Minute} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, n *network) {
				nodes := n.startAll(8, "a")
				resume := n.pause(nodes[3])
				time.Sleep(pause)
				resume()
				time.Sleep(20 * time.Second)
				n.agree(nodes, len(nodes), Alive)
				for _, node := range nodes {
					blamed := node != nodes[3] && node.Self().Version() > 1
					must.False(t, blamed, must.Sprintf("%s had to refute a suspicion", node.self.Node))
				}
			})
		})
	}
}

// Guards against a lost connection between two nodes that is taken for the
// failure of one of them.
func TestIndirectProbe(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		nodes := n.startAll(8, "a")
		n.setLost(func(from, to string) bool { return from == "a1:1" && to == "a2:1" })
		time.Sleep(time.Minute)
		n.agree(nodes, len(nodes), Alive)
		must.Eq(t, 1, nodes[2].Self().Version())
	})
}

// Guards against a node that is hidden although it answers, because its
// refutation takes longer to spread than the suspicion lasts.
func TestLastProbeBeforeHiding(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		nodes := n.startAll(8, "a")
		n.setLost(func(from, to string) bool { return to != "a3:1" })
		for _, node := range nodes {
			node.update(func(now time.Time) []Change { return node.table.suspect(now, "a3", nodes[3].self.Incarnation, 1) })
		}
		for range 10 {
			time.Sleep(time.Second)
			for _, node := range nodes {
				m, _ := node.Member("a3")
				must.True(t, m.Health.Routable(), must.Sprintf("%s hides a3", node.self.Node))
			}
		}
	})
}

// Guards against an old incarnation that outlives a restart, or that comes back
// with a late message.
func TestRestartedNode(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		nodes := n.startAll(8, "a")
		old := nodes[3]
		late := old.newRequest("", askNothing)
		late.Entries = old.table.all(time.Now(), fullBytes)
		n.kill(old)
		time.Sleep(10 * time.Second)
		nodes[3] = n.start("a3", "a")
		time.Sleep(20 * time.Second)
		nodes[0].answer(late)
		time.Sleep(5 * time.Second)
		n.agree(nodes, len(nodes), Alive)
		for _, node := range nodes {
			incarnation, _, _ := node.Epoch("a3")
			must.Eq(t, nodes[3].self.Incarnation, incarnation)
		}
	})
}

// Guards against a node whose clock was set back and that can't replace the
// entry of its earlier incarnation.
func TestClockSetBack(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		nodes := n.startAll(5, "a")
		n.kill(nodes[3])
		nodes[3] = n.startAt("a3", "a", time.Now().Add(-time.Hour))
		time.Sleep(30 * time.Second)
		n.agree(nodes, len(nodes), Alive)
		incarnation, _, _ := nodes[0].Epoch("a3")
		must.Eq(t, nodes[3].self.Incarnation, incarnation)
	})
}

// Guards against regions that stay apart after their link has healed, also if
// that took so long that each side forgot the other.
func TestRegionCut(t *testing.T) {
	for name, cut := range map[string]time.Duration{"minutes": 2 * time.Minute, "hours": unreachableKept + 5*time.Minute} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, n *network) {
				nodes := n.startAll(2, "a", "b")
				if cut < unreachableKept {
					// Hidden nodes come back also if no seed is left.
					for _, node := range nodes {
						node.mu.Lock()
						node.seeds = nil
						node.mu.Unlock()
					}
				}
				n.setLost(func(from, to string) bool { return from[0] != to[0] })
				time.Sleep(cut)
				n.agree(nodes[:2], 2, Alive)
				n.agree(nodes[2:], 2, Alive)
				n.setLost(func(string, string) bool { return false })
				time.Sleep(time.Minute)
				n.agree(nodes, len(nodes), Alive)
			})
		})
	}
}

// Guards against tables that drift apart when messages are lost, come twice or
// come late.
func TestBadNetwork(t *testing.T) {
	for name, fault := range map[string]func(n *network){
		"lost":  func(n *network) { n.lost = func(string, string) bool { return n.random.IntN(5) == 0 } },
		"twice": func(n *network) { n.twice = true },
		"reordered": func(n *network) {
			n.latency = func() time.Duration { return time.Duration(n.random.IntN(450)) * time.Millisecond }
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, n *network) {
				fault(n)
				var nodes []*testNode
				for i := range 10 {
					nodes = append(nodes, n.start(fmt.Sprintf("a%d", i), "a"))
				}
				for i := range 20 {
					nodes[i%10].Announce(Backend{Service: "orders", Slots: i + 1})
					time.Sleep(time.Second)
				}
				n.kill(nodes[9])
				time.Sleep(time.Minute)
				n.setLost(func(string, string) bool { return false })
				time.Sleep(time.Minute)
				n.agree(nodes[:9], 9, Alive)
				n.agree(nodes[:9], 1, Unreachable)
			})
		})
	}
}

// Guards against tables that stay different when every change is lost, which
// only the comparison of digests repairs.
func TestComparisonRepairs(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		nodes := n.startAll(5, "a")
		nodes[1].Announce(Backend{Service: "orders", Slots: 7})
		for _, node := range nodes {
			node.mu.Lock()
			clear(node.table.pending)
			node.mu.Unlock()
		}
		time.Sleep(time.Minute)
		n.agree(nodes, 5, Alive)
	})
}

// Guards against a planned stop that others take for a failure, and against an
// entry that stays for good.
func TestLeave(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		nodes := n.startAll(5, "a")
		must.NoError(t, nodes[3].Leave(t.Context()))
		n.kill(nodes[3])
		stay := append(nodes[:3:3], nodes[4:]...)
		time.Sleep(20 * time.Second)
		n.agree(stay, 1, Left)
		time.Sleep(leftKept)
		n.agree(stay, 0, Left)
	})
}

// Guards against nodes that need the log to find each other, and against joins
// that are never written after an outage.
func TestLogDown(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		log := &fakeLog{down: true}
		n.options = []Option{WithJournal(log)}
		n.startAll(5, "a")
		must.Eq(t, 0, log.joins())
		log.setDown(false)
		time.Sleep(2 * lastRetry)
		must.Eq(t, 5, log.joins())
	})
}

// Guards against a node that is alone although the log says who joined.
func TestJoinThroughLog(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		n.options = []Option{WithJournal(&fakeLog{}), WithSeeds()}
		nodes := n.startAll(1, "a")
		nodes = append(nodes, n.start("b0", "b"))
		time.Sleep(time.Minute)
		n.agree(nodes, 2, Alive)
	})
}

// Guards against an availability zone whose restart floods the log, or that
// does not come back.
func TestZoneRestart(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		log := &fakeLog{}
		n.options = []Option{WithJournal(log)}
		nodes := n.startAll(20, "a", "b")
		for i := range 20 {
			n.kill(nodes[i])
			nodes[i] = n.start(nodes[i].self.Node, "a")
		}
		log.reset()
		time.Sleep(30 * time.Second)
		n.agree(nodes, len(nodes), Alive)
		must.Eq(t, 20, log.joins())
		must.LessEq(t, 12, log.busiest(), must.Sprint("appends of one node in five in one second"))
	})
}

// Guards against a starting node that takes the table of another starting node
// for the whole table, which the comparison of a few buckets at a time would
// then repair only after a minute.
func TestFetchesUntilComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		answers  []bool
		complete bool
	}{
		"other is complete": {[]bool{true}, true},
		"other is starting": {[]bool{false}, false},
		"second is":         {[]bool{false, true}, true},
		"none is":           {[]bool{false, false, false}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := New(Self{Node: "a", Incarnation: 1, Started: start, Peer: "a:1"})
			for _, complete := range tc.answers {
				g.takeAnswer(&exchangeRequest{Ask: askAll}, &exchangeAnswer{Complete: complete})
			}
			must.Eq(t, tc.complete, g.isComplete())
		})
	}
}

// An address may pass to a VM of another organisation. Its nodes must not merge
// with those that still send messages there.
func TestOtherSystemIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		system string
		status int
		known  int
	}{
		"same system":    {"one", http.StatusOK, 2},
		"another system": {"two", http.StatusBadRequest, 1},
		"no system":      {"", http.StatusBadRequest, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := New(Self{Node: "a", Incarnation: 1, Started: start, Peer: "a:1", System: "one"})
			entry := update{fields: fields{Node: "b", Incarnation: 2, StartedMS: start.UnixMilli(), Version: 1, Peer: "b:1", Region: "r", Zone: "z"}}
			body, err := json.Marshal(exchangeRequest{header: header{From: "b", Incarnation: 2, System: tc.system, Entries: []update{entry}}})
			must.NoError(t, err)
			answer := httptest.NewRecorder()
			g.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodPost, exchangePath, bytes.NewReader(body)))
			must.EqOp(t, tc.status, answer.Code, must.Sprint(answer.Body.String()))
			must.SliceLen(t, tc.known, g.Members())
		})
	}
}

// fakeLog is a log service in memory.
type fakeLog struct {
	mu      sync.Mutex
	records []appendlog.Record
	times   []time.Time
	down    bool
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = nil
}

func (l *fakeLog) joins() (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.times)
}

// busiest returns the most appends within one second.
func (l *fakeLog) busiest() (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	perSecond := map[int64]int{}
	for _, at := range l.times {
		perSecond[at.Unix()]++
		most = max(most, perSecond[at.Unix()])
	}
	return most
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (offset int64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errors.New("log is down")
	}
	l.records = append(l.records, appendlog.Record{Offset: int64(len(l.records)), Data: data})
	l.times = append(l.times, time.Now())
	return int64(len(l.records)) - 1, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from int64, limit int, _ time.Duration) (page appendlog.Page, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return page, errors.New("log is down")
	}
	end := min(from+int64(limit), int64(len(l.records)))
	return appendlog.Page{Records: l.records[min(from, end):end], Next: int64(len(l.records))}, nil
}
