package mesh

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/config"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/platform"
)

const (
	// bufferedBody is the largest body in bytes that is held in memory as a
	// whole. Larger ones are streamed, and can't be sent a second time.
	bufferedBody = 256 << 10
	// defaultTimeLeft applies to requests that state no time.
	defaultTimeLeft = 10 * time.Second
)

// request is one attempt of a caller, as it goes from hop to hop.
type request struct {
	id           string
	method, host string
	// target is the request target as the caller sent it.
	target string
	header http.Header
	body   []byte
	// stream is the rest of a body that is not held in memory.
	stream io.Reader

	service string
	// caller is the service beside which the request began.
	caller string
	route  string
	kind   config.Kind
	// priority is that of the route; 0 is the highest. It is known only where the
	// request entered.
	priority int
	// rank orders waiting requests; lower ranks go first.
	rank int
	// deadline is when the request must be answered.
	deadline time.Time
	// expires is when the caller stops waiting by its own word, which may be later
	// than the route's timeout. It is known only where the request entered.
	expires time.Time
	// fromCustomer is true if customers call the route.
	fromCustomer bool
	// region is where the request is to run, or "" if that is open.
	region string
	// repeated is true if the request has been offered to another node before.
	repeated bool
	// patience is how long the request may wait for a slot at the next node.
	patience time.Duration
}

// reply is how an attempt ended, with the answer if there is one.
type reply struct {
	outcome call.Outcome
	reason  call.Reason
	// detail says what happened, for the log.
	detail string

	status int
	header http.Header
	body   []byte
	// stream is the answer whose body goes on after body.
	stream *hop.Answer
	// upstream is the node that answered or refused.
	upstream string
	// report is what the node beside the backend server says of its load.
	report loadReport
}

func notRun(reason call.Reason, detail string) *reply {
	return &reply{outcome: call.NotRun, reason: reason, detail: detail}
}

func unknown(reason call.Reason, detail string) *reply {
	return &reply{outcome: call.Unknown, reason: reason, detail: detail}
}

// close gives up a body that has not been passed on.
func (r *reply) close() {
	if r.stream != nil {
		r.stream.Close()
		r.stream = nil
	}
}

// outgoing makes the HTTP request that carries the attempt on. The body can be
// read once.
func (r *request) outgoing(extra func(h http.Header)) *http.Request {
	out := &http.Request{
		Method: r.method,
		// An opaque URL is written as it is, so that the target stays unchanged.
		URL:  &url.URL{Opaque: r.target},
		Host: r.host,
		// Headers are set and removed on the copy; their values never change.
		Header: maps.Clone(r.header),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.body)),
	}
	if _, set := out.Header["User-Agent"]; !set {
		// An empty value keeps net/http from adding its own.
		out.Header["User-Agent"] = []string{""}
	}
	switch {
	case r.stream != nil:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(r.body), r.stream))
		out.ContentLength = -1
	case len(r.body) > 0:
		out.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	extra(out.Header)
	return out
}

// readBody reads a request body into memory, or its beginning if it is long.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, rest io.Reader, err error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	bounded := r.Body
	if limit > 0 {
		bounded = http.MaxBytesReader(w, r.Body, limit)
	}
	if r.ContentLength > 0 && r.ContentLength <= bufferedBody {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(bounded, body)
		return body, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(bounded, bufferedBody))
	if err != nil || len(body) < bufferedBody {
		return body, nil, err
	}
	return body, bounded, nil
}

func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

// pathOf returns the path of a request target as it was sent.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	return r.URL.EscapedPath()
}

// timeLeft returns how long the caller of a request waits.
func timeLeft(h http.Header) time.Duration {
	if left, ok := platform.TimeLeft(h); ok {
		return left
	}
	return defaultTimeLeft
}
