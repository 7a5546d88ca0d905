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

// The target size of the design page.
const (
	targetNodes    = 1100
	targetServices = 39
)

// measureRoles prints what one unit of each role's state and work costs.
func measureRoles(ctx context.Context) (err error) {
	fmt.Println("| role | unit | bytes of state per unit | ns per operation |")
	fmt.Println("|---|---|---|---|")
	measureCalls()
	measureBookings()
	measureTimeline()
	if err := measureSettings(); err != nil {
		return err
	}
	return measureClaims(ctx)
}

func row(role, unit string, state, operation float64) {
	fmt.Printf("| %s | %s | %.0f | %.0f |\n", role, unit, state, operation)
}

func measureCalls() {
	t, table := upstreams(targetNodes), routing.New("north", "north-0")
	row("ingress", "upstream in the routing table; choose, sent and done",
		slope(targetNodes, func(n int) any { return routes(n) }), nanoseconds(chooseUpstream))
	row("ingress", "replacing and ticking the whole routing table", 0, nanoseconds(func(b *testing.B) {
		for b.Loop() {
			t.replace(table)
			table.Tick(time.Now())
		}
	}))
	row("sidecar", "queued call; arrive and finish", slope(10_000, func(n int) any {
		c := admission.New(admission.Limits{Slots: 1, Floor: 1, QueueLength: n})
		for i := range n {
			c.Arrive(time.Now(), request(i), nil)
		}
		return c
	}), nanoseconds(admitCall))
	row("egress", "running call with one child; open, begin, end and close", slope(10_000, func(n int) any {
		l := retry.New()
		for range n {
			openCall(l)
		}
		return l
	}), nanoseconds(func(b *testing.B) {
		l := retry.New()
		for b.Loop() {
			l.Close(openCall(l))
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
	row("keys", "key of a finished booking; begin and finish", slope(20_000, func(n int) any {
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
	row("timeline", "event; record", slope(8192, func(n int) any {
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
	root, branches := tree(targetServices)
	if _, err := settings.Parse(root, branches...); err != nil {
		return err
	}
	row("settings", fmt.Sprintf("branch of a team with one service (%d bytes of YAML) in a parsed tree; parse of %d", len(branches[0].Text), targetServices),
		slope(targetServices, func(n int) any {
			root, branches := tree(n)
			t, _ := settings.Parse(root, branches...)
			return t
		}), nanoseconds(func(b *testing.B) {
			for b.Loop() {
				_, _ = settings.Parse(root, branches...)
			}
		}))
	return measureReplay()
}

// measureReplay prints what a change of one branch costs each node.
func measureReplay() (err error) {
	rootPublic, rootKey, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	teamPublic, teamKey, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	root, branches := tree(1)
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
			err = fmt.Errorf("change of %s was not accepted: %s", branch, verdict.Reason)
		}
	}
	state := slope(200, func(n int) any {
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
	row("settings", fmt.Sprintf("change record (%d bytes) kept for nodes that are behind, at most 256; sign and apply", size), state, operation)
	return err
}

// measureClaims prints the state per claim, and what a claim takes in the log.
func measureClaims(ctx context.Context) (err error) {
	const count = 10_000
	logs := map[int]*sizedLog{}
	for _, n := range []int{count, 2 * count} {
		if logs[n], err = claimedLog(ctx, n); err != nil {
			return err
		}
	}
	state := slope(count, func(n int) any {
		claims := booking.NewClaims(logs[n])
		err = claims.Load(ctx)
		return claims
	})
	row("keys", fmt.Sprintf("claim of a caller-chosen key (%d bytes in the log)", logs[count].bytes/count), state, 0)
	return err
}

// claimedLog returns a log with so many claims.
func claimedLog(ctx context.Context, n int) (log *sizedLog, err error) {
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

// slope returns the bytes of heap that each unit adds, from n to 2n units.
func slope(n int, build func(n int) any) (bytes float64) {
	return (heapOf(build, 2*n) - heapOf(build, n)) / float64(n)
}

func heapOf(build func(n int) any, n int) (bytes float64) {
	before := heap()
	built := build(n)
	bytes = heap() - before
	runtime.KeepAlive(built)
	return bytes
}

func heap() (bytes float64) {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func nanoseconds(work func(b *testing.B)) float64 {
	return float64(testing.Benchmark(work).NsPerOp())
}

// services holds the upstreams of each service.
type services map[string][]routing.Upstream

func upstreams(n int) (s services) {
	s = services{}
	for i := range n {
		name := fmt.Sprintf("service-%d", i%targetServices)
		s[name] = append(s[name], routing.Upstream{
			Node: fmt.Sprintf("orders-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256),
			Region: "north", Zone: fmt.Sprintf("north-%d", i%3), Slots: 50,
		})
	}
	return s
}

func (s services) replace(t *routing.Table) {
	for name, list := range s {
		t.Replace(time.Now(), name, list)
	}
}

func routes(n int) (t *routing.Table) {
	t = routing.New("north", "north-0")
	upstreams(n).replace(t)
	return t
}

func chooseUpstream(b *testing.B) {
	t, now := routes(targetNodes), time.Now()
	for b.Loop() {
		u, _ := t.Choose(now, routing.Query{Service: "service-7"})
		t.RecordSent(now, "service-7", u.Node, 100)
		t.RecordResult(now, "service-7", u.Node, 100, routing.Report{})
	}
}

func admitCall(b *testing.B) {
	c, now := admission.New(admission.Limits{Slots: 50, Floor: 5, QueueLength: 100}), time.Now()
	var out []admission.Decision
	for i := 0; b.Loop(); i++ {
		out = c.Arrive(now, request(i), out[:0])
		out = c.Finish(now, uint64(i), admission.Result{Latency: time.Millisecond}, out[:0])
	}
}

func request(i int) admission.Request {
	return admission.Request{ID: uint64(i), Importance: call.Normal, Deadline: time.Now().Add(time.Hour)}
}

func openCall(l *retry.Ledger) (id call.ID) {
	id = call.NewID()
	l.Open(retry.RunningCall{Context: call.Context{Request: call.NewID(), Call: id, Tokens: 3}, Deadline: time.Now().Add(time.Hour)})
	child := retry.Child{Service: "dispatch", Method: "GET", URI: "/dispatch/plan"}
	p, _ := l.BeginChild(id, child)
	l.EndChild(id, child, retry.ChildResult{TokensLeft: p.Tokens, Outcome: call.Answered})
	return id
}

// tree returns settings with so many teams of one service each.
func tree(n int) (root settings.File, branches []settings.File) {
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
