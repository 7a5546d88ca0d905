package command

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/settings"
)

type applyReport struct {
	Change   string   `json:"change,omitempty"`
	Branch   string   `json:"branch"`
	Revision int64    `json:"revision"`
	Verdict  string   `json:"verdict"`
	Reason   string   `json:"reason,omitempty"`
	Offset   int64    `json:"offset"`
	Nodes    int      `json:"nodes"`
	Missing  []string `json:"missing"`
}

// Verdicts of the apply command in addition to those of package settings.
const (
	verdictUnchanged = "unchanged"
	verdictUndecided = "undecided"
)

func applySettings(ctx context.Context, c *cli.Command) error {
	name, err := oneArgument(c, "a file")
	if err != nil {
		return err
	}
	if c.Bool("wait") && c.String("operator") == "" {
		return usageError(c, "--wait needs --operator to list the nodes")
	}
	if c.Bool("signed") == (c.String("key") != "") {
		return usageError(c, "expected either --key or --signed")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	s, err := openSession(ctx, c)
	if err != nil {
		return err
	}
	change, err := s.readChange(c, name)
	if err != nil {
		return err
	}
	report := s.apply(ctx, change)
	if accepted(report) && c.Bool("wait") {
		if err := waitForNodes(ctx, c, &report); err != nil {
			return err
		}
	}
	return writeApplyReport(c, report)
}

// readChange reads a signed change, or makes one from the file and signs it.
func (s *settingsSession) readChange(c *cli.Command, name string) (change settings.Change, err error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return settings.Change{}, err
	}
	if c.Bool("signed") {
		return settings.DecodeChange(text)
	}
	file := settings.File{Name: name, Text: text}
	_, base := s.history.Branch(file.Branch())
	if given := c.Int64("base"); given >= 0 {
		base = given
	}
	return signFile(file, base, c.String("key"))
}

func signFile(file settings.File, base int64, keyFile string) (change settings.Change, err error) {
	key, err := readKey(keyFile)
	if err != nil {
		return settings.Change{}, err
	}
	change, err = settings.NewChange(file.Branch(), base, file.Text)
	if err != nil {
		return settings.Change{}, err
	}
	return change.Sign(key), nil
}

func readKey(name string) (key ed25519.PrivateKey, err error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	key, err = settings.ParsePrivateKey(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return key, nil
}

// apply publishes the change, unless it is certain to be rejected or the branch
// already has its content.
func (s *settingsSession) apply(ctx context.Context, change settings.Change) applyReport {
	content, revision := s.history.Branch(change.Branch())
	report := applyReport{Branch: change.Branch(), Revision: revision, Offset: s.history.Offset() - 1, Missing: []string{}}
	if revision > 0 && content == change.Content() {
		report.Verdict = verdictUnchanged
		return report
	}
	report.Change = change.ID()
	if err := s.history.Check(change); err != nil {
		report.Verdict, report.Reason = settings.Rejected.String(), err.Error()
		return report
	}
	v, err := settings.Publish(ctx, s.log, s.history, change, s.nodes)
	_, report.Revision = s.history.Branch(change.Branch())
	if err != nil {
		report.Verdict, report.Reason = verdictUndecided, err.Error()
		return report
	}
	report.Verdict, report.Reason, report.Offset = v.Kind.String(), v.Reason, v.Offset
	return report
}

func accepted(report applyReport) bool {
	return report.Verdict == settings.Accepted.String() || report.Verdict == verdictUnchanged
}

// waitForNodes waits until all nodes that the operator node knows have read the
// change, and records those that have not in report.Missing.
func waitForNodes(ctx context.Context, c *cli.Command, report *applyReport) error {
	client := newNodeClient(c)
	members, err := client.members(ctx)
	if err != nil {
		return fmt.Errorf("branch %s is %s at revision %d, but the list of nodes is not available: %w", report.Branch, report.Verdict, report.Revision, err)
	}
	errs := client.forEach(members, func(_ int, m member) error {
		nodes := settings.Nodes{Client: client.client, Addresses: []string{m.Operator}}
		return nodes.WaitApplied(ctx, report.Offset)
	})
	report.Nodes = len(members)
	for i, m := range members {
		if errs[i] != nil {
			report.Missing = append(report.Missing, m.Node)
		}
	}
	return nil
}

func writeApplyReport(c *cli.Command, report applyReport) error {
	err := writeReport(c, report, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "branch %s, revision %d: %s\n", report.Branch, report.Revision, report.Verdict)
		if report.Reason != "" {
			_, _ = fmt.Fprintln(w, report.Reason)
		}
		if report.Nodes > 0 {
			_, _ = fmt.Fprintf(w, "read by %d of %d nodes\n", report.Nodes-len(report.Missing), report.Nodes)
		}
		for _, node := range report.Missing {
			_, _ = fmt.Fprintf(w, "problem: %s has not read it\n", node)
		}
	})
	switch {
	case err != nil:
		return err
	case report.Verdict == verdictUndecided:
		return cli.Exit("", ExitUndecided)
	case !accepted(report):
		return cli.Exit("", ExitFailed)
	}
	return exitIfProblem(len(report.Missing) > 0, nil)
}
