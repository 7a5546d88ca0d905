package mesh

import (
	"io"
	"net"
	"strings"
	"time"

	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

// Ports of a node, as they are named in its budgets and in events.
const (
	callerPort   clientlimit.Port = "caller"
	peerPort     clientlimit.Port = "peer"
	announcePort clientlimit.Port = "announce"
	readyPort    clientlimit.Port = "ready"
	operatorPort clientlimit.Port = "operator"
)

const (
	// headBudgetRatio is the part of the memory of the process that the heads of requests may
	// take. It leaves room for garbage and for what the node itself needs.
	headBudgetRatio = 1.0 / 8
	// peerReserveRatio and controlReserveRatio are the parts of that budget that are kept
	// for other nodes and for each of announcements and readiness.
	peerReserveRatio, controlReserveRatio = 1.0 / 4, 1.0 / 16
	// requestLineBytes is how much a head may exceed the limit of its header section.
	requestLineBytes = 4 << 10
	// addedHeaderBytes is how much longer the head of a forwarded request may be than that of
	// a caller.
	addedHeaderBytes = 64 << 10
	// bodyRetryAfter is when a client whose body was turned away may try again.
	bodyRetryAfter = time.Second
	// refusalTimeout bounds the time for which a refusal waits to be written.
	refusalTimeout = time.Second
)

// Refusals that a connection sends itself, because net/http has not read the request.
const (
	refusalTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalTooSlow  = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalNoRoom   = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n"
)

// clientLimits are the limits of the clients of a node.
type clientLimits struct {
	// memory is the budget of heads, and bodies that of bodies.
	memory, bodies *clientlimit.Budget
	// answers is the budget of responses, or nil.
	answers *clientlimit.AnswerBudget
	// connections is the budget of connections, or nil.
	connections *clientlimit.ConnectionBudget
	// own is the limit of the node's own connections for requests, or nil.
	own      *hop.ConnectionLimit
	refusals *clientRefusals
	// current returns the limits of the desired state in force, which are zero if there are
	// none.
	current func() desired.Limits
}

func newClientLimits(settings nodeconfig.Config, d *desiredState, m *metrics.Metrics, events eventRecorder) *clientLimits {
	refusals := newClientRefusals(m, events)
	return &clientLimits{
		refusals:    refusals,
		own:         newOwnConnectionLimit(settings, func() { refusals.count(metrics.OwnConnectionRefused) }),
		memory:      newClientBudget(headBudgetRatio, settings),
		bodies:      newClientBudget(bodyBudgetRatio, settings),
		answers:     newAnswerBudget(settings),
		connections: newConnectionBudget(settings),
		current: func() desired.Limits {
			if state := d.current(); state != nil {
				return state.Limits()
			}
			return desired.Limits{}
		},
	}
}

// tick does the periodic work.
func (l *clientLimits) tick(now time.Time) {
	if l.answers != nil {
		l.answers.Tick(now)
	}
}

// newClientBudget returns a budget of a part of the memory of the process.
func newClientBudget(ratio float64, settings nodeconfig.Config) *clientlimit.Budget {
	budget := ratio * float64(settings.MemoryBytes)
	return clientlimit.NewBudget(int64(budget), map[clientlimit.Port]int64{
		peerPort: int64(budget * peerReserveRatio), announcePort: int64(budget * controlReserveRatio), readyPort: int64(budget * controlReserveRatio),
	})
}

// headBytes returns the limit of a head at the port.
func (l *clientLimits) headBytes(port clientlimit.Port) int64 {
	limit := int64(l.current().HeaderBytes)
	switch {
	case limit <= 0:
		return defaultHeaderBytes + requestLineBytes
	case port == callerPort:
		return limit + requestLineBytes
	default:
		return limit + addedHeaderBytes
	}
}

// headTimeout returns the limit of the time for a head at the port.
func (l *clientLimits) headTimeout(port clientlimit.Port) time.Duration {
	if limit := l.current().HeaderTimeout; port == callerPort && limit > 0 {
		return limit
	}
	return headerTimeout
}

// clientHead is what a connection knows of the head that arrives on it. The mutex of the
// connection guards it.
type clientHead struct {
	limits  *clientLimits
	port    clientlimit.Port
	account *clientlimit.Account
	head    clientlimit.Head
	// refusal is the answer to a head that is not read on, or "".
	refusal string
}

// open begins to follow the heads of a connection.
func (h *clientHead) open(limits *clientLimits, port clientlimit.Port, c *serverConn) {
	h.limits, h.port, h.account = limits, port, limits.memory.Open(port, c)
}

// scan follows bytes of a head and decides whether the connection reads on. It returns the
// connections to end in its place.
func (h *clientHead) scan(read []byte) (victims []*clientlimit.Account) {
	if h.limits == nil || h.refusal != "" || h.head.Ended() {
		return nil
	}
	h.head.Scan(read)
	if h.head.Bytes() > h.limits.headBytes(h.port) {
		h.refusal = refusalTooLarge
		return nil
	}
	victims, ok := h.account.Charge(h.head.Cost())
	if ok && h.head.Ended() {
		ok = h.account.Keep()
	}
	if !ok {
		h.refusal = refusalNoRoom
	}
	return victims
}

// endLate refuses a head of which a part has not arrived in time.
func (h *clientHead) endLate() {
	if h.limits != nil && h.refusal == "" && h.head.Bytes() > 0 && !h.head.Ended() {
		h.refusal = refusalTooSlow
	}
}

// keep protects the connection while its request runs.
func (h *clientHead) keep() {
	if h.limits != nil {
		h.account.Keep()
	}
}

// reset begins the head of the next request, and releases what the one before held.
func (h *clientHead) reset() {
	h.head = clientlimit.Head{}
	h.release()
}

func (h *clientHead) release() {
	if h.limits != nil {
		h.account.Release()
	}
}

// evict asks the connections to refuse the heads that arrive on them.
func evict(victims []*clientlimit.Account) {
	for _, victim := range victims {
		victim.Owner().(*serverConn).evict()
	}
}

// evict asks the reading goroutine to refuse the head that it reads.
func (c *serverConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return
	}
	c.head.refusal = refusalNoRoom
	// An error means that the connection has been closed already.
	_ = c.Conn.SetReadDeadline(longPast)
}

// refuse answers a head that is not read on and ends the connection. The request has not
// run, because net/http has not read it.
func (c *serverConn) refuse() (refused bool) {
	refusal, timeout := c.beginRefusal()
	if refusal == "" {
		return false
	}
	_ = c.SetWriteDeadline(time.Now().Add(timeout))
	// An error means that the client has disconnected.
	_, _ = io.WriteString(c.Conn, refusal)
	return true
}

// beginRefusal returns the refusal, or "" if there is none, and how long it may take to write. One
// in favour of another connection gets less: its client may not read earlier answers, and the
// descriptor is needed.
func (c *serverConn) beginRefusal() (refusal string, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.refusal == "" || !c.idle || c.ended {
		return "", 0
	}
	c.ended, c.refused = true, true
	if c.head.limits != nil {
		c.head.limits.refusals.countHead(c.head.refusal, c.client.evicted)
	}
	c.progress.statusLine, _, _ = strings.Cut(c.head.refusal, "\r\n")
	timeout = refusalTimeout
	if c.client.evicted {
		timeout = evictedCloseTimeout
	}
	return c.head.refusal, timeout
}

// headTimeout returns the limit of the time for a head.
func (c *serverConn) headTimeout() time.Duration {
	if c.head.limits == nil {
		return headerTimeout
	}
	return c.head.limits.headTimeout(c.head.port)
}

// SetReadDeadline implements net.Conn. net/http sets a deadline for a head by a fixed limit,
// which is replaced by that of the desired state.
func (c *serverConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && (c.head.refusal != "" || c.client.evicted) {
		return nil
	}
	if c.idle && c.head.port == callerPort && !t.IsZero() {
		t = time.Now().Add(c.headTimeout())
	}
	return c.Conn.SetReadDeadline(t)
}

// limitedListener accepts connections with the limits of clients.
type limitedListener struct {
	net.Listener
	limits *clientLimits
	port   clientlimit.Port
}

// Accept waits for the next connection for which there is room.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		conn, ok := c.(*serverConn)
		if !ok {
			return c, err
		}
		conn.head.open(l.limits, l.port, conn)
		if l.limits.admit(l.port, conn) {
			return c, err
		}
		conn.Close()
	}
}

// limitClients makes a server apply the limits of clients at a port.
func limitClients(limits *clientLimits, port clientlimit.Port) connectionsOption {
	return func(s *connections) { s.limits, s.port = limits, port }
}
