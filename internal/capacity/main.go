// Command capacity measures the resource use of a node, mainly of its control work,
// for docs/CAPACITY.md. It runs real nodes in one process that communicate by HTTP
// over loopback, and divides the use of the process by the number of nodes.
//
// # Usage
//
//	go run ./internal/capacity membership --nodes 10,30,100,300 --seconds 20
//	go run ./internal/capacity faults --nodes 100,300
//	go run ./internal/capacity roles
//	go run ./internal/capacity calls --nodes 3,6 --rates 50,150
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	sizes := &cli.IntSliceFlag{Name: "nodes", Value: []int{10, 30, 100, 300}, Usage: "numbers of nodes to measure"}
	command := &cli.Command{
		Name:  "capacity",
		Usage: "measure the cost of control work per node",
		Commands: []*cli.Command{{
			Name:  "membership",
			Usage: "traffic, processor time, memory and time to spread",
			Flags: []cli.Flag{
				sizes,
				&cli.IntFlag{Name: "seconds", Value: 20, Usage: "length of the idle and of the changing period"},
				&cli.IntFlag{Name: "rounds", Value: 5, Usage: "changes and failures to time"},
			},
			Action: func(ctx context.Context, c *cli.Command) error {
				period := time.Duration(c.Int("seconds")) * time.Second
				return measureMembership(ctx, c.IntSlice("nodes"), period, c.Int("rounds"))
			},
		}, {
			Name:   "roles",
			Usage:  "state and processor time per unit of the other roles",
			Action: func(ctx context.Context, _ *cli.Command) error { return measureRoles(ctx) },
		}, {
			Name:  "calls",
			Usage: "processor time and memory of whole nodes, idle and per call",
			Flags: []cli.Flag{
				&cli.IntSliceFlag{Name: "nodes", Value: []int{3, 6}, Usage: "numbers of nodes to measure"},
				&cli.IntSliceFlag{Name: "rates", Value: []int{50, 150}, Usage: "calls a second, to all nodes together"},
				&cli.IntFlag{Name: "seconds", Value: 10, Usage: "length of each period"},
			},
			Action: func(ctx context.Context, c *cli.Command) error {
				return measureFullNodes(ctx, c.IntSlice("nodes"), c.IntSlice("rates"), time.Duration(c.Int("seconds"))*time.Second)
			},
		}, {
			Name:  "faults",
			Usage: "messages, time to agree and log appends when a rack, an availability zone or the link between regions fails",
			Flags: []cli.Flag{sizes, &cli.IntFlag{Name: "apart", Value: 60, Usage: "seconds for which the regions are apart"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				return measureFaults(ctx, c.IntSlice("nodes"), time.Duration(c.Int("apart"))*time.Second)
			},
		}},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
