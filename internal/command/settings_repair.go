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
