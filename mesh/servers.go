package mesh

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/site"
	"github.com/lacewingslip/lacewingslip/timeline"
)

const (
	// headerTimeout bounds the time in which a caller sends a header, where the
	// desired state does not say.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// peerServerIdle is longer than the time for which nodes keep connections to
	// others, so that no request crosses the end of one.
	peerServerIdle = peerIdle + 10*time.Second
	// metricsPath serves the counters and histograms.
	metricsPath = "/metrics"
)

// listeners are the open addresses of a node.
type listeners struct {
	caller, peer, ready, announce, operator net.Listener
}

// newListeners opens all addresses, or none.
func newListeners(place site.Site) (l *listeners, err error) {
	opened := &listeners{}
	defer func() {
		if err != nil {
			opened.close()
		}
	}()
	operator := net.JoinHostPort(place.IP, strconv.Itoa(place.FirstPort))
	for _, open := range []struct {
		listener *net.Listener
		address  string
	}{
		{&opened.caller, place.Listen.Caller},
		{&opened.peer, place.Listen.Peer},
		{&opened.ready, place.Listen.Ready},
		{&opened.announce, place.Listen.Announce},
		{&opened.operator, operator},
	} {
		config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: false}}
		if *open.listener, err = config.Listen(context.Background(), "tcp", open.address); err != nil {
			return nil, eris.Wrapf(err, "listen on %s", open.address)
		}
	}
	return opened, nil
}

func (l *listeners) all() []net.Listener {
	return []net.Listener{l.caller, l.peer, l.ready, l.announce, l.operator}
}

func (l *listeners) close() {
	for _, listener := range l.all() {
		if listener != nil {
			listener.Close()
		}
	}
}

// servers are the HTTP servers of a node, one per address.
type servers struct {
	listeners *listeners
	all       []*http.Server
	caller    *http.Server
	idle      *idleConnections
	serving   sync.WaitGroup
}

func newServers(l *listeners, i *ingress, peer *peerHandler, a *announcements, life *life, m *metrics.Metrics, events *timeline.Recorder, d *desired) *servers {
	s := &servers{listeners: l, idle: newIdleConnections(d)}
	s.caller = newServer(i)
	s.caller.ConnState = s.idle.observe
	peers := newServer(peer)
	peers.IdleTimeout = peerServerIdle

	ready := mux.NewRouter()
	ready.HandleFunc(platform.ReadyPath, life.serveReady).Methods(http.MethodGet)
	announce := mux.NewRouter()
	announce.Handle(platform.AnnouncePath, a).Methods(http.MethodPost)
	operator := mux.NewRouter()
	operator.Handle(metricsPath, m.Handler()).Methods(http.MethodGet)
	operator.Handle(timeline.Path, events.Handler()).Methods(http.MethodGet)
	s.all = []*http.Server{s.caller, peers, newServer(ready), newServer(announce), newServer(operator)}
	return s
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func (s *servers) start() {
	for n, listener := range s.listeners.all() {
		s.serving.Go(func() {
			// Serve returns only when the server is closed or its listener fails.
			_ = s.all[n].Serve(listener)
		})
	}
}

// close cuts off whatever is still in progress.
func (s *servers) close() {
	for _, server := range s.all {
		server.Close()
	}
	s.serving.Wait()
}

// idleConnections closes the connections of callers that stay idle for longer
// than the desired state allows. The limit changes while connections are open,
// which net/http's own timeout can't follow.
type idleConnections struct {
	desired *desired

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConnections(d *desired) *idleConnections {
	return &idleConnections{desired: d, since: make(map[net.Conn]time.Time)}
}

func (i *idleConnections) observe(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// sweep closes the connections that have been idle for too long.
func (i *idleConnections) sweep(now time.Time) {
	state := i.desired.current()
	if state == nil || state.Limits().IdleTimeout <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > state.Limits().IdleTimeout {
			c.Close()
			delete(i.since, c)
		}
	}
}

// peerHandler takes requests and messages of other nodes.
type peerHandler struct {
	sidecar  *sidecar
	exchange *exchange
	desired  *desired
	events   recorder
	router   *mux.Router
}

func newPeerHandler(s *sidecar, e *exchange, d *desired, events *timeline.Recorder) *peerHandler {
	p := &peerHandler{sidecar: s, exchange: e, desired: d, events: events, router: mux.NewRouter()}
	p.router.Handle(exchangePath, e).Methods(http.MethodPost)
	return p
}

// ServeHTTP tells requests to carry from messages between nodes by the headers:
// their paths are the callers' own.
func (p *peerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerHop) == "" {
		p.router.ServeHTTP(w, r)
		return
	}
	in, version, err := readRequest(r, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	in.header.Del("Content-Length")
	if in.body, in.stream, err = readBody(w, r, 0); err != nil {
		// The sender broke off; it does not wait for an answer.
		panic(http.ErrAbortHandler)
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		if sender, ok := p.exchange.balancer.at(host); ok {
			p.exchange.heard(sender, version)
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), in.deadline.Add(answerGrace/2))
	defer cancel()
	end := p.sidecar.run(ctx, in)
	if err = writeReply(w, in.id, end, p.desired.version()); err != nil && !errors.Is(r.Context().Err(), context.Canceled) {
		p.events.Record(event.AnswerCut, attrRequest(in.id), attrHop(metrics.Sidecar), attrDetail(err.Error()))
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
