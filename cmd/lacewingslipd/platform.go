package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/logs"
	"github.com/lacewingslip/lacewingslip/mesh"
	"github.com/lacewingslip/lacewingslip/platform"
)

// runOnPlatform runs the node with the settings file of the users' platform. It
// reads the file again on SIGHUP.
func runOnPlatform(ctx context.Context, command *cli.Command) (err error) {
	level, err := logLevel(command)
	if err != nil {
		return err
	}
	// Before the settings are read, because the signal ends a process that does not handle it.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	settings, err := platform.ReadSettings()
	if err != nil {
		return cli.Exit(err, exitInvalidFile)
	}
	limitRuntime(settings.MemoryBytes)
	debugServer, err := startDebugServer(command.String(flagDebug))
	if err != nil {
		return err
	}
	defer debugServer.Close()
	settings.Listen.Advertised = command.String(flagAdvertise)
	output := logs.New(os.Stdout)
	defer output.Close()
	logger := slog.New(logs.Limit(slog.NewJSONHandler(output, &slog.HandlerOptions{Level: level}))).With("node", settings.Node)
	n, err := mesh.New(settings, mesh.WithLogger(logger))
	if err != nil {
		return err
	}
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err = n.Start(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			reloadSettings(logger, n)
		case <-signals.Done():
			if err = n.Stop(context.Background()); err != nil {
				return cli.Exit(err, exitStopDeadline)
			}
			return nil
		}
	}
}

// reloadSettings reads the settings file again and applies the limits in it. The
// addresses, the region and the availability zone of a running process do not
// change.
func reloadSettings(logger *slog.Logger, n *mesh.Node) {
	settings, err := platform.ReadSettings()
	if err != nil {
		logger.Error("settings file rejected; the current limits stay in effect", "error", err.Error())
		return
	}
	n.Reload(settings)
}
