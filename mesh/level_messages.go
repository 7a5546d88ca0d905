package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/framing"
	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/levelquery"
	"github.com/lacewingslip/lacewingslip/metrics"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

const (
	// levelsPath is the endpoint at which other nodes ask for levels.
	levelsPath = "/lacewingslip/v1/levels"
	// levelsIdleTimeout is how long an unused connection is kept.
	levelsIdleTimeout = 5 * time.Second
	// heldCheckInterval is how often it is decided whether a held question is answered.
	heldCheckInterval = 25 * time.Millisecond
	// maxHeldQuestions bounds the questions that wait at a node. Of 1,100 nodes, some 40 ask
	// each of 28 nodes of a service for one route.
	maxHeldQuestions = 256
	// heldReserveRatio is the part of the connections kept for other nodes that may wait with a
	// question, so that requests of these find room.
	heldReserveRatio = 1.0 / 2
	// maxLevelsBytes and maxLevelRoutes limit a message.
	maxLevelsBytes = 64 << 10
	maxLevelRoutes = 16
	// maxStatedLevel is the highest level that an answer may state.
	maxStatedLevel = 2.0
)

// levelsRequest asks for the levels of routes.
type levelsRequest struct {
	// Routes has the level that the asking node has recorded, by route.
	Routes map[string]float64 `json:"routes"`
	// Path has the routes whose levels depend on the answer, because nodes are asked for them.
	Path []string `json:"path,omitempty"`
	// HoldMs is how long the question may wait for a level that falls.
	HoldMs int64 `json:"holdMs"`
}

// levelsResponse has the levels by route.
type levelsResponse struct {
	Node   string                `json:"node"`
	Levels map[string]routeLevel `json:"levels"`
}

// routeLevel is the level of a route. It states nothing unless it is known.
type routeLevel struct {
	Level float64 `json:"level"`
	Known bool    `json:"known"`
}

// levelQuestions asks other nodes for levels and answers their questions.
type levelQuestions struct {
	settings  nodeconfig.Config
	admission *customerAdmission
	balancer  *balancer
	sidecar   *sidecar
	metrics   *metrics.Metrics
	client    *http.Client
	// held is the number of questions that wait, each of which keeps a connection open.
	held    atomic.Int64
	maxHeld int64
}

func newLevelQuestions(settings nodeconfig.Config, a *customerAdmission, b *balancer, s *sidecar, m *metrics.Metrics) *levelQuestions {
	maxHeld := int64(maxHeldQuestions)
	if settings.Descriptors > 0 {
		maxHeld = min(maxHeld, int64(acceptedConnections(settings)*forwardingReserveRatio*heldReserveRatio))
	}
	return &levelQuestions{
		maxHeld: maxHeld, settings: settings, admission: a, balancer: b, sidecar: s, metrics: m,
		client: &http.Client{Transport: framing.NewTransport(&http.Transport{
			DialContext: hop.Dialer().DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: levelsIdleTimeout, DisableCompression: true,
		})},
	}
}

// tick sends the questions that are due.
func (q *levelQuestions) tick(ctx context.Context, now time.Time) {
	sources := q.admission.sources
	for _, question := range sources.due(now, q.admission.overloaded(now)) {
		p, hold, ok := q.balancer.levelPeer(question.service, question.target.Region, func(node string) bool { return sources.supports(now, node) })
		if !ok {
			sources.recordAnswer(now, question.target, "", false, 0)
			continue
		}
		go q.ask(ctx, p, question, hold)
	}
}

// ask sends a question, which may be held for the given time, to a node and records its answer.
func (q *levelQuestions) ask(ctx context.Context, p *peer, asked question, hold time.Duration) {
	route := asked.target.Route
	recorded := q.admission.levelOf(time.Now(), asked.target)
	ctx, cancel := context.WithTimeout(ctx, hold+levelquery.AnswerTime)
	defer cancel()
	response, err := q.exchange(ctx, p, levelsRequest{
		Routes: map[string]float64{route: math.Round(recorded*levelScale) / levelScale}, Path: asked.path, HoldMs: hold.Milliseconds(),
	})
	now, answer := time.Now(), response.Levels[route]
	known := err == nil && answer.Known && answer.Level >= 0 && answer.Level <= maxStatedLevel
	switch {
	case err != nil:
		q.admission.sources.recordUnsupported(now, p.node)
		q.metrics.LevelAsked(metrics.LevelFailed)
	case known:
		q.admission.recordAnswer(now, asked.target, p.region, answer.Level, hold)
		q.metrics.LevelAsked(metrics.LevelKnown)
	default:
		q.metrics.LevelAsked(metrics.LevelUnknown)
	}
	q.admission.sources.recordAnswer(now, asked.target, p.region, known, hold)
}

// exchange sends a message to a node and returns its response.
func (q *levelQuestions) exchange(ctx context.Context, p *peer, message levelsRequest) (response levelsResponse, err error) {
	defer func() { err = eris.Wrapf(err, "ask node %s for levels", p.node) }()
	body, err := json.Marshal(message)
	if err != nil {
		return response, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+levelsPath, bytes.NewReader(body))
	if err != nil {
		return response, err
	}
	// An empty value keeps net/http from adding its own.
	request.Header["User-Agent"] = []string{""}
	r, err := q.client.Do(request)
	if err != nil {
		return response, err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return response, eris.Errorf("got status %s, expected 200 OK", r.Status)
	}
	if err = json.NewDecoder(io.LimitReader(r.Body, maxLevelsBytes)).Decode(&response); err != nil {
		return response, err
	}
	if response.Node != p.node {
		return response, eris.Errorf("the address now belongs to node %q", response.Node)
	}
	return response, nil
}

// ServeHTTP answers a node that asks for levels, once a level has fallen or the hold ends.
func (q *levelQuestions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer q.held.Add(-1)
	if q.held.Add(1) > q.maxHeld {
		http.Error(w, "too many questions for levels wait at this node", http.StatusServiceUnavailable)
		return
	}
	var received levelsRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxLevelsBytes)).Decode(&received); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(received.Routes) > maxLevelRoutes {
		http.Error(w, fmt.Sprintf("got a question for %d routes, expected at most %d", len(received.Routes), maxLevelRoutes), http.StatusBadRequest)
		return
	}
	data, err := json.Marshal(levelsResponse{Node: q.settings.Node, Levels: q.awaitLevels(r.Context(), received)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header["Date"] = nil
	// An error means that the other node has disconnected.
	_, _ = w.Write(data)
}

// awaitLevels returns the levels of the routes when they have to be answered.
func (q *levelQuestions) awaitLevels(ctx context.Context, received levelsRequest) (levels map[string]routeLevel) {
	now, recorded := time.Now(), received.Routes
	hold := time.Duration(min(received.HoldMs, levelquery.MaxHold.Milliseconds())) * time.Millisecond
	held := make(map[string]*levelquery.Held, len(recorded))
	for route, level := range recorded {
		held[route] = levelquery.Hold(now, level, hold)
	}
	ticker := time.NewTicker(heldCheckInterval)
	defer ticker.Stop()
	for {
		now = time.Now()
		levels = make(map[string]routeLevel, len(recorded))
		due := len(recorded) == 0 || !q.sidecar.takesRequests()
		for route := range recorded {
			level := q.sidecar.knownLevel(now, route, received.Path)
			levels[route] = level
			due = held[route].Due(now, level.Level, level.Known) || due
		}
		if due {
			return levels
		}
		select {
		case <-ctx.Done():
			return levels
		case <-ticker.C:
		}
	}
}

// knownLevel returns the level of a route as responses state it, and asks for the levels of the
// routes that it calls. A node that has run few requests of the route does not know these, and
// neither does one whose answer would depend on the routes of the path, or that gets no requests
// because it or its backend server is leaving: its own level falls or stays whatever the load is.
func (s *sidecar) knownLevel(now time.Time, route string, path []string) routeLevel {
	if !s.takesRequests() || !s.links.Knows(route) {
		return routeLevel{}
	}
	known := s.levelSources.want(now, s.links.Children(route), slices.Concat(path, []string{route}))
	return routeLevel{Level: math.Round(s.pressureLevel(route)*levelScale) / levelScale, Known: known}
}

// takesRequests reports whether the node and its backend server take requests.
func (s *sidecar) takesRequests() bool {
	return !s.stopping.Load() && s.tracker.Server().TakesWork()
}

// levelPeer returns a random node of the service that is asked for a level, or false if there is
// none in the region: nodes of the own zone first, then those of the own region. Any region is
// meant if it is "". hold is how long the question may be held.
func (b *balancer) levelPeer(service, region string, mayBeAsked func(node string) bool) (chosen *peer, hold time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	distance, candidates, asking, serving := otherRegion, 0, 0, 0
	for _, p := range b.peers {
		if region == "" || p.region == region {
			asking++
			if p.member.Service == service {
				serving++
			}
		}
		if p.member.Service != service || p.node == b.settings.Node || region != "" && p.region != region || !p.acceptsRequests() || !mayBeAsked(p.node) {
			continue
		}
		d := b.distance(p)
		if d > distance {
			continue
		}
		if d < distance {
			distance, candidates = d, 0
		}
		// Each of the candidates is chosen with the same probability.
		if candidates++; rand.IntN(candidates) == 0 {
			chosen = p
		}
	}
	return chosen, levelquery.HoldFor(asking, serving), chosen != nil
}
