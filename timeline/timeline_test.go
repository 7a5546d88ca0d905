package timeline_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/timeline"
)

// Guards against a timestamp that is altered when it is sent in a header, which would
// sort effects before their causes.
func TestStampText(t *testing.T) {
	cases := map[string]struct {
		text string
		ok   bool
	}{
		"zero":             {"0.0", true},
		"ordinary":         {"1764831061123.42", true},
		"largest":          {"281474976710655.65535", true},
		"empty":            {"", false},
		"no counter":       {"1764831061123", false},
		"counter too big":  {"1.65536", false},
		"wall too big":     {"281474976710656.0", false},
		"negative":         {"-1.0", false},
		"trailing garbage": {"1.0x", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			timestamp, err := timeline.ParseTimestamp(tc.text)
			must.Eq(t, tc.ok, err == nil)
			if tc.ok {
				must.EqOp(t, tc.text, timestamp.String())
			}
		})
	}
}

// Guards against an effect that sorts before its cause: a receiver whose wall clock
// is behind must still give later timestamps than the sender.
func TestClockOrdersCauseBeforeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender, receiver := timeline.NewClock(), timeline.NewClock()
		ahead := timeline.TimestampAt(time.Now().Add(3 * time.Second))
		must.NoError(t, sender.Observe(ahead))
		sent := sender.Now()
		must.NoError(t, receiver.ObserveText(sent.String()))
		received := receiver.Now()
		must.Less(t, 0, sent.Compare(received))
		// The wall clock part stays unchanged until the wall clock has passed it.
		must.EqOp(t, ahead.Time(), received.Time())
		time.Sleep(4 * time.Second)
		must.EqOp(t, timeline.TimestampAt(time.Now()), receiver.Now())
	})
}

// Guards against one machine with a wrong wall clock that advances the clocks of all
// other machines.
func TestClockRefusesFarJump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := timeline.NewClock()
		must.Error(t, clock.Observe(timeline.TimestampAt(time.Now().Add(timeline.MaxForwardJump+time.Millisecond))))
		must.EqOp(t, timeline.TimestampAt(time.Now()), clock.Now())
	})
}

// Guards against equal timestamps when more events occur in one millisecond than the
// counter can represent.
func TestClockCounterOverflow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := timeline.NewClock()
		last := clock.Now()
		for range 1 << 17 {
			next := clock.Now()
			must.Less(t, 0, last.Compare(next))
			last = next
		}
	})
}

// Guards against a buffer that grows, returns events in the wrong order or retains the
// oldest events rather than the most recent ones.
func TestRecorderKeepsLatest(t *testing.T) {
	recorder := timeline.NewRecorder("orders-1", timeline.WithCapacity(3))
	for _, id := range []event.ID{event.NodeStarted, event.CallStarted, event.CallRetried, event.CallUnknown} {
		recorder.Record(id)
	}
	kept := recorder.Events(timeline.Timestamp{})
	must.Eq(t, []string{"callStarted", "callRetried", "callUnknown"}, names(kept))
	must.Eq(t, []string{"callUnknown"}, names(recorder.Events(kept[1].Timestamp)))
}

// Guards against a log line without the number and name by which the event is listed in
// docs/events.md.
func TestRecorderLogsNumberAndName(t *testing.T) {
	var logged bytes.Buffer
	recorder := timeline.NewRecorder("orders-1", timeline.WithLogger(slog.New(slog.NewTextHandler(&logged, nil))))
	recorder.Record(event.CallNotRun, slog.String(timeline.KeyService, "orders"))
	must.StrContains(t, logged.String(), "level=INFO msg=callNotRun event=2002 service=orders")
}

// Guards against a node that returns the wrong events to an operator. Each filter must
// select exactly the matching events, also over HTTP and in JSON.
func TestHandlerFilters(t *testing.T) {
	recorder := timeline.NewRecorder("orders-1")
	recorder.Record(event.NodeStarted)
	recorder.Record(event.CallStarted, slog.String(timeline.KeyRequest, "r1"), slog.String(timeline.KeyService, "orders"))
	recorder.Record(event.CallUnknown, slog.String(timeline.KeyRequest, "r2"), slog.String(timeline.KeyService, "dispatch"))
	recorder.Record(event.MemberSuspect, slog.String(timeline.KeyNode, "dispatch-1"), slog.Duration("silent", 2*time.Second))
	server := httptest.NewServer(recorder.Handler())
	defer server.Close()

	cases := map[string]struct {
		filter timeline.Filter
		want   []string
	}{
		"all":             {timeline.Filter{}, []string{"nodeStarted", "callStarted", "callUnknown", "memberSuspect"}},
		"since":           {timeline.Filter{Since: recorder.Events(timeline.Timestamp{})[2].Timestamp}, []string{"memberSuspect"}},
		"request":         {timeline.Filter{Request: "r1"}, []string{"callStarted"}},
		"service":         {timeline.Filter{Service: "dispatch"}, []string{"callUnknown"}},
		"node recorded":   {timeline.Filter{Node: "orders-1"}, []string{"nodeStarted", "callStarted", "callUnknown", "memberSuspect"}},
		"node is subject": {timeline.Filter{Node: "dispatch-1"}, []string{"memberSuspect"}},
		"none":            {timeline.Filter{Request: "r1", Service: "dispatch"}, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			page, err := timeline.Fetch(context.Background(), server.Client(), strings.TrimPrefix(server.URL, "http://"), tc.filter)
			must.NoError(t, err)
			must.Eq(t, tc.want, names(page.Events))
			must.Eq(t, tc.want, names(tc.filter.Select(recorder.Events(timeline.Timestamp{}))))
		})
	}
	resp, err := http.Get(server.URL + "?since=yesterday")
	must.NoError(t, err)
	defer resp.Body.Close()
	must.EqOp(t, http.StatusBadRequest, resp.StatusCode)
}

// Guards against an order of merged events that depends on the order in which nodes
// responded, and against duplicate events.
func TestMergeAndWrite(t *testing.T) {
	timestamp := func(text string) timeline.Timestamp {
		s, err := timeline.ParseTimestamp(text)
		must.NoError(t, err)
		return s
	}
	a := []timeline.Event{
		{Timestamp: timestamp("1000.0"), Node: "a", ID: event.CallRetried, Name: "callRetried", Attributes: []timeline.Attribute{{Key: "reason", Value: "no answer"}}},
		{Timestamp: timestamp("1001.1"), Node: "a", ID: event.CallUnknown, Name: "callUnknown", Level: slog.LevelWarn},
	}
	b := []timeline.Event{{Timestamp: timestamp("1001.0"), Node: "b", ID: event.CallStarted, Name: "callStarted", Level: slog.LevelDebug}}
	merged := timeline.Merge(b, a, b)
	must.Eq(t, timeline.Merge(a, b), merged)

	var text, lines bytes.Buffer
	must.NoError(t, timeline.WriteText(&text, merged))
	must.EqOp(t, `1970-01-01T00:00:01.000Z.00000 INFO  2004 callRetried          a reason="no answer"
1970-01-01T00:00:01.001Z.00000 DEBUG 2005 callStarted          b
1970-01-01T00:00:01.001Z.00001 WARN  2003 callUnknown          a
`, text.String())
	must.NoError(t, timeline.WriteJSON(&lines, merged[:2]))
	must.EqOp(t, `{"at":"1000.0","node":"a","number":2004,"name":"callRetried","level":"INFO","attributes":{"reason":"no answer"}}
{"at":"1001.0","node":"b","number":2005,"name":"callStarted","level":"DEBUG"}
`, lines.String())
}

func BenchmarkRecord(b *testing.B) {
	recorder := timeline.NewRecorder("orders-1")
	b.ReportAllocs()
	for b.Loop() {
		recorder.Record(event.CallStarted, slog.String(timeline.KeyRequest, "r1"), slog.String(timeline.KeyService, "orders"))
	}
}

func names(events []timeline.Event) []string {
	var all []string
	for _, e := range events {
		all = append(all, e.Name)
	}
	return all
}

// Guards against a node whose memory fills with the texts of another process, such as a
// record with a number of a million digits, which the error of its decoder repeats.
func TestLongTextIsCut(t *testing.T) {
	var log strings.Builder
	r := timeline.NewRecorder("n", timeline.WithLogger(slog.New(slog.NewTextHandler(&log, nil))))
	for range 3 {
		r.Record(event.MemberUnreadable, slog.String("key", "a"), slog.String("error", strings.Repeat("9", 1<<20)))
	}
	must.Less(t, 16<<10, log.Len())
	for _, e := range r.Events(timeline.Timestamp{}) {
		must.Eq(t, timeline.Attribute{Key: "key", Value: "a"}, e.Attributes[0])
		must.Less(t, 4<<10, len(e.Attributes[1].Value))
		must.StrContains(t, e.Attributes[1].Value, "(1048576 bytes)")
	}
}
