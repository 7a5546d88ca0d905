package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
)

const (
	// phaseTime is the length of a phase with faults. Phases with planned work
	// only follow a calm one, so that what holds around planned work is checked.
	phaseTime = 6 * time.Second
	calmTime  = stableWindow + 500*time.Millisecond
	// minGap and maxGap bound the pause between the starts of two faults.
	minGap, maxGap = 150 * time.Millisecond, 900 * time.Millisecond
	// minLength and maxLength bound how long a fault lasts.
	minLength, maxLength = 200 * time.Millisecond, 3 * time.Second
	// spoiledShare of the answers are spoiled while backend servers do so, in
	// percent.
	spoiledShare = 20
	herdShare    = 0.7
	resetShare   = 0.5
)

// fault is one disturbance. It returns when the disturbance is over.
type fault struct {
	name string
	do   func(s *schedule, random *rand.Rand)
}

// unplanned disturbs VMs, links or the log.
var unplanned = []fault{
	{"kill", func(s *schedule, random *rand.Rand) {
		v := s.pick(random)
		defer v.disturb()()
		v.kill()
		time.Sleep(length(random))
	}},
	{"kill many", func(s *schedule, random *rand.Rand) { s.killMany(random, herdShare) }},
	{"pause", func(s *schedule, random *rand.Rand) {
		v := s.pick(random)
		defer v.disturb()()
		v.signal(syscall.SIGSTOP, false)
		time.Sleep(length(random))
		v.signal(syscall.SIGCONT, false)
	}},
	{"reset connections", func(s *schedule, random *rand.Rand) {
		v := s.pick(random)
		defer v.disturb()()
		v.links()[random.IntN(linksPerVM)].reset(random, resetShare)
	}},
	{"silence connections", func(s *schedule, random *rand.Rand) {
		v := s.pick(random)
		defer v.disturb()()
		v.links()[random.IntN(linksPerVM)].silence(random, resetShare)
	}},
	{"cut a link", func(s *schedule, random *rand.Rand) {
		s.troubleLink(random, []trouble{cutForward, cutBackward, cutBoth}[random.IntN(3)])
	}},
	{"delay a link", func(s *schedule, random *rand.Rand) { s.troubleLink(random, delayed) }},
	{"log down", func(s *schedule, random *rand.Rand) { s.troubleLog(random, keyedlog.Troubles{Down: true}) }},
	{"log loses answers", func(s *schedule, random *rand.Rand) { s.troubleLog(random, keyedlog.Troubles{LoseAnswers: true}) }},
	{"log forgets", func(s *schedule, _ *rand.Rand) {
		defer s.run.disturbStore()()
		s.run.log.Trim("keyed.op")
		s.run.log.Trim("keyed.nodes")
	}},
	{"answers spoiled", func(s *schedule, random *rand.Rand) {
		s.run.spoiled.Store(spoiledShare)
		time.Sleep(length(random))
		s.run.spoiled.Store(0)
	}},
	{"surge", func(s *schedule, random *rand.Rand) {
		s.run.think.Store(0)
		time.Sleep(length(random))
		s.run.think.Store(int64(usualThink))
	}},
}

// planned is work that must interrupt nothing.
var planned = []fault{
	{"stop", func(s *schedule, random *rand.Rand) { s.pick(random).stop() }},
	{"reload", func(s *schedule, random *rand.Rand) { s.pick(random).signal(syscall.SIGHUP, false) }},
	{"change", func(s *schedule, _ *rand.Rand) { s.run.publish() }},
	{"replace server", func(s *schedule, random *rand.Rand) {
		v := s.pick(random)
		if !s.hold(v) {
			return
		}
		defer s.release(v)
		s.lifetimes.Lock()
		s.lifetime++
		lifetime := s.lifetime
		s.lifetimes.Unlock()
		v.replaceServer(lifetime)
	}},
}

// schedule starts faults by the seed.
type schedule struct {
	run    *run
	random *rand.Rand
	active sync.WaitGroup

	lifetimes sync.Mutex
	lifetime  int
	// held has the VMs whose backend server is being replaced.
	held map[*vm]bool
}

func newSchedule(r *run) *schedule {
	return &schedule{run: r, random: rand.New(rand.NewPCG(r.seed, 0)), held: make(map[*vm]bool)}
}

// play starts faults in phases until the time of the run is over, and ends with
// the loss of all processes in every second run.
func (s *schedule) play(ctx context.Context) {
	until := time.Now().Add(s.run.length)
	mixed := append(unplanned[:len(unplanned):len(unplanned)], planned...)
	for time.Now().Before(until) && ctx.Err() == nil {
		s.phase(ctx, mixed, until)
		s.active.Wait()
		time.Sleep(min(calmTime, time.Until(until)))
		s.phase(ctx, planned, until)
	}
	s.active.Wait()
	if s.random.IntN(2) == 0 {
		s.run.publish()
		s.killMany(s.random, 1)
	}
}

func (s *schedule) phase(ctx context.Context, faults []fault, until time.Time) {
	end := time.Now().Add(phaseTime)
	for time.Now().Before(end) && time.Now().Before(until) && ctx.Err() == nil {
		chosen := faults[s.random.IntN(len(faults))]
		// Each fault has its own numbers, so that a late one does not change the next.
		random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
		s.run.began(chosen.name)
		s.active.Go(func() { chosen.do(s, random) })
		time.Sleep(minGap + time.Duration(s.random.Int64N(int64(maxGap-minGap))))
	}
}

func (s *schedule) pick(random *rand.Rand) *vm { return s.run.vms[random.IntN(len(s.run.vms))] }

func (s *schedule) hold(v *vm) (ok bool) {
	s.lifetimes.Lock()
	defer s.lifetimes.Unlock()
	if s.held[v] {
		return false
	}
	s.held[v] = true
	return true
}

func (s *schedule) release(v *vm) {
	s.lifetimes.Lock()
	defer s.lifetimes.Unlock()
	delete(s.held, v)
}

// killMany kills the nodes of a share of the VMs at the same moment.
func (s *schedule) killMany(random *rand.Rand, share float64) {
	for _, v := range s.run.vms {
		if random.Float64() < share {
			defer v.disturb()()
			v.kill()
		}
	}
	time.Sleep(restartPause)
}

func (s *schedule) troubleLink(random *rand.Rand, t trouble) {
	v := s.pick(random)
	defer v.disturb()()
	l := v.links()[random.IntN(linksPerVM)]
	l.set(t)
	time.Sleep(length(random))
	l.set(passing)
}

func (s *schedule) troubleLog(random *rand.Rand, t keyedlog.Troubles) {
	defer s.run.disturbStore()()
	s.run.log.Set(t)
	time.Sleep(length(random))
	s.run.log.Set(keyedlog.Troubles{})
}

func length(random *rand.Rand) time.Duration {
	return minLength + time.Duration(random.Int64N(int64(maxLength-minLength)))
}
