package mesh

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/metrics"
)

// refusalEventInterval is the shortest time between two events about refused clients.
const refusalEventInterval = 5 * time.Second

// clientRefusals counts the clients that are turned away, by reason. The counts are exported with
// the periodic work, so that a client that is refused causes neither an event nor a metric.
type clientRefusals struct {
	metrics *metrics.Metrics
	events  eventRecorder
	counts  map[metrics.ClientRefusal]*atomic.Int64

	// exported and recorded are the counts that the metrics and the last event include, and
	// recordedAt is the time of that event. Only report uses them.
	exported, recorded map[metrics.ClientRefusal]int64
	recordedAt         time.Time
}

func newClientRefusals(m *metrics.Metrics, events eventRecorder) *clientRefusals {
	r := &clientRefusals{
		metrics: m, events: events, counts: make(map[metrics.ClientRefusal]*atomic.Int64),
		exported: make(map[metrics.ClientRefusal]int64), recorded: make(map[metrics.ClientRefusal]int64),
	}
	for _, reason := range metrics.ClientRefusals {
		r.counts[reason] = new(atomic.Int64)
	}
	return r
}

func (r *clientRefusals) count(reason metrics.ClientRefusal) { r.counts[reason].Add(1) }

// countHead counts a head that is answered with a refusal. A connection that ends in favour of
// another has been counted already.
func (r *clientRefusals) countHead(refusal string, evicted bool) {
	switch {
	case evicted:
	case refusal == refusalTooLarge:
		r.count(metrics.HeadTooLarge)
	case refusal == refusalTooSlow:
		r.count(metrics.HeadTooSlow)
	default:
		r.count(metrics.HeadRefused)
	}
}

// report exports the counts, and records an event if clients were refused since the last one.
func (r *clientRefusals) report(now time.Time) {
	var attrs []slog.Attr
	for _, reason := range metrics.ClientRefusals {
		count := r.counts[reason].Load()
		if count > r.exported[reason] {
			r.metrics.ClientsRefused(reason, count-r.exported[reason])
			r.exported[reason] = count
		}
		if count > r.recorded[reason] {
			attrs = append(attrs, slog.Int64(string(reason), count-r.recorded[reason]))
		}
	}
	if len(attrs) == 0 || !r.recordedAt.IsZero() && now.Sub(r.recordedAt) < refusalEventInterval {
		return
	}
	r.recordedAt = now
	for _, reason := range metrics.ClientRefusals {
		r.recorded[reason] = r.exported[reason]
	}
	r.events.Record(event.ClientsRefused, attrs...)
}

// updateMetrics exports the budgets of clients and the refusals.
func (l *clientLimits) updateMetrics(now time.Time) {
	m := l.refusals.metrics
	m.SetClientMemory(metrics.ClientHeads, l.memory.Used(), l.memory.Limit())
	m.SetClientMemory(metrics.ClientBodies, l.bodies.Used(), l.bodies.Limit())
	if l.answers != nil {
		m.SetClientMemory(metrics.ClientAnswers, l.answers.Used(), l.answers.Limit())
	}
	if l.connections != nil {
		m.SetConnections(metrics.AcceptedConnections, l.connections.Used(), l.connections.Limit())
	}
	if l.own != nil {
		m.SetConnections(metrics.OwnConnections, l.own.Used(), l.own.Limit())
	}
	l.refusals.report(now)
}
