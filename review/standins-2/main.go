//go:build review

package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){
	"stale-watchers": staleWatchers,
	"lost-leave":     lostLeave,
	"locked-route":   lockedRoute,
	"two-keepers":    twoKeepers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(c *cluster, trouble bool) (broken bool, err error), record string) (code int) {
	c, err := newCluster(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.stop()
	broken, err := play(c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		c.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		c.logf("RESULT the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		c.logf("RESULT the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
