package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/quota"
)

const (
	// quotaPath is the endpoint at which other nodes ask for credit.
	quotaPath = "/lacewingslip/v1/quota"
	// quotaTimeout limits one exchange. The longest network path takes 40 ms, and no request
	// waits for longer than 150 ms.
	quotaTimeout = 400 * time.Millisecond
	// A node sends a keeper one message at a time, unless the last one has not been answered
	// for maxAnswerDelay.
	maxAnswerDelay = 50 * time.Millisecond
	// quotaIdleTimeout is how long an unused connection is kept. At the usual rates, a node
	// asks each other node once in 3 s.
	quotaIdleTimeout = 5 * time.Second
	// maxQuotaBytes and maxTokens limit the sizes of a message and of an ask.
	maxQuotaBytes = 1 << 20
	maxTokens     = 1 << 20
)

// quotaRequest asks a keeper for credit.
type quotaRequest struct {
	// Asks has the number of tokens by workspace.
	Asks map[string]int `json:"asks"`
}

// quotaResponse has the answers to the asks of a request.
type quotaResponse struct {
	Node string `json:"node"`
	// LifetimeMs is how long the credit is valid, from the time at which it was asked for.
	LifetimeMs int64                 `json:"lifetimeMs"`
	Grants     map[string]quotaGrant `json:"grants"`
}

// quotaGrant is the answer for a workspace. There is none if the node does not keep its cap.
type quotaGrant struct {
	Tokens  int     `json:"tokens,omitempty"`
	Level   float64 `json:"level,omitempty"`
	RetryMs int64   `json:"retryMs,omitempty"`
}

// quotaLink sends messages to a keeper.
type quotaLink struct {
	// pending has the asks of the next message.
	pending map[string]quota.Ask
	// unanswered is the number of messages without answer, and sentAt when the last one was
	// sent.
	unanswered int
	sentAt     time.Time
	// failed is true if the last message has failed.
	failed bool
}

// isSuspect reports whether the keeper may be unreachable.
func (l *quotaLink) isSuspect(now time.Time) bool {
	return l != nil && (l.failed || l.unanswered > 0 && now.Sub(l.sentAt) > maxAnswerDelay)
}

// ServeHTTP answers a node that asks for credit.
func (c *caps) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var received quotaRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxQuotaBytes)).Decode(&received); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := json.Marshal(c.answer(received))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header["Date"] = nil
	// An error means that the other node has disconnected. The credit counts as spent.
	_, _ = w.Write(data)
}

func (c *caps) answer(received quotaRequest) (response quotaResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateState()
	now := c.now()
	response = quotaResponse{Node: c.settings.Node, Grants: make(map[string]quotaGrant, len(received.Asks))}
	for workspace, tokens := range received.Asks {
		g := c.accounts.Grant(now, workspace, c.byName[workspace], min(max(tokens, 0), maxTokens))
		if g.Keeper {
			response.LifetimeMs = g.Lifetime.Milliseconds()
			response.Grants[workspace] = quotaGrant{Tokens: g.Tokens, Level: math.Round(g.Level*100) / 100, RetryMs: g.Retry.Milliseconds()}
		}
	}
	return response
}

// ask sends an ask to a keeper, together with those for other workspaces that wait. The mutex
// must be held.
func (c *caps) ask(workspace string, ask quota.Ask) {
	link := c.links[ask.Node]
	if link == nil {
		link = &quotaLink{pending: make(map[string]quota.Ask)}
		c.links[ask.Node] = link
	}
	link.pending[workspace] = ask
	if link.unanswered == 0 || c.now().Sub(link.sentAt) > maxAnswerDelay {
		c.sendPending(ask.Node, link)
	}
}

// sendPending sends the pending asks of a link. The mutex must be held.
func (c *caps) sendPending(node string, link *quotaLink) {
	asks := maps.Clone(link.pending)
	clear(link.pending)
	sent := c.now()
	link.unanswered++
	link.sentAt = sent
	address := c.nodes[node].address
	go func() {
		message := quotaRequest{Asks: make(map[string]int, len(asks))}
		for workspace, ask := range asks {
			message.Asks[workspace] = ask.Tokens
		}
		response, err := c.exchange(node, address, message)
		c.metrics.CapMessageSent(err == nil)
		c.mu.Lock()
		defer c.mu.Unlock()
		link.unanswered--
		link.failed = err != nil
		if len(link.pending) > 0 {
			c.sendPending(node, link)
		}
		now := c.now()
		for workspace, ask := range asks {
			if err != nil {
				c.requester.Fail(now, workspace, ask)
			} else {
				c.requester.Answer(sent, now, workspace, ask, response.grant(workspace))
			}
			c.serve(now, workspace)
		}
	}()
}

// grant returns the answer for a workspace.
func (r quotaResponse) grant(workspace string) quota.Grant {
	g, ok := r.Grants[workspace]
	return quota.Grant{
		Keeper: ok, Tokens: max(g.Tokens, 0), Level: g.Level, Retry: time.Duration(min(g.RetryMs, quotaTimeout.Milliseconds()*10)) * time.Millisecond,
		Lifetime: time.Duration(min(max(r.LifetimeMs, 0), time.Minute.Milliseconds())) * time.Millisecond,
	}
}

// exchange sends a message to a node and returns its response.
func (c *caps) exchange(node, address string, message quotaRequest) (response quotaResponse, err error) {
	defer func() { err = eris.Wrapf(err, "ask node %s for credit", node) }()
	ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return response, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+quotaPath, bytes.NewReader(body))
	if err != nil {
		return response, err
	}
	// An empty value keeps net/http from adding its own.
	request.Header["User-Agent"] = []string{""}
	r, err := c.client.Do(request)
	if err != nil {
		return response, err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return response, eris.Errorf("got status %s, expected 200 OK", r.Status)
	}
	if err = json.NewDecoder(io.LimitReader(r.Body, maxQuotaBytes)).Decode(&response); err != nil {
		return response, err
	}
	if response.Node != node {
		return response, eris.Errorf("the address now belongs to node %q", response.Node)
	}
	return response, nil
}
