package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/framing"
	"github.com/lacewingslip/lacewingslip/settings"
)

// ExitUndecided means that a change of settings may have been appended to the log,
// but was not read back before the timeout.
const ExitUndecided = 4

const settingsDescription = `The settings are a tree of YAML files in version control: root.yaml with defaults
and teams, and one file per team with its services. The name of a file is that of
its branch. A team changes only its own branch, with its own key.

From a file to a change in effect:

   lacewingslip settings check DIRECTORY
   lacewingslip settings diff DIRECTORY --log HOST:PORT --root-key KEY
   lacewingslip settings apply FILE --key KEYFILE --log ... --root-key KEY --wait --operator HOST:PORT`

const applyDescription = `Signs the file as a change of its branch, appends it to the log and reads it back.
The change is accepted or rejected by the same rule on every node. With --wait the
command returns once every node that the operator node knows has read it.

If two operators change a branch at the same time, the first one in the log wins.
Give --base, the revision that your file was made from, to have the change
rejected if another one was accepted after it; "show" and "diff" print revisions.

Run the command again after exit code 4: if the change was accepted, it says that
the branch has this content already.

Exit codes: 0 accepted, and in effect on all nodes with --wait; 1 rejected or
failed; 3 accepted, but not read by all nodes in time; 4 not known.`

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:        "settings",
		Usage:       "check, compare and change the settings",
		Description: settingsDescription,
		Commands: []*cli.Command{
			settingsCheckCommand(),
			settingsDiffCommand(),
			settingsApplyCommand(),
			settingsShowCommand(),
			settingsKeygenCommand(),
			settingsSignCommand(),
			settingsRepairCommand(),
		},
	}
}

func settingsCheckCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check the files of a tree",
		ArgsUsage:   "DIRECTORY",
		Description: "Needs neither the log nor a node. Exit code 3 means that the files break a rule.",
		Flags:       []cli.Flag{outputFlag()},
		Action:      checkSettings,
	}
}

func settingsDiffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "compare the files of a tree with the settings in effect",
		ArgsUsage:   "DIRECTORY",
		Description: "Exit code 3 means that they differ.",
		Flags:       append(historyFlags(), outputFlag()),
		Action:      diffSettings,
	}
}

func settingsApplyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "publish a file as a change of its branch",
		ArgsUsage:   "FILE",
		Description: applyDescription,
		Flags: append(
			historyFlags(), outputFlag(),
			&cli.StringFlag{Name: "key", Usage: "`FILE` holds the private key of the branch's team", TakesFile: true},
			&cli.Int64Flag{Name: "base", Usage: "`REVISION` of the branch that the file was made from", Value: -1, HideDefault: true},
			&cli.BoolFlag{Name: "signed", Usage: "the file was made by \"settings sign\""},
			&cli.BoolFlag{Name: "wait", Usage: "return once all nodes have read the change; needs --operator"},
		),
		Action: applySettings,
	}
}

func settingsShowCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "print the settings in effect",
		ArgsUsage: "[BRANCH]",
		Flags:     append(historyFlags(), outputFlag()),
		Action:    showSettings,
	}
}

func settingsKeygenCommand() *cli.Command {
	return &cli.Command{
		Name:        "keygen",
		Usage:       "make a key pair for a team",
		ArgsUsage:   "FILE",
		Description: "Writes the private key to a new file and prints the public key for root.yaml.",
		Flags:       []cli.Flag{outputFlag()},
		Action:      generateKey,
	}
}

func settingsSignCommand() *cli.Command {
	return &cli.Command{
		Name:        "sign",
		Usage:       "print a file as a signed change, to be applied elsewhere",
		ArgsUsage:   "FILE",
		Description: "Needs neither the log nor a node, so the key can stay on another machine.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "key", Usage: "`FILE` holds the private key of the branch's team", TakesFile: true, Required: true},
			&cli.Int64Flag{Name: "base", Usage: "`REVISION` of the branch that the file was made from", Required: true},
		},
		Action: signSettings,
	}
}

const repairDescription = `For one rare case: the log was down for longer than it keeps records, right after a
change that no node had read yet. All nodes then keep their current settings and
wait for the lost records. This command asks every node how far it has read and, if
the log no longer keeps the next record, makes all of them continue after the newest
one. Changes in between have no effect on any node; apply them again afterwards.

It does nothing if a node does not answer, because that node may have the records.`

func settingsRepairCommand() *cli.Command {
	return &cli.Command{
		Name:        "repair",
		Usage:       "make nodes skip records that expired unread",
		Description: repairDescription,
		Flags: append(
			historyFlags(), outputFlag(),
			&cli.StringFlag{Name: "key", Usage: "`FILE` holds the private key of the root branch", TakesFile: true, Required: true},
		),
		Action: repairSettings,
	}
}

func historyFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "log", Usage: "`HOST:PORT` of the log service", Sources: cli.EnvVars("LACEWINGSLIP_LOG"), Required: true},
		&cli.StringFlag{Name: "root-key", Usage: "public `KEY` of the root branch", Sources: cli.EnvVars("LACEWINGSLIP_ROOT_KEY"), Required: true},
		&cli.StringFlag{Name: "operator", Usage: "`HOST:PORT` is the operator address of any node, asked for records that the log no longer keeps", Sources: cli.EnvVars("LACEWINGSLIP_OPERATOR")},
		&cli.DurationFlag{Name: "timeout", Usage: "give up after `TIME`, for example 30s", Value: 30 * time.Second},
	}
}

// settingsSession holds the history of settings that a command has read, and the
// sources that it reads from.
type settingsSession struct {
	log     appendlog.Journal
	nodes   settings.Nodes
	history *settings.History
}

func openSession(ctx context.Context, c *cli.Command) (s *settingsSession, err error) {
	key, err := settings.ParsePublicKey(c.String("root-key"))
	if err != nil {
		return nil, usageError(c, "--root-key: "+err.Error())
	}
	s = &settingsSession{
		log:     appendlog.New(c.String("log")),
		nodes:   settings.Nodes{Client: &http.Client{Transport: framing.NewDefaultTransport()}},
		history: settings.NewHistory(key),
	}
	if operator := c.String("operator"); operator != "" {
		s.nodes.Addresses = []string{operator}
	}
	return s, settings.Load(ctx, s.log, s.history, s.nodes)
}

// openReadOnly is [openSession] for commands that change nothing. If the log does
// not answer, it uses the records that the operator node has read.
func openReadOnly(ctx context.Context, c *cli.Command) (s *settingsSession, err error) {
	s, err = openSession(ctx, c)
	if err == nil || s == nil || len(s.nodes.Addresses) == 0 {
		return s, err
	}
	if s.nodes.Fetch(ctx, s.history) != nil {
		return nil, err
	}
	_, _ = fmt.Fprintf(c.Root().ErrWriter, "warning: %v; using what node %s has read\n", err, s.nodes.Addresses[0])
	return s, nil
}

type checkReport struct {
	Services int                `json:"services"`
	Problems []settings.Problem `json:"problems"`
}

func checkSettings(_ context.Context, c *cli.Command) error {
	directory, err := oneArgument(c, "a directory")
	if err != nil {
		return err
	}
	root, branches, err := settings.ReadDirectory(directory)
	if err != nil {
		return err
	}
	report := checkReport{Problems: []settings.Problem{}}
	tree, err := settings.Parse(root, branches...)
	var invalid *settings.InvalidError
	switch {
	case errors.As(err, &invalid):
		report.Problems = invalid.Problems()
	case err != nil:
		return err
	default:
		report.Services = len(tree.Services())
	}
	err = writeReport(c, report, func(w io.Writer) {
		for _, problem := range report.Problems {
			_, _ = fmt.Fprintln(w, problem)
		}
		if len(report.Problems) == 0 {
			_, _ = fmt.Fprintf(w, "%s is valid: %d services\n", directory, report.Services)
		}
	})
	return exitIfProblem(len(report.Problems) > 0, err)
}

type branchContent struct {
	Branch   string `json:"branch"`
	Revision int64  `json:"revision"`
	Content  string `json:"content"`
}

type showReport struct {
	Offset   int64           `json:"offset"`
	Branches []branchContent `json:"branches"`
}

func showSettings(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() > 1 {
		return usageError(c, "expected at most one branch")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	s, err := openReadOnly(ctx, c)
	if err != nil {
		return err
	}
	names := s.history.Branches()
	if name := c.Args().First(); name != "" {
		if !slices.Contains(names, name) {
			return fmt.Errorf("no branch %q; the branches are %q", name, names)
		}
		names = []string{name}
	}
	report := showReport{Offset: s.history.Offset(), Branches: []branchContent{}}
	for _, name := range names {
		content, revision := s.history.Branch(name)
		report.Branches = append(report.Branches, branchContent{Branch: name, Revision: revision, Content: content})
	}
	return writeReport(c, report, func(w io.Writer) {
		for _, b := range report.Branches {
			_, _ = fmt.Fprintf(w, "# branch %s, revision %d\n%s\n", b.Branch, b.Revision, b.Content)
		}
	})
}

func oneArgument(c *cli.Command, expected string) (argument string, err error) {
	if c.Args().Len() != 1 {
		return "", usageError(c, fmt.Sprintf("expected %s as the only argument", expected))
	}
	return c.Args().First(), nil
}

// writeReport prints the report as JSON or as text, as --output selects.
func writeReport(c *cli.Command, report any, text func(io.Writer)) error {
	if c.String("output") == outputJSON {
		return json.NewEncoder(c.Root().Writer).Encode(report)
	}
	text(c.Root().Writer)
	return nil
}

func exitIfProblem(problem bool, err error) error {
	if err == nil && problem {
		return cli.Exit("", ExitProblem)
	}
	return err
}
