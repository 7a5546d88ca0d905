package membership

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/call"
)

// exchange sends the latest changes to a node and merges its answer. The node
// is "" if only its address is known.
func (g *Gossip) exchange(ctx context.Context, address, node string, scope fetchScope) (err error) {
	request := g.newRequest(node, scope)
	for range maxRounds {
		if request == nil {
			break
		}
		var answer exchangeAnswer
		if err = g.post(ctx, exchangeTimeout, address, exchangePath, request, &answer); err != nil {
			return err
		}
		if err = g.checkSystem(answer.header); err != nil {
			return err
		}
		if node != "" && answer.From != node {
			return fmt.Errorf("node %q answers at %s, expected node %q", answer.From, address, node)
		}
		g.observe(answer.header, address)
		request = g.handleAnswer(request, &answer)
	}
	return nil
}

func (g *Gossip) newRequest(node string, scope fetchScope) (request *exchangeRequest) {
	header := g.newHeader()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	request = &exchangeRequest{header: header, To: node, Fetch: scope, Sum: g.table.checksum()}
	request.Digest = now.Sub(g.lastCompared) >= compareInterval
	// Includes a suspicion of the receiver, so that the receiver can refute it.
	if r, ok := g.table.records[node]; ok && r.health != Alive {
		request.Entries = append(request.Entries, r.update(now))
	}
	request.Entries = append(request.Entries, g.table.deltas(now, maxDeltaBytes, request.Entries)...)
	return request
}

func (g *Gossip) newHeader() header {
	return header{
		From: g.self.Node, Incarnation: g.self.Incarnation, System: g.self.System, Age: g.ownAge(),
		Clock: g.readClock(), Settings: g.settingsOffset(),
	}
}

func (g *Gossip) checkSystem(h header) (err error) {
	if h.System != g.self.System {
		return fmt.Errorf("node %q belongs to system %q, not to %q", h.From, h.System, g.self.System)
	}
	return nil
}

// observe passes the clock value and the settings offset of a message to the functions
// set by the options.
func (g *Gossip) observe(h header, address string) {
	if h.Clock != "" {
		g.observeClock(h.Clock)
	}
	if h.Settings > g.settingsOffset() && address != "" {
		g.onNewerSettings(h.Settings, address)
	}
}

// handleAnswer merges an answer. It returns the next request of the same
// exchange, which compares buckets or sends entries that the other node lacks,
// or nil if the exchange is complete.
func (g *Gossip) handleAnswer(request *exchangeRequest, answer *exchangeAnswer) (next *exchangeRequest) {
	header := g.newHeader()
	g.changeTable(func(now time.Time) (changes []Change) {
		var newer []update
		changes, newer = g.table.merge(now, answer.Entries)
		g.table.ObserveEpoch(time.Now(), answer.From, answer.Incarnation, answer.Age)
		if request.Fetch == fetchAll {
			g.tablesFetched++
			g.complete = g.complete || answer.Complete || g.tablesFetched >= maxIncompleteTables
		}
		header.Entries = g.repairs(now, newer, answer.Want)
		next = &exchangeRequest{header: header, To: answer.From}
		if answer.TablesEqual {
			g.table.countEqualTables()
		}
		if answer.Digest != nil && now.Sub(g.lastCompared) >= compareInterval {
			g.lastCompared = now
			next.Compare = g.comparisons(g.table.differingBuckets(answer.Digest))
		}
		return changes
	})
	if len(next.Entries) == 0 && len(next.Compare) == 0 {
		return nil
	}
	return next
}

// repairs returns the records that the other node lacks, up to about
// maxRepairBytes.
func (g *Gossip) repairs(now time.Time, newer []update, requested []string) (updates []update) {
	for _, node := range requested {
		if r, ok := g.table.records[node]; ok && !r.removed {
			newer = append(newer, r.update(now))
		}
	}
	budget := maxRepairBytes
	for _, u := range newer {
		if budget -= u.estimatedSize(); budget < 0 {
			break
		}
		updates = append(updates, u)
	}
	return updates
}

// comparisons returns the tags of up to comparedBuckets of the differing buckets.
// It starts at a random one, so that all of them are compared eventually.
func (g *Gossip) comparisons(buckets []int) (compare []comparison) {
	if len(buckets) == 0 {
		return nil
	}
	first := g.random.IntN(len(buckets))
	for i := range min(comparedBuckets, len(buckets)) {
		bucket := buckets[(first+i)%len(buckets)]
		compare = append(compare, comparison{bucket, g.table.bucketTags(bucket)})
	}
	return compare
}

func (g *Gossip) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(exchangePath, g.serveExchange).Methods(http.MethodPost)
	router.HandleFunc(probePath, g.serveProbe).Methods(http.MethodPost)
	return router
}

func (g *Gossip) serveExchange(w http.ResponseWriter, r *http.Request) {
	var request exchangeRequest
	if err := decode(r.Body, &request); err != nil {
		writeError(w, err)
		return
	}
	if err := g.checkSystem(request.header); err != nil {
		writeError(w, err)
		return
	}
	if request.To != "" && request.To != g.self.Node {
		writeError(w, fmt.Errorf("node %q answers at this address, not node %q", g.self.Node, request.To))
		return
	}
	address, answer := g.handleExchange(&request)
	g.observe(request.header, address)
	writeJSON(w, http.StatusOK, answer)
}

// handleExchange merges a request and returns the answer, with the entries that
// the sender lacks, and the sender's address if it is known.
func (g *Gossip) handleExchange(request *exchangeRequest) (address string, answer *exchangeAnswer) {
	answer = &exchangeAnswer{header: g.newHeader()}
	g.changeTable(func(now time.Time) (changes []Change) {
		var newer []update
		if answer.TablesEqual = request.Sum == g.table.checksum(); answer.TablesEqual {
			g.table.countEqualTables()
		}
		changes, newer = g.table.merge(now, request.Entries)
		g.table.ObserveEpoch(time.Now(), request.From, request.Incarnation, request.Age)
		if sender, ok := g.table.records[request.From]; ok {
			address = sender.Peer
			if sender.health == Suspect || sender.health == Unreachable {
				newer = append(newer, sender.update(now))
			}
		}
		for _, c := range request.Compare {
			updates, wanted := g.table.compareBucket(now, c.Bucket, c.Tags)
			newer = append(newer, updates...)
			answer.Want = append(answer.Want, wanted...)
		}
		answer.Entries = g.answerEntries(now, request, newer)
		answer.Complete = request.Fetch == fetchAll && g.complete
		if request.Digest && !answer.TablesEqual && request.Sum != g.table.checksum() {
			answer.Digest = new(g.table.buckets)
		}
		return changes
	})
	return address, answer
}

func (g *Gossip) answerEntries(now time.Time, request *exchangeRequest, newer []update) (updates []update) {
	switch request.Fetch {
	case fetchChanges:
	case fetchAll:
		return g.table.allUpdates(now, maxTableBytes)
	case fetchSample:
		newer = append(newer, g.table.records[g.self.Node].update(now))
		for _, m := range g.table.pickReachable(sampleSize, request.From) {
			newer = append(newer, g.table.records[m.Node()].update(now))
		}
	}
	updates = g.repairs(now, newer, nil)
	if request.Sum == g.table.checksum() {
		return updates
	}
	return append(updates, g.table.deltas(now, maxDeltaBytes, append(updates, request.Entries...))...)
}

// differingBuckets returns the buckets in which another digest differs from the
// table's.
func (t *Table) differingBuckets(theirs *digest) (buckets []int) {
	for i := range t.buckets {
		if t.buckets[i] != theirs[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}

// serveProbe exchanges with a node on behalf of another node that can't reach it.
func (g *Gossip) serveProbe(w http.ResponseWriter, r *http.Request) {
	var request probeRequest
	if err := decode(r.Body, &request); err != nil {
		writeError(w, err)
		return
	}
	g.mu.Lock()
	m, ok := g.table.Get(request.Node)
	g.mu.Unlock()
	if !ok {
		writeError(w, fmt.Errorf("node %q is not in the table of this node", request.Node))
		return
	}
	err := g.exchange(r.Context(), m.Peer(), m.Node(), fetchChanges)
	writeJSON(w, http.StatusOK, &probeAnswer{Reached: err == nil})
}

func writeError(w http.ResponseWriter, err error) {
	reason := call.ReasonBadRequest
	if errors.Is(err, errTooLarge) {
		reason = call.ReasonTooLarge
	}
	answer := errorAnswer{Outcome: call.NotRun.String(), Reason: string(reason), Message: err.Error()}
	writeJSON(w, call.HTTPStatus(call.NotRun, reason), answer)
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// Nodes do not use the Date header, which takes 37 bytes.
	w.Header()["Date"] = nil
	w.WriteHeader(status)
	// The other node detects a truncated answer.
	_ = json.NewEncoder(w).Encode(answer)
}

// post sends a message to another node and reads its answer.
func (g *Gossip) post(ctx context.Context, timeout time.Duration, address, path string, message any, answer validator) (err error) {
	defer func() { err = eris.Wrapf(err, "request to node at %s failed", address) }()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", "")
	response, err := g.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return fmt.Errorf("status %s: %s", response.Status, detail)
	}
	return decode(response.Body, answer)
}
