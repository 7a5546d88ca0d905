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
	callTimeout    = time.Second
	callerTimeout  = 1500 * time.Millisecond
	pauseTime      = 3 * time.Second
	slowTime       = 2500 * time.Millisecond
	logFaultTime   = 4 * time.Second
	restartTime    = 300 * time.Millisecond
	lateTime       = 10 * time.Second
	veryLateTime   = 100 * time.Second
	keyValidity    = 30 * time.Second
	tickTime       = 5 * time.Second
	serviceTime    = 50 * time.Millisecond
	refusingTime   = time.Second
	cellTime       = 130 * time.Second
	callerValidity = 10 * time.Minute
)

const service = "orders"

var nodeNames = []string{"n1", "n2", "n3"}

var (
	errDead        = errors.New("process is dead")
	errLost        = errors.New("connection lost")
	errUnreachable = errors.New("no connection")
	errTimeout     = errors.New("deadline passed")
)

// process is what a fault kills or freezes.
type process struct {
	kind string
	node *node

	mu     sync.Mutex
	dead   chan struct{}
	frozen time.Time
}

func newProcess(kind string, n *node) *process {
	return &process{kind: kind, node: n, dead: make(chan struct{})}
}

func (p *process) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isDead() {
		close(p.dead)
	}
}

func (p *process) freeze(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = until
}

// ready waits while the process is frozen and fails once it is dead. What waits
// goes on at slightly different times, so that its order follows from the seed.
func (p *process) ready(jitter time.Duration) error {
	for {
		p.mu.Lock()
		wait := time.Until(p.frozen)
		p.mu.Unlock()
		if p.isDead() {
			return errDead
		}
		if wait <= 0 {
			return nil
		}
		select {
		case <-time.After(wait + jitter):
		case <-p.dead:
		}
	}
}

// node is a VM's place in the wiring: its current instance is replaced when the
// process restarts.
type node struct {
	world *world
	name  string

	mu      sync.Mutex
	current *instance
	backend *process
}

// instance is one incarnation of a node's process.
type instance struct {
	*node
	proc        *process
	incarnation uint64
	ledger      *guardedLedger
	claims      *booking.Claims
	routes      *routing.Table
	drains      bool
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
	i.ledger = newGuardedLedger(n.world.off, incarnation)
	i.claims = n.world.newClaims(i)
	i.routes = n.world.newRoutes(n)
	n.current = i
}

// message is one request or answer and what faults did to it.
type message struct {
	label  string
	main   bool
	cut    bool
	delay  time.Duration
	copies []time.Duration
}

// world is the wiring of one cell.
type world struct {
	cell  Cell
	seed  uint64
	off   Mechanism
	start time.Time
	log   *Log
	nodes []*node
	wg    sync.WaitGroup

	mu       sync.Mutex
	logProc  *process
	fired    []bool
	repeated bool // the first of two equal injections has happened before
	logDown  time.Time
	logSlow  time.Time
	runs     map[string][]string // run numbers by booking
}

func newWorld(c Cell, seed uint64, off Mechanism) *world {
	w := &world{
		cell:    c,
		seed:    seed,
		off:     off,
		start:   time.Now(),
		log:     NewLog(0, nil),
		logProc: newProcess("log", nil),
		fired:   make([]bool, len(c.Injections)),
		runs:    map[string][]string{},
	}
	for i, name := range nodeNames {
		n := &node{world: w, name: name}
		n.backend = newProcess("backend", n)
		n.start(uint64(i+1) << 32)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) newClaims(i *instance) *booking.Claims {
	return booking.NewClaims(&nodeLog{world: w, proc: i.proc, coldAt: w.coldOffset()},
		booking.WithValidity(callerValidity), booking.WithLogTimeout(callTimeout/2), booking.WithRandom(rand.New(rand.NewPCG(w.seed, w.hash(i.name)))))
}

// newRoutes returns a routing table that prefers the next node, which it takes
// for one in its own zone.
func (w *world) newRoutes(n *node) *routing.Table {
	next := nodeNames[(slices.Index(nodeNames, n.name)+1)%len(nodeNames)]
	random := rand.New(rand.NewPCG(w.seed, w.hash(n.name+"/routes")))
	table := routing.New("addis", next, routing.WithRandom(random))
	var upstreams []routing.Upstream
	for _, name := range nodeNames {
		upstreams = append(upstreams, routing.Upstream{Node: name, Region: "addis", Zone: name, Slots: 50})
	}
	table.Replace(time.Now(), service, upstreams)
	return table
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// delay is the time a message takes, from 0.1 to 2.1 ms. It depends only on the
// seed and the label, and is hardly ever the same for two messages.
func (w *world) delay(label string) time.Duration {
	return 100*time.Microsecond + time.Duration(w.hash(label)%uint64(2*time.Millisecond))
}

func (w *world) hash(label string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(label), w.seed))
}

// pass is called at each point. It applies the faults that are due there and
// fails if the process is dead.
func (w *world) pass(step Step, side Side, p *process, m *message) error {
	jitter := w.delay(m.label + step.String())
	if err := p.ready(jitter); err != nil {
		return err
	}
	// What was woken by one event passes at slightly different times.
	time.Sleep(jitter / 10)
	if m.main {
		for n, i := range w.cell.Injections {
			if i.Step == step && i.Side == side && w.fire(n) {
				w.apply(i, p, m)
			}
		}
	}
	return p.ready(jitter)
}

// fire reports whether the injection is due. Each is due once, and the second
// of two equal ones when the booking passes the point for the second time.
func (w *world) fire(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	equal := n == 1 && w.cell.Injections[0] == w.cell.Injections[1]
	if equal && !w.repeated {
		w.repeated = true
		return false
	}
	if w.fired[n] {
		return false
	}
	w.fired[n] = true
	return true
}

func (w *world) apply(i Injection, p *process, m *message) {
	now := time.Now()
	switch i.Fault {
	case Kill:
		w.kill(p, m)
	case Pause:
		p.freeze(now.Add(pauseTime))
	case Cut:
		m.cut = true
	case Slow:
		m.delay += slowTime
	case Duplicate:
		m.copies = append(m.copies, 3*time.Millisecond)
	case Late:
		m.copies = append(m.copies, lateTime)
	case VeryLate:
		m.copies = append(m.copies, veryLateTime)
	case LogDownWhile:
		w.failLog(&w.logDown, now)
	case LogSlowWhile:
		w.failLog(&w.logSlow, now)
	case Drain:
		p.node.drain()
	case ColdStart:
		w.node("n3").forgetClaims()
	case SettingsRace:
		w.raceSettings()
	default:
	}
}

func (w *world) kill(p *process, m *message) {
	switch p.kind {
	case "caller":
		m.cut = true
	case "log":
		w.failLog(&w.logDown, time.Now())
	case "backend":
		p.kill()
		w.wg.Go(func() {
			time.Sleep(restartTime)
			p.node.mu.Lock()
			defer p.node.mu.Unlock()
			p.node.backend = newProcess("backend", p.node)
		})
	default:
		p.kill()
		w.wg.Go(func() {
			time.Sleep(restartTime)
			p.node.start(p.node.instance().incarnation + 1)
		})
	}
}

func (w *world) failLog(until *time.Time, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*until = now.Add(logFaultTime)
}

func (n *node) drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current.drains = true
}

func (n *node) forgetClaims() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current.claims = n.world.newClaims(n.current)
}

// raceSettings has one operator shorten the validity of keys and another one
// lengthen it beyond the first value shortly afterwards.
func (w *world) raceSettings() {
	w.setValidity(time.Second)
	w.wg.Go(func() {
		time.Sleep(5 * time.Second)
		w.setValidity(time.Hour)
	})
}

func (w *world) setValidity(validity time.Duration) {
	for _, n := range w.nodes {
		n.instance().ledger.SetValidity(validity)
	}
}

// tick lets ledgers forget, as the nodes' tick does.
func (w *world) tick() {
	for time.Since(w.start) < cellTime {
		time.Sleep(tickTime)
		for _, n := range w.nodes {
			n.instance().ledger.Tick(time.Now())
		}
	}
}
