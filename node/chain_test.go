package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
	"github.com/lacewingslip/lacewingslip/settings"
)

// chainRetries is the number of retries in the settings of the test chain.
const chainRetries = 3

// startChain starts a chain of services s1 to sN with one node each. Each backend
// server calls the next service and makes up to three attempts of that child call
// itself. The last backend server runs the handler last.
func startChain(t *testing.T, depth int, last http.HandlerFunc, opts ...backend.Option) (system *loopback.System, chain []*backend.Backend) {
	t.Helper()
	var names []string
	branch := &strings.Builder{}
	branch.WriteString("services:\n")
	for i := 1; i <= depth; i++ {
		name := fmt.Sprintf("s%d", i)
		names = append(names, name)
		fmt.Fprintf(branch, "  %s:\n    slots: 20\n    connections: 20\n    routes:\n      - path: /\n        repeat: always\n        timeout: 20s\n", name)
	}
	root := fmt.Sprintf("defaults: {retries: %d}\nteams:\n  chain:\n    publicKey: 7bQWkm1Az9j8lTLOuMELirIq+78BmiykzERsdmNgYdw=\n    services: [%s]\n",
		chainRetries, strings.Join(names, ", "))
	options := []loopback.Option{loopback.WithTree(settings.File{Name: "root.yaml", Text: []byte(root)},
		settings.File{Name: "chain.yaml", Text: []byte(branch.String())})}
	for i, name := range names {
		b := backend.New(name, backend.WithHandler(last))
		if i+1 < depth {
			child := backend.Child{Method: http.MethodGet, Service: names[i+1], Path: "/x"}
			b = backend.New(name, append(opts, backend.WithChildren(child), backend.WithChildAttempts(3))...)
		}
		chain = append(chain, b)
		options = append(options, loopback.WithUpstream("addis", "addis-a", b))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	system, err := loopback.Start(ctx, options...)
	must.NoError(t, err)
	t.Cleanup(func() { system.Stop(context.Background()) })
	return system, chain
}

// Guards against retries that multiply with the depth of a chain. Without a limit
// for the whole chain, three attempts at each of 12 hops would turn one call into
// more than 100,000.
func TestRetryBoundOverChain(t *testing.T) {
	lost := rawAnswer("")
	failing := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "out of order", http.StatusInternalServerError)
	}
	cases := map[string]struct {
		depth int
		last  http.HandlerFunc
		opts  []backend.Option
	}{
		"depth 1, answers lost":           {1, lost, nil},
		"depth 4, answers lost":           {4, lost, nil},
		"depth 26, answers lost":          {26, lost, nil},
		"depth 12, errors":                {12, failing, nil},
		"depth 4, context not propagated": {4, failing, []backend.Option{backend.WithoutPropagation()}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			system, chain := startChain(t, c.depth, c.last, c.opts...)
			answer := send(t, http.MethodGet, "http://"+system.Caller(0)+"/s1/x", "", "")
			must.NotEq(t, http.StatusOK, answer.status)
			for i, b := range chain {
				must.LessEq(t, 1+chainRetries, b.TotalCalls(), must.Sprintf("calls of s%d", i+1))
			}
			t.Logf("calls of the last service: %d, reported retries: %s", chain[c.depth-1].TotalCalls(), answer.header.Get(call.HeaderRetries))
		})
	}
}
