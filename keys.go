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
	keysPath         = "/lacewingslip/v1/keys"
	keysPerRequest   = 8
	maxKeysInStock   = 32
	maxKeyReplyBytes = 64 << 10
	// maxKeyAge keeps the stock fresh. A key is useless once its owner has
	// restarted, and the outcome of a booking with it would be unknown.
	maxKeyAge = 30 * time.Second
)

// keyStock keeps issued keys that were not used yet, per service.
type keyStock struct {
	mu        sync.Mutex
	byService map[string][]stockedKey
}

type stockedKey struct {
	text     string
	received time.Time
}

func newKeyStock() *keyStock { return &keyStock{byService: make(map[string][]stockedKey)} }

// put adds a key, unless it is empty or the stock is full.
func (s *keyStock) put(service, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stock := s.byService[service]; key != "" && len(stock) < maxKeysInStock {
		s.byService[service] = append(stock, stockedKey{text: key, received: time.Now()})
	}
}

// take removes and returns the newest key. If even that one is too old, so are
// all others.
func (s *keyStock) take(service string) (key string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stock := s.byService[service]
	if len(stock) == 0 {
		return "", false
	}
	newest := stock[len(stock)-1]
	if time.Since(newest.received) > maxKeyAge {
		delete(s.byService, service)
		return "", false
	}
	s.byService[service] = stock[:len(stock)-1]
	return newest.text, true
}

// drop removes all keys of the service.
func (s *keyStock) drop(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byService, service)
}

// issuedKey takes a key from the stock, or asks the node for some.
func (c *Client) issuedKey(ctx context.Context, service, address string) (key string, failure *Error) {
	if key, ok := c.keys.take(service); ok {
		return key, nil
	}
	return c.freshKey(ctx, service, address)
}

// freshKey asks the node for keys, returns one and puts the others into the stock.
func (c *Client) freshKey(ctx context.Context, service, address string) (key string, failure *Error) {
	keys, failure := c.fetchKeys(ctx, service, address)
	if failure != nil {
		return "", failure
	}
	for _, spare := range keys[1:] {
		c.keys.put(service, spare)
	}
	return keys[0], nil
}

type keysReply struct {
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
	var reply keysReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxKeyReplyBytes)).Decode(&reply); err != nil {
		return failed(fmt.Errorf("node %s: %w", address, err))
	}
	if len(reply.Keys) == 0 {
		return failed(errors.New("the node issued no key"))
	}
	return reply.Keys, nil
}
