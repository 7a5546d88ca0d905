package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/framing"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/platform"
)

const (
	// exchangePath is the endpoint for state exchanges with other nodes.
	exchangePath = "/lacewingslip/v1/exchange"
	// exchangeTimeout limits one exchange. The longest network path takes 40 ms.
	exchangeTimeout = 800 * time.Millisecond
	// maxExchangeBytes limits the size of a message. 1,100 member records have
	// about 300 KB, and a desired state of a few thousand routes about 1 MB.
	maxExchangeBytes = 8 << 20
	// maxIdleExchanges bounds the unused connections for exchanges that are kept. A node
	// exchanges state with all others after some faults, and has few descriptors.
	maxIdleExchanges = 64
	// peerPollInterval is how often a node that can't read the log polls another
	// node for changes.
	peerPollInterval = 500 * time.Millisecond
	// recordKeepers is the number of nodes that a node sends its record to while the log
	// does not take it, and that it asks for its own record after its start.
	// minRecordCopies of them must confirm that they hold it, or answer, so that at least
	// one holds it and answers.
	recordKeepers   = 3
	minRecordCopies = 2
	// A started node asks one more node each time that lateAnswerTime passes without enough
	// answers, up to maxRecordKeepers.
	lateAnswerTime   = 200 * time.Millisecond
	maxRecordKeepers = 12
	// defaultOwnRecordWait is how long a started node waits for answers of other nodes,
	// which may have its own record or a newer desired state, before it relies on health
	// requests and on the desired state that it has.
	defaultOwnRecordWait = time.Second
	// peerCheckInterval is how often a started node checks whether it knows other nodes that
	// it has not asked. After the log was restored, the others may only just write their
	// records again.
	peerCheckInterval = 50 * time.Millisecond
	// completeTablePeers is the number of nodes that a watcher asks for all records after
	// its start, one after the other until one answers.
	completeTablePeers = 5
)

// exchangeMessage is the body of both the request and the response of an
// exchange.
type exchangeMessage struct {
	Self fleet.Member `json:"self"`
	// Version is the version of the desired state in force at the sender.
	Version int64 `json:"version"`
	// Era is the highest era of the log that the sender knows.
	Era int64 `json:"era,omitempty"`
	// Digest is the digest of the sender's member table.
	Digest uint64 `json:"digest"`
	// WantMembers requests the records of all nodes if the digests differ.
	WantMembers bool `json:"wantMembers,omitempty"`
	// State is the desired state as the operator wrote it. A response has it only if
	// it is newer than the version in the request.
	State []byte `json:"state,omitempty"`
	// Members holds records that the receiver may not have. If the sender's record of the
	// receiver outdates the receiver's own one, it is one of them.
	Members []fleet.Member `json:"members,omitempty"`

	// WaitMs makes the request a long poll: the receiver responds when records have
	// changed since SeenChanges, when it has a newer version of the desired state, when
	// it knows a higher era of the log, or after this time in milliseconds. SeenChanges
	// counts the changes of the member table that TableID identifies. Each process
	// has its own member table.
	WaitMs      int64 `json:"waitMs,omitempty"`
	TableID     int64 `json:"table,omitempty"`
	SeenChanges int64 `json:"seen,omitempty"`
	// Suspects is the evidence against requests that crash backend servers.
	Suspects []suspectRequest `json:"suspects,omitempty"`
	// ReadsLog is true if the sender reads the log itself.
	ReadsLog bool `json:"watches,omitempty"`

	// ProofAgeMs is the age of the sender's proof that its version is the newest, or missing
	// if it has none. In a response, HeldMs is for how long the request was held before.
	ProofAgeMs *int64 `json:"proofAge,omitempty"`
	HeldMs     int64  `json:"held,omitempty"`
	// ProofOnly makes a long poll wait for a younger proof only.
	ProofOnly bool `json:"proofOnly,omitempty"`
}

// exchange synchronizes nodes directly, without the log: it supplies nodes that
// can't read the log, and distributes the records of nodes that can't write to
// it.
type exchange struct {
	balancer   *balancer
	directory  *fleet.Directory
	desired    *desiredState
	era        *follow.EraTracker
	events     eventRecorder
	client     *http.Client
	quarantine *quarantineSync
	proofs     *proofs
	// readsLog reports whether this node reads the log itself.
	readsLog func() bool
	// tableID identifies the member table of this process.
	tableID int64
	// ownRecordFetched is closed when other nodes have been asked for this node's own
	// record.
	ownRecordFetched chan struct{}
	// answered is true once another node has answered a message of this process, so that
	// its record of this node is known.
	answered atomic.Bool
	// ownRecordWait is how long this node waits after its start for other nodes to be asked.
	ownRecordWait time.Duration
	startedAt     time.Time
	// endWaits answers the long polls of other nodes when this node stops. It closes
	// stopping.
	endWaits func()
	stopping chan struct{}

	mu sync.Mutex
	// fetching holds the nodes from which a newer desired state is being fetched.
	fetching map[string]bool
}

func newExchange(b *balancer, directory *fleet.Directory, d *desiredState, era *follow.EraTracker, q *quarantineSync, proofs *proofs, events eventRecorder) *exchange {
	stopping := make(chan struct{})
	e := &exchange{
		quarantine: q, proofs: proofs,
		stopping: stopping, endWaits: sync.OnceFunc(func() { close(stopping) }),
		balancer: b, directory: directory, desired: d, era: era, events: events, fetching: make(map[string]bool),
		readsLog: func() bool { return true }, tableID: rand.Int64(), ownRecordFetched: make(chan struct{}), ownRecordWait: defaultOwnRecordWait, startedAt: time.Now(),
		client: &http.Client{Transport: framing.NewTransport(&http.Transport{
			DialContext: hop.Dialer().DialContext, DisableCompression: true,
			MaxIdleConns: maxIdleExchanges, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout,
		})},
	}
	proofs.balancer, proofs.exchange = b, e
	q.send, q.ownMessage, q.directory = e.send, e.ownMessage, directory
	return e
}

// ownMessage returns a message with the state of this node.
func (e *exchange) ownMessage() exchangeMessage {
	// The age is determined before the version: it holds for all later versions.
	age := e.proofs.statedAge()
	table := e.directory.Table()
	return exchangeMessage{
		ProofAgeMs: age.milliseconds(), Self: e.directory.Self(), Version: e.desired.version(), Era: e.era.Known(), Digest: table.Digest(),
		TableID: e.tableID, ReadsLog: e.readsLog(), Suspects: encodeEvidence(e.quarantine.list.Restricting(time.Now())),
	}
}

// ServeHTTP responds to an exchange that another node started.
func (e *exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := e.proofs.clock()
	var received exchangeMessage
	if err := json.NewDecoder(io.LimitReader(r.Body, maxExchangeBytes)).Decode(&received); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.era.Observe(received.Era)
	outdated := e.quarantine.merge(received.Suspects)
	e.directory.Merge(append(received.Members, received.Self)...)
	e.balancer.markReachable(received.Self.Node)
	e.fetchIfNewerAt(received.Self.Address, received.Version)
	var changed []fleet.Member
	var seenChanges int64
	if received.WaitMs > 0 {
		changed, seenChanges = e.awaitChanges(r.Context(), received)
	}
	// The time is determined before the age of the proof, which grows meanwhile.
	held := e.proofs.clock() - receivedAt
	reply := e.ownMessage()
	reply.SeenChanges, reply.Members, reply.HeldMs = seenChanges, changed, held.Milliseconds()
	reply.Suspects = append(reply.Suspects, outdated...)
	if received.Version < reply.Version {
		reply.State = e.desired.currentDocument()
	}
	if received.WantMembers && received.Digest != reply.Digest {
		reply.Members = e.directory.Table().Members()
	}
	if known, outdated := e.outdates(received.Self); outdated {
		reply.Members = append(reply.Members, known)
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the other node has disconnected. That node repeats the
	// exchange.
	_ = json.NewEncoder(w).Encode(reply)
}

// outdates returns this node's record of the sender of a message if it outdates the
// record in the message.
func (e *exchange) outdates(sent fleet.Member) (known fleet.Member, outdated bool) {
	known, ok := e.directory.Table().Get(sent.Node)
	return known, ok && known.Outdates(sent)
}

// awaitChanges waits until records have changed that the sender has not seen, until a
// newer version of the desired state is in force, until a higher era of the log is
// known, until this node has a proof that helps the sender, until this node stops, or until
// the wait time has elapsed.
// It returns the changed records and the total number of changes.
func (e *exchange) awaitChanges(ctx context.Context, received exchangeMessage) (changed []fleet.Member, changes int64) {
	if received.TableID != e.tableID {
		received.SeenChanges = 0
	}
	timeout := time.NewTimer(min(time.Duration(received.WaitMs)*time.Millisecond, maxChangeWait))
	defer timeout.Stop()
	helpful := e.proofs.helpful(ctx, received)
	for {
		changed, changes, next := e.directory.Table().Since(received.SeenChanges)
		newer, newState := e.desired.since(received.Version)
		higherEra, eraRisen := e.era.Since(received.Era)
		// A message without an era is from a node that knows of none, or of an earlier
		// release.
		if received.ProofOnly {
			changed, next = nil, nil
		}
		if len(changed) > 0 || newer || higherEra && received.Era > 0 {
			return changed, changes
		}
		select {
		case <-helpful:
			return nil, changes
		case <-newState:
		case <-eraRisen:
		case <-next:
			// Changes that follow within a short time are sent in one response.
			follow.Pause(ctx, changeBatchDelay)
		case <-timeout.C:
			return nil, changes
		case <-e.stopping:
			return nil, changes
		case <-ctx.Done():
			return nil, changes
		}
	}
}

// exchangeWith exchanges state with a node once.
func (e *exchange) exchangeWith(ctx context.Context, p *peer, wantMembers bool) (err error) {
	defer func() { err = eris.Wrapf(err, "state exchange with node %s", p.node) }()
	msg := e.ownMessage()
	msg.WantMembers = wantMembers
	_, err = e.send(ctx, p, msg)
	return err
}

// send sends a message to a node and applies the state in the response.
func (e *exchange) send(ctx context.Context, p *peer, msg exchangeMessage) (reply exchangeMessage, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout+time.Duration(msg.WaitMs)*time.Millisecond)
	defer cancel()
	body, err := json.Marshal(msg)
	if err != nil {
		return reply, err
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+exchangePath, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	// An exchange can be repeated without harm. The header is not sent: it makes net/http send
	// the request again if the other node has just closed the connection.
	httpReq.Header["Idempotency-Key"] = nil
	sentAt := e.proofs.clock()
	resp, err := e.client.Do(httpReq)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reply, eris.Errorf("got status %s, expected 200 OK", resp.Status)
	}
	if err = json.NewDecoder(io.LimitReader(resp.Body, maxExchangeBytes)).Decode(&reply); err != nil {
		return reply, err
	}
	if reply.Self.Node != p.node {
		return reply, eris.Errorf("the address now belongs to node %q", reply.Self.Node)
	}
	e.era.Observe(reply.Era)
	e.quarantine.merge(reply.Suspects)
	if len(reply.State) > 0 {
		e.desired.apply(reply.State, reply.Self.Node)
	}
	e.proofs.recordResponse(sentAt, time.Duration(reply.HeldMs)*time.Millisecond, reply.proofAge(), reply.Version)
	e.directory.Merge(append(reply.Members, reply.Self)...)
	e.balancer.markReachable(reply.Self.Node)
	if reply.Self.Node != msg.Self.Node {
		e.answered.Store(true)
	}
	// The connection is reused only if the body was read to its end, which may arrive late. The
	// error is ignored: its only consequence is that the connection is not reused.
	_, _ = io.CopyN(io.Discard, resp.Body, maxExchangeBytes)
	if known, outdated := e.outdates(reply.Self); outdated && len(msg.Members) == 0 {
		msg = e.ownMessage()
		msg.Members = []fleet.Member{known}
		// The error is ignored: the next exchange sends the record again.
		_, _ = e.send(ctx, p, msg)
	}
	return reply, nil
}

// fetchIfNewerAt is fetchIfNewer for the node with the IP in the address.
func (e *exchange) fetchIfNewerAt(address string, version int64) {
	if host, _, err := net.SplitHostPort(address); err == nil {
		if p, ok := e.balancer.peerByIP(host); ok {
			e.fetchIfNewer(p, version)
		}
	}
}

// fetchIfNewer fetches the desired state from a node in the background if the
// version at that node is newer than the version at this node.
func (e *exchange) fetchIfNewer(p *peer, version int64) {
	if version <= e.desired.version() || version > platform.MaxVersion {
		return
	}
	node := p.node
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fetching[node] {
		return
	}
	e.fetching[node] = true
	go func() {
		if err := e.exchangeWith(context.Background(), p, false); err != nil {
			e.events.Record(event.ExchangeFailed, attrPeer(node), slog.String("error", err.Error()))
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.fetching, node)
	}()
}

// probeUnreachable starts an exchange with each unreachable node that is due to
// be probed. A success marks the node as reachable.
func (e *exchange) probeUnreachable(ctx context.Context, now time.Time) {
	for _, p := range e.balancer.dueProbes(now) {
		// Errors are ignored: the node is probed again, and the event that it is
		// unreachable has been recorded.
		go func() { _ = e.exchangeWith(ctx, p, false) }()
	}
}

// sendOwnRecord sends the record of this node to all other nodes, because the
// log did not accept it.
func (e *exchange) sendOwnRecord(ctx context.Context) {
	for _, p := range e.balancer.otherPeers() {
		go func() {
			if err := e.exchangeWith(ctx, p, false); err != nil {
				e.balancer.markUnreachable(p, err.Error())
			}
		}()
	}
}

// copyOwnRecord sends the record of this node to the nodes that keep it, and returns how
// many of them must confirm it.
func (e *exchange) copyOwnRecord(ctx context.Context) (needed int) {
	keepers := e.balancer.recordKeepers(recordKeepers)
	for _, p := range keepers {
		go func() {
			epoch := e.directory.Self().Epoch
			if err := e.exchangeWith(ctx, p, false); err != nil {
				e.balancer.markUnreachable(p, err.Error())
				return
			}
			// The epoch is raised if the other node had a record that it took for newer.
			if e.directory.Self().Epoch == epoch {
				e.directory.ConfirmCopy(p.node, epoch)
			}
		}()
	}
	return min(minRecordCopies, len(keepers))
}

// fetchOwnRecord exchanges state with the nodes that keep the record of this node, which
// return the record of an earlier process if they have one that the log has not. Others take
// the place of those that fail or do not answer soon: they may have lost power together with
// this node.
func (e *exchange) fetchOwnRecord(ctx context.Context) {
	defer close(e.ownRecordFetched)
	select {
	case <-e.directory.Loaded():
	case <-time.After(peerPollInterval):
	case <-ctx.Done():
	}
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	results := make(chan peerResult)
	asked := make(map[*peer]struct{})
	answers, nodes, lastAdded := 0, recordKeepers, time.Now()
	for ctx.Err() == nil && (answers == 0 || answers < min(minRecordCopies, len(e.balancer.otherPeers()))) {
		for _, p := range e.balancer.recordKeepers(nodes) {
			if _, known := asked[p]; !known {
				asked[p] = struct{}{}
				go e.fetchOwnRecordFrom(ctx, p, results)
			}
		}
		select {
		case result := <-results:
			if result.err == nil {
				answers++
				continue
			}
			e.balancer.markUnreachable(result.peer, result.err.Error())
			delete(asked, result.peer)
		case now := <-ticker.C:
			if now.Sub(lastAdded) >= lateAnswerTime && nodes < maxRecordKeepers {
				nodes, lastAdded = nodes+1, now
			}
		case <-ctx.Done():
		}
	}
}

// peerResult is the result of an exchange with a node.
type peerResult struct {
	peer *peer
	err  error
}

// fetchOwnRecordFrom exchanges state with one node, which becomes the result unless the
// record has been fetched meanwhile.
func (e *exchange) fetchOwnRecordFrom(ctx context.Context, p *peer, results chan<- peerResult) {
	err := e.exchangeWith(ctx, p, !e.directory.LogReachable())
	select {
	case results <- peerResult{p, err}:
	case <-e.ownRecordFetched:
	}
}

// hasAskedPeers reports whether other nodes have been asked for this node's record and for a
// newer desired state, or the time for that is over.
func (e *exchange) hasAskedPeers() bool {
	select {
	case <-e.ownRecordFetched:
		return true
	default:
		return time.Since(e.startedAt) > e.ownRecordWait
	}
}

// completeTable fetches the records that the log has lost from another node, if this node
// reads the log. Nodes that follow a watcher have all records of that watcher.
func (e *exchange) completeTable(ctx context.Context) {
	if !e.readsLog() {
		return
	}
	peers := e.balancer.otherPeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(completeTablePeers, len(peers))] {
		err := e.exchangeWith(ctx, p, true)
		if err == nil {
			return
		}
		e.balancer.markUnreachable(p, err.Error())
	}
}

// pollPeers asks a few nodes for this node's own record, and one for all records. Then it
// polls a random node for changes at intervals while the log can't be read.
func (e *exchange) pollPeers(ctx context.Context) {
	e.fetchOwnRecord(ctx)
	follow.Pause(ctx, settleTime)
	e.completeTable(ctx)
	for ctx.Err() == nil {
		follow.Pause(ctx, peerPollInterval/2+time.Duration(rand.Int64N(int64(peerPollInterval))))
		if e.directory.LogReachable() {
			continue
		}
		peers := e.balancer.otherPeers()
		if len(peers) == 0 {
			continue
		}
		p := peers[rand.IntN(len(peers))]
		if err := e.exchangeWith(ctx, p, true); err != nil {
			e.balancer.markUnreachable(p, err.Error())
		}
	}
}
