package mesh

import (
	"context"
	"log/slog"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/quarantine"
)

const (
	// spreadAttempts is how often evidence is sent to a node that does not receive it, with
	// spreadPause between two attempts. Later exchanges of state also have it, if it
	// restricts a request.
	spreadAttempts = 4
	spreadPause    = 300 * time.Millisecond
	// maxToldWait is how long the result of a request that has become restricted waits until
	// the other nodes have been told. A copy that is sent after the result then meets nodes
	// that know. A message between regions takes up to 80 ms with its connection.
	maxToldWait = 100 * time.Millisecond
	// maxSpreadMessages bounds the nodes to which evidence is sent at the same time.
	maxSpreadMessages = 64
	// maxPublishedConvictions bounds the convictions in the record of a node.
	maxPublishedConvictions = 8
	// quarantineScanInterval is the interval at which old evidence is forgotten and the
	// number of blocked requests is determined.
	quarantineScanInterval = time.Second
)

// recordUpdater changes the record of this node.
type recordUpdater interface {
	Self() fleet.Member
	Update(change func(m *fleet.Member))
}

// quarantineSync shares the list of suspect requests with other nodes: directly, so that it
// does not depend on the log, and through the records of nodes, so that blocked requests are
// known after all nodes have restarted.
//
// A single crash restricts no request, so only the nodes beside servers of the same service
// are told of it, and nobody that its suspects have completed. A node that knows better
// says so in its response. Evidence that restricts a request goes to all nodes.
type quarantineSync struct {
	node, service string
	list          *quarantine.List
	events        eventRecorder
	metrics       *metrics.Metrics
	// peers returns the other reachable nodes of a service, or of all services if it is "".
	peers func(service string) []*peer
	send  func(ctx context.Context, p *peer, msg exchangeMessage) (reply exchangeMessage, err error)
	// ownMessage returns a message with the state of this node.
	ownMessage func() exchangeMessage
	directory  recordUpdater
	// sending holds a token for each message on its way.
	sending  chan struct{}
	lastScan time.Time

	mu sync.Mutex
	// pending has the requests that each node is to be told of, by its name. A goroutine
	// sends them while there is an entry. Each request has the deliveries that it belongs to.
	pending map[string]map[quarantine.Fingerprint][]*delivery
	// toAll has the last delivery to all nodes of each request, until it is complete.
	toAll map[quarantine.Fingerprint]*delivery
	// witnessed holds the requests under which the backend server of this node has crashed.
	// The record of the node has their convictions.
	witnessed map[quarantine.Fingerprint]struct{}
	published string
	blocked   int
}

func newQuarantineSync(list *quarantine.List, b *balancer, events eventRecorder, m *metrics.Metrics) *quarantineSync {
	return &quarantineSync{
		node: b.settings.Node, service: b.settings.Service, list: list, events: events, metrics: m, peers: b.reachablePeers,
		sending: make(chan struct{}, maxSpreadMessages),
		pending: make(map[string]map[quarantine.Fingerprint][]*delivery), toAll: make(map[quarantine.Fingerprint]*delivery), witnessed: make(map[quarantine.Fingerprint]struct{}),
	}
}

// serverCrashed shares the evidence against requests that are suspect of a crash of the
// backend server.
func (q *quarantineSync) serverCrashed(requests []quarantine.Fingerprint) {
	q.mu.Lock()
	for _, request := range requests {
		q.witnessed[request] = struct{}{}
	}
	q.mu.Unlock()
	now := time.Now()
	q.spread(requests, q.peers(q.service))
	restricted := q.restricted(now, requests)
	told := q.spread(restricted, q.peers(""))
	q.mu.Lock()
	for _, request := range restricted {
		if told.left > 0 {
			q.toAll[request] = told
		}
	}
	q.mu.Unlock()
	q.update(now)
}

// awaitTold waits until the nodes that are to know of a crash under a restricted request have
// been told, maxToldWait has passed or the deadline is reached.
func (q *quarantineSync) awaitTold(ctx context.Context, request quarantine.Fingerprint, deadline time.Time) {
	q.mu.Lock()
	told := q.toAll[request]
	q.mu.Unlock()
	if told == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxToldWait, time.Until(deadline)))
	defer cancel()
	select {
	case <-told.complete:
	case <-ctx.Done():
	}
}

// requestReleased tells the other nodes that a restricted request has completed.
func (q *quarantineSync) requestReleased(request quarantine.Fingerprint) {
	q.spread([]quarantine.Fingerprint{request}, q.peers(""))
}

// merge adds the evidence of another node. It returns evidence that the other node does not
// have: that requests have completed since.
func (q *quarantineSync) merge(evidence []suspectRequest) (newer []suspectRequest) {
	if len(evidence) == 0 {
		return nil
	}
	now := time.Now()
	free := q.witnessedFree(now, evidence)
	completed := q.list.Merge(now, decodeEvidence(evidence))
	// Servers that crash at the same time are reported by nodes that do not know of each
	// other's, so that none of them has told all nodes.
	q.spread(q.restricted(now, free), q.peers(""))
	q.update(now)
	return encodeEvidence(q.list.Evidence(now, completed))
}

// witnessedFree returns the requests among the evidence that are free although the backend
// server of this node has crashed under them.
func (q *quarantineSync) witnessedFree(now time.Time, evidence []suspectRequest) (requests []quarantine.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range evidence {
		if _, ok := q.witnessed[e.Request]; ok && q.list.Verdict(now, e.Request).Level == quarantine.Free {
			requests = append(requests, e.Request)
		}
	}
	return requests
}

// restricted returns the requests that are not free.
func (q *quarantineSync) restricted(now time.Time, requests []quarantine.Fingerprint) (restricted []quarantine.Fingerprint) {
	for _, request := range requests {
		if q.list.Verdict(now, request).Level != quarantine.Free {
			restricted = append(restricted, request)
		}
	}
	return restricted
}

// restore adds the convictions in the records of nodes. Those in the record that an earlier
// process of this node has written are kept there.
func (q *quarantineSync) restore(members []fleet.Member) {
	now := time.Now()
	for _, m := range members {
		if m.Blocked == "" {
			continue
		}
		convictions := decodeConvictions(m.Blocked)
		q.list.Restore(now, convictions)
		if m.Node == q.node {
			q.addWitnessed(convictions)
		}
	}
}

func (q *quarantineSync) addWitnessed(convictions []quarantine.Conviction) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range convictions {
		q.witnessed[c.Request] = struct{}{}
	}
}

// tick does the periodic work.
func (q *quarantineSync) tick(now time.Time) {
	if now.Sub(q.lastScan) < quarantineScanInterval {
		return
	}
	q.lastScan = now
	q.list.Tick(now)
	q.mu.Lock()
	for request := range q.witnessed {
		if !q.list.IsSuspect(request) {
			delete(q.witnessed, request)
		}
	}
	q.mu.Unlock()
	q.update(now)
}

// update publishes the convictions of this node and records how many requests are blocked.
func (q *quarantineSync) update(now time.Time) {
	convictions, blocked := q.list.Convictions(), q.list.Blocked(now)
	q.metrics.SetBlockedRequests(blocked)
	// A process that has not published a record yet must not replace that of an earlier one,
	// which may say that the backend server is leaving.
	mayPublish := q.directory.Self().Epoch > 0
	q.mu.Lock()
	if blocked != q.blocked {
		q.blocked = blocked
		q.events.Record(event.QuarantineChanged, slog.Int("blocked", blocked))
	}
	encoded := q.encodeWitnessed(convictions)
	changed := mayPublish && encoded != q.published
	if changed {
		q.published = encoded
	}
	q.mu.Unlock()
	if changed {
		q.directory.Update(func(m *fleet.Member) { m.Blocked = q.currentPublished() })
	}
}

// currentPublished returns the convictions for the record of this node.
func (q *quarantineSync) currentPublished() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.published
}

// delivery is evidence that is sent to several nodes.
type delivery struct {
	// left is the number of messages that have neither arrived nor failed once. The mutex of
	// quarantineSync guards it.
	left     int
	complete chan struct{}
}

// spread sends the evidence on the requests to nodes. What is to be sent to a node while a
// message to it is on its way follows in one message.
func (q *quarantineSync) spread(requests []quarantine.Fingerprint, peers []*peer) *delivery {
	d := &delivery{left: len(requests) * len(peers), complete: make(chan struct{})}
	if len(requests) == 0 {
		return d
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range peers {
		waiting, sending := q.pending[p.node]
		if !sending {
			waiting = make(map[quarantine.Fingerprint][]*delivery)
			q.pending[p.node] = waiting
			go q.deliver(p)
		}
		for _, request := range requests {
			waiting[request] = append(waiting[request], d)
		}
	}
	return d
}

// attempted records that a message to a node has arrived or failed once.
func (q *quarantineSync) attempted(deliveries []*delivery) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, d := range deliveries {
		if d.left--; d.left > 0 {
			continue
		}
		close(d.complete)
		maps.DeleteFunc(q.toAll, func(_ quarantine.Fingerprint, other *delivery) bool { return other == d })
	}
}

// deliver sends the pending evidence to a node until there is none, or the node can't be
// reached.
func (q *quarantineSync) deliver(p *peer) {
	for {
		requests, deliveries := q.takePending(p.node)
		if len(requests) == 0 {
			return
		}
		for attempt := range spreadAttempts {
			if attempt > 0 {
				follow.Pause(context.Background(), spreadPause)
			}
			err := q.sendEvidence(p, requests)
			if attempt == 0 {
				q.attempted(deliveries)
			}
			if err == nil {
				break
			}
		}
	}
}

// takePending returns the requests that a node is to be told of, and their deliveries. If
// there are none, a further one starts a new goroutine.
func (q *quarantineSync) takePending(node string) (requests []quarantine.Fingerprint, deliveries []*delivery) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for request, waiting := range q.pending[node] {
		requests, deliveries = append(requests, request), append(deliveries, waiting...)
	}
	if len(requests) == 0 {
		delete(q.pending, node)
	}
	clear(q.pending[node])
	return requests, deliveries
}

func (q *quarantineSync) sendEvidence(p *peer, requests []quarantine.Fingerprint) (err error) {
	q.sending <- struct{}{}
	defer func() { <-q.sending }()
	msg := q.ownMessage()
	msg.Suspects = encodeEvidence(q.list.Evidence(time.Now(), requests))
	_, err = q.send(context.Background(), p, msg)
	return err
}

// suspectRequest is the evidence on a request in a message to another node. Times are in
// milliseconds before the message.
type suspectRequest struct {
	Request quarantine.Fingerprint `json:"request"`
	Crashes []suspectCrash         `json:"crashes,omitempty"`
	// Restored is the number of crashes of an earlier conviction, the last one RestoredMs ago.
	Restored   int    `json:"restored,omitempty"`
	RestoredMs int64  `json:"restoredMs,omitempty"`
	ClearedMs  *int64 `json:"clearedMs,omitempty"`
}

type suspectCrash struct {
	ID        quarantine.CrashID `json:"id"`
	AgeMs     int64              `json:"ageMs"`
	RunTimeMs int64              `json:"runMs"`
	Isolated  bool               `json:"isolated,omitempty"`
	// AgeNs and RunTimeNs are what AgeMs and RunTimeMs leave out. Without them, a run that
	// started within the same millisecond as an earlier crash seems to have started before
	// it. Nodes of earlier versions do not send them.
	AgeNs     int64 `json:"ageNs,omitempty"`
	RunTimeNs int64 `json:"runNs,omitempty"`
}

func encodeEvidence(evidence []quarantine.Evidence) (encoded []suspectRequest) {
	for _, e := range evidence {
		s := suspectRequest{Request: e.Request, Restored: e.Restored, RestoredMs: e.RestoredAge.Milliseconds()}
		if e.Cleared {
			ms := e.ClearedAge.Milliseconds()
			s.ClearedMs = &ms
		}
		for _, c := range e.Crashes {
			s.Crashes = append(s.Crashes, suspectCrash{
				ID: c.ID, AgeMs: c.Age.Milliseconds(), RunTimeMs: c.RunTime.Milliseconds(), Isolated: c.Isolated,
				AgeNs: int64(c.Age % time.Millisecond), RunTimeNs: int64(c.RunTime % time.Millisecond),
			})
		}
		encoded = append(encoded, s)
	}
	return encoded
}

func decodeEvidence(encoded []suspectRequest) (evidence []quarantine.Evidence) {
	for _, s := range encoded {
		e := quarantine.Evidence{Request: s.Request, Restored: s.Restored, RestoredAge: milliseconds(s.RestoredMs)}
		if s.ClearedMs != nil {
			e.Cleared, e.ClearedAge = true, milliseconds(*s.ClearedMs)
		}
		for _, c := range s.Crashes {
			e.Crashes = append(e.Crashes, quarantine.Crash{
				ID: c.ID, Age: milliseconds(c.AgeMs) + belowMillisecond(c.AgeNs), RunTime: milliseconds(c.RunTimeMs) + belowMillisecond(c.RunTimeNs), Isolated: c.Isolated,
			})
		}
		evidence = append(evidence, e)
	}
	return evidence
}

// milliseconds converts an age in a message. Ages beyond a day do not differ in effect.
func milliseconds(ms int64) time.Duration {
	const day = 24 * time.Hour
	return time.Duration(min(max(ms, 0), day.Milliseconds())) * time.Millisecond
}

// belowMillisecond converts the nanoseconds that a whole number of milliseconds leaves out.
func belowMillisecond(ns int64) time.Duration {
	return min(max(time.Duration(ns), 0), time.Millisecond-1)
}

// encodeWitnessed returns the convictions of witnessed requests as they are stored in the
// record of a node: the fingerprint, the number of crashes in isolation and the time of the last one in
// Unix milliseconds, separated by colons, and commas between them. The mutex must be held.
func (q *quarantineSync) encodeWitnessed(convictions []quarantine.Conviction) string {
	var parts []string
	for _, c := range convictions {
		if _, ok := q.witnessed[c.Request]; ok && len(parts) < maxPublishedConvictions {
			parts = append(parts, c.Request.String()+":"+strconv.Itoa(c.Crashes)+":"+strconv.FormatInt(c.At.UnixMilli(), 10))
		}
	}
	return strings.Join(parts, ",")
}

// decodeConvictions decodes convictions in the record of a node. Those that can't be
// decoded are left out.
func decodeConvictions(encoded string) (convictions []quarantine.Conviction) {
	for part := range strings.SplitSeq(encoded, ",") {
		if c, err := decodeConviction(part); err == nil && len(convictions) < maxPublishedConvictions {
			convictions = append(convictions, c)
		}
	}
	return convictions
}

func decodeConviction(part string) (c quarantine.Conviction, err error) {
	fields := strings.Split(part, ":")
	if len(fields) != 3 {
		return c, eris.Errorf("got %d fields, expected 3", len(fields))
	}
	if err = c.Request.UnmarshalText([]byte(fields[0])); err != nil {
		return c, err
	}
	if c.Crashes, err = strconv.Atoi(fields[1]); err != nil {
		return c, err
	}
	unixMs, err := strconv.ParseInt(fields[2], 10, 64)
	c.At = time.UnixMilli(unixMs)
	return c, err
}
