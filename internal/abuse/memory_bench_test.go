package abuse_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/abuse"
)

const (
	// benchMemoryBytes and benchDescriptors are the largest limits of the deployments, with which
	// a node keeps all connections of the benchmark.
	benchMemoryBytes, benchDescriptors = 536 << 20, 8192
	// halfHeadBytes is the part of a head that has arrived.
	halfHeadBytes = 1 << 10
	kb            = 1 << 10
	// acceptWait bounds the wait until the node has accepted all clients. It is less than the time
	// limit of a head.
	acceptWait, pollInterval = 4 * time.Second, 20 * time.Millisecond
)

// BenchmarkClientMemory measures the memory of a node process, from /proc, with connections of
// callers that are idle after an ordinary request, that have sent a part of a head, or that do not
// read their responses of 200 KB. It reports the memory beside that of the same process before
// they connect.
//
//	go test ./internal/abuse -run xxx -bench ClientMemory -benchtime 1x
func BenchmarkClientMemory(b *testing.B) {
	for name, open := range map[string]func(ctx context.Context, clients int, address string) (closeCrowd func()){
		"idle": func(ctx context.Context, clients int, address string) func() {
			return abuse.Open(ctx, clients, address, abuse.Ordinary()).Close
		},
		"half sent": func(ctx context.Context, clients int, address string) func() {
			return abuse.Open(ctx, clients, address, abuse.ShortLines(halfHeadBytes)).Close
		},
		"unread": func(ctx context.Context, clients int, address string) func() {
			return abuse.OpenContinued(ctx, clients, address, abuse.SendUnread).Close
		},
	} {
		for _, clients := range []int{1000, 3000} {
			b.Run(fmt.Sprintf("%s/%d", name, clients), func(b *testing.B) {
				for range b.N {
					measureClientMemory(b, clients, open)
				}
			})
		}
	}
}

func measureClientMemory(b *testing.B, clients int, open func(ctx context.Context, clients int, address string) (closeCrowd func())) {
	d, err := abuse.StartWithMemory(binaries, b.TempDir(), benchDescriptors, benchMemoryBytes)
	must.NoError(b, err)
	defer d.Close()
	must.NoError(b, d.WaitAnswered(b.Context()))
	before, err := d.Usage()
	must.NoError(b, err)
	closeCrowd := open(b.Context(), clients, d.Address("caller"))
	defer closeCrowd()
	during := before
	for end := time.Now().Add(acceptWait); during.Descriptors < before.Descriptors+clients-1 && time.Now().Before(end); time.Sleep(pollInterval) {
		during, err = d.Usage()
		must.NoError(b, err)
	}
	during, err = d.Settle()
	must.NoError(b, err)
	b.ReportMetric(float64(before.ResidentBytes)/kb/kb, "MB-before")
	b.ReportMetric(float64(during.ResidentBytes)/kb/kb, "MB")
	b.ReportMetric(float64(during.PeakBytes)/kb/kb, "MB-peak")
	b.ReportMetric(float64(during.AnonymousBytes-before.AnonymousBytes)/kb/float64(clients), "KB/client")
	b.ReportMetric(float64(during.Descriptors-before.Descriptors), "descriptors")
}
