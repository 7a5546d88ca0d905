package mesh

import (
	"log/slog"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/metrics"
)

// recorder takes events for the log and the time line.
type recorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// endEvent returns the event of a request that ended with the outcome.
func endEvent(outcome call.Outcome) event.ID {
	switch outcome {
	case call.Answered:
		return event.CallAnswered
	case call.NotRun:
		return event.CallNotRun
	default:
		return event.CallUnknown
	}
}

func attrRequest(id string) slog.Attr               { return slog.String("request", id) }
func attrRoute(name string) slog.Attr               { return slog.String("route", name) }
func attrHop(hop metrics.Hop) slog.Attr             { return slog.String("hop", string(hop)) }
func attrReason(reason call.Reason) slog.Attr       { return slog.String("reason", string(reason)) }
func attrDetail(detail string) slog.Attr            { return slog.String("detail", detail) }
func attrNode(name string) slog.Attr                { return slog.String("node", name) }
func attrService(name string) slog.Attr             { return slog.String("service", name) }
func attrLeft(r *request) slog.Attr                 { return attrMs("leftMs", time.Until(r.deadline)) }
func attrMs(name string, d time.Duration) slog.Attr { return slog.Int64(name, d.Milliseconds()) }

// importanceOf maps the rank of a route to the levels of the metrics.
func importanceOf(rank int) call.Importance {
	levels := []call.Importance{call.Critical, call.High, call.Normal}
	if rank < 0 {
		return call.Critical
	}
	if rank < len(levels) {
		return levels[rank]
	}
	return call.Low
}
