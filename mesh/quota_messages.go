package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/quota"
)

const (
	// quotaTimeout limits one exchange. The longest network path takes 40 ms, and no request
	// waits for longer than 150 ms.
	quotaTimeout = 400 * time.Millisecond
	// A node sends a keeper one message at a time, unless the last one has not been answered
	// for maxAnswerDelay.
	maxAnswerDelay = 50 * time.Millisecond
	// quotaIdleTimeout is how long an unused connection is kept. At the usual rates, a node
	// asks each other node once in 3 s.
	quotaIdleTimeout = 5 * time.Second
)

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
	// jsonUntil is until when the keeper counts as one of an earlier version.
	jsonUntil time.Time
}

// isSuspect reports whether the keeper may be unreachable.
func (l *quotaLink) isSuspect(now time.Time) bool {
	return l != nil && (l.failed || l.unanswered > 0 && now.Sub(l.sentAt) > maxAnswerDelay)
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

// takePending removes the asks of one message, at least one, from those that are pending. Those
// of all workspaces could exceed the limit of a head.
func (l *quotaLink) takePending() map[string]quota.Ask {
	asks := make(map[string]quota.Ask)
	size := 0
	for workspace, ask := range l.pending {
		if size += len(url.QueryEscape(workspace)) + len("=1048576&"); size > maxAskBytes && len(asks) > 0 {
			break
		}
		asks[workspace] = ask
		delete(l.pending, workspace)
	}
	return asks
}

// sendPending sends the pending asks of a link. The mutex must be held.
func (c *caps) sendPending(node string, link *quotaLink) {
	for len(link.pending) > 0 {
		c.sendAsks(node, link, link.takePending())
	}
}

func (c *caps) sendAsks(node string, link *quotaLink, asks map[string]quota.Ask) {
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
		c.sendPending(node, link)
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

// exchange sends a message to a node and returns its response.
func (c *caps) exchange(node, address string, message quotaRequest) (response quotaResponse, err error) {
	defer func() { err = eris.Wrapf(err, "ask node %s for credit", node) }()
	ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
	defer cancel()
	if !c.usesJSON(node) {
		response, err = c.askByQuery(ctx, node, address, message)
		if !errors.Is(err, errNoQuotaPath) {
			return response, err
		}
		c.recordEarlierVersion(node)
	}
	return c.askInJSON(ctx, node, address, message)
}

// usesJSON reports whether a node is known to be of an earlier version.
func (c *caps) usesJSON(node string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	link := c.links[node]
	return link != nil && c.now().Before(link.jsonUntil)
}

func (c *caps) recordEarlierVersion(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link := c.links[node]; link != nil {
		link.jsonUntil = c.now().Add(jsonTime)
	}
}

func (c *caps) askByQuery(ctx context.Context, node, address string, message quotaRequest) (response quotaResponse, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+address+quotaPath+"?"+message.query(), nil)
	if err != nil {
		return response, err
	}
	request.Host = quotaHost(node)
	r, err := c.send(request)
	if err != nil {
		return response, err
	}
	defer r.Body.Close()
	switch r.StatusCode {
	case http.StatusOK:
		return parseCredit(r.Header.Get(headerCredit), node, message)
	case http.StatusNotFound:
		return response, errNoQuotaPath
	case http.StatusMisdirectedRequest:
		return response, eris.New("the address now belongs to another node")
	default:
		return response, eris.Errorf("got status %s, expected 200 OK", r.Status)
	}
}

// askInJSON asks a node of an earlier version.
func (c *caps) askInJSON(ctx context.Context, node, address string, message quotaRequest) (response quotaResponse, err error) {
	body, err := json.Marshal(message)
	if err != nil {
		return response, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+jsonQuotaPath, bytes.NewReader(body))
	if err != nil {
		return response, err
	}
	r, err := c.send(request)
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

func (c *caps) send(request *http.Request) (*http.Response, error) {
	// An empty value keeps net/http from adding its own.
	request.Header["User-Agent"] = []string{""}
	return c.client.Do(request)
}
