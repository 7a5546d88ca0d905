package main

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/internal/standin/logservice"
	"github.com/lacewingslip/lacewingslip/retry"
	"github.com/lacewingslip/lacewingslip/routing"
	"github.com/lacewingslip/lacewingslip/settings"
	"github.com/lacewingslip/lacewingslip/timeline"
)

// The target size in the design document.
const (
	targetNodes    = 1100
	targetServices = 39
)

// measureRoles prints the memory per unit of state and the time per operation of each
// role of a node.
func measureRoles(ctx context.Context) (err error) {
	fmt.Println("| role | unit | bytes of state per unit | ns per operation |")
	fmt.Println("|---|---|---|---|")
	measureCallRoles()
	measureBookings()
	measureTimeline()
	if err := measureSettings(); err != nil {
		return err
	}
	return measureClaims(ctx)
}

func printRow(role, unit string, state, operation float64) {
	fmt.Printf("| %s | %s | %.0f | %.0f |\n", role, unit, state, operation)
}

func measureCallRoles() {
	t, table := newServices(targetNodes), routing.New("north", "north-0")
	printRow("ingress", "upstream in the routing table; choose, sent and done",
		bytesPerUnit(targetNodes, func(n int) any { return newRoutingTable(n) }), nanoseconds(benchmarkUpstreamChoice))
	printRow("ingress", "replacing and ticking the whole routing table", 0, nanoseconds(func(b *testing.B) {
		for b.Loop() {
			t.replaceAll(table)
			table.Tick(time.Now())
		}
	}))
	printRow("sidecar", "queued call; arrive and finish", bytesPerUnit(10_000, func(n int) any {
		c := admission.New(admission.Limits{Slots: 1, Floor: 1, QueueLength: n})
		for i := range n {
			c.Arrive(time.Now(), newRequest(i), nil)
		}
		return c
	}), nanoseconds(benchmarkAdmission))
	printRow("egress", "running call with one child; open, begin, end and close", bytesPerUnit(10_000, func(n int) any {
		l := retry.New()
		for range n {
			openCallWithChild(l)
		}
		return l
	}), nanoseconds(func(b *testing.B) {
		l := retry.New()
		for b.Loop() {
			l.Close(openCallWithChild(l))
		}
	}))
}

func measureBookings() {
	start, f := time.Now(), booking.Fingerprint{}
	run := func(l *booking.Ledger) {
		k := booking.Issue("orders", "orders-0001", 7, 0)
		l.Begin(start, k, f)
		l.Finish(start, k, call.Answered, "", &booking.Answer{Status: 200})
	}
	printRow("keys", "key of a finished booking; begin and finish", bytesPerUnit(20_000, func(n int) any {
		l := booking.New(7, start)
		for range n {
			run(l)
		}
		return l
	}), nanoseconds(func(b *testing.B) {
		l := booking.New(7, start, booking.WithMaxKeys(1<<30), booking.WithAnswerCacheBytes(1<<40))
		for b.Loop() {
			run(l)
		}
	}))
}

func measureTimeline() {
	record := func(r *timeline.Recorder, i int) {
		r.Record(event.BookingRun, slog.String("request", fmt.Sprint(i)), slog.String("service", "orders"), slog.Int("attempt", i))
	}
	printRow("timeline", "event; record", bytesPerUnit(8192, func(n int) any {
		r := timeline.NewRecorder("orders-0001", timeline.WithCapacity(n))
		for i := range n {
			record(r, i)
		}
		return r
	}), nanoseconds(func(b *testing.B) {
		r := timeline.NewRecorder("orders-0001")
		for b.Loop() {
			record(r, 1)
		}
	}))
}

func measureSettings() (err error) {
	root, branches := settingsTree(targetServices)
	if _, err := settings.Parse(root, branches...); err != nil {
		return err
	}
	printRow("settings", fmt.Sprintf("branch of a team with one service (%d bytes of YAML) in a parsed tree; parse of %d", len(branches[0].Text), targetServices),
		bytesPerUnit(targetServices, func(n int) any {
			root, branches := settingsTree(n)
			t, _ := settings.Parse(root, branches...)
			return t
		}), nanoseconds(func(b *testing.B) {
			for b.Loop() {
				_, _ = settings.Parse(root, branches...)
			}
		}))
	return measureSettingsChange()
}

// measureSettingsChange prints the cost of a change of one branch for each node.
func measureSettingsChange() (err error) {
	rootPublic, rootKey, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	teamPublic, teamKey, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	root, branches := settingsTree(1)
	lines := strings.Split(string(root.Text), "\n")
	for i, line := range lines {
		if strings.Contains(line, "publicKey") {
			lines[i] = "    publicKey: " + base64.StdEncoding.EncodeToString(teamPublic)
		}
	}
	size := 0
	var history *settings.History
	apply := func(branch string, content []byte, key ed25519.PrivateKey) {
		_, base := history.Branch(branch)
		change, failure := settings.NewChange(branch, base, content)
		data, encodeErr := change.Sign(key).Encode()
		verdict := history.Apply(history.Offset(), data)
		size = len(data)
		if failure != nil || encodeErr != nil || verdict.Kind != settings.Accepted {
			err = fmt.Errorf("settings change of branch %s was not accepted: %s", branch, verdict.Reason)
		}
	}
	state := bytesPerUnit(200, func(n int) any {
		history = settings.NewHistory(rootPublic)
		apply("root", []byte(strings.Join(lines, "\n")), rootKey)
		for range n {
			apply("team0", branches[0].Text, teamKey)
		}
		return history
	})
	operation := nanoseconds(func(b *testing.B) {
		for b.Loop() {
			apply("team0", branches[0].Text, teamKey)
		}
	})
	printRow("settings", fmt.Sprintf("change record (%d bytes) kept for nodes that are behind, at most 256; sign and apply", size), state, operation)
	return err
}

// measureClaims prints the memory per claim and the size of a claim in the log.
func measureClaims(ctx context.Context) (err error) {
	const count = 10_000
	logs := map[int]*sizedLog{}
	for _, n := range []int{count, 2 * count} {
		if logs[n], err = newLogWithClaims(ctx, n); err != nil {
			return err
		}
	}
	state := bytesPerUnit(count, func(n int) any {
		claims := booking.NewClaims(logs[n])
		err = claims.Load(ctx)
		return claims
	})
	printRow("keys", fmt.Sprintf("claim of a caller-chosen key (%d bytes in the log)", logs[count].bytes/count), state, 0)
	return err
}

// newLogWithClaims returns a log with n claims.
func newLogWithClaims(ctx context.Context, n int) (log *sizedLog, err error) {
	log = &sizedLog{Service: logservice.New()}
	claims := booking.NewClaims(log)
	for i := range n {
		key := fmt.Sprintf("%d-%030d", time.Now().Unix(), i)
		_, err := claims.Claim(ctx, key, booking.Fingerprint{}, booking.Issue("orders", "orders-0001", 7, 0))
		if err != nil {
			return nil, err
		}
	}
	return log, nil
}

type sizedLog struct {
	*logservice.Service
	bytes int
}

func (l *sizedLog) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	l.bytes += len(data)
	return l.Service.Append(ctx, stream, data)
}

// bytesPerUnit returns the heap bytes that each additional unit takes, measured from n
// to 2n units.
func bytesPerUnit(n int, build func(n int) any) (bytes float64) {
	return (heapAddedBy(build, 2*n) - heapAddedBy(build, n)) / float64(n)
}

func heapAddedBy(build func(n int) any, n int) (bytes float64) {
	before := heapInUse()
	built := build(n)
	bytes = heapInUse() - before
	runtime.KeepAlive(built)
	return bytes
}

func heapInUse() (bytes float64) {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func nanoseconds(work func(b *testing.B)) float64 {
	return float64(testing.Benchmark(work).NsPerOp())
}

// serviceUpstreams holds the upstreams of each service.
type serviceUpstreams map[string][]routing.Upstream

func newServices(n int) (s serviceUpstreams) {
	s = serviceUpstreams{}
	for i := range n {
		name := fmt.Sprintf("service-%d", i%targetServices)
		s[name] = append(s[name], routing.Upstream{
			Node: fmt.Sprintf("orders-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256),
			Region: "north", Zone: fmt.Sprintf("north-%d", i%3), Slots: 50,
		})
	}
	return s
}

func (s serviceUpstreams) replaceAll(t *routing.Table) {
	for name, list := range s {
		t.Replace(time.Now(), name, list)
	}
}

func newRoutingTable(n int) (t *routing.Table) {
	t = routing.New("north", "north-0")
	newServices(n).replaceAll(t)
	return t
}

func benchmarkUpstreamChoice(b *testing.B) {
	t, now := newRoutingTable(targetNodes), time.Now()
	for b.Loop() {
		u, _ := t.Choose(now, routing.Query{Service: "service-7"})
		t.RecordSent(now, "service-7", u.Node, 100)
		t.RecordResult(now, "service-7", u.Node, 100, routing.Report{})
	}
}

func benchmarkAdmission(b *testing.B) {
	c, now := admission.New(admission.Limits{Slots: 50, Floor: 5, QueueLength: 100}), time.Now()
	var out []admission.Decision
	for i := 0; b.Loop(); i++ {
		out = c.Arrive(now, newRequest(i), out[:0])
		out = c.Finish(now, uint64(i), admission.Result{Latency: time.Millisecond}, out[:0])
	}
}

func newRequest(i int) admission.Request {
	return admission.Request{ID: uint64(i), Importance: call.Normal, Deadline: time.Now().Add(time.Hour)}
}

func openCallWithChild(l *retry.Ledger) (id call.ID) {
	id = call.NewID()
	l.Open(retry.RunningCall{Context: call.Context{Request: call.NewID(), Call: id, Tokens: 3}, Deadline: time.Now().Add(time.Hour)})
	child := retry.Child{Service: "dispatch", Method: "GET", URI: "/dispatch/plan"}
	p, _ := l.BeginChild(id, child)
	l.EndChild(id, child, retry.ChildResult{TokensLeft: p.Tokens, Outcome: call.Answered})
	return id
}

// settingsTree returns settings with n teams that have one service each.
func settingsTree(n int) (root settings.File, branches []settings.File) {
	var text strings.Builder
	text.WriteString("defaults:\n  timeout: 2s\n  retries: 3\nteams:\n")
	for i := range n {
		key := make(ed25519.PublicKey, ed25519.PublicKeySize)
		for j := range key {
			key[j] = byte(rand.Uint32())
		}
		fmt.Fprintf(&text, "  team%d:\n    publicKey: %s\n    services: [service%d]\n", i, base64.StdEncoding.EncodeToString(key), i)
		branch := fmt.Sprintf("services:\n  service%d:\n    slots: 50\n    connections: 400\n    routes:\n", i)
		branch += "      - path: /book\n        methods: [POST]\n        importance: critical\n        repeat: never\n"
		branch += "      - path: /stock\n        methods: [GET]\n        importance: normal\n"
		branches = append(branches, settings.File{Name: fmt.Sprintf("team%d.yaml", i), Text: []byte(branch)})
	}
	return settings.File{Name: "root.yaml", Text: []byte(text.String())}, branches
}
