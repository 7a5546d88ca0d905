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

// Table returns the measurements of all runs as a Markdown table. The shares of good
// answers and of refusals by importance cover all phases except the first and the
// last one.
func (r Result) Table() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s, capacity %.1f/s\n\n", r.Name, r.Capacity)
	b.WriteString("| surge | contestant | goodput | good: critical, high, normal, low | refused: critical, high, normal, low | recovery | wasted | retries per request | cross-region |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, t := range r.Runs {
		recovery := "never"
		if t.Summary.Recovered {
			recovery = fmt.Sprintf("%.1f s", float64(t.Summary.RecoveryMillis)/1000)
		}
		good, refused := t.sharesByImportance()
		_, _ = fmt.Fprintf(&b, "| %gx | %s | %s | %s | %s | %s | %.1f%% | %.2f | %.1f MB |\n",
			t.Surge, t.Contestant, t.goodputByPhase(), good, refused, recovery, 100*t.Wasted, t.RetriesPerRequest, float64(t.RemoteBytes)/1e6)
	}
	return b.String()
}

// goodputByPhase formats the goodput of each phase.
func (t Trial) goodputByPhase() string {
	var shares []string
	for _, phase := range t.record.Plan.Phases {
		shares = append(shares, fmt.Sprintf("%.0f%%", 100*t.Goodput[phase.Name]))
	}
	return strings.Join(shares, ", ")
}

// sharesByImportance formats the shares of good answers and of refusals for each
// importance, from the highest to the lowest.
func (t Trial) sharesByImportance() (good, refused string) {
	phases := t.record.Plan.Phases
	var goodShares, refusedShares []string
	for i := len(call.Importances()) - 1; i >= 0; i-- {
		var sum Counts
		for _, c := range t.Summary.Counts {
			during := c.Phase != phases[0].Name && c.Phase != phases[len(phases)-1].Name
			if during && c.Importance == call.Importances()[i].String() {
				sum.Sent, sum.Good, sum.Refused = sum.Sent+c.Sent, sum.Good+c.Good, sum.Refused+c.Refused
			}
		}
		if sum.Sent == 0 {
			goodShares, refusedShares = append(goodShares, "-"), append(refusedShares, "-")
			continue
		}
		goodShares = append(goodShares, fmt.Sprintf("%.1f%%", 100*sum.GoodShare()))
		refusedShares = append(refusedShares, fmt.Sprintf("%.1f%%", 100*float64(sum.Refused)/float64(sum.Sent)))
	}
	return strings.Join(goodShares, ", "), strings.Join(refusedShares, ", ")
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
	return r.savePlots(base)
}

// savePlots writes one plot per surge, with a line for each contestant.
func (r Result) savePlots(base string) error {
	lines := make(map[float64][]any)
	for _, t := range r.Runs {
		lines[t.Surge] = append(lines[t.Surge], t.Contestant, t.goodputCurve(r.Capacity))
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

// goodputCurve returns the goodput over time, as a share of the capacity. A request
// counts at its scheduled time.
func (t Trial) goodputCurve(capacity float64) plotter.XYs {
	points := make(plotter.XYs, t.record.Plan.totalDuration()/plotInterval)
	for i := range points {
		points[i].X = (time.Duration(i) * plotInterval).Seconds()
	}
	for _, s := range t.record.Samples {
		if index := int(s.Due / plotInterval); s.Good() && index < len(points) {
			points[index].Y += 1 / plotInterval.Seconds() / capacity
		}
	}
	return points
}
