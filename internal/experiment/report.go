package experiment

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/lacewingslip/lacewingslip/call"
)

const plotInterval = 250 * time.Millisecond

// Table returns the measures of all runs as a Markdown table. Shares of good
// answers and of refusals by importance are those of the phases between the
// first and the last one.
func (r Result) Table() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s, capacity %.1f/s\n\n", r.Name, r.Capacity)
	b.WriteString("| surge | contestant | goodput | good: critical, high, normal, low | refused: critical, high, normal, low | recovery | wasted | retries per request | cross-region |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, t := range r.Runs {
		recovery := "never"
		if t.Summary.Recovered {
			recovery = fmt.Sprintf("%.1f s", float64(t.Summary.RecoveryMillis)/1000)
		}
		good, refused := t.byImportance()
		_, _ = fmt.Fprintf(&b, "| %gx | %s | %s | %s | %s | %s | %.1f%% | %.2f | %.1f MB |\n",
			t.Surge, t.Contestant, t.goodputs(), good, refused, recovery, 100*t.Wasted, t.RetriesPerRequest, float64(t.RemoteBytes)/1e6)
	}
	return b.String()
}

// goodputs lists the goodput of each phase.
func (t Trial) goodputs() string {
	var parts []string
	for _, phase := range t.record.Plan.Phases {
		parts = append(parts, fmt.Sprintf("%.0f%%", 100*t.Goodput[phase.Name]))
	}
	return strings.Join(parts, ", ")
}

func (t Trial) byImportance() (good, refused string) {
	phases := t.record.Plan.Phases
	var goods, refusals []string
	for i := len(call.Importances()) - 1; i >= 0; i-- {
		var sum Counts
		for _, c := range t.Summary.Counts {
			during := c.Phase != phases[0].Name && c.Phase != phases[len(phases)-1].Name
			if during && c.Importance == call.Importances()[i].String() {
				sum.Sent, sum.Good, sum.Refused = sum.Sent+c.Sent, sum.Good+c.Good, sum.Refused+c.Refused
			}
		}
		if sum.Sent == 0 {
			goods, refusals = append(goods, "-"), append(refusals, "-")
			continue
		}
		goods = append(goods, fmt.Sprintf("%.1f%%", 100*sum.Share()))
		refusals = append(refusals, fmt.Sprintf("%.1f%%", 100*float64(sum.Refused)/float64(sum.Sent)))
	}
	return strings.Join(goods, ", "), strings.Join(refusals, ", ")
}

// Save writes NAME.json, NAME.md and one plot per surge into the directory.
func (r Result) Save(directory string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("save results: %w", err)
		}
	}()
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	base := filepath.Join(directory, r.Name)
	if err := os.WriteFile(base+".json", append(text, '\n'), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(base+".md", []byte(r.Table()), 0o644); err != nil {
		return err
	}
	return r.plots(base)
}

func (r Result) plots(base string) error {
	lines := make(map[float64][]any)
	for _, t := range r.Runs {
		lines[t.Surge] = append(lines[t.Surge], t.Contestant, t.curve(r.Capacity))
	}
	for surge, line := range lines {
		p := plot.New()
		p.Title.Text = fmt.Sprintf("%s at %gx", r.Name, surge)
		p.X.Label.Text = "seconds"
		p.Y.Label.Text = "goodput / capacity"
		p.Y.Min = 0
		if err := plotutil.AddLines(p, line...); err != nil {
			return err
		}
		if err := p.Save(16*vg.Centimeter, 9*vg.Centimeter, fmt.Sprintf("%s-%gx.png", base, surge)); err != nil {
			return err
		}
	}
	return nil
}

// curve is the goodput over time, by the time at which requests were due.
func (t Trial) curve(capacity float64) plotter.XYs {
	points := make(plotter.XYs, t.record.Plan.total()/plotInterval)
	for i := range points {
		points[i].X = (time.Duration(i) * plotInterval).Seconds()
	}
	for _, s := range t.record.Samples {
		if at := int(s.Due / plotInterval); s.Good() && at < len(points) {
			points[at].Y += 1 / plotInterval.Seconds() / capacity
		}
	}
	return points
}
