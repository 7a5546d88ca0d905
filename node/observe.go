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
	// avoidedInterval bounds how often it is recorded that an upstream is
	// avoided. In a surge it happens with most attempts.
	avoidedInterval = time.Second
	// sheddingPause is how long nothing must be refused until shedding counts
	// as over.
	sheddingPause = time.Second
	// limitChange is the part of a concurrency limit by which it must change to
	// be recorded.
	limitChange = 0.1
)

// loadWatch records what the sidecar's admission control goes through. It is
// used by one goroutine.
type loadWatch struct {
	events recorder

	limit       int
	refused     uint64
	shedding    bool
	lastRefusal time.Time
}

// look compares the load and the number of refusals for lack of capacity with
// those of the last time.
func (l *loadWatch) look(now time.Time, load admission.Load, refused uint64, service string) {
	if change := load.Limit - l.limit; float64(max(change, -change)) > limitChange*float64(l.limit) {
		l.events.Record(event.LimitChanged, attrService(service), slog.Int("from", l.limit), slog.Int("to", load.Limit))
		l.limit = load.Limit
	}
	if refused != l.refused {
		l.refused, l.lastRefusal = refused, now
		if !l.shedding {
			l.shedding = true
			l.events.Record(event.SheddingStarted, attrService(service), slog.Int("queued", load.Queued), slog.Int("limit", load.Limit))
		}
		return
	}
	if l.shedding && now.Sub(l.lastRefusal) >= sheddingPause {
		l.shedding = false
		l.events.Record(event.SheddingStopped, attrService(service))
	}
}

// attemptWatch records what attempts at upstreams show.
type attemptWatch struct {
	region  string
	metrics *metrics.Metrics
	events  recorder

	mu      sync.Mutex
	avoided map[string]time.Time
}

func newAttemptWatch(file File, m *metrics.Metrics, events *timeline.Recorder) *attemptWatch {
	return &attemptWatch{region: file.region, metrics: m, events: events, avoided: make(map[string]time.Time)}
}

// ended notes the end of an attempt. A nil watch notes nothing.
func (a *attemptWatch) ended(service string, upstream routing.Upstream, requestBytes int64, end attemptEnd, how routing.End) {
	if a == nil {
		return
	}
	if how != routing.Succeeded {
		a.avoid(service, upstream.Node, end)
	}
	if upstream.Region == a.region {
		return
	}
	if end.sent {
		a.metrics.CrossRegion(service, upstream.Region, requestBytes)
	}
	if end.answer != nil {
		end.answer.Body = &countedBody{ReadCloser: end.answer.Body, closed: func(n int64) {
			a.metrics.CrossRegion(service, upstream.Region, n)
		}}
	}
}

func (a *attemptWatch) avoid(service, node string, end attemptEnd) {
	now := time.Now()
	a.mu.Lock()
	due := now.Sub(a.avoided[node]) >= avoidedInterval
	if due {
		a.avoided[node] = now
	}
	a.mu.Unlock()
	if due {
		a.events.Record(event.UpstreamAvoided, attrNode(node), attrService(service), attrReason(end.failure.reason))
	}
}

// forget drops nodes that were not avoided lately, so that the table does not
// grow with every node there ever was.
func (a *attemptWatch) forget(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for node, last := range a.avoided {
		if now.Sub(last) >= avoidedInterval {
			delete(a.avoided, node)
		}
	}
}

// countedBody reports the number of bytes read when it is closed.
type countedBody struct {
	io.ReadCloser
	read   int64
	once   sync.Once
	closed func(n int64)
}

func (b *countedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	b.read += int64(n)
	return n, err
}

func (b *countedBody) Close() (err error) {
	b.once.Do(func() { b.closed(b.read) })
	return b.ReadCloser.Close()
}
