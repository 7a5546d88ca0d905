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

// Headers of the requests of callers and backend servers in an experiment. Every
// contestant forwards them.
const (
	headerAttempt = "Experiment-Attempt"
	headerRegion  = "Experiment-Region"
)

// loadReportDelay is the age of the load that the load endpoint of a backend server
// reports.
const loadReportDelay = time.Second

// retryDelay is the time between a failed call and its retry.
const retryDelay = 20 * time.Millisecond

// backend is a stand-in for a backend server with a fixed number of slots and a
// FIFO queue.
type backend struct {
	ServiceSpec
	service, region, zone string

	address            string
	server             *http.Server
	startedAt          time.Time
	slots              chan struct{}
	active             atomic.Int64
	reportedLoad       atomic.Int64
	serviceTimePercent atomic.Int64 // percentage of the configured service time
	random             *rand.Rand
	randomMu           sync.Mutex

	meter      *meter
	maxRetries int
	// sendChild sends a child call through the contestant of the run.
	sendChild func(ctx context.Context, b *backend, service string, header http.Header) response
}

// meter collects measurements of all backend servers of a run.
type meter struct {
	mu sync.Mutex
	// timeByAttempt is the backend time spent on each attempt of a customer's
	// request.
	timeByAttempt map[string]time.Duration
	remoteBytes   int64
	// reasons counts failed requests and child calls, by service, status and
	// reason.
	reasons map[string]int
	// retries counts the retries of callers, relays and backend servers.
	retries atomic.Int64
}

func (m *meter) addAttempt(attempt string, spent time.Duration, remoteBytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timeByAttempt[attempt] += spent
	m.remoteBytes += int64(remoteBytes)
}

func (m *meter) addFailure(service string, r response) {
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
	b.startedAt = time.Now()
	b.serviceTimePercent.Store(100)
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(listener) }()
	return nil
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		_, _ = fmt.Fprint(w, b.reportedLoad.Load())
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/"+b.service+"/") {
		// A health probe uses no slot.
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if b.active.Add(1) > int64(b.Connections) {
		b.active.Add(-1)
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	defer b.active.Add(-1)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	if !b.spendServiceTime(r) {
		return
	}
	if !b.callChildren(r) {
		http.Error(w, "a child call failed", http.StatusBadGateway)
		return
	}
	attempt := r.Header.Get(headerAttempt)
	body := attempt + strings.Repeat(" ", max(b.Answer-len(attempt), 0))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// spendServiceTime waits for the service time of a call without its child calls. It
// returns false if the call is cancelled before the end.
func (b *backend) spendServiceTime(r *http.Request) (done bool) {
	started := time.Now()
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
	b.meter.addAttempt(r.Header.Get(headerAttempt), time.Since(started), remote)
	return done
}

func (b *backend) serviceTime() time.Duration {
	b.randomMu.Lock()
	share := 0.5 + b.random.Float64()
	b.randomMu.Unlock()
	d := time.Duration(share * float64(b.ServiceTime) * float64(b.serviceTimePercent.Load()) / 100)
	if time.Since(b.startedAt) < b.ColdTime {
		d *= 2
	}
	return d
}

// callChildren calls the child services one after the other, with retries. It
// returns false if a child call failed after all retries.
func (b *backend) callChildren(r *http.Request) bool {
	header := http.Header{headerAttempt: r.Header[headerAttempt], headerRegion: {b.region}}
	for _, name := range []string{"Traceparent", "Tracestate", "Baggage"} {
		if values, ok := r.Header[name]; ok {
			header[name] = values
		}
	}
	for _, service := range b.Children {
		ok := false
		for i := 0; i <= b.maxRetries && !ok && r.Context().Err() == nil; i++ {
			if i > 0 {
				time.Sleep(retryDelay)
			}
			answer := b.sendChild(r.Context(), b, service, header)
			ok = answer.status == http.StatusOK
			if !ok {
				b.meter.addFailure(service, answer)
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

// updateReportedLoad sets the reported load to the load of loadReportDelay ago.
func (b *backend) updateReportedLoad(ctx context.Context) {
	for {
		load := b.active.Load()
		select {
		case <-time.After(loadReportDelay):
			b.reportedLoad.Store(load)
		case <-ctx.Done():
			return
		}
	}
}

// response is the result of one HTTP request.
type response struct {
	status  int // 0 if there was no complete answer
	outcome string
	reason  string
	retries int
	body    string
}

// send sends one HTTP request and reads the whole answer.
func send(ctx context.Context, client *http.Client, method, url string, header http.Header) (r response) {
	request, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return response{}
	}
	request.Header = header.Clone()
	answer, err := client.Do(request)
	if err != nil {
		return response{}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return response{}
	}
	r = response{status: answer.StatusCode, outcome: answer.Header.Get(call.HeaderOutcome), reason: answer.Header.Get(call.HeaderReason), body: string(body)}
	r.retries, _ = strconv.Atoi(answer.Header.Get(call.HeaderRetries))
	return r
}
