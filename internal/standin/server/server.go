// Package server is a stand-in for a backend server on the users' platform, with
// its quirks: it answers late or wrongly, breaks off, or states that it did not
// run a request. It counts the runs of each request.
//
// # Usage
//
//	s, err := server.Start("127.0.0.2:0", "i-1")
//	defer s.Close()
//	s.Behave(func(r *http.Request) server.Behaviour { return server.CutAnswer })
//	runs := s.Runs("9c41d07be2a35f68")
package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/hop"
)

// Behaviour is what the server does with a request.
type Behaviour uint8

const (
	// Answer runs the request and answers with the signature.
	Answer Behaviour = iota
	// Shed states that the request was not run.
	Shed
	// LoseAnswer runs the request and closes the connection.
	LoseAnswer
	// CutAnswer runs the request and breaks its answer off.
	CutAnswer
	// ExtraAnswer runs the request and answers it twice.
	ExtraAnswer
	// Unsigned runs the request and answers without the signature.
	Unsigned
	// OtherAnswer runs the request and answers with the ID of another one.
	OtherAnswer
	// Unframed runs the request and ends its answer with the connection.
	Unframed
	// Fail runs the request and answers 503, as if it had failed inside.
	Fail
	// Hang never answers.
	Hang
)

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	instance string

	mu       sync.Mutex
	behave   func(r *http.Request) Behaviour
	during   func(r *http.Request) (ok bool)
	forget   time.Duration
	work     time.Duration
	runs     map[string]int
	headers  map[string]http.Header
	running  int
	most     int
	accepted int
	open     map[net.Conn]bool
	draining bool
}

// Start listens on the address.
func Start(address, instance string) (s *Server, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s = &Server{
		listener: listener, instance: instance, behave: func(*http.Request) Behaviour { return Answer },
		runs: make(map[string]int), headers: make(map[string]http.Header), open: make(map[net.Conn]bool),
	}
	go s.accept()
	return s, nil
}

// Address returns the server's address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and its connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
}

// Behave sets what is done with each request.
func (s *Server) Behave(behave func(r *http.Request) Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behave = behave
}

// During sets what is done while a request runs, such as calls of its own. The
// request fails with status 500 if it is not ok.
func (s *Server) During(during func(r *http.Request) (ok bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.during = during
}

// ForgetIdle makes the server forget connections that are idle for longer than
// the time: it resets them when the next request arrives, which does not run.
func (s *Server) ForgetIdle(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget = after
}

// forgets reports whether a connection that was idle for the time is forgotten.
func (s *Server) forgets(idle time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forget > 0 && idle > s.forget
}

// Work sets how long a request runs.
func (s *Server) Work(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = d
}

// Drain makes health requests fail.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Runs returns how often the request ran.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Headers returns the headers with which the request came.
func (s *Server) Headers(id string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[id]
}

// Most returns the largest number of requests that ran at once.
func (s *Server) Most() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

// Connections returns the number of connections made so far.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted++
		s.open[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, c)
	}()
	reader := bufio.NewReader(c)
	for {
		idleSince := time.Now()
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if s.forgets(time.Since(idleSince)) {
			hop.Reset(c)
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil || !s.answer(c, r) {
			return
		}
	}
}

// answer handles one request. ok is false if the connection is to be closed.
func (s *Server) answer(c net.Conn, r *http.Request) (ok bool) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		return s.health(c)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.instance {
		write(c, "421 Misdirected Request", "X-Instance-Id: "+s.instance+"\r\n", "")
		return true
	}
	behaviour := s.begin(id, r)
	defer s.end()
	s.mu.Lock()
	work, during := s.work, s.during
	s.mu.Unlock()
	time.Sleep(work)
	named := "X-Request-Id: " + id + "\r\n"
	signed := named + "X-Server-Signature: signed\r\n"
	if behaviour != Shed && during != nil && !during(r) {
		write(c, "500 Internal Server Error", signed, "a call failed")
		return true
	}
	switch behaviour {
	case Shed:
		write(c, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "")
	case LoseAnswer:
		return false
	case CutAnswer:
		begin(c, signed+"Content-Length: 100\r\n", "half")
		return false
	case ExtraAnswer:
		write(c, "200 OK", signed, "answer of "+id)
		write(c, "200 OK", signed, "answer of "+id)
	case Unsigned:
		write(c, "200 OK", named, "answer of "+id)
	case OtherAnswer:
		write(c, "200 OK", "X-Request-Id: other\r\nX-Server-Signature: signed\r\n", "answer of other")
	case Unframed:
		begin(c, signed, "answer of "+id)
		return false
	case Fail:
		write(c, "503 Service Unavailable", signed, "failed inside")
	case Hang:
		time.Sleep(time.Minute)
		return false
	case Answer:
		write(c, "200 OK", signed, "answer of "+id)
	}
	return true
}

func (s *Server) health(c net.Conn) (ok bool) {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	status := "200 OK"
	if draining {
		status = "503 Service Unavailable"
	}
	write(c, status, "X-Instance-Id: "+s.instance+"\r\nX-Server-Load: 0,0,8\r\n", "")
	return true
}

func (s *Server) begin(id string, r *http.Request) Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.most = max(s.most, s.running)
	behaviour := s.behave(r)
	s.headers[id] = r.Header
	if behaviour != Shed {
		s.runs[id]++
	}
	return behaviour
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func write(c net.Conn, status, headers, body string) {
	// A caller that has gone does not need the answer.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// begin writes an answer without its length, or a part of one.
func begin(c net.Conn, headers, body string) {
	// See write for errors.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", headers, body)
}
