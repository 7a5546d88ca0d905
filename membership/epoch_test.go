package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A key that states an age above the true one would be refused as malformed, and
// one that states only the last heard age would expire early in a large system.
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
