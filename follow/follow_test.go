package follow_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/platform"
)

// store is a topic in memory whose calls can fail.
type store struct {
	mu     sync.Mutex
	values []string
	first  int64
	fails  int
	reads  int
}

func (s *store) Newest(context.Context, string) (records []platform.Record, next int64, err error) {
	return s.from(0)
}

func (s *store) Read(ctx context.Context, _ string, from int64, wait time.Duration) (records []platform.Record, next int64, err error) {
	for range int(wait / time.Second) {
		s.mu.Lock()
		trimmed, more := from < s.first, from < int64(len(s.values))
		s.mu.Unlock()
		if trimmed {
			return nil, 0, platform.ErrTrimmed
		}
		if more {
			break
		}
		follow.Pause(ctx, time.Second)
	}
	return s.from(from)
}

func (s *store) from(from int64) (records []platform.Record, next int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.fails > 0 {
		s.fails--
		return nil, 0, errors.New("down")
	}
	for n := max(from, s.first); n < int64(len(s.values)); n++ {
		records = append(records, platform.Record{Key: s.values[n], Offset: n})
	}
	return records, int64(len(s.values)), nil
}

// write appends the record b, after which some calls fail.
func (s *store) write(fails int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = append(s.values, "b")
	s.fails = fails
}

// trim deletes the first record.
func (s *store) trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = 1
}

type events struct{ ids []event.ID }

func (e *events) Record(id event.ID, _ ...slog.Attr) { e.ids = append(e.ids, id) }

// Guards against records that are missed or taken twice: around failed calls,
// and when the log has deleted those that come next.
func TestEachRecordIsTakenOnce(t *testing.T) {
	for name, trouble := range map[string]func(s *store){
		"none":            func(s *store) { s.write(0) },
		"calls fail":      func(s *store) { s.write(3) },
		"records deleted": func(s *store) { s.write(0); s.trim() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, seen, log := &store{values: []string{"a"}}, map[string]int{}, &events{}
				f := follow.New(s, "topic", log, func(records []platform.Record) {
					for _, r := range records {
						seen[r.Key]++
					}
				})
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				time.Sleep(time.Minute)
				trouble(s)
				time.Sleep(time.Minute)
				cancel()
				synctest.Wait()
				must.Eq(t, map[string]int{"a": 1, "b": 1}, seen)
				must.True(t, f.Reachable())
				must.Eq(t, len(log.ids)%2, 0)
			})
		})
	}
}

// Guards against a log that is read by nodes that have it from others, and
// against one that they miss when they read it again.
func TestDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, seen, duty := &store{values: []string{"a"}}, "", false
		var mu sync.Mutex
		f := follow.New(s, "topic", &events{}, func(records []platform.Record) {
			for _, r := range records {
				seen += r.Key
			}
		}, follow.WithDuty(func() bool { mu.Lock(); defer mu.Unlock(); return duty }))
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Minute)
		s.write(0)
		time.Sleep(time.Minute)
		synctest.Wait()
		must.EqOp(t, "a", seen)
		must.EqOp(t, 1, s.reads)
		mu.Lock()
		duty = true
		mu.Unlock()
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		must.EqOp(t, "ab", seen)
	})
}
