package node

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/admission"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/routing"
	"github.com/lacewingslip/lacewingslip/timeline"
)

const (
	// avoidedEventInterval is the minimum time between two events about avoiding
	// the same upstream. Under overload, most attempts would otherwise record one.
	avoidedEventInterval = time.Second
	// sheddingQuietPeriod is the time without refusals after which shedding is
	// considered to have stopped.
	sheddingQuietPeriod = time.Second
	// limitChangeThreshold is the minimum change of the concurrency limit that is
	// recorded, as a fraction of the last recorded limit.
	limitChangeThreshold = 0.1
)

// loadMonitor records events when the sidecar's concurrency limit changes and when
// shedding starts or stops. It must be used by one goroutine only.
type loadMonitor struct {
	events recorder

	limit       int
	refused     uint64
	shedding    bool
	lastRefusal time.Time
}

// observe compares the load and the total number of refusals for lack of capacity
// with those of the previous call.
func (m *loadMonitor) observe(now time.Time, load admission.Load, refusals uint64, service string) {
	if change := load.Limit - m.limit; float64(max(change, -change)) > limitChangeThreshold*float64(m.limit) {
		m.events.Record(event.LimitChanged, attrService(service), slog.Int("from", m.limit), slog.Int("to", load.Limit))
		m.limit = load.Limit
	}
	if refusals != m.refused {
		m.refused, m.lastRefusal = refusals, now
		if !m.shedding {
			m.shedding = true
			m.events.Record(event.SheddingStarted, attrService(service), slog.Int("queued", load.Queued), slog.Int("limit", load.Limit))
		}
		return
	}
	if m.shedding && now.Sub(m.lastRefusal) >= sheddingQuietPeriod {
		m.shedding = false
		m.events.Record(event.SheddingStopped, attrService(service))
	}
}

// attemptMonitor records failed attempts at upstreams as events, and counts the
// bytes exchanged with other regions.
type attemptMonitor struct {
	region  string
	metrics *metrics.Metrics
	events  recorder

	mu           sync.Mutex
	lastRecorded map[string]time.Time
}

func newAttemptMonitor(config Config, m *metrics.Metrics, events *timeline.Recorder) *attemptMonitor {
	return &attemptMonitor{region: config.region, metrics: m, events: events, lastRecorded: make(map[string]time.Time)}
}

// attemptEnded records the end of an attempt. kind is its result as reported to the
// routing table. A nil monitor records nothing.
func (m *attemptMonitor) attemptEnded(service string, upstream routing.Upstream, requestBytes int64, result attemptResult, kind routing.Result) {
	if m == nil {
		return
	}
	if kind != routing.Succeeded {
		m.recordAvoided(service, upstream.Node, result)
	}
	if upstream.Region == m.region {
		return
	}
	if result.sent {
		m.metrics.CrossRegion(service, upstream.Region, requestBytes)
	}
	if result.answer != nil {
		result.answer.Body = &countingBody{ReadCloser: result.answer.Body, onClose: func(n int64) {
			m.metrics.CrossRegion(service, upstream.Region, n)
		}}
	}
}

func (m *attemptMonitor) recordAvoided(service, node string, result attemptResult) {
	now := time.Now()
	m.mu.Lock()
	due := now.Sub(m.lastRecorded[node]) >= avoidedEventInterval
	if due {
		m.lastRecorded[node] = now
	}
	m.mu.Unlock()
	if due {
		m.events.Record(event.UpstreamAvoided, attrNode(node), attrService(service), attrReason(result.failure.reason))
	}
}

// prune removes nodes without a recent event, so that the table does not grow with
// every node that was ever avoided.
func (m *attemptMonitor) prune(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for node, last := range m.lastRecorded {
		if now.Sub(last) >= avoidedEventInterval {
			delete(m.lastRecorded, node)
		}
	}
}

// countingBody counts the bytes read and passes the count to onClose.
type countingBody struct {
	io.ReadCloser
	read    int64
	once    sync.Once
	onClose func(n int64)
}

func (b *countingBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	b.read += int64(n)
	return n, err
}

func (b *countingBody) Close() (err error) {
	b.once.Do(func() { b.onClose(b.read) })
	return b.ReadCloser.Close()
}
