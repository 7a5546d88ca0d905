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
	seed  = flag.Uint64("seed", 1, "seed of the delays and of the sample of pairs")
	every = flag.Bool("every", false, "run all cells with each mechanism disabled, instead of stopping at the first failed cell")
	pairs = flag.Float64("pairs", 0.02, "share of the pairs of faults to run, from 0 to 1")
)

func run(t *testing.T, c matrix.Cell, disabled matrix.Mechanism) (r matrix.Result) {
	synctest.Test(t, func(*testing.T) { r = matrix.Run(c, *seed, disabled) })
	return r
}

// Guards against a simulation in which bookings fail without a fault. Nine of the
// ten calls come before the ledger discards the key, and must be answered.
func TestWithoutFaults(t *testing.T) {
	for _, s := range matrix.Scenarios() {
		t.Run(s.String(), func(t *testing.T) {
			r := run(t, matrix.Cell{Scenario: s}, matrix.AllEnabled)
			must.SliceEmpty(t, r.Violations)
			if s.Admission != matrix.AllRefuseAtFirst {
				must.Eq(t, 9, r.Answered)
			}
		})
	}
}

// Guards against a booking that runs twice, a false notRun and a wrong answer under
// any single fault, and against results that differ between runs with one seed.
func TestSingles(t *testing.T) {
	for _, s := range matrix.Scenarios() {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			var coverage matrix.Coverage
			for _, c := range matrix.SingleFaultCells(s) {
				r := run(t, c, matrix.AllEnabled)
				coverage.Add(r)
				must.Eq(t, r, run(t, c, matrix.AllEnabled), must.Sprint(c))
			}
			t.Log(coverage.String())
			must.SliceEmpty(t, coverage.Failed())
		})
	}
}

// Guards against violations that only a combination of two faults causes.
func TestPairs(t *testing.T) {
	for n, s := range matrix.Scenarios() {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(*seed, uint64(n)))
			var coverage matrix.Coverage
			for c := range func(yield func(matrix.Cell) bool) { matrix.DoubleFaultCells(s, yield) } {
				if random.Float64() < *pairs {
					coverage.Add(run(t, c, matrix.AllEnabled))
				}
			}
			t.Log(coverage.String())
			must.SliceEmpty(t, coverage.Failed())
		})
	}
}

// Guards against cells that can't detect a violation: with each mechanism disabled,
// at least one cell with at most one fault must fail. With -every, all cells are run.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, disabled := range matrix.Mechanisms() {
		t.Run(disabled.String(), func(t *testing.T) {
			t.Parallel()
			var coverage matrix.Coverage
			for _, s := range matrix.Scenarios() {
				for _, c := range matrix.SingleFaultCells(s) {
					if *every || len(coverage.Failed()) == 0 {
						coverage.Add(run(t, c, disabled))
					}
				}
			}
			must.SliceNotEmpty(t, coverage.Failed())
			first := coverage.Failed()[0]
			must.SliceEmpty(t, run(t, first.Cell, matrix.AllEnabled).Violations)
			t.Logf("without %s %d of %d cells fail, first %s: %s", disabled, len(coverage.Failed()), coverage.Cells(), first.Cell, first.Violations[0])
		})
	}
}
