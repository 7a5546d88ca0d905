package mesh

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/nodeconfig"
	"github.com/lacewingslip/lacewingslip/quota"
)

// newKeeper returns the caps of a node that keeps those of a workspace, with 10 tokens.
func newKeeper(t *testing.T, node, workspace string) *caps {
	t.Helper()
	clock, err := newBootClock()
	must.NoError(t, err)
	c := newCaps(nodeconfig.Config{Node: node}, clock, &desiredState{}, nil, nil, nil, nil)
	stopped := c.now()
	c.now = func() time.Time { return stopped }
	c.byName = map[string]quota.Cap{workspace: {Rate: 1, Burst: 9.9}}
	c.accounts.Restore(stopped.Add(-time.Minute), quota.NewNodes([]string{node}))
	return c
}

// Guards against grants that are taken for those of another workspace, and against names of
// nodes and workspaces that end a message early.
func TestGrantsBelongToTheirWorkspaces(t *testing.T) {
	const node = "keeper 1/ä?:%"
	for _, workspace := range []string{"a", "a b", "a=1&c=2", "a;c", "a,1 2", "ä/?#%41", "z\r\nC: 250 9", ""} {
		t.Run(workspace, func(t *testing.T) {
			keeper := newKeeper(t, node, workspace)
			server := httptest.NewServer(keeper)
			defer server.Close()
			asks := map[string]int{"b": 1, "not kept": 2, workspace: 12}
			response, err := keeper.exchange(node, server.Listener.Addr().String(), quotaRequest{Asks: asks})
			must.NoError(t, err)
			must.Eq(t, 250, response.LifetimeMs)
			must.MapLen(t, 1, response.Grants)
			g := response.Grants[workspace]
			must.Eq(t, 10, g.Tokens)
			must.Greater(t, 0, g.RetryMs)
		})
	}
}

// Guards against credit that a node takes from a response that is not complete, and against
// levels by which it can't choose between keepers.
func TestInvalidCreditIsRejected(t *testing.T) {
	request := quotaRequest{Asks: map[string]int{"a": 1, "b": 1}}
	for _, value := range []string{"", "250", "250 1", "x 1 1", "250 1 x", "250 1 ", "250 1 1,NaN", "250 1 1,+Inf", "250 1 1,1,x", "250 1,,1 1"} {
		_, err := parseCredit(value, "keeper-1", request)
		must.Error(t, err, must.Sprintf("header value %q", value))
	}
	response, err := parseCredit("250 1,2.5,30,later - later", "keeper-1", request)
	must.NoError(t, err)
	must.Eq(t, map[string]quotaGrant{"a": {Tokens: 1, Level: 2.5, RetryMs: 30}}, response.Grants)
	for _, query := range []string{"a", "a=", "a=1&b=x", "a=1;b=1", "a=%zz"} {
		_, err = parseQuotaQuery(query)
		must.Error(t, err, must.Sprintf("query %q", query))
	}
}

// Guards against a keeper of an earlier version that grants nothing during an update, or that
// costs two messages for each question, and against JSON that remains after the update.
func TestKeeperOfEarlierVersion(t *testing.T) {
	keeper := newKeeper(t, "keeper-1", "a")
	questions := 0
	mux := http.NewServeMux()
	mux.HandleFunc(jsonQuotaPath, keeper.serveJSON)
	mux.HandleFunc(quotaPath, func(w http.ResponseWriter, r *http.Request) {
		questions++
		http.NotFound(w, r)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	asking := newKeeper(t, "node-1", "")
	asking.links["keeper-1"] = &quotaLink{}
	ask := func() {
		response, err := asking.exchange("keeper-1", server.Listener.Addr().String(), quotaRequest{Asks: map[string]int{"a": 1}})
		must.NoError(t, err)
		must.Eq(t, 1, response.Grants["a"].Tokens)
	}
	ask()
	ask()
	must.Eq(t, 1, questions)
	later := asking.now().Add(jsonTime)
	asking.now = func() time.Time { return later }
	ask()
	must.Eq(t, 2, questions)
}

// Guards against credit of a node that has taken over the address of a keeper.
func TestCreditOfAnotherNodeIsNotUsed(t *testing.T) {
	keeper := newKeeper(t, "other", "a")
	server := httptest.NewServer(keeper)
	defer server.Close()
	_, err := keeper.exchange("keeper-1", server.Listener.Addr().String(), quotaRequest{Asks: map[string]int{"a": 1}})
	must.ErrorContains(t, err, "another node")
}

// Guards against a message with the asks of so many workspaces that its head exceeds the limit.
func TestMessageOfManyAsksIsDivided(t *testing.T) {
	link := &quotaLink{pending: make(map[string]quota.Ask)}
	for n := range 5000 {
		link.pending[fmt.Sprintf("workspace %d", n)] = quota.Ask{Tokens: maxTokens}
	}
	link.pending[strings.Repeat("ä", maxAskBytes)] = quota.Ask{Tokens: 1}
	taken := 0
	for len(link.pending) > 0 {
		asks := link.takePending()
		request := quotaRequest{Asks: make(map[string]int)}
		for workspace, ask := range asks {
			request.Asks[workspace] = ask.Tokens
		}
		must.True(t, len(asks) == 1 || len(request.query()) <= maxAskBytes)
		must.MapNotEmpty(t, asks)
		taken += len(asks)
	}
	must.Eq(t, 5001, taken)
}

// Guards against nodes of this version that answer 404, so that all messages are in JSON.
func TestNodeAnswersShortQuestions(t *testing.T) {
	d := newCappedDeployment(t, 6, "orders")
	v := d.vms[0]
	response, err := v.node.lifecycle.components.caps.askByQuery(t.Context(), v.settings.Node, v.settings.Listen.Peer, quotaRequest{Asks: map[string]int{cappedWorkspace: 2}})
	must.NoError(t, err)
	must.Eq(t, map[string]quotaGrant{cappedWorkspace: {Tokens: 2, Level: 4.1}}, response.Grants)
}
