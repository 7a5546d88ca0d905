package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

const (
	callerWait = 2 * time.Second
	// lateSlack is how much later than the route's timeout the final answer may
	// come, and lossSlack how soon a connection that is closed without an answer
	// must end, as in the users' deployments.
	lateSlack = 500 * time.Millisecond
	lossSlack = 200 * time.Millisecond
	// dialPause follows a failed connection to a node that is away.
	dialPause = 30 * time.Millisecond
)

// route is a route of the desired state, as callers know it.
type route struct {
	name, service string
	once          bool
}

// caller sends requests to the node of its VM on one connection, which it keeps
// until the other side closes it.
type caller struct {
	vm     *vm
	conn   net.Conn
	reader *bufio.Reader
}

// run sends requests until the run ends.
func (c *caller) run(name string, random *rand.Rand) {
	defer c.close()
	for n := 0; !c.vm.run.ended(); n++ {
		chosen := customerRoutes[random.IntN(len(customerRoutes))]
		status := c.call(chosen, fmt.Sprintf("%s-%d", name, n), callerWait)
		c.vm.run.count(status)
		if status == 0 {
			time.Sleep(dialPause)
		}
		if think := c.vm.run.think.Load(); think > 0 {
			time.Sleep(time.Duration(random.Int64N(2 * think)))
		}
	}
}

// probe asks for the route of one version of the desired state after the other,
// and checks that versions come into force in time and never go back.
func (c *caller) probe(name string) {
	defer c.close()
	seen, life := 0, 0
	for n := 0; !c.vm.run.ended(); n++ {
		if now := c.vm.lifetime(); now != life {
			seen, life = 0, now
		}
		newest, acked := c.vm.run.newest()
		began := time.Now()
		status := c.call(versionRoute(newest), fmt.Sprintf("%s-%d", name, n), callerWait)
		same := c.vm.lifetime() == life
		switch {
		case !same:
		case status == http.StatusOK:
			seen = newest
		case status != http.StatusNotFound:
			// A refusal does not show which version is in force.
		case began.Sub(acked) > bounds.ConfigApply && c.vm.calmSince(acked) && c.vm.run.storeCalmSince(acked):
			c.vm.run.ledger.broken("%s has not version %d in force %v after it was written", c.vm.site.Node, newest, time.Since(acked))
		}
		if older := seen - 1; seen > 1 && same {
			status = c.call(versionRoute(older), fmt.Sprintf("%s-o%d", name, n), callerWait)
			if status == http.StatusOK && c.vm.lifetime() == life {
				c.vm.run.ledger.broken("%s went back from version %d to %d", c.vm.site.Node, seen, older)
			}
		}
		time.Sleep(probePause)
	}
}

const probePause = 50 * time.Millisecond

// call sends a request and checks what comes back. The status is 0 if no answer
// came.
func (c *caller) call(r route, id string, wait time.Duration) (status int) {
	l, v := c.vm.run.ledger, c.vm
	method := http.MethodGet
	if r.once {
		method = http.MethodPost
	}
	request, err := operator.Request(v.site.Listen.Caller, method, "/"+r.name+"/x", id, wait)
	if err != nil {
		l.broken("request %s: %v", id, err)
		return 0
	}
	l.sent(id, r.service, v.site.Service, r.once)
	began := time.Now()
	a, err := c.exchange(request, began.Add(wait+lateSlack))
	took := time.Since(began)
	var notSent *net.OpError
	switch timeout := net.Error(nil); {
	case errors.As(err, &notSent) && notSent.Op == "dial":
		return 0
	case errors.As(err, &timeout) && timeout.Timeout():
		if v.run.calmSince(began) {
			l.broken("request %s at %s had no answer within its %v", id, v.site.Node, wait)
		}
		return 0
	case err != nil:
		if v.run.calmSince(began) && (took > lossSlack || l.hasRun(id)) {
			l.broken("request %s at %s was cut off after %v: %v", id, v.site.Node, took, err)
		}
		return 0
	}
	if took > routeTimeout+lateSlack && v.run.calmSince(began) {
		l.broken("request %s at %s ended after %v", id, v.site.Node, took)
	}
	c.check(r, id, a)
	return a.status
}

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   string
	// last is true if the node closes the connection.
	last bool
}

// check looks at an answer.
func (c *caller) check(r route, id string, a answer) {
	l := c.vm.run.ledger
	switch status := a.status; {
	case status == http.StatusOK:
		if !operator.Signed(a.header) || operator.AnswerTo(a.header) != id || a.body != "answer of "+id {
			l.broken("request %s got an answer to %q with body %q", id, operator.AnswerTo(a.header), a.body)
		}
	case operator.Signed(a.header) && status < http.StatusInternalServerError:
		l.broken("request %s got status %d with a signature", id, status)
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		l.promised(id)
	case status == http.StatusNotFound && !isVersionRoute(r):
		l.broken("request %s on route %s got 404", id, r.name)
	}
}

// exchange sends a request on the kept connection and reads the whole answer.
func (c *caller) exchange(request *http.Request, until time.Time) (a answer, err error) {
	defer func() {
		if err != nil || a.last {
			c.close()
		}
	}()
	if c.conn == nil {
		dialer := net.Dialer{Deadline: until}
		if c.conn, err = dialer.DialContext(context.Background(), "tcp", request.URL.Host); err != nil {
			return answer{}, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	if err = c.conn.SetDeadline(until); err != nil {
		return answer{}, err
	}
	if err = request.Write(c.conn); err != nil {
		return answer{}, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body), response.Close}, err
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
