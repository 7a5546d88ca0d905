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
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/fleet"
	"github.com/lacewingslip/lacewingslip/follow"
	"github.com/lacewingslip/lacewingslip/hop"
)

const (
	// exchangePath is served to other nodes.
	exchangePath = "/lacewingslip/v1/exchange"
	// exchangeTimeout bounds one exchange; the longest way takes 40 ms.
	exchangeTimeout = 800 * time.Millisecond
	// maxExchangeBytes bounds a message. 1,100 records have about 300 KB, and a
	// desired state of some thousand routes about 1 MB.
	maxExchangeBytes = 8 << 20
	// aloneInterval is how often a node that can't read the log asks another one
	// for news.
	aloneInterval = 500 * time.Millisecond
)

// exchangeMessage is what two nodes tell each other.
type exchangeMessage struct {
	Self fleet.Member `json:"self"`
	// Version is that of the desired state in force at the sender.
	Version int64 `json:"version"`
	// Digest is that of the sender's table of nodes.
	Digest uint64 `json:"digest"`
	// WantMembers asks for the records of all nodes if the digests differ.
	WantMembers bool `json:"wantMembers,omitempty"`
	// State is the desired state as the operator wrote it, if it is newer than
	// the version that was asked with.
	State   []byte         `json:"state,omitempty"`
	Members []fleet.Member `json:"members,omitempty"`

	// WaitMs asks the receiver to answer only when records have changed since
	// Seen, or after that time in milliseconds. Table names the table that Seen
	// counts the changes of; every process has its own.
	WaitMs int64 `json:"waitMs,omitempty"`
	Table  int64 `json:"table,omitempty"`
	Seen   int64 `json:"seen,omitempty"`
	// Watches is true if the sender reads the log itself.
	Watches bool `json:"watches,omitempty"`
}

// exchange passes news between nodes beside the log: to nodes that can't read
// it, and about nodes that can't write to it.
type exchange struct {
	balancer  *balancer
	directory *fleet.Directory
	desired   *desired
	events    recorder
	client    *http.Client
	// watches reports whether this node reads the log itself.
	watches func() bool
	// table names the table of this process.
	table int64

	mu sync.Mutex
	// asking holds the nodes that are being asked for a newer state.
	asking map[string]bool
}

func newExchange(b *balancer, directory *fleet.Directory, d *desired, events recorder) *exchange {
	return &exchange{
		balancer: b, directory: directory, desired: d, events: events, asking: make(map[string]bool),
		watches: func() bool { return true }, table: rand.Int64(),
		client: &http.Client{Transport: &http.Transport{DialContext: hop.Dialer().DialContext, MaxIdleConnsPerHost: -1}},
	}
}

// message describes this node.
func (e *exchange) message() exchangeMessage {
	table := e.directory.Table()
	return exchangeMessage{
		Self: e.directory.Own(), Version: e.desired.version(), Digest: table.Digest(), Table: e.table, Watches: e.watches(),
	}
}

// ServeHTTP answers another node.
func (e *exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var received exchangeMessage
	if err := json.NewDecoder(io.LimitReader(r.Body, maxExchangeBytes)).Decode(&received); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.directory.Merge(received.Self)
	e.balancer.regain(received.Self.Node)
	var changed []fleet.Member
	var seen int64
	if received.WaitMs > 0 {
		changed, seen = e.awaitChange(r.Context(), received)
	}
	sent := e.message()
	sent.Seen, sent.Members = seen, changed
	if received.Version < sent.Version {
		sent.State = e.desired.snapshot()
	}
	if received.WantMembers && received.Digest != sent.Digest {
		sent.Members = e.directory.Table().Members()
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the node has gone; it asks again.
	_ = json.NewEncoder(w).Encode(sent)
	if host, _, err := net.SplitHostPort(received.Self.Address); err == nil {
		if p, ok := e.balancer.at(host); ok {
			e.heard(p, received.Version)
		}
	}
}

// awaitChange waits until records have changed since those that the sender has
// seen, and returns them with the number of changes.
func (e *exchange) awaitChange(ctx context.Context, received exchangeMessage) (changed []fleet.Member, changes int64) {
	if received.Table != e.table {
		received.Seen = 0
	}
	timeout := time.NewTimer(min(time.Duration(received.WaitMs)*time.Millisecond, watchWait))
	defer timeout.Stop()
	for {
		changed, changes, next := e.directory.Table().Since(received.Seen)
		if len(changed) > 0 {
			return changed, changes
		}
		select {
		case <-next:
			// Changes that come together are told together.
			follow.Pause(ctx, watchGather)
		case <-timeout.C:
			return nil, changes
		case <-ctx.Done():
			return nil, changes
		}
	}
}

// with exchanges news with a node.
func (e *exchange) with(ctx context.Context, p *peer, wantMembers bool) (err error) {
	defer func() { err = eris.Wrapf(err, "exchange with node %s", p.node) }()
	message := e.message()
	message.WantMembers = wantMembers
	_, err = e.send(ctx, p, message)
	return err
}

// send sends a message to a node and takes in the answer.
func (e *exchange) send(ctx context.Context, p *peer, message exchangeMessage) (received exchangeMessage, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout+time.Duration(message.WaitMs)*time.Millisecond)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return received, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+exchangePath, bytes.NewReader(body))
	if err != nil {
		return received, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return received, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return received, eris.Errorf("status %s", response.Status)
	}
	if err = json.NewDecoder(io.LimitReader(response.Body, maxExchangeBytes)).Decode(&received); err != nil {
		return received, err
	}
	if received.Self.Node != p.node {
		return received, eris.Errorf("the address belongs to node %q", received.Self.Node)
	}
	if len(received.State) > 0 {
		e.desired.take(received.State, received.Self.Node)
	}
	e.directory.Merge(append(received.Members, received.Self)...)
	e.balancer.regain(received.Self.Node)
	return received, nil
}

// heard takes in which version of the desired state another node has, and asks
// for it if it is newer.
func (e *exchange) heard(p *peer, version int64) {
	if version <= e.desired.version() {
		return
	}
	node := p.node
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.asking[node] {
		return
	}
	e.asking[node] = true
	go func() {
		if err := e.with(context.Background(), p, false); err != nil {
			e.events.Record(event.ExchangeFailed, attrPeer(node), slog.String("error", err.Error()))
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.asking, node)
	}()
}

// probe asks the nodes that could not be reached whether they are back.
func (e *exchange) probe(ctx context.Context, now time.Time) {
	for _, p := range e.balancer.due(now) {
		// A node that stays away is probed again; its loss has been logged.
		go func() { _ = e.with(ctx, p, false) }()
	}
}

// announce tells all known nodes about this one, when the log can't.
func (e *exchange) announce(ctx context.Context) {
	for _, p := range e.balancer.others() {
		go func() {
			if err := e.with(ctx, p, false); err != nil {
				e.balancer.lose(p, err.Error())
			}
		}()
	}
}

// runAlone asks another node for news from time to time while the log can't be
// read.
func (e *exchange) runAlone(ctx context.Context) {
	for ctx.Err() == nil {
		follow.Pause(ctx, aloneInterval/2+time.Duration(rand.Int64N(int64(aloneInterval))))
		if e.directory.Reachable() {
			continue
		}
		others := e.balancer.others()
		if len(others) == 0 {
			continue
		}
		p := others[rand.IntN(len(others))]
		if err := e.with(ctx, p, true); err != nil {
			e.balancer.lose(p, err.Error())
		}
	}
}
