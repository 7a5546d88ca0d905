package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/logs"
	"github.com/lacewingslip/lacewingslip/mesh"
	"github.com/lacewingslip/lacewingslip/platform"
)

// heapShare of the memory of the process is the limit from which on the garbage
// collector works harder. The rest is for what the kernel holds for its
// connections.
const heapShare = 0.7

// runOnPlatform runs the node with the settings that the users' platform gives.
func runOnPlatform(ctx context.Context, command *cli.Command) (err error) {
	level, err := logLevel(command)
	if err != nil {
		return err
	}
	place, err := platform.ReadSettings()
	if err != nil {
		return cli.Exit(err, exitBadFile)
	}
	place.Listen.Advertised = command.String(flagAdvertise)
	output := logs.New(os.Stdout)
	defer output.Close()
	logger := slog.New(logs.Limit(slog.NewJSONHandler(output, &slog.HandlerOptions{Level: level}))).With("node", place.Node)
	n, err := mesh.New(place, mesh.WithLogger(logger))
	if err != nil {
		return err
	}
	if place.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(place.MemoryBytes)))
	}
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err = n.Start(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			checkSettings(logger, n)
		case <-signals.Done():
			if err = n.Stop(context.Background()); err != nil {
				return cli.Exit(err, exitCutOff)
			}
			return nil
		}
	}
}

// checkSettings reads the settings again. Addresses and the place of a process
// do not change while it runs; bounds do.
func checkSettings(logger *slog.Logger, n *mesh.Node) {
	place, err := platform.ReadSettings()
	if err != nil {
		logger.Error("settings rejected", "error", err.Error())
		return
	}
	n.Reload(place)
}
