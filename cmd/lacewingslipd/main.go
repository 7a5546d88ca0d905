// Command lacewingslipd is the node, which runs beside each backend server.
//
// # Usage
//
//	lacewingslipd --file node.yaml
//	lacewingslipd platform
//
// The second form reads the settings file that the users' platform provides.
//
// The node runs until it receives SIGTERM or SIGINT, and then stops after the
// calls in progress. Exit codes: 0 after a planned stop, 1 for an error, 2 for an
// invalid node file, settings file or flag, 3 if the stop deadline was exceeded.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/node"
)

const (
	exitError        = 1
	exitInvalidFile  = 2
	exitStopDeadline = 3
	flagFile         = "file"
	flagLogLevel     = "log-level"
	flagAdvertise    = "advertise"
	flagDebug        = "debug-address"
	defaultLevel     = "info"
	usageLogLevel    = "lowest level of events that are logged: debug, info, warn or error"
)

func main() {
	command := &cli.Command{
		Name:  "lacewingslipd",
		Usage: "carry calls between callers and the backend server beside this process",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "path of the node file"},
			&cli.StringFlag{Name: flagLogLevel, Usage: usageLogLevel, Value: defaultLevel},
		},
		Action: run,
		Commands: []*cli.Command{{
			Name:  "platform",
			Usage: "run on the users' platform, with the settings file that it provides",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: flagAdvertise, Usage: "address that other nodes connect to, if it differs from the one that the node listens on"},
				&cli.StringFlag{Name: flagDebug, Usage: "loopback address at which profiles are served; off by default"},
			},
			Action: runOnPlatform,
		}},
	}
	// Otherwise a write to standard output or standard error ends the process, and with it all
	// requests in progress, once the reader of the log lines has ended.
	signal.Ignore(syscall.SIGPIPE)
	if err := command.Run(context.Background(), os.Args); err != nil {
		slog.Error(err.Error())
		os.Exit(exitError)
	}
}

func run(ctx context.Context, command *cli.Command) (err error) {
	level, err := logLevel(command)
	if err != nil {
		return err
	}
	if command.String(flagFile) == "" {
		return cli.Exit(`required flag "file" not set`, exitInvalidFile)
	}
	file, err := node.ReadFile(command.String(flagFile))
	if err != nil {
		return cli.Exit(err, exitInvalidFile)
	}
	logger := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	n, err := node.New(file, node.WithLogger(logger))
	if err != nil {
		return err
	}
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err = n.Start(ctx); err != nil {
		return err
	}
	<-signals.Done()
	if err = n.Stop(ctx); err != nil {
		return cli.Exit(err, exitStopDeadline)
	}
	return nil
}

func logLevel(command *cli.Command) (level slog.Level, err error) {
	if err = level.UnmarshalText([]byte(command.String(flagLogLevel))); err != nil {
		return 0, cli.Exit(err, exitInvalidFile)
	}
	return level, nil
}
