// Command lacewingslip-standin runs stand-ins for the log service and the backend
// servers that nodes depend on, for tests and demonstrations.
//
// # Usage
//
//	lacewingslip-standin log --listen 127.0.0.1:7000
//	lacewingslip-standin backend --service orders --listen 127.0.0.1:8000 --node 127.0.0.1:7101
//
// On SIGTERM or SIGINT it completes the requests in progress and exits. A backend
// server first asks its node to send no new calls, and waits for those in progress.
package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
	"github.com/lacewingslip/lacewingslip/internal/standin/logservice"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listen := &cli.StringFlag{Name: "listen", Usage: "address to listen on", Required: true}
	command := &cli.Command{
		Name:  "lacewingslip-standin",
		Usage: "stand-ins for tests and demonstrations",
		Commands: []*cli.Command{
			{Name: "log", Usage: "an append-only log service in memory", Flags: []cli.Flag{listen}, Action: runLog},
			{
				Name: "backend", Usage: "a backend server", Action: runBackend,
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "service", Usage: "service that it runs", Required: true},
					&cli.StringFlag{Name: "node", Usage: "backend address of the node beside it", Required: true},
					&cli.DurationFlag{Name: "service-time", Usage: "time that each call takes"},
					&cli.StringSliceFlag{Name: "child", Usage: "child call that each call makes, as METHOD/service/path"},
					&cli.IntFlag{Name: "answer-bytes", Usage: "size of the answer"},
				},
			},
		},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		slog.Error(err.Error())
		os.Exit(1)
	}
}

func runLog(ctx context.Context, command *cli.Command) (err error) {
	return serve(ctx, command.String("listen"), logservice.New(), nil, nil)
}

func runBackend(ctx context.Context, command *cli.Command) (err error) {
	options := []backend.Option{
		backend.WithServiceTime(command.Duration("service-time")),
		backend.WithAnswerBytes(command.Int("answer-bytes")),
	}
	var children []backend.Child
	for _, text := range command.StringSlice("child") {
		method, rest, _ := strings.Cut(text, "/")
		service, path, _ := strings.Cut(rest, "/")
		children = append(children, backend.Child{Method: method, Service: service, Path: "/" + path})
	}
	b := backend.New(command.String("service"), append(options, backend.WithChildren(children...))...)
	announce := func(address string) { b.KeepAnnounced(ctx, command.String("node"), address) }
	leave := func() { _ = b.Leave(context.Background()) }
	return serve(ctx, command.String("listen"), b, announce, leave)
}

// serve serves the handler until the context ends, and then completes the requests
// in progress. It calls started with the address that it listens on, and stopping
// when the context has ended; both may be nil.
func serve(ctx context.Context, address string, handler http.Handler, started func(address string), stopping func()) (err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	if started != nil {
		go started(listener.Addr().String())
	}
	<-ctx.Done()
	if stopping != nil {
		stopping()
	}
	return server.Shutdown(context.Background())
}
