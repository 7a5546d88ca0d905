package mesh

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/config"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/slot"
)

const (
	// internalPrefix begins the headers between nodes. Those that callers or
	// backend servers send are removed.
	internalPrefix = "Lacewingslip-"
	// headerHop holds all that a node tells the next one about a request, or the
	// one before about an answer. One header with short fields, since bytes
	// between zones and regions are paid for.
	headerHop = internalPrefix + "Hop"

	// requestFields and answerFields are the numbers of fields in the header.
	requestFields = 9
	answerFields  = 11

	kindOnce, kindIdempotent = "o", "i"
	// noReason stands for an empty reason, which would be cut off at the end of
	// the header.
	noReason = "-"
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
func writeRequest(h http.Header, r *request, version int64) {
	kind := kindOnce
	if r.kind == config.Idempotent {
		kind = kindIdempotent
	}
	platform.DropTimeLeft(h)
	h.Set(headerHop, strings.Join([]string{
		url.QueryEscape(r.service), url.QueryEscape(r.caller), url.QueryEscape(r.route), kind,
		strconv.Itoa(r.rank),
		strconv.FormatInt(r.patience.Milliseconds(), 10),
		strconv.FormatInt(time.Until(r.deadline).Milliseconds(), 10),
		strconv.FormatInt(version, 10),
		strconv.FormatInt(flag(r.repeated), 10),
	}, " "))
}

// readRequest decodes a request of another node and the version of the desired
// state there. The body is not read.
func readRequest(r *http.Request, arrived time.Time) (in *request, version int64, err error) {
	defer func() { err = eris.Wrapf(err, "header %s", headerHop) }()
	fields := strings.Split(r.Header.Get(headerHop), " ")
	if len(fields) != requestFields {
		return nil, 0, eris.Errorf("it has %d fields, expected %d", len(fields), requestFields)
	}
	in = &request{
		id: platform.RequestID(r.Header), method: r.Method, host: r.Host, target: r.RequestURI,
		header: relayHeader(r.Header),
	}
	for n, into := range []*string{&in.service, &in.caller, &in.route} {
		if *into, err = url.QueryUnescape(fields[n]); err != nil {
			return nil, 0, err
		}
	}
	if fields[3] == kindIdempotent {
		in.kind = config.Idempotent
	}
	numbers, err := parseNumbers(fields[4:])
	if err != nil {
		return nil, 0, err
	}
	in.rank = int(numbers[0])
	in.patience = time.Duration(numbers[1]) * time.Millisecond
	in.deadline = arrived.Add(time.Duration(numbers[2]) * time.Millisecond)
	in.repeated = numbers[4] == 1
	return in, numbers[3], nil
}

func flag(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// loadReport is what a node says about its backend server on an answer.
type loadReport struct {
	slot.Load
	// level is the pressure on the route of the request.
	level float64
	// origin says who calls the route.
	origin calltree.Origin
	// leaf is true if the backend server makes no calls.
	leaf  bool
	known bool
}

// levelUnits is the resolution of a level between nodes.
const levelUnits = 100

// writeReply passes the end of an attempt on to the node that sent it.
func writeReply(w http.ResponseWriter, id string, r *reply, version int64) (err error) {
	h := w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	// The receiver knows the time and the request's ID.
	h["Date"] = nil
	platform.DropRequestID(h)
	reason := r.reason
	if reason == "" {
		reason = noReason
	}
	h.Set(headerHop, fmt.Sprintf("%x %s %d %d %d %d %d %d %d %d %s", idHash(id), r.outcome, version,
		r.report.Running, r.report.Waiting, r.report.Limit, r.report.MeanRun.Milliseconds(),
		int(r.report.level*levelUnits), r.report.origin, flag(r.report.leaf), reason))
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

// answersTo reports whether a node's answer is one to the request.
func answersTo(h http.Header, id string) bool {
	hash, _, _ := strings.Cut(h.Get(headerHop), " ")
	return hash == strconv.FormatUint(uint64(idHash(id)), 16)
}

// idHash stands for a request's ID on answers between nodes.
func idHash(id string) uint32 {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// readPeerReply decodes the answer of another node, and the version of the
// desired state there.
func readPeerReply(answer *hop.Answer, node string) (end *reply, version int64) {
	end, version, err := readHop(answer.Header.Get(headerHop))
	if err != nil {
		answer.Close()
		return unknown(call.ReasonLost, err.Error()), 0
	}
	end.upstream = node
	if end.outcome != call.Answered {
		end.detail = "so says the node"
		// What the body says is in the node's own log.
		_, _, _ = answer.ReadAll(bufferedBody)
		answer.Close()
		return end, version
	}
	end.status, end.header = answer.StatusCode, relayHeader(answer.Header)
	delete(end.header, "Content-Length")
	if err = readReply(answer, end); err != nil {
		broken := unknown(call.ReasonLost, "the answer broke off between nodes: "+err.Error())
		broken.upstream, broken.report = node, end.report
		return broken, version
	}
	return end, version
}

// readHop decodes what a node says on an answer.
func readHop(text string) (end *reply, version int64, err error) {
	defer func() { err = eris.Wrapf(err, "header %s of an answer", headerHop) }()
	fields := strings.Split(text, " ")
	if len(fields) != answerFields {
		return nil, 0, eris.Errorf("it has %d fields, expected %d", len(fields), answerFields)
	}
	end = &reply{}
	if reason := fields[answerFields-1]; reason != noReason {
		end.reason = call.Reason(reason)
	}
	if end.outcome, err = call.ParseOutcome(fields[1]); err != nil {
		return nil, 0, err
	}
	numbers, err := parseNumbers(fields[2 : answerFields-1])
	if err != nil {
		return nil, 0, err
	}
	end.report = loadReport{
		known: true, level: float64(numbers[5]) / levelUnits, origin: calltree.Origin(numbers[6]), leaf: numbers[7] == 1,
		Load: slot.Load{
			Running: int(numbers[1]), Waiting: int(numbers[2]), Limit: int(numbers[3]),
			MeanRun: time.Duration(numbers[4]) * time.Millisecond,
		},
	}
	return end, numbers[0], nil
}

func parseNumbers(fields []string) (numbers []int64, err error) {
	numbers = make([]int64, len(fields))
	for i, field := range fields {
		if numbers[i], err = strconv.ParseInt(field, 10, 64); err != nil {
			return nil, err
		}
	}
	return numbers, nil
}
