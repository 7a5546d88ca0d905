package fleet_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/fleet"
)

const oddRecordFormat = `{"node":"b","epoch":%s,"address":%q,"service":"orders","slots":%s,"born":%s,"takesWork":true%s}`

// oddRecords are records of node b that another writer left.
var oddRecords = map[string]string{
	"nested":           strings.Repeat(`{"node":`, 11_000),
	"nested elsewhere": fmt.Sprintf(oddRecordFormat, "5", "b:1", "5", "5", `,"x":`+strings.Repeat("[", 11_000)+strings.Repeat("]", 11_000)),
	"largest epoch":    fmt.Sprintf(oddRecordFormat, "9223372036854775807", "b:1", "5", "5", ""),
	"nanosecond epoch": fmt.Sprintf(oddRecordFormat, "1796428800000000000", "b:1", "5", "5", ""),
	"epoch overflows":  fmt.Sprintf(oddRecordFormat, "9223372036854775808", "b:1", "5", "5", ""),
	"port too large":   fmt.Sprintf(oddRecordFormat, "5", "b:99999", "5", "5", ""),
	"port 0":           fmt.Sprintf(oddRecordFormat, "5", "b:0", "5", "5", ""),
	"no port":          fmt.Sprintf(oddRecordFormat, "5", "b", "5", "5", ""),
	"no host":          fmt.Sprintf(oddRecordFormat, "5", ":1", "5", "5", ""),
	"path in address":  fmt.Sprintf(oddRecordFormat, "5", "b/x:1", "5", "5", ""),
	"negative slots":   fmt.Sprintf(oddRecordFormat, "5", "b:1", "-5", "5", ""),
	"too many slots":   fmt.Sprintf(oddRecordFormat, "5", "b:1", "9223372036854775807", "5", ""),
	"start too late":   fmt.Sprintf(oddRecordFormat, "5", "b:1", "5", "9223372036854775807", ""),
	"start negative":   fmt.Sprintf(oddRecordFormat, "5", "b:1", "5", "-5", ""),
	"long zone":        fmt.Sprintf(oddRecordFormat, "5", "b:1", "5", "5", `,"zone":"`+strings.Repeat("x", 1<<11)+`"`),
}

// Guards against an odd record that hides the next true record of its node and those of
// other nodes, in the log and between nodes.
func TestOddRecordHidesNoOtherRecord(t *testing.T) {
	for name, odd := range oddRecords {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log, client := startLog(t)
			log.Put(fleet.Topic, "c", []byte(`{"node":"c","epoch":5,"address":"c:1","service":"orders","takesWork":true}`))
			log.Put(fleet.Topic, "b", []byte(odd))
			log.Put(fleet.Topic, "d", []byte(`{"node":"d","epoch":5,"address":"d:1","service":"orders","takesWork":true}`))
			a, _ := startDirectory(t, client, "a")
			eventually(t, func() bool { return takesWork(a, "c")() && takesWork(a, "d")() })
			_, taken := a.Table().Get("b")
			must.False(t, taken)
			b, _ := startDirectory(t, client, "b")
			<-b.Loaded()
			b.Update(func(m *fleet.Member) { m.TakesWork, m.Slots = true, 3 })
			eventually(t, func() bool {
				m, ok := a.Table().Get("b")
				return ok && m.Slots == 3
			})
		})
	}
}

// Guards against an odd record that a node takes from another node, which does not check,
// and passes on.
func TestOddRecordFromOtherNodeIsNotTaken(t *testing.T) {
	for name, change := range map[string]func(m *fleet.Member){
		"epoch":    func(m *fleet.Member) { m.Epoch = 1<<63 - 1 },
		"port":     func(m *fleet.Member) { m.Address = "b:99999" },
		"slots":    func(m *fleet.Member) { m.Slots = 1<<63 - 1 },
		"start":    func(m *fleet.Member) { m.StartMs = 1<<63 - 1 },
		"instance": func(m *fleet.Member) { m.Instance = strings.Repeat("x", 1<<20) },
	} {
		t.Run(name, func(t *testing.T) {
			d := fleet.NewDirectory(newMember("a", 0), fleet.NewTable(), &eraLog{}, discardEvents{}, func() {})
			odd := newMember("b", 5)
			change(&odd)
			d.Merge(odd, newMember("c", 5))
			must.Eq(t, []fleet.Member{newMember("c", 5)}, d.Table().Members())
		})
	}
}

// Guards against a node that is ignored because its clock was set wrong by years.
func TestWrongClockIsAccepted(t *testing.T) {
	for name, epoch := range map[string]int64{"1970": 1, "2099": 4_100_000_000_000, "9999": 253_402_300_799_999} {
		t.Run(name, func(t *testing.T) {
			m := newMember("b", epoch)
			m.StartMs = epoch
			must.NoError(t, m.Check())
		})
	}
}

// Guards against a node that later starters do not learn of, because another writer has
// replaced its record in the log, and against a record that is taken for that of another node.
func TestOverwrittenRecordIsWrittenAgain(t *testing.T) {
	for name, odd := range map[string]string{
		"unreadable":     "\x00\x01",
		"largest epoch":  `{"node":"a","epoch":9223372036854775807,"address":"a:1","service":"orders"}`,
		"port too large": `{"node":"a","epoch":5,"address":"a:99999","service":"orders"}`,
		"another node":   `{"node":"b","epoch":4000000000000,"address":"b:1","service":"orders"}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log, client := startLog(t)
			a, _ := startDirectory(t, client, "a")
			inLog := func() bool {
				m, err := fleet.DecodeMember(log.Newest(fleet.Topic, "a"))
				return err == nil && m.Node == "a" && m.TakesWork
			}
			for range 2 {
				a.Update(func(m *fleet.Member) { m.TakesWork, m.Slots = true, m.Slots+1 })
				eventually(t, inLog)
				log.Put(fleet.Topic, "a", []byte(odd))
				eventually(t, inLog)
			}
			b, _ := startDirectory(t, client, "b")
			<-b.Loaded()
			must.Len(t, 1, b.Table().Members())
			b.Update(func(m *fleet.Member) { m.TakesWork = true })
			eventually(t, func() bool { return takesWork(a, "b")() && takesWork(b, "a")() })
		})
	}
}

// Guards against a node that can never write its record, because another writer has used
// its name as producer with the highest epoch.
func TestForeignProducerEpochStopsNoWrites(t *testing.T) {
	log, client := startLog(t)
	_, err := client.Put(t.Context(), fleet.Topic, "a", 1<<63-1, "x", []byte("{}"))
	must.NoError(t, err)
	for _, process := range []string{"first", "restarted"} {
		t.Run(process, func(t *testing.T) {
			a, _ := startDirectory(t, client, "a")
			<-a.Loaded()
			a.Update(func(m *fleet.Member) { m.TakesWork = true })
			eventually(t, func() bool {
				m, err := fleet.DecodeMember(log.Newest(fleet.Topic, "a"))
				return err == nil && m.Epoch == a.Self().Epoch
			})
		})
	}
}
