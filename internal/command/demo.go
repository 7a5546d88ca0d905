package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/internal/demo"
	"github.com/lacewingslip/lacewingslip/internal/experiment"
)

const demoDescription = `Runs on this machine only and needs nothing else. It starts a stand-in log
service, six nodes and six stand-in backend servers inside its own process, and
applies the example settings of Tesfaye Moulded Fibre Works. Then it sends a
surge of stock checks, catalogue pages and bookings through three services, the
deepest of which becomes slow, once without the layer and once with it.

It ends by itself in under a minute. Exit code 3 means that a booking ran twice
or ran after the caller had been told that it did not, with the layer.`

// demoDuration is the default duration of each of the two runs.
const demoDuration = 20 * time.Second

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "show a surge on this machine, with and without the layer",
		Description: demoDescription,
		Flags: []cli.Flag{
			outputFlag(),
			&cli.DurationFlag{Name: "duration", Usage: "`TIME` of each of the two runs", Value: demoDuration},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			return runDemo(ctx, c, demo.NewPlan(c.Duration("duration")))
		},
	}
}

// runDemo prints progress to stderr, so that stdout holds only the result.
func runDemo(ctx context.Context, c *cli.Command, plan demo.Plan) error {
	p := &progress{w: c.Root().ErrWriter}
	plan.Progress = p.report
	comparison, err := demo.Run(ctx, plan)
	p.end()
	if err != nil {
		return err
	}
	if err := writeComparison(c.Root().Writer, c.String("output"), plan, comparison); err != nil {
		return err
	}
	if comparison.With.DuplicateBookings > 0 || comparison.With.FalselyNotRun > 0 {
		return cli.Exit("bookings ran twice, or ran although they were reported as not run", ExitProblem)
	}
	return nil
}

// progress prints one line per step with one dot per second.
type progress struct {
	w    io.Writer
	step string
	dots int
}

func (p *progress) report(step string, done, _ time.Duration) {
	if step != p.step {
		p.end()
		p.step, p.dots = step, int(done.Seconds())
		_, _ = fmt.Fprintf(p.w, "%s ", step)
	}
	for ; p.dots < int(done.Seconds()); p.dots++ {
		_, _ = fmt.Fprint(p.w, ".")
	}
}

func (p *progress) end() {
	if p.step != "" {
		_, _ = fmt.Fprintln(p.w)
	}
}

func writeComparison(w io.Writer, output string, plan demo.Plan, c demo.Comparison) error {
	if output == outputJSON {
		return json.NewEncoder(w).Encode(c)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, valueOf func(demo.Result) string) {
		_, _ = fmt.Fprintf(table, "%-46s\t%s\t%s\t\n", name, valueOf(c.With), valueOf(c.Without))
	}
	_, _ = fmt.Fprintf(table, "\twith lacewingslip\twithout\t\n")
	surge := surgeCounts(c.With)
	for i := range surge {
		row(fmt.Sprintf("answered in the surge: %s (%s)", surge[i].Class, surge[i].Importance), func(r demo.Result) string {
			return fmt.Sprintf("%.1f%%", 100*surgeCounts(r)[i].GoodShare())
		})
	}
	row("answered in the surge, per second", func(r demo.Result) string { return perSecond(r, plan) })
	row("refused in the surge, certainly not run", func(r demo.Result) string {
		return fmt.Sprint(sum(surgeCounts(r), func(n experiment.Counts) int { return n.Refused }))
	})
	row("answered with an error in the surge", func(r demo.Result) string {
		return fmt.Sprint(sum(surgeCounts(r), func(n experiment.Counts) int { return n.Failed }))
	})
	row("unknown in the surge, may have run", func(r demo.Result) string {
		return fmt.Sprint(sum(surgeCounts(r), func(n experiment.Counts) int { return n.Unknown }))
	})
	row("retries per request", func(r demo.Result) string {
		return fmt.Sprintf("%.2f", float64(r.Retries)/float64(max(sentCount(r), 1)))
	})
	row("calls to the deep service per answer", func(r demo.Result) string {
		return fmt.Sprintf("%.2f", float64(r.DeepCalls)/float64(max(sum(r.Counts, goodCount), 1)))
	})
	row("bookings that ran twice", func(r demo.Result) string { return fmt.Sprint(r.DuplicateBookings) })
	row("bookings that ran though reported as not run", func(r demo.Result) string { return fmt.Sprint(r.FalselyNotRun) })
	row("recovery after the surge", recovery)
	if err := table.Flush(); err != nil {
		return err
	}
	usual, slowed := demo.DeepCapacity()
	_, err := fmt.Fprintf(w, `
Load: %d requests/s, in the surge %d. The deep service can do %d calls/s, in the
surge %d. Without the layer every hop tries three times with a timeout of 1 s.
Requests count for the time in which they were sent, also if they were answered
after it.
`, plan.OrdinaryRate, plan.SurgeRate, usual, slowed)
	return err
}

// surgeCounts returns the counts of the surge, which is the second of three phases.
func surgeCounts(r demo.Result) []experiment.Counts {
	classes := len(r.Counts) / 3
	return r.Counts[classes : 2*classes]
}

func sum(counts []experiment.Counts, valueOf func(experiment.Counts) int) (total int) {
	for _, count := range counts {
		total += valueOf(count)
	}
	return total
}

func goodCount(c experiment.Counts) int { return c.Good }

func sentCount(r demo.Result) int {
	return sum(r.Counts, func(c experiment.Counts) int { return c.Sent })
}

func perSecond(r demo.Result, plan demo.Plan) string {
	return fmt.Sprintf("%.0f", float64(sum(surgeCounts(r), goodCount))/plan.During.Seconds())
}

func recovery(r demo.Result) string {
	if !r.Recovered {
		return "not in this run"
	}
	return (time.Duration(r.RecoveryMillis) * time.Millisecond).String()
}
