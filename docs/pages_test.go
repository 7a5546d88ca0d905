// Package docs_test checks the links of the documentation pages, and runs the commands on
// the pages for operators.
package docs_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"
)

// programs is the directory with the programs of the project, which TestMain builds.
var programs string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) (code int) {
	directory, err := os.MkdirTemp("", "lacewingslip-pages")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	programs = directory
	build := exec.Command("go", "build", "-o", directory, "../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		_, _ = os.Stderr.Write(output)
		return 1
	}
	return m.Run()
}

var linkPattern = regexp.MustCompile(`\]\(([^)#:]+)[^):]*\)`)

// Guards against links to pages that do not exist, for example after a rename.
func TestLinks(t *testing.T) {
	var pages []string
	for _, pattern := range []string{"../*.md", "*.md", "*/*.md"} {
		found, err := filepath.Glob(pattern)
		must.NoError(t, err)
		pages = append(pages, found...)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		must.NoError(t, err)
		for _, target := range linkPattern.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), target[1]))
			must.NoError(t, err, must.Sprintf("link in %s", page))
		}
	}
}

// Guards against pages with commands that do not work as shown: all console blocks of a page
// run in order, and must print the lines that the page shows.
func TestPagesRun(t *testing.T) {
	pages, err := filepath.Glob("operate/*.md")
	must.NoError(t, err)
	scripts := t.TempDir()
	for _, page := range pages {
		script := &script{}
		script.addPage(t, page)
		name := strings.TrimSuffix(filepath.Base(page), ".md") + ".txtar"
		if text := script.text(); text != "" {
			must.NoError(t, os.WriteFile(filepath.Join(scripts, name), []byte(withFreePorts(t, text)), 0o600))
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: scripts,
		Setup: func(env *testscript.Env) error {
			env.Values["keys"] = make(map[string]string)
			env.Values["body"] = &strings.Builder{}
			env.Setenv("PATH", programs+string(os.PathListSeparator)+env.Getenv("PATH"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"export":    export,
			"keep-key":  keepKey,
			"listening": waitListening,
			"ready":     waitHTTPOK,
			"shows":     checkOutput,
			"write":     write,
		},
	})
}

var (
	includePattern    = regexp.MustCompile(`<!-- The test runs (\S+) first. -->`)
	blockPattern      = regexp.MustCompile("(?ms)^```((?:yaml|json) (\\S+)|console)\n(.*?)^```$")
	addressPattern    = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	listenFlagPattern = regexp.MustCompile(`--listen (\S+)`)
	publicKeyPattern  = regexp.MustCompile(`<public key of (\S+)>`)
	keygenPattern     = regexp.MustCompile(`settings keygen (\S+)`)
)

// script is a page converted to a testscript script: console blocks become commands and
// checks of their output, and YAML and JSON blocks with a file name become files.
type script struct {
	commands, files strings.Builder
	background      int
	blocks          int
}

func (s *script) text() string {
	if s.commands.Len() == 0 {
		return ""
	}
	return s.commands.String() + s.files.String()
}

func (s *script) addPage(t *testing.T, page string) {
	text, err := os.ReadFile(page)
	must.NoError(t, err)
	if mark := includePattern.FindStringSubmatch(string(text)); mark != nil {
		s.addPage(t, filepath.Join(filepath.Dir(page), mark[1]))
	}
	for _, found := range blockPattern.FindAllStringSubmatch(string(text), -1) {
		if file := found[2]; file != "" {
			s.addFile(file, found[3])
			continue
		}
		s.addConsole(found[3])
	}
}

func (s *script) addFile(name, text string) {
	s.blocks++
	fmt.Fprintf(&s.files, "-- blocks/%d --\n%s", s.blocks, text)
	fmt.Fprintf(&s.commands, "write blocks/%d %s\n", s.blocks, name)
}

func (s *script) addConsole(text string) {
	steps := strings.Split("\n"+strings.TrimSpace(text), "\n$ ")[1:]
	for i, step := range steps {
		command, output, _ := strings.Cut(step, "\n")
		if command == "echo $?" {
			continue
		}
		failed := i+1 < len(steps) && strings.HasPrefix(steps[i+1], "echo $?\n") && steps[i+1] != "echo $?\n0"
		if strings.HasSuffix(command, " &") {
			s.background++
		}
		s.commands.WriteString(translateCommand(command, failed, s.background))
		for line := range strings.Lines(output) {
			fmt.Fprintf(&s.commands, "shows '%s'\n", strings.ReplaceAll(strings.TrimSpace(line), "'", "''"))
		}
	}
}

func translateCommand(command string, failed bool, background int) string {
	negation := ""
	if failed {
		negation = "! "
	}
	words := strings.Fields(command)
	switch words[0] {
	case "curl":
		return "ready " + words[len(words)-1] + "\n"
	case "kill", "wait":
		return strings.ReplaceAll(command, "%", "bg") + "\n"
	case "mkdir", "cp", "rm":
		return command + "\n"
	case "export":
		return "export '" + strings.TrimPrefix(command, "export ") + "'\n"
	}
	if started, ok := strings.CutSuffix(command, " &"); ok {
		script := fmt.Sprintf("exec %s &bg%d&\n", started, background)
		if listen := listenFlagPattern.FindStringSubmatch(command); listen != nil {
			script += "listening " + listen[1] + "\n"
		}
		return script
	}
	script := negation + "exec " + command + "\n"
	if made := keygenPattern.FindStringSubmatch(command); made != nil {
		script += "keep-key " + made[1] + "\n"
	}
	return script
}

// withFreePorts replaces the addresses of the page by ones with free ports, because tests of
// other packages may use the same addresses at the same time.
func withFreePorts(t *testing.T, script string) string {
	free := make(map[string]string)
	return addressPattern.ReplaceAllStringFunc(script, func(address string) string {
		if free[address] == "" {
			free[address] = freeAddress(t)
		}
		return free[address]
	})
}

var assignedPorts = make(map[int]bool)

// freeAddress returns a loopback address with a free port below the ephemeral range. An
// outgoing connection could take a port of that range before the program on the page
// listens on it.
func freeAddress(t *testing.T) string {
	for range 1000 {
		port := 12000 + rand.IntN(18000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if assignedPorts[port] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		must.NoError(t, listener.Close())
		assignedPorts[port] = true
		return address
	}
	t.Fatal("no free port found")
	return ""
}

// keepKey stores the public key that the last command printed, to replace the placeholders
// for this key on the page.
func keepKey(ts *testscript.TestScript, _ bool, args []string) {
	ts.Value("keys").(map[string]string)[args[0]] = strings.TrimSpace(ts.ReadFile("stdout"))
}

func withKeys(ts *testscript.TestScript, text string) string {
	return publicKeyPattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		return ts.Value("keys").(map[string]string)[publicKeyPattern.FindStringSubmatch(placeholder)[1]]
	})
}

// write writes a YAML or JSON block of the page to the file that the block names.
func write(ts *testscript.TestScript, _ bool, args []string) {
	text := withKeys(ts, ts.ReadFile(args[0]))
	file := ts.MkAbs(args[1])
	ts.Check(os.MkdirAll(filepath.Dir(file), 0o755))
	ts.Check(os.WriteFile(file, []byte(text), 0o600))
}

func export(ts *testscript.TestScript, _ bool, args []string) {
	name, value, _ := strings.Cut(args[0], "=")
	ts.Setenv(name, withKeys(ts, value))
}

// checkOutput checks that the last command printed the line. "..." matches any text, and
// spaces match any number of spaces.
func checkOutput(ts *testscript.TestScript, _ bool, args []string) {
	pattern := strings.ReplaceAll(regexp.QuoteMeta(args[0]), `\.\.\.`, ".*")
	pattern = regexp.MustCompile(` +`).ReplaceAllString(pattern, ` +`)
	output := ts.ReadFile("stdout") + ts.ReadFile("stderr") + ts.Value("body").(*strings.Builder).String()
	if !regexp.MustCompile(pattern).MatchString(output) {
		ts.Fatalf("the page shows %q, the command printed:\n%s", args[0], output)
	}
}

// waitHTTPOK repeats an HTTP request, as a reader does with curl, until the status is 200, and
// stores the response body for checkOutput.
func waitHTTPOK(ts *testscript.TestScript, _ bool, args []string) {
	retryUntilSuccess(ts, args[0], func() error {
		resp, err := http.Get(args[0])
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %s", resp.Status)
		}
		body := ts.Value("body").(*strings.Builder)
		body.Reset()
		_, err = io.Copy(body, resp.Body)
		return err
	})
}

func waitListening(ts *testscript.TestScript, _ bool, args []string) {
	retryUntilSuccess(ts, args[0], func() error {
		connection, err := net.Dial("tcp", args[0])
		if err == nil {
			connection.Close()
		}
		return err
	})
}

func retryUntilSuccess(ts *testscript.TestScript, target string, try func() error) {
	var err error
	for range 600 {
		if err = try(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s: %v", target, err)
}
