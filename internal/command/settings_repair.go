package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/settings"
)

type repairReport struct {
	// From is the first offset that no node has read.
	From int64 `json:"from"`
	// To is the offset at which the nodes continue.
	To int64 `json:"to"`
	// Skipped is true if a skip record was appended.
	Skipped bool `json:"skipped"`
}

func repairSettings(ctx context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
		return err
	}
	if c.String("operator") == "" {
		return usageError(c, "repair needs --operator to list the nodes")
	}
	key, err := readKey(c.String("key"))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	from, err := highestOffset(ctx, newNodeClient(c))
	if err != nil {
		return err
	}
	log := appendlog.New(c.String("log"))
	page, err := log.Read(ctx, settings.Stream, from, 1, 0)
	if err != nil {
		return err
	}
	// Records that the log still keeps are skipped as well, because the log
	// continues to remove the oldest ones, and a node that missed one of them could
	// not continue.
	report := repairReport{From: from, To: page.Next, Skipped: page.Oldest > from}
	if report.Skipped {
		data, err := settings.EncodeSkip(from, page.Next, key)
		if err != nil {
			return err
		}
		// Not retried: if the answer is lost, the operator runs the command again,
		// and a second skip has no effect.
		if _, err := log.Append(ctx, settings.Stream, data); err != nil {
			return err
		}
	}
	return writeReport(c, report, func(w io.Writer) {
		if report.Skipped {
			_, _ = fmt.Fprintf(w, "skipped the records from offset %d to %d; apply the changes among them again\n", from, page.Next-1)
			return
		}
		_, _ = fmt.Fprintf(w, "nothing to do: the log still keeps offset %d, the next that the nodes read\n", from)
	})
}

// highestOffset returns the highest offset up to which any node has read. It fails
// if a node does not answer.
func highestOffset(ctx context.Context, client *nodeClient) (highest int64, err error) {
	members, err := client.members(ctx)
	if err != nil {
		return 0, err
	}
	offsets := make([]int64, len(members))
	errs := client.forEach(members, func(i int, m member) (err error) {
		offsets[i], err = settings.FetchOffset(ctx, client.client, m.Operator)
		return err
	})
	if err := errors.Join(errs...); err != nil {
		return 0, fmt.Errorf("not all nodes answered, and one that did not may have the records: %w", err)
	}
	return slices.Max(append(offsets, 0)), nil
}
