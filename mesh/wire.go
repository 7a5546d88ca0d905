package mesh

import (
	"context"
	"errors"
	"hash/fnv"
	"maps"
	"math"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/calltree"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/slot"
)

const (
	// internalPrefix starts the names of the headers that nodes exchange. Headers
	// with this prefix are removed from requests of callers and responses of
	// backend servers.
	internalPrefix = "Lacewingslip-"
	// headerHop carries everything that a node adds to a request that it sends to
	// another node, and to the response. It is a single header with short fields
	// because traffic between zones and regions is charged by the byte.
	headerHop = internalPrefix + "Hop"

	// headerRun has the expected run time of a request of the route in microseconds, or
	// unknownRun if too few of them have ended. It is in responses of nodes whose backend
	// server states its pace. It is a header of its own because servers may begin to state
	// their pace during an update, and nodes of earlier versions reject a response with
	// further fields in headerHop.
	headerRun = internalPrefix + "Run"

	// headerWait has the estimate in milliseconds by which a request was refused at once for
	// want of a slot. It is a header of its own because nodes of earlier versions ignore it,
	// while they reject further fields in headerHop.
	headerWait = internalPrefix + "Wait"

	// requestFieldCount and responseFieldCount are the numbers of space-separated
	// fields in headerHop. Optional fields of the form name=value follow them. They are sent
	// only where a deployment uses the feature that needs them, because nodes of earlier
	// versions reject them.
	requestFieldCount  = 9
	responseFieldCount = 11

	// The last field of a request is 1 if it was sent before, plus repeatScale for each
	// percent of its repeat share. Nodes of earlier versions send and expect 0 or 1.
	repeatScale = 2

	// fieldWorkspace is the optional field with the name of the caller's workspace.
	fieldWorkspace = "w"

	// fieldProofAge is the optional field of a response with the age in milliseconds of the
	// proof that the version is the newest.
	fieldProofAge = "a"

	kindAtMostOnce, kindIdempotent = "o", "i"
	// emptyReason stands for an empty reason. An empty last field would leave a
	// trailing space, which HTTP strips from header values.
	emptyReason = "-"
)

// endToEndHeader returns a copy of the headers that are forwarded from a request of a caller or
// node: all except hop-by-hop and internal headers, the length of the body, and what the caller
// states about its identity. The copy is shallow, because header values are never modified in
// place.
func endToEndHeader(h http.Header) http.Header {
	forwarded := maps.Clone(h)
	keepEndToEnd(forwarded)
	delete(forwarded, "Content-Length")
	platform.DropCallerIdentity(forwarded)
	return forwarded
}

// keepEndToEnd removes the headers of a message that are not forwarded.
func keepEndToEnd(h http.Header) {
	hop.DropHopByHop(h)
	for name := range h {
		if strings.HasPrefix(name, internalPrefix) {
			delete(h, name)
		}
	}
}

// setRequestHeaders adds the headers that another node needs to process the
// request.
func setRequestHeaders(h http.Header, req *request, version int64) {
	kind := kindAtMostOnce
	if req.kind == desired.Idempotent {
		kind = kindIdempotent
	}
	platform.DropTimeLeft(h)
	var buffer [hopBytes]byte
	value := buffer[:0]
	for _, text := range [...]string{req.service, req.caller, req.route} {
		value = append(append(value, url.QueryEscape(text)...), ' ')
	}
	value = append(value, kind...)
	for _, n := range [...]int64{
		int64(req.rank), req.queueTimeout.Milliseconds(), time.Until(req.deadline).Milliseconds(), version,
		boolToInt(req.sentBefore) + repeatScale*int64(math.Round(100*req.repeatShare)),
	} {
		value = strconv.AppendInt(append(value, ' '), n, 10)
	}
	if req.workspace != "" {
		value = append(append(value, " "+fieldWorkspace+"="...), url.QueryEscape(req.workspace)...)
	}
	h.Set(headerHop, string(value))
	setEvidence(h, req.evidence)
}

// readRequest decodes the header of a request from another node, and the
// version of the desired state at that node. It does not read the body.
func readRequest(r *http.Request, receivedAt time.Time) (req *request, version int64, err error) {
	defer func() { err = wrapHop(err, "request") }()
	var buffer [hopFields]string
	fields := splitHop(buffer[:0], r.Header.Get(headerHop))
	if len(fields) < requestFieldCount {
		return nil, 0, eris.Errorf("got %d fields, expected at least %d", len(fields), requestFieldCount)
	}
	req = &request{
		id: platform.RequestID(r.Header), method: r.Method, host: r.Host, target: r.RequestURI,
		header: r.Header, evidence: readEvidence(r.Header),
	}
	for n, dest := range []*string{&req.service, &req.caller, &req.route} {
		if *dest, err = url.QueryUnescape(fields[n]); err != nil {
			return nil, 0, err
		}
	}
	if text, ok := optionalField(fields[requestFieldCount:], fieldWorkspace); ok {
		if req.workspace, err = url.QueryUnescape(text); err != nil {
			return nil, 0, err
		}
	}
	if fields[3] == kindIdempotent {
		req.kind = desired.Idempotent
	}
	var numbers [requestFieldCount - 4]int64
	if err = parseNumbers(numbers[:], fields[4:]); err != nil {
		return nil, 0, err
	}
	req.rank = int(numbers[0])
	req.queueTimeout = time.Duration(numbers[1]) * time.Millisecond
	req.deadline = receivedAt.Add(time.Duration(numbers[2]) * time.Millisecond)
	req.sentBefore = numbers[4]%repeatScale == 1
	req.repeatShare = min(max(float64(numbers[4]/repeatScale)/100, 0), 1)
	return req, numbers[3], nil
}

// wrapHop annotates an error in headerHop. eris formats the annotation also if there is no
// error.
func wrapHop(err error, message string) error {
	if err == nil {
		return nil
	}
	return eris.Wrapf(err, "header %s of a %s", headerHop, message)
}

// optionalField returns the value of the optional field with the name. fields has the fields
// that follow the fixed ones. Unknown fields are ignored.
func optionalField(fields []string, name string) (value string, ok bool) {
	for _, field := range fields {
		if value, ok = strings.CutPrefix(field, name+"="); ok {
			return value, true
		}
	}
	return "", false
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// loadReport is the load of a backend server, which the node beside that server
// reports with each response.
type loadReport struct {
	slot.Load
	// level is the pressure level of the request's route.
	level float64
	// origin states whether customers or backend servers call the route.
	origin calltree.Origin
	// leaf is true if the backend server calls no other services.
	leaf    bool
	present bool
	// run is the expected run time of a request of the route, or 0 if it is unknown. paced is
	// true if the backend server states its pace.
	run   time.Duration
	paced bool
}

// hopBytes and hopFields are a length and a number of fields that headerHop rarely exceeds.
const (
	hopBytes  = 128
	hopFields = 14
)

// levelScale converts a pressure level to the integer that is sent between
// nodes, which has two decimal places.
const levelScale = 100

// writeResult sends the result of an attempt to the node that requested it.
func writeResult(w http.ResponseWriter, id string, res *result, version int64) (err error) {
	h := w.Header()
	for name, values := range res.header {
		h[name] = values
	}
	// Neither the date nor the request ID is sent: the receiver does not use the
	// date and knows the ID.
	h["Date"] = nil
	platform.DropRequestID(h)
	if res.retryAfter > 0 {
		platform.SetRetryAfter(h, res.retryAfter)
	}
	reason := res.reason
	if reason == "" {
		reason = emptyReason
	}
	var buffer [hopBytes]byte
	value := append(strconv.AppendUint(buffer[:0], uint64(requestIDHash(id)), 16), ' ')
	value = append(value, res.outcome.String()...)
	for _, n := range [...]int64{
		version, int64(res.report.Running), int64(res.report.Waiting), int64(res.report.Limit), res.report.MeanRun.Milliseconds(),
		int64(res.report.level * levelScale), int64(res.report.origin), boolToInt(res.report.leaf),
	} {
		value = strconv.AppendInt(append(value, ' '), n, 10)
	}
	value = append(append(value, ' '), reason...)
	if age := res.proofAge.milliseconds(); age != nil {
		value = strconv.AppendInt(append(value, " "+fieldProofAge+"="...), *age, 10)
	}
	h.Set(headerHop, string(value))
	setEvidence(h, res.evidence)
	if res.report.paced {
		h.Set(headerRun, strconv.FormatInt(res.report.run.Microseconds(), 10))
	}
	if res.wait > 0 {
		h.Set(headerWait, strconv.FormatInt(res.wait.Milliseconds(), 10))
	}
	status := res.status
	if status == 0 {
		status = call.HTTPStatus(res.outcome, res.reason)
	}
	return writeBody(w, status, res)
}

// writeBody writes the status and body of a result. The response headers must
// have been set before.
func writeBody(w http.ResponseWriter, status int, res *result) (err error) {
	defer res.close()
	if res.stream == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(res.body)))
		w.WriteHeader(status)
		if err = writeHeld(w, res); errors.Is(err, errAnswerEvicted) || errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		// Any other error means that the receiver has disconnected and does not need the
		// response.
		return nil
	}
	if length := res.stream.ContentLength; length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
	if err = writeHeld(w, res); err != nil {
		return err
	}
	res.body = nil
	return copyStream(w, res.stream, &res.held)
}

// isResponseTo reports whether a response of another node belongs to the
// request with the ID.
func isResponseTo(h http.Header, id string) bool {
	hash, _, _ := strings.Cut(h.Get(headerHop), " ")
	return hash == strconv.FormatUint(uint64(requestIDHash(id)), 16)
}

// requestIDHash returns the hash that identifies a request in responses between
// nodes.
func requestIDHash(id string) uint32 {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// readPeerResult decodes the response of another node, and the version of the
// desired state at that node.
func readPeerResult(ctx context.Context, resp *hop.Answer, node string) (res *result, version int64) {
	res, version, err := parseResponseHop(resp.Header.Get(headerHop))
	if err != nil {
		resp.Close()
		return unknownResult(call.ReasonLost, err.Error()), 0
	}
	res.node = node
	res.report.run = expectedRun(resp.Header)
	res.report.paced = statesPace(resp.Header)
	if res.outcome != call.Answered {
		res.detail = "reported by the node beside the backend server"
		res.retryAfter = platform.RetryAfter(resp.Header)
		res.wait = expectedWait(resp.Header)
		res.evidence = readEvidence(resp.Header)
		// The body is discarded: the other node has logged the details.
		err = resp.Discard()
		resp.Close()
		if err != nil {
			return incompletePeerResult(ctx, res, err), version
		}
		return res, version
	}
	// Nothing else reads the header of the response, so it is forwarded without a copy.
	res.status, res.header = resp.StatusCode, resp.Header
	keepEndToEnd(res.header)
	delete(res.header, "Content-Length")
	if err = readResultBody(ctx, resp, res); err != nil {
		return incompletePeerResult(ctx, res, err), version
	}
	return res, version
}

// incompletePeerResult returns the result of an attempt whose response from another node began
// as res and could not be read to its end.
func incompletePeerResult(ctx context.Context, res *result, err error) (incomplete *result) {
	incomplete = lostResult(ctx, eris.Wrap(err, "the response from the other node is incomplete"))
	incomplete.node, incomplete.report = res.node, res.report
	return incomplete
}

// parseResponseHop decodes the value of headerHop in a response.
func parseResponseHop(value string) (res *result, version int64, err error) {
	defer func() { err = wrapHop(err, "response") }()
	var buffer [hopFields]string
	fields := splitHop(buffer[:0], value)
	if len(fields) < responseFieldCount {
		return nil, 0, eris.Errorf("got %d fields, expected at least %d", len(fields), responseFieldCount)
	}
	res = &result{}
	if reason := fields[responseFieldCount-1]; reason != emptyReason {
		res.reason = call.Reason(reason)
	}
	if res.outcome, err = call.ParseOutcome(fields[1]); err != nil {
		return nil, 0, err
	}
	var numbers [responseFieldCount - 3]int64
	if err = parseNumbers(numbers[:], fields[2:]); err != nil {
		return nil, 0, err
	}
	res.report = loadReport{
		present: true, level: float64(numbers[5]) / levelScale, origin: calltree.Origin(numbers[6]), leaf: numbers[7] == 1,
		Load: slot.Load{
			Running: int(numbers[1]), Waiting: int(numbers[2]), Limit: int(numbers[3]),
			MeanRun: time.Duration(numbers[4]) * time.Millisecond,
		},
	}
	if text, ok := optionalField(fields[responseFieldCount:], fieldProofAge); ok {
		age, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, 0, err
		}
		res.proofAge = proofAgeOf(&age)
	}
	return res, numbers[0], nil
}

const (
	// maxRun bounds the run time and the wait that are read from a header.
	maxRun = time.Hour
	// unknownRun is the value of headerRun if the run time is unknown.
	unknownRun = "0"
)

// expectedRun returns the value of headerRun, or 0 if it is missing or invalid.
func expectedRun(h http.Header) time.Duration { return readDuration(h, headerRun, time.Microsecond) }

// statesPace reports whether headerRun shows that the backend server states its pace.
func statesPace(h http.Header) bool { return expectedRun(h) > 0 || h.Get(headerRun) == unknownRun }

// expectedWait returns the value of headerWait, or 0 if it is missing or invalid.
func expectedWait(h http.Header) time.Duration { return readDuration(h, headerWait, time.Millisecond) }

// readDuration returns the value of a header in the unit, or 0 if it is missing or invalid.
func readDuration(h http.Header, name string, unit time.Duration) time.Duration {
	text := h.Get(name)
	// Nearly all messages lack these headers, and the parser would allocate an error.
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > int64(maxRun/unit) {
		return 0
	}
	return time.Duration(n) * unit
}

// splitHop appends the fields of a value of headerHop.
func splitHop(fields []string, value string) []string {
	for field := range strings.SplitSeq(value, " ") {
		fields = append(fields, field)
	}
	return fields
}

// parseNumbers decodes as many fields as numbers has elements. There must be as many.
func parseNumbers(numbers []int64, fields []string) (err error) {
	for i := range numbers {
		if numbers[i], err = strconv.ParseInt(fields[i], 10, 64); err != nil {
			return err
		}
	}
	return nil
}
