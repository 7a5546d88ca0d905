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
		memoryLimit int64
		maxProcs    int
	}{
		"limited":                {nil, memoryBytes, limit, maxProcs},
		"memory not known":       {nil, 0, math.MaxInt64, maxProcs},
		"limit in environment":   {map[string]string{"GOMEMLIMIT": "1GiB"}, memoryBytes, math.MaxInt64, maxProcs},
		"threads in environment": {map[string]string{"GOMAXPROCS": "3"}, memoryBytes, limit, 3},
	} {
		t.Run(name, func(t *testing.T) {
			for _, variable := range []string{"GOMEMLIMIT", "GOMAXPROCS"} {
				t.Setenv(variable, c.environment[variable])
			}
			procs, limit := runtime.GOMAXPROCS(3), debug.SetMemoryLimit(math.MaxInt64)
			t.Cleanup(func() {
				runtime.GOMAXPROCS(procs)
				debug.SetMemoryLimit(limit)
			})
			limitRuntime(c.memoryBytes)
			must.Eq(t, c.maxProcs, runtime.GOMAXPROCS(0))
			must.Eq(t, c.memoryLimit, debug.SetMemoryLimit(-1))
		})
	}
}
