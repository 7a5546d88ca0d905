package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

const (
	// The log is restored from a copy that is up to maxCopyAge old.
	copyInterval           = 200 * time.Millisecond
	minCopyAge, maxCopyAge = 500 * time.Millisecond, 8 * time.Second
	// Restores come in series of up to maxRestoresInSeries, at all times, with pauses of up
	// to maxSeriesPause between two restores and maxRestorePause between two series. The
	// longer ones leave time in which the log is stable.
	maxRestoresInSeries             = 3
	maxSeriesPause, maxRestorePause = time.Second, 10 * time.Second
	// Each second restore follows a time of up to maxAway without the log.
	maxAway = 2 * time.Second
	// maxRewriteDelay is the maximum time from each second restore until the operator
	// writes the desired state again, which otherwise happens at once.
	maxRewriteDelay = 2 * time.Second
	// Each second restore loses as many of the operator's records as are written at once
	// after it, so that their offsets are those at which nodes go on reading. Then nothing
	// else is written for quietTime, because the next record would hide a missed one.
	quietTime = stableWindow + time.Second
	// maxReadWait is the longest wait of a read of the log. A read that the log keeps over
	// its restore may end only then.
	maxReadWait = 8 * time.Second
)

// logCopy is a copy of the log and what the operator had written to it.
type logCopy struct {
	takenAt time.Time
	content keyedlog.Copy
	written written
}

// written is what the log has of the operator: the number of records and the version of the
// routes.
type written struct{ records, routesVersion int }

// copyLog takes a copy of the log and checks its records of the nodes periodically, until
// the run stops.
func (r *run) copyLog() {
	for !r.stopped() {
		r.mu.Lock()
		r.addCopy()
		r.mu.Unlock()
		r.checkRecordsInTime(time.Now())
		time.Sleep(copyInterval)
	}
}

// addCopy adds a copy and drops those that are too old. The caller holds the lock.
func (r *run) addCopy() {
	r.copies = append(r.copies, logCopy{time.Now(), r.log.Copy(), r.written})
	r.copies = slices.DeleteFunc(r.copies, func(c logCopy) bool { return time.Since(c.takenAt) > maxCopyAge })
}

// restoreLog restores the log from the latest copy that is old enough, or from the oldest
// one. Before that, it notes the records of the nodes that the log has.
func (r *run) restoreLog(oldEnough func(c logCopy, w written) bool, keepsReads bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.vms {
		node := v.settings.Node
		r.loggedEpochs[node] = max(r.loggedEpochs[node], r.epochInLog(node))
	}
	r.addCopy()
	chosen := 0
	for n, c := range r.copies {
		if oldEnough(c, r.written) {
			chosen = n
		}
	}
	var opts []keyedlog.RestoreOption
	if keepsReads {
		opts = append(opts, keyedlog.KeepReads())
		r.readsEndAt = time.Now().Add(maxReadWait)
	}
	// Later copies have records that are lost now.
	r.copies = r.copies[:chosen+1]
	r.log.Restore(r.copies[chosen].content, opts...)
	r.written, r.logAway = r.copies[chosen].written, false
	r.forgetWithdrawn(r.written.routesVersion)
	r.addCopy()
}

// epochInLog returns the epoch of a node's record in the log, or 0 if it has none.
func (r *run) epochInLog(node string) (epoch int64) {
	m, err := fleet.DecodeMember(r.log.Newest(fleet.Topic, node))
	if err != nil {
		return 0
	}
	return m.Epoch
}

// writeDesiredState writes the newest desired state, unless the log has it. Its routes
// count as published now, if the log does not have their version. The caller holds the lock.
func (r *run) writeDesiredState() {
	if r.logAway || bytes.Equal(r.log.Newest(operator.DesiredStateTopic, operator.DesiredStateKey), r.desiredState) {
		return
	}
	r.log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, r.desiredState)
	r.written.records++
	if r.written.routesVersion < r.routesVersion {
		r.recordWithdrawn(r.written.routesVersion, r.routesVersion)
		r.written.routesVersion, r.publishedAt = r.routesVersion, time.Now()
	}
}

// rewriteDesiredState writes the newest desired state again, unless the log has it.
func (r *run) rewriteDesiredState() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeDesiredState()
}

// setLogAway defers what the operator writes until the log has been restored.
func (r *run) setLogAway() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logAway = true
}

// checkRecords checks that the log has the record of each node again in time after the last
// fault: one that is not older than those that the log had before it was restored.
func (r *run) checkRecords(ctx context.Context, lastFault time.Time) {
	for _, v := range r.vms {
		for ctx.Err() == nil {
			missing := r.missingRecord(v)
			if missing == "" {
				break
			}
			if time.Since(lastFault) > recoveryTimeout {
				r.ledger.recordViolation("%s", missing)
				break
			}
			time.Sleep(redialDelay)
		}
	}
}

// checkRecordsInTime checks that the log has the record of each node whose VM, and the log,
// have had no fault during the stable window before the time, nor since.
func (r *run) checkRecordsInTime(now time.Time) {
	for _, v := range r.vms {
		if missing := r.missingRecord(v); missing != "" && v.inTouch(now) && r.logStableSince(now) && r.readsEndedBefore(now) {
			r.ledger.recordViolation("%s", missing)
		}
	}
}

// readsEndedBefore reports whether the reads that the log kept over a restore had ended
// before the stable window before the time.
func (r *run) readsEndedBefore(now time.Time) (ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.readsEndAt) > stableWindow
}

// describeKeptReads states until when reads that the log kept over a restore may wait, for
// messages. It is empty if there are none.
func (r *run) describeKeptReads(now time.Time) (text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.After(r.readsEndAt) {
		return ""
	}
	return fmt.Sprintf(", while reads that the log kept over its restore may wait until %s", r.readsEndAt.Format(time.StampMicro))
}

// missingRecord states that the log has no record of a node, or an older one than it had
// before it was restored. It is empty otherwise.
func (r *run) missingRecord(v *vm) (text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	node := v.settings.Node
	epoch, expected := r.epochInLog(node), max(1, r.loggedEpochs[node])
	if epoch >= expected {
		return ""
	}
	return fmt.Sprintf("the record of %s in the log has epoch %d, expected at least %d", node, epoch, expected)
}

// restoreRepeatedly restores the log in series until the time, in phases with and without
// other faults.
func (s *schedule) restoreRepeatedly(ctx context.Context, random *rand.Rand, until time.Time) {
	var rewrites sync.WaitGroup
	defer rewrites.Wait()
	pause := func(longest time.Duration) (ended bool) {
		time.Sleep(min(time.Duration(random.Int64N(int64(longest))), time.Until(until)))
		return time.Now().After(until) || ctx.Err() != nil
	}
	for !pause(maxRestorePause) {
		for range 1 + random.IntN(maxRestoresInSeries) {
			if s.restore(random, &rewrites) {
				time.Sleep(min(quietTime, time.Until(until)))
				break
			}
			if pause(maxSeriesPause) {
				return
			}
		}
	}
}

// restore lets the log be away for a moment and come back from an earlier copy. The operator
// writes the newest desired state again, and may write another one right after the return.
// quiet is true if it then writes nothing for quietTime.
func (s *schedule) restore(random *rand.Rand, rewrites *sync.WaitGroup) (quiet bool) {
	var away, delay time.Duration
	age := minCopyAge + time.Duration(random.Int64N(int64(maxCopyAge-minCopyAge)))
	if random.IntN(2) == 0 {
		away = time.Duration(random.Int64N(int64(maxAway)))
	}
	if random.IntN(2) == 0 {
		delay = time.Duration(random.Int64N(int64(maxRewriteDelay)))
	}
	disconnects, keepsReads, publishes := random.IntN(2) == 0, random.IntN(4) == 0, random.IntN(2) == 0
	oldEnough := func(c logCopy, _ written) bool { return time.Since(c.takenAt) >= age }
	if quiet = publishes && random.IntN(2) == 0; quiet {
		lost := 1
		if delay == 0 {
			lost++
		}
		oldEnough = func(c logCopy, w written) bool { return c.written.records <= w.records-lost }
		s.beQuiet(away + quietTime)
	}
	s.run.recordFault(fmt.Sprintf("restore log: away %v, disconnects %t, copy %v old, keeps reads %t, written again after %v, publishes %t, quiet %t",
		away, disconnects, age, keepsReads, delay, publishes, quiet))
	end, endAway := s.run.beginLogFault(), func() {}
	if away > 0 {
		s.run.setLogAway()
		endAway = s.addLogFaults(keyedlog.Faults{Down: !disconnects, Disconnect: disconnects})
		time.Sleep(away)
	}
	s.run.restoreLog(oldEnough, keepsReads)
	if delay == 0 {
		s.run.rewriteDesiredState()
	}
	if publishes {
		s.run.publish()
	}
	endAway()
	end()
	rewrites.Go(func() {
		time.Sleep(delay)
		s.run.rewriteDesiredState()
	})
	return quiet
}

// beQuiet lets the operator publish nothing by itself for the time.
func (s *schedule) beQuiet(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quietUntil = time.Now().Add(d)
}

func (s *schedule) isQuiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.quietUntil)
}
