package mesh

import (
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/hop"
)

// backendIdleTimeout is how long an unused connection to the backend server is
// kept. Backend servers close idle connections after 10 s.
const backendIdleTimeout = 8 * time.Second

// instancePool is the pool of connections to the backend server. A connection is only used
// for requests that expect the same instance.
type instancePool struct {
	address string
	// limit is shared with the connections to other nodes, or nil.
	limit *hop.ConnectionLimit

	mu       sync.Mutex
	instance string
	pool     *hop.Pool
}

func newInstancePool(address string) *instancePool {
	p := &instancePool{address: address}
	p.pool = p.newPool()
	return p
}

func (p *instancePool) newPool() *hop.Pool {
	return hop.New(p.address, hop.WithMaxIdle(backendIdleTimeout), hop.WithConnectionLimit(p.limit))
}

// setLimit sets the limit of connections. It must be called before the first request.
func (p *instancePool) setLimit(limit *hop.ConnectionLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.pool = limit, nil
	p.pool = p.newPool()
}

// forInstance returns the connections for requests that expect the instance, and closes
// those for another one.
func (p *instancePool) forInstance(instance string) *hop.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if instance != p.instance {
		p.pool.Close()
		p.instance, p.pool = instance, p.newPool()
	}
	return p.pool
}

// current returns the connections in use, for requests that expect no instance.
func (p *instancePool) current() *hop.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool
}
