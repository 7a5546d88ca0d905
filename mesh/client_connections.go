package mesh

import (
	"time"

	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

const (
	// fileDescriptors is the number of descriptors that are kept for files. A process with
	// fewer than twice as many keeps half of them.
	fileDescriptors = 200
	// acceptedRatio is the part of the other descriptors that connections of clients may take.
	// The rest is for connections to the backend server, other nodes and the log service.
	acceptedRatio = 3.0 / 4
	// forwardedRatio is the part of that rest that connections for requests may take. What is
	// left is kept for exchanges between nodes and for the log service.
	forwardedRatio = 3.0 / 4
	// noConnectionRetryAfter is when a client may try again whose request got no connection.
	noConnectionRetryAfter = time.Second
	// forwardingReserveRatio and controlPortReserveRatio are the parts of the budget that are
	// kept for each of callers and other nodes, and for each of the other ports.
	forwardingReserveRatio, controlPortReserveRatio = 1.0 / 4, 1.0 / 32
	// admissionTimeout bounds how long a new connection waits for another one to end.
	admissionTimeout = 100 * time.Millisecond
	// evictedCloseTimeout replaces clientCloseTimeout and refusalTimeout for a connection that
	// ends in favour of another. It is less than admissionTimeout.
	evictedCloseTimeout = 50 * time.Millisecond
)

// newConnectionBudget returns the budget of connections of clients, or nil if the settings
// have no limit of descriptors.
func newConnectionBudget(settings nodeconfig.Config) *clientlimit.ConnectionBudget {
	if settings.Descriptors <= 0 {
		return nil
	}
	limit := acceptedConnections(settings)
	forwarding, control := int(limit*forwardingReserveRatio), int(limit*controlPortReserveRatio)
	return clientlimit.NewConnectionBudget(int(limit), map[clientlimit.Port]int{
		callerPort: forwarding, peerPort: forwarding, announcePort: control, readyPort: control, operatorPort: control,
	}, headerTimeout)
}

// acceptedConnections returns how many connections of clients may be open at all ports.
func acceptedConnections(settings nodeconfig.Config) float64 {
	return acceptedRatio * socketDescriptors(settings)
}

// socketDescriptors returns the number of descriptors that are not kept for files.
func socketDescriptors(settings nodeconfig.Config) float64 {
	return float64(max(settings.Descriptors-fileDescriptors, settings.Descriptors/2))
}

// newOwnConnectionLimit returns the limit of the connections for requests to the backend server
// and to other nodes, or nil if the settings have no limit of descriptors. onRefused is called for
// each request that gets no connection.
func newOwnConnectionLimit(settings nodeconfig.Config, onRefused func()) *hop.ConnectionLimit {
	if settings.Descriptors <= 0 {
		return nil
	}
	return hop.NewConnectionLimit(int((1-acceptedRatio)*forwardedRatio*socketDescriptors(settings)), onRefused)
}

// clientConnection is what a connection holds of the budget of connections. The mutex of the
// connection guards it.
type clientConnection struct {
	// account is nil without a budget.
	account *clientlimit.Connection
	phase   clientlimit.Phase
	// evicted is true while the connection has been asked to end in favour of another. answered
	// is true if it ends with a refusal, so that it can't stay any more.
	evicted, answered bool
	// body is the body that arrives, or nil.
	body *clientBody
}

// enter records that the connection has entered a phase. A connection that has been asked to
// end stays, unless it ends with a refusal.
func (c *clientConnection) enter(phase clientlimit.Phase) {
	if c.account == nil || c.answered || phase == c.phase && !c.evicted {
		return
	}
	c.phase, c.evicted = phase, false
	c.account.Set(time.Now(), phase)
}

// admit waits until there is room for a new connection. ok is false if there is none.
func (l *clientLimits) admit(port clientlimit.Port, c *serverConn) (ok bool) {
	if l.connections == nil {
		return true
	}
	account := l.connections.Open(port, c)
	c.client.account = account
	timeout := time.NewTimer(admissionTimeout)
	defer timeout.Stop()
	for {
		admission := account.Admit(time.Now())
		switch admission.Verdict {
		case clientlimit.Admitted:
			account.Set(time.Now(), clientlimit.Waiting)
			return true
		case clientlimit.Refused:
			l.refusals.count(metrics.ConnectionRefused)
			return false
		case clientlimit.Pending:
		}
		if admission.Victim != nil {
			l.refusals.count(metrics.ConnectionEnded)
			admission.Victim.Owner().(*serverConn).endForAnother()
		}
		select {
		case <-admission.Changed:
		case <-timeout.C:
			l.refusals.count(metrics.ConnectionRefused)
			return false
		}
	}
}

// endForAnother ends the connection in favour of another one. As when it expires, the reading
// goroutine decides: a connection of which no part of a request has been read stays if bytes
// have arrived. A part of a request is refused.
func (c *serverConn) endForAnother() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The connection may have entered another phase since it was selected.
	if !c.client.account.IsLeaving() {
		return
	}
	c.client.evicted = true
	switch {
	case c.idle && (c.reading || c.head.head.Bytes() > 0):
		c.client.answered = true
		c.head.refusal = refusalNoRoom
		// An error means that the connection has been closed already.
		_ = c.Conn.SetReadDeadline(longPast)
	case c.idle:
		c.setExpired()
	case c.client.body != nil && c.client.body.account.Withdraw():
		c.client.answered = true
		bodyReader{c}.evict()
	default:
		c.client.enter(clientlimit.Running)
	}
}

// recordClientBytes records that bytes have arrived before the head of a request was complete.
// The mutex must be held.
func (c *serverConn) recordClientBytes() {
	switch {
	case c.head.head.Ended():
		c.client.enter(clientlimit.Running)
	case c.idleSince.IsZero():
		c.client.enter(clientlimit.Waiting)
	default:
		c.client.enter(clientlimit.Arriving)
	}
}

// beginBody records that the body of a request arrives.
func (c *serverConn) beginBody(b *clientBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.client.body = b
	c.client.enter(clientlimit.Arriving)
}

// endBody records that the body of a request has arrived, or that the request is answered
// without it.
func (c *serverConn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.client.body = nil
	c.client.enter(clientlimit.Running)
}

// closeClient returns the descriptor of a connection that has been closed.
func (c *serverConn) closeClient() {
	if c.client.account != nil {
		c.client.account.Close()
	}
}
