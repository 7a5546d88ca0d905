// Package soak runs nodes as separate processes on loopback addresses, injects
// faults from outside the processes, and meanwhile checks the guarantees that the
// users' requirements ask for, based on what callers and backend servers observe.
//
// # Usage
//
//	report, err := soak.Run(ctx, binaries, directory, soak.WithSeed(7), soak.WithDuration(20*time.Second))
//	for _, violation := range report.Violations { ... }
//
// The seed determines which faults are injected and when. Their effect also depends
// on the timing of the machine, so a seed that failed once may pass the next time.
// The directory keeps the logs of the nodes and a list of the faults.
//
// # Simulated parts
//
// The log service, the backend servers and the callers are stand-ins within this
// process. A link (link.go), a TCP proxy that can inject network faults, stands in
// front of each node and each backend server, and between each node and the log
// service. The nodes use the clock of the machine. Times at which this process could not
// run (delay.go) do not count toward the time limits of nodes.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/internal/e2e"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

// bounds are the limits in the users' first deployments, except for Revoke: it is shorter than the
// longest fault, so that nodes have to refuse requests with keys that may have been withdrawn.
var bounds = nodeconfig.Bounds{
	Drain: 2500 * time.Millisecond, Grace: 6 * time.Second, ConfigApply: 2500 * time.Millisecond,
	RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 49,
	FailClosed: true, Revoke: 2 * time.Second, CapWindow: 5 * time.Second, CapOver: 0.1, CapSlack: 20,
}

const (
	// Within recoveryTimeout after the last fault, minServedShare of the customer
	// requests in a recoveryWindow must be served. The users' requirements ask for
	// a quarter of the requests within 15 s.
	recoveryTimeout   = 15 * time.Second
	minServedShare    = 0.95
	recoveryWindow    = 500 * time.Millisecond
	minWindowRequests = 20

	// startTimeout is the maximum time until all nodes are ready.
	startTimeout = 30 * time.Second

	routeTimeout  = time.Second
	meanThinkTime = 20 * time.Millisecond
	callersPerVM  = 3
	// keptConnSeed keeps the random numbers of the kept connections apart from the others.
	keptConnSeed = 1 << 32
	// keyedSeed does so for the callers with keys.
	keyedSeed = 1 << 33

	// leafService is the service that the other services call. It calls none itself.
	leafService        = "dispatch"
	leafRoute          = "lorry"
	versionRoutePrefix = "version-"
)

var (
	services       = []string{"orders", "catalogue", leafService}
	customerRoutes = []route{
		{name: "book", service: "orders", atMostOnce: true},
		{name: "look", service: "catalogue"},
		{name: "load", service: leafService, atMostOnce: true},
	}
)

// versionRoute returns the route that exists only in the desired states with one version
// of the routes.
func versionRoute(version int) route {
	return route{name: fmt.Sprintf("%s%d", versionRoutePrefix, version), service: leafService}
}

func isVersionRoute(r route) bool { return strings.HasPrefix(r.name, versionRoutePrefix) }

// Report is the result of a run.
type Report struct {
	// Requests is the number of requests sent, including version probes and the calls
	// of backend servers. Served is the number of customer requests that were answered with status 200.
	// Faults is the number of faults and planned operations.
	Requests, Served, Faults int
	// Violations lists the violated guarantees, each with the time since the start.
	Violations []string
	// Recovery is the time from the last fault until enough requests were served
	// again.
	Recovery time.Duration
	// Capped is the largest number of requests of the workspace with a cap that were sent within
	// the window of caps and have run.
	Capped int
	// LongestDelay is the longest time for which this process could not run.
	LongestDelay time.Duration
}

// Option configures a run.
type Option func(*run)

// WithSeed sets the seed of the faults. The default is 1.
func WithSeed(seed uint64) Option { return func(r *run) { r.seed = seed } }

// WithDuration sets how long faults are injected. The default is 20 s.
func WithDuration(d time.Duration) Option { return func(r *run) { r.duration = d } }

// WithVMs sets the number of VMs. The default is 6.
func WithVMs(n int) Option { return func(r *run) { r.vmCount = n } }

// run is one run of the soak.
type run struct {
	seed      uint64
	duration  time.Duration
	vmCount   int
	binaries  e2e.Binaries
	directory string

	log        *keyedlog.Log
	logAddress string
	ledger     *ledger
	vms        []*vm
	stop       chan struct{}
	// afterFaults is true once the last fault is over.
	afterFaults atomic.Bool
	callers     sync.WaitGroup

	// thinkTime is the mean pause between two requests of a caller, in nanoseconds.
	thinkTime atomic.Int64
	// faultyPercent is the percentage of requests to which backend servers give a
	// faulty response.
	faultyPercent atomic.Int64
	// drainAckedAt maps each instance of a backend server to the time at which its
	// node acknowledged that it is draining.
	drainAckedAt                     sync.Map
	customerRequests, servedRequests atomic.Int64
	faultCount                       atomic.Int64
	faultLog                         *os.File
	delays                           delayMeter

	mu sync.Mutex
	// stateVersion is the version of the desired state. routesVersion is the version of
	// its routes, which were published at publishedAt.
	stateVersion, routesVersion int
	publishedAt                 time.Time
	idleLimit                   time.Duration
	activeLogFaults             int
	lastLogFault                time.Time
	// desiredState is the newest document of the operator, and written what the log has.
	// While logAway is true, nothing is written.
	desiredState []byte
	// withdrawnAt has, for each version of the routes whose key is withdrawn, when the log
	// acknowledged that.
	withdrawnAt map[int]time.Time
	written     written
	logAway     bool
	copies      []logCopy
	// loggedEpochs has the highest epoch of each node's records that the log had before
	// it was restored.
	loggedEpochs map[string]int64
	// readsEndAt is when reads that the log kept over a restore have ended at the latest.
	readsEndAt time.Time
}

// Run starts a deployment, injects faults and checks the guarantees. It writes the
// settings and logs of the nodes to the directory. Violated guarantees are part of the
// report; an error means that the run could not be carried out.
func Run(ctx context.Context, binaries e2e.Binaries, directory string, opts ...Option) (report Report, err error) {
	r := &run{
		seed: 1, duration: 20 * time.Second, vmCount: 6, binaries: binaries, directory: directory, log: keyedlog.New(),
		ledger: newLedger(time.Now()), stop: make(chan struct{}), idleLimit: maxIdleLimit,
		loggedEpochs: make(map[string]int64),
	}
	for _, opt := range opts {
		opt(r)
	}
	defer func() { err = eris.Wrapf(err, "soak with seed %d", r.seed) }()
	r.thinkTime.Store(int64(meanThinkTime))
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
	for n := range r.vmCount {
		v, err := newVM(r, n+1, services[n%len(services)])
		if err != nil {
			return Report{}, err
		}
		r.vms = append(r.vms, v)
	}
	if err = r.waitReady(ctx); err != nil {
		return Report{}, err
	}
	r.startCallers()
	r.callers.Go(r.copyLog)
	r.callers.Go(func() { r.delays.measure(r.stopped) })
	newSchedule(r).injectFaults(ctx)
	r.afterFaults.Store(true)
	lastFault := time.Now()
	report.Recovery = r.waitRecovered(ctx)
	r.checkRecords(ctx, lastFault)
	close(r.stop)
	r.callers.Wait()
	for _, v := range r.vms {
		if err = r.checkAcceptedVersions(v.settings.Node, v.nodeLog.Name()); err != nil {
			return Report{}, err
		}
	}
	b := retryBudget{seconds: int(bounds.RetryWindow / time.Second), ratio: bounds.RetryRatio, slack: bounds.RetrySlack}
	report.Capped = r.ledger.checkCap()
	report.Requests, report.Violations = r.ledger.result(b)
	report.LongestDelay = r.delays.longest()
	report.Served, report.Faults = int(r.servedRequests.Load()), int(r.faultCount.Load())
	return report, ctx.Err()
}

func (r *run) stopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// publish writes a desired state with the next version of the routes, which is the only
// one with the version route of its number.
func (r *run) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routesVersion++
	r.putDesiredState()
	r.publishedAt = time.Now()
}

// publishIdleLimit writes a desired state that differs from the latest one only in the
// idle limit.
func (r *run) publishIdleLimit(limit time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idleLimit = limit
	r.putDesiredState()
}

// putDesiredState writes the desired state with its next version. The caller holds the
// lock.
func (r *run) putDesiredState() {
	r.stateVersion++
	routes := []operator.Route{{Name: leafRoute, Service: leafService, Timeout: routeTimeout, Attempts: 2, Anonymous: true}}
	for n, c := range slices.Concat(customerRoutes, []route{versionRoute(r.routesVersion)}, keyedRoutes) {
		routes = append(routes, operator.Route{
			Name: c.name, Service: c.service, AtMostOnce: c.atMostOnce, Timeout: routeTimeout, Attempts: 2, Priority: n,
			Anonymous: !slices.Contains(keyedRoutes, c),
		})
	}
	r.desiredState = operator.EncodeDesiredStateWith(r.stateVersion, operator.Limits{IdleTimeout: r.idleLimit}, routes, services, keyedWorkspaces(r.routesVersion))
	r.writeDesiredState()
}

// currentIdleLimit returns the latest published idle limit.
func (r *run) currentIdleLimit() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idleLimit
}

// latestVersion returns the latest version of the routes and when it was published.
func (r *run) latestVersion() (version int, publishedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routesVersion, r.publishedAt
}

// beginLogFault marks the log service as faulty until the returned function is called.
func (r *run) beginLogFault() (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeLogFaults++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.activeLogFaults--
		r.lastLogFault = time.Now()
	}
}

// logStableSince reports whether the log service has had no fault during the stable
// window before the time, and none since.
func (r *run) logStableSince(since time.Time) (stable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeLogFaults == 0 && since.Sub(r.lastLogFault) > stableWindow
}

// stableSince reports whether no VM has had an unplanned fault during the stable
// window before the time, or since.
func (r *run) stableSince(since time.Time) (stable bool) {
	for _, v := range r.vms {
		if !v.stableSince(since) {
			return false
		}
	}
	return true
}

// recordFault counts a fault and appends its start to the fault log.
func (r *run) recordFault(name string) {
	r.faultCount.Add(1)
	if _, err := fmt.Fprintf(r.faultLog, "%s %s\n", time.Now().Format(time.RFC3339Nano), name); err != nil {
		r.ledger.recordViolation("write fault %q to the fault log: %v", name, err)
	}
}

// countResponse counts a finished customer request.
func (r *run) countResponse(status int) {
	r.customerRequests.Add(1)
	if status == http.StatusOK {
		r.servedRequests.Add(1)
	}
}

// waitReady waits until all nodes report that they are ready.
func (r *run) waitReady(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, v := range r.vms {
		for !operator.Ready(ctx, v.settings.Listen.Ready) {
			if ctx.Err() != nil {
				return eris.Errorf("%s did not become ready within %v", v.settings.Node, startTimeout)
			}
			time.Sleep(redialDelay)
		}
	}
	return nil
}

// startCallers starts the callers, the kept connections, the callers with keys and the version
// probe on each VM.
func (r *run) startCallers() {
	for number, v := range r.vms {
		for n := range callersPerVM {
			name := fmt.Sprintf("%s-c%d", v.settings.Node, n)
			random := rand.New(rand.NewPCG(r.seed, uint64(len(name)*1000+n)))
			r.callers.Go(func() { (&caller{vm: v}).run(name, random) })
		}
		for n := range keptConnsPerVM {
			name := fmt.Sprintf("%s-k%d", v.settings.Node, n)
			random := rand.New(rand.NewPCG(r.seed^keptConnSeed, uint64(number*keptConnsPerVM+n)))
			r.callers.Go(func() { (&caller{vm: v}).keepConn(name, random) })
		}
		for _, workspace := range []string{cappedWorkspace, rotatingWorkspace} {
			name := fmt.Sprintf("%s-%s", v.settings.Node, workspace)
			random := rand.New(rand.NewPCG(r.seed^keyedSeed, uint64(len(workspace)*1000+number)))
			r.callers.Go(func() { (&caller{vm: v}).callWithKeys(name, random, workspace) })
		}
		r.callers.Go(func() { (&caller{vm: v}).probeVersions(v.settings.Node + "-p") })
	}
}

// waitRecovered waits until enough requests are served again, and returns the time
// that this took.
func (r *run) waitRecovered(ctx context.Context) (elapsed time.Duration) {
	start := time.Now()
	for ctx.Err() == nil {
		total, served := r.customerRequests.Load(), r.servedRequests.Load()
		time.Sleep(recoveryWindow)
		total, served = r.customerRequests.Load()-total, r.servedRequests.Load()-served
		elapsed = time.Since(start)
		if total >= minWindowRequests && float64(served) >= minServedShare*float64(total) {
			return elapsed
		}
		if elapsed > recoveryTimeout {
			r.ledger.recordViolation("%v after the last fault only %d of %d requests were served", elapsed, served, total)
			return elapsed
		}
	}
	return elapsed
}
