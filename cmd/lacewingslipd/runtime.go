package main

import (
	"os"
	"runtime"
	"runtime/debug"
)

const (
	// heapMemoryRatio is the ratio of the Go runtime's soft memory limit to the memory
	// that the process may use. The rest is left for the memory that the kernel uses
	// for the connections.
	heapMemoryRatio = 0.6
	// maxProcs is the number of threads that run Go code at the same time. A node has less
	// than one core, and each further thread looks for work whenever a request wakes one.
	// With a single one, a collection would delay requests.
	maxProcs = 2
)

// limitRuntime sets the limits of the Go runtime for a process that may use the memory.
// memoryBytes is 0 if it is not known. The environment variables of the runtime take
// precedence.
func limitRuntime(memoryBytes int64) {
	if !isSet("GOMAXPROCS") {
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), maxProcs))
	}
	if memoryBytes <= 0 {
		return
	}
	if !isSet("GOMEMLIMIT") {
		debug.SetMemoryLimit(int64(heapMemoryRatio * float64(memoryBytes)))
	}
}

func isSet(variable string) bool { return os.Getenv(variable) != "" }
