package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// silentAfter is how long a keeper may take to answer before another one is asked. The
	// longest network path takes 40 ms.
	silentAfter = 50 * time.Millisecond
	// avoidTime is how long a keeper that failed or did not answer is not asked.
	avoidTime = time.Second
	// Keepers at a distance are not asked for a while once more than freeEmptyAnswers of them in
	// a row had no token: for minPause, then for twice as long each time, up to maxPause. A
	// workspace that is far over its cap would cost several messages per request otherwise.
	freeEmptyAnswers   = 2
	minPause, maxPause = 20 * time.Millisecond, time.Second
	maxPauseDoublings  = 10
	// rateTime is the time constant of the measured request rates.
	rateTime = 500 * time.Millisecond
	// advanceTime is the time whose requests a node asks credit for in advance, at most. It is
	// shorter than the lifetime of credit, so that little of it expires.
	advanceTime = 150 * time.Millisecond
	// advancePart is the part of the lifetime of credit that bounds advanceTime.
	advancePart = 0.6
	// minAdvance is the least number of tokens that are asked for in advance. The rates of fewer
	// requests are too uncertain.
	minAdvance = 2
	// minRefusalRetry and maxRefusalRetry bound the time after which a refused caller may
	// come again.
	minRefusalRetry = 400 * time.Millisecond
	maxRefusalRetry = 2 * time.Second
	// refusalSpread is the share of this time by which it is increased at random, at most.
	refusalSpread = 1.0
	// minAdmitted is added to the rate of admitted requests per second, so that a few refused
	// requests do not count as a large excess.
	minAdmitted = 2
)

// Credit admits one request. It is to be given back if the request has certainly not run.
type Credit struct {
	expires time.Time
	// issuer is the holding that the credit belongs to.
	issuer *holding
	// reductions is the number of times that the cap had been lowered when the credit was
	// taken. Credit of a higher cap can't be given back.
	reductions int
}

// Verdict is the decision on a request.
type Verdict struct {
	Admitted bool
	// Credit is what an admitted request uses.
	Credit Credit
	// OverCap is true for a refused request if a keeper has no tokens left, and false if no
	// keeper could be asked.
	OverCap bool
	// Retry is when the caller of a refused request may come again.
	Retry time.Duration
}

// Request is a request that needs credit.
type Request struct {
	holding   *holding
	arrivedAt time.Time
	// onVerdict is called once, during a call of [Requester.Serve].
	onVerdict func(v Verdict)
}

// Ask asks a keeper for a number of tokens.
type Ask struct {
	Node   string
	Tokens int
	// Limit is the cap in force when the keeper was selected.
	Limit Cap
}

// Distance returns how far away a node is, from 0 for this node. ok is false if the node can't
// be reached.
type Distance func(node string) (distance int, ok bool)

// Requester obtains credit from keepers for a node that receives requests, and holds it, for all
// workspaces.
type Requester struct {
	terms Terms
	// random returns a number in [0, 1).
	random       func() float64
	nodes        Nodes
	nodesVersion int
	holdings     map[string]*holding
}

// holding is the credit for a workspace.
type holding struct {
	workspace string
	cap       Cap
	batches   []batch
	// reductions counts the changes to a lower cap. Credit from before them is given up.
	reductions int
	// queue has the requests that have no credit yet, in the order of their arrival.
	queue []*Request
	// requests and admitted are the rates of requests and of those with credit.
	requests, admitted rate
	nodesVersion       int
	keepers            []*keeper
	// pauses has, by distance, when keepers may be asked again after empty answers.
	pauses map[int]*pause
}

// pause is how long the keepers at a distance are not asked.
type pause struct {
	// emptyAnswers is the number of answers without tokens since the last one with some, and
	// lastAnswer when the last of them came.
	emptyAnswers      int
	lastAnswer, until time.Time
}

// rate is a measured rate in events per second, which falls while there are none.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) count(now time.Time) {
	r.value = r.now(now) + 1/rateTime.Seconds()
	r.at = now
}

func (r *rate) now(now time.Time) float64 {
	return r.value * math.Exp(-max(now.Sub(r.at), 0).Seconds()/rateTime.Seconds())
}

// batch is a number of tokens that expire together.
type batch struct {
	expires time.Time
	tokens  int
}

// keeper is what a node knows of a keeper of a workspace.
type keeper struct {
	node string
	// asked is the number of tokens that the keeper was asked for at askedAt, or 0 if no
	// answer is awaited.
	asked   int
	askedAt time.Time
	// away is the distance of the keeper when it was last considered.
	away int
	// level is the number of tokens at the time answeredAt, as far as is known.
	level      float64
	answeredAt time.Time
	// retryAt is when the keeper may be asked again.
	retryAt time.Time
	// empty is true if the last answer had less than was asked for.
	empty bool
}

// NewRequester returns a requester without credit.
func NewRequester(terms Terms, random func() float64) *Requester {
	return &Requester{terms: terms, random: random, holdings: make(map[string]*holding)}
}

// SetNodes replaces the set of nodes.
func (rq *Requester) SetNodes(nodes Nodes) {
	if !rq.nodes.Equal(nodes) {
		rq.nodes = nodes
		rq.nodesVersion++
	}
}

// Retain removes the credit of all workspaces for which keep returns false and for which no
// request waits.
func (rq *Requester) Retain(keep func(workspace string) bool) {
	for workspace, h := range rq.holdings {
		if len(h.queue) == 0 && !keep(workspace) {
			delete(rq.holdings, workspace)
		}
	}
}

// Arrive records a request that needs credit. [Requester.Serve] decides on it.
func (rq *Requester) Arrive(now time.Time, workspace string, c Cap, onVerdict func(v Verdict)) *Request {
	h := rq.holdings[workspace]
	if h == nil {
		h = &holding{workspace: workspace, pauses: make(map[int]*pause)}
		rq.holdings[workspace] = h
	}
	if c.Rate < h.cap.Rate || c.Burst < h.cap.Burst {
		// Less may be granted now, so earlier credit is given up.
		h.batches = nil
		h.reductions++
	}
	if h.cap != c || h.nodesVersion != rq.nodesVersion {
		h.cap, h.nodesVersion = c, rq.nodesVersion
		h.setKeepers(rq.nodes.Keepers(workspace, c.keepers(rq.terms, rq.nodes)), rq.terms)
	}
	h.requests.count(now)
	r := &Request{holding: h, arrivedAt: now, onVerdict: onVerdict}
	h.queue = append(h.queue, r)
	return r
}

// Cancel removes a request that has no verdict yet.
func (rq *Requester) Cancel(r *Request) {
	r.holding.queue = slices.DeleteFunc(r.holding.queue, func(other *Request) bool { return other == r })
}

// Serve gives the requests of a workspace credit, refuses those for which none will come in
// time, and returns which keepers to ask for how much. Each answer must be reported to
// [Requester.Answer] or [Requester.Fail]. Serve must be called after each arrival and answer, and when
// [Requester.NextCheck] says.
func (rq *Requester) Serve(now time.Time, workspace string, distance Distance) (asks []Ask) {
	h := rq.holdings[workspace]
	if h == nil {
		return nil
	}
	served := 0
	for _, r := range h.queue {
		credit, ok := h.take(now)
		if !ok {
			break
		}
		served++
		h.admitted.count(now)
		r.onVerdict(Verdict{Admitted: true, Credit: credit})
	}
	h.queue = slices.Delete(h.queue, 0, served)
	asks = rq.asks(now, h, distance)
	awaits := slices.ContainsFunc(h.keepers, func(k *keeper) bool { return k.asked > 0 })
	h.queue = slices.DeleteFunc(h.queue, func(r *Request) bool {
		refused := !awaits || now.Sub(r.arrivedAt) >= rq.terms.Hold
		if refused {
			r.onVerdict(rq.refusal(now, h))
		}
		return refused
	})
	return asks
}

// NextCheck returns the time after which Serve must be called again for a request without
// verdict.
func (rq *Requester) NextCheck(now time.Time, r *Request) time.Duration {
	waited := now.Sub(r.arrivedAt)
	for _, at := range []time.Duration{silentAfter + time.Millisecond, rq.terms.ask(), rq.terms.Hold} {
		if waited < at {
			return at - waited
		}
	}
	return 0
}

// setKeepers replaces the keepers and keeps what is known of those that remain.
func (h *holding) setKeepers(nodes []string, terms Terms) {
	known := h.keepers
	h.keepers = make([]*keeper, len(nodes))
	for i, node := range nodes {
		if k := slices.IndexFunc(known, func(k *keeper) bool { return k.node == node }); k >= 0 {
			h.keepers[i] = known[k]
			continue
		}
		h.keepers[i] = &keeper{node: node, level: h.cap.burst(terms) / float64(len(nodes))}
	}
}

// expected returns how many tokens a keeper has at most if it has granted none since its last
// answer.
func (h *holding) expected(now time.Time, k *keeper, terms Terms) float64 {
	share := 1 / float64(len(h.keepers))
	if k.answeredAt.IsZero() {
		return k.level
	}
	return min(k.level+share*h.cap.Rate*max(now.Sub(k.answeredAt), 0).Seconds(), share*h.cap.burst(terms))
}

// take takes credit for one request, that which expires first.
func (h *holding) take(now time.Time) (c Credit, ok bool) {
	h.dropExpired(now)
	if len(h.batches) == 0 {
		return Credit{}, false
	}
	first := &h.batches[0]
	first.tokens--
	c = Credit{expires: first.expires, issuer: h, reductions: h.reductions}
	if first.tokens == 0 {
		h.batches = h.batches[1:]
	}
	return c, true
}

// GiveBack returns credit that no request has used. It can be taken again until it expires.
func (rq *Requester) GiveBack(now time.Time, c Credit) {
	if c.issuer != nil && c.reductions == c.issuer.reductions && now.Before(c.expires) {
		c.issuer.add(batch{c.expires, 1})
	}
}

func (h *holding) add(b batch) {
	at, found := slices.BinarySearchFunc(h.batches, b, func(x, y batch) int { return x.expires.Compare(y.expires) })
	if found {
		h.batches[at].tokens += b.tokens
		return
	}
	h.batches = slices.Insert(h.batches, at, b)
}

func (h *holding) dropExpired(now time.Time) {
	for len(h.batches) > 0 && !now.Before(h.batches[0].expires) {
		h.batches = h.batches[1:]
	}
}

// asks returns which keepers to ask for how much.
func (rq *Requester) asks(now time.Time, h *holding, distance Distance) (asks []Ask) {
	missing := h.missing(now, rq.terms)
	for missing > 0 {
		k := rq.choose(now, h, distance, missing)
		if k == nil {
			break
		}
		k.asked, k.askedAt = min(missing, max(int(h.expected(now, k, rq.terms)), 1)), now
		missing -= k.asked
		asks = append(asks, Ask{Node: k.node, Tokens: k.asked, Limit: h.cap})
	}
	return asks
}

// missing returns how many tokens are needed in addition to those at hand and those that
// have been asked for.
func (h *holding) missing(now time.Time, terms Terms) (tokens int) {
	advance := min(advanceTime, scale(terms.Lifetime, advancePart))
	// Credit is asked for in advance once half of it is used.
	expected := int(h.requests.now(now) * advance.Seconds())
	if expected < minAdvance {
		expected = 0
	}
	have, waiting := 0, 0
	for _, r := range h.queue {
		if now.Sub(r.arrivedAt) < terms.ask() {
			waiting++
		}
	}
	for _, b := range h.batches {
		have += b.tokens
	}
	for _, k := range h.keepers {
		if k.asked > 0 && now.Sub(k.askedAt) <= silentAfter {
			have += k.asked
		}
	}
	if have >= waiting+expected/2 {
		return 0
	}
	return waiting + expected - have
}

// choose returns the keeper to ask next: of those that are expected to have tokens, the
// nearest one and of these one with many.
func (rq *Requester) choose(now time.Time, h *holding, distance Distance, missing int) (chosen *keeper) {
	best := 0.0
	for _, k := range h.keepers {
		if k.asked > 0 || k.retryAt.After(now) {
			continue
		}
		away, ok := distance(k.node)
		if k.away = away; !ok || h.pauses[away].isActive(now) {
			continue
		}
		score := min(h.expected(now, k, rq.terms)/float64(missing), 1) + rq.random() - 2*float64(away)
		if chosen == nil || score > best {
			chosen, best = k, score
		}
	}
	return chosen
}

// recordAnswer begins or ends a pause after an answer of a keeper. The node itself is always
// asked, since that costs no message. Keepers that were asked before a pause began are no
// evidence that it was too short.
func (h *holding) recordAnswer(now time.Time, k *keeper, tokens int) {
	if k.away == 0 {
		return
	}
	if tokens > 0 {
		delete(h.pauses, k.away)
		return
	}
	p := h.pauses[k.away]
	if p == nil {
		p = &pause{}
		h.pauses[k.away] = p
	}
	if k.askedAt.Before(p.until) {
		return
	}
	if now.Sub(p.lastAnswer) > 2*maxPause {
		// The answers are too old to tell anything.
		p.emptyAnswers = 0
	}
	p.emptyAnswers++
	p.lastAnswer = now
	if excess := p.emptyAnswers - freeEmptyAnswers; excess > 0 {
		p.until = now.Add(min(minPause<<min(excess-1, maxPauseDoublings), maxPause))
	}
}

func (p *pause) isActive(now time.Time) bool { return p != nil && now.Before(p.until) }

// Answer records the answer of a keeper to an ask that was sent at the time sent. Credit
// expires by the time at which it was asked for, since the keeper has granted it later.
func (rq *Requester) Answer(sent, now time.Time, workspace string, ask Ask, g Grant) {
	h, k := rq.keeper(workspace, ask.Node)
	if h == nil {
		return
	}
	lifetime := rq.terms.Lifetime
	if g.Lifetime > 0 {
		lifetime = min(lifetime, g.Lifetime)
	}
	if expires := sent.Add(lifetime); g.Tokens > 0 && now.Before(expires) && ask.Limit == h.cap {
		h.add(batch{expires, min(g.Tokens, ask.Tokens)})
	}
	if k == nil {
		return
	}
	k.asked, k.level, k.answeredAt, k.retryAt = 0, g.Level, now, now
	k.empty = g.Keeper && g.Tokens < ask.Tokens
	switch {
	case !g.Keeper:
		k.retryAt = now.Add(avoidTime)
	case g.Tokens > 0 || k.empty:
		h.recordAnswer(now, k, g.Tokens)
	}
	if k.empty {
		k.retryAt = now.Add(min(max(g.Retry, minRetry), maxRetry))
	}
}

// Fail records that a keeper has not answered.
func (rq *Requester) Fail(now time.Time, workspace string, ask Ask) {
	if _, k := rq.keeper(workspace, ask.Node); k != nil {
		k.asked, k.empty, k.retryAt = 0, false, now.Add(avoidTime)
	}
}

func (rq *Requester) keeper(workspace, node string) (h *holding, k *keeper) {
	h = rq.holdings[workspace]
	if h == nil {
		return nil, nil
	}
	if i := slices.IndexFunc(h.keepers, func(k *keeper) bool { return k.node == node }); i >= 0 {
		k = h.keepers[i]
	}
	return h, k
}

// refusal returns why a request has no credit. Callers come again later the smaller the part of
// them is that this node admits, and at random times.
func (rq *Requester) refusal(now time.Time, h *holding) (v Verdict) {
	v.OverCap = slices.ContainsFunc(h.keepers, func(k *keeper) bool { return k.empty && now.Sub(k.retryAt) < avoidTime })
	excess := h.requests.now(now) / (h.admitted.now(now) + minAdmitted)
	v.Retry = min(scale(minRefusalRetry, max(excess, 1)), maxRefusalRetry)
	v.Retry += scale(v.Retry, refusalSpread*rq.random())
	return v
}
