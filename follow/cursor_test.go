package follow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/follow"
)

// Guards against a read that leaves out records or proves that there are none, although the log
// has deleted those at its position or was restored.
func TestCursorMissesNoRecord(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *fakeLog)
		pause  time.Duration
		// reads are the keys that the reads after the change return, and complete is whether the
		// first of them is.
		reads    []string
		complete bool
	}{
		"nothing new":      {func(*fakeLog) {}, time.Second, []string{"", ""}, true},
		"a record":         {func(s *fakeLog) { s.write(0) }, time.Second, []string{"b", ""}, false},
		"long ago":         {func(s *fakeLog) { s.write(0) }, time.Hour, []string{"ab", ""}, true},
		"another era":      {func(s *fakeLog) { s.restore([]string{"a", "c"}, 2) }, time.Second, []string{"", "ac"}, false},
		"end before":       {func(s *fakeLog) { s.restore(nil, 1) }, time.Second, []string{"", ""}, false},
		"log fails before": {func(s *fakeLog) { s.write(1) }, time.Second, []string{"", "b"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeLog{values: []string{"a"}, era: 1}
			cursor, now := follow.NewCursor(s, topic), time.Hour
			first, err := cursor.Read(t.Context(), now)
			must.NoError(t, err)
			must.True(t, first.Complete)
			c.change(s)
			for n, want := range c.reads {
				now += c.pause
				read, _ := cursor.Read(t.Context(), now)
				keys := ""
				for _, r := range read.Records {
					keys += r.Key
				}
				must.EqOp(t, want, keys)
				must.True(t, n > 0 || c.complete == read.Complete)
				c.pause = time.Second
			}
		})
	}
}
