package command

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/timeline"
)

const timelineDescription = `Collects the recent events of all nodes and prints them in one order, in which
each event comes after those that can have caused it. The event numbers are
explained in docs/events.md. Error answers to callers state the request ID.

Examples:
   lacewingslip timeline --operator 10.0.0.1:7104 --request 5a0c...
      what happened to one request, on all nodes
   lacewingslip timeline --operator 10.0.0.1:7104 --service orders --since 2m
      the last two minutes of one service
   lacewingslip timeline --operator 10.0.0.1:7104 --output json
      one JSON object per line

Each node keeps a bounded number of events. Exit code 3 means that some are
missing because a node did not answer.`

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:        "timeline",
		Usage:       "show what happened, on all nodes in one order",
		Description: timelineDescription,
		Flags: append(nodeFlags(), outputFlag(),
			&cli.StringFlag{Name: "request", Usage: "only events of the customer request `ID`"},
			&cli.StringFlag{Name: "service", Usage: "only events of the service `NAME`"},
			&cli.StringFlag{Name: "node", Usage: "only events recorded by or about the node `NAME`"},
			&cli.DurationFlag{Name: "since", Usage: "only events of the last `TIME`, for example 10m; 0 is all", Value: 15 * time.Minute},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			return showTimeline(ctx, c)
		},
	}
}

func showTimeline(ctx context.Context, c *cli.Command) error {
	client := newNodeClient(c)
	events, missing, err := collectEvents(ctx, client, timelineFilter(c))
	if err != nil {
		return err
	}
	write := timeline.WriteText
	if c.String("output") == outputJSON {
		write = timeline.WriteJSON
	}
	if err := write(c.Root().Writer, events); err != nil {
		return err
	}
	// Errors are printed to stderr, so that stdout holds only events.
	for _, err := range missing {
		_, _ = fmt.Fprintf(c.Root().ErrWriter, "missing: %s\n", err)
	}
	if len(missing) > 0 {
		return cli.Exit("", ExitProblem)
	}
	return nil
}

func timelineFilter(c *cli.Command) timeline.Filter {
	filter := timeline.Filter{
		Request: c.String("request"),
		Service: c.String("service"),
		Node:    c.String("node"),
	}
	if since := c.Duration("since"); since > 0 {
		filter.Since = timeline.TimestampAt(time.Now().Add(-since))
	}
	return filter
}

func collectEvents(ctx context.Context, client *nodeClient, filter timeline.Filter) (events []timeline.Event, missing []error, err error) {
	members, err := client.members(ctx)
	if err != nil {
		return nil, nil, err
	}
	pages := make([][]timeline.Event, len(members))
	errs := client.forEach(members, func(i int, m member) error {
		page, err := timeline.Fetch(ctx, client.client, m.Operator, filter)
		pages[i] = page.Events
		return err
	})
	for _, err := range errs {
		if err != nil {
			missing = append(missing, err)
		}
	}
	return timeline.Merge(pages...), missing, nil
}
