// Package backend is a stand-in for a backend server: it announces itself to
// the node beside it, takes some time for each call, makes child calls, and
// counts how often each booking ran.
//
// # Usage
//
//	b := backend.New("orders", backend.WithServiceTime(5*time.Millisecond))
//	server := &http.Server{Handler: b}
//	...
//	err := b.Announce(ctx, nodeBackendAddress, ownAddress)
//	...
//	err = b.Leave(ctx)
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	// announcementPath is where a node takes announcements.
	announcementPath = "/lacewingslip/v1/announcement"
	// RunsPath answers with the number of runs per booking, as JSON.
	RunsPath = "/stand-in/runs"
	// HeaderBooking names the booking that a call stands for. Runs are counted
	// by it.
	HeaderBooking = "X-Booking"
)

// announceInterval is the pause between two announcements.
const announceInterval = 200 * time.Millisecond

// contextHeaders carry the call context through a backend server (W3C trace
// context and baggage).
var contextHeaders = []string{"Traceparent", "Tracestate", "Baggage"}

// Child is a call that the backend server makes for each of its own.
type Child struct {
	// Method, Service and Path make the request line.
	Method, Service, Path string
}

// Backend is a stand-in backend server.
type Backend struct {
	service     string
	serviceTime func() time.Duration
	children    []Child
	answerBytes int
	// childAttempts is how often a failing child call is tried.
	childAttempts int
	handler       http.HandlerFunc
	propagate     bool
	slots         int
	connections   int
	workers       chan struct{}
	client        *http.Client
	// instance tells this process from the one before it at the same address.
	instance string

	mu      sync.Mutex
	node    string
	runs    map[string]int
	running int
	total   int
}

// Option changes a stand-in.
type Option func(*Backend)

// WithServiceTime sets the time that each call takes, besides its child calls.
func WithServiceTime(d time.Duration) Option {
	return func(b *Backend) { b.serviceTime = func() time.Duration { return d } }
}

// WithServiceTimes draws the time of each call from the function.
func WithServiceTimes(draw func() time.Duration) Option {
	return func(b *Backend) { b.serviceTime = draw }
}

// WithChildren sets the child calls that each call makes, one after the other.
func WithChildren(children ...Child) Option { return func(b *Backend) { b.children = children } }

// WithChildAttempts sets how often the backend server tries a child call, as one
// with retries of its own does. The default is once.
func WithChildAttempts(n int) Option { return func(b *Backend) { b.childAttempts = n } }

// WithAnswerBytes sets the size of the answer body.
func WithAnswerBytes(n int) Option { return func(b *Backend) { b.answerBytes = n } }

// WithHandler replaces the work on each call, for answers that a working backend
// server does not give.
func WithHandler(handler http.HandlerFunc) Option {
	return func(b *Backend) { b.handler = handler }
}

// WithWorkers makes calls beyond the number wait for their turn, as at a real
// server. By default all calls run at once.
func WithWorkers(n int) Option {
	return func(b *Backend) { b.workers = make(chan struct{}, n) }
}

// WithoutPropagation makes the backend server lose the call context.
func WithoutPropagation() Option { return func(b *Backend) { b.propagate = false } }

// WithBounds sets the slots and connections that the backend server announces.
func WithBounds(slots, connections int) Option {
	return func(b *Backend) { b.slots, b.connections = slots, connections }
}

// New returns a stand-in backend server of the service.
func New(service string, opts ...Option) *Backend {
	b := &Backend{
		service: service, propagate: true, childAttempts: 1, runs: make(map[string]int), client: &http.Client{},
		instance:    string(call.NewID()),
		serviceTime: func() time.Duration { return 0 },
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Announce tells the node beside the backend server where to find it.
func (b *Backend) Announce(ctx context.Context, node, own string) (err error) {
	b.mu.Lock()
	b.node = node
	b.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": b.service, "address": own, "slots": b.slots, "connections": b.connections,
		"instance": b.instance,
	})
	if err != nil {
		return err
	}
	return b.control(ctx, http.MethodPost, body)
}

// KeepAnnounced repeats the announcement until the context ends, so that a node
// that was restarted hears of the backend server. Failures are not reported:
// the next repeat mends them.
func (b *Backend) KeepAnnounced(ctx context.Context, node, own string) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		_ = b.Announce(ctx, node, own)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Leave asks for the end of new work. It returns once no call is in progress.
func (b *Backend) Leave(ctx context.Context) (err error) {
	return b.control(ctx, http.MethodDelete, nil)
}

// Runs returns how often each booking ran.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

// Total returns the number of calls that began to run.
func (b *Backend) Total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// ServeHTTP runs a call.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == RunsPath {
		_ = json.NewEncoder(w).Encode(b.Runs())
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/"+b.service) {
		// Systems under test use ports that others have just left, and the nodes of
		// those may still send messages there. Such a message is not a call.
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !b.takeWorker(r.Context()) {
		return
	}
	defer b.freeWorker()
	b.began(r)
	defer b.ended()
	if b.handler != nil {
		r.Body = io.NopCloser(bytes.NewReader(body))
		b.handler(w, r)
		return
	}
	if !pause(r.Context(), b.serviceTime()) {
		return
	}
	for _, child := range b.children {
		if err := b.tryChild(r, child); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write(b.answer(r, body))
}

// takeWorker waits for a worker, unless the call is cancelled first.
func (b *Backend) takeWorker(ctx context.Context) (taken bool) {
	if b.workers == nil {
		return true
	}
	select {
	case b.workers <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Backend) freeWorker() {
	if b.workers != nil {
		<-b.workers
	}
}

// answer repeats what was asked, so that a caller can tell its own answer from
// that of another.
func (b *Backend) answer(r *http.Request, body []byte) (text []byte) {
	text = fmt.Appendf(nil, "%s %s %s %s\n", b.service, r.Method, r.URL.RequestURI(), body)
	if missing := b.answerBytes - len(text); missing > 0 {
		text = append(text, bytes.Repeat([]byte{'.'}, missing)...)
	}
	return text
}

func (b *Backend) began(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	b.running++
	if booking := r.Header.Get(HeaderBooking); booking != "" {
		b.runs[booking]++
	}
}

func (b *Backend) ended() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// tryChild makes a child call, and repeats it after a failure as often as the
// backend server does.
func (b *Backend) tryChild(r *http.Request, child Child) (err error) {
	for range b.childAttempts {
		if err = b.callChild(r, child); err == nil {
			return nil
		}
	}
	return err
}

// callChild makes a child call through the node beside the backend server.
func (b *Backend) callChild(r *http.Request, child Child) (err error) {
	b.mu.Lock()
	node := b.node
	b.mu.Unlock()
	request, err := http.NewRequestWithContext(r.Context(), child.Method,
		"http://"+node+"/"+child.Service+child.Path, nil)
	if err != nil {
		return err
	}
	if booking := r.Header.Get(HeaderBooking); booking != "" {
		request.Header.Set(HeaderBooking, booking)
	}
	if b.propagate {
		for _, name := range contextHeaders {
			if value := r.Header.Get(name); value != "" {
				request.Header.Set(name, value)
			}
		}
	}
	answer, err := b.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if _, err = io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("child call to %s: %s", child.Service, answer.Status)
	}
	return nil
}

func (b *Backend) control(ctx context.Context, method string, body []byte) (err error) {
	b.mu.Lock()
	node := b.node
	b.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node+announcementPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := b.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(answer.Body, 512))
		return fmt.Errorf("%s announcement: %s: %s", method, answer.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// pause waits unless the call is cancelled first.
func pause(ctx context.Context, d time.Duration) (whole bool) {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
