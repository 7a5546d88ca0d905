package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lacewingslip/lacewingslip/framing"
	"github.com/lacewingslip/lacewingslip/hop"
)

// linkMode determines how a link treats its connections.
type linkMode uint8

const (
	// forwarding forwards all data immediately.
	forwarding linkMode = iota
	// delayed forwards all data after linkDelay.
	delayed
	// cutForward holds back data to the target, and cutBackward data from the target.
	// The data is delivered after the cut, unless its sender has reset the connection.
	cutForward
	cutBackward
	// cutBoth holds back data in both directions.
	cutBoth
)

// linkDelay is the delay of each chunk of data on a delayed link.
const linkDelay = 60 * time.Millisecond

const linkBufferBytes = 16 << 10

// link is a TCP proxy on a loopback address that can inject network faults. It is safe
// for concurrent use.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   linkMode
	// changed is closed and replaced at each change of the mode.
	changed chan struct{}
	conns   map[*proxiedConn]bool
	done    chan struct{}
}

// proxiedConn is a connection from a client to the link, and the corresponding one from
// the link to the target.
type proxiedConn struct {
	client, server net.Conn
	// blackholed is closed when the connection is to deliver no more data.
	blackholed chan struct{}
	once       sync.Once
}

func newLink(listen, target string) (l *link, err error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l = &link{
		listener: listener, target: target, changed: make(chan struct{}), conns: make(map[*proxiedConn]bool), done: make(chan struct{}),
	}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// setTarget sets the target of new connections.
func (l *link) setTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

func (l *link) setMode(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
}

// reset resets a random share of the open connections.
func (l *link) reset(random *rand.Rand, share float64) {
	l.forEachConn(random, share, func(p *proxiedConn) { p.reset() })
}

// blackhole permanently stops the delivery of data on a random share of the open
// connections, without closing them. New connections are not affected.
func (l *link) blackhole(random *rand.Rand, share float64) {
	l.forEachConn(random, share, func(p *proxiedConn) { p.once.Do(func() { close(p.blackholed) }) })
}

func (l *link) forEachConn(random *rand.Rand, share float64, apply func(p *proxiedConn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		if random.Float64() < share {
			apply(p)
		}
	}
}

// close closes the link and resets its connections.
func (l *link) close() {
	l.listener.Close()
	close(l.done)
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.reset()
	}
}

func (l *link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(client)
	}
}

func (l *link) serve(client net.Conn) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		hop.Reset(client)
		return
	}
	p := &proxiedConn{client: client, server: server, blackholed: make(chan struct{})}
	l.mu.Lock()
	l.conns[p] = true
	l.mu.Unlock()
	// A reset that one direction notices must not look like an orderly end to the other one.
	clientSide, serverSide := framing.NewConn(client), framing.NewConn(server)
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(p, serverSide, clientSide, cutForward) })
	directions.Go(func() { l.forward(p, clientSide, serverSide, cutBackward) })
	directions.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, p)
}

// forward copies data in one direction. In mode cut or cutBoth it holds the data back.
func (l *link) forward(p *proxiedConn, to, from *framing.Conn, cut linkMode) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if held := l.waitForwarding(p, cut); held && wasReset(from.Conn) {
			p.reset()
			return
		}
		if n > 0 {
			if _, errWrite := to.Write(buffer[:n]); errWrite != nil {
				p.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			// The other direction may still carry data.
			_ = to.Conn.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			p.reset()
			return
		}
	}
}

// waitForwarding waits until the mode lets the direction forward data. held is true if it
// had to wait for the end of a cut or until the link was closed.
func (l *link) waitForwarding(p *proxiedConn, cut linkMode) (held bool) {
	for {
		l.mu.Lock()
		mode, changed := l.mode, l.changed
		l.mu.Unlock()
		select {
		case <-p.blackholed:
			<-l.done
			return true
		default:
		}
		switch mode {
		case cut, cutBoth:
			held = true
			select {
			case <-changed:
			case <-l.done:
				return held
			}
		case delayed:
			time.Sleep(linkDelay)
			return held
		default:
			return held
		}
	}
}

func (p *proxiedConn) reset() {
	hop.Reset(p.client)
	hop.Reset(p.server)
}

// wasReset reports whether the sender has reset the connection.
func wasReset(c net.Conn) (reset bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reset = err != nil && !errors.Is(err, unix.EAGAIN)
		return true
	})
	return reset || err != nil
}
