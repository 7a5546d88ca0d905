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

// organisation is a directory with a tree and keys, a log service and a node.
type organisation struct {
	t         *testing.T
	directory string
	log       *logservice.Service
	flags     string      // of commands that read the log
	dead      atomic.Bool // whether there is a second node, which does not answer
}

func newOrganisation(t *testing.T, opts ...logservice.Option) *organisation {
	o := &organisation{t: t, directory: t.TempDir(), log: logservice.New(opts...)}
	logServer := httptest.NewServer(o.log)
	t.Cleanup(logServer.Close)
	rootKey, teamKey := o.keygen("root.key"), o.keygen("orders.key")
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
		if o.dead.Load() {
			second = `,{"node":"orders-2","operator":"127.0.0.1:1","health":"unreachable"}`
		}
		_, _ = fmt.Fprintf(w, `[{"node":"orders-1","operator":%q,"health":"alive"}%s]`, node.Listener.Addr(), second)
	})
	o.flags = fmt.Sprintf(" --log %s --root-key %s --operator %s", logServer.Listener.Addr(), rootKey, node.Listener.Addr())
	o.write("root.yaml", "teams:\n  orders:\n    publicKey: "+teamKey+"\n    services: [orders]\n")
	o.write("orders.yaml", "services:\n  orders: {slots: 1, connections: 1, routes: []}\n")
	return o
}

func (o *organisation) file(name string) string { return filepath.Join(o.directory, name) }

func (o *organisation) write(name, text string) {
	must.NoError(o.t, os.WriteFile(o.file(name), []byte(text), 0o600))
}

func (o *organisation) keygen(name string) (public string) {
	code, stdout, stderr := run("settings keygen " + o.file(name))
	must.EqOp(o.t, command.ExitOK, code, must.Sprint(stderr))
	return strings.TrimSpace(stdout)
}

// expect runs a command and checks its exit code and part of what it prints. The
// words $DIR and $FLAGS stand for the directory and the flags.
func (o *organisation) expect(code int, text, args string) {
	o.t.Helper()
	got, stdout, stderr := run(strings.NewReplacer("$DIR", o.directory, "$FLAGS", o.flags).Replace(args))
	must.EqOp(o.t, code, got, must.Sprint(stdout, stderr))
	must.StrContains(o.t, stdout+stderr, text)
}

// Guards against a step on the way from a file to a change in effect that fails,
// or that reports something else than what happened.
func TestSettings(t *testing.T) {
	o := newOrganisation(t)
	o.expect(command.ExitOK, "is valid: 1 services", "settings check $DIR")
	o.expect(command.ExitProblem, "+    services: [orders]", "settings diff $DIR $FLAGS")
	o.expect(command.ExitFailed, `no team "orders"`, "settings apply $DIR/orders.yaml --key $DIR/orders.key $FLAGS")
	o.expect(command.ExitOK, "branch root, revision 1: accepted\nread by 1 of 1 nodes", "settings apply $DIR/root.yaml --key $DIR/root.key --wait $FLAGS")
	o.expect(command.ExitFailed, "signature is not by the key", "settings apply $DIR/orders.yaml --key $DIR/root.key $FLAGS")
	o.expect(command.ExitOK, `"verdict":"accepted"`, "settings apply --output json --key $DIR/orders.key $FLAGS $DIR/orders.yaml")
	o.expect(command.ExitOK, "revision 1: unchanged", "settings apply $DIR/orders.yaml --key $DIR/orders.key $FLAGS")
	o.expect(command.ExitOK, "branch orders, revision 1: no difference", "settings diff $DIR $FLAGS")
	o.expect(command.ExitOK, "# branch orders, revision 1\nservices:", "settings show orders $FLAGS")

	o.write("orders.yaml", "services: {}\n")
	o.expect(command.ExitFailed, "made from revision 0", "settings apply $DIR/orders.yaml --base 0 --key $DIR/orders.key $FLAGS")
	_, signed, _ := run("settings sign " + o.file("orders.yaml") + " --base 1 --key " + o.file("orders.key"))
	o.write("signed.json", signed)
	o.expect(command.ExitOK, "branch orders, revision 2: accepted", "settings apply $DIR/signed.json --signed $FLAGS")

	o.write("orders.yaml", "services:\n  order: {}\n")
	o.expect(command.ExitProblem, `orders.yaml:2:3: service "order" does not belong to team "orders"; did you mean "orders"?`, "settings check $DIR")
	_, stdout, _ := run("settings check --output json " + o.directory)
	var report struct{ Problems []settings.Problem }
	must.NoError(t, json.Unmarshal([]byte(stdout), &report))
	must.Eq(t, 2, report.Problems[0].Line)
}

// Guards against a change that is reported as failed although it is accepted, and
// against one reported as decided while the log is down.
func TestSettingsFaults(t *testing.T) {
	o := newOrganisation(t)
	o.log.SetFaults(logservice.Faults{LoseAnswers: 1})
	o.expect(command.ExitOK, "revision 1: accepted", "settings apply $DIR/root.yaml --key $DIR/root.key --wait $FLAGS")
	o.expect(command.ExitOK, "nothing to do", "settings repair --key $DIR/root.key $FLAGS")
	o.log.SetFaults(logservice.Faults{Down: true})
	o.expect(command.ExitOK, "using what node", "settings show $FLAGS")
	o.expect(command.ExitOK, "branch root, revision 1", "settings show $FLAGS")
	o.expect(command.ExitFailed, "read settings", "settings apply $DIR/orders.yaml --key $DIR/orders.key $FLAGS")
}

// Guards against a repair that leaves nodes waiting for lost records, and against
// one while a node may still have them.
func TestSettingsRepair(t *testing.T) {
	o := newOrganisation(t, logservice.WithRetention(2, 0))
	for range 4 {
		_, err := o.log.Append(t.Context(), settings.Stream, []byte("expires unread"))
		must.NoError(t, err)
	}
	o.expect(command.ExitFailed, "settings repair --help", "settings apply $DIR/root.yaml --key $DIR/root.key $FLAGS")
	o.dead.Store(true)
	o.expect(command.ExitFailed, "may have the records", "settings repair --key $DIR/root.key $FLAGS")
	o.dead.Store(false)
	o.expect(command.ExitOK, "from offset 0 to 3", "settings repair --key $DIR/root.key $FLAGS")
	o.expect(command.ExitOK, "read by 1 of 1 nodes", "settings apply $DIR/root.yaml --key $DIR/root.key --wait $FLAGS")
}

// Guards against wrong command lines that are taken for something else, and
// against a key file that is overwritten.
func TestSettingsUsage(t *testing.T) {
	o := newOrganisation(t)
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
		"wait for whom": {command.ExitUsage, "--wait needs --operator", "settings apply f --wait --log 127.0.0.1:1 --root-key x"},
		"no branch":     {command.ExitFailed, `no branch "stock"`, "settings show stock $FLAGS"},
	} {
		t.Run(name, func(t *testing.T) { o.expect(c.code, c.text, c.args) })
	}
}
