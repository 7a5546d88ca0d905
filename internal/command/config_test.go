package command_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/configcheck"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/internal/command"
	"github.com/lacewingslip/lacewingslip/platform"
)

// Guards against exit codes by which a pipeline publishes a version with findings, or stops
// for a file that it could not read as if for a finding.
func TestConfigCheckExitCodes(t *testing.T) {
	directory := t.TempDir()
	for name, text := range map[string]string{
		"good.json":    `{"Version":1,"Resources":[]}`,
		"next.json":    `{"Version":2,"Resources":[{"ResourceType":"Limits","Spec":{"MaxHeaderBytes":9}}]}`,
		"invalid.json": "{\n\"Version\": 1,\n",
		"root.yaml":    "team: {}\n",
	} {
		must.NoError(t, os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600))
	}
	for name, tc := range map[string]struct {
		args string
		code int
		text string
	}{
		"no findings":         {"$/good.json", command.ExitNoFindings, "good.json: no findings"},
		"no findings as JSON": {"--json $/good.json", command.ExitNoFindings, `{"findings":[]}`},
		"invalid":             {"$/invalid.json", command.ExitFindings, "invalid.json:3: error: nodes reject the version"},
		"difference":          {"$/next.json --against $/good.json", command.ExitFindings, "maximum header size 9, was 0"},
		"no file":             {"$/lost.json", command.ExitUnreadable, "lost.json: no such file"},
		"no file in force":    {"$/good.json --against $/lost.json", command.ExitUnreadable, "lost.json: no such file"},
		"invalid in force":    {"$/good.json --against $/invalid.json", command.ExitUnreadable, "expected a version that nodes accept"},
		"settings":            {"$/root.yaml", command.ExitFindings, `root.yaml:1:1: error: unknown key "team"`},
		"no settings":         {"$/lost.yaml", command.ExitUnreadable, "lost.yaml: no such file"},
		"settings against":    {"$/root.yaml --against $/good.json", command.ExitUnreadable, "settings diff"},
		"no argument":         {"", command.ExitUnreadable, "expected a file"},
	} {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := run("config check " + strings.ReplaceAll(tc.args, "$", directory))
			must.EqOp(t, tc.code, code)
			must.StrContains(t, stdout+stderr, tc.text)
		})
	}
}

// Guards against differences between keys and the digests that a node sends for them, and
// against a node without a version that is taken for one.
func TestConfigCheckAgainstNode(t *testing.T) {
	text := []byte(`{"Version":1,"Resources":[{"ResourceType":"Tenants","Metadata":{"Name":"w"},"Spec":{"ApiKeys":["k"]}}]}`)
	path := filepath.Join(t.TempDir(), "state.json")
	must.NoError(t, os.WriteFile(path, text, 0o600))
	status := http.StatusOK
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+desired.StatePath, func(w http.ResponseWriter, _ *http.Request) {
		digested, err := platform.WithKeyDigests(text)
		must.NoError(t, err)
		w.WriteHeader(status)
		_, _ = w.Write(digested)
	})
	node := httptest.NewServer(mux)
	defer node.Close()
	code, stdout, stderr := run("config check " + path + " --against " + node.URL)
	must.EqOp(t, command.ExitNoFindings, code, must.Sprint(stdout, stderr))
	status = http.StatusServiceUnavailable
	code, _, stderr = run("config check " + path + " --against " + node.URL)
	must.EqOp(t, command.ExitUnreadable, code)
	must.StrContains(t, stderr, "503")
}

// Guards against fields that a pipeline reads and that are missing or renamed.
func TestConfigCheckJSON(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.json")
	must.NoError(t, os.WriteFile(path, []byte(`{"Version":1,"Resources":[
		{"ResourceType":"Route"}]}`), 0o600))
	_, stdout, _ := run("config check --json " + path)
	var report map[string][]map[string]any
	must.NoError(t, json.Unmarshal([]byte(stdout), &report))
	must.Eq(t, map[string]any{
		"file": path, "line": 2.0, "path": "Resources[0].ResourceType",
		"severity": string(configcheck.Warning), "kind": string(configcheck.Ignored),
		"message": `nodes ignore the unknown name "Route"`, "expected": "one of Routes, Services, Tenants, Limits", "meant": "Routes",
	}, report["findings"][0])
}
