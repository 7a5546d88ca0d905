package mesh

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
	"github.com/lacewingslip/lacewingslip/site"
)

// deployment is a small system on loopback addresses: the log's stand-in, and
// nodes with a stand-in backend server each.
type deployment struct {
	t       *testing.T
	log     *keyedlog.Log
	logAddr string
	places  []*place
	version int
}

// place is a VM with a backend server and a node.
type place struct {
	site   site.Site
	node   *Node
	server *server.Server
	born   int64
	said   int64
}

// hosts numbers the loopback addresses, so that tests do not share ports.
var hosts atomic.Int64

func newDeployment(t *testing.T, services ...string) *deployment {
	t.Helper()
	d := &deployment{t: t, log: keyedlog.New()}
	logServer := httptest.NewServer(d.log)
	t.Cleanup(logServer.Close)
	d.logAddr = logServer.Listener.Addr().String()
	d.publish(once("once"), safe("safe"))
	for _, service := range services {
		d.add(service)
	}
	d.settle()
	return d
}

// once and safe are routes to orders whose requests may run once, or repeatedly.
func once(name string) operator.Route {
	return operator.Route{Name: name, Service: "orders", Once: true, Timeout: time.Second, Attempts: 2}
}

func safe(name string) operator.Route {
	return operator.Route{Name: name, Service: "orders", Timeout: time.Second, Attempts: 2}
}

// publish puts a new version of the desired state into the log.
func (d *deployment) publish(routes ...operator.Route) {
	d.version++
	d.log.Put(operator.Topic, operator.Key, d.state(routes...))
}

func (d *deployment) state(routes ...operator.Route) []byte {
	return operator.Document(d.version, routes, "orders")
}

// add starts a VM.
func (d *deployment) add(service string) *place {
	d.t.Helper()
	n := hosts.Add(1)
	ip := fmt.Sprintf("127.0.%d.%d", 10+n/200, 1+n%200)
	s, err := server.Start(ip+":0", fmt.Sprintf("i-%d", n))
	must.NoError(d.t, err)
	d.t.Cleanup(s.Close)
	p := &place{server: s, born: time.Now().UnixMilli()}
	free, err := loopback.FreeAddresses(ip, 5)
	must.NoError(d.t, err)
	p.site = site.Site{
		Node: fmt.Sprintf("node-%d", n), Region: "addis", Zone: "addis-a", IP: ip, Service: service, Backend: s.Address(),
		RegionOf: map[string]string{"addis-a": "addis", "dire-a": "dire"},
		Listen:   site.Listen{Caller: free[0], Peer: free[1], Ready: free[2], Announce: free[3]},
		Log:      d.logAddr,
		Bounds: site.Bounds{
			Drain: time.Second, Grace: 2 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
		},
	}
	_, port, err := net.SplitHostPort(free[4])
	must.NoError(d.t, err)
	_, err = fmt.Sscan(port, &p.site.FirstPort)
	must.NoError(d.t, err)
	p.site.LastPort = p.site.FirstPort
	d.places = append(d.places, p)
	d.start(p)
	d.announce(p, "ready")
	return p
}

// start runs the node of a VM.
func (d *deployment) start(p *place) {
	d.t.Helper()
	n, err := New(p.site)
	must.NoError(d.t, err)
	must.NoError(d.t, n.Start(context.Background()))
	p.node = n
	d.t.Cleanup(func() { kill(n) })
}

// kill ends a node without a planned stop.
func kill(n *Node) {
	n.life.parts.servers.close()
	n.life.cancel()
	n.life.loops.Wait()
}

func (p *place) instance() string {
	return "i-" + strings.TrimPrefix(p.site.Node, "node-")
}

// announce sends an announcement of the backend server to its node. A state of
// "" signs off.
func (d *deployment) announce(p *place, state string) {
	d.t.Helper()
	p.said++
	status, err := operator.Announce(d.t.Context(), p.site.Listen.Announce, operator.Announcement{
		Instance: p.instance(), Service: p.site.Service, Address: p.site.Backend, Zone: p.site.Zone, State: state,
		Born: p.born, Sequence: p.said, Slots: 8,
	})
	must.NoError(d.t, err)
	must.Eq(d.t, http.StatusOK, status)
}

// settle waits until all nodes know each other and the desired state.
func (d *deployment) settle() {
	d.t.Helper()
	eventually(d.t, func() bool {
		for _, p := range d.places {
			if int(p.node.life.parts.desired.version()) != d.version || !d.knows(p) {
				return false
			}
		}
		return true
	})
}

// knows reports whether a node may send to all others whose server takes work.
func (d *deployment) knows(p *place) bool {
	table := p.node.life.parts.directory.(*fleet.Directory).Table()
	for _, other := range d.places {
		m, ok := table.Get(other.site.Node)
		if !ok || m.TakesWork != other.node.life.parts.announcements.tracker.Server().TakesWork() {
			return false
		}
	}
	return true
}

func eventually(t *testing.T, what func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(what), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
}

// result is what a caller sees.
type result struct {
	status int
	body   string
	header http.Header
	err    error
}

// call sends a request of a caller to the node of the VM.
func (d *deployment) call(p *place, method, path, id string) (r result) {
	request, err := operator.Request(p.site.Listen.Caller, method, path, id, 2*time.Second)
	must.NoError(d.t, err)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, body: string(body), header: response.Header, err: err}
}

// runs returns how often a request ran at all backend servers.
func (d *deployment) runs(id string) (runs int) {
	for _, p := range d.places {
		runs += p.server.Runs(id)
	}
	return runs
}
