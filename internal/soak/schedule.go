package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
)

const (
	// phaseDuration is the duration of a phase with faults or planned operations. A
	// phase with planned operations only follows a stabilizationPause, so that
	// all VMs are stable and the time limits are checked during planned operations.
	phaseDuration      = 6 * time.Second
	stabilizationPause = stableWindow + 500*time.Millisecond
	// minFaultInterval and maxFaultInterval limit the time between the starts of two
	// faults.
	minFaultInterval, maxFaultInterval = 150 * time.Millisecond, 900 * time.Millisecond
	// minFaultDuration and maxFaultDuration limit the duration of a fault.
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 3 * time.Second
	// faultyResponsePercent is the percentage of requests that get a faulty response
	// while that fault is active.
	faultyResponsePercent = 20
	// massKillShare is the probability with which a node is killed by a mass kill.
	massKillShare = 0.7
	// The idle limit is minIdleLimit, doubled up to idleLimitDoublings times. It changes
	// after up to maxIdleLimitInterval, at all times.
	minIdleLimit         = 250 * time.Millisecond
	idleLimitDoublings   = 4
	maxIdleLimit         = minIdleLimit << idleLimitDoublings
	maxIdleLimitInterval = 2 * time.Second
	// affectedConnShare is the probability with which an open connection of a link is
	// affected by a reset or a black hole.
	affectedConnShare = 0.5
)

// fault is a fault or a planned operation. Its inject function returns once the fault
// is over.
type fault struct {
	name   string
	inject func(s *schedule, random *rand.Rand)
}

// unplannedFaults affect VMs, links, the log service, responses or the load.
var unplannedFaults = []fault{
	{"kill", func(s *schedule, random *rand.Rand) {
		v := s.randomVM(random)
		defer v.beginFault()()
		v.kill()
		time.Sleep(faultDuration(random))
	}},
	{"kill many", func(s *schedule, random *rand.Rand) { s.killMany(random, massKillShare) }},
	{"pause", func(s *schedule, random *rand.Rand) {
		v := s.randomVM(random)
		defer v.beginFault()()
		v.signal(syscall.SIGSTOP, false)
		time.Sleep(faultDuration(random))
		v.signal(syscall.SIGCONT, false)
	}},
	{"reset connections", func(s *schedule, random *rand.Rand) {
		v := s.randomVM(random)
		defer v.beginFault()()
		v.links()[random.IntN(linkCount)].reset(random, affectedConnShare)
	}},
	{"black-hole connections", func(s *schedule, random *rand.Rand) {
		v := s.randomVM(random)
		defer v.beginFault()()
		v.links()[random.IntN(linkCount)].blackhole(random, affectedConnShare)
	}},
	{"cut a link", func(s *schedule, random *rand.Rand) {
		s.degradeLink(random, []linkMode{cutForward, cutBackward, cutBoth}[random.IntN(3)])
	}},
	{"delay a link", func(s *schedule, random *rand.Rand) { s.degradeLink(random, delayed) }},
	{"log down", func(s *schedule, random *rand.Rand) {
		defer s.run.beginLogFault()()
		defer s.addLogFaults(keyedlog.Faults{Down: true})()
		// Nodes can't read that a key is withdrawn.
		if !s.isQuiet() {
			s.run.publish()
		}
		time.Sleep(faultDuration(random))
	}},
	{"log loses responses", func(s *schedule, random *rand.Rand) { s.degradeLog(random, keyedlog.Faults{LoseAnswers: true}) }},
	{"log trimmed", func(s *schedule, _ *rand.Rand) {
		defer s.run.beginLogFault()()
		s.run.log.Trim("keyed.op")
		s.run.log.Trim("keyed.nodes")
	}},
	{"faulty responses", func(s *schedule, random *rand.Rand) {
		s.run.faultyPercent.Store(faultyResponsePercent)
		time.Sleep(faultDuration(random))
		s.run.faultyPercent.Store(0)
	}},
	{"surge", func(s *schedule, random *rand.Rand) {
		s.run.thinkTime.Store(0)
		time.Sleep(faultDuration(random))
		s.run.thinkTime.Store(int64(meanThinkTime))
	}},
}

// plannedOperations must not interrupt any request.
var plannedOperations = []fault{
	{"stop", func(s *schedule, random *rand.Rand) { s.randomVM(random).stop() }},
	{"reload", func(s *schedule, random *rand.Rand) { s.randomVM(random).signal(syscall.SIGHUP, false) }},
	{"change", func(s *schedule, _ *rand.Rand) {
		if !s.isQuiet() {
			s.run.publish()
		}
	}},
	{"replace server", func(s *schedule, random *rand.Rand) {
		v := s.randomVM(random)
		if !s.beginReplace(v) {
			return
		}
		defer s.endReplace(v)
		s.mu.Lock()
		s.lastInstance++
		instance := s.lastInstance
		s.mu.Unlock()
		v.replaceServer(instance)
	}},
}

// schedule injects the faults that the seed determines.
type schedule struct {
	run    *run
	random *rand.Rand
	active sync.WaitGroup

	mu           sync.Mutex
	lastInstance int
	// replacing has the VMs whose backend server is being replaced.
	replacing map[*vm]bool
	// logFaults has the faults of the log that are active.
	logFaults map[*keyedlog.Faults]bool
	// quietUntil is when the operator may publish again by itself.
	quietUntil time.Time
}

func newSchedule(r *run) *schedule {
	return &schedule{run: r, random: rand.New(rand.NewPCG(r.seed, 0)), replacing: make(map[*vm]bool), logFaults: make(map[*keyedlog.Faults]bool)}
}

// injectFaults injects faults in phases until the duration of the run has passed. For
// half of the seeds it then publishes a version and kills all nodes at once.
func (s *schedule) injectFaults(ctx context.Context) {
	until := time.Now().Add(s.run.duration)
	var repeated sync.WaitGroup
	repeated.Go(func() { s.changeIdleLimit(ctx, rand.New(rand.NewPCG(s.run.seed, 1)), until) })
	repeated.Go(func() { s.restoreRepeatedly(ctx, rand.New(rand.NewPCG(s.run.seed, 2)), until) })
	defer repeated.Wait()
	mixed := append(unplannedFaults[:len(unplannedFaults):len(unplannedFaults)], plannedOperations...)
	for time.Now().Before(until) && ctx.Err() == nil {
		s.phase(ctx, mixed, until)
		s.active.Wait()
		time.Sleep(min(stabilizationPause, time.Until(until)))
		s.phase(ctx, plannedOperations, until)
	}
	s.active.Wait()
	if s.random.IntN(2) == 0 {
		s.run.publish()
		s.killMany(s.random, 1)
	}
}

func (s *schedule) phase(ctx context.Context, faults []fault, until time.Time) {
	end := time.Now().Add(phaseDuration)
	for time.Now().Before(end) && time.Now().Before(until) && ctx.Err() == nil {
		chosen := faults[s.random.IntN(len(faults))]
		// Each fault has its own random numbers, so that its timing does not change
		// those of the faults after it.
		random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
		s.run.recordFault(chosen.name)
		s.active.Go(func() { chosen.inject(s, random) })
		time.Sleep(minFaultInterval + time.Duration(s.random.Int64N(int64(maxFaultInterval-minFaultInterval))))
	}
}

// changeIdleLimit changes the idle limit until the time, in phases with and without
// faults, and thus also while nodes stop or reload their settings.
func (s *schedule) changeIdleLimit(ctx context.Context, random *rand.Rand, until time.Time) {
	for time.Now().Before(until) && ctx.Err() == nil {
		limit := minIdleLimit << random.IntN(idleLimitDoublings+1)
		if !s.isQuiet() {
			s.run.recordFault(fmt.Sprintf("idle limit %v", limit))
			s.run.publishIdleLimit(limit)
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxIdleLimitInterval))))
	}
}

func (s *schedule) randomVM(random *rand.Rand) *vm { return s.run.vms[random.IntN(len(s.run.vms))] }

// beginReplace returns false if the backend server of the VM is already being replaced.
func (s *schedule) beginReplace(v *vm) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replacing[v] {
		return false
	}
	s.replacing[v] = true
	return true
}

func (s *schedule) endReplace(v *vm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replacing, v)
}

// killMany kills the nodes of a random share of the VMs at the same time.
func (s *schedule) killMany(random *rand.Rand, share float64) {
	for _, v := range s.run.vms {
		if random.Float64() < share {
			defer v.beginFault()()
			v.kill()
		}
	}
	time.Sleep(restartPause)
}

func (s *schedule) degradeLink(random *rand.Rand, t linkMode) {
	v := s.randomVM(random)
	defer v.beginFault()()
	l := v.links()[random.IntN(linkCount)]
	l.setMode(t)
	time.Sleep(faultDuration(random))
	l.setMode(forwarding)
}

func (s *schedule) degradeLog(random *rand.Rand, t keyedlog.Faults) {
	defer s.run.beginLogFault()()
	defer s.addLogFaults(t)()
	time.Sleep(faultDuration(random))
}

// addLogFaults adds faults to those that the log shows, until the returned function is
// called.
func (s *schedule) addLogFaults(t keyedlog.Faults) (end func()) {
	s.setLogFaults(&t, true)
	return func() { s.setLogFaults(&t, false) }
}

func (s *schedule) setLogFaults(t *keyedlog.Faults, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logFaults[t] = active
	var all keyedlog.Faults
	for f, active := range s.logFaults {
		all.Down = all.Down || active && f.Down
		all.LoseAnswers = all.LoseAnswers || active && f.LoseAnswers
		all.Disconnect = all.Disconnect || active && f.Disconnect
	}
	s.run.log.SetFaults(all)
}

func faultDuration(random *rand.Rand) time.Duration {
	return minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
}
