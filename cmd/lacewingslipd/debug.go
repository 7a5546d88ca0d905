package main

import (
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/rotisserie/eris"
)

// debugHeaderTimeout limits the time that a client may take to send the request headers.
const debugHeaderTimeout = 5 * time.Second

// startDebugServer serves profiles of this process at the address, which must be a loopback
// address with a port, since profiles show what the process holds. It does nothing if the
// address is empty.
func startDebugServer(address string) (server *http.Server, err error) {
	defer func() { err = eris.Wrapf(err, "serve profiles at %q", address) }()
	if address == "" {
		return &http.Server{ReadHeaderTimeout: debugHeaderTimeout}, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, eris.New("expected a loopback IP address with a port")
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	handler := http.NewServeMux()
	handler.HandleFunc("/debug/pprof/", pprof.Index)
	handler.HandleFunc("/debug/pprof/profile", pprof.Profile)
	server = &http.Server{Addr: listener.Addr().String(), Handler: handler, ReadHeaderTimeout: debugHeaderTimeout}
	// Serve returns only when the server is closed or its listener fails.
	go func() { _ = server.Serve(listener) }()
	return server, nil
}
