package mesh

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/metrics"
)

// recorder takes events for the log and the time line.
type recorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// endEvent returns the event of a request that ended with the reply.
func endEvent(end *reply) event.ID {
	switch {
	case end.outcome == call.Answered && end.status >= http.StatusInternalServerError:
		return event.CallFailed
	case end.outcome == call.Answered:
		return event.CallAnswered
	case end.outcome == call.NotRun:
		return event.CallNotRun
	default:
		return event.CallUnknown
	}
}

// attrExpires states when the caller stops waiting, by this node's clock. A call
// expires with the request that it belongs to, so the lines of the two at the
// node between them state the same time, unless the call's own limit is shorter.
func attrExpires(at time.Time) slog.Attr { return slog.Int64("expiresMs", at.UnixMilli()) }

func attrRequest(id string) slog.Attr               { return slog.String("request", id) }
func attrRoute(name string) slog.Attr               { return slog.String("route", name) }
func attrHop(hop metrics.Hop) slog.Attr             { return slog.String("hop", string(hop)) }
func attrReason(reason call.Reason) slog.Attr       { return slog.String("reason", string(reason)) }
func attrDetail(detail string) slog.Attr            { return slog.String("detail", detail) }
func attrPeer(name string) slog.Attr                { return slog.String("peer", name) }
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
