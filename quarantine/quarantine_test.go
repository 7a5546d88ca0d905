package quarantine_test

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/quarantine"
)

var start = time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)

func request(n uint64) (f quarantine.Fingerprint) {
	binary.BigEndian.PutUint64(f[:], n)
	return f
}

// at returns the time at the number of seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func run(n uint64, started float64) quarantine.Run {
	return quarantine.Run{Request: request(n), Started: at(started)}
}

func isolated(r quarantine.Run) quarantine.Run {
	r.Isolated = true
	return r
}

// crash records a crash at a number of seconds after the start.
func crash(l *quarantine.List, seconds float64, runs ...quarantine.Run) {
	l.RecordCrash(at(seconds), quarantine.NewCrashID(), runs)
}

// Guards against a request that crashes server after server, and against innocent requests
// that are refused because they ran beside it, or at servers that ended for other reasons.
func TestVerdict(t *testing.T) {
	twoCrashes := func(l *quarantine.List) {
		crash(l, 1, run(1, 0.9))
		crash(l, 2, run(1, 1.9))
	}
	for name, c := range map[string]struct {
		events func(l *quarantine.List)
		expect quarantine.Level
	}{
		"one crash":          {func(l *quarantine.List) { crash(l, 1, run(1, 0.9)) }, quarantine.Free},
		"two crashes":        {twoCrashes, quarantine.Isolated},
		"crash in isolation": {func(l *quarantine.List) { twoCrashes(l); crash(l, 3, isolated(run(1, 2.9))) }, quarantine.Blocked},
		"copies at the same time": {func(l *quarantine.List) {
			for n := range 40 {
				crash(l, 1+float64(n)/100, run(1, 0.9))
			}
			crash(l, 3, isolated(run(1, 2.9)))
		}, quarantine.Blocked},
		"sent again after each crash": {func(l *quarantine.List) {
			for n := range 4 {
				crash(l, 1+float64(n)/5, run(1, 0.9+float64(n)/5))
			}
		}, quarantine.Isolated},
		"loss of two servers at once": {func(l *quarantine.List) { crash(l, 1, run(1, 0.5)); crash(l, 1.01, run(1, 0.5)) }, quarantine.Free},
		"loss of a rack": {func(l *quarantine.List) {
			for n := range 6 {
				crash(l, 1+float64(n)/100, run(1, 0.5))
			}
			l.RecordRun(at(3), request(1))
		}, quarantine.Free},
		"completed since": {func(l *quarantine.List) {
			twoCrashes(l)
			l.RecordRun(at(2.2), request(1))
			crash(l, 5, run(1, 4.9))
		}, quarantine.Free},
		"runs all the time": {func(l *quarantine.List) {
			for n := range 5 {
				l.RecordRun(at(float64(n)-0.1), request(1))
				crash(l, float64(n), run(1, float64(n)-0.05))
			}
		}, quarantine.Free},
		"completed until a release broke it": {func(l *quarantine.List) {
			l.RecordRun(at(0), request(1))
			crash(l, 1, run(1, 0.9))
			crash(l, 3, run(1, 2.9))
			crash(l, 4, run(1, 3.9))
			crash(l, 5, isolated(run(1, 4.9)))
		}, quarantine.Blocked},
		"beside one that crashes servers": {func(l *quarantine.List) {
			crash(l, 1, run(1, 0.8), run(2, 0.9))
			crash(l, 1.3, run(1, 1.1), run(2, 1.2))
			crash(l, 2, run(1, 1.8), isolated(run(2, 1.9)))
		}, quarantine.Isolated},
	} {
		t.Run(name, func(t *testing.T) {
			l := quarantine.New()
			c.events(l)
			must.Eq(t, c.expect, l.Verdict(at(6), request(1)).Level)
		})
	}
}

// convict makes a list with the request 1, which is blocked since second 3.
func convict() *quarantine.List {
	l := quarantine.New()
	crash(l, 1, run(1, 0.9))
	crash(l, 2, run(1, 1.9))
	crash(l, 3, isolated(run(1, 2.9)))
	return l
}

// A convicted request may run again at times, because its cause may have been repaired. A
// further crash makes the next block longer.
func TestBlockEnds(t *testing.T) {
	l := convict()
	_, allowed := l.StartTrial(at(4), request(1))
	must.False(t, allowed)
	must.True(t, l.Verdict(at(4), request(1)).RetryAfter > 9*time.Minute)
	for crashes, blockEnds := range []float64{603, 3010, 12620} {
		must.Eq(t, quarantine.Blocked, l.Verdict(at(blockEnds-10), request(1)).Level)
		must.Eq(t, quarantine.Isolated, l.Verdict(at(blockEnds+1), request(1)).Level)
		trial, allowed := l.StartTrial(at(blockEnds+1), request(1))
		must.True(t, allowed)
		_, allowed = l.StartTrial(at(blockEnds+1), request(1))
		must.False(t, allowed)
		l.EndTrial(trial)
		if crashes < 2 {
			crash(l, blockEnds+2, isolated(run(1, blockEnds+1)))
		}
		l.Tick(at(blockEnds + 3))
	}
	must.True(t, l.RecordRun(at(12622), request(1)))
	must.Eq(t, quarantine.Free, l.Verdict(at(12622), request(1)).Level)
	must.False(t, l.IsSuspect(request(1)))
}

// The end of a run that took longer than others wait for it does not end the next one.
func TestLongTrial(t *testing.T) {
	l := convict()
	first, _ := l.StartTrial(at(700), request(1))
	second, allowed := l.StartTrial(at(800), request(1))
	must.True(t, allowed)
	l.EndTrial(first)
	_, allowed = l.StartTrial(at(801), request(1))
	must.False(t, allowed)
	l.EndTrial(second)
	_, allowed = l.StartTrial(at(802), request(1))
	must.True(t, allowed)
}

// Nodes hear of crashes and completed runs in any order and more than once, and must agree.
func TestMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		first, second := quarantine.New(), quarantine.New()
		var messages [][]quarantine.Evidence
		for n := range 6 {
			now := float64(n) * 3
			for _, l := range []*quarantine.List{first, second} {
				switch random.IntN(3) {
				case 0:
					crash(l, now, run(1, now-0.1))
				case 1:
					l.RecordRun(at(now), request(1))
				}
				// The age of evidence is relative to the end.
				for _, e := range l.Evidence(at(20), []quarantine.Fingerprint{request(1)}) {
					messages = append(messages, []quarantine.Evidence{e})
				}
			}
		}
		messages = append(messages, messages...)
		var verdicts []quarantine.Verdict
		for range 3 {
			random.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
			l := quarantine.New()
			for _, m := range messages {
				l.Merge(at(20), m)
			}
			// The last message tells that the request has completed, if it has.
			l.Merge(at(20), first.Evidence(at(20), []quarantine.Fingerprint{request(1)}))
			l.Merge(at(20), second.Evidence(at(20), []quarantine.Fingerprint{request(1)}))
			verdicts = append(verdicts, l.Verdict(at(20), request(1)))
		}
		must.Eq(t, verdicts[0], verdicts[1], must.Sprintf("seed %d", seed))
		must.Eq(t, verdicts[0], verdicts[2], must.Sprintf("seed %d", seed))
	}
}

// A request that has just completed here is not made suspect by what other nodes have seen,
// and they are told.
func TestPopularRequestClearsEvidenceOfOthers(t *testing.T) {
	l := quarantine.New()
	l.RecordRun(at(2.5), request(1))
	cleared := l.Merge(at(3.5), convict().Evidence(at(3.5), []quarantine.Fingerprint{request(1)}))
	must.Eq(t, []quarantine.Fingerprint{request(1)}, cleared)
	must.Eq(t, quarantine.Free, l.Verdict(at(3.5), request(1)).Level)
	other := convict()
	other.Merge(at(3.6), l.Evidence(at(3.6), cleared))
	must.Eq(t, quarantine.Free, other.Verdict(at(3.6), request(1)).Level)
}

// The evidence on a crash may arrive after the next run has started. Guards against two
// crashes, one after the other, that a node takes for simultaneous ones for that reason.
func TestLateEvidenceIsDatedByLaterMessage(t *testing.T) {
	first, second := quarantine.New(), quarantine.New()
	crash(first, 1, run(1, 0.9))
	early := first.Evidence(at(1), []quarantine.Fingerprint{request(1)})
	second.Merge(at(1.01), early)
	crash(second, 1.2, run(1, 1.1))
	l := quarantine.New()
	l.Merge(at(1.3), early)
	l.Merge(at(1.31), second.Evidence(at(1.3), []quarantine.Fingerprint{request(1)}))
	must.Eq(t, quarantine.Isolated, l.Verdict(at(2), request(1)).Level)
}

// Servers that end at the same moment are reported with different delays.
func TestRackLossIsReportedWithDelays(t *testing.T) {
	l := quarantine.New()
	for n := range 4 {
		reporter := quarantine.New()
		crash(reporter, 1, run(1, 0.99))
		l.Merge(at(1+float64(n)/50), reporter.Evidence(at(1), []quarantine.Fingerprint{request(1)}))
	}
	must.NotEq(t, quarantine.Blocked, l.Verdict(at(2), request(1)).Level)
}

// Guards against memory that grows with each crash, and against convictions that are
// forgotten for new suspects.
func TestListIsBounded(t *testing.T) {
	l := convict()
	for n := range uint64(50) {
		var runs []quarantine.Run
		for m := range 200 * n {
			runs = append(runs, run(200*n+m+2, 9.9+float64(n)))
		}
		crash(l, 10+float64(n), runs...)
	}
	suspects := 0
	for n := range uint64(20_000) {
		if l.IsSuspect(request(n)) {
			suspects++
		}
	}
	must.LessEq(t, 1024, suspects)
	must.Len(t, 1, l.Convictions())
	crash(l, 70, run(2, 69))
	must.True(t, l.IsSuspect(request(2)))
}

// Guards against a blocked request that runs again after a restart of all nodes, and
// against one that counts twice where a node knows both the conviction and its crashes.
func TestConvictionsAreRestored(t *testing.T) {
	convictions := convict().Convictions()
	must.Len(t, 1, convictions)
	restarted := quarantine.New()
	restarted.Restore(at(5), convictions)
	must.Eq(t, quarantine.Blocked, restarted.Verdict(at(5), request(1)).Level)
	must.Eq(t, convictions, restarted.Convictions())

	restarted.Merge(at(5), convict().Restricting(at(5)))
	must.Eq(t, 1, restarted.Convictions()[0].Crashes)
	must.True(t, restarted.RecordRun(at(6), request(1)))
	restarted.Tick(at(500))
	restarted.Restore(at(501), convictions)
	must.Eq(t, quarantine.Free, restarted.Verdict(at(501), request(1)).Level)
}

// The record of a node that is gone can hold a conviction for ever.
func TestOldConvictionIsNotRestored(t *testing.T) {
	l := quarantine.New()
	l.Restore(at(24*3600), convict().Convictions())
	must.Eq(t, quarantine.Free, l.Verdict(at(24*3600), request(1)).Level)
}

// Requests that differ in what a backend server receives are told apart.
func TestFingerprint(t *testing.T) {
	r := quarantine.Request{Method: "GET", Host: "h", Target: "/a?x=1", Caller: "orders", Body: []byte("body")}
	must.Eq(t, r.Fingerprint(), r.Fingerprint())
	for name, change := range map[string]func(r *quarantine.Request){
		"method":    func(r *quarantine.Request) { r.Method = "POST" },
		"host":      func(r *quarantine.Request) { r.Host = "i" },
		"target":    func(r *quarantine.Request) { r.Target = "/a?x=2" },
		"caller":    func(r *quarantine.Request) { r.Caller = "drawings" },
		"body":      func(r *quarantine.Request) { r.Body = []byte("other") },
		"truncated": func(r *quarantine.Request) { r.Truncated = true },
		"boundary":  func(r *quarantine.Request) { r.Target, r.Caller = "/a?x=1o", "rders" },
	} {
		t.Run(name, func(t *testing.T) {
			other := r
			change(&other)
			must.NotEq(t, r.Fingerprint(), other.Fingerprint())
		})
	}
	var decoded quarantine.Fingerprint
	must.NoError(t, decoded.UnmarshalText([]byte(r.Fingerprint().String())))
	must.Eq(t, r.Fingerprint(), decoded)
	must.Error(t, decoded.UnmarshalText([]byte("AAAA")))
}
