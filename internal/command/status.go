package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

const statusDescription = `Lists the nodes that one node knows, and asks each of them for its state.

Columns:
   STATE     of the backend server: absent, starting, ready, draining or gone
   HEALTH    of the node as reported by the operator node: alive, suspect or
             unreachable
   RUNNING   calls in the backend server, of LIMIT that may run at once
   QUEUED    calls that wait; above 0 for long means overload
   SETTINGS  how far the node has read the settings; the same on all nodes
             when a change is in effect everywhere

Exit code 3 means that a node did not answer or that settings differ.`

// nodeStatus is what a node reports about itself.
type nodeStatus struct {
	Running        int   `json:"running"`
	Limit          int   `json:"limit"`
	Queued         int   `json:"queued"`
	SettingsOffset int64 `json:"settingsOffset"`
}

// statusLine is the report on one node.
type statusLine struct {
	member
	Status *nodeStatus `json:"status,omitempty"`
	Error  string      `json:"error,omitempty"`
}

type statusReport struct {
	Nodes    []statusLine `json:"nodes"`
	Problems []string     `json:"problems"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show all nodes and their state",
		Description: statusDescription,
		Flags:       append(nodeFlags(), outputFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			report, err := readStatus(ctx, newNodeClient(c))
			if err != nil {
				return err
			}
			if err := writeStatus(c.Root().Writer, c.String("output"), report); err != nil {
				return err
			}
			if len(report.Problems) > 0 {
				return cli.Exit("", ExitProblem)
			}
			return nil
		},
	}
}

func readStatus(ctx context.Context, client *nodeClient) (report statusReport, err error) {
	members, err := client.members(ctx)
	if err != nil {
		return statusReport{}, err
	}
	report.Nodes = make([]statusLine, len(members))
	errs := client.forEach(members, func(i int, m member) error {
		var status nodeStatus
		if err := client.get(ctx, m.Operator, statusPath, &status); err != nil {
			return err
		}
		report.Nodes[i].Status = &status
		return nil
	})
	for i, m := range members {
		report.Nodes[i].member = m
		if errs[i] != nil {
			report.Nodes[i].Error = errs[i].Error()
		}
	}
	report.Problems = findProblems(report.Nodes)
	return report, nil
}

func findProblems(nodes []statusLine) []string {
	problems := []string{}
	var newest int64
	for _, n := range nodes {
		if n.Status != nil {
			newest = max(newest, n.Status.SettingsOffset)
		}
	}
	for _, n := range nodes {
		switch {
		case n.Status == nil:
			problems = append(problems, fmt.Sprintf("%s did not answer: %s", n.Node, n.Error))
		case n.Status.SettingsOffset < newest:
			problems = append(problems, fmt.Sprintf("%s has read the settings up to %d, others up to %d", n.Node, n.Status.SettingsOffset, newest))
		}
	}
	return problems
}

func writeStatus(w io.Writer, output string, report statusReport) error {
	if output == outputJSON {
		return json.NewEncoder(w).Encode(report)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "NODE\tSERVICE\tSTATE\tHEALTH\tREGION\tZONE\tRUNNING\tLIMIT\tQUEUED\tSETTINGS")
	for _, n := range report.Nodes {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t", n.Node, orDash(n.Service), n.State, n.Health, n.Region, n.Zone)
		if n.Status == nil {
			_, _ = fmt.Fprintln(table, "-\t-\t-\t-")
			continue
		}
		_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t%d\n", n.Status.Running, n.Status.Limit, n.Status.Queued, n.Status.SettingsOffset)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, problem := range report.Problems {
		if _, err := fmt.Fprintf(w, "problem: %s\n", problem); err != nil {
			return err
		}
	}
	return nil
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
