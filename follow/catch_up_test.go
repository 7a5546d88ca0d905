package follow_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/platform"
)

// longestRead is the longest time for which a read waits for a record. A read that has been
// sent to the silent log with such a wait ends before the log answers again, if the silence is
// as long as minSilence.
const (
	longestRead = 2 * time.Second
	minSilence  = 2 * longestRead
)

// Guards against a record that is late because the last call before the log answers again
// waits for an answer and is followed by a pause that has grown meanwhile. The log is
// restored while it answers nobody, and the record is written there before or after.
func TestRecordAfterSilenceOfLogIsHandledInTime(t *testing.T) {
	// A version of the desired state must be in force 2.5 s after the log has acknowledged
	// it and answers. 1 s of it is left for the way to nodes that do not read the log.
	const within = 1500 * time.Millisecond
	for name, faults := range map[string]keyedlog.Faults{"no answer": {Silent: true}, "rejected": {Down: true}, "disconnected": {Disconnect: true}} {
		t.Run(name, func(t *testing.T) {
			longest := time.Duration(0)
			for silence := minSilence; silence < 10*time.Second; silence += 50 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) { longest = max(longest, catchUp(t, faults, silence)) })
			}
			must.LessEq(t, within, longest)
		})
	}
}

// catchUp returns how long after the end of the faults a record is handled.
func catchUp(t *testing.T, faults keyedlog.Faults, duration time.Duration) time.Duration {
	log, handled, era := keyedlog.New(), make(chan struct{}), follow.NewEraTracker()
	client := platform.NewLogClient("log:1", platform.WithTransport(log.Transport()), platform.WithEraObserver(era.Observe))
	for n := range 3 {
		log.Put(topic, "k", []byte(strconv.Itoa(n)))
	}
	saved := log.Copy()
	log.Put(topic, "k", []byte("lost"))
	f := follow.New(client, topic, &eventLog{}, func(records []platform.Record) {
		for _, r := range records {
			if string(r.Value) == "new" {
				close(handled)
			}
		}
	}, follow.WithEra(era), follow.WithMaxWait(func() time.Duration { return longestRead }))
	ctx, cancel := context.WithCancel(t.Context())
	go f.Run(ctx)
	time.Sleep(10 * time.Second)
	log.SetFaults(faults)
	time.Sleep(duration / 2)
	log.Restore(saved)
	log.Put(topic, "k", []byte("new"))
	time.Sleep(duration / 2)
	log.SetFaults(keyedlog.Faults{})
	answers := time.Now()
	<-handled
	late := time.Since(answers)
	cancel()
	synctest.Wait()
	return late
}

// Guards against nodes that are not told that the log answers again, and against messages
// between nodes for each record.
func TestRecoveryIsReportedOnce(t *testing.T) {
	for name, test := range map[string]struct {
		faults  keyedlog.Faults
		restore bool
		want    int
	}{
		"calm": {}, "restored": {restore: true, want: 1}, "rejected": {faults: keyedlog.Faults{Down: true}, want: 1},
		"silent and restored": {keyedlog.Faults{Silent: true}, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, era, recovered := keyedlog.New(), follow.NewEraTracker(), 0
				client := platform.NewLogClient("log:1", platform.WithTransport(log.Transport()), platform.WithEraObserver(era.Observe))
				saved := log.Copy()
				f := follow.New(client, topic, &eventLog{}, func([]platform.Record) {}, follow.WithEra(era), follow.WithRecovered(func() { recovered++ }))
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				time.Sleep(time.Second)
				log.SetFaults(test.faults)
				time.Sleep(10 * time.Second)
				if test.restore {
					log.Restore(saved)
				}
				log.SetFaults(keyedlog.Faults{})
				for n := range 5 {
					time.Sleep(3 * time.Second)
					log.Put(topic, strconv.Itoa(n), []byte("new"))
				}
				cancel()
				synctest.Wait()
				must.EqOp(t, test.want, recovered)
			})
		})
	}
}
