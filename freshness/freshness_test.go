package freshness_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/freshness"
)

const (
	revoke = 5 * time.Second
	ms     = time.Millisecond
	start  = time.Hour
)

func newTracker() *freshness.Tracker { return freshness.New(revoke) }

// Guards against reads of the log that prove too much: an incomplete one, one of a log that
// was restored without the version in force, and one that came after another node had stated
// a newer version.
func TestReadsThatProve(t *testing.T) {
	read := func(era, version int64) freshness.Read {
		return freshness.Read{SentAt: start, Era: era, Version: version, Complete: true}
	}
	partial := read(1, 7)
	partial.Complete = false
	for name, c := range map[string]struct {
		reads     []freshness.Read
		announced int64
		inForce   int64
		proven    bool
	}{
		"first read":                        {[]freshness.Read{read(1, 7)}, 0, 7, true},
		"nothing newer":                     {[]freshness.Read{partial, read(1, 0)}, 0, 7, true},
		"more to read":                      {[]freshness.Read{partial}, 0, 7, false},
		"log without eras":                  {[]freshness.Read{read(0, 7)}, 0, 7, true},
		"version from a node, not yet read": {[]freshness.Read{read(1, 6)}, 0, 7, false},
		"newer version at another node":     {[]freshness.Read{read(1, 7)}, 8, 7, false},
		"restored to older copy":            {[]freshness.Read{partial, read(2, 6)}, 0, 7, false},
		"restored, nothing follows":         {[]freshness.Read{partial, read(2, 6), read(2, 0)}, 0, 7, false},
		"restored, version written again":   {[]freshness.Read{partial, read(2, 6), read(2, 7)}, 0, 7, true},
		"restored, late read of before":     {[]freshness.Read{partial, read(2, 6), read(1, 7)}, 0, 7, false},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			tracker.RecordAnnounced(c.announced)
			for _, r := range c.reads {
				tracker.RecordRead(r, c.inForce)
			}
			must.Eq(t, c.proven, tracker.Serves(start+ms))
		})
	}
}

// Guards against responses that prove too much: of a node with another version, with a hold
// that is longer than the whole exchange, or with an age from the future.
func TestResponsesThatProve(t *testing.T) {
	for name, c := range map[string]struct {
		response freshness.Response
		age      time.Duration
		proven   bool
	}{
		"fresh":           {freshness.Response{Version: 7}, 100 * ms, true},
		"aged":            {freshness.Response{Version: 7, Age: 400 * ms}, 500 * ms, true},
		"held":            {freshness.Response{Version: 7, Age: 400 * ms, Held: 60 * ms}, 440 * ms, true},
		"held for longer": {freshness.Response{Version: 7, Age: 400 * ms, Held: time.Hour}, 400 * ms, true},
		"negative hold":   {freshness.Response{Version: 7, Held: -time.Hour}, 100 * ms, true},
		"negative age":    {freshness.Response{Version: 7, Age: -time.Hour}, 100 * ms, true},
		"older version":   {freshness.Response{Version: 6}, 0, false},
		"newer version":   {freshness.Response{Version: 8}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			c.response.SentAt, c.response.ReceivedAt = start, start+100*ms
			must.Eq(t, c.proven, tracker.RecordResponse(c.response, 7))
			age, ok := tracker.Age(start + 100*ms)
			must.Eq(t, c.proven, ok)
			must.Eq(t, c.age, age)
		})
	}
	must.False(t, newTracker().RecordResponse(freshness.Response{SentAt: start, ReceivedAt: start}, 0))
}

// Guards against nodes without contact to the log that keep each other's proofs young.
func TestRingProvesNothing(t *testing.T) {
	nodes := []*freshness.Tracker{newTracker(), newTracker(), newTracker()}
	for _, node := range nodes {
		node.RecordRead(freshness.Read{SentAt: start, Era: 1, Version: 7, Complete: true}, 7)
	}
	now := start
	for ; now < start+2*revoke; now += 20 * ms {
		for n, node := range nodes {
			age, _ := nodes[(n+1)%len(nodes)].Age(now)
			node.RecordResponse(freshness.Response{SentAt: now - 20*ms, ReceivedAt: now, Held: 20 * ms, Age: age, Version: 7}, 7)
			must.Eq(t, now-start < 9*revoke/10, node.Serves(now))
		}
	}
}

// Guards against requests that are refused although the log was unavailable for two seconds
// only. The proof takes the longest way: from a reader to a node that relays it and to one that
// follows. The log disappears at the worst time, and reads in progress then hang.
func TestLogAwayForTwoSeconds(t *testing.T) {
	const (
		outage  = 2 * time.Second
		tick    = 100 * ms
		timeout = 500 * ms
	)
	for phase := time.Duration(0); phase < time.Second; phase += 10 * ms {
		reader, relay, follower := newTracker(), newTracker(), newTracker()
		trackers := []*freshness.Tracker{reader, relay, follower}
		for _, node := range trackers {
			node.RecordRead(freshness.Read{SentAt: start, Era: 1, Version: 7, Complete: true}, 7)
		}
		gone := start + 3*time.Second + phase
		situation := freshness.Situation{Reader: true, LastRead: start, Jitter: 1}
		readingUntil := start
		pass := func(now time.Duration, from, to *freshness.Tracker, relays bool) {
			theirs, _ := to.Age(now)
			if helps, _ := from.Helps(now, theirs, relays); helps {
				age, _ := from.Age(now)
				to.RecordResponse(freshness.Response{SentAt: now - 40*ms, ReceivedAt: now, Age: age, Held: 0, Version: 7}, 7)
			}
		}
		for now := start; now < gone+outage+3*time.Second; now += 10 * ms {
			away := now >= gone && now < gone+outage
			if now%tick == 0 && now >= readingUntil {
				if _, read := reader.Due(now, situation); read {
					situation.LastRead = now
					if away {
						readingUntil = now + timeout
					} else {
						reader.RecordRead(freshness.Read{SentAt: now, Era: 1, Complete: true}, 7)
					}
				}
			}
			pass(now, reader, relay, true)
			pass(now, relay, follower, false)
			for _, node := range trackers {
				must.True(t, node.Serves(now), must.Sprintf("phase %v, %v after the log disappeared", phase, now-gone))
			}
		}
	}
}

// Guards against calls to the log beyond those that the proofs need: of nodes that are no
// readers while they get proofs, and of all of a large deployment at once while none does.
func TestCallsToTheLog(t *testing.T) {
	calls := func(nodes int, reader bool, renewed bool) (calls int) {
		for n := range nodes {
			tracker := newTracker()
			tracker.RecordRead(freshness.Read{SentAt: start, Era: 1, Version: 7, Complete: true}, 7)
			jitter := float64(n) / float64(nodes)
			situation := freshness.Situation{Reader: reader, LastRead: start, LastAsk: start, Peers: nodes - 1, PeersAnswer: true, Jitter: jitter}
			for now := start; now < start+30*time.Second; now += 100 * ms {
				_, read := tracker.Due(now, situation)
				if read {
					calls++
					situation.LastRead = now
				}
				if renewed && (read || !reader && (now-start)%(1500*ms) == 0) {
					tracker.RecordRead(freshness.Read{SentAt: now, Era: 1, Complete: true}, 7)
				}
			}
		}
		return calls
	}
	must.Between(t, 25, calls(1, true, true), 30)
	must.Zero(t, calls(1100, false, true))
	must.Less(t, 30*75, calls(69, false, false))
	must.Less(t, 30*120, calls(1100, false, false))
}

// Guards against a node without a proof that asks nobody, and one that can reach no other
// node and waits for its turn at the log as if it could.
func TestNodeWithoutProofAsks(t *testing.T) {
	alone := freshness.Situation{LastRead: start, LastAsk: start}
	ask, read := newTracker().Due(start+2*time.Second, alone)
	must.False(t, ask)
	must.True(t, read)
	unanswered := freshness.Situation{LastRead: start, LastAsk: start, Peers: 1099}
	ask, read = newTracker().Due(start+2*time.Second, unanswered)
	must.True(t, ask)
	must.True(t, read)
}

// Guards against readers that all read in calm conditions, and against one that does not take
// over from those before it.
func TestReadersTakeTurns(t *testing.T) {
	for name, c := range map[string]struct {
		situation freshness.Situation
		age       time.Duration
		ask, read bool
	}{
		"first reader, young":     {freshness.Situation{Reader: true}, 999 * ms, false, false},
		"first reader":            {freshness.Situation{Reader: true}, 1000 * ms, false, true},
		"second reader, waits":    {freshness.Situation{Reader: true, Rank: 1}, 1249 * ms, false, false},
		"second reader":           {freshness.Situation{Reader: true, Rank: 1}, 1250 * ms, false, true},
		"third reader":            {freshness.Situation{Reader: true, Rank: 2}, 1500 * ms, false, true},
		"reader after a failure":  {freshness.Situation{Reader: true, LastRead: start + 2000*ms}, 2050 * ms, false, false},
		"other node, young":       {freshness.Situation{Peers: 1}, 2249 * ms, false, false},
		"other node asks":         {freshness.Situation{Peers: 1}, 2250 * ms, true, false},
		"other node has asked":    {freshness.Situation{Peers: 1, LastAsk: start + 2200*ms}, 2250 * ms, false, false},
		"other node reads":        {freshness.Situation{Peers: 1}, 3000 * ms, true, true},
		"other node in its turn":  {freshness.Situation{Peers: 1099, PeersAnswer: true, LastRead: start}, 3000 * ms, true, false},
		"other node, no answer":   {freshness.Situation{Peers: 1099, LastRead: start}, 3000 * ms, true, true},
		"other node, none to ask": {freshness.Situation{LastRead: start}, 3000 * ms, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			tracker.RecordRead(freshness.Read{SentAt: start, Era: 1, Version: 7, Complete: true}, 7)
			ask, read := tracker.Due(start+c.age, c.situation)
			must.Eq(t, c.ask, ask)
			must.Eq(t, c.read, read)
		})
	}
}

// Guards against waiting requests that end without need, or not although a node needs the
// proof.
func TestProofHelps(t *testing.T) {
	for name, c := range map[string]struct {
		own, theirs time.Duration
		relays      bool
		helps       bool
		after       time.Duration
	}{
		"much younger":           {100 * ms, 2000 * ms, false, true, 0},
		"hardly younger":         {1900 * ms, 2000 * ms, false, false, 0},
		"older":                  {3000 * ms, 2000 * ms, false, false, 0},
		"not needed yet":         {100 * ms, 1000 * ms, false, false, 250 * ms},
		"needed to be passed on": {100 * ms, 1000 * ms, true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			tracker.RecordRead(freshness.Read{SentAt: start, Era: 1, Version: 7, Complete: true}, 7)
			helps, after := tracker.Helps(start+c.own, c.theirs, c.relays)
			must.Eq(t, c.helps, helps)
			must.Eq(t, c.after, after)
		})
	}
	helps, _ := newTracker().Helps(start, time.Hour, true)
	must.False(t, helps)
}
