package mesh

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/timeline"
)

const (
	// headerTimeout limits the time that a client may take to send the request headers. At
	// the caller port, a limit of the desired state replaces it.
	headerTimeout = 5 * time.Second
	// defaultHeaderBytes limits the head of a request if the desired state has no limit.
	defaultHeaderBytes = 64 << 10
	// maxHeaderBytes is the limit of net/http, which can't change while a server is open. The
	// connections apply the limit in force, see [clientLimits].
	maxHeaderBytes = 1 << 20
	// peerServerIdleTimeout is how long the server for other nodes keeps an idle
	// connection. It is longer than peerIdleTimeout, so that the client side closes
	// first and no request is sent on a connection that the server is closing.
	peerServerIdleTimeout = peerIdleTimeout + 10*time.Second
	// metricsPath is the Prometheus scrape endpoint.
	metricsPath = "/metrics"
)

// listeners holds the open listeners of a node.
type listeners struct {
	caller, peer, ready, announce, operator net.Listener
}

// newListeners opens a listener on each address of the node. If one of them
// fails, it closes the others.
func newListeners(settings nodeconfig.Config) (l *listeners, err error) {
	opened := &listeners{}
	defer func() {
		if err != nil {
			opened.close()
		}
	}()
	operator := net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort))
	for _, open := range []struct {
		listener *net.Listener
		address  string
	}{
		{&opened.caller, settings.Listen.Caller},
		{&opened.peer, settings.Listen.Peer},
		{&opened.ready, settings.Listen.Ready},
		{&opened.announce, settings.Listen.Announce},
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

// servers holds the HTTP servers of a node, one per listener.
type servers struct {
	listeners *listeners
	all       []*http.Server
	caller    *http.Server
	// callerConnections and peerConnections are the connections of callers and of other
	// nodes.
	callerConnections, peerConnections *connections
	// controlConnections are the connections to the other ports.
	controlConnections []*connections
	limits             *clientLimits
	running            sync.WaitGroup
}

func newServers(l *listeners, i *ingress, peer *peerHandler, a *announcementHandler, lc *lifecycle, m *metrics.Metrics, events *timeline.Recorder, limits *clientLimits) *servers {
	s := &servers{listeners: l, caller: newServer(i), limits: limits}
	version := peer.desired.version
	s.callerConnections, l.caller = trackConnections(s.caller, l.caller, withConnectionEvents(events, metrics.Ingress, version), limitClients(limits, callerPort),
		startAhead(&pipelining{repeatable: i.isRepeatable, handler: lc.trackActive(i)}))
	peers := newServer(peer)
	peers.IdleTimeout = peerServerIdleTimeout
	s.peerConnections, l.peer = trackConnections(peers, l.peer, withConnectionEvents(events, metrics.Sidecar, version), limitClients(limits, peerPort))

	ready := mux.NewRouter()
	ready.HandleFunc(platform.ReadyPath, lc.serveReadiness).Methods(http.MethodGet)
	announce := mux.NewRouter()
	announce.Handle(platform.AnnouncePath, a).Methods(http.MethodPost)
	operator := mux.NewRouter()
	operator.Handle(metricsPath, m.Handler()).Methods(http.MethodGet)
	operator.Handle(timeline.EventsPath, events.Handler()).Methods(http.MethodGet)
	operator.HandleFunc(desired.StatePath, peer.desired.serveDocument).Methods(http.MethodGet)
	s.all = []*http.Server{s.caller, peers, newServer(ready), newServer(announce), newServer(operator)}
	for n, control := range []struct {
		listener *net.Listener
		port     clientlimit.Port
	}{{&l.ready, readyPort}, {&l.announce, announcePort}, {&l.operator, operatorPort}} {
		var open *connections
		open, *control.listener = trackConnections(s.all[2+n], *control.listener, withConnectionEvents(events, metrics.Hop(control.port), version), limitClients(limits, control.port))
		s.controlConnections = append(s.controlConnections, open)
	}
	errorLog := log.New(serverErrorWriter{events}, "", 0)
	for _, server := range s.all {
		server.ErrorLog = errorLog
	}
	return s
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// serverErrorWriter records the messages of net/http as events.
type serverErrorWriter struct{ events eventRecorder }

// Write implements io.Writer.
func (w serverErrorWriter) Write(message []byte) (n int, err error) {
	w.events.Record(event.ServerError, attrDetail(strings.TrimSpace(string(message))))
	return len(message), nil
}

func (s *servers) start() {
	for n, listener := range s.listeners.all() {
		s.running.Go(func() {
			// Serve returns only when the server is closed or its listener fails.
			_ = s.all[n].Serve(listener)
		})
	}
}

// drain stops accepting callers and other nodes, closes each of their connections once its
// request has been answered, and waits until all are closed or the deadline has passed. A
// connection with a part of a request is closed after connectionDrainTimeout.
func (s *servers) drain(deadline time.Time) {
	unreadDeadline := time.Now().Add(connectionDrainTimeout)
	s.listeners.caller.Close()
	s.listeners.peer.Close()
	for {
		callersInUse, callers := s.callerConnections.closeIdle()
		peersInUse, peers := s.peerConnections.closeIdle()
		now := time.Now()
		if callers+peers == 0 || now.After(deadline) || callersInUse+peersInUse == 0 && now.After(unreadDeadline) {
			return
		}
		follow.Pause(context.Background(), drainPollInterval)
	}
}

// close closes the servers and aborts the requests in progress.
func (s *servers) close() {
	s.callerConnections.abort()
	s.peerConnections.abort()
	for _, open := range s.controlConnections {
		open.abort()
	}
	for _, server := range s.all {
		server.Close()
	}
	s.running.Wait()
}

// peerHandler serves requests and state exchanges of other nodes.
type peerHandler struct {
	sidecar  *sidecar
	exchange *exchange
	desired  *desiredState
	proofs   *proofs
	events   eventRecorder
	router   *mux.Router
	// active counts the forwarded requests in progress.
	active *atomic.Int64
}

func newPeerHandler(s *sidecar, e *exchange, c *caps, q *levelQuestions, d *desiredState, proofs *proofs, events *timeline.Recorder, l *lifecycle) *peerHandler {
	p := &peerHandler{sidecar: s, exchange: e, desired: d, proofs: proofs, events: events, router: mux.NewRouter(), active: &l.active}
	p.router.Handle(exchangePath, e).Methods(http.MethodPost)
	p.router.Handle(quotaPath, c).Methods(http.MethodHead)
	p.router.HandleFunc(jsonQuotaPath, c.serveJSON).Methods(http.MethodPost)
	p.router.Handle(levelsPath, q).Methods(http.MethodPost)
	return p
}

// ServeHTTP runs forwarded requests, and routes all others, such as state
// exchanges, by path. A forwarded request is recognized by headerHop and not by
// its path, which is the path that the caller chose.
func (p *peerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerHop) == "" {
		p.router.ServeHTTP(w, r)
		return
	}
	p.active.Add(1)
	defer p.active.Add(-1)
	req, version, err := readRequest(r, time.Now())
	if err != nil {
		p.recordNotRead(r, err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req.body, req.stream, err = readBody(r, 0)
	if errors.Is(err, errBodyRefused) {
		p.recordNotRead(r, err)
		w.Header().Set("Connection", "close")
		// An error means that the sender has disconnected.
		_ = writeResult(w, req.id, bodyRefusal(), p.desired.version())
		return
	}
	if err != nil {
		// The sender disconnected and does not wait for a response.
		p.recordNotRead(r, err)
		panic(http.ErrAbortHandler)
	}
	req.setFingerprint()
	p.exchange.quarantine.mergeEvidenceOn(req.fingerprint, req.evidence)
	p.exchange.fetchIfNewerAt(r.RemoteAddr, version)
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline.Add(responseGrace/2))
	defer cancel()
	res := p.sidecar.run(ctx, req)
	if p.sidecar.stopping.Load() {
		// The sender would lose a request that it sends when this node closes the
		// connection.
		w.Header().Set("Connection", "close")
	}
	req.announceUnreadBody(w)
	// The age is determined before the version: it holds for all later versions.
	res.proofAge = p.proofs.statedAge()
	if err = writeResult(w, req.id, res, p.desired.version()); err != nil && !errors.Is(r.Context().Err(), context.Canceled) {
		p.events.Record(event.AnswerCut, attrRequest(req.id), attrHop(metrics.Sidecar), attrDetail(err.Error()))
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	req.closeBody(w)
}

// recordNotRead records that a request of another node could not be read.
func (p *peerHandler) recordNotRead(r *http.Request, err error) {
	p.events.Record(event.CallNotRun, attrRequest(platform.RequestID(r.Header)), attrHop(metrics.Sidecar), attrReason(call.ReasonBadRequest), attrDetail(err.Error()))
}
