package matrix_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/matrix"
)

var (
	seed  = flag.Uint64("seed", 1, "seed of delays and of the sample of pairs")
	every = flag.Bool("every", false, "run all cells without each mechanism, not only up to the first that fails")
	pairs = flag.Float64("pairs", 0.02, "share of the pairs of faults to run, from 0 to 1")
)

func run(t *testing.T, c matrix.Cell, off matrix.Mechanism) (r matrix.Result) {
	synctest.Test(t, func(*testing.T) { r = matrix.Run(c, *seed, off) })
	return r
}

// Guards against a wiring in which bookings fail without any fault: nine of the
// ten requests come before the key is forgotten.
func TestWithoutFaults(t *testing.T) {
	for _, s := range matrix.Scenarios() {
		t.Run(s.String(), func(t *testing.T) {
			r := run(t, matrix.Cell{Scenario: s}, matrix.AllOn)
			must.SliceEmpty(t, r.Problems)
			if s.Admission != matrix.AllRefuseAtFirst {
				must.Eq(t, 9, r.Answered)
			}
		})
	}
}

// Guards against a second run, a false notRun and a wrong answer with one fault
// anywhere, and against verdicts that change from run to run.
func TestSingles(t *testing.T) {
	for _, s := range matrix.Scenarios() {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			var coverage matrix.Coverage
			for _, c := range matrix.Singles(s) {
				r := run(t, c, matrix.AllOn)
				coverage.Add(r)
				must.Eq(t, r, run(t, c, matrix.AllOn), must.Sprint(c))
			}
			t.Log(coverage.String())
			must.SliceEmpty(t, coverage.Failed())
		})
	}
}

// Guards against faults that only do harm together.
func TestPairs(t *testing.T) {
	for n, s := range matrix.Scenarios() {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(*seed, uint64(n)))
			var coverage matrix.Coverage
			for c := range func(yield func(matrix.Cell) bool) { matrix.Pairs(s, yield) } {
				if random.Float64() < *pairs {
					coverage.Add(run(t, c, matrix.AllOn))
				}
			}
			t.Log(coverage.String())
			must.SliceEmpty(t, coverage.Failed())
		})
	}
}

// Guards against cells that can't fail: each mechanism is switched off, and a
// cell with one fault at most must show it. With -every, all cells are run.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, off := range matrix.Mechanisms() {
		t.Run(off.String(), func(t *testing.T) {
			t.Parallel()
			var coverage matrix.Coverage
			for _, s := range matrix.Scenarios() {
				for _, c := range matrix.Singles(s) {
					if *every || len(coverage.Failed()) == 0 {
						coverage.Add(run(t, c, off))
					}
				}
			}
			must.SliceNotEmpty(t, coverage.Failed())
			first := coverage.Failed()[0]
			must.SliceEmpty(t, run(t, first.Cell, matrix.AllOn).Problems)
			t.Logf("without %s %d of %d cells fail, first %s: %s", off, len(coverage.Failed()), coverage.Cells(), first.Cell, first.Problems[0])
		})
	}
}
