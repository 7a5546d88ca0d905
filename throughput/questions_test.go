package throughput_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/levelquery"
	"github.com/lacewingslip/lacewingslip/pressure"
	"github.com/lacewingslip/lacewingslip/slot"
)

const (
	// askInterval is how often a node checks whether it has to ask, and oneWay how long a
	// message takes.
	askInterval = tick
	oneWay      = 5 * time.Millisecond
	// holdInterval is how often a node decides whether to answer a question that it holds.
	holdInterval = 25 * time.Millisecond
)

// asker is a node that asks for the levels of routes.
type asker struct {
	levels *pressure.Shedder
	table  *levelquery.Table
	// child is the route that requests at this node call, or empty at ingress.
	child string
}

// questions are the messages of the replay.
type questions struct {
	// random is separate, so that the rest of the replay is the same.
	random *rand.Rand
	lost   float64
	askers map[*pressure.Shedder]*asker
	sent   int
	// received counts the questions by route, node and second.
	received map[string]int
}

// ask lets the nodes ask for levels.
func (s *simulation) ask(lost float64) {
	random := rand.New(rand.NewPCG(1, 99))
	s.questions = &questions{random: random, lost: lost, askers: make(map[*pressure.Shedder]*asker), received: make(map[string]int)}
	add := func(nodes []*pressure.Shedder, child string) {
		for _, levels := range nodes {
			a := &asker{levels: levels, table: levelquery.New(random.Float64), child: child}
			s.questions.askers[levels] = a
			var check func()
			check = func() {
				s.after(askInterval, check)
				s.sendQuestions(a)
			}
			s.after(time.Duration(random.Float64()*float64(askInterval)), check)
		}
	}
	add(s.ingress, "")
	add(s.views, "esito-check")
	add(s.checks, "doc-info")
	add(s.registers, "doc-info")
}

func (s *simulation) sendQuestions(a *asker) {
	for _, target := range a.table.Due(s.time(), a.levels.Targets(s.time())) {
		s.questions.sent++
		hold := levelquery.HoldFor(nodes, nodesPerTier)
		if s.questions.random.Float64() < s.questions.lost {
			s.after(hold+levelquery.AnswerTime, func() { a.table.RecordAnswer(s.time(), target, false, hold) })
			continue
		}
		node := s.questions.random.IntN(nodesPerTier)
		recorded := a.levels.Level(s.time(), target)
		s.questions.received[fmt.Sprint(target.Route, node, s.now/time.Second)]++
		s.after(oneWay, func() { s.hold(a, target, node, levelquery.Hold(s.time(), recorded, hold)) })
	}
}

// hold answers a question when its answer is due.
func (s *simulation) hold(a *asker, target pressure.Target, node int, held *levelquery.Held) {
	level, known := s.answer(target, node)
	if !held.Due(s.time(), level, known) {
		s.after(holdInterval, func() { s.hold(a, target, node, held) })
		return
	}
	s.after(oneWay, func() {
		a.table.RecordAnswer(s.time(), target, known, levelquery.MinHold)
		if known {
			a.levels.RecordAnswer(s.time(), target, level, s.time().Add(levelquery.InformedTime(levelquery.MinHold)))
		}
	})
}

// answer returns what a node that serves the route knows of its level.
func (s *simulation) answer(target pressure.Target, n int) (level float64, known bool) {
	var levels *pressure.Shedder
	switch target.Route {
	case quizView.name:
		levels = s.views[n]
	case "esito-check":
		levels = s.checks[n]
	case register.name:
		levels = s.registers[n]
	case "doc-info":
		return s.levelOf(s.callers[n]), true
	default:
		return 0, true
	}
	a := s.questions.askers[levels]
	child := pressure.Target{Route: a.child}
	a.table.Want(s.time(), child)
	return levels.Level(s.time(), child), a.table.Known(s.time(), child)
}

// recordLevel records the level that a response has reported.
func (s *simulation) recordLevel(levels *pressure.Shedder, target pressure.Target, level float64) {
	levels.RecordLevel(s.time(), target, level)
	if s.questions != nil {
		s.questions.askers[levels].table.RecordResponse(s.time(), target)
	}
}

// levelOf returns the level that a node beside doc-info reports.
func (s *simulation) levelOf(c *caller) (level float64) {
	if s.forcedLevel != nil {
		return s.forcedLevel(s.now - warmUp)
	}
	if s.controlled {
		level = c.state.Level
	}
	if c.slots != nil {
		level = max(level, c.slots.gauge.Level())
	}
	return level
}

// slots are the slots of a backend server, whose runs take a constant time.
type slots struct {
	gauge   *pressure.Gauge
	limit   func() int
	running int
	waiting []func()
}

const (
	slotRun = 30 * time.Millisecond
	// maxWait is the longest time that a request waits for a slot.
	maxWait = 300 * time.Millisecond
)

// limitSlots gives doc-info a number of slots at each node that depends on the time.
func (s *simulation) limitSlots(limit func(now time.Duration) int) {
	for _, c := range s.callers {
		c.slots = &slots{gauge: &pressure.Gauge{}, limit: func() int { return limit(s.now - warmUp) }}
	}
}

// inSlot runs the function after the time of a run, or refuses it.
func (s *simulation) inSlot(c *caller, run, refuse func()) {
	if c.slots == nil {
		s.after(slotRun, run)
		return
	}
	c.slots.gauge.RecordArrival()
	done := false
	start := func() {
		if done {
			return
		}
		done = true
		c.slots.running++
		s.after(slotRun, func() {
			c.slots.running--
			s.startWaiting(c)
			run()
		})
	}
	c.slots.waiting = append(c.slots.waiting, start)
	s.startWaiting(c)
	if !done {
		s.after(maxWait, func() {
			if !done {
				done = true
				refuse()
			}
		})
	}
}

func (s *simulation) startWaiting(c *caller) {
	for c.slots.running < c.slots.limit() && len(c.slots.waiting) > 0 {
		start := c.slots.waiting[0]
		c.slots.waiting = c.slots.waiting[1:]
		start()
	}
}

// tickSlots updates the level of the slots.
func (s *simulation) tickSlots(c *caller) {
	if c.slots != nil {
		c.slots.gauge.Tick(s.time(), slot.Load{
			Running: c.slots.running, Waiting: min(len(c.slots.waiting), 100), Limit: c.slots.limit(), MeanRun: slotRun,
		})
	}
}

// load is an overload of the replay.
type load struct {
	// rate is the factor of the rates of all routes.
	rate float64
	// fault is how long it lasts.
	fault time.Duration
	// lost is the share of the questions that are lost.
	lost float64
	// slots is true if doc-info has slots for half of its requests, instead of rejections at the
	// bottom of the call trees.
	slots bool
}

// recoveryTime is how long a load is replayed after the fault.
const recoveryTime = 4 * time.Second

func (l load) seconds() int { return int((l.fault + recoveryTime) / time.Second) }

// play replays the load with questions between nodes, or without them.
func (l load) play(seed uint64, parallel, asks bool) *simulation {
	rejected := rejecting(0.55, l.fault)
	if l.slots {
		rejected = rejecting(0, 0)
	}
	s := newSimulation(seed, rejected, true, parallel)
	s.rate = l.rate
	if l.slots {
		s.limitSlots(func(now time.Duration) int {
			if now >= 0 && now < l.fault {
				return 4
			}
			return 100
		})
	}
	if asks {
		s.ask(l.lost)
	}
	s.run(l.fault + recoveryTime + 2*time.Second)
	return s
}

// baselines has the replays that several tests compare with.
var baselines sync.Map

// baseline replays the load without questions and with calls at once, or returns the replay of
// another test.
func (l load) baseline(seed uint64) *simulation {
	l.lost = 0
	type key struct {
		load
		seed uint64
	}
	played, _ := baselines.LoadOrStore(key{l, seed}, sync.OnceValue(func() *simulation { return l.play(seed, true, false) }))
	return played.(func() *simulation)()
}

// playRejecting replays the load with questions and another rejected share.
func (l load) playRejecting(share float64) *simulation {
	s := newSimulation(1, rejecting(share, l.fault), true, true)
	s.ask(l.lost)
	s.run(l.fault + recoveryTime)
	return s
}

// worthOf returns the worth of the requests that succeed in the first seconds.
func (s *simulation) worthOf(seconds int) (worth int) {
	for _, r := range routes {
		worth += r.worth * sum(s.succeeded[r.name], 0, seconds)
	}
	return worth
}

// recovery returns the time from the end of the fault to the first 200 ms in which 0.9 of what
// arrives succeeds, or recoveryTime.
func (s *simulation) recovery(fault time.Duration) time.Duration {
	const steps = 2
	for at := time.Duration(0); at < recoveryTime; at += steps * tick {
		offered, succeeded := 0, 0
		for n := range steps {
			step := int((fault+at)/tick) + n
			offered += s.offeredAt[step]
			succeeded += s.succeededAt[step]
		}
		if float64(succeeded) >= 0.9*float64(offered) {
			return at
		}
	}
	return recoveryTime
}
