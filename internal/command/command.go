// Package command implements lacewingslip, the command-line tool for operators.
//
// # Usage
//
//	os.Exit(command.Run(ctx, os.Args, os.Stdout, os.Stderr))
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

// Exit codes. They are part of the program's interface and are listed in its
// help.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitProblem means that the command succeeded and found a problem, such as
	// a node that does not answer.
	ExitProblem = 3
)

const (
	outputText = "text"
	outputJSON = "json"
)

const rootDescription = `Nodes of lacewingslip run beside your backend servers and keep important work
going during a surge. This program shows what they do and changes their
settings. It changes nothing unless you run "settings apply" or "settings
repair".

Start here:

   lacewingslip demo
      shows a surge on this machine, with and without the layer
   lacewingslip status --operator 10.0.0.1:7104
      lists the nodes that one node knows, and the state of each
   lacewingslip timeline --operator 10.0.0.1:7104 --request ID
      shows what happened to one request, on all nodes

Exit codes: 0 done; 1 failed; 2 wrong command line; 3 done, and a problem was
found; 4 a change of settings may have been written, but this is not known.
"config check" has codes of its own.`

// Run runs the command line args and returns the exit code. args[0] is the name of
// the program.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	root := newRoot()
	root.Writer, root.ErrWriter = stdout, stderr
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	if text := err.Error(); text != "" {
		_, _ = fmt.Fprintf(stderr, "lacewingslip: %s\n", text)
	}
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return ExitFailed
}

func newRoot() *cli.Command {
	root := &cli.Command{
		Name:        "lacewingslip",
		Usage:       "inspect and configure the nodes of lacewingslip",
		Description: rootDescription,
		HideVersion: true,
		// Run prints errors and determines the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			settingsCommand(),
			configCommand(),
			demoCommand(),
			experimentCommand(),
			statusCommand(),
			timelineCommand(),
			explainCommand(),
			versionCommand(),
		},
	}
	configure(root)
	return root
}

// configure makes every command report usage errors in the same way, and makes
// commands that only group subcommands reject unknown names.
func configure(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return usageError(c, err.Error())
	}
	if c.Action == nil {
		c.Action = showHelp
	}
	for _, sub := range c.Commands {
		configure(sub)
	}
}

func showHelp(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return usageError(c, fmt.Sprintf("%q is not a command; expected one of %s", name, strings.Join(commandNames(c), ", ")))
	}
	if c.Root() == c {
		return cli.ShowRootCommandHelp(c)
	}
	return cli.ShowSubcommandHelp(c)
}

func commandNames(c *cli.Command) []string {
	var names []string
	for _, sub := range c.VisibleCommands() {
		if sub.Name != "help" {
			names = append(names, sub.Name)
		}
	}
	slices.Sort(names)
	return names
}

func usageError(c *cli.Command, message string) error {
	return cli.Exit(fmt.Sprintf("%s\nRun \"%s --help\" for help.", message, c.FullName()), ExitUsage)
}

// noArguments rejects positional arguments, which usually result from a flag
// without its dashes.
func noArguments(c *cli.Command) error {
	if c.Args().Present() {
		return usageError(c, fmt.Sprintf("unexpected argument %q", c.Args().First()))
	}
	return nil
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Usage: "`FORMAT` is text for people or json for scripts",
		Value: outputText,
		Validator: func(format string) error {
			if format != outputText && format != outputJSON {
				return fmt.Errorf("%q is neither text nor json", format)
			}
			return nil
		},
	}
}

type versionReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of this program",
		Flags: []cli.Flag{outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			report := readVersion()
			if c.String("output") == outputJSON {
				return json.NewEncoder(c.Root().Writer).Encode(report)
			}
			_, err := fmt.Fprintf(c.Root().Writer, "lacewingslip %s %s\n", report.Version, report.Go)
			return err
		},
	}
}

func readVersion() versionReport {
	report := versionReport{Version: "(devel)", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return report
	}
	if info.Main.Version != "" {
		report.Version = info.Main.Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			report.Revision = setting.Value
		}
	}
	return report
}
