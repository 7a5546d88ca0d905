package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/configcheck"
	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/framing"
	"github.com/lacewingslip/lacewingslip/settings"
)

// Exit codes of "config check", which differ from those of the other commands.
const (
	// ExitNoFindings means that the check found nothing.
	ExitNoFindings = 0
	// ExitFindings means that the check found something, if only a difference.
	ExitFindings = 1
	// ExitUnreadable means that a file can't be read or the command line is invalid.
	ExitUnreadable = 2
)

const configCheckDescription = `Checks a desired state in JSON before it is published: what nodes reject, entries
that can never match or take effect, and limits that contradict each other. With
--against, it also lists what changes by meaning from the version in force, and the
effect on callers. That version is a file, or the one of a node, by the URL of its
operator address. Keys are shown as digests only.

A FILE that ends in .yaml is one of the product's own settings. It is checked with the
other files of its directory.

Exit codes: 0 no findings; 1 findings, of which differences are some; 2 a file or
node can't be read, or nodes reject the one after --against, or wrong command line.`

const (
	// nodeTimeout limits the time in which a node sends its desired state.
	nodeTimeout = 10 * time.Second
	// maxStateBytes limits the size of that desired state. 5,000 workspaces with ten keys each
	// have about 3 MB.
	maxStateBytes = 64 << 20
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check a configuration before it is published",
		Commands: []*cli.Command{{
			Name:        "check",
			Usage:       "check a desired state (JSON) or settings (YAML)",
			ArgsUsage:   "FILE",
			Description: configCheckDescription,
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "against", Usage: "`FILE|URL` has the version in force, for example http://10.0.0.1:7104", TakesFile: true},
				&cli.BoolFlag{Name: "json", Usage: "print JSON for scripts"},
			},
			Action: checkConfig,
		}},
	}
}

type configReport struct {
	Findings []configcheck.Finding `json:"findings"`
}

func checkConfig(ctx context.Context, c *cli.Command) error {
	path, err := oneArgument(c, "a file")
	if err != nil {
		return err
	}
	if filepath.Ext(path) == ".yaml" {
		return checkSettingsTree(c, path)
	}
	document, err := readDesiredState(path)
	if err != nil {
		return err
	}
	report := configReport{Findings: append([]configcheck.Finding{}, document.Check()...)}
	if inForcePath := c.String("against"); inForcePath != "" {
		inForce, err := readInForce(ctx, inForcePath)
		if err != nil {
			return err
		}
		if inForce.State == nil {
			return cli.Exit(fmt.Sprintf("expected a version that nodes accept after --against: %v", inForce.Check()[0]), ExitUnreadable)
		}
		report.Findings = append(report.Findings, document.Differences(inForce)...)
	}
	return writeFindings(c, path, report)
}

// checkSettingsTree checks the tree of settings that a file belongs to, because the rules for a
// file depend on root.yaml.
func checkSettingsTree(c *cli.Command, path string) error {
	if c.String("against") != "" {
		return usageError(c, "--against is for a desired state in JSON; see \"settings diff\"")
	}
	if _, err := os.Stat(path); err != nil {
		return unreadable("settings", path, err)
	}
	root, branches, err := settings.ReadDirectory(filepath.Dir(path))
	if err != nil {
		return unreadable("settings", path, err)
	}
	findings, err := configcheck.CheckSettings(root, branches...)
	if err != nil {
		return err
	}
	return writeFindings(c, path, configReport{Findings: append([]configcheck.Finding{}, findings...)})
}

// writeFindings prints the findings and returns the exit code.
func writeFindings(c *cli.Command, path string, report configReport) (err error) {
	w := c.Root().Writer
	if c.Bool("json") {
		err = json.NewEncoder(w).Encode(report)
		return exitIfFindings(report, err)
	}
	for _, finding := range report.Findings {
		if _, err = fmt.Fprintln(w, finding); err != nil {
			return err
		}
	}
	if len(report.Findings) == 0 {
		_, err = fmt.Fprintf(w, "%s: no findings\n", path)
	}
	return exitIfFindings(report, err)
}

func exitIfFindings(report configReport, err error) error {
	if err == nil && len(report.Findings) > 0 {
		return cli.Exit("", ExitFindings)
	}
	return err
}

// unreadable returns the error for a file that can't be read.
func unreadable(what, path string, err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		path, err = pathError.Path, pathError.Err
	}
	return cli.Exit(fmt.Sprintf("read the %s %s: %v", what, path, err), ExitUnreadable)
}

// readInForce reads the version in force from a file or a node.
func readInForce(ctx context.Context, place string) (document configcheck.Document, err error) {
	if !strings.HasPrefix(place, "http://") && !strings.HasPrefix(place, "https://") {
		return readDesiredState(place)
	}
	text, err := fetchDesiredState(ctx, place)
	if err != nil {
		return document, cli.Exit(fmt.Sprintf("read the desired state of the node %s: %v", place, err), ExitUnreadable)
	}
	return configcheck.Inspect(place, text), nil
}

func fetchDesiredState(ctx context.Context, address string) (text []byte, err error) {
	target, err := url.JoinPath(address, desired.StatePath)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: framing.NewDefaultTransport()}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if text, err = io.ReadAll(io.LimitReader(resp.Body, maxStateBytes)); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("expected status 200, got %s: %.200s", resp.Status, strings.TrimSpace(string(text)))
	}
	return text, nil
}

func readDesiredState(path string) (document configcheck.Document, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return document, unreadable("desired state", path, err)
	}
	return configcheck.Inspect(path, text), nil
}
