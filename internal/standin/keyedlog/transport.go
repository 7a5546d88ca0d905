package keyedlog

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
)

// errDisconnected means that the log closed the connection without a response.
var errDisconnected = errors.New("the log closed the connection")

// Transport returns a transport that passes requests to the log without a network, so that
// tests with virtual time can use the log.
func (l *Log) Transport() http.RoundTripper { return transport{l} }

type transport struct{ log *Log }

// RoundTrip implements [http.RoundTripper].
func (t transport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	ctx, cancel := context.WithCancel(r.Context())
	answered := make(chan *http.Response, 1)
	go func() {
		defer cancel()
		// The log disconnects a client by a panic, as handlers of net/http do.
		defer func() { _ = recover() }()
		recorder := httptest.NewRecorder()
		t.log.ServeHTTP(recorder, r.WithContext(ctx))
		if ctx.Err() == nil {
			answered <- recorder.Result()
		}
	}()
	<-ctx.Done()
	select {
	case response = <-answered:
		return response, nil
	default:
	}
	if err = r.Context().Err(); err != nil {
		return nil, err
	}
	return nil, errDisconnected
}
