package command_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/command"
	"github.com/lacewingslip/lacewingslip/internal/demo"
)

// Guards against a demo that does not end, that mixes up answers, that breaks a
// promise about bookings, or in which one side answers nothing at all, which
// compares nothing. How much is answered depends on the machine and is not
// judged here.
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
