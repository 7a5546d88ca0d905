// Command lacewingslip is the command-line tool for operators. Its commands are in
// the package [command].
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/lacewingslip/lacewingslip/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
