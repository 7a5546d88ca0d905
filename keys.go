package lacewingslip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	keysPath             = "/lacewingslip/v1/keys"
	keysPerRequest       = 8
	maxPooledKeys        = 32
	maxKeysResponseBytes = 64 << 10
	// maxKeyAge is the maximum time that an issued key is pooled. Once the owner of
	// a key has restarted, the outcome of a booking with it would be unknown.
	maxKeyAge = 30 * time.Second
)

// keyPool stores unused issued keys by service.
type keyPool struct {
	mu        sync.Mutex
	byService map[string][]pooledKey
}

type pooledKey struct {
	text     string
	received time.Time
}

func newKeyPool() *keyPool { return &keyPool{byService: make(map[string][]pooledKey)} }

// add adds a key, unless it is empty or the pool of the service is full.
func (p *keyPool) add(service, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if keys := p.byService[service]; key != "" && len(keys) < maxPooledKeys {
		p.byService[service] = append(keys, pooledKey{text: key, received: time.Now()})
	}
}

// removeNewest removes and returns the newest key of the service. If even the newest
// key is too old, it discards all keys of the service.
func (p *keyPool) removeNewest(service string) (key string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := p.byService[service]
	if len(keys) == 0 {
		return "", false
	}
	newest := keys[len(keys)-1]
	if time.Since(newest.received) > maxKeyAge {
		delete(p.byService, service)
		return "", false
	}
	p.byService[service] = keys[:len(keys)-1]
	return newest.text, true
}

// clear removes all keys of the service.
func (p *keyPool) clear(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byService, service)
}

// acquireKey returns a key from the pool, or requests keys from the node if the pool
// has none.
func (c *Client) acquireKey(ctx context.Context, service, address string) (key string, failure *Error) {
	if key, ok := c.keys.removeNewest(service); ok {
		return key, nil
	}
	return c.requestKey(ctx, service, address)
}

// requestKey requests keys from the node, returns one and adds the others to the
// pool.
func (c *Client) requestKey(ctx context.Context, service, address string) (key string, failure *Error) {
	keys, failure := c.fetchKeys(ctx, service, address)
	if failure != nil {
		return "", failure
	}
	for _, unused := range keys[1:] {
		c.keys.add(service, unused)
	}
	return keys[0], nil
}

type keysResponse struct {
	Keys []string `json:"keys"`
}

func (c *Client) fetchKeys(ctx context.Context, service, address string) (keys []string, failure *Error) {
	failed := func(err error) ([]string, *Error) {
		return nil, &Error{outcome: call.NotRun, reason: call.ReasonInternal, cause: err}
	}
	query := url.Values{"service": {service}, "count": {strconv.Itoa(keysPerRequest)}}
	target := url.URL{Scheme: "http", Host: address, Path: keysPath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), http.NoBody)
	if err != nil {
		return failed(err)
	}
	resp, _, failure := c.send(req, address)
	if failure != nil {
		return nil, failure
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, readFailure(resp, call.NotRun)
	}
	var response keysResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxKeysResponseBytes)).Decode(&response); err != nil {
		return failed(fmt.Errorf("node %s: %w", address, err))
	}
	if len(response.Keys) == 0 {
		return failed(errors.New("the node returned no keys"))
	}
	return response.Keys, nil
}
