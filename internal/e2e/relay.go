package e2e

import (
	"io"
	"net"
	"sync"
)

// Relay passes TCP connections on to a target, and cuts them when told to.
type Relay struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	open     map[net.Conn]bool
	cutAfter int
	wg       sync.WaitGroup
}

// NewRelay listens on loopback and passes connections on to the target.
func NewRelay(target string) (r *Relay, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r = &Relay{listener: l, target: target, open: map[net.Conn]bool{}, cutAfter: -1}
	r.wg.Go(r.accept)
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// CutAnswersAfter breaks each connection within the next answer, after so many
// of its bytes. A negative number lets everything pass.
func (r *Relay) CutAnswersAfter(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutAfter = bytes
}

// Close breaks all connections and stops listening.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	for c := range r.open {
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
		r.track(client, server)
		end := sync.OnceFunc(func() { r.end(client, server) })
		r.wg.Go(func() {
			defer end()
			_, _ = io.Copy(server, client) // ends when either side does
		})
		r.wg.Go(func() {
			defer end()
			_, _ = io.Copy(&answerWriter{relay: r, to: client}, server)
		})
	}
}

func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.open[c] = true
	}
}

func (r *Relay) end(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(r.open, c)
	}
}

// answerWriter ends the copying of answers where the relay is to cut them.
type answerWriter struct {
	relay *Relay
	to    io.Writer
}

func (w *answerWriter) Write(p []byte) (n int, err error) {
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
