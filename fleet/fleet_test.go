package fleet_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/platform"
)

func newMember(node string, epoch int64) fleet.Member {
	return fleet.Member{Node: node, Epoch: epoch, Address: node + ":1", Service: "orders", TakesWork: true}
}

func TestNewestRecordTakesEffect(t *testing.T) {
	table := fleet.NewTable()
	must.True(t, table.Apply(newMember("a", 5)))
	must.False(t, table.Apply(newMember("a", 4)))
	must.False(t, table.Apply(newMember("a", 5)))
	must.True(t, table.Apply(newMember("a", 6)))
	must.True(t, table.Drop("a"))
	// A dropped record that is received again from another node must stay dropped.
	must.False(t, table.Apply(newMember("a", 6)))
	must.True(t, table.Apply(newMember("a", 7)))
}

func TestDigest(t *testing.T) {
	one, two := fleet.NewTable(), fleet.NewTable()
	for _, m := range []fleet.Member{newMember("a", 1), newMember("b", 2)} {
		one.Apply(m)
	}
	for _, m := range []fleet.Member{newMember("b", 1), newMember("b", 2), newMember("c", 9), newMember("a", 1)} {
		two.Apply(m)
	}
	must.NotEq(t, one.Digest(), two.Digest())
	two.Drop("c")
	must.Eq(t, one.Digest(), two.Digest())
}

func TestDecodeMember(t *testing.T) {
	for name, text := range map[string]string{
		"not JSON":   "\x01",
		"no address": `{"node":"a","epoch":1,"service":"orders"}`,
		"no epoch":   `{"node":"a","address":"a:1","service":"orders"}`,
		"wrong type": `{"node":"a","address":"a:1","service":"orders","epoch":"1"}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := fleet.DecodeMember([]byte(text))
			must.Error(t, err)
		})
	}
}

func FuzzDecodeMember(f *testing.F) {
	f.Add([]byte(`{"node":"a","epoch":1,"address":"a:1","service":"orders","slots":5,"takesWork":true}`))
	for _, odd := range oddRecords {
		f.Add([]byte(odd))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := fleet.DecodeMember(data); err == nil {
			must.NoError(t, m.Check())
		}
	})
}

type discardEvents struct{}

func (discardEvents) Record(event.ID, ...slog.Attr) {}

func startLog(t *testing.T) (log *keyedlog.Log, client *platform.LogClient) {
	t.Helper()
	log = keyedlog.New()
	server := httptest.NewServer(log)
	t.Cleanup(server.Close)
	return log, platform.NewLogClient(server.Listener.Addr().String())
}

// startDirectory runs the directory of a node until the test ends.
func startDirectory(t *testing.T, client *platform.LogClient, node string, opts ...fleet.Option) (d *fleet.Directory, publishErrors *atomic.Int64) {
	t.Helper()
	publishErrors = &atomic.Int64{}
	self := newMember(node, 0)
	self.TakesWork = false
	d = fleet.NewDirectory(self, fleet.NewTable(), client, discardEvents{}, func() {}, opts...)
	d.OnPublishError(func() { publishErrors.Add(1) })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d, publishErrors
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
}

func takesWork(d *fleet.Directory, node string) func() bool {
	return func() bool {
		m, ok := d.Table().Get(node)
		return ok && m.TakesWork
	}
}

func TestNodesDiscoverEachOther(t *testing.T) {
	_, client := startLog(t)
	a, _ := startDirectory(t, client, "a")
	b, _ := startDirectory(t, client, "b")
	a.Update(func(m *fleet.Member) { m.TakesWork = true })
	eventually(t, takesWork(b, "a"))
	b.Update(func(m *fleet.Member) { m.TakesWork = true })
	eventually(t, takesWork(a, "b"))
}

// The earlier process of a node may have written its record while the system clock
// was ahead. The record of the new process has an earlier time, and must replace it
// all the same.
func TestRestartedNodeReplacesItsRecord(t *testing.T) {
	_, client := startLog(t)
	outdated := newMember("a", time.Now().Add(time.Hour).UnixMilli())
	value := []byte(`{"node":"a","epoch":` + time.Now().Add(time.Hour).Format("20060102") + `000000,"address":"old:1","service":"orders"}`)
	_, err := client.Put(context.Background(), fleet.Topic, "a", outdated.Epoch, "a", value)
	must.NoError(t, err)
	b, _ := startDirectory(t, client, "b")
	a, _ := startDirectory(t, client, "a")
	a.Update(func(m *fleet.Member) { m.TakesWork = true })
	eventually(t, takesWork(b, "a"))
}

func TestLogServiceOutage(t *testing.T) {
	log, client := startLog(t)
	a, publishErrors := startDirectory(t, client, "a")
	b, _ := startDirectory(t, client, "b")
	<-a.Loaded()
	<-b.Loaded()
	log.SetFaults(keyedlog.Faults{Down: true})
	eventually(t, func() bool { return !a.LogReachable() && !b.LogReachable() })
	a.Update(func(m *fleet.Member) { m.TakesWork = true })
	eventually(t, func() bool { return publishErrors.Load() > 0 })
	// During the outage, the record is received from the node itself.
	b.Merge(a.Self())
	must.True(t, takesWork(b, "a")())
	log.SetFaults(keyedlog.Faults{})
	c, _ := startDirectory(t, client, "c")
	eventually(t, takesWork(c, "a"))
}

func TestTrimmedLog(t *testing.T) {
	log, client := startLog(t)
	a, _ := startDirectory(t, client, "a")
	<-a.Loaded()
	log.Put(fleet.Topic, "b", []byte(`{"node":"b","epoch":5,"address":"b:1","service":"orders","takesWork":true}`))
	log.Trim(fleet.Topic)
	eventually(t, takesWork(a, "b"))
}

func TestForeignRecordsAreIgnored(t *testing.T) {
	log, client := startLog(t)
	log.Put(fleet.Topic, "x", []byte("\x00\x01 not ours"))
	log.Put(fleet.Topic, "b", []byte(`{"node":"b","epoch":5,"address":"b:1","service":"orders","takesWork":true}`))
	a, _ := startDirectory(t, client, "a")
	eventually(t, takesWork(a, "b"))
	must.Len(t, 1, a.Table().Members())
}
