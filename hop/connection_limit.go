package hop

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// ErrNoConnection is the cause of the error for a request that was not sent because the process
// has no descriptor left for its connection. It says nothing about the receiver.
var ErrNoConnection = eris.New("no descriptor is left for a connection")

// ConnectionLimit is the number of connections that several pools may have together. It is safe
// for concurrent use. At the limit, an unused connection of any of the pools is closed in favour
// of a new one.
type ConnectionLimit struct {
	limit     int
	onRefused func()

	mu    sync.Mutex
	used  int
	pools map[*Pool]struct{}
}

// NewConnectionLimit returns a limit. onRefused is called for each request that gets no
// connection.
func NewConnectionLimit(limit int, onRefused func()) *ConnectionLimit {
	return &ConnectionLimit{limit: limit, onRefused: onRefused, pools: make(map[*Pool]struct{})}
}

// WithConnectionLimit makes the pool share a limit. nil means that there is none.
func WithConnectionLimit(l *ConnectionLimit) Option {
	return func(p *Pool) {
		p.limit = l
		if l != nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.pools[p] = struct{}{}
		}
	}
}

// Limit returns how many connections the pools may have.
func (l *ConnectionLimit) Limit() int { return l.limit }

// Used returns how many connections the pools have.
func (l *ConnectionLimit) Used() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// take counts a new connection. ok is false if the limit is reached and all connections
// are in use.
func (l *ConnectionLimit) take() (ok bool) {
	if l == nil {
		return true
	}
	for {
		l.mu.Lock()
		if l.used < l.limit {
			l.used++
			l.mu.Unlock()
			return true
		}
		pools := make([]*Pool, 0, len(l.pools))
		for other := range l.pools {
			pools = append(pools, other)
		}
		l.mu.Unlock()
		// The mutexes of pools are not locked together with that of the limit.
		closed := false
		for _, other := range pools {
			if closed = other.closeLeastRecent(); closed {
				break
			}
		}
		if !closed {
			l.onRefused()
			return false
		}
	}
}

// give returns the descriptor of a connection that has been closed.
func (l *ConnectionLimit) give() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
}

// forget removes a pool that is closed.
func (l *ConnectionLimit) forget(p *Pool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pools, p)
}

// closeLeastRecent closes the unused connection of the pool that was used least recently.
func (p *Pool) closeLeastRecent() (closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return false
	}
	p.closeFirst()
	return true
}

// closeFirst closes the idle connection that was used least recently. The mutex must be held.
func (p *Pool) closeFirst() {
	p.idle[0].Close()
	p.idle = slices.Delete(p.idle, 0, 1)
}

// dialWithinLimit opens a connection that counts towards the limit.
func (p *Pool) dialWithinLimit(ctx context.Context) (c *conn, err error) {
	if !p.limit.take() {
		return nil, ErrNoConnection
	}
	if c, err = p.dial(ctx); err != nil {
		p.limit.give()
		return nil, err
	}
	c.limit = p.limit
	return c, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.returnDescriptor()
	return c.Conn.Close()
}

func (c *conn) returnDescriptor() {
	if !c.closed.Swap(true) {
		c.limit.give()
	}
}

// lacksDescriptors reports whether an error of a dialer means that the process has no descriptor
// left.
func lacksDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
