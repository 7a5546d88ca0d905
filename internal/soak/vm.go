package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/internal/e2e"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

const (
	slots            = 8
	announceInterval = 400 * time.Millisecond
	announceTimeout  = time.Second
	readyState       = "ready"
	// restartPause is the time from the end of a node's process to its restart.
	restartPause = 200 * time.Millisecond
	// stableWindow is how long a VM must be free of faults before time limits are
	// checked for it, as in the users' deployments.
	stableWindow = 3 * time.Second
)

// vm is a backend server and the node beside it, with links in front of the node,
// the backend server and the log service.
type vm struct {
	run      *run
	settings nodeconfig.Config
	// singleCore is true if the node runs on one core, where goroutines take turns in
	// another order than on many.
	singleCore bool
	// peerLink is the link from other nodes to this node. logLink and backendLink are
	// the links from this node to the log service and to the backend server.
	peerLink, logLink, backendLink *link
	nodeLog                        *os.File
	// closedIdleAt is when the node was last seen to close an idle connection, in Unix
	// nanoseconds.
	closedIdleAt atomic.Int64

	mu             sync.Mutex
	node           *e2e.Process
	nodeGeneration int
	exitExpected   bool
	server         *server.Server
	announcement   operator.Announcement
	stopAnnouncing chan struct{}
	// lastFault is when the latest fault ended. activeFaults counts the faults in
	// progress.
	lastFault    time.Time
	activeFaults int
	// serverIP is the IP of the backend server. It differs from that of the node, whose
	// ports are free while its process does not run.
	serverIP string
	// lastSwitch is when the node was last started or stopped.
	lastSwitch time.Time
	// lastGraceKill is when the node was last killed at the end of the grace period.
	lastGraceKill time.Time
}

func newVM(r *run, n int, service string) (v *vm, err error) {
	defer func() { err = eris.Wrapf(err, "start VM %d", n) }()
	regions := []string{"addis", "hawassa", "dire"}
	region := regions[n/3%len(regions)]
	zone := region + "-a"
	ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, n/200, 1+n%200)
	serverIP := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 100+n/200, 1+n%200)
	v = &vm{run: r, serverIP: serverIP, singleCore: n%2 == 0}
	if v.peerLink, err = newLink(ip+":0", ""); err != nil {
		return nil, err
	}
	if v.logLink, err = newLink(ip+":0", r.logAddress); err != nil {
		return nil, err
	}
	if v.backendLink, err = newLink(ip+":0", ""); err != nil {
		return nil, err
	}
	v.settings = nodeconfig.Config{
		Node: fmt.Sprintf("node-%d", n), Region: region, Zone: zone, Service: service, Backend: v.backendLink.address(),
		RegionOf: map[string]string{"addis-a": "addis", "hawassa-a": "hawassa", "dire-a": "dire"},
		Log:      v.logLink.address(), Bounds: bounds,
	}
	if err = e2e.SetPlatformAddresses(&v.settings, ip); err != nil {
		return nil, err
	}
	v.peerLink.setTarget(v.settings.Listen.Peer)
	if err = os.WriteFile(v.settingsPath(), operator.Settings(v.settings), 0o600); err != nil {
		return nil, err
	}
	if v.nodeLog, err = os.Create(filepath.Join(r.directory, v.settings.Node+".log")); err != nil {
		return nil, err
	}
	if err = v.startServer(fmt.Sprintf("i-%d-1", n)); err != nil {
		return nil, err
	}
	return v, v.startNode()
}

func (v *vm) settingsPath() string { return filepath.Join(v.run.directory, v.settings.Node+".conf") }

// startNode starts the process of the node, and restarts it whenever it ends.
func (v *vm) startNode() (err error) {
	command := exec.Command(v.run.binaries.Node(), "platform", "--advertise", v.peerLink.address())
	command.Env = append(os.Environ(), operator.SettingsVariable+"="+v.settingsPath())
	if v.singleCore {
		command.Env = append(command.Env, "GOMAXPROCS=1")
	}
	command.Stdout, command.Stderr = v.nodeLog, v.nodeLog
	if err = writeProcessStart(v.nodeLog); err != nil {
		return err
	}
	p, err := e2e.StartProcess(command)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.node, v.exitExpected, v.lastSwitch = p, false, time.Now()
	v.nodeGeneration++
	v.mu.Unlock()
	go v.restartNodeOnExit(p)
	return nil
}

// restartNodeOnExit restarts the node after its process has ended, as the platform
// does. An unexpected exit is a violation.
func (v *vm) restartNodeOnExit(p *e2e.Process) {
	<-p.Exited()
	v.mu.Lock()
	expected := v.exitExpected
	v.mu.Unlock()
	if v.run.stopped() {
		return
	}
	if !expected {
		v.run.ledger.recordViolation("%s exited unexpectedly: %v", v.settings.Node, p.Wait(context.Background()))
	}
	time.Sleep(restartPause)
	if v.run.stopped() {
		return
	}
	if err := v.startNode(); err != nil {
		v.run.ledger.recordViolation("%s could not be restarted: %v", v.settings.Node, err)
	}
}

// signal sends a signal to the node. terminates is true if the signal ends the process.
func (v *vm) signal(s syscall.Signal, terminates bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if terminates {
		v.exitExpected, v.lastSwitch = true, time.Now()
	}
	// The error is ignored because the process may just have ended.
	_ = v.node.Signal(s)
}

// stop terminates the node as the platform does: with SIGTERM, and with SIGKILL after
// the grace period.
func (v *vm) stop() {
	signalled := time.Now()
	v.mu.Lock()
	p := v.node
	v.mu.Unlock()
	v.signal(syscall.SIGTERM, true)
	select {
	case <-p.Exited():
	case <-time.After(bounds.Grace):
		if v.run.stableSince(signalled) {
			v.run.ledger.recordViolation("%s was still running %v after SIGTERM", v.settings.Node, bounds.Grace)
		}
		v.mu.Lock()
		v.lastGraceKill = time.Now()
		v.mu.Unlock()
		p.Kill()
	}
}

// kill terminates the node immediately, even while it is paused.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL, true)
}

// startServer starts a backend server as a new instance, and announces it periodically.
func (v *vm) startServer(instance string) (err error) {
	s, err := server.Start(v.serverIP+":0", instance)
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(v.run.seed, uint64(len(instance))))
	s.SetBehaviour(v.behaviourOf(random, instance))
	s.SetServiceTime(time.Duration(5+random.IntN(25)) * time.Millisecond)
	s.SetRunHook(v.callLeaf)
	v.backendLink.setTarget(s.Address())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.server, v.stopAnnouncing = s, make(chan struct{})
	v.announcement = operator.Announcement{
		Instance: instance, Service: v.settings.Service, Address: v.settings.Backend, Zone: v.settings.Zone, State: readyState,
		StartMs: time.Now().UnixMilli(), Slots: slots,
	}
	go v.announcePeriodically(v.stopAnnouncing)
	return nil
}

// behaviourOf returns a function that records the requests run by an instance, and
// selects a faulty response for a share of them, given by the run's faultyPercent.
func (v *vm) behaviourOf(random *rand.Rand, instance string) func(*http.Request) server.Behaviour {
	return func(r *http.Request) server.Behaviour {
		received := operator.ParseRequest(r)
		faultyPercent := v.run.faultyPercent.Load()
		// Faulty responses only affect the outcome of requests, so the VM still
		// counts as stable.
		behaviour := server.Answer
		if random.Int64N(100) < faultyPercent {
			behaviour = []server.Behaviour{
				server.LoseAnswer, server.CutAnswer, server.ExtraAnswer, server.Unsigned, server.MismatchedAnswer, server.Unframed, server.Fail, server.Shed,
				server.ShedTwice, server.ShedTwiceWithID, server.CutHead,
			}[random.IntN(11)]
		}
		if !behaviour.Refuses() {
			v.run.ledger.recordRun(received.ID, v.settings.Service, received.Caller)
			v.run.checkIdentity(received.ID, r.Header)
			v.checkDrained(instance, received.ID)
		}
		return behaviour
	}
}

// checkDrained reports a request that reached an instance later than the drain time
// after its node acknowledged that it is draining.
func (v *vm) checkDrained(instance, id string) {
	acked, ok := v.run.drainAckedAt.Load(instance)
	if !ok {
		return
	}
	if elapsed := v.run.delays.elapsed(acked.(time.Time)); elapsed > bounds.Drain {
		v.run.ledger.recordViolation("request %s reached instance %s %v after its draining was acknowledged", id, instance, elapsed)
	}
}

// callLeaf makes the child call of a running request: requests of all services except
// the leaf service call the leaf service.
func (v *vm) callLeaf(r *http.Request) (ok bool) {
	if v.settings.Service == leafService {
		return true
	}
	received := operator.ParseRequest(r)
	c := &caller{vm: v}
	defer c.close()
	return c.call(route{name: leafRoute, service: leafService}, v.run.ledger.nextCallID(received.ID), received.TimeLeft) == http.StatusOK
}

// announcePeriodically announces the backend server as ready until stop is closed.
func (v *vm) announcePeriodically(stop chan struct{}) {
	for {
		v.announce(readyState)
		select {
		case <-stop:
			return
		case <-time.After(announceInterval):
		}
		if v.run.stopped() {
			return
		}
	}
}

// announce sends one announcement. ok is true if the node acknowledged it. A backend server that
// has begun to drain is not announced as ready again.
func (v *vm) announce(state string) (ok bool) {
	v.mu.Lock()
	if state == readyState && v.announcement.State != readyState {
		v.mu.Unlock()
		return false
	}
	v.announcement.Sequence++
	v.announcement.State = state
	announcement := v.announcement
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	status, err := operator.Announce(ctx, v.settings.Listen.Announce, announcement)
	return err == nil && status == http.StatusOK
}

// replaceServer drains and deregisters the backend server, and starts its successor.
func (v *vm) replaceServer(number int) {
	v.mu.Lock()
	old, stopAnnouncing, instance := v.server, v.stopAnnouncing, v.announcement.Instance
	v.mu.Unlock()
	close(stopAnnouncing)
	for !v.run.stopped() {
		if v.announce("draining") {
			v.run.drainAckedAt.Store(instance, time.Now())
			break
		}
		time.Sleep(announceInterval)
	}
	old.Drain()
	// The backend server runs for longer than requests may still reach it, so that the log
	// may be restored and nodes be restarted meanwhile.
	time.Sleep(bounds.Drain + stableWindow)
	v.announce("")
	old.Close()
	if v.run.stopped() {
		return
	}
	if err := v.startServer(fmt.Sprintf("i-%s-%d", v.settings.Node, number)); err != nil {
		v.run.ledger.recordViolation("backend server of %s could not be started: %v", v.settings.Node, err)
	}
}

// beginFault marks the VM as faulty until the returned function is called.
func (v *vm) beginFault() (end func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.activeFaults++
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.activeFaults--
		v.lastFault = time.Now()
	}
}

// stableSince reports whether the VM has had no fault during the stable window before
// the time, or since.
func (v *vm) stableSince(since time.Time) (stable bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.activeFaults == 0 && since.Sub(v.lastFault) > stableWindow
}

// inTouch reports whether the VM had no fault during the stable window before the time, nor
// since, and its node was neither started nor stopped.
func (v *vm) inTouch(at time.Time) bool {
	v.mu.Lock()
	lastSwitch := v.lastSwitch
	v.mu.Unlock()
	return v.stableSince(at) && at.Sub(lastSwitch) > stableWindow
}

// undisturbedSince reports whether the node has not been killed or paused since the time,
// and none of its links has had a fault. Planned operations do not disturb a node.
func (v *vm) undisturbedSince(since time.Time) (undisturbed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.activeFaults == 0 && v.lastFault.Before(since) && v.lastGraceKill.Before(since)
}

// currentGeneration returns how many processes of the node have been started so far.
func (v *vm) currentGeneration() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.nodeGeneration
}

const linkCount = 3

func (v *vm) links() [linkCount]*link { return [linkCount]*link{v.peerLink, v.logLink, v.backendLink} }

func (v *vm) close() {
	v.mu.Lock()
	p, s := v.node, v.server
	v.mu.Unlock()
	if p != nil {
		// The end of a paused process is noticed only after the process has been continued.
		_ = p.Signal(syscall.SIGCONT)
		p.Kill()
	}
	if s != nil {
		s.Close()
	}
	for _, l := range v.links() {
		l.close()
	}
	v.nodeLog.Close()
}
