package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/membership"
	"github.com/lacewingslip/lacewingslip/settings"
)

const (
	// apiPrefix is the path prefix of all requests that are not calls.
	apiPrefix = "/lacewingslip/v1"

	// readHeaderTimeout and readTimeout bound how long a slow sender can occupy a
	// connection before it has sent a complete request.
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// serverIdleTimeout is longer than peerIdleTimeout, so that the sender closes
	// idle connections first.
	serverIdleTimeout = 90 * time.Second
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 32 << 10
)

// listeners are the open listeners of a node.
type listeners struct {
	caller, backend, peer, operator net.Listener
}

// newListeners opens all listeners of a node. If one of them can't be opened, it
// closes the others.
func newListeners(config Config) (l *listeners, err error) {
	opened := &listeners{}
	defer func() {
		if err != nil {
			opened.close()
		}
	}()
	for _, entry := range []struct {
		listener *net.Listener
		address  string
	}{
		{&opened.caller, config.listen.Caller},
		{&opened.backend, config.listen.Backend},
		{&opened.peer, config.listen.Peer},
		{&opened.operator, config.listen.Operator},
	} {
		if *entry.listener, err = net.Listen("tcp", entry.address); err != nil {
			return nil, err
		}
	}
	return opened, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.backend, l.peer, l.operator} {
		if listener != nil {
			listener.Close()
		}
	}
}

// servers are the HTTP servers of a node, one per address.
type servers struct {
	listeners                       *listeners
	caller, backend, peer, operator *http.Server
	serving                         sync.WaitGroup
	closing                         atomic.Bool
}

func newServers(l *listeners, i *ingress, e *egress, s *sidecar, b *backendServer, o *operatorAPI,
	gossip *membership.Gossip, follower *settings.Follower,
) *servers {
	caller, backend, peer := mux.NewRouter(), mux.NewRouter(), mux.NewRouter()
	for _, router := range []*mux.Router{caller, backend, peer} {
		// Paths are forwarded unchanged, because only the backend server can interpret them.
		router.SkipClean(true).UseEncodedPath()
	}
	caller.HandleFunc(apiPrefix+"/keys", i.issueKeys).Methods(http.MethodPost)
	routeCalls(caller, i)

	backend.HandleFunc(apiPrefix+"/keys", e.issueKeys).Methods(http.MethodPost)
	backend.HandleFunc(apiPrefix+"/announcement", b.announce).Methods(http.MethodPost)
	backend.HandleFunc(apiPrefix+"/announcement", b.deregister).Methods(http.MethodDelete)
	routeCalls(backend, e)

	peer.PathPrefix(apiPrefix + "/membership/").Handler(gossip.Handler())
	peer.PathPrefix(apiPrefix + "/settings/").Handler(follower.Handler())
	routeCalls(peer, s)

	servers := &servers{listeners: l, backend: newServer(backend), operator: newServer(o.router())}
	servers.caller = newServer(servers.closeAfterAnswer(caller, o.canRouteCalls))
	servers.peer = newServer(servers.closeAfterAnswer(peer, func() bool { return true }))
	return servers
}

// routeCalls routes every path outside the API to the handler for calls.
func routeCalls(router *mux.Router, handler http.Handler) {
	router.PathPrefix("/lacewingslip/").Handler(http.NotFoundHandler())
	router.PathPrefix("/{service}/").Handler(handler)
	router.Path("/{service}").Handler(handler)
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           hop.ResetIncomplete(handler),
		ConnContext:       hop.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (s *servers) start() {
	s.serve(s.caller, s.listeners.caller)
	s.serve(s.backend, s.listeners.backend)
	s.serve(s.peer, s.listeners.peer)
	s.serve(s.operator, s.listeners.operator)
}

func (s *servers) serve(server *http.Server, listener net.Listener) {
	s.serving.Go(func() {
		// Serve returns only when the server is shut down or its listener fails.
		_ = server.Serve(listener)
	})
}

// closeConnections closes each connection after its next answer, so that callers
// move to other nodes before the listener closes. Idle connections stay open,
// unlike with http.Server.SetKeepAlivesEnabled(false): a caller may be sending on
// one, and could not tell whether its call ran.
func (s *servers) closeConnections() { s.closing.Store(true) }

// closeAfterAnswer closes connections after their answer while the node is about
// to stop, or has just started and can't forward calls yet. The client library then
// prefers other nodes for a while.
func (s *servers) closeAfterAnswer(handler http.Handler, ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() || !ready() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// shutdown stops all servers except the one for callers, each after its requests in
// progress have ended. The server for the backend server stops after the one for
// other nodes, because calls in progress need it for their child calls.
func (s *servers) shutdown(ctx context.Context) (err error) {
	return errors.Join(s.peer.Shutdown(ctx), s.backend.Shutdown(ctx), s.operator.Shutdown(ctx))
}

// close closes the servers and aborts requests that are still in progress.
func (s *servers) close() {
	for _, server := range []*http.Server{s.caller, s.backend, s.peer, s.operator} {
		server.Close()
	}
	s.serving.Wait()
}
