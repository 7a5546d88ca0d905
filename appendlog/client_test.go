package appendlog_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/logservice"
)

func startLog(t *testing.T, opts ...logservice.Option) (*logservice.Service, *appendlog.Client) {
	service := logservice.New(opts...)
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, appendlog.New(server.Listener.Addr().String())
}

func appendAll(t *testing.T, log appendlog.Journal, records ...string) {
	for _, record := range records {
		_, err := log.Append(t.Context(), "s", []byte(record))
		must.NoError(t, err)
	}
}

func contents(page appendlog.Page) (records []string) {
	for _, record := range page.Records {
		records = append(records, string(record.Data))
	}
	return records
}

// Guards against records that are altered, reordered or lost between writer and
// reader.
func TestAppendAndRead(t *testing.T) {
	_, log := startLog(t, logservice.WithRetention(3, 0))
	appendAll(t, log, "a", "b", "c\x00", "d")
	for name, c := range map[string]struct {
		from         int64
		limit        int
		records      []string
		oldest, next int64
	}{
		"all kept": {0, 10, []string{"b", "c\x00", "d"}, 1, 4},
		"limited":  {0, 2, []string{"b", "c\x00"}, 1, 4},
		"last":     {3, 10, []string{"d"}, 1, 4},
		"end":      {4, 10, nil, 1, 4},
		"beyond":   {9, 10, nil, 1, 4},
	} {
		t.Run(name, func(t *testing.T) {
			page, err := log.Read(t.Context(), "s", c.from, c.limit, 0)
			must.NoError(t, err)
			test.Eq(t, c.records, contents(page))
			test.Eq(t, [2]int64{c.oldest, c.next}, [2]int64{page.Oldest, page.Next})
		})
	}
}

// Guards against a reader that misses a record appended while it waits.
func TestReadWaits(t *testing.T) {
	_, log := startLog(t)
	go func() { _, _ = log.Append(t.Context(), "s", []byte("late")) }()
	page, err := log.Read(t.Context(), "s", 0, 1, time.Minute)
	must.NoError(t, err)
	must.Eq(t, []string{"late"}, contents(page))
}

// Guards against an append that is reported as successful although its response
// was lost, and against a client that blocks on a slow log service.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults  logservice.Faults
		written int
	}{
		"down":        {logservice.Faults{Down: true}, 0},
		"slow":        {logservice.Faults{Delay: time.Hour}, 0},
		"lost answer": {logservice.Faults{LoseAnswers: 1}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			service, _ := startLog(t)
			server := httptest.NewServer(service)
			defer server.Close()
			log := appendlog.New(server.Listener.Addr().String(), appendlog.WithTimeout(50*time.Millisecond))
			service.SetFaults(c.faults)
			_, err := log.Append(t.Context(), "s", []byte("a"))
			must.Error(t, err)
			service.SetFaults(logservice.Faults{})
			page, err := service.Read(t.Context(), "s", 0, 10, 0)
			must.NoError(t, err)
			test.Len(t, c.written, page.Records)
		})
	}
}
