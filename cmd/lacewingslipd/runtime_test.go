package main

import (
	"math"
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a heap that may grow beyond the memory of the VM, and against a process that
// overrides the limits of its operator.
func TestLimitRuntime(t *testing.T) {
	const memoryBytes = 184 << 20
	memory := float64(memoryBytes)
	limit := int64(heapMemoryRatio * memory)
	for name, c := range map[string]struct {
		environment map[string]string
		memoryBytes int64
		gcPercent   int
		memoryLimit int64
		maxProcs    int
	}{
		"limited":                {nil, memoryBytes, gcPercent, limit, maxProcs},
		"memory not known":       {nil, 0, 100, math.MaxInt64, maxProcs},
		"percent in environment": {map[string]string{"GOGC": "50"}, memoryBytes, 100, limit, maxProcs},
		"limit in environment":   {map[string]string{"GOMEMLIMIT": "1GiB"}, memoryBytes, gcPercent, math.MaxInt64, maxProcs},
		"threads in environment": {map[string]string{"GOMAXPROCS": "3"}, memoryBytes, gcPercent, limit, 3},
	} {
		t.Run(name, func(t *testing.T) {
			for _, variable := range []string{"GOGC", "GOMEMLIMIT", "GOMAXPROCS"} {
				t.Setenv(variable, c.environment[variable])
			}
			procs, percent, limit := runtime.GOMAXPROCS(3), debug.SetGCPercent(100), debug.SetMemoryLimit(math.MaxInt64)
			t.Cleanup(func() {
				runtime.GOMAXPROCS(procs)
				debug.SetGCPercent(percent)
				debug.SetMemoryLimit(limit)
			})
			limitRuntime(c.memoryBytes)
			must.Eq(t, c.maxProcs, runtime.GOMAXPROCS(0))
			must.Eq(t, c.memoryLimit, debug.SetMemoryLimit(-1))
			must.Eq(t, c.gcPercent, debug.SetGCPercent(100))
		})
	}
}
