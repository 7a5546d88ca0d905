// Package docs_test runs the commands that the pages for operators show.
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

// programs is the directory of the project's programs, built once.
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

var link = regexp.MustCompile(`\]\(([^)#:]+)[^):]*\)`)

// Guards against links to pages that were renamed or never written.
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
		for _, target := range link.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), target[1]))
			must.NoError(t, err, must.Sprintf("link in %s", page))
		}
	}
}

// Guards against pages whose commands do not work as shown: every console block
// runs, in order, and must print the lines that the page shows.
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
			"listening": listening,
			"ready":     ready,
			"shows":     shows,
			"write":     write,
		},
	})
}

var (
	includeMark = regexp.MustCompile(`<!-- The test runs (\S+) first. -->`)
	block       = regexp.MustCompile("(?ms)^```(yaml (\\S+)|console)\n(.*?)^```$")
	loopback    = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	listenFlag  = regexp.MustCompile(`--listen (\S+)`)
	keyOf       = regexp.MustCompile(`<public key of (\S+)>`)
	keygen      = regexp.MustCompile(`settings keygen (\S+)`)
)

// script is a page as a script: console blocks are commands with the output they
// show, and YAML blocks with a name are files.
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
	if mark := includeMark.FindStringSubmatch(string(text)); mark != nil {
		s.addPage(t, filepath.Join(filepath.Dir(page), mark[1]))
	}
	for _, found := range block.FindAllStringSubmatch(string(text), -1) {
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
		if listen := listenFlag.FindStringSubmatch(command); listen != nil {
			script += "listening " + listen[1] + "\n"
		}
		return script
	}
	script := negation + "exec " + command + "\n"
	if made := keygen.FindStringSubmatch(command); made != nil {
		script += "keep-key " + made[1] + "\n"
	}
	return script
}

// withFreePorts replaces the addresses of the page, since tests of other
// packages may use the same ones at the same time.
func withFreePorts(t *testing.T, script string) string {
	free := make(map[string]string)
	return loopback.ReplaceAllStringFunc(script, func(address string) string {
		if free[address] == "" {
			free[address] = freeAddress(t)
		}
		return free[address]
	})
}

var taken = make(map[int]bool)

// freeAddress picks a port below those that the system gives to outgoing
// connections, which could take it before the page's program listens.
func freeAddress(t *testing.T) string {
	for range 1000 {
		port := 12000 + rand.IntN(18000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if taken[port] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		must.NoError(t, listener.Close())
		taken[port] = true
		return address
	}
	t.Fatal("no free port found")
	return ""
}

// keepKey keeps the public key that the last command printed for the places
// where the page names it.
func keepKey(ts *testscript.TestScript, _ bool, args []string) {
	ts.Value("keys").(map[string]string)[args[0]] = strings.TrimSpace(ts.ReadFile("stdout"))
}

func withKeys(ts *testscript.TestScript, text string) string {
	return keyOf.ReplaceAllStringFunc(text, func(place string) string {
		return ts.Value("keys").(map[string]string)[keyOf.FindStringSubmatch(place)[1]]
	})
}

// write writes a block of the page to the file that it names.
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

// shows checks that the last command printed the line. Dots stand for any text,
// and a run of spaces for any other run.
func shows(ts *testscript.TestScript, _ bool, args []string) {
	pattern := strings.ReplaceAll(regexp.QuoteMeta(args[0]), `\.\.\.`, ".*")
	pattern = regexp.MustCompile(` +`).ReplaceAllString(pattern, ` +`)
	output := ts.ReadFile("stdout") + ts.ReadFile("stderr") + ts.Value("body").(*strings.Builder).String()
	if !regexp.MustCompile(pattern).MatchString(output) {
		ts.Fatalf("the page shows %q, the command printed:\n%s", args[0], output)
	}
}

// ready does what a reader does with curl: it asks until the answer is good.
func ready(ts *testscript.TestScript, _ bool, args []string) {
	eventually(ts, args[0], func() error {
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

func listening(ts *testscript.TestScript, _ bool, args []string) {
	eventually(ts, args[0], func() error {
		connection, err := net.Dial("tcp", args[0])
		if err == nil {
			connection.Close()
		}
		return err
	})
}

func eventually(ts *testscript.TestScript, what string, try func() error) {
	var err error
	for range 600 {
		if err = try(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s: %v", what, err)
}
