package e2e

import (
	"io"
	"net"
	"sync"
)

// Relay is a TCP proxy in front of a target that can cut off responses.
type Relay struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	openConns map[net.Conn]bool
	cutAfter  int
	wg        sync.WaitGroup
}

// NewRelay starts a relay on a loopback address that forwards connections to the target.
func NewRelay(target string) (r *Relay, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r = &Relay{listener: l, target: target, openConns: map[net.Conn]bool{}, cutAfter: -1}
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// TruncateResponsesAfter closes each connection within its next response, after that
// number of bytes. A negative number disables this.
func (r *Relay) TruncateResponsesAfter(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutAfter = bytes
}

// Close closes all connections and stops listening.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	for c := range r.openConns {
		c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			continue
		}
		r.trackConns(client, server)
		end := sync.OnceFunc(func() { r.closeConns(client, server) })
		r.wg.Go(func() {
			defer end()
			_, _ = io.Copy(server, client) // ends when either connection is closed
		})
		r.wg.Go(func() {
			defer end()
			_, _ = io.Copy(&responseWriter{relay: r, to: client}, server)
		})
	}
}

func (r *Relay) trackConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.openConns[c] = true
	}
}

func (r *Relay) closeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(r.openConns, c)
	}
}

// responseWriter forwards responses, and fails at the point where the relay cuts them off.
type responseWriter struct {
	relay *Relay
	to    io.Writer
}

func (w *responseWriter) Write(p []byte) (n int, err error) {
	w.relay.mu.Lock()
	limit := w.relay.cutAfter
	w.relay.mu.Unlock()
	if limit < 0 || len(p) < limit {
		return w.to.Write(p)
	}
	if n, err = w.to.Write(p[:limit]); err != nil {
		return n, err
	}
	return n, io.ErrClosedPipe
}
