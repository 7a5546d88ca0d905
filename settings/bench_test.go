package settings

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// largeHistory returns a history of the target size: 39 teams with one service of 12
// routes each.
func largeHistory(b *testing.B) *History {
	const teams = 39
	var root strings.Builder
	root.WriteString("teams:\n")
	for i := range teams {
		fmt.Fprintf(&root, "  t%d:\n    publicKey: %s\n    services: [s%d]\n", i, base64.StdEncoding.EncodeToString(publicKey(teamPrivateKey)), i)
	}
	h := NewHistory(publicKey(rootPrivateKey))
	apply := func(c Change) { must.Eq(b, Accepted, h.Apply(h.Offset(), encode(b, c)).Kind) }
	apply(change(b, RootBranch, RootBranch, 0, root.String(), rootPrivateKey))
	for i := range teams {
		apply(change(b, fmt.Sprintf("t%d", i), fmt.Sprintf("t%d", i), 0, largeBranch(i), teamPrivateKey))
	}
	return h
}

func largeBranch(i int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "services:\n  s%d:\n    slots: 50\n    connections: 400\n    routes:\n", i)
	for j := range 12 {
		fmt.Fprintf(&text, "      - path: /path-%d/\n        methods: [GET, HEAD]\n        importance: high\n        repeat: always\n        timeout: 2s\n", j)
	}
	return text.String()
}

// BenchmarkReplay measures how long a node takes to apply one change of a team.
func BenchmarkReplay(b *testing.B) {
	h := largeHistory(b)
	for b.Loop() {
		_, revision := h.Branch("t7")
		must.Eq(b, Accepted, h.Apply(h.Offset(), encode(b, change(b, "t7", "t7", revision, largeBranch(7), teamPrivateKey))).Kind)
	}
}

// BenchmarkRestore measures how long a new node takes to restore a snapshot.
func BenchmarkRestore(b *testing.B) {
	wire := largeHistory(b).snapshotWire(time.Now())
	data, err := marshal(recordWire{Snapshot: &wire})
	must.NoError(b, err)
	for b.Loop() {
		must.NoError(b, NewHistory(publicKey(rootPrivateKey)).restore(wire))
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
}
