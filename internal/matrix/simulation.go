package matrix

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/routing"
)

const (
	callTimeout       = time.Second
	callerTimeout     = 1500 * time.Millisecond
	pauseDuration     = 3 * time.Second
	slowDelay         = 2500 * time.Millisecond
	logFaultDuration  = 4 * time.Second
	restartDelay      = 300 * time.Millisecond
	lateDelay         = 10 * time.Second
	veryLateDelay     = 100 * time.Second
	keyValidity       = 30 * time.Second
	tickInterval      = 5 * time.Second
	serviceTime       = 50 * time.Millisecond
	refusalPeriod     = time.Second
	cellDuration      = 130 * time.Second
	callerKeyValidity = 10 * time.Minute
)

const service = "orders"

var nodeNames = []string{"n1", "n2", "n3"}

var (
	errKilled      = errors.New("process was killed")
	errLost        = errors.New("connection lost")
	errUnreachable = errors.New("connection refused")
	errTimeout     = errors.New("deadline exceeded")
)

// process is a process that faults can kill or pause.
type process struct {
	kind string
	node *node

	mu          sync.Mutex
	killed      chan struct{}
	pausedUntil time.Time
}

func newProcess(kind string, n *node) *process {
	return &process{kind: kind, node: n, killed: make(chan struct{})}
}

func (p *process) isKilled() bool {
	select {
	case <-p.killed:
		return true
	default:
		return false
	}
}

func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isKilled() {
		close(p.killed)
	}
}

func (p *process) pause(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = until
}

// awaitRunning waits while the process is paused and fails if it was killed. The
// jitter makes goroutines that wait for the same process continue in an order that
// depends on the seed only.
func (p *process) awaitRunning(jitter time.Duration) error {
	for {
		p.mu.Lock()
		wait := time.Until(p.pausedUntil)
		p.mu.Unlock()
		if p.isKilled() {
			return errKilled
		}
		if wait <= 0 {
			return nil
		}
		select {
		case <-time.After(wait + jitter):
		case <-p.killed:
		}
	}
}

// node is a simulated node with its backend server. A restart of either process
// replaces the current instance or the backend process.
type node struct {
	sim  *simulation
	name string

	mu      sync.Mutex
	current *instance
	backend *process
}

// instance is one incarnation of a node's process.
type instance struct {
	*node
	proc        *process
	incarnation uint64
	ledger      *ablatedLedger
	claims      *booking.Claims
	routes      *routing.Table
	draining    bool
}

func (n *node) instance() *instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

func (n *node) backendProcess() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.backend
}

func (n *node) start(incarnation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := &instance{node: n, proc: newProcess("node", n), incarnation: incarnation}
	i.ledger = newAblatedLedger(n.sim.disabled, incarnation)
	i.claims = n.sim.newClaims(i)
	i.routes = n.sim.newRoutes(n)
	n.current = i
}

// message is one request or answer with the effects of faults on it.
type message struct {
	label           string
	main            bool // part of the main booking, into which faults are injected
	cut             bool
	delay           time.Duration
	duplicateDelays []time.Duration
}

// simulation holds the processes of one cell.
type simulation struct {
	cell     Cell
	seed     uint64
	disabled Mechanism
	start    time.Time
	log      *Log
	nodes    []*node
	wg       sync.WaitGroup

	mu           sync.Mutex
	logProc      *process
	fired        []bool
	passedOnce   bool // a point with two equal injections was reached once
	logDownUntil time.Time
	logSlowUntil time.Time
	runLabels    map[string][]string // labels of the requests that ran, by booking
}

func newSimulation(c Cell, seed uint64, disabled Mechanism) *simulation {
	sim := &simulation{
		cell:      c,
		seed:      seed,
		disabled:  disabled,
		start:     time.Now(),
		log:       NewLog(0, nil),
		logProc:   newProcess("log", nil),
		fired:     make([]bool, len(c.Injections)),
		runLabels: map[string][]string{},
	}
	for i, name := range nodeNames {
		n := &node{sim: sim, name: name}
		n.backend = newProcess("backend", n)
		n.start(uint64(i+1) << 32)
		sim.nodes = append(sim.nodes, n)
	}
	return sim
}

func (sim *simulation) newClaims(i *instance) *booking.Claims {
	return booking.NewClaims(&nodeLog{sim: sim, proc: i.proc, skipBefore: sim.skippedOffsets()},
		booking.WithValidity(callerKeyValidity), booking.WithLogTimeout(callTimeout/2), booking.WithRandom(rand.New(rand.NewPCG(sim.seed, sim.hash(i.name)))))
}

// newRoutes returns a routing table that prefers the next node in the list: it is
// the only one in the zone of the table.
func (sim *simulation) newRoutes(n *node) *routing.Table {
	next := nodeNames[(slices.Index(nodeNames, n.name)+1)%len(nodeNames)]
	random := rand.New(rand.NewPCG(sim.seed, sim.hash(n.name+"/routes")))
	table := routing.New("addis", next, routing.WithRandom(random))
	var upstreams []routing.Upstream
	for _, name := range nodeNames {
		upstreams = append(upstreams, routing.Upstream{Node: name, Region: "addis", Zone: name, Slots: 50})
	}
	table.Replace(time.Now(), service, upstreams)
	return table
}

func (sim *simulation) node(name string) *node {
	for _, n := range sim.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// messageDelay returns the transmission time of a message, from 0.1 to 2.1 ms. It
// depends only on the seed and the label, and two messages rarely have the same.
func (sim *simulation) messageDelay(label string) time.Duration {
	return 100*time.Microsecond + time.Duration(sim.hash(label)%uint64(2*time.Millisecond))
}

func (sim *simulation) hash(label string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(label), sim.seed))
}

// injectFaults is called at each point. It applies the faults that are due there,
// and returns an error if the process was killed.
func (sim *simulation) injectFaults(step Step, side Side, p *process, m *message) error {
	jitter := sim.messageDelay(m.label + step.String())
	if err := p.awaitRunning(jitter); err != nil {
		return err
	}
	// Goroutines that the same event has woken continue at different times, so that
	// their order does not depend on the scheduler.
	time.Sleep(jitter / 10)
	if m.main {
		for n, i := range sim.cell.Injections {
			if i.Step == step && i.Side == side && sim.fire(n) {
				sim.applyFault(i, p, m)
			}
		}
	}
	return p.awaitRunning(jitter)
}

// fire reports whether the injection with the index n is due. Each injection is due
// once. Of two equal ones, the second is due when the booking reaches the point for
// the second time.
func (sim *simulation) fire(n int) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	equal := n == 1 && sim.cell.Injections[0] == sim.cell.Injections[1]
	if equal && !sim.passedOnce {
		sim.passedOnce = true
		return false
	}
	if sim.fired[n] {
		return false
	}
	sim.fired[n] = true
	return true
}

func (sim *simulation) applyFault(i Injection, p *process, m *message) {
	now := time.Now()
	switch i.Fault {
	case Kill:
		sim.kill(p, m)
	case Pause:
		p.pause(now.Add(pauseDuration))
	case Cut:
		m.cut = true
	case Slow:
		m.delay += slowDelay
	case Duplicate:
		m.duplicateDelays = append(m.duplicateDelays, 3*time.Millisecond)
	case Late:
		m.duplicateDelays = append(m.duplicateDelays, lateDelay)
	case VeryLate:
		m.duplicateDelays = append(m.duplicateDelays, veryLateDelay)
	case LogOutage:
		sim.startLogFault(&sim.logDownUntil, now)
	case LogSlowdown:
		sim.startLogFault(&sim.logSlowUntil, now)
	case Drain:
		p.node.drain()
	case ColdStart:
		sim.node("n3").resetClaims()
	case SettingsRace:
		sim.raceSettings()
	default:
	}
}

func (sim *simulation) kill(p *process, m *message) {
	switch p.kind {
	case "caller":
		m.cut = true
	case "log":
		sim.startLogFault(&sim.logDownUntil, time.Now())
	case "backend":
		p.kill()
		sim.wg.Go(func() {
			time.Sleep(restartDelay)
			p.node.mu.Lock()
			defer p.node.mu.Unlock()
			p.node.backend = newProcess("backend", p.node)
		})
	default:
		p.kill()
		sim.wg.Go(func() {
			time.Sleep(restartDelay)
			p.node.start(p.node.instance().incarnation + 1)
		})
	}
}

func (sim *simulation) startLogFault(until *time.Time, now time.Time) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	*until = now.Add(logFaultDuration)
}

func (n *node) drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current.draining = true
}

func (n *node) resetClaims() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current.claims = n.sim.newClaims(n.current)
}

// raceSettings simulates two operators who change the validity of keys: one shortens
// it to 1 s, and 5 s later the other extends it to 1 h.
func (sim *simulation) raceSettings() {
	sim.setKeyValidity(time.Second)
	sim.wg.Go(func() {
		time.Sleep(5 * time.Second)
		sim.setKeyValidity(time.Hour)
	})
}

func (sim *simulation) setKeyValidity(validity time.Duration) {
	for _, n := range sim.nodes {
		n.instance().ledger.SetValidity(validity)
	}
}

// tickLedgers has the ledgers discard expired keys periodically, as nodes do.
func (sim *simulation) tickLedgers() {
	for time.Since(sim.start) < cellDuration {
		time.Sleep(tickInterval)
		for _, n := range sim.nodes {
			n.instance().ledger.Tick(time.Now())
		}
	}
}
