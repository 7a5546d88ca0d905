package command

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/rogpeppe/go-internal/diff"
	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/settings"
)

// ExitUndecided means that a change may have been written, but that it was not
// read back in time.
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
rejected if somebody else's came in between; "show" and "diff" print revisions.

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
change that no node had read yet. All nodes then keep the settings they know and
wait for the lost records. This command asks every node how far it has read and, if
the log no longer keeps the next record, lets all of them go on after the newest one.
Changes in between have no effect on any node; apply them again afterwards.

It does nothing if a node does not answer, because that node may have the records.`

func settingsRepairCommand() *cli.Command {
	return &cli.Command{
		Name:        "repair",
		Usage:       "let nodes go on after records that expired unread",
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

// session is the settings in effect as a command reads them.
type session struct {
	log     appendlog.Journal
	nodes   settings.Nodes
	history *settings.History
}

func openSession(ctx context.Context, c *cli.Command) (s *session, err error) {
	key, err := settings.ParsePublicKey(c.String("root-key"))
	if err != nil {
		return nil, usageError(c, "--root-key: "+err.Error())
	}
	s = &session{
		log:     appendlog.New(c.String("log")),
		nodes:   settings.Nodes{Client: &http.Client{}},
		history: settings.NewHistory(key),
	}
	if operator := c.String("operator"); operator != "" {
		s.nodes.Addresses = []string{operator}
	}
	return s, settings.Load(ctx, s.log, s.history, s.nodes)
}

// openToRead is [openSession] for commands that change nothing. If the log does
// not answer they use what the operator node has read.
func openToRead(ctx context.Context, c *cli.Command) (s *session, err error) {
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
	err = write(c, report, func(w io.Writer) {
		for _, problem := range report.Problems {
			_, _ = fmt.Fprintln(w, problem)
		}
		if len(report.Problems) == 0 {
			_, _ = fmt.Fprintf(w, "%s is valid: %d services\n", directory, report.Services)
		}
	})
	return problemIf(len(report.Problems) > 0, err)
}

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
	s, err := openToRead(ctx, c)
	if err != nil {
		return err
	}
	report := compare(s.history, append([]settings.File{root}, branches...))
	differ := false
	err = write(c, report, func(w io.Writer) {
		for _, b := range report.Branches {
			_, _ = fmt.Fprintf(w, "branch %s, revision %d: %s\n%s", b.Branch, b.Revision, sameOrDifferent(b), b.Diff)
		}
	})
	for _, b := range report.Branches {
		differ = differ || b.Diff != ""
	}
	return problemIf(differ, err)
}

// compare lists the branches of the files and, after them, those in effect that
// have no file.
func compare(history *settings.History, files []settings.File) diffReport {
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

// Verdicts of an applied file, beside those of package settings.
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
		return usageError(c, "--wait needs --operator, to learn which nodes there are")
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
	return writeApplied(c, report)
}

// readChange makes a signed change of the file.
func (s *session) readChange(c *cli.Command, name string) (change settings.Change, err error) {
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

// apply publishes the change unless it is known to be rejected, or changes
// nothing.
func (s *session) apply(ctx context.Context, change settings.Change) applyReport {
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

// waitForNodes waits for all nodes that the operator node knows.
func waitForNodes(ctx context.Context, c *cli.Command, report *applyReport) error {
	f := newFleet(c)
	members, err := f.members(ctx)
	if err != nil {
		return fmt.Errorf("branch %s is %s at revision %d, but the list of nodes is not available: %w", report.Branch, report.Verdict, report.Revision, err)
	}
	errs := f.each(members, func(_ int, m member) error {
		nodes := settings.Nodes{Client: f.client, Addresses: []string{m.Operator}}
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

func writeApplied(c *cli.Command, report applyReport) error {
	err := write(c, report, func(w io.Writer) {
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
	return problemIf(len(report.Missing) > 0, nil)
}

type shownBranch struct {
	Branch   string `json:"branch"`
	Revision int64  `json:"revision"`
	Content  string `json:"content"`
}

type showReport struct {
	Offset   int64         `json:"offset"`
	Branches []shownBranch `json:"branches"`
}

func showSettings(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() > 1 {
		return usageError(c, "expected at most one branch")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	s, err := openToRead(ctx, c)
	if err != nil {
		return err
	}
	names := s.history.Branches()
	if name := c.Args().First(); name != "" {
		if !slices.Contains(names, name) {
			return fmt.Errorf("no branch %q; there are %q", name, names)
		}
		names = []string{name}
	}
	report := showReport{Offset: s.history.Offset(), Branches: []shownBranch{}}
	for _, name := range names {
		content, revision := s.history.Branch(name)
		report.Branches = append(report.Branches, shownBranch{Branch: name, Revision: revision, Content: content})
	}
	return write(c, report, func(w io.Writer) {
		for _, b := range report.Branches {
			_, _ = fmt.Fprintf(w, "# branch %s, revision %d\n%s\n", b.Branch, b.Revision, b.Content)
		}
	})
}

type keyReport struct {
	PublicKey string `json:"publicKey"`
	File      string `json:"file"`
}

func generateKey(_ context.Context, c *cli.Command) (err error) {
	name, err := oneArgument(c, "a file")
	if err != nil {
		return err
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	text, err := settings.FormatPrivateKey(private)
	if err != nil {
		return err
	}
	// An existing file may hold the only copy of a key in use.
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, errWrite := file.Write(text)
	if err := errors.Join(errWrite, file.Close()); err != nil {
		return err
	}
	report := keyReport{PublicKey: settings.FormatPublicKey(public), File: name}
	return write(c, report, func(w io.Writer) { _, _ = fmt.Fprintln(w, report.PublicKey) })
}

func signSettings(_ context.Context, c *cli.Command) error {
	name, err := oneArgument(c, "a file")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	change, err := signFile(settings.File{Name: name, Text: text}, c.Int64("base"), c.String("key"))
	if err != nil {
		return err
	}
	data, err := change.Encode()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s\n", data)
	return err
}

type repairReport struct {
	// From is how far the nodes have read, To where they go on.
	From    int64 `json:"from"`
	To      int64 `json:"to"`
	Skipped bool  `json:"skipped"`
}

func repairSettings(ctx context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
		return err
	}
	if c.String("operator") == "" {
		return usageError(c, "repair needs --operator, to learn which nodes there are")
	}
	key, err := readKey(c.String("key"))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	from, err := highestOffset(ctx, newFleet(c))
	if err != nil {
		return err
	}
	log := appendlog.New(c.String("log"))
	page, err := log.Read(ctx, settings.Stream, from, 1, 0)
	if err != nil {
		return err
	}
	// The records that are still kept are skipped as well: the log goes on
	// removing them, and nodes that missed one of them could not follow.
	report := repairReport{From: from, To: page.Next, Skipped: page.Oldest > from}
	if report.Skipped {
		data, err := settings.EncodeSkip(from, page.Next, key)
		if err != nil {
			return err
		}
		// The append is repeated by the operator if its answer is lost: a second
		// skip has no effect.
		if _, err := log.Append(ctx, settings.Stream, data); err != nil {
			return err
		}
	}
	return write(c, report, func(w io.Writer) {
		if report.Skipped {
			_, _ = fmt.Fprintf(w, "skipped the records from offset %d to %d; apply the changes among them again\n", from, page.Next-1)
			return
		}
		_, _ = fmt.Fprintf(w, "nothing to do: the log still keeps offset %d, the next that the nodes read\n", from)
	})
}

// highestOffset asks all nodes how far they have read. It fails if one of them
// does not answer.
func highestOffset(ctx context.Context, f *fleet) (highest int64, err error) {
	members, err := f.members(ctx)
	if err != nil {
		return 0, err
	}
	offsets := make([]int64, len(members))
	errs := f.each(members, func(i int, m member) (err error) {
		offsets[i], err = settings.Reached(ctx, f.client, m.Operator)
		return err
	})
	if err := errors.Join(errs...); err != nil {
		return 0, fmt.Errorf("a node that does not answer may have the records: %w", err)
	}
	return slices.Max(append(offsets, 0)), nil
}

func oneArgument(c *cli.Command, what string) (argument string, err error) {
	if c.Args().Len() != 1 {
		return "", usageError(c, fmt.Sprintf("expected %s, and nothing else", what))
	}
	return c.Args().First(), nil
}

// write prints the report as JSON, or as text for people.
func write(c *cli.Command, report any, text func(io.Writer)) error {
	if c.String("output") == outputJSON {
		return json.NewEncoder(c.Root().Writer).Encode(report)
	}
	text(c.Root().Writer)
	return nil
}

func problemIf(problem bool, err error) error {
	if err == nil && problem {
		return cli.Exit("", ExitProblem)
	}
	return err
}
