package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/internal/experiment"
)

const experimentDescription = `Runs the experiment that the YAML file describes, on this machine, with stand-ins
for everything but the contestants. It prints a table and writes the figures, a
page and plots to the directory. The files in experiments/ are the project's own.

Runs take minutes and use several cores. Compare only figures of the same run.

Example:
   lacewingslip experiment run experiments/surge-tesfaye.yaml --directory results`

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure the layer on this machine",
		Commands: []*cli.Command{{
			Name:        "run",
			Usage:       "run an experiment file",
			ArgsUsage:   "FILE",
			Description: experimentDescription,
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "directory", Usage: "write results to `DIRECTORY`", Value: "."},
			},
			Action: func(ctx context.Context, c *cli.Command) error {
				file, err := oneArgument(c, "an experiment file")
				if err != nil {
					return err
				}
				return experiment.RunFile(ctx, file, c.String("directory"), c.Root().Writer)
			},
		}},
	}
}
