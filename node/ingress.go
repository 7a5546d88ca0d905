package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/settings"
)

// maxIssuedKeys is the maximum number of keys issued per request.
const maxIssuedKeys = 64

// ingress accepts calls from callers and sends them to upstreams.
type ingress struct {
	settings settingsSource
	sender   *sender
	routes   *routeTable
	peers    *peerTable
	claims   claimer
	events   recorder
	meter    meter
	buffers  *bufferPool
}

// claimer maps caller-chosen keys to issued keys.
type claimer interface {
	Claim(ctx context.Context, callerKey string, fingerprint booking.Fingerprint, proposed booking.Key) (booking.Key, error)
}

// settingsSource returns the settings in force.
type settingsSource interface {
	Tree() *settings.Tree
}

// ServeHTTP handles a customer request.
func (i *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	request := call.NewID()
	c, f := i.accept(w, r, request)
	if f != nil {
		f = allowForEarlierAttempts(f, r.Header.Get(call.HeaderKey))
		i.refuse(w, r, c, f, request)
		i.meter.callEnded(c, f, time.Since(started))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	result := i.sender.do(ctx, c)
	i.meter.callEnded(c, result.failure, time.Since(started))
	i.meter.callRetried(c, result.retries)
	i.respond(w, c, result)
}

// accept checks a customer request and builds its call. The call is nil if the
// service or the route is not known.
func (i *ingress) accept(w http.ResponseWriter, r *http.Request, request call.ID) (c *outgoing, f *failure) {
	c, f = newOutgoing(i.settings.Tree(), r)
	if f != nil {
		return nil, f
	}
	c.context = call.Context{
		Request: request, Depth: 1, Importance: c.route.Importance, Tokens: c.route.Retries,
	}
	if i.routes.isShedding(c.service.Name, c.route.Importance) {
		f = notRun(call.ReasonOverloaded, "recent bookings of the service were refused because of overload, so lookups are refused")
		f.retryAfter = time.Second
		return c, f
	}
	if c.body, f = readBody(w, r, c.route.MaxBody); f != nil {
		return c, f
	}
	if c.route.Repeat == call.Never {
		f = i.assignKey(r, c)
	}
	return c, f
}

// allowForEarlierAttempts adjusts the refusal of a request that was not sent but has
// a key. An earlier attempt with the key may have run, or may still arrive, so the
// outcome stays notRun only if the reason applies to every attempt with that key.
func allowForEarlierAttempts(f *failure, key string) *failure {
	if f.outcome == call.Unknown {
		f.requestNotRun = true
		return f
	}
	if key == "" {
		return f
	}
	switch f.reason {
	case call.ReasonKeyMalformed, call.ReasonKeyReused, call.ReasonTooLarge:
		return f
	default:
		earlier := unknown(f.reason, f.message+"; an earlier attempt with this key may have run")
		earlier.requestNotRun = true
		return earlier
	}
}

// newOutgoing determines the service, route and deadline of a request.
func newOutgoing(tree *settings.Tree, r *http.Request) (c *outgoing, f *failure) {
	name := mux.Vars(r)["service"]
	service, ok := tree.Service(name)
	if !ok {
		return nil, serviceNotFound(tree, name)
	}
	route, ok := service.Route(r.Method, pathInService(r, name))
	if !ok {
		return nil, notRun(call.ReasonUnknownRoute,
			fmt.Sprintf("service %q has no route for %s %s", name, r.Method, pathInService(r, name)))
	}
	timeout := route.Timeout
	if text := r.Header.Get(call.HeaderTimeout); text != "" {
		requested, err := call.ParseTimeout(text)
		if err != nil {
			return nil, notRun(call.ReasonBadRequest, err.Error())
		}
		timeout = min(timeout, requested)
	}
	return &outgoing{
		service: service, route: route, method: r.Method, uri: r.URL.RequestURI(),
		header: relayHeader(r.Header), deadline: time.Now().Add(timeout),
	}, nil
}

// serviceNotFound refuses a call to a service that is not in the settings. If the node
// has just started and has not read the settings yet, the reason of the refusal allows
// the caller to try another node.
func serviceNotFound(tree *settings.Tree, name string) *failure {
	if len(tree.Services()) == 0 {
		return notRun(call.ReasonNoUpstream, "this node has not read the settings yet")
	}
	return notRun(call.ReasonUnknownService, fmt.Sprintf("the settings have no service %q", name))
}

// pathInService returns the path without the service's name.
func pathInService(r *http.Request, service string) string {
	path := r.URL.Path[len("/")+len(service):]
	if path == "" {
		return "/"
	}
	return path
}

// readBody reads the whole request body, up to the limit, so that the request can
// be sent again to another upstream and a slow caller occupies no slot.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, f *failure) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	// The read deadline is only for slow senders. If it were not reset, it would cancel
	// calls that run longer.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, notRun(call.ReasonTooLarge, fmt.Sprintf("the request body is larger than %d bytes", limit))
	case err != nil:
		return nil, notRun(call.ReasonBadRequest, "the request body could not be read to its end")
	default:
		return body, nil
	}
}

// assignKey sets the booking's key: the one in the request, or a new one if the
// request has none.
func (i *ingress) assignKey(r *http.Request, c *outgoing) (f *failure) {
	text := r.Header.Get(call.HeaderKey)
	if text == "" {
		if c.route.KeyRequired {
			return notRun(call.ReasonKeyRequired,
				fmt.Sprintf("a booking needs the header %s; the header %s of this answer holds a new key", call.HeaderKey, call.HeaderNextKey))
		}
		return i.assignNewKey(c)
	}
	if !booking.IsIssued(text) {
		return i.claimKey(r.Context(), c, text)
	}
	key, err := booking.ParseKey(text)
	if err != nil {
		return notRun(call.ReasonKeyMalformed, err.Error())
	}
	if key.Service() != c.service.Name {
		return notRun(call.ReasonKeyMalformed, fmt.Sprintf("the key was issued for service %q", key.Service()))
	}
	c.key, c.keyMayHaveBeenSent = &key, true
	return nil
}

func (i *ingress) assignNewKey(c *outgoing) (f *failure) {
	key, ok := i.issueKeyForUpstream(c.service.Name, c.context.Importance)
	if !ok {
		return notRun(call.ReasonNoUpstream, "no backend server of the service is available")
	}
	c.key = &key
	return nil
}

// claimKey sets the issued key to which the caller-chosen key is mapped.
func (i *ingress) claimKey(ctx context.Context, c *outgoing, text string) (f *failure) {
	if f = i.assignNewKey(c); f != nil {
		return f
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	fingerprint := booking.FingerprintOf(c.method, c.uri, c.header.Get("Authorization"), c.body)
	key, err := i.claims.Claim(ctx, text, fingerprint, *c.key)
	var refused *booking.ClaimError
	switch {
	case errors.As(err, &refused):
		return &failure{outcome: refused.Outcome, reason: refused.Reason, message: err.Error()}
	case err != nil:
		return unknown(call.ReasonInternal, err.Error())
	}
	c.key, c.keyMayHaveBeenSent = &key, true
	return nil
}

// issueKeyForUpstream issues a key for an upstream that is likely to have capacity.
func (i *ingress) issueKeyForUpstream(service string, importance call.Importance) (key booking.Key, ok bool) {
	query := routingQuery(service, importance)
	for {
		upstream, ok := i.routes.choose(query)
		if !ok {
			return booking.Key{}, false
		}
		if key, ok = i.peers.issueKey(service, upstream.Node); ok {
			return key, true
		}
		query.Tried = append(query.Tried, upstream.Node)
	}
}

// respond sends the result of a call to the caller.
func (i *ingress) respond(w http.ResponseWriter, c *outgoing, result callResult) {
	i.setNextKey(w, c)
	w.Header().Set(call.HeaderRetries, strconv.Itoa(c.context.Tokens-result.tokensLeft))
	if result.failure != nil {
		i.shedAfterRefusal(c, result.failure)
		i.events.Record(failureEvent(result.failure), attrRequest(c.context.Request), attrService(c.service.Name),
			attrReason(result.failure.reason))
		writeFailure(w, result.failure, c.context.Request)
		return
	}
	defer result.answer.Body.Close()
	i.buffers.streamAnswer(w, result.answer, func(err error) {
		i.events.Record(event.AnswerCut, attrRequest(c.context.Request), attrService(c.service.Name), attrError(err))
	})
	i.events.Record(event.CallAnswered, attrRequest(c.context.Request), attrService(c.service.Name))
}

// shedAfterRefusal frees capacity after a booking was refused because of overload:
// this node then refuses less important calls to the service for a short time.
func (i *ingress) shedAfterRefusal(c *outgoing, f *failure) {
	if c.key != nil && (f.reason == call.ReasonOverloaded || f.reason == call.ReasonDisplaced) {
		i.routes.startShedding(c.service.Name, c.context.Importance)
	}
}

// setNextKey adds a new key for the caller's next booking to the answer.
func (i *ingress) setNextKey(w http.ResponseWriter, c *outgoing) {
	if c.route.Repeat != call.Never {
		return
	}
	if key, ok := i.issueKeyForUpstream(c.service.Name, c.context.Importance); ok {
		w.Header().Set(call.HeaderNextKey, key.String())
	}
}

func (i *ingress) refuse(w http.ResponseWriter, r *http.Request, c *outgoing, f *failure, request call.ID) {
	if c != nil {
		i.setNextKey(w, c)
	}
	i.events.Record(failureEvent(f), attrRequest(request), attrService(mux.Vars(r)["service"]), attrReason(f.reason))
	w.Header().Set(call.HeaderRetries, "0")
	writeFailure(w, f, request)
}

// issuedKeysBody is the JSON body of the answer to a request for keys.
type issuedKeysBody struct {
	Keys       []string `json:"keys"`
	ValidityMs int64    `json:"validityMs"`
}

// issueKeys serves POST /lacewingslip/v1/keys.
func (i *ingress) issueKeys(w http.ResponseWriter, r *http.Request) {
	tree := i.settings.Tree()
	name := r.URL.Query().Get("service")
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxIssuedKeys {
			writeFailure(w, notRun(call.ReasonBadRequest,
				fmt.Sprintf("count %q is not a whole number from 1 to %d", text, maxIssuedKeys)), "")
			return
		}
		count = n
	}
	if _, ok := tree.Service(name); !ok {
		writeFailure(w, serviceNotFound(tree, name), "")
		return
	}
	issued := issuedKeysBody{ValidityMs: tree.KeyValidity().Milliseconds()}
	for range count {
		key, ok := i.issueKeyForUpstream(name, call.Critical)
		if !ok {
			writeFailure(w, notRun(call.ReasonNoUpstream, "no backend server of the service is available"), "")
			return
		}
		issued.Keys = append(issued.Keys, key.String())
	}
	writeJSON(w, issued)
}

func failureEvent(f *failure) event.ID {
	if f.outcome == call.NotRun {
		return event.CallNotRun
	}
	return event.CallUnknown
}
