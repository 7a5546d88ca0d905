// Package framing checks the syntax and the framing of HTTP/1.1 responses while they arrive
// (RFC 9110, RFC 9112). net/http accepts responses whose status code is out of range, whose
// field names contain spaces, or whose length is stated twice. An intermediary that passes them
// on, or reads a body of another length than the sender wrote, delivers what no server sent.
//
// The package stands below net/http, which still parses the responses. Reads of the connection
// fail at the first octet that no valid response can have there, before net/http has seen it.
//
// A response that states no length ends with the connection. [Conn] tells its end from the loss of
// the connection.
//
// # Usage
//
// Where responses are read with [http.ReadResponse]:
//
//	conn = framing.NewConn(conn) // The request is written to it too.
//	checked := framing.NewReader(conn)
//	reader := bufio.NewReader(checked)
//	checked.Expect(request.Method)
//	response, err := http.ReadResponse(reader, request)
//
// Where an [http.Transport] reads them:
//
//	client := &http.Client{Transport: framing.NewTransport(&http.Transport{})}
package framing

import (
	"io"
	"slices"
	"sync"
)

// MalformedError is returned for a response that is not a valid HTTP/1.1 message. Such a
// response states nothing about its request, which may have run.
type MalformedError struct{ breach string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.breach }

func malformed(breach string) error { return &MalformedError{breach: breach} }

// Reader reads the responses of one connection, and fails at the first octet that makes one
// malformed. It returns no octets beyond the end of a response until the next one is expected.
//
// Read must not be called concurrently with itself. Expect may be called during a Read.
type Reader struct {
	source io.Reader
	// unread has the octets that have arrived behind the end of a response.
	unread []byte

	mu      sync.Mutex
	scanner scanner
	// breach is returned by all reads once it is set.
	breach error
}

// NewReader returns a reader of the responses that arrive from source. Octets that arrive while
// no response is expected are returned without a check.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Expect states that the next response answers a request with the method. It has no effect while
// a response is incomplete, so that it may be called again after an informational response.
func (r *Reader) Expect(method string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scanner.expect(method)
}

// HasUnread reports whether octets have arrived behind the end of a response that no Read has
// returned. They belong to no request.
func (r *Reader) HasUnread() bool { return len(r.unread) > 0 }

// Err returns the [MalformedError] of the response, or nil if it is not malformed. net/http may
// return another error, because it takes what has arrived of a line for the whole line.
func (r *Reader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breach
}

// Read implements io.Reader. The error is a [MalformedError] if the response is malformed, and
// otherwise that of the source.
func (r *Reader) Read(b []byte) (n int, err error) {
	if len(r.unread) > 0 {
		n = copy(b, r.unread)
		r.unread = r.unread[n:]
	} else {
		n, err = r.source.Read(b)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.breach != nil {
		return 0, r.breach
	}
	if n == 0 || !r.scanner.isExpecting() {
		return n, err
	}
	scanned, breach := r.scanner.scan(b[:n])
	if breach != nil {
		r.breach = breach
		return 0, breach
	}
	if scanned < n {
		// The source returns its error again.
		r.unread, err = slices.Concat(b[scanned:n], r.unread), nil
	}
	return scanned, err
}
