package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

const (
	callerTimeout = 2 * time.Second
	// deadlineSlack is how much later than the timeout of the route the final response
	// may arrive. abortLimit is the time within which a node must close the connection
	// if it closes it without a response. Both are as in the users' deployments.
	deadlineSlack = 500 * time.Millisecond
	abortLimit    = 200 * time.Millisecond
	// redialDelay is the pause after a request without a response, which is usual while
	// a node is down.
	redialDelay = 30 * time.Millisecond
	// keptConnsPerVM is the number of connections of a VM that are used again after
	// pauses.
	keptConnsPerVM = 48
	// Pauses within the idle limit are shorter than maxPauseShare of it. Late requests
	// are sent up to closeInterval after the limit, half of them up to aimSpread before
	// a multiple of closeInterval after the latest close of an idle connection, because
	// nodes look for idle connections periodically.
	maxPauseShare = 0.8
	closeInterval = 100 * time.Millisecond
	aimSpread     = time.Millisecond
	// Each second pause is up to maxRest instead, so that a short idle limit does not
	// overload the backend servers.
	maxRest = 2 * time.Second
	// One of splitHeadRatio requests on such a connection is sent in two pieces, with
	// up to maxHeadPause between them.
	splitHeadRatio = 4
	maxHeadPause   = 150 * time.Millisecond
)

// route is a route of the desired state, with the properties that callers use.
type route struct {
	name, service string
	atMostOnce    bool
}

// caller sends requests to the node of its VM on one persistent connection, and
// reconnects after the node has closed it.
type caller struct {
	vm     *vm
	conn   net.Conn
	reader *bufio.Reader
	// idleSince is when the last response on the connection ended.
	idleSince time.Time
	// headPause is the pause between the two pieces in which the head of the next
	// request is sent. If it is 0, the head is sent at once. headPaused is how long the
	// pause of the latest request took, which is longer on a busy machine.
	headPause, headPaused time.Duration
	// sent is true once the latest request has been written completely on a connection
	// that the node had not closed before.
	sent bool
	// identity is what the next request is sent with.
	identity identity
}

// run sends requests to random customer routes until the run ends.
func (c *caller) run(name string, random *rand.Rand) {
	defer c.close()
	for n := 0; !c.vm.run.stopped(); n++ {
		chosen := customerRoutes[random.IntN(len(customerRoutes))]
		status := c.call(chosen, fmt.Sprintf("%s-%d", name, n), callerTimeout)
		c.vm.run.countResponse(status)
		if status == 0 {
			time.Sleep(redialDelay)
		}
		if think := c.vm.run.thinkTime.Load(); think > 0 {
			time.Sleep(time.Duration(random.Int64N(2 * think)))
		}
	}
}

// keepConn sends requests on one persistent connection, with pauses that depend on the
// idle limit, until the last fault.
func (c *caller) keepConn(name string, random *rand.Rand) {
	defer c.close()
	for n := 0; !c.vm.run.afterFaults.Load(); n++ {
		c.call(customerRoutes[random.IntN(len(customerRoutes))], fmt.Sprintf("%s-%d", name, n), callerTimeout)
		c.headPause = 0
		if random.IntN(splitHeadRatio) == 0 {
			c.headPause = time.Duration(random.Int64N(int64(maxHeadPause)))
		}
		limit := c.vm.run.currentIdleLimit()
		late := limit + time.Duration(random.Int64N(int64(closeInterval)))
		var pause time.Duration
		switch choice := random.IntN(4); {
		case n%2 == 1:
			pause = time.Duration(random.Int64N(int64(maxRest)))
		case choice == 0:
			pause = time.Duration(random.Float64() * maxPauseShare * float64(limit))
		case choice == 1:
			c.awaitClose(late)
		case choice == 2:
			pause = late
		default:
			sinceClose := time.Since(time.Unix(0, c.vm.closedIdleAt.Load()))
			pause = limit + closeInterval - (sinceClose+limit)%closeInterval - c.headPause - time.Duration(random.Int64N(int64(aimSpread)))
		}
		select {
		case <-time.After(pause):
		case <-c.vm.run.stop:
		}
	}
}

// awaitClose waits up to the time for the node to close the idle connection, and records
// when it did.
func (c *caller) awaitClose(timeout time.Duration) {
	if c.conn == nil || c.conn.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	if _, err := c.reader.Peek(1); errors.Is(err, io.EOF) {
		c.vm.closedIdleAt.Store(time.Now().UnixNano())
	}
	c.close()
}

// probeVersions requests the route that only the latest version of the routes
// has, and checks that the node applies each version in time and never reverts to an
// earlier one. A restarted node may start with any version.
func (c *caller) probeVersions(name string) {
	defer c.close()
	inForce, generation := 0, 0
	for n := 0; !c.vm.run.stopped(); n++ {
		if current := c.vm.currentGeneration(); current != generation {
			inForce, generation = 0, current
		}
		latest, publishedAt := c.vm.run.latestVersion()
		start := time.Now()
		status := c.call(versionRoute(latest), fmt.Sprintf("%s-%d", name, n), callerTimeout)
		sameProcess := c.vm.currentGeneration() == generation
		newest, newestPublishedAt := c.vm.run.latestVersion()
		age := c.vm.run.delays.elapsed(newestPublishedAt) - c.vm.run.delays.elapsed(start)
		switch {
		case !sameProcess:
		case status == http.StatusOK:
			inForce = latest
		case status != http.StatusNotFound:
			// The response does not show which version is in force.
		case newest != latest:
			// The node may have applied a version that was published during the request.
		case inForce == latest:
			c.vm.run.ledger.recordViolation("%s reverted from version %d of the routes, the latest one", c.vm.settings.Node, inForce)
		case age > bounds.ConfigApply && c.mustHaveVersion(start, publishedAt):
			c.vm.run.ledger.recordViolation("%s has not applied version %d of the routes, published at %s%s",
				c.vm.settings.Node, latest, publishedAt.Format(time.StampMicro), c.vm.run.describeKeptReads(start))
		}
		// A restored log may have any earlier version.
		for _, previous := range []int{inForce - 1, inForce - 2 - n%maxLostVersions} {
			if previous < 1 || !sameProcess {
				continue
			}
			status = c.call(versionRoute(previous), fmt.Sprintf("%s-o%d-%d", name, n, previous), callerTimeout)
			if status == http.StatusOK && c.vm.currentGeneration() == generation {
				c.vm.run.ledger.recordViolation("%s reverted from version %d of the routes to %d", c.vm.settings.Node, inForce, previous)
			}
		}
		time.Sleep(probeInterval)
	}
}

// mustHaveVersion reports whether a version that was published in time before a request
// must be in force: there were no faults around its publication and since, or none during
// the stable window before the request.
func (c *caller) mustHaveVersion(start, publishedAt time.Time) bool {
	v := c.vm
	return v.stableSince(publishedAt) && v.run.logStableSince(publishedAt) || v.inTouch(start) && v.run.logStableSince(start)
}

const (
	probeInterval = 50 * time.Millisecond
	// Besides the version before the one in force, the probe requests another one of the
	// maxLostVersions before it, in turn.
	maxLostVersions = 4
)

// call sends a request and checks the response. The status is 0 if there was no
// response.
func (c *caller) call(r route, id string, timeout time.Duration) (status int) {
	l, v := c.vm.run.ledger, c.vm
	method := http.MethodGet
	if r.atMostOnce {
		method = http.MethodPost
	}
	request, err := operator.Request(v.settings.Listen.Caller, method, "/"+r.name+"/x", id, timeout)
	if err != nil {
		l.recordViolation("create request %s: %v", id, err)
		return 0
	}
	l.recordSent(id, r.service, v.settings.Service, r.atMostOnce)
	if c.identity != (identity{}) {
		operator.AddKey(request, c.identity.key())
		l.recordIdentity(id, c.identity)
	}
	start := time.Now()
	connection := c.describeConn()
	resp, err := c.roundTrip(request, start, timeout+deadlineSlack)
	// The time limits apply from the last piece of the head.
	elapsed := v.run.delays.elapsed(start.Add(c.headPaused))
	stable, undisturbed := v.run.stableSince(start), v.undisturbedSince(start)
	var dialError *net.OpError
	switch timeoutError := net.Error(nil); {
	case errors.As(err, &dialError) && dialError.Op == "dial":
		return 0
	case errors.As(err, &timeoutError) && timeoutError.Timeout():
		// Beside faults of other VMs, the time left of a child call is too short to tell a
		// request without an answer from one that is answered late.
		if (stable || undisturbed && timeout >= callerTimeout) && elapsed >= timeout+deadlineSlack {
			l.recordViolation("request %s to %s had no response within its timeout of %v", id, v.settings.Node, timeout)
		}
		return 0
	case err != nil:
		failure := fmt.Sprintf("the connection to %s failed after %v, sent at %s on %s, latest idle limit %v: %v",
			v.settings.Node, elapsed, start.Format(time.StampMicro), connection, v.run.currentIdleLimit(), err)
		// The node can only close a connection late that it had not closed before. A write
		// fails if it had.
		if stable && c.sent && elapsed > abortLimit {
			l.recordViolation("request %s: %s", id, failure)
		}
		if stable || undisturbed {
			l.recordUnanswered(id, failure)
		}
		return 0
	}
	if elapsed > routeTimeout+deadlineSlack && stable {
		l.recordViolation("request %s to %s was answered late, after %v", id, v.settings.Node, elapsed)
	}
	c.checkResponse(r, id, resp)
	return resp.status
}

// response is the part of an HTTP response that is checked.
type response struct {
	status int
	header http.Header
	body   string
	// closes is true if the node closes the connection after the response.
	closes bool
}

// checkResponse checks that a response belongs to the request, and that its status and
// signature fit together.
func (c *caller) checkResponse(r route, id string, resp response) {
	l := c.vm.run.ledger
	switch status := resp.status; {
	case status == http.StatusOK:
		if !operator.Signed(resp.header) || operator.AnsweredRequestID(resp.header) != id || resp.body != "answer of "+id {
			l.recordViolation("request %s got a wrong or unsigned response, for request %q, with body %q", id, operator.AnsweredRequestID(resp.header), resp.body)
		}
	case operator.Signed(resp.header) && status < http.StatusInternalServerError:
		l.recordViolation("request %s got status %d signed by a backend server", id, status)
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		l.recordNotRun(id)
	case status == http.StatusNotFound && !isVersionRoute(r):
		l.recordViolation("request %s on route %s got 404", id, r.name)
	}
}

// roundTrip sends a request on the persistent connection and reads the whole response, which
// must begin within the limit after the start. A pause in the head extends the limit.
func (c *caller) roundTrip(request *http.Request, start time.Time, limit time.Duration) (resp response, err error) {
	defer func() {
		if err != nil || resp.closes {
			c.close()
		}
	}()
	c.headPaused, c.sent = 0, false
	deadline := start.Add(limit)
	if c.conn == nil {
		dialer := net.Dialer{Deadline: deadline}
		if c.conn, err = dialer.DialContext(context.Background(), "tcp", request.URL.Host); err != nil {
			return response{}, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	if err = c.conn.SetDeadline(deadline); err != nil {
		return response{}, err
	}
	if err = c.write(request, deadline); err != nil {
		return response{}, err
	}
	if err = c.awaitResponse(start.Add(c.headPaused), limit); err != nil {
		return response{}, err
	}
	httpResponse, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return response{}, err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	c.idleSince = time.Now()
	return response{httpResponse.StatusCode, httpResponse.Header, string(body), httpResponse.Close}, err
}

// awaitResponse waits for the begin of the response, up to the limit after the start without
// the delays of this process. Reads fail after the deadline even if the response has arrived
// in time and this process could not run since.
func (c *caller) awaitResponse(start time.Time, limit time.Duration) (err error) {
	for {
		if _, err = c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		unread, open := peek(c.conn)
		left := limit - c.vm.run.delays.elapsed(start)
		switch {
		case unread || !open:
			left = limit
		case left <= 0:
			return err
		}
		if err = c.conn.SetDeadline(time.Now().Add(left)); err != nil {
			return err
		}
	}
}

// describeConn returns how long the connection has been idle, for messages.
func (c *caller) describeConn() string {
	if c.conn == nil {
		return "a new connection"
	}
	return fmt.Sprintf("a connection idle for %v", time.Since(c.idleSince))
}

// write writes a request without a body.
func (c *caller) write(request *http.Request, deadline time.Time) (err error) {
	var head bytes.Buffer
	if err = request.Write(&head); err != nil {
		return err
	}
	if c.headPause > 0 {
		if _, err = c.conn.Write(head.Next(head.Len() / 2)); err != nil {
			return err
		}
		pausedAt := time.Now()
		time.Sleep(c.headPause)
		c.headPaused = time.Since(pausedAt)
		if err = c.conn.SetDeadline(deadline.Add(c.headPaused)); err != nil {
			return err
		}
	}
	closed := hasClosed(c.conn)
	if _, err = c.conn.Write(head.Bytes()); err != nil {
		return err
	}
	c.sent = !closed
	return nil
}

// hasClosed reports whether the other side has closed the connection.
func hasClosed(c net.Conn) (closed bool) {
	_, open := peek(c)
	return !open
}

// peek reports whether bytes have arrived that were not read yet, and whether the other side
// has not closed the connection.
func peek(c net.Conn) (unread, open bool) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return false, true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false, true
	}
	return hop.Peek(raw)
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
