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

// exchange sends what has changed to a node and takes in its answer. The node
// is "" if only its address is known.
func (g *Gossip) exchange(ctx context.Context, address, node string, wanted ask) (err error) {
	request := g.newRequest(node, wanted)
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
		request = g.takeAnswer(request, &answer)
	}
	return nil
}

func (g *Gossip) newRequest(node string, wanted ask) (request *exchangeRequest) {
	header := g.newHeader()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	request = &exchangeRequest{header: header, To: node, Ask: wanted, Sum: g.table.sum()}
	request.Digest = now.Sub(g.compared) >= compareInterval
	// A node is told what is held against it, so that it can refute it.
	if r, ok := g.table.records[node]; ok && r.health != Alive {
		request.Entries = append(request.Entries, r.update(now))
	}
	request.Entries = append(request.Entries, g.table.deltas(now, deltaBytes, request.Entries)...)
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

// observe passes on what a message carries besides entries.
func (g *Gossip) observe(h header, address string) {
	if h.Clock != "" {
		g.observeClock(h.Clock)
	}
	if h.Settings > g.settingsOffset() && address != "" {
		g.onBehind(h.Settings, address)
	}
}

// takeAnswer merges an answer. It returns the request that follows in the same
// exchange: a comparison of buckets, or what the other node lacks.
func (g *Gossip) takeAnswer(request *exchangeRequest, answer *exchangeAnswer) (next *exchangeRequest) {
	header := g.newHeader()
	g.update(func(now time.Time) (changes []Change) {
		var newer []update
		changes, newer = g.table.merge(now, answer.Entries)
		g.table.Heard(time.Now(), answer.From, answer.Incarnation, answer.Age)
		if request.Ask == askAll {
			g.fetched++
			g.complete = g.complete || answer.Complete || g.fetched >= enoughTables
		}
		header.Entries = g.repairs(now, newer, answer.Want)
		next = &exchangeRequest{header: header, To: answer.From}
		if answer.Same {
			g.table.agree()
		}
		if answer.Digest != nil && now.Sub(g.compared) >= compareInterval {
			g.compared = now
			next.Compare = g.comparisons(g.table.differing(answer.Digest))
		}
		return changes
	})
	if len(next.Entries) == 0 && len(next.Compare) == 0 {
		return nil
	}
	return next
}

// repairs returns the records that the other node lacks, up to a bound.
func (g *Gossip) repairs(now time.Time, newer []update, wanted []string) (updates []update) {
	for _, node := range wanted {
		if r, ok := g.table.records[node]; ok && !r.removed {
			newer = append(newer, r.update(now))
		}
	}
	budget := repairBytes
	for _, u := range newer {
		if budget -= u.size(); budget < 0 {
			break
		}
		updates = append(updates, u)
	}
	return updates
}

// comparisons starts at a random one of the differing buckets, so that all of
// them have their turn.
func (g *Gossip) comparisons(differ []int) (compare []comparison) {
	if len(differ) == 0 {
		return nil
	}
	first := g.random.IntN(len(differ))
	for i := range min(comparedBuckets, len(differ)) {
		bucket := differ[(first+i)%len(differ)]
		compare = append(compare, comparison{bucket, g.table.tags(bucket)})
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
		refuse(w, err)
		return
	}
	if err := g.checkSystem(request.header); err != nil {
		refuse(w, err)
		return
	}
	if request.To != "" && request.To != g.self.Node {
		refuse(w, fmt.Errorf("node %q answers at this address, not node %q", g.self.Node, request.To))
		return
	}
	address, answer := g.answer(&request)
	g.observe(request.header, address)
	respond(w, http.StatusOK, answer)
}

// answer merges a request and returns what the sender lacks, with the sender's
// address if it is known.
func (g *Gossip) answer(request *exchangeRequest) (address string, answer *exchangeAnswer) {
	answer = &exchangeAnswer{header: g.newHeader()}
	g.update(func(now time.Time) (changes []Change) {
		var newer []update
		if answer.Same = request.Sum == g.table.sum(); answer.Same {
			g.table.agree()
		}
		changes, newer = g.table.merge(now, request.Entries)
		g.table.Heard(time.Now(), request.From, request.Incarnation, request.Age)
		if sender, ok := g.table.records[request.From]; ok {
			address = sender.Peer
			if sender.health == Suspect || sender.health == Unreachable {
				newer = append(newer, sender.update(now))
			}
		}
		for _, c := range request.Compare {
			updates, unknown := g.table.differences(now, c.Bucket, c.Tags)
			newer = append(newer, updates...)
			answer.Want = append(answer.Want, unknown...)
		}
		answer.Entries = g.entriesFor(now, request, newer)
		answer.Complete = request.Ask == askAll && g.complete
		if request.Digest && !answer.Same && request.Sum != g.table.sum() {
			answer.Digest = new(g.table.buckets)
		}
		return changes
	})
	return address, answer
}

func (g *Gossip) entriesFor(now time.Time, request *exchangeRequest, newer []update) (updates []update) {
	switch request.Ask {
	case askNothing:
	case askAll:
		return g.table.all(now, fullBytes)
	case askSome:
		newer = append(newer, g.table.records[g.self.Node].update(now))
		for _, m := range g.table.pick(sampleSize, request.From) {
			newer = append(newer, g.table.records[m.Node()].update(now))
		}
	}
	updates = g.repairs(now, newer, nil)
	if request.Sum == g.table.sum() {
		return updates
	}
	return append(updates, g.table.deltas(now, deltaBytes, append(updates, request.Entries...))...)
}

// differing returns the buckets in which another digest differs from the
// table's.
func (t *Table) differing(theirs *digest) (buckets []int) {
	for i := range t.buckets {
		if t.buckets[i] != theirs[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}

// serveProbe exchanges with a node on behalf of another that can't reach it.
func (g *Gossip) serveProbe(w http.ResponseWriter, r *http.Request) {
	var request probeRequest
	if err := decode(r.Body, &request); err != nil {
		refuse(w, err)
		return
	}
	g.mu.Lock()
	m, ok := g.table.Get(request.Node)
	g.mu.Unlock()
	if !ok {
		refuse(w, fmt.Errorf("node %q is not known here", request.Node))
		return
	}
	err := g.exchange(r.Context(), m.Peer(), m.Node(), askNothing)
	respond(w, http.StatusOK, &probeAnswer{Reached: err == nil})
}

func refuse(w http.ResponseWriter, err error) {
	reason := call.ReasonBadRequest
	if errors.Is(err, errTooLarge) {
		reason = call.ReasonTooLarge
	}
	answer := errorAnswer{Outcome: call.NotRun.String(), Reason: string(reason), Message: err.Error()}
	respond(w, call.Status(call.NotRun, reason), answer)
}

func respond(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// Nodes do not use the date, which takes 37 bytes.
	w.Header()["Date"] = nil
	w.WriteHeader(status)
	// The other node notices by itself that an answer is cut short.
	_ = json.NewEncoder(w).Encode(answer)
}

// post sends a message to another node and reads its answer.
func (g *Gossip) post(ctx context.Context, timeout time.Duration, address, path string, message any, answer validator) (err error) {
	defer func() { err = eris.Wrapf(err, "node at %s did not answer", address) }()
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
