package mesh

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/metrics"
)

// eventRecorder records events in the node's log output and timeline.
type eventRecorder interface {
	Record(id event.ID, attrs ...slog.Attr)
}

// resultEvent returns the event that is recorded for a request with the result.
func resultEvent(res *result) event.ID {
	switch {
	case res.outcome == call.Answered && res.status >= http.StatusInternalServerError:
		return event.CallFailed
	case res.outcome == call.Answered:
		return event.CallAnswered
	case res.outcome == call.NotRun:
		return event.CallNotRun
	default:
		return event.CallUnknown
	}
}

// attrCallerDeadline returns the attribute that states when the caller stops
// waiting, by this node's clock. A child call inherits the deadline of its parent
// request, so the events that a node records for the parent and the child state
// the same time, unless the time-out of the child call is shorter.
func attrCallerDeadline(t time.Time) slog.Attr { return slog.Int64("expiresMs", t.UnixMilli()) }

func attrRequest(id string) slog.Attr               { return slog.String("request", id) }
func attrRoute(name string) slog.Attr               { return slog.String("route", name) }
func attrHop(hop metrics.Hop) slog.Attr             { return slog.String("hop", string(hop)) }
func attrReason(reason call.Reason) slog.Attr       { return slog.String("reason", string(reason)) }
func attrDetail(detail string) slog.Attr            { return slog.String("detail", detail) }
func attrPeer(name string) slog.Attr                { return slog.String("peer", name) }
func attrService(name string) slog.Attr             { return slog.String("service", name) }
func attrTimeLeft(req *request) slog.Attr           { return attrMs("leftMs", time.Until(req.deadline)) }
func attrMs(name string, d time.Duration) slog.Attr { return slog.Int64(name, d.Milliseconds()) }

// importanceOf maps the priority or the queue rank of a request to an importance
// level of the metrics.
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
