// Package backend is a stand-in for a backend server. It announces itself to the node
// beside it, takes a configured time for each call, makes child calls, and counts the
// runs of each booking.
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
	// announcementPath is the path of a node for announcements.
	announcementPath = "/lacewingslip/v1/announcement"
	// RunsPath returns the number of runs of each booking as JSON.
	RunsPath = "/stand-in/runs"
	// HeaderBooking holds the name of the booking that a call makes. Runs are counted
	// by this name.
	HeaderBooking = "X-Booking"
)

const announceInterval = 200 * time.Millisecond

// contextHeaders are the headers of the call context (W3C Trace Context and Baggage),
// which a backend server copies to its child calls.
var contextHeaders = []string{"Traceparent", "Tracestate", "Baggage"}

// Child is a child call that the backend server makes for each call it receives.
type Child struct {
	// Method, Service and Path form the request line.
	Method, Service, Path string
}

// Backend is a stand-in backend server.
type Backend struct {
	service     string
	serviceTime func() time.Duration
	children    []Child
	answerBytes int
	// childAttempts is the maximum number of attempts of a child call.
	childAttempts int
	handler       http.HandlerFunc
	propagate     bool
	slots         int
	connections   int
	workers       chan struct{}
	client        *http.Client
	// instance distinguishes this process from an earlier one at the same address.
	instance string

	mu         sync.Mutex
	node       string
	runs       map[string]int
	running    int
	totalCalls int
}

// Option configures a backend server.
type Option func(*Backend)

// WithServiceTime sets the time that each call takes, besides its child calls.
func WithServiceTime(d time.Duration) Option {
	return func(b *Backend) { b.serviceTime = func() time.Duration { return d } }
}

// WithServiceTimes sets a function that returns the time that a call takes.
func WithServiceTimes(draw func() time.Duration) Option {
	return func(b *Backend) { b.serviceTime = draw }
}

// WithChildren sets the child calls that each call makes in sequence.
func WithChildren(children ...Child) Option { return func(b *Backend) { b.children = children } }

// WithChildAttempts sets the maximum number of attempts of a child call, for a backend
// server that retries by itself. The default is 1.
func WithChildAttempts(n int) Option { return func(b *Backend) { b.childAttempts = n } }

// WithAnswerBytes sets the minimum size of the response body.
func WithAnswerBytes(n int) Option { return func(b *Backend) { b.answerBytes = n } }

// WithHandler sets a handler that replaces the service time, the child calls and the
// response, for responses that a correct backend server does not send.
func WithHandler(handler http.HandlerFunc) Option {
	return func(b *Backend) { b.handler = handler }
}

// WithWorkers limits the number of calls that run at the same time, as in a real server.
// Further calls wait. By default there is no limit.
func WithWorkers(n int) Option {
	return func(b *Backend) { b.workers = make(chan struct{}, n) }
}

// WithoutPropagation makes the backend server omit the call context from child calls.
func WithoutPropagation() Option { return func(b *Backend) { b.propagate = false } }

// WithCapacity sets the numbers of slots and connections that the backend server announces.
func WithCapacity(slots, connections int) Option {
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

// Announce announces the backend server and its address to the node beside it.
func (b *Backend) Announce(ctx context.Context, node, ownAddress string) (err error) {
	b.mu.Lock()
	b.node = node
	b.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": b.service, "address": ownAddress, "slots": b.slots, "connections": b.connections,
		"instance": b.instance,
	})
	if err != nil {
		return err
	}
	return b.sendAnnouncement(ctx, http.MethodPost, body)
}

// KeepAnnounced repeats the announcement until the context ends, so that a restarted node
// learns about the backend server. Errors are ignored, because the next announcement
// follows shortly.
func (b *Backend) KeepAnnounced(ctx context.Context, node, ownAddress string) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		_ = b.Announce(ctx, node, ownAddress)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Leave asks the node to send no new calls. It returns once no call is in progress.
func (b *Backend) Leave(ctx context.Context) (err error) {
	return b.sendAnnouncement(ctx, http.MethodDelete, nil)
}

// Runs returns the number of runs of each booking.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

// TotalCalls returns the number of calls that have started to run.
func (b *Backend) TotalCalls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalCalls
}

// ServeHTTP runs a call.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == RunsPath {
		_ = json.NewEncoder(w).Encode(b.Runs())
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/"+b.service) {
		// A system under test may reuse a port that another system has just released,
		// and nodes of that system may still send messages to it. Such a message is not
		// a call and must not be counted.
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !b.acquireWorker(r.Context()) {
		return
	}
	defer b.releaseWorker()
	b.startCall(r)
	defer b.finishCall()
	if b.handler != nil {
		r.Body = io.NopCloser(bytes.NewReader(body))
		b.handler(w, r)
		return
	}
	if !sleep(r.Context(), b.serviceTime()) {
		return
	}
	for _, child := range b.children {
		if err := b.callChildWithRetries(r, child); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write(b.answer(r, body))
}

// acquireWorker waits for a free worker. It returns false if the call is cancelled first.
func (b *Backend) acquireWorker(ctx context.Context) (acquired bool) {
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

func (b *Backend) releaseWorker() {
	if b.workers != nil {
		<-b.workers
	}
}

// answer returns the response body. It repeats the request, so that a caller can tell
// its own response from that to another request.
func (b *Backend) answer(r *http.Request, body []byte) (text []byte) {
	text = fmt.Appendf(nil, "%s %s %s %s\n", b.service, r.Method, r.URL.RequestURI(), body)
	if missing := b.answerBytes - len(text); missing > 0 {
		text = append(text, bytes.Repeat([]byte{'.'}, missing)...)
	}
	return text
}

func (b *Backend) startCall(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.totalCalls++
	b.running++
	if booking := r.Header.Get(HeaderBooking); booking != "" {
		b.runs[booking]++
	}
}

func (b *Backend) finishCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// callChildWithRetries makes a child call, and repeats it after a failure up to the
// maximum number of attempts.
func (b *Backend) callChildWithRetries(r *http.Request, child Child) (err error) {
	for range b.childAttempts {
		if err = b.callChild(r, child); err == nil {
			return nil
		}
	}
	return err
}

// callChild makes one attempt of a child call through the node beside the backend server.
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

func (b *Backend) sendAnnouncement(ctx context.Context, method string, body []byte) (err error) {
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

// sleep waits for the time. It returns false if the call is cancelled first.
func sleep(ctx context.Context, d time.Duration) (completed bool) {
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
