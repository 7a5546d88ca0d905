package mesh

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/config"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/slot"
)

// Headers between nodes. Those that callers or backend servers send are removed.
const (
	internalPrefix = "Lacewingslip-"

	headerService  = "Lacewingslip-Service"
	headerCaller   = "Lacewingslip-Caller"
	headerRoute    = "Lacewingslip-Route"
	headerKind     = "Lacewingslip-Kind"
	headerRank     = "Lacewingslip-Rank"
	headerPatience = "Lacewingslip-Patience-Ms"
	headerNode     = "Lacewingslip-Node"
	headerVersion  = "Lacewingslip-Version"
	// headerLoad holds running and waiting requests, the limit, and the mean run
	// time in microseconds.
	headerLoad    = "Lacewingslip-Load"
	headerOutcome = call.HeaderOutcome
	headerReason  = call.HeaderReason
	headerTime    = call.HeaderTimeout
)

// kinds on the wire between nodes.
const (
	kindIdempotent = "idempotent"
	kindOnce       = "once"
)

// relayHeader returns the headers that go on from a caller, a backend server or
// a node.
func relayHeader(h http.Header) http.Header {
	relayed := hop.EndToEnd(h)
	for name := range relayed {
		if strings.HasPrefix(name, internalPrefix) {
			delete(relayed, name)
		}
	}
	return relayed
}

// writeRequest adds what another node needs to know about a request.
func writeRequest(h http.Header, r *request, node string, version int64) {
	h.Set(headerService, r.service)
	h.Set(headerCaller, r.caller)
	h.Set(headerRoute, r.route)
	h.Set(headerKind, kindOnce)
	if r.kind == config.Idempotent {
		h.Set(headerKind, kindIdempotent)
	}
	h.Set(headerRank, strconv.Itoa(r.rank))
	h.Set(headerPatience, strconv.FormatInt(r.patience.Milliseconds(), 10))
	h.Set(headerTime, strconv.FormatInt(time.Until(r.deadline).Milliseconds(), 10))
	h.Set(headerNode, node)
	h.Set(headerVersion, strconv.FormatInt(version, 10))
}

// readRequest decodes a request of another node. The body is not read.
func readRequest(r *http.Request, arrived time.Time) (in *request, err error) {
	h := r.Header
	rank, err1 := strconv.Atoi(h.Get(headerRank))
	patience, err2 := strconv.ParseInt(h.Get(headerPatience), 10, 64)
	left, err3 := strconv.ParseInt(h.Get(headerTime), 10, 64)
	for _, err = range []error{err1, err2, err3} {
		if err != nil {
			return nil, eris.Wrap(err, "headers of another node")
		}
	}
	in = &request{
		id: platform.RequestID(h), method: r.Method, host: r.Host, target: r.RequestURI,
		service: h.Get(headerService), caller: h.Get(headerCaller), route: h.Get(headerRoute),
		rank: rank, patience: time.Duration(patience) * time.Millisecond,
		deadline: arrived.Add(time.Duration(left) * time.Millisecond),
	}
	if h.Get(headerKind) == kindIdempotent {
		in.kind = config.Idempotent
	}
	in.header = relayHeader(h)
	return in, nil
}

// loadReport is what a node says about its backend server on an answer.
type loadReport struct {
	slot.Load
	known bool
}

func writeLoad(h http.Header, l slot.Load) {
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d,%d", l.Running, l.Waiting, l.Limit, l.MeanRun.Microseconds()))
}

func readLoad(h http.Header) (report loadReport) {
	parts := strings.Split(h.Get(headerLoad), ",")
	if len(parts) != 4 {
		return loadReport{}
	}
	numbers := [4]int{}
	for i, part := range parts {
		n, err := strconv.Atoi(part)
		if err != nil {
			return loadReport{}
		}
		numbers[i] = n
	}
	return loadReport{known: true, Load: slot.Load{
		Running: numbers[0], Waiting: numbers[1], Limit: numbers[2],
		MeanRun: time.Duration(numbers[3]) * time.Microsecond,
	}}
}

// writeReply passes the end of an attempt on to the node that sent it.
func writeReply(w http.ResponseWriter, r *reply, load slot.Load, version int64) (err error) {
	h := w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	h.Set(headerOutcome, r.outcome.String())
	h.Set(headerVersion, strconv.FormatInt(version, 10))
	writeLoad(h, load)
	if r.outcome != call.Answered {
		h.Set(headerReason, string(r.reason))
	}
	if r.retryAfter > 0 {
		platform.SetRetryAfter(h, r.retryAfter)
	}
	status := r.status
	if status == 0 {
		status = call.Status(r.outcome, r.reason)
	}
	return writeBody(w, status, r)
}

// writeBody writes status and body of a reply, whose headers have been set.
func writeBody(w http.ResponseWriter, status int, r *reply) (err error) {
	if r.stream == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
		w.WriteHeader(status)
		// A receiver that has gone does not need the answer.
		_, _ = w.Write(r.body)
		return nil
	}
	defer r.close()
	if length := r.stream.ContentLength; length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
	if _, err = w.Write(r.body); err != nil {
		return err
	}
	return copyStream(w, r.stream)
}

// belongsToPeer accepts the answers of a node to the request. Those that are
// not of a backend server need not bear the request's ID.
func belongsToPeer(id string) func(*http.Response) bool {
	return func(response *http.Response) bool {
		answered := platform.RequestID(response.Header)
		return answered == id || answered == "" && response.Header.Get(headerOutcome) != call.Answered.String()
	}
}

// readPeerReply decodes the answer of another node.
func readPeerReply(answer *hop.Answer, node string) (end *reply, version int64) {
	version, _ = strconv.ParseInt(answer.Header.Get(headerVersion), 10, 64)
	end = &reply{upstream: node, report: readLoad(answer.Header)}
	outcome, err := call.ParseOutcome(answer.Header.Get(headerOutcome))
	if err != nil {
		// Not a node's answer: the address may belong to something else by now.
		answer.Close()
		end.outcome, end.reason, end.detail = call.Unknown, call.ReasonLost, "the answer states no outcome"
		return end, 0
	}
	end.outcome, end.status = outcome, answer.StatusCode
	if outcome != call.Answered {
		end.reason = call.Reason(answer.Header.Get(headerReason))
		end.detail = "so says the node"
		// What the body says is in the node's own log.
		_, _, _ = answer.ReadAll(bufferedBody)
		answer.Close()
		return end, version
	}
	end.header = relayHeader(answer.Header)
	if err = readReply(answer, end); err != nil {
		return &reply{
			outcome: call.Unknown, reason: call.ReasonLost, upstream: node, report: end.report,
			detail: "the answer broke off between nodes: " + err.Error(),
		}, version
	}
	delete(end.header, "Content-Length")
	return end, version
}
