// Command soakrun runs the fault soak with consecutive seeds.
//
// # Usage
//
//	go run ./internal/soak/soakrun --seed 1 --seeds 50 --for 20s --vms 6 --keep soak-logs
//
// It prints one line for each seed and the violated guarantees, and exits with code 1 if
// there are any. The directory given with --keep keeps the logs of the seeds with
// violated guarantees.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/internal/e2e"
	"github.com/lacewingslip/lacewingslip/internal/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	command := &cli.Command{
		Name:  "soakrun",
		Usage: "run nodes as processes, disturb them and check the promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "time with faults for each seed", Value: 20 * time.Second},
			&cli.IntFlag{Name: "vms", Usage: "number of VMs, each with a node and a backend server", Value: 6},
			&cli.StringFlag{Name: "keep", Usage: "directory for the logs of seeds that failed", Value: "soak-logs"},
		},
		Action: run,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		slog.Error(err.Error())
		os.Exit(1)
	}
}

func run(ctx context.Context, command *cli.Command) (err error) {
	buildDirectory, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(buildDirectory)) }()
	binaries, err := e2e.Build(buildDirectory)
	if err != nil {
		return err
	}
	failed := 0
	first := command.Uint64("seed")
	for seed := first; seed < first+uint64(command.Int("seeds")); seed++ {
		directory := filepath.Join(command.String("keep"), fmt.Sprintf("seed-%d", seed))
		if err = os.MkdirAll(directory, 0o750); err != nil {
			return err
		}
		report, err := soak.Run(ctx, binaries, directory,
			soak.WithSeed(seed), soak.WithDuration(command.Duration("for")), soak.WithVMs(command.Int("vms")))
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d faults, %d requests, %d of customers served, %d with a cap in a window, back after %v, process delayed by up to %v, %d promises broken\n",
			seed, report.Faults, report.Requests, report.Served, report.Capped, report.Recovery.Round(time.Millisecond), report.LongestDelay.Round(time.Millisecond), len(report.Violations))
		for _, violation := range report.Violations {
			fmt.Println("  " + violation)
		}
		if len(report.Violations) == 0 {
			if err = os.RemoveAll(directory); err != nil {
				return err
			}
			continue
		}
		failed++
	}
	if failed > 0 {
		return cli.Exit(fmt.Sprintf("%d seeds with violated guarantees", failed), 1)
	}
	return nil
}
