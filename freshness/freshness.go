// Package freshness decides for how long the desired state in force at a node is proven to be
// the newest one, and when the node must ask for the next proof.
//
// A proof is a time before which the log service had acknowledged no newer version. It comes
// from a read of the log, or from the response of another node, which states the age of its
// own proof. The time of a proof is counted from when the node sent its own request, so ages
// only grow along a chain of nodes, and nodes that confirm each other in a ring prove nothing.
//
// Two bounds depend on proofs. A key that was withdrawn must admit no request after the
// revocation time, so a node whose proof is too old serves none. A version must be in force
// within the apply time, also at nodes that are told of versions by others, and whatever
// happens to those: a node whose proof is too old reads the log itself. That another node
// answers proves nothing; only the age that it states does.
//
// All times are readings of one clock of this VM, as durations since any fixed moment. The
// clock must count the time during which the VM is suspended, and must not be set.
//
// # Usage
//
//	tracker := freshness.New(5 * time.Second, freshness.WithApply(2500 * time.Millisecond))
//	tracker.RecordRead(freshness.Read{SentAt: sent, Era: 1, Version: 7, Complete: true}, inForce)
//	tracker.RecordResponse(freshness.Response{SentAt: sent, ReceivedAt: now, Age: age, Version: 7}, inForce)
//	if tracker.Serves(now) { ... }
//
// # Load
//
// The decisions take constant time and memory for each request, response and read. They are
// designed for 1,100 nodes; see [Tracker.Due] for the requests that they cause.
package freshness

import "time"

// Shares of the revocation time.
const (
	// serveShare is the age of a proof up to which requests with a key are served. The rest
	// covers the difference between the rates of two clocks.
	serveShare = 0.9
	// readerShare is the age at which the first reader of the log asks it for the next proof.
	// Each further reader asks rankShare later, so that it takes over if those before it fail.
	readerShare = 0.2
	rankShare   = 0.05
	// pollShare and followShare are the ages from which a request that waits at another node
	// ends with a younger proof: for nodes that relay proofs, and for all others.
	pollShare   = 0.15
	followShare = 0.25
	// helpShare is by how much the proof must be younger.
	helpShare = 0.05
	// A node asks other nodes from an age of askShare on, and the log from logShare on, plus
	// up to spreadShare.
	askShare    = 0.45
	logShare    = 0.6
	spreadShare = 0.05
)

// Shares of the apply time, with the same meaning. A node that reads the log itself at the
// latest age has the rest of the time for the read.
const (
	applyReaderShare = 0.35
	applyRankShare   = 0.1
	applyPollShare   = 0.25
	applyFollowShare = 0.3
	applyHelpShare   = 0.05
	applyAskShare    = 0.5
	applyLogShare    = 0.6
	applySpreadShare = 0.05
	// applyRetryShare is the pause after a failed read, and the longest pause after others. A
	// node that the log serves again must notice before the apply time has passed.
	applyRetryShare = 0.8
)

const (
	// readerRetry is the mean pause between two reads of a reader that fail.
	readerRetry = 200 * time.Millisecond
	// askInterval is the mean pause between two requests to other nodes.
	askInterval = 300 * time.Millisecond
	// logInterval is the mean pause between two reads of a node that is no reader. If other
	// nodes answer, it is logIntervalPerNode for each of them at least: then a proof that one
	// of them reads reaches all.
	logInterval        = time.Second
	logIntervalPerNode = 10 * time.Millisecond
	// maxReaderDoublings bounds how often the pause of a reader doubles while its reads fail.
	maxReaderDoublings = 2
)

// schedule has the ages of a proof at which something is due. See the shares for the meaning
// of the fields.
type schedule struct {
	reader, rank, poll, follow, help, ask, log, spread time.Duration
	// retry is the longest pause between two reads, or 0 without an apply time.
	retry time.Duration
}

// newSchedule returns the schedule that keeps both bounds. A bound of 0 is none.
func newSchedule(revoke, apply time.Duration) (s schedule) {
	age := func(revokeShare, applyShare float64) time.Duration {
		switch {
		case apply <= 0:
			return scale(revoke, revokeShare)
		case revoke <= 0:
			return scale(apply, applyShare)
		default:
			return min(scale(revoke, revokeShare), scale(apply, applyShare))
		}
	}
	return schedule{
		reader: age(readerShare, applyReaderShare), rank: age(rankShare, applyRankShare),
		poll: age(pollShare, applyPollShare), follow: age(followShare, applyFollowShare), help: age(helpShare, applyHelpShare),
		ask: age(askShare, applyAskShare), log: age(logShare, applyLogShare), spread: age(spreadShare, applySpreadShare),
		retry: scale(apply, applyRetryShare),
	}
}

// Tracker holds the newest proof. It is not safe for concurrent use.
type Tracker struct {
	revoke, apply time.Duration
	schedule      schedule
	// provenAt is the time of the newest proof, if there is one.
	provenAt time.Duration
	proven   bool
	// logVersion is the highest version that the log had in the era logEra.
	logEra, logVersion int64
	// announced is the highest version that another node has stated.
	announced int64
}

// Option configures a new tracker.
type Option func(*Tracker)

// WithApply sets the apply time: how long after its acknowledgement by the log a version may
// come into force. Without it, only the revocation time makes proofs necessary.
func WithApply(apply time.Duration) Option { return func(t *Tracker) { t.apply = apply } }

// New returns a tracker without a proof. revoke is the time after which a withdrawn key must
// admit no request, or 0 if no request depends on that.
func New(revoke time.Duration, opts ...Option) *Tracker {
	t := &Tracker{}
	for _, opt := range opts {
		opt(t)
	}
	t.SetBounds(revoke, t.apply)
	return t
}

// SetBounds changes the revocation time and the apply time.
func (t *Tracker) SetBounds(revoke, apply time.Duration) {
	t.revoke, t.apply, t.schedule = revoke, apply, newSchedule(revoke, apply)
}

// Read is the result of a read of the log that succeeded.
type Read struct {
	SentAt time.Duration
	// Era is the era of the log.
	Era int64
	// Version is the highest version that the read returned, or 0 if it returned none.
	Version int64
	// Complete is true if the log had no version after those that were returned, when it
	// received the read.
	Complete bool
}

// RecordRead records a read of the log after the versions that it returned have come into
// force. inForce is the version in force now. It returns whether the proof is renewed.
//
// A log that was restored from an earlier copy may lack the newest version. If there is a
// revocation time, its responses prove nothing until it has the version in force here, and
// the versions that other nodes have stated. Otherwise, the next version is all that matters.
func (t *Tracker) RecordRead(r Read, inForce int64) (renewed bool) {
	if r.Era < t.logEra {
		return false
	}
	if r.Era > t.logEra {
		t.logEra, t.logVersion = r.Era, 0
	}
	t.logVersion = max(t.logVersion, r.Version)
	if !r.Complete || t.revoke > 0 && t.logVersion < inForce || inForce < t.announced {
		return false
	}
	return t.renew(r.SentAt)
}

// Response is the response of another node that has a proof.
type Response struct {
	SentAt, ReceivedAt time.Duration
	// Held is how long the other node kept the request before it stated the age.
	Held time.Duration
	// Age is the age of the proof when the other node responded.
	Age time.Duration
	// Version is the version in force at the other node.
	Version int64
}

// RecordResponse records the response of another node. It counts only if both nodes have the
// same version in force. It returns whether the proof is renewed.
func (t *Tracker) RecordResponse(r Response, inForce int64) (renewed bool) {
	if r.Version != inForce || inForce == 0 {
		return false
	}
	held := min(max(r.Held, 0), max(r.ReceivedAt-r.SentAt, 0))
	return t.renew(r.SentAt + held - max(r.Age, 0))
}

// RecordAnnounced records the version that is in force at another node.
func (t *Tracker) RecordAnnounced(version int64) { t.announced = max(t.announced, version) }

func (t *Tracker) renew(provenAt time.Duration) (renewed bool) {
	if t.proven && provenAt <= t.provenAt {
		return false
	}
	t.provenAt, t.proven = provenAt, true
	return true
}

// Age returns the age of the proof. ok is false if there is none.
func (t *Tracker) Age(now time.Duration) (age time.Duration, ok bool) {
	if !t.proven {
		return 0, false
	}
	return max(now-t.provenAt, 0), true
}

// YoungerThan reports whether there is a proof below the age.
func (t *Tracker) YoungerThan(now, limit time.Duration) bool {
	age, ok := t.Age(now)
	return ok && age < limit
}

// Serves reports whether requests with a key are served.
func (t *Tracker) Serves(now time.Duration) bool { return t.YoungerThan(now, t.ServeLimit()) }

// ServeLimit returns the age of a proof up to which requests with a key are served.
func (t *Tracker) ServeLimit() time.Duration { return scale(t.revoke, serveShare) }

// Helps reports whether the proof is young enough to end the waiting request of another node,
// whose proof has the given age now. If not, after is when that node's proof will be old
// enough, or 0 if the proof here must be renewed first. relays is true if the other node
// passes proofs on.
func (t *Tracker) Helps(now, theirAge time.Duration, relays bool) (helps bool, after time.Duration) {
	own, ok := t.Age(now)
	if !ok || own+t.schedule.help > theirAge {
		return false, 0
	}
	threshold := t.schedule.follow
	if relays {
		threshold = t.schedule.poll
	}
	if theirAge < threshold {
		return false, threshold - theirAge
	}
	return true, 0
}

// Situation is what [Tracker.Due] depends on besides the proof.
type Situation struct {
	// Reader is true for the few nodes that read the log for all others. Rank is the place of
	// this one among them, from 0.
	Reader bool
	Rank   int
	// LastAsk and LastRead are when the node last sent a request to another node and to the
	// log for the sake of a proof, or when it started.
	LastAsk, LastRead time.Duration
	// Peers is the number of other nodes that can be reached. PeersAnswer is true if the last
	// one that was asked answered.
	Peers       int
	PeersAnswer bool
	// FailedReads is the number of this node's last reads for a proof that failed, one after
	// the other.
	FailedReads int
	// Jitter is a random number from 0 to 1. It is chosen anew after each request.
	Jitter float64
}

// Due decides whether the node asks another node and whether it reads the log now.
//
// In calm conditions only the first reader reads, because its proof reaches all others: with
// a revocation time of 5 s or an apply time of 2.5 s, about once a second in deployments of
// any size. If the log is unavailable, the readers repeat the read, and from 0.6 of the bound
// on all other nodes read too: N nodes 100 times a second together, or each once a second if
// there are fewer than 100. With an apply time, each reads once in 0.8 of it, at least if it
// gets no proof, and at most while its reads fail.
func (t *Tracker) Due(now time.Duration, s Situation) (ask, read bool) {
	age, ok := t.Age(now)
	if !ok {
		age = max(t.revoke, t.apply)
	}
	spread := scale(t.schedule.spread, s.Jitter)
	pause := 0.5 + s.Jitter
	ask = s.Peers > 0 && age >= t.schedule.ask+spread && now-s.LastAsk >= scale(askInterval, pause)
	if s.Reader {
		interval := readerRetry << min(s.FailedReads, maxReaderDoublings)
		return ask, age >= t.schedule.reader+time.Duration(s.Rank)*t.schedule.rank && now-s.LastRead >= scale(interval, pause)
	}
	interval := logInterval
	if s.Peers > 0 && s.PeersAnswer {
		interval = max(interval, time.Duration(s.Peers)*logIntervalPerNode)
	}
	interval = scale(interval, pause)
	if t.schedule.retry > 0 && (s.FailedReads > 0 || interval > t.schedule.retry) {
		interval = t.schedule.retry
	}
	return ask, age >= t.schedule.log+spread && now-s.LastRead >= interval
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}
