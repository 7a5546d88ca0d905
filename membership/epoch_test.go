package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against keys that are refused as malformed because their age is above
// the true one, and against keys that expire early in a large system because
// their age is only the last one received.
func TestEpochGrowsBetweenMessages(t *testing.T) {
	started := time.Unix(1_000_000, 0)
	table := NewTable(started, Self{Node: "a", Incarnation: 1, Started: started}, rand.New(rand.NewPCG(1, 1)))
	table.merge(started, []update{{fields: fields{Node: "b", Peer: "b:1", Incarnation: 7, Version: 1, AgeSeconds: 100}}})
	cases := map[string]struct {
		after time.Duration
		want  uint32
	}{
		"at once":           {0, 100},
		"within the margin": {time.Second, 100},
		"a minute later":    {time.Minute, 158},
		"an hour later":     {time.Hour, 100 + 3595},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, epoch, ok := table.Epoch(started.Add(c.after), "b")
			must.True(t, ok)
			must.EqOp(t, c.want, epoch)
		})
	}
}
