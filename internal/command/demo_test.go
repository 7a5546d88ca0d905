package command_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/command"
	"github.com/lacewingslip/lacewingslip/internal/demo"
)

// Guards against a demo that does not end, that returns wrong answers, in which
// bookings run twice or run although reported as not run, or in which one of the
// two runs answers no request, so that the comparison is meaningless. The share of
// answered requests depends on the machine and is not checked.
func TestDemo(t *testing.T) {
	code, stdout, stderr := run("demo --duration 1s --output json")
	must.EqOp(t, command.ExitOK, code)
	must.StrContains(t, stderr, "with lacewingslip: surge")
	var comparison demo.Comparison
	must.NoError(t, json.Unmarshal([]byte(stdout), &comparison))
	for name, result := range map[string]demo.Result{"with": comparison.With, "without": comparison.Without} {
		good := 0
		for _, counts := range result.Counts {
			must.EqOp(t, 0, counts.Wrong, must.Sprint(name))
			must.Positive(t, counts.Sent, must.Sprint(name))
			good += counts.Good
		}
		must.Positive(t, good, must.Sprint(name))
	}
}
