package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// Headers that callers and backend servers of an experiment send along. They
// are copied by every contestant.
const (
	headerAttempt = "Experiment-Attempt"
	headerRegion  = "Experiment-Region"
)

// loadLag is the age of what the load endpoint of a backend server states.
const loadLag = time.Second

// repeatDelay is the pause before a failed call is sent again.
const repeatDelay = 20 * time.Millisecond

// backend is a stand-in for a backend server with a fixed number of slots and a
// queue in order of arrival.
type backend struct {
	Backends
	service, region, zone string

	address  string
	server   *http.Server
	born     time.Time
	slots    chan struct{}
	waiting  atomic.Int64
	stated   atomic.Int64
	slow     atomic.Int64 // service time in percent
	random   *rand.Rand
	randomMu sync.Mutex

	meter   *meter
	repeats int
	// child sends a child call. It is set by the contestant.
	child func(ctx context.Context, b *backend, service string, header http.Header) reply
}

// meter adds up what all backend servers of a run do.
type meter struct {
	mu sync.Mutex
	// work is the backend time spent per attempt of a customer request.
	work        map[string]time.Duration
	remoteBytes int64
	// reasons counts the child calls that failed, by service and reason.
	reasons map[string]int
	// retries counts calls sent again by callers, relays and backend servers.
	retries atomic.Int64
}

func (m *meter) add(attempt string, spent time.Duration, remoteBytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.work[attempt] += spent
	m.remoteBytes += int64(remoteBytes)
}

func (m *meter) failed(service string, r reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reasons[fmt.Sprintf("%s %d %s", service, r.status, r.reason)]++
}

func (b *backend) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.address = listener.Addr().String()
	b.slots = make(chan struct{}, b.Slots)
	b.born = time.Now()
	b.slow.Store(100)
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(listener) }()
	return nil
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		_, _ = fmt.Fprint(w, b.stated.Load())
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/"+b.service+"/") {
		// A probe takes no slot.
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if b.waiting.Add(1) > int64(b.Connections) {
		b.waiting.Add(-1)
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	defer b.waiting.Add(-1)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	if !b.work(r) {
		return
	}
	if !b.children(r) {
		http.Error(w, "a child call failed", http.StatusBadGateway)
		return
	}
	attempt := r.Header.Get(headerAttempt)
	body := attempt + strings.Repeat(" ", max(b.Answer-len(attempt), 0))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// work takes the own service time, unless the call is cancelled.
func (b *backend) work(r *http.Request) (done bool) {
	begun := time.Now()
	timer := time.NewTimer(b.serviceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		done = true
	case <-r.Context().Done():
	}
	remote := 0
	if r.Header.Get(headerRegion) != b.region {
		remote = max(b.Answer, 0) + int(max(r.ContentLength, 0))
	}
	b.meter.add(r.Header.Get(headerAttempt), time.Since(begun), remote)
	return done
}

func (b *backend) serviceTime() time.Duration {
	b.randomMu.Lock()
	share := 0.5 + b.random.Float64()
	b.randomMu.Unlock()
	d := time.Duration(share * float64(b.ServiceTime) * float64(b.slow.Load()) / 100)
	if time.Since(b.born) < b.ColdTime {
		d *= 2
	}
	return d
}

func (b *backend) children(r *http.Request) bool {
	header := http.Header{headerAttempt: r.Header[headerAttempt], headerRegion: {b.region}}
	for _, name := range []string{"Traceparent", "Tracestate", "Baggage"} {
		if values, ok := r.Header[name]; ok {
			header[name] = values
		}
	}
	for _, service := range b.Children {
		ok := false
		for i := 0; i <= b.repeats && !ok && r.Context().Err() == nil; i++ {
			if i > 0 {
				time.Sleep(repeatDelay)
			}
			answer := b.child(r.Context(), b, service, header)
			ok = answer.status == http.StatusOK
			if !ok {
				b.meter.failed(service, answer)
			}
			if i > 0 && answer.reason != string(call.ReasonNoTokens) {
				b.meter.retries.Add(1)
			}
		}
		if !ok {
			return false
		}
	}
	return true
}

// watchLoad keeps the stated load behind the true one.
func (b *backend) watchLoad(ctx context.Context) {
	for {
		load := b.waiting.Load()
		select {
		case <-time.After(loadLag):
			b.stated.Store(load)
		case <-ctx.Done():
			return
		}
	}
}

// reply is what came back for one HTTP request.
type reply struct {
	status  int // 0 without a complete answer
	outcome string
	reason  string
	retries int
	body    string
}

// send makes one HTTP request and reads the whole answer.
func send(ctx context.Context, client *http.Client, method, url string, header http.Header) (r reply) {
	request, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return reply{}
	}
	request.Header = header.Clone()
	answer, err := client.Do(request)
	if err != nil {
		return reply{}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return reply{}
	}
	r = reply{status: answer.StatusCode, outcome: answer.Header.Get(call.HeaderOutcome), reason: answer.Header.Get(call.HeaderReason), body: string(body)}
	r.retries, _ = strconv.Atoi(answer.Header.Get(call.HeaderRetries))
	return r
}
