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

// Guards against nodes that never discover each other, or discover only their
// seeds.
func TestNodesFindEachOther(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) { n.startAll(10, "a", "b") })
}

// Guards against a dead node that stays routable, and against one that is removed
// too early or never.
func TestDeadNode(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(3, "a")
		n.kill(nodes[2])
		survivors := nodes[:2]
		time.Sleep(20 * time.Second)
		n.requireAgreement(survivors, 1, Unreachable)
		time.Sleep(unreachableRetention + time.Minute)
		n.requireAgreement(survivors, 0, Unreachable)
		n.requireAgreement(survivors, 2, Alive)
	})
}

// Guards against a paused node that stays unreachable for good after the pause,
// and against one that suspects other nodes because of its own pause.
func TestPausedNode(t *testing.T) {
	for name, pause := range map[string]time.Duration{"short": 2 * time.Second, "long": time.Minute} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, n *network) {
				nodes := n.startAll(8, "a")
				resume := n.pause(nodes[3])
				time.Sleep(pause)
				resume()
				time.Sleep(20 * time.Second)
				n.requireAgreement(nodes, len(nodes), Alive)
				for _, node := range nodes {
					refuted := node != nodes[3] && node.Self().Version() > 1
					must.False(t, refuted, must.Sprintf("%s had to refute a suspicion", node.self.Node))
				}
			})
		})
	}
}

// Guards against a broken connection between two nodes that is mistaken for the
// failure of one of them.
func TestIndirectProbe(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(8, "a")
		n.setDropped(func(from, to string) bool { return from == "a1:1" && to == "a2:1" })
		time.Sleep(time.Minute)
		n.requireAgreement(nodes, len(nodes), Alive)
		must.Eq(t, 1, nodes[2].Self().Version())
	})
}

// Guards against a node that is marked as unreachable although it answers, because
// its refutation takes longer than suspicionTimeout to spread.
func TestLastProbeBeforeUnreachable(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(8, "a")
		n.setDropped(func(from, to string) bool { return to != "a3:1" })
		for _, node := range nodes {
			node.changeTable(func(now time.Time) []Change { return node.table.markSuspect(now, "a3", nodes[3].self.Incarnation, 1) })
		}
		for range 10 {
			time.Sleep(time.Second)
			for _, node := range nodes {
				m, _ := node.Member("a3")
				must.True(t, m.Health.Routable(), must.Sprintf("%s has a3 as unreachable", node.self.Node))
			}
		}
	})
}

// Guards against the entry of an old incarnation that remains after a restart, or
// that is restored by a late message.
func TestRestartedNode(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(8, "a")
		old := nodes[3]
		late := old.newRequest("", fetchChanges)
		late.Entries = old.table.allUpdates(time.Now(), maxTableBytes)
		n.kill(old)
		time.Sleep(10 * time.Second)
		nodes[3] = n.start("a3", "a")
		time.Sleep(20 * time.Second)
		nodes[0].handleExchange(late)
		time.Sleep(5 * time.Second)
		n.requireAgreement(nodes, len(nodes), Alive)
		for _, node := range nodes {
			incarnation, _, _ := node.Epoch("a3")
			must.Eq(t, nodes[3].self.Incarnation, incarnation)
		}
	})
}

// Guards against a node that can't replace the entry of its earlier incarnation
// because its clock was set back before the restart.
func TestClockSetBack(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(5, "a")
		n.kill(nodes[3])
		nodes[3] = n.startAt("a3", "a", time.Now().Add(-time.Hour))
		time.Sleep(30 * time.Second)
		n.requireAgreement(nodes, len(nodes), Alive)
		incarnation, _, _ := nodes[0].Epoch("a3")
		must.Eq(t, nodes[3].self.Incarnation, incarnation)
	})
}

// Guards against regions that do not merge their tables after a network partition,
// also if it lasted so long that each side has removed the nodes of the other.
func TestNetworkPartition(t *testing.T) {
	for name, cut := range map[string]time.Duration{"minutes": 2 * time.Minute, "hours": unreachableRetention + 5*time.Minute} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, n *network) {
				nodes := n.startAll(2, "a", "b")
				if cut < unreachableRetention {
					// Unreachable nodes are contacted again even without seeds.
					for _, node := range nodes {
						node.mu.Lock()
						node.seeds = nil
						node.mu.Unlock()
					}
				}
				n.setDropped(func(from, to string) bool { return from[0] != to[0] })
				time.Sleep(cut)
				n.requireAgreement(nodes[:2], 2, Alive)
				n.requireAgreement(nodes[2:], 2, Alive)
				n.setDropped(func(string, string) bool { return false })
				time.Sleep(time.Minute)
				n.requireAgreement(nodes, len(nodes), Alive)
			})
		})
	}
}

// Guards against tables that diverge when messages are lost, duplicated or
// reordered.
func TestUnreliableNetwork(t *testing.T) {
	for name, fault := range map[string]func(n *network){
		"lost":       func(n *network) { n.dropped = func(string, string) bool { return n.random.IntN(5) == 0 } },
		"duplicated": func(n *network) { n.duplicate = true },
		"reordered": func(n *network) {
			n.latency = func() time.Duration { return time.Duration(n.random.IntN(450)) * time.Millisecond }
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, n *network) {
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
				n.setDropped(func(string, string) bool { return false })
				time.Sleep(time.Minute)
				n.requireAgreement(nodes[:9], 9, Alive)
				n.requireAgreement(nodes[:9], 1, Unreachable)
			})
		})
	}
}

// Guards against tables that stay different when every message about a change is
// lost. Only the comparison of digests repairs this.
func TestComparisonRepairs(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(5, "a")
		nodes[1].Announce(Backend{Service: "orders", Slots: 7})
		for _, node := range nodes {
			node.mu.Lock()
			clear(node.table.pending)
			node.mu.Unlock()
		}
		time.Sleep(time.Minute)
		n.requireAgreement(nodes, 5, Alive)
	})
}

// Guards against a planned stop that other nodes mistake for a failure, and
// against the entry of a left node that is never removed.
func TestLeave(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startAll(5, "a")
		must.NoError(t, nodes[3].Leave(t.Context()))
		n.kill(nodes[3])
		remaining := append(nodes[:3:3], nodes[4:]...)
		time.Sleep(20 * time.Second)
		n.requireAgreement(remaining, 1, Left)
		time.Sleep(leftRetention)
		n.requireAgreement(remaining, 0, Left)
	})
}

// Guards against nodes that need the log to discover each other, and against
// joins that are never appended after an outage of the log.
func TestLogDown(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		log := &fakeLog{down: true}
		n.options = []Option{WithJournal(log)}
		n.startAll(5, "a")
		must.Eq(t, 0, log.appendCount())
		log.setDown(false)
		time.Sleep(2 * maxRetryInterval)
		must.Eq(t, 5, log.appendCount())
	})
}

// Guards against a node that knows no other node although the log holds joins.
func TestJoinThroughLog(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		n.options = []Option{WithJournal(&fakeLog{}), WithSeeds()}
		nodes := n.startAll(1, "a")
		nodes = append(nodes, n.start("b0", "b"))
		time.Sleep(time.Minute)
		n.requireAgreement(nodes, 2, Alive)
	})
}

// Guards against the restart of an availability zone that overloads the log, or
// after which the zone's nodes do not rejoin.
func TestZoneRestart(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *network) {
		log := &fakeLog{}
		n.options = []Option{WithJournal(log)}
		nodes := n.startAll(20, "a", "b")
		for i := range 20 {
			n.kill(nodes[i])
			nodes[i] = n.start(nodes[i].self.Node, "a")
		}
		log.resetTimes()
		time.Sleep(30 * time.Second)
		n.requireAgreement(nodes, len(nodes), Alive)
		must.Eq(t, 20, log.appendCount())
		must.LessEq(t, 12, log.maxPerSecond(), must.Sprint("most appends within one second, of 20 joins spread over 5 s"))
	})
}

// Guards against a starting node that regards the incomplete table of another
// starting node as the whole table. The comparison of a few buckets at a time
// would repair this only after a minute.
func TestFetchesUntilComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		answers  []bool
		complete bool
	}{
		"other is complete":  {[]bool{true}, true},
		"other is starting":  {[]bool{false}, false},
		"second is complete": {[]bool{false, true}, true},
		"none is complete":   {[]bool{false, false, false}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := New(Self{Node: "a", Incarnation: 1, Started: startTime, Peer: "a:1"})
			for _, complete := range tc.answers {
				g.handleAnswer(&exchangeRequest{Fetch: fetchAll}, &exchangeAnswer{Complete: complete})
			}
			must.Eq(t, tc.complete, g.isComplete())
		})
	}
}

// Guards against merging the tables of two systems. The address of a VM may be
// reassigned to another organisation while the former peers still send messages
// to it.
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
			g := New(Self{Node: "a", Incarnation: 1, Started: startTime, Peer: "a:1", System: "one"})
			entry := update{fields: fields{Node: "b", Incarnation: 2, StartedMS: startTime.UnixMilli(), Version: 1, Peer: "b:1", Region: "r", Zone: "z"}}
			body, err := json.Marshal(exchangeRequest{header: header{From: "b", Incarnation: 2, System: tc.system, Entries: []update{entry}}})
			must.NoError(t, err)
			answer := httptest.NewRecorder()
			g.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodPost, exchangePath, bytes.NewReader(body)))
			must.EqOp(t, tc.status, answer.Code, must.Sprint(answer.Body.String()))
			must.SliceLen(t, tc.known, g.Members())
		})
	}
}

// fakeLog is an in-memory log service.
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

func (l *fakeLog) resetTimes() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = nil
}

func (l *fakeLog) appendCount() (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.times)
}

// maxPerSecond returns the highest number of appends within one second.
func (l *fakeLog) maxPerSecond() (most int) {
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
