package command

import (
	"context"
	"fmt"
	"io"

	"github.com/rogpeppe/go-internal/diff"
	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/settings"
)

type branchDiff struct {
	Branch   string `json:"branch"`
	Revision int64  `json:"revision"`
	Diff     string `json:"diff"`
}

type diffReport struct {
	Offset   int64        `json:"offset"`
	Branches []branchDiff `json:"branches"`
}

func diffSettings(ctx context.Context, c *cli.Command) error {
	directory, err := oneArgument(c, "a directory")
	if err != nil {
		return err
	}
	root, branches, err := settings.ReadDirectory(directory)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	s, err := openReadOnly(ctx, c)
	if err != nil {
		return err
	}
	report := diffBranches(s.history, append([]settings.File{root}, branches...))
	differ := false
	err = writeReport(c, report, func(w io.Writer) {
		for _, b := range report.Branches {
			_, _ = fmt.Fprintf(w, "branch %s, revision %d: %s\n%s", b.Branch, b.Revision, sameOrDifferent(b), b.Diff)
		}
	})
	for _, b := range report.Branches {
		differ = differ || b.Diff != ""
	}
	return exitIfProblem(differ, err)
}

// diffBranches returns the differences of the files' branches and, after them,
// those of the branches in effect that have no file.
func diffBranches(history *settings.History, files []settings.File) diffReport {
	report := diffReport{Offset: history.Offset(), Branches: []branchDiff{}}
	seen := make(map[string]bool)
	add := func(branch, name string, text []byte) {
		content, revision := history.Branch(branch)
		changes := diff.Diff("in effect", []byte(content), name, text)
		report.Branches = append(report.Branches, branchDiff{Branch: branch, Revision: revision, Diff: string(changes)})
		seen[branch] = true
	}
	for _, file := range files {
		add(file.Branch(), file.Name, file.Text)
	}
	for _, branch := range history.Branches() {
		if content, _ := history.Branch(branch); !seen[branch] && content != "" {
			add(branch, "no file", nil)
		}
	}
	return report
}

func sameOrDifferent(b branchDiff) string {
	if b.Diff == "" {
		return "no difference"
	}
	return "differs"
}
