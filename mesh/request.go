package mesh

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/quarantine"
)

const (
	// maxBufferedBytes is the size up to which a body is held in memory as a whole.
	// The rest of a longer body is streamed, so that a request with such a body
	// can't be sent again.
	maxBufferedBytes = 256 << 10
	// defaultCallerTimeout applies to requests that state no time-out.
	defaultCallerTimeout = 10 * time.Second
)

// request is a request of a caller as it is passed from node to node.
type request struct {
	id           string
	method, host string
	// target is the request target, unchanged from the caller.
	target string
	// header is as it was received and never modified. Each attempt forwards a part of it.
	header http.Header
	body   []byte
	// stream is the rest of a body that exceeds maxBufferedBytes, and nil
	// otherwise.
	stream *bodyStream

	service string
	// caller is the service of the ingress node. If a backend server made the
	// request, it is the service of that server.
	caller string
	// workspace is the name of the workspace to which the caller's key belongs, or "".
	workspace string
	// weight is the weight of the workspace when capacity is divided, or 0 for the mean. It is
	// known only at the ingress node.
	weight float64
	route  string
	kind   desired.Kind
	// priority is the priority of the workspace, if it has one, or else that of the route; 0
	// is the highest. It is known only at the ingress node.
	priority int
	// hasOwnPriority is true if the workspace sets the priority, and false if the route does.
	hasOwnPriority bool
	// rank orders the requests in the slot queue; lower ranks go first.
	rank int
	// deadline is when the response must arrive.
	deadline time.Time
	// callerDeadline is when the caller stated that it will stop waiting, which may
	// be later than the time-out of the route. It is known only at the ingress
	// node.
	callerDeadline time.Time
	// answerBy is when a planned stop of the ingress node ends, or the zero time if none
	// was in progress when the request arrived there.
	answerBy time.Time
	// fromCustomer is true if customers call the route.
	fromCustomer bool
	// targetRegion is the region where the request is to run, or "" if it was not
	// restricted at admission.
	targetRegion string
	// sentBefore is true if this is not the first attempt.
	sentBefore bool
	// repeatShare is the probability, from 0 to 1, that running this request repeats
	// work: because it was sent to a backend server before, or because a repeated run
	// has made it.
	repeatShare float64
	// retriesGranted is true if the request may be sent again as far as the budget allows. It is
	// known only at the ingress node.
	retriesGranted bool
	// fingerprint identifies the request in the list of those that crash backend servers.
	fingerprint quarantine.Fingerprint
	// evidence is the evidence against the request at the node that sent it.
	evidence []suspectRequest
	// queueTimeout is how long the request may wait for a slot at the next node.
	queueTimeout time.Duration
}

// result is how an attempt ended, with the response if there is one.
type result struct {
	outcome call.Outcome
	reason  call.Reason
	// detail is a description for the log.
	detail string

	status int
	header http.Header
	body   []byte
	// stream is the response if its body continues after body, and nil otherwise.
	stream *hop.Answer
	// held is the charge for the part of the body that is held.
	held heldAnswer
	// retryAfter is when a refused caller may come again, or 0 for the default.
	retryAfter time.Duration
	// noConnection is true if this process had no connection left for the attempt.
	noConnection bool
	// wait is the estimate by which the request was refused at once for want of a slot, or 0.
	wait time.Duration
	// node is the node that returned the result.
	node string
	// report is the load that the node beside the backend server reported.
	report loadReport
	// proofAge is the age of the proof at that node.
	proofAge proofAge
	// evidence is the evidence against the request, if the result depends on it.
	evidence []suspectRequest
}

func notRunResult(reason call.Reason, detail string) *result {
	return &result{outcome: call.NotRun, reason: reason, detail: detail}
}

func unknownResult(reason call.Reason, detail string) *result {
	return &result{outcome: call.Unknown, reason: reason, detail: detail}
}

// close closes the response if its body has not been forwarded completely.
func (res *result) close() {
	if res.stream != nil {
		res.stream.Close()
		res.stream = nil
	}
	res.held.release()
}

// setFingerprint must be called once the body, or the first part of a long one, has been
// read.
func (r *request) setFingerprint() {
	r.fingerprint = quarantine.Request{
		Method: r.method, Host: desired.CanonicalHost(r.host), Target: r.target, Caller: r.caller, Body: r.body, Truncated: r.stream != nil,
	}.Fingerprint()
}

// httpRequest returns the HTTP request for the next attempt. Its body can be
// read once.
func (r *request) httpRequest(setHeaders func(h http.Header)) *http.Request {
	// One allocation for what every request has.
	var parts struct {
		request http.Request
		url     url.URL
		body    bytes.Reader
	}
	httpReq := &parts.request
	// net/http writes an opaque URL as it is, so the target stays unchanged.
	parts.url.Opaque = r.target
	parts.body.Reset(r.body)
	*httpReq = http.Request{
		Method: r.method,
		URL:    &parts.url,
		Host:   r.host,
		Header: endToEndHeader(r.header),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.body)),
	}
	if _, present := httpReq.Header["User-Agent"]; !present {
		// An empty value keeps net/http from adding its own.
		httpReq.Header["User-Agent"] = []string{""}
	}
	switch {
	case r.stream != nil:
		httpReq.Body = io.NopCloser(io.MultiReader(&parts.body, r.stream))
		httpReq.ContentLength = -1
	case len(r.body) > 0:
		httpReq.Body = io.NopCloser(&parts.body)
	}
	setHeaders(httpReq.Header)
	return httpReq
}

// readBody reads a request body, or only the beginning of a long one, into
// memory. rest is the unread part of a long body. If limit is 0, the size is not
// limited.
func readBody(r *http.Request, limit int64) (body []byte, rest *bodyStream, err error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	limited := r.Body
	if limit > 0 {
		// Without a writer, because another goroutine reads the rest while the response is
		// written.
		limited = http.MaxBytesReader(nil, r.Body, limit)
	}
	if r.ContentLength > 0 && r.ContentLength <= maxBufferedBytes {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(limited, body)
		return body, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(limited, maxBufferedBytes))
	if err != nil || len(body) < maxBufferedBytes {
		return body, nil, err
	}
	return body, &bodyStream{body: limited}, nil
}

func isTooLarge(err error) bool {
	// Without this check, the target of errors.As is allocated for each request.
	if err == nil {
		return false
	}
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

// requestPath returns the path of a request target as the caller sent it.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	return r.URL.EscapedPath()
}

// callerTimeout returns how long the caller of a request waits.
func callerTimeout(h http.Header) time.Duration {
	if timeout, ok := platform.TimeLeft(h); ok {
		return timeout
	}
	return defaultCallerTimeout
}
