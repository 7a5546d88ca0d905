package mesh

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/clientlimit"
	"github.com/lacewingslip/lacewingslip/metrics"
)

const (
	// bodyBudgetRatio is the part of the memory of the process that the bodies of requests
	// may take.
	bodyBudgetRatio = 3.0 / 16
	// growingBodyCost is the memory that a byte of a body takes whose buffer grows while it is
	// read. A body of a stated length takes that length from the start.
	growingBodyCost = 2
)

// errBodyRefused ends the reading of a body that was turned away. Its request has not run,
// because it is passed on only after its body, or the part that is held in memory.
var errBodyRefused = eris.New("the budget for request bodies or connections is used up")

// clientBody is the body of a request that is charged to the budget while it is read and held.
type clientBody struct {
	io.ReadCloser
	conn    *serverConn
	account *clientlimit.Account
	// stated is the length that is allocated at once, or 0.
	stated, read int64
	// forwarded is true if at most maxBufferedBytes are held, and the rest is streamed.
	forwarded, kept bool
}

// chargeBody returns a copy of the request whose body is charged. The original keeps its own
// body, by whose type net/http decides whether to read the rest of it before the response.
// release must be called when the request has been answered.
func (c *serverConn) chargeBody(r *http.Request) (charged *http.Request, release func()) {
	limits := c.head.limits
	if limits == nil || r.ContentLength == 0 {
		return r, func() {}
	}
	b := &clientBody{ReadCloser: r.Body, conn: c, account: limits.bodies.Open(c.head.port, bodyReader{c}), forwarded: c.head.port == callerPort || r.Header.Get(headerHop) != ""}
	if b.forwarded && r.ContentLength > 0 && r.ContentLength <= maxBufferedBytes {
		b.stated = r.ContentLength
	}
	copied := *r
	copied.Body = b
	c.beginBody(b)
	return &copied, func() {
		c.endBody()
		b.account.Release()
	}
}

// Read implements io.Reader.
func (b *clientBody) Read(p []byte) (n int, err error) {
	if b.kept {
		return b.ReadCloser.Read(p)
	}
	if b.read == 0 && !b.charge() {
		return 0, b.refuse()
	}
	n, err = b.ReadCloser.Read(p)
	b.read += int64(n)
	switch {
	case n > 0 && !b.charge():
		return 0, b.refuse()
	case err == io.EOF || b.forwarded && b.read >= maxBufferedBytes:
		b.kept = true
	case err == nil:
		return n, nil
	}
	if !b.account.Keep() {
		return 0, b.refuse()
	}
	b.conn.endBody()
	return n, err
}

// refuse counts that the body was turned away.
func (b *clientBody) refuse() error {
	b.conn.head.limits.refusals.count(metrics.BodyRefused)
	return errBodyRefused
}

func (b *clientBody) charge() (ok bool) {
	held := b.stated
	if held == 0 {
		held = growingBodyCost * b.read
	}
	victims, ok := b.account.Charge(held)
	for _, victim := range victims {
		victim.Owner().(bodyReader).evict()
	}
	return ok
}

// bodyReader is a connection from which a body is read.
type bodyReader struct{ *serverConn }

// evict ends the read of a body that has been turned away.
func (r bodyReader) evict() {
	// An error means that the connection has been closed already.
	_ = r.Conn.SetReadDeadline(longPast)
}

// bodyRefusal is the result of a request whose body was turned away.
func bodyRefusal() *result {
	res := notRunResult(call.ReasonOverloaded, errBodyRefused.Error())
	res.retryAfter = bodyRetryAfter
	return res
}
