package node_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
	"github.com/lacewingslip/lacewingslip/settings"
)

// BenchmarkCall compares the routes of a small call: directly to the backend
// server, through one or two minimal relays, and through ingress and sidecar. The
// metrics p50-µs and p99-µs are latencies of complete calls, made one at a time.
//
//	go test ./node -run xxx -bench Call -benchtime 3s
func BenchmarkCall(b *testing.B) {
	root, branches, err := settings.ReadDirectory("../examples/tesfaye")
	if err != nil {
		b.Fatal(err)
	}
	catalogue := backend.New("catalogue")
	system, err := loopback.Start(context.Background(), loopback.WithTree(root, branches...),
		loopback.WithUpstream("addis", "addis-a", backend.New("orders")),
		loopback.WithUpstream("addis", "addis-b", catalogue))
	if err != nil {
		b.Fatal(err)
	}
	defer system.Stop(context.Background())
	direct := httptest.NewServer(catalogue)
	defer direct.Close()
	oneRelay := httptest.NewServer(bareRelay(direct.URL))
	defer oneRelay.Close()
	twoRelays := httptest.NewServer(bareRelay(oneRelay.URL))
	defer twoRelays.Close()
	for _, route := range []struct{ name, url string }{
		{"direct", direct.URL},
		{"oneBareRelay", oneRelay.URL},
		{"twoBareRelays", twoRelays.URL},
		{"ingressAndSidecar", "http://" + system.Caller(0)},
	} {
		b.Run(route.name, func(b *testing.B) { measureCalls(b, route.url+"/catalogue/moulds") })
	}
}

// bareRelay is a minimal net/http proxy for comparison.
func bareRelay(target string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.RequestURI(), r.Body)
		if err != nil {
			panic(err)
		}
		request.Header = r.Header.Clone()
		answer, err := transport.RoundTrip(request)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer answer.Body.Close()
		w.WriteHeader(answer.StatusCode)
		_, _ = io.Copy(w, answer.Body)
	})
}

// processorTime returns the CPU time that this process has used so far. Unlike
// elapsed time, it depends little on the other load of the machine.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func measureCalls(b *testing.B, url string) {
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	b.ReportAllocs()
	before := processorTime(b)
	for b.Loop() {
		started := time.Now()
		answer, err := http.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		_ = latencies.RecordValue(time.Since(started).Microseconds())
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-µs")
}
