package command_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/internal/command"
	"github.com/lacewingslip/lacewingslip/internal/standin/logservice"
	"github.com/lacewingslip/lacewingslip/settings"
)

// environment is a directory with a settings tree and keys, a log service and a
// node.
type environment struct {
	t         *testing.T
	directory string
	log       *logservice.Service
	flags     string      // for commands that read the log
	deadNode  atomic.Bool // whether a second node is listed, which does not answer
}

func newEnvironment(t *testing.T, opts ...logservice.Option) *environment {
	e := &environment{t: t, directory: t.TempDir(), log: logservice.New(opts...)}
	logServer := httptest.NewServer(e.log)
	t.Cleanup(logServer.Close)
	rootKey, teamKey := e.keygen("root.key"), e.keygen("orders.key")
	public, err := settings.ParsePublicKey(rootKey)
	must.NoError(t, err)
	follower := settings.NewFollower(appendlog.New(logServer.Listener.Addr().String()), settings.NewHistory(public))
	go func() { _ = follower.Run(t.Context()) }()
	mux := http.NewServeMux()
	node := httptest.NewServer(mux)
	t.Cleanup(node.Close)
	mux.Handle(settings.PathRecords, follower.Handler())
	mux.HandleFunc("/lacewingslip/v1/members", func(w http.ResponseWriter, _ *http.Request) {
		second := ""
		if e.deadNode.Load() {
			second = `,{"node":"orders-2","operator":"127.0.0.1:1","health":"unreachable"}`
		}
		_, _ = fmt.Fprintf(w, `[{"node":"orders-1","operator":%q,"health":"alive"}%s]`, node.Listener.Addr(), second)
	})
	e.flags = fmt.Sprintf(" --log %s --root-key %s --operator %s", logServer.Listener.Addr(), rootKey, node.Listener.Addr())
	e.write("root.yaml", "teams:\n  orders:\n    publicKey: "+teamKey+"\n    services: [orders]\n")
	e.write("orders.yaml", "services:\n  orders: {slots: 1, connections: 1, routes: []}\n")
	return e
}

func (e *environment) file(name string) string { return filepath.Join(e.directory, name) }

func (e *environment) write(name, text string) {
	must.NoError(e.t, os.WriteFile(e.file(name), []byte(text), 0o600))
}

func (e *environment) keygen(name string) (public string) {
	code, stdout, stderr := run("settings keygen " + e.file(name))
	must.EqOp(e.t, command.ExitOK, code, must.Sprint(stderr))
	return strings.TrimSpace(stdout)
}

// checkRun runs a command and checks its exit code and part of its output. It
// replaces $DIR and $FLAGS in args by the directory and the flags.
func (e *environment) checkRun(code int, text, args string) {
	e.t.Helper()
	got, stdout, stderr := run(strings.NewReplacer("$DIR", e.directory, "$FLAGS", e.flags).Replace(args))
	must.EqOp(e.t, code, got, must.Sprint(stdout, stderr))
	must.StrContains(e.t, stdout+stderr, text)
}

// Guards against failures and wrong reports in the steps from a settings file to a
// change in effect.
func TestSettings(t *testing.T) {
	e := newEnvironment(t)
	e.checkRun(command.ExitOK, "is valid: 1 services", "settings check $DIR")
	e.checkRun(command.ExitProblem, "+    services: [orders]", "settings diff $DIR $FLAGS")
	e.checkRun(command.ExitFailed, `no team "orders"`, "settings apply $DIR/orders.yaml --key $DIR/orders.key $FLAGS")
	e.checkRun(command.ExitOK, "branch root, revision 1: accepted\nread by 1 of 1 nodes", "settings apply $DIR/root.yaml --key $DIR/root.key --wait $FLAGS")
	e.checkRun(command.ExitFailed, "signature is not by the key", "settings apply $DIR/orders.yaml --key $DIR/root.key $FLAGS")
	e.checkRun(command.ExitOK, `"verdict":"accepted"`, "settings apply --output json --key $DIR/orders.key $FLAGS $DIR/orders.yaml")
	e.checkRun(command.ExitOK, "revision 1: unchanged", "settings apply $DIR/orders.yaml --key $DIR/orders.key $FLAGS")
	e.checkRun(command.ExitOK, "branch orders, revision 1: no difference", "settings diff $DIR $FLAGS")
	e.checkRun(command.ExitOK, "# branch orders, revision 1\nservices:", "settings show orders $FLAGS")

	e.write("orders.yaml", "services: {}\n")
	e.checkRun(command.ExitFailed, "made from revision 0", "settings apply $DIR/orders.yaml --base 0 --key $DIR/orders.key $FLAGS")
	_, signed, _ := run("settings sign " + e.file("orders.yaml") + " --base 1 --key " + e.file("orders.key"))
	e.write("signed.json", signed)
	e.checkRun(command.ExitOK, "branch orders, revision 2: accepted", "settings apply $DIR/signed.json --signed $FLAGS")

	e.write("orders.yaml", "services:\n  order: {}\n")
	e.checkRun(command.ExitProblem, `orders.yaml:2:3: service "order" does not belong to team "orders"; did you mean "orders"?`, "settings check $DIR")
	_, stdout, _ := run("settings check --output json " + e.directory)
	var report struct{ Problems []settings.Problem }
	must.NoError(t, json.Unmarshal([]byte(stdout), &report))
	must.Eq(t, 2, report.Problems[0].Line)
}

// Guards against a change that is reported as failed although it was accepted, and
// against one that is reported as accepted or rejected while the log is down.
func TestSettingsFaults(t *testing.T) {
	e := newEnvironment(t)
	e.log.SetFaults(logservice.Faults{LoseAnswers: 1})
	e.checkRun(command.ExitOK, "revision 1: accepted", "settings apply $DIR/root.yaml --key $DIR/root.key --wait $FLAGS")
	e.checkRun(command.ExitOK, "nothing to do", "settings repair --key $DIR/root.key $FLAGS")
	e.log.SetFaults(logservice.Faults{Down: true})
	e.checkRun(command.ExitOK, "using what node", "settings show $FLAGS")
	e.checkRun(command.ExitOK, "branch root, revision 1", "settings show $FLAGS")
	e.checkRun(command.ExitFailed, "read settings", "settings apply $DIR/orders.yaml --key $DIR/orders.key $FLAGS")
}

// Guards against a repair after which nodes still wait for lost records, and
// against a repair while a node may still have the records.
func TestSettingsRepair(t *testing.T) {
	e := newEnvironment(t, logservice.WithRetention(2, 0))
	for range 4 {
		_, err := e.log.Append(t.Context(), settings.Stream, []byte("expires unread"))
		must.NoError(t, err)
	}
	e.checkRun(command.ExitFailed, "settings repair --help", "settings apply $DIR/root.yaml --key $DIR/root.key $FLAGS")
	e.deadNode.Store(true)
	e.checkRun(command.ExitFailed, "may have the records", "settings repair --key $DIR/root.key $FLAGS")
	e.deadNode.Store(false)
	e.checkRun(command.ExitOK, "from offset 0 to 3", "settings repair --key $DIR/root.key $FLAGS")
	e.checkRun(command.ExitOK, "read by 1 of 1 nodes", "settings apply $DIR/root.yaml --key $DIR/root.key --wait $FLAGS")
}

// Guards against invalid command lines without a clear error, and against a key
// file that is overwritten.
func TestSettingsUsage(t *testing.T) {
	e := newEnvironment(t)
	for name, c := range map[string]struct {
		code       int
		text, args string
	}{
		"key exists":    {command.ExitFailed, "file exists", "settings keygen $DIR/root.key"},
		"no directory":  {command.ExitUsage, "expected a directory", "settings check"},
		"two arguments": {command.ExitUsage, "expected a directory", "settings check a b"},
		"no tree":       {command.ExitFailed, "root.yaml: no such file", "settings check $DIR/none"},
		"root key":      {command.ExitUsage, "--root-key: public key", "settings show --log 127.0.0.1:1 --root-key x"},
		"no key":        {command.ExitUsage, "either --key or --signed", "settings apply $DIR/root.yaml $FLAGS"},
		"not a key":     {command.ExitFailed, "expected PEM", "settings apply $DIR/root.yaml --key $DIR/root.yaml $FLAGS"},
		"no operator":   {command.ExitUsage, "--wait needs --operator", "settings apply f --wait --log 127.0.0.1:1 --root-key x"},
		"no branch":     {command.ExitFailed, `no branch "stock"`, "settings show stock $FLAGS"},
	} {
		t.Run(name, func(t *testing.T) { e.checkRun(c.code, c.text, c.args) })
	}
}
