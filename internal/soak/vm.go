package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/internal/e2e"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
	"github.com/lacewingslip/lacewingslip/site"
)

const (
	slots            = 8
	announceInterval = 400 * time.Millisecond
	announceTimeout  = time.Second
	// restartPause is how long a process that has ended stays away.
	restartPause = 200 * time.Millisecond
	// stableWindow is how long a VM must be without disturbance until time bounds
	// hold for it, as in the users' deployments.
	stableWindow = 3 * time.Second
)

// vm is a backend server and the node beside it, with links in front of the node,
// the server and the log.
type vm struct {
	run  *run
	site site.Site
	// peer, store and backend are the links from other nodes, to the log, and to
	// the backend server.
	peer, store, backend *link
	log                  *os.File

	mu       sync.Mutex
	node     *e2e.Process
	life     int
	stopping bool
	server   *server.Server
	said     operator.Announcement
	leaving  chan struct{}
	// disturbed is when the last disturbance ended, or far in the future while
	// one goes on.
	disturbed time.Time
	active    int
}

func newVM(r *run, n int, service string) (v *vm, err error) {
	defer func() { err = eris.Wrapf(err, "start VM %d", n) }()
	regions := []string{"addis", "hawassa", "dire"}
	region := regions[n/3%len(regions)]
	zone := region + "-a"
	ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, n/200, 1+n%200)
	v = &vm{run: r}
	if v.peer, err = newLink(ip+":0", ""); err != nil {
		return nil, err
	}
	if v.store, err = newLink(ip+":0", r.logAddress); err != nil {
		return nil, err
	}
	if v.backend, err = newLink(ip+":0", ""); err != nil {
		return nil, err
	}
	free, err := loopback.FreeAddresses(ip, 5)
	if err != nil {
		return nil, err
	}
	_, text, err := net.SplitHostPort(free[4])
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return nil, err
	}
	v.site = site.Site{
		Node: fmt.Sprintf("node-%d", n), Region: region, Zone: zone, IP: ip, Service: service, Backend: v.backend.address(),
		RegionOf: map[string]string{"addis-a": "addis", "hawassa-a": "hawassa", "dire-a": "dire"},
		Listen:   site.Listen{Caller: free[0], Peer: free[1], Ready: free[2], Announce: free[3]},
		Log:      v.store.address(), FirstPort: port, LastPort: port, Bounds: bounds,
	}
	v.peer.point(v.site.Listen.Peer)
	if err = os.WriteFile(v.settingsPath(), operator.Settings(v.site), 0o600); err != nil {
		return nil, err
	}
	if v.log, err = os.Create(filepath.Join(r.directory, v.site.Node+".log")); err != nil {
		return nil, err
	}
	if err = v.startServer(fmt.Sprintf("i-%d-1", n)); err != nil {
		return nil, err
	}
	return v, v.startNode()
}

func (v *vm) settingsPath() string { return filepath.Join(v.run.directory, v.site.Node+".conf") }

// startNode starts the node's process.
func (v *vm) startNode() (err error) {
	command := exec.Command(v.run.binaries.Node(), "platform", "--advertise", v.peer.address())
	command.Env = append(os.Environ(), operator.SettingsVariable+"="+v.settingsPath())
	command.Stdout, command.Stderr = v.log, v.log
	p, err := e2e.StartProcess(command)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.node, v.stopping = p, false
	v.life++
	v.mu.Unlock()
	go v.watch(p)
	return nil
}

// watch starts the node again when it has ended, as the platform does.
func (v *vm) watch(p *e2e.Process) {
	<-p.Exited()
	v.mu.Lock()
	expected := v.stopping
	v.mu.Unlock()
	if v.run.ended() {
		return
	}
	if !expected {
		v.run.ledger.broken("%s ended by itself: %v", v.site.Node, p.Wait(context.Background()))
	}
	time.Sleep(restartPause)
	if v.run.ended() {
		return
	}
	if err := v.startNode(); err != nil {
		v.run.ledger.broken("%s does not start: %v", v.site.Node, err)
	}
}

// signal sends a signal to the node. ends is true for those that end it.
func (v *vm) signal(s syscall.Signal, ends bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopping = v.stopping || ends
	// A process that has just ended takes no signal.
	_ = v.node.Signal(s)
}

// stop ends the node as the platform does, with SIGKILL after the grace time.
func (v *vm) stop() {
	began := time.Now()
	v.mu.Lock()
	p := v.node
	v.mu.Unlock()
	v.signal(syscall.SIGTERM, true)
	select {
	case <-p.Exited():
	case <-time.After(bounds.Grace):
		if v.run.calmSince(began) {
			v.run.ledger.broken("%s was still there %v after SIGTERM", v.site.Node, bounds.Grace)
		}
		p.Kill()
	}
}

// kill ends the node at once, also while it is paused.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL, true)
}

// startServer starts a backend server of a new lifetime and announces it.
func (v *vm) startServer(instance string) (err error) {
	s, err := server.Start(v.site.IP+":0", instance)
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(v.run.seed, uint64(len(instance))))
	s.Behave(v.behave(random, instance))
	s.Work(time.Duration(5+random.IntN(25)) * time.Millisecond)
	s.During(v.callOthers)
	v.backend.point(s.Address())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.server, v.leaving = s, make(chan struct{})
	v.said = operator.Announcement{
		Instance: instance, Service: v.site.Service, Address: v.site.Backend, Zone: v.site.Zone, State: "ready",
		Born: time.Now().UnixMilli(), Slots: slots,
	}
	go v.keepAnnounced(v.leaving)
	return nil
}

// behave records the runs of a lifetime and spoils some answers while the run
// asks for it.
func (v *vm) behave(random *rand.Rand, instance string) func(*http.Request) server.Behaviour {
	return func(r *http.Request) server.Behaviour {
		sent := operator.Received(r)
		share := v.run.spoiled.Load()
		// Spoilt answers are a disturbance that shows in the outcome only.
		behaviour := server.Answer
		if random.Int64N(100) < share {
			behaviour = []server.Behaviour{
				server.LoseAnswer, server.CutAnswer, server.ExtraAnswer, server.Unsigned, server.OtherAnswer, server.Unframed, server.Fail, server.Shed,
			}[random.IntN(8)]
		}
		if behaviour != server.Shed {
			v.run.ledger.ran(sent.ID, v.site.Service, sent.Caller)
			v.checkDrain(instance, sent.ID)
		}
		return behaviour
	}
}

// checkDrain notes a request that came too late after the acknowledgement of the
// server's leaving.
func (v *vm) checkDrain(instance, id string) {
	if at, ok := v.run.left.Load(instance); ok && time.Since(at.(time.Time)) > bounds.Drain {
		v.run.ledger.broken("request %s reached %s %v after its leaving was acknowledged", id, instance, time.Since(at.(time.Time)))
	}
}

// callOthers makes the calls of a request that runs: those of orders and
// catalogue call the service at the bottom.
func (v *vm) callOthers(r *http.Request) (ok bool) {
	if v.site.Service == bottom {
		return true
	}
	sent := operator.Received(r)
	c := &caller{vm: v}
	defer c.close()
	return c.call(route{name: lorryRoute, service: bottom}, sent.ID+".1", sent.Left) == http.StatusOK
}

// keepAnnounced announces the server until it leaves.
func (v *vm) keepAnnounced(leaving chan struct{}) {
	for {
		v.announce("ready")
		select {
		case <-leaving:
			return
		case <-time.After(announceInterval):
		}
		if v.run.ended() {
			return
		}
	}
}

// announce sends one announcement. ok is true if it was acknowledged.
func (v *vm) announce(state string) (ok bool) {
	v.mu.Lock()
	v.said.Sequence++
	v.said.State = state
	said := v.said
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	status, err := operator.Announce(ctx, v.site.Listen.Announce, said)
	return err == nil && status == http.StatusOK
}

// replaceServer lets the backend server drain and leave, and starts the next one.
func (v *vm) replaceServer(lifetime int) {
	v.mu.Lock()
	old, leaving, instance := v.server, v.leaving, v.said.Instance
	v.mu.Unlock()
	close(leaving)
	for !v.run.ended() {
		if v.announce("draining") {
			v.run.left.Store(instance, time.Now())
			break
		}
		time.Sleep(announceInterval)
	}
	old.Drain()
	// It serves a little longer than requests may still reach it.
	time.Sleep(bounds.Drain + time.Second)
	v.announce("")
	old.Close()
	if v.run.ended() {
		return
	}
	if err := v.startServer(fmt.Sprintf("i-%s-%d", v.site.Node, lifetime)); err != nil {
		v.run.ledger.broken("backend server of %s does not start: %v", v.site.Node, err)
	}
}

// disturb marks the VM as disturbed until the returned function is called.
func (v *vm) disturb() (end func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.active++
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.active--
		v.disturbed = time.Now()
	}
}

// calmSince reports whether the VM has been without disturbance for the stable
// window before the time, and until now.
func (v *vm) calmSince(at time.Time) (calm bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.active == 0 && at.Sub(v.disturbed) > stableWindow
}

// lifetime numbers the node's processes.
func (v *vm) lifetime() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.life
}

const linksPerVM = 3

func (v *vm) links() [linksPerVM]*link { return [linksPerVM]*link{v.peer, v.store, v.backend} }

func (v *vm) close() {
	v.mu.Lock()
	p, s := v.node, v.server
	v.mu.Unlock()
	if p != nil {
		// A paused process can be killed, but its end is not noticed before it goes on.
		_ = p.Signal(syscall.SIGCONT)
		p.Kill()
	}
	if s != nil {
		s.Close()
	}
	for _, l := range v.links() {
		l.close()
	}
	v.log.Close()
}
