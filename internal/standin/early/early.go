// Package early is a stand-in for a server that answers a request before it has read its body,
// and then closes or resets the connection. It has such answers, and the body of a request that
// can be held back until the connection has ended.
//
// # Usage
//
//	for name, c := range early.Cases("X-Request-Id: a\r\n") {
//		s, err := early.Start("127.0.0.1:0", "i-1", func(*http.Request) early.Answer { return c.Answer })
//		defer s.Close()
//		upload := early.NewUpload(64<<10, early.Endless)
//		// Send a request with the upload as its body, and read the head of the answer.
//		s.AwaitEnd()
//		upload.Release(nil)
//		<-upload.Closed()
//		// Writing the upload has failed. Read the body of the answer.
//	}
package early

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// End is a way in which the server ends its side of a connection.
type End uint8

const (
	// Reset resets the connection.
	Reset End = iota
	// HalfClose closes the sending side in order. The server reads nothing more.
	HalfClose
	// HalfCloseAndReset does both, so that the reset follows the orderly end.
	HalfCloseAndReset
	// Stay leaves the connection as it is. The server reads nothing more.
	Stay
)

// Answer is what the server sends, and how it ends the connection. The zero value resets the
// connection without an answer.
type Answer struct {
	Text string
	End  End
	// ReadFirst is how many octets of the request's body are read before the answer is sent, or -1
	// for all.
	ReadFirst int64
	// IsKept is true if the server reads the whole body and then the next request. End has no effect.
	IsKept bool
}

// maxEnds is the number of ends that may be waiting for AwaitEnd.
const maxEnds = 1 << 10

// Server answers each request with an [Answer]. It answers health requests as an instance that is
// ready. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	instance string
	answer   func(r *http.Request) Answer
	ends     chan struct{}

	mu    sync.Mutex
	conns []net.Conn
}

// Start starts a server on the address host:port.
func Start(address, instance string, answer func(r *http.Request) Answer) (s *Server, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s = &Server{listener: listener, instance: instance, answer: answer, ends: make(chan struct{}, maxEnds)}
	go s.accept()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// AwaitEnd waits until the server has ended one more connection.
func (s *Server) AwaitEnd() { <-s.ends }

// Close stops listening and closes all connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		go s.serve(c.(*net.TCPConn))
	}
}

// serve answers the requests of a connection. If it is not reset, it stays open until the server is
// closed. Errors of writes are ignored, because the client notices them.
func (s *Server) serve(c *net.TCPConn) {
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			c.Close()
			return
		}
		if r.URL.Path == operator.HealthPath {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.instance)
			continue
		}
		answer := s.answer(r)
		body := io.Reader(r.Body)
		if !answer.IsKept && answer.ReadFirst >= 0 {
			body = io.LimitReader(body, answer.ReadFirst)
		}
		_, _ = io.Copy(io.Discard, body)
		_, _ = io.WriteString(c, answer.Text)
		if answer.IsKept {
			continue
		}
		end(c, answer.End)
		select {
		case s.ends <- struct{}{}:
		default:
		}
		return
	}
}

func end(c *net.TCPConn, end End) {
	if end == HalfClose || end == HalfCloseAndReset {
		_ = c.CloseWrite()
	}
	if end == Reset || end == HalfCloseAndReset {
		hop.Reset(c)
	}
}
