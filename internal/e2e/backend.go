package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Runs counts how often each booking ran, at all backend servers of a cluster.
type Runs struct {
	mu     sync.Mutex
	counts map[string]int
}

// Of returns how often the booking with this body ran.
func (r *Runs) Of(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[body]
}

func (r *Runs) add(body string) (run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[body]++
	return r.counts[body]
}

// Backend is a backend server in the test's own process, so that it outlives
// the node beside it.
type Backend struct {
	runs    *Runs
	service string
	server  *http.Server
	relay   *Relay

	mu     sync.Mutex
	hold   chan struct{}
	began  chan string
	hangUp bool
}

// startBackend listens on loopback, behind a relay.
func startBackend(service string, runs *Runs) (b *Backend, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b = &Backend{runs: runs, service: service, began: make(chan string, 1000)}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	b.relay, err = NewRelay(l.Addr().String())
	return b, err
}

// Relay is what the node's connections to the backend server go through.
func (b *Backend) Relay() *Relay { return b.relay }

// Hold makes bookings that begin from now on wait until release is called.
func (b *Backend) Hold() (release func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hold := make(chan struct{})
	b.hold = hold
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		close(hold)
		if b.hold == hold {
			b.hold = nil
		}
	})
}

// HangUp makes the backend server run bookings and then close the connection
// without an answer.
func (b *Backend) HangUp(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hangUp = on
}

// Began receives the body of each booking that begins to run.
func (b *Backend) Began() <-chan string { return b.began }

// ServeHTTP runs a booking.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := b.runs.add(string(body))
	b.began <- string(body)
	b.mu.Lock()
	hold, hangUp := b.hold, b.hangUp
	b.mu.Unlock()
	if hold != nil {
		<-hold
	}
	if hangUp {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "booked %s, run %d", body, run)
}

// announce tells the node that the backend server takes work, until the node
// accepts it.
func (b *Backend) announce(address string, deadline time.Time) error {
	data, err := json.Marshal(map[string]any{"service": b.service, "address": b.relay.Address()})
	if err != nil {
		return err
	}
	for {
		response, err := http.Post(announcementURL(address), "application/json", bytes.NewReader(data))
		if err == nil {
			response.Body.Close()
			if response.StatusCode < 300 {
				return nil
			}
			err = fmt.Errorf("announcement was answered %s", response.Status)
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// Drain announces that the backend server leaves, and returns when its last
// booking has ended.
func (b *Backend) drain(address string) error {
	request, err := http.NewRequest(http.MethodDelete, announcementURL(address), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode >= 300 {
		return fmt.Errorf("drain was answered %s", response.Status)
	}
	return nil
}

func (b *Backend) close() {
	b.server.Close()
	b.relay.Close()
}

func announcementURL(address string) string {
	return "http://" + address + "/lacewingslip/v1/announcement"
}
