package command_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/internal/command"
	"github.com/lacewingslip/lacewingslip/timeline"
)

// Guards against exit codes with which a script mistakes an invalid command line
// for a failed node, or a failure for success.
func TestExitCodes(t *testing.T) {
	cases := map[string]struct {
		args string
		code int
		text string
	}{
		"help":             {"--help", command.ExitOK, "lacewingslip demo"},
		"no command":       {"", command.ExitOK, "COMMANDS"},
		"version":          {"version --output json", command.ExitOK, `"go":"go`},
		"unknown command":  {"stauts", command.ExitUsage, `"stauts" is not a command; expected one of`},
		"unknown flag":     {"status --bogus", command.ExitUsage, "lacewingslip status --help"},
		"missing flag":     {"status", command.ExitUsage, "operator"},
		"bad format":       {"version --output xml", command.ExitUsage, `"xml" is neither text nor json`},
		"extra argument":   {"version now", command.ExitUsage, `unexpected argument "now"`},
		"bad duration":     {"timeline --operator 127.0.0.1:1 --since long", command.ExitUsage, "long"},
		"no experiment":    {"experiment run", command.ExitUsage, "expected an experiment file"},
		"lost experiment":  {"experiment run nosuch.yaml", command.ExitFailed, "nosuch.yaml"},
		"node not running": {"status --operator 127.0.0.1:1", command.ExitFailed, "ask node at 127.0.0.1:1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := run(tc.args)
			must.EqOp(t, tc.code, code)
			must.StrContains(t, stdout+stderr, tc.text)
		})
	}
}

// Guards against a status that omits a node that does not answer or has older
// settings.
func TestStatus(t *testing.T) {
	nodes := newFakeNodes(t)
	code, stdout, _ := run("status --operator " + nodes.first)
	must.EqOp(t, command.ExitProblem, code)
	must.StrContains(t, stdout, "orders-1    orders    ready  alive        addis   addis-a  3        50     1       17")
	must.StrContains(t, stdout, "orders-2    orders    ready  alive        addis   addis-b  3        50     1       16")
	must.StrContains(t, stdout, "dispatch-1  dispatch  ready  unreachable  dire    dire-a   -        -      -       -")
	must.StrContains(t, stdout, "problem: dispatch-1 did not answer")
	must.StrContains(t, stdout, "problem: orders-2 has read the settings up to 16, others up to 17")
	must.StrNotContains(t, stdout, "old-1")

	_, stdout, _ = run("status --output json --operator " + nodes.first)
	must.StrContains(t, stdout, `"node":"orders-1"`)
	must.StrContains(t, stdout, `"status":{"running":3,"limit":50,"queued":1,"settingsOffset":17}`)
}

// Guards against a timeline that omits a node without a message or ignores filters.
func TestTimeline(t *testing.T) {
	nodes := newFakeNodes(t)
	code, stdout, stderr := run("timeline --request r1 --output json --operator " + nodes.first)
	must.EqOp(t, command.ExitProblem, code)
	lines := strings.Split(strings.TrimSpace(stdout), "\n")
	must.Len(t, 2, lines)
	must.StrContains(t, lines[0], `"node":"orders-1","number":2005,"name":"callStarted"`)
	must.StrContains(t, lines[1], `"node":"orders-2","number":2003,"name":"callUnknown"`)
	must.StrContains(t, stderr, "missing: events of 127.0.0.1:1")

	_, stdout, _ = run("timeline --service dispatch --operator " + nodes.first)
	must.EqOp(t, "", stdout)
}

type fakeNodes struct{ first string }

// newFakeNodes starts two nodes. The members that they report also include one
// that is unreachable and one that left.
func newFakeNodes(t *testing.T) fakeNodes {
	var servers []*httptest.Server
	var recorders []*timeline.Recorder
	members := `{"node":"dispatch-1","operator":"127.0.0.1:1","service":"dispatch","region":"dire","availabilityZone":"dire-a","state":"ready","health":"unreachable"},
		{"node":"old-1","operator":"127.0.0.1:1","health":"left"}`
	for i, zone := range []string{"a", "b"} {
		name := fmt.Sprintf("orders-%d", i+1)
		recorders = append(recorders, timeline.NewRecorder(name))
		mux := http.NewServeMux()
		mux.Handle(timeline.EventsPath, recorders[i].Handler())
		mux.HandleFunc("/lacewingslip/v1/status", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"running":3,"limit":50,"queued":1,"settingsOffset":%d}`, 17-i)
		})
		mux.HandleFunc("/lacewingslip/v1/members", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `[%s]`, members)
		})
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		servers = append(servers, server)
		members += fmt.Sprintf(`,{"node":%q,"operator":%q,"service":"orders","region":"addis","availabilityZone":"addis-%s","state":"ready","health":"alive"}`,
			name, server.Listener.Addr(), zone)
	}
	recorders[0].Record(event.CallStarted, slog.String(timeline.KeyRequest, "r1"))
	must.NoError(t, recorders[1].Clock().Observe(recorders[0].Clock().Now()))
	recorders[1].Record(event.CallUnknown, slog.String(timeline.KeyRequest, "r1"))
	recorders[1].Record(event.CallUnknown, slog.String(timeline.KeyRequest, "r2"))
	return fakeNodes{first: servers[0].Listener.Addr().String()}
}

func run(args string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = command.Run(context.Background(), append([]string{"lacewingslip"}, strings.Fields(args)...), &out, &errs)
	return code, out.String(), errs.String()
}
