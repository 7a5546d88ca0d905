package framing

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an [http.RoundTripper] that fails a request whose response is malformed, and
// closes the connection. It checks responses that are read over TCP; those over TLS are left to
// net/http. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport with the options of base, but connections of its own.
func NewTransport(base *http.Transport) *Transport {
	base = base.Clone()
	dial := dialOf(base)
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		checked := NewConn(c)
		return &checkedConn{Conn: checked, responses: NewReader(checked)}, nil
	}
	return &Transport{base: base}
}

// NewDefaultTransport returns a transport with the options of [http.DefaultTransport].
func NewDefaultTransport() *Transport { return NewTransport(http.DefaultTransport.(*http.Transport)) }

// dialOf returns the function by which a transport opens TCP connections.
func dialOf(t *http.Transport) func(ctx context.Context, network, address string) (net.Conn, error) {
	if t.DialContext != nil {
		return t.DialContext
	}
	if dial := t.Dial; dial != nil { //nolint:staticcheck // Callers of the client library may still set it.
		return func(_ context.Context, network, address string) (net.Conn, error) { return dial(network, address) }
	}
	return (&net.Dialer{}).DialContext
}

// RoundTrip implements http.RoundTripper. Its error, or that of the response body, wraps a
// [MalformedError] if the response is malformed.
func (t *Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			c.responses.Expect(request.Method)
		}
	}}
	return t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// checkedConn checks the responses that are read from a connection.
type checkedConn struct {
	net.Conn
	responses *Reader
}

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (n int, err error) { return c.responses.Read(b) }
