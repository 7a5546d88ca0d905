package node

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/event"
)

// recordedEvents stores the IDs of recorded events.
type recordedEvents []event.ID

func (r *recordedEvents) Record(id event.ID, _ ...slog.Attr) { *r = append(*r, id) }

// Guards against missing events about the start or end of shedding, and against an
// event for every refusal.
func TestLoadMonitor(t *testing.T) {
	var got recordedEvents
	monitor := &loadMonitor{events: &got, limit: 50}
	steps := []struct {
		millis  int
		limit   int
		refused uint64
		want    []event.ID
	}{
		{0, 50, 0, nil},
		{200, 54, 0, nil}, // changed by less than 10 %
		{400, 30, 0, []event.ID{event.LimitChanged}},
		{600, 30, 5, []event.ID{event.SheddingStarted}},
		{800, 30, 9, nil},
		{1700, 30, 9, nil}, // less than 1 s since the last refusal
		{1800, 30, 9, []event.ID{event.SheddingStopped}},
		{2000, 30, 9, nil},
		{2200, 30, 10, []event.ID{event.SheddingStarted}},
	}
	for _, s := range steps {
		got = nil
		monitor.observe(time.UnixMilli(int64(s.millis)), admission.Load{Limit: s.limit}, s.refused, "orders")
		must.Eq(t, recordedEvents(s.want), got, must.Sprintf("at %d ms", s.millis))
	}
}
