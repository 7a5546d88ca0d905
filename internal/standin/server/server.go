// Package server is a stand-in for a backend server on the users' platform, including
// its failures: it can respond late or incorrectly, cut off a response, or state that it
// did not run a request. It counts the runs of each request.
//
// # Usage
//
//	s, err := server.Start("127.0.0.2:0", "i-1")
//	defer s.Close()
//	s.SetBehaviour(func(r *http.Request) server.Behaviour { return server.CutAnswer })
//	runs := s.Runs("9c41d07be2a35f68")
package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lacewingslip/lacewingslip/hop"
)

// Behaviour determines how the server handles a request.
type Behaviour uint8

const (
	// Answer runs the request and sends a signed response.
	Answer Behaviour = iota
	// Shed responds that the request was not run.
	Shed
	// LoseAnswer runs the request and closes the connection without a response.
	LoseAnswer
	// CutAnswer runs the request and closes the connection within the response.
	CutAnswer
	// ExtraAnswer runs the request and sends the response twice.
	ExtraAnswer
	// Unsigned runs the request and sends a response without signature.
	Unsigned
	// MismatchedAnswer runs the request and sends a response with the ID of another request.
	MismatchedAnswer
	// Unframed runs the request and sends a response without Content-Length, which ends
	// when the connection is closed.
	Unframed
	// Fail runs the request and sends a signed response with status 503, as after an
	// internal failure.
	Fail
	// Hang runs the request, sends no response and closes the connection after a minute.
	Hang
	// ShedTwice responds that the request was not run, without the ID of the request, and
	// sends the response again once the next request on the connection has arrived.
	ShedTwice
	// ShedTwiceWithID is ShedTwice with the ID of the request.
	ShedTwiceWithID
	// EndlessHead runs the request and sends header lines until the connection is
	// closed.
	EndlessHead
	// EndlessInformational runs the request and sends informational responses until the
	// connection is closed.
	EndlessInformational
	// EndlessBody runs the request and sends a body until the connection is closed.
	EndlessBody
	// EndlessStatusLine runs the request and sends a status line until the connection is
	// closed.
	EndlessStatusLine
	// EndlessGarbage runs the request and sends bytes that are no response until the
	// connection is closed.
	EndlessGarbage
	// EndlessLineBreaks runs the request and sends line breaks until the connection is
	// closed.
	EndlessLineBreaks
	// EndlessChunkSize runs the request and sends the size of a chunk until the connection is
	// closed.
	EndlessChunkSize
	// EndlessChunkExtension runs the request and sends the extension of a chunk until the
	// connection is closed.
	EndlessChunkExtension
	// EndlessTrailers runs the request and sends trailers until the connection is closed.
	EndlessTrailers
	// CutHead runs the request and closes the connection within the head of the response.
	CutHead
	// CutLongChunks runs the request and closes the connection within a long body in
	// chunks.
	CutLongChunks
	// CutLongLength runs the request and closes the connection within a long body with
	// Content-Length.
	CutLongLength
	// ResetLong runs the request and resets the connection within a long body without
	// Content-Length.
	ResetLong
	// AnswerLong runs the request and answers it with a body of 200 KB.
	AnswerLong
	// AnswerRaw runs the request and sends the octets of SetRawAnswer, which need not be a
	// response. The connection stays open.
	AnswerRaw
)

// longAnswerBytes is the length of the body of a long answer. Nodes hold bodies of this size
// in memory.
const longAnswerBytes = 200 << 10

// receiveTimeout limits how long the server waits for its bytes to be acknowledged.
const receiveTimeout = 10 * time.Second

// longBodyBytes is the size up to which a long body is sent before it is cut. Nodes stream
// bodies of this size.
const longBodyBytes = 1 << 20

// Server is a stand-in backend server. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	instance string

	mu              sync.Mutex
	chooseBehaviour func(r *http.Request) Behaviour
	runHook         func(r *http.Request) (ok bool)
	resetIdleAfter  time.Duration
	// repeatMisdirected makes the server send refusals of requests for another instance
	// twice.
	repeatMisdirected bool
	serviceTime       time.Duration
	load              string
	// loadInAnswers is true if answers state the load too.
	loadInAnswers bool
	rawAnswer     string
	runs          map[string]int
	headers       map[string]http.Header
	running       int
	maxRunning    int
	acceptedConns int
	openConns     map[net.Conn]bool
	draining      bool
}

// Start starts a server on the address, with an ID for the instance.
func Start(address, instance string) (s *Server, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s = &Server{
		listener: listener, instance: instance, chooseBehaviour: func(*http.Request) Behaviour { return Answer }, load: "0,0,8",
		runs: make(map[string]int), headers: make(map[string]http.Header), openConns: make(map[net.Conn]bool),
	}
	go s.accept()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening and closes all connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.openConns {
		c.Close()
	}
}

// SetBehaviour sets the function that selects the behaviour for each request.
func (s *Server) SetBehaviour(choose func(r *http.Request) Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooseBehaviour = choose
}

// SetRunHook sets a function that is called while a request runs, for example to make
// child calls. If it returns false, the request fails with status 500.
func (s *Server) SetRunHook(during func(r *http.Request) (ok bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runHook = during
}

// ResetIdleAfter makes the server reset connections that have been idle for longer than the
// time, once the next request arrives on them. That request does not run.
func (s *Server) ResetIdleAfter(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetIdleAfter = after
}

// exceedsIdleLimit reports whether a connection that was idle for the time is reset.
func (s *Server) exceedsIdleLimit(idle time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resetIdleAfter > 0 && idle > s.resetIdleAfter
}

// RepeatMisdirected makes the server send each refusal of a request for another instance
// again, once the next request on the connection has arrived.
func (s *Server) RepeatMisdirected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeatMisdirected = true
}

// SetServiceTime sets the time that each request takes, besides the run hook.
func (s *Server) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

// StateLoad sets the load that the server states in responses to health checks, and from then
// on in answers too.
func (s *Server) StateLoad(load string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadInAnswers = load, true
}

// loadHeader returns the header line with the load.
func (s *Server) loadHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "X-Server-Load: " + s.load + "\r\n"
}

// SetRawAnswer sets what the behaviour AnswerRaw sends.
func (s *Server) SetRawAnswer(octets string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rawAnswer = octets
}

// answerLoadHeader returns the header line with the load for answers, or "".
func (s *Server) answerLoadHeader() string {
	s.mu.Lock()
	stated := s.loadInAnswers
	s.mu.Unlock()
	if !stated {
		return ""
	}
	return s.loadHeader()
}

// Drain makes health checks fail.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Runs returns how many times the request ran.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Headers returns the headers of the last attempt of the request that arrived.
func (s *Server) Headers(id string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[id]
}

// MaxConcurrent returns the largest number of requests that were handled at the same time.
func (s *Server) MaxConcurrent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxRunning
}

// Connections returns the number of connections accepted so far.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptedConns
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.acceptedConns++
		s.openConns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.openConns, c)
	}()
	reader, late := bufio.NewReader(c), ""
	for {
		idleSince := time.Now()
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if s.exceedsIdleLimit(time.Since(idleSince)) {
			hop.Reset(c)
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil || !s.handle(c, r, &late) {
			return
		}
	}
}

// handle handles one request. late holds what is sent before the response to the next
// request. ok is false if the connection must be closed.
func (s *Server) handle(c net.Conn, r *http.Request, late *string) (ok bool) {
	// An error is ignored as in writeResponse.
	_, _ = io.WriteString(c, *late)
	*late = ""
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		return s.answerHealthCheck(c)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.instance {
		refusal := "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + s.instance + "\r\n" + s.answerLoadHeader() + "Content-Length: 0\r\n\r\n"
		if s.repeatsMisdirected() {
			*late = refusal
		}
		_, _ = io.WriteString(c, refusal)
		return true
	}
	behaviour := s.startRequest(id, r)
	defer s.finishRequest()
	s.mu.Lock()
	serviceTime, runHook, rawAnswer := s.serviceTime, s.runHook, s.rawAnswer
	s.mu.Unlock()
	time.Sleep(serviceTime)
	idHeader := "X-Request-Id: " + id + "\r\n"
	signedHeaders := idHeader + "X-Server-Signature: signed\r\n" + s.answerLoadHeader()
	if !behaviour.Refuses() && runHook != nil && !runHook(r) {
		writeResponse(c, "500 Internal Server Error", signedHeaders, "a call failed")
		return true
	}
	switch behaviour {
	case Shed:
		writeResponse(c, "503 Service Unavailable", idHeader+"X-Not-Executed: 1\r\n", "")
	case ShedTwice, ShedTwiceWithID:
		refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
		if behaviour == ShedTwiceWithID {
			refusal += idHeader
		}
		*late = refusal + "\r\n"
		_, _ = io.WriteString(c, *late)
	case EndlessHead, EndlessInformational, EndlessBody, EndlessStatusLine, EndlessGarbage, EndlessLineBreaks, EndlessChunkSize, EndlessChunkExtension, EndlessTrailers:
		writeEndlessly(c, signedHeaders, endless[behaviour])
		return false
	case CutHead:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signedHeaders)
		return false
	case CutLongChunks:
		writePartial(c, signedHeaders+"Transfer-Encoding: chunked\r\n", strings.Repeat("3e8\r\n"+strings.Repeat("x", 1000)+"\r\n", longBodyBytes/1000))
		return false
	case CutLongLength:
		writePartial(c, signedHeaders+fmt.Sprintf("Content-Length: %d\r\n", 2*longBodyBytes), strings.Repeat("x", longBodyBytes))
		return false
	case ResetLong:
		writePartial(c, signedHeaders, strings.Repeat("x", longBodyBytes))
		awaitReceived(c)
		hop.Reset(c)
		return false
	case LoseAnswer:
		return false
	case CutAnswer:
		writePartial(c, signedHeaders+"Content-Length: 100\r\n", "half")
		return false
	case ExtraAnswer:
		writeResponse(c, "200 OK", signedHeaders, "answer of "+id)
		writeResponse(c, "200 OK", signedHeaders, "answer of "+id)
	case Unsigned:
		writeResponse(c, "200 OK", idHeader, "answer of "+id)
	case MismatchedAnswer:
		writeResponse(c, "200 OK", "X-Request-Id: other\r\nX-Server-Signature: signed\r\n", "answer of other")
	case Unframed:
		writePartial(c, signedHeaders, "answer of "+id)
		return false
	case Fail:
		writeResponse(c, "503 Service Unavailable", signedHeaders, "failed inside")
	case Hang:
		time.Sleep(time.Minute)
		return false
	case Answer:
		writeResponse(c, "200 OK", signedHeaders, "answer of "+id)
	case AnswerLong:
		writeResponse(c, "200 OK", signedHeaders, strings.Repeat("x", longAnswerBytes))
	case AnswerRaw:
		_, _ = io.WriteString(c, rawAnswer)
	}
	return true
}

func (s *Server) answerHealthCheck(c net.Conn) (ok bool) {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	status := "200 OK"
	if draining {
		status = "503 Service Unavailable"
	}
	writeResponse(c, status, "X-Instance-Id: "+s.instance+"\r\n"+s.loadHeader(), "")
	return true
}

func (s *Server) repeatsMisdirected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeatMisdirected
}

func (s *Server) startRequest(id string, r *http.Request) Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	behaviour := s.chooseBehaviour(r)
	s.headers[id] = r.Header
	if !behaviour.Refuses() {
		s.runs[id]++
	}
	return behaviour
}

func (s *Server) finishRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// Refuses reports whether the server does not run the request.
func (b Behaviour) Refuses() bool { return b == Shed || b == ShedTwice || b == ShedTwiceWithID }

// endlessAnswer has the start of an answer, in which headersMark stands for its headers, and
// the part that is repeated until the connection is closed.
type endlessAnswer struct{ start, repeated string }

const (
	headersMark = "{headers}"
	signedHead  = "HTTP/1.1 200 OK\r\n" + headersMark
	chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n"
)

var endless = map[Behaviour]endlessAnswer{
	EndlessHead:           {signedHead, "X-Filler: " + strings.Repeat("x", 100) + "\r\n"},
	EndlessInformational:  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	EndlessBody:           {signedHead + "\r\n", strings.Repeat("x", 1000)},
	EndlessStatusLine:     {"HTTP/1.1 200 ", strings.Repeat("x", 1000)},
	EndlessGarbage:        {"", strings.Repeat("\x00\x16\xff?", 250)},
	EndlessLineBreaks:     {"", strings.Repeat("\r\n", 500)},
	EndlessChunkSize:      {chunkedHead, strings.Repeat("0", 1000)},
	EndlessChunkExtension: {chunkedHead + "1;", strings.Repeat("x", 1000)},
	EndlessTrailers:       {chunkedHead + "1\r\nx\r\n0\r\n", "X-Filler: " + strings.Repeat("x", 100) + "\r\n"},
}

func writeEndlessly(c net.Conn, headers string, answer endlessAnswer) {
	_, err := io.WriteString(c, strings.Replace(answer.start, headersMark, headers, 1))
	for err == nil {
		_, err = io.WriteString(c, answer.repeated)
	}
}

func writeResponse(c net.Conn, status, headers, body string) {
	// Errors are ignored: a client that has disconnected does not need the response.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// awaitReceived waits until the receiver has acknowledged all bytes, of which a reset would
// discard the others, or for receiveTimeout.
func awaitReceived(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	for end := time.Now().Add(receiveTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		unsent := 0
		if err = raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil || unsent == 0 {
			return
		}
	}
}

// writePartial writes a response without Content-Length, or the start of a response.
func writePartial(c net.Conn, headers, body string) {
	// Errors are ignored as in writeResponse.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", headers, body)
}
