package node

import (
	"log/slog"
	"time"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/timeline"
)

// recorder logs numbered events and stores them for the timeline.
type recorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

func attrRequest(id call.ID) slog.Attr        { return slog.String(timeline.KeyRequest, string(id)) }
func attrCall(id call.ID) slog.Attr           { return slog.String(timeline.KeyCall, string(id)) }
func attrService(name string) slog.Attr       { return slog.String(timeline.KeyService, name) }
func attrNode(name string) slog.Attr          { return slog.String(timeline.KeyNode, name) }
func attrKey(key booking.Key) slog.Attr       { return slog.String(timeline.KeyIdempotencyKey, key.String()) }
func attrReason(reason call.Reason) slog.Attr { return slog.String("reason", string(reason)) }
func attrError(err error) slog.Attr           { return slog.String("error", err.Error()) }

func attrSuccessor(key booking.Key) slog.Attr { return slog.String("successor", key.String()) }

// attrs returns the attributes common to all events about a received attempt.
func (in *incoming) attrs() []slog.Attr {
	attrs := []slog.Attr{
		attrRequest(in.context.Request), attrCall(in.context.Call), attrService(in.service.Name),
		slog.Int("depth", in.context.Depth),
	}
	if in.key != nil {
		attrs = append(attrs, attrKey(*in.key))
	}
	return attrs
}

// meter updates the call metrics of one hop.
type meter struct {
	metrics *metrics.Metrics
	hop     metrics.Hop
}

func (m meter) callEnded(c *outgoing, f *failure, latency time.Duration) {
	ended := metrics.Call{Hop: m.hop, Outcome: call.Answered}
	if c != nil {
		ended.Service, ended.Importance = c.service.Name, c.context.Importance
	}
	if f != nil {
		ended.Outcome, ended.Reason = f.outcome, f.reason
	}
	m.metrics.CallEnded(ended, latency)
}

// attemptEnded counts an attempt at the sidecar. An attempt that could not be
// parsed is not counted, because its service is not known.
func (m meter) attemptEnded(in *incoming, latency time.Duration) {
	if in != nil {
		m.callEnded(in.outgoing, in.failure, latency)
	}
}

func (m meter) bookingDecided(c *outgoing, verdict booking.Verdict) {
	m.metrics.BookingDecided(c.service.Name, verdict.String())
}

func (m meter) callRetried(c *outgoing, retries int) {
	for range retries {
		m.metrics.Retried(m.hop, c.service.Name)
	}
}
