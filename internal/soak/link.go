package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lacewingslip/lacewingslip/hop"
)

// trouble is what a link does to its connections.
type trouble uint8

const (
	// passing forwards everything.
	passing trouble = iota
	// delayed forwards everything late.
	delayed
	// cutForward holds back what goes to the target, and cutBackward what comes
	// from it. Held bytes arrive after the cut, unless their sender has reset the
	// connection.
	cutForward
	cutBackward
	// cutBoth holds back both.
	cutBoth
)

// linkDelay is how late a delayed link forwards each piece.
const linkDelay = 60 * time.Millisecond

const linkBuffer = 16 << 10

// link is a loopback proxy in front of an address. It is safe for concurrent use.
type link struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	trouble trouble
	// changed is closed at each change of the trouble.
	changed chan struct{}
	pairs   map[*pair]bool
	done    chan struct{}
}

// pair is a connection to the link and the one that it continues on.
type pair struct {
	near, far net.Conn
	// silent is closed when the connection goes silent for good.
	silent chan struct{}
	once   sync.Once
}

func newLink(listen, target string) (l *link, err error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l = &link{
		listener: listener, target: target, changed: make(chan struct{}), pairs: make(map[*pair]bool), done: make(chan struct{}),
	}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// point sends new connections to another target.
func (l *link) point(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// set changes what the link does.
func (l *link) set(t trouble) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trouble = t
	close(l.changed)
	l.changed = make(chan struct{})
}

// reset resets a share of the open connections.
func (l *link) reset(random *rand.Rand, share float64) {
	l.each(random, share, func(p *pair) { p.abort() })
}

// silence makes a share of the open connections silent for good. New ones work.
func (l *link) silence(random *rand.Rand, share float64) {
	l.each(random, share, func(p *pair) { p.once.Do(func() { close(p.silent) }) })
}

func (l *link) each(random *rand.Rand, share float64, do func(p *pair)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		if random.Float64() < share {
			do(p)
		}
	}
}

// close ends the link and its connections.
func (l *link) close() {
	l.listener.Close()
	close(l.done)
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.abort()
	}
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(near)
	}
}

func (l *link) serve(near net.Conn) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		hop.Reset(near)
		return
	}
	p := &pair{near: near, far: far, silent: make(chan struct{})}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(p, far, near, cutForward) })
	pumps.Go(func() { l.pump(p, near, far, cutBackward) })
	pumps.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}

// pump forwards one direction, which cut holds back.
func (l *link) pump(p *pair, to, from net.Conn, cut trouble) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		if held := l.pass(p, cut); held && wasReset(from) {
			p.abort()
			return
		}
		if n > 0 {
			if _, errWrite := to.Write(buffer[:n]); errWrite != nil {
				p.abort()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			// The other direction may go on.
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			p.abort()
			return
		}
	}
}

// pass waits until the direction forwards. held is true if it did not at first.
func (l *link) pass(p *pair, cut trouble) (held bool) {
	for {
		l.mu.Lock()
		now, changed := l.trouble, l.changed
		l.mu.Unlock()
		select {
		case <-p.silent:
			<-l.done
			return true
		default:
		}
		switch now {
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

func (p *pair) abort() {
	hop.Reset(p.near)
	hop.Reset(p.far)
}

// wasReset reports whether the sender has given up the connection.
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
