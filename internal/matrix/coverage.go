package matrix

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Coverage counts the results of cells.
type Coverage struct {
	cells, passed, unreached int
	failed                   []Result
	skipped                  map[string]int
}

// Add counts the result of one cell.
func (c *Coverage) Add(r Result) {
	c.cells++
	switch {
	case r.Skipped != "":
		if c.skipped == nil {
			c.skipped = map[string]int{}
		}
		c.skipped[r.Skipped]++
	case len(r.Violations) > 0:
		c.failed = append(c.failed, r)
	default:
		c.passed++
	}
	if r.Skipped == "" && r.Fired < len(r.Cell.Injections) {
		c.unreached++
	}
}

// Cells returns the number of cells that were run.
func (c *Coverage) Cells() int {
	n := c.cells
	for _, skipped := range c.skipped {
		n -= skipped
	}
	return n
}

// Failed returns the results of the cells in which a guarantee was violated.
func (c *Coverage) Failed() []Result { return c.failed }

// String prints the counts, the failed cells and the reasons for skipping. A
// cell that was run counts as unreached if not all of its faults were injected.
func (c *Coverage) String() string {
	var b strings.Builder
	skipped := 0
	for _, n := range c.skipped {
		skipped += n
	}
	fmt.Fprintf(&b, "cells %d, passed %d, failed %d, skipped %d, with a fault that was not reached %d\n",
		c.cells, c.passed, len(c.failed), skipped, c.unreached)
	for _, reason := range slices.Sorted(maps.Keys(c.skipped)) {
		fmt.Fprintf(&b, "skipped %d: %s\n", c.skipped[reason], reason)
	}
	for _, r := range c.failed {
		fmt.Fprintf(&b, "failed: %s\n", r.Cell)
		for _, violation := range r.Violations {
			fmt.Fprintf(&b, "  %s\n", violation)
		}
	}
	return b.String()
}
