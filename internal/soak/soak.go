// Package soak runs nodes as separate processes on loopback addresses, injects
// faults from outside them, and checks the promises of the users' pages while it
// runs, from what callers and backend servers see.
//
// # Usage
//
//	report, err := soak.Run(ctx, binaries, directory, soak.WithSeed(7), soak.WithTime(20*time.Second))
//	for _, promise := range report.Broken { ... }
//
// The seed decides which faults come when. What the processes make of them
// depends on the machine too, so a seed that has failed once need not fail again;
// the logs of the nodes and a list of the faults stay in the directory.
//
// # What is faked
//
// The log service, the backend servers and the callers are stand-ins within this
// process. Links (link.go) stand in front of each node, each backend server and
// the log. The nodes' clocks are those of the machine.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/internal/e2e"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/site"
)

// bounds are those of the users' first deployments.
var bounds = site.Bounds{
	Drain: 2500 * time.Millisecond, Grace: 6 * time.Second, ConfigApply: 2500 * time.Millisecond,
	RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 49,
}

const (
	// recoveryTime is how soon after the last fault goodShare of the requests must
	// be served again. The users' pages ask for a quarter within 15 s.
	recoveryTime = 15 * time.Second
	goodShare    = 0.95
	judgedTime   = 500 * time.Millisecond
	minJudged    = 20

	// settleTime bounds the start of the deployment.
	settleTime = 30 * time.Second

	routeTimeout = time.Second
	usualThink   = 20 * time.Millisecond
	callersPerVM = 3

	// bottom is the service that requests at the others call.
	bottom        = "dispatch"
	lorryRoute    = "lorry"
	versionPrefix = "version-"
)

var (
	services       = []string{"orders", "catalogue", bottom}
	customerRoutes = []route{
		{name: "book", service: "orders", once: true},
		{name: "look", service: "catalogue"},
		{name: "load", service: bottom, once: true},
	}
)

// versionRoute is the route that only one version of the desired state has.
func versionRoute(version int) route {
	return route{name: fmt.Sprintf("%s%d", versionPrefix, version), service: bottom}
}

func isVersionRoute(r route) bool { return strings.HasPrefix(r.name, versionPrefix) }

// Report is how a run ended.
type Report struct {
	// Requests, Served and Faults count what happened.
	Requests, Served, Faults int
	// Broken lists the promises that were broken, with the time since the start.
	Broken []string
	// Recovery is how long it took after the last fault until requests were served
	// again.
	Recovery time.Duration
}

// Option changes a run.
type Option func(*run)

// WithSeed sets the seed of the faults. The default is 1.
func WithSeed(seed uint64) Option { return func(r *run) { r.seed = seed } }

// WithTime sets for how long faults come. The default is 20 s.
func WithTime(d time.Duration) Option { return func(r *run) { r.length = d } }

// WithVMs sets the number of VMs. The default is 6.
func WithVMs(n int) Option { return func(r *run) { r.size = n } }

// run is one run of the soak.
type run struct {
	seed      uint64
	length    time.Duration
	size      int
	binaries  e2e.Binaries
	directory string

	log        *keyedlog.Log
	logAddress string
	ledger     *ledger
	vms        []*vm
	stop       chan struct{}
	loops      sync.WaitGroup

	// think is the mean pause between two requests of a caller, in nanoseconds.
	think atomic.Int64
	// spoiled is the share of answers that backend servers spoil, in percent.
	spoiled atomic.Int64
	// left has the time at which the leaving of an instance was acknowledged.
	left          sync.Map
	total, served atomic.Int64
	faults        atomic.Int64
	faultLog      *os.File

	mu             sync.Mutex
	version        int
	acked          time.Time
	storeActive    int
	storeDisturbed time.Time
}

// Run starts a deployment, disturbs it and checks it. The directory gets the
// settings and logs of the nodes. The error says that the run could not be made.
func Run(ctx context.Context, binaries e2e.Binaries, directory string, opts ...Option) (report Report, err error) {
	r := &run{
		seed: 1, length: 20 * time.Second, size: 6, binaries: binaries, directory: directory, log: keyedlog.New(),
		ledger: newLedger(time.Now()), stop: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(r)
	}
	defer func() { err = eris.Wrapf(err, "soak with seed %d", r.seed) }()
	r.think.Store(int64(usualThink))
	logServer := httptest.NewServer(r.log)
	defer logServer.Close()
	r.logAddress = logServer.Listener.Addr().String()
	defer func() {
		for _, v := range r.vms {
			v.close()
		}
	}()
	if r.faultLog, err = os.Create(filepath.Join(directory, "faults.log")); err != nil {
		return Report{}, err
	}
	defer r.faultLog.Close()
	r.publish()
	for n := range r.size {
		v, err := newVM(r, n+1, services[n%len(services)])
		if err != nil {
			return Report{}, err
		}
		r.vms = append(r.vms, v)
	}
	if err = r.settle(ctx); err != nil {
		return Report{}, err
	}
	r.load()
	newSchedule(r).play(ctx)
	report.Recovery = r.recover(ctx)
	close(r.stop)
	r.loops.Wait()
	b := budget{seconds: int(bounds.RetryWindow / time.Second), ratio: bounds.RetryRatio, slack: bounds.RetrySlack}
	report.Requests, report.Broken = r.ledger.result(b)
	report.Served, report.Faults = int(r.served.Load()), int(r.faults.Load())
	return report, ctx.Err()
}

func (r *run) ended() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// publish writes the next version of the desired state. Only that version has
// the route of its number.
func (r *run) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	routes := []operator.Route{{Name: lorryRoute, Service: bottom, Timeout: routeTimeout, Attempts: 2}}
	for n, c := range append(customerRoutes[:len(customerRoutes):len(customerRoutes)], versionRoute(r.version)) {
		routes = append(routes, operator.Route{
			Name: c.name, Service: c.service, Once: c.once, Timeout: routeTimeout, Attempts: 2, Priority: n,
		})
	}
	r.log.Put(operator.Topic, operator.Key, operator.Document(r.version, routes, services...))
	r.acked = time.Now()
}

// newest returns the newest version and when it was written.
func (r *run) newest() (version int, acked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.acked
}

// disturbStore marks the log as disturbed until the returned function is called.
func (r *run) disturbStore() (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeActive++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.storeActive--
		r.storeDisturbed = time.Now()
	}
}

func (r *run) storeCalmSince(at time.Time) (calm bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeActive == 0 && at.Sub(r.storeDisturbed) > stableWindow
}

// calmSince reports whether all VMs have been without unplanned disturbance for
// the stable window before the time, and until now.
func (r *run) calmSince(at time.Time) (calm bool) {
	for _, v := range r.vms {
		if !v.calmSince(at) {
			return false
		}
	}
	return true
}

// began notes the start of a fault, in a file beside the logs of the nodes.
func (r *run) began(name string) {
	r.faults.Add(1)
	if _, err := fmt.Fprintf(r.faultLog, "%s %s\n", time.Now().Format(time.RFC3339Nano), name); err != nil {
		r.ledger.broken("the fault %q can't be noted: %v", name, err)
	}
}

// count takes in the end of a customer request.
func (r *run) count(status int) {
	r.total.Add(1)
	if status == http.StatusOK {
		r.served.Add(1)
	}
}

// settle waits until all nodes are ready.
func (r *run) settle(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for _, v := range r.vms {
		for !operator.Ready(ctx, v.site.Listen.Ready) {
			if ctx.Err() != nil {
				return eris.Errorf("%s is not ready after %v", v.site.Node, settleTime)
			}
			time.Sleep(dialPause)
		}
	}
	return nil
}

// load starts the callers.
func (r *run) load() {
	for _, v := range r.vms {
		for n := range callersPerVM {
			name := fmt.Sprintf("%s-c%d", v.site.Node, n)
			random := rand.New(rand.NewPCG(r.seed, uint64(len(name)*1000+n)))
			r.loops.Go(func() { (&caller{vm: v}).run(name, random) })
		}
		r.loops.Go(func() { (&caller{vm: v}).probe(v.site.Node + "-p") })
	}
}

// recover waits until requests are served again, and returns how long it took.
func (r *run) recover(ctx context.Context) (took time.Duration) {
	began := time.Now()
	for ctx.Err() == nil {
		total, served := r.total.Load(), r.served.Load()
		time.Sleep(judgedTime)
		total, served = r.total.Load()-total, r.served.Load()-served
		took = time.Since(began)
		if total >= minJudged && float64(served) >= goodShare*float64(total) {
			return took
		}
		if took > recoveryTime {
			r.ledger.broken("%v after the last fault %d of %d requests are served", took, served, total)
			return took
		}
	}
	return took
}
