package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// directAttempts and directTimeout are a common configuration of HTTP clients: three
	// attempts on each hop, with a timeout of one second.
	directAttempts   = 3
	directTimeout    = time.Second
	directRetryDelay = 50 * time.Millisecond
	maxIdleConns     = 8000
)

// directProxy replaces the nodes in the baseline without the layer. It sends the requests of
// callers and backend servers to a random backend server of the service, and retries them
// after a failure.
type directProxy struct {
	client  *http.Client
	retries atomic.Int64

	mu      sync.RWMutex
	servers map[string][]string
}

func newDirectProxy() *directProxy {
	return &directProxy{
		servers: make(map[string][]string),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: directTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
		}},
	}
}

// ServeHTTP handles announcements and child calls of backend servers.
func (d *directProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/lacewingslip/v1/announcement" {
		d.announce(w, r.Method, body)
		return
	}
	status, answer, err := d.send(r.Context(), r.Method, r.URL.RequestURI(), r.Header, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// send makes a call, with retries, to the service named by the first segment of the URI.
func (d *directProxy) send(ctx context.Context, method, uri string, header http.Header, body []byte) (status int, answer []byte, err error) {
	for attempt := 1; ; attempt++ {
		status, answer, err = d.attempt(ctx, method, uri, header, body)
		if err == nil && status < http.StatusInternalServerError {
			return status, answer, nil
		}
		if attempt == directAttempts || !sleep(ctx) {
			return status, answer, err
		}
		d.retries.Add(1)
	}
}

func (d *directProxy) attempt(ctx context.Context, method, uri string, header http.Header, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	service, _, _ := strings.Cut(strings.TrimPrefix(uri, "/"), "/")
	address, err := d.randomServer(service)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+uri, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	maps.Copy(req.Header, header)
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

func (d *directProxy) randomServer(service string) (address string, err error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	servers := d.servers[service]
	if len(servers) == 0 {
		return "", fmt.Errorf("service %q has no backend server", service)
	}
	return servers[rand.IntN(len(servers))], nil
}

func (d *directProxy) announce(w http.ResponseWriter, method string, body []byte) {
	var announced struct {
		Service string `json:"service"`
		Address string `json:"address"`
	}
	if method == http.MethodPost {
		if err := json.Unmarshal(body, &announced); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		d.mu.Lock()
		d.servers[announced.Service] = append(d.servers[announced.Service], announced.Address)
		d.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

func sleep(ctx context.Context) (completed bool) {
	select {
	case <-time.After(directRetryDelay):
		return true
	case <-ctx.Done():
		return false
	}
}
