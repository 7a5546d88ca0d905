//go:build review

// Package standins2 runs the cases of the second review. Each case starts nodes as separate
// processes on loopback addresses, with stand-ins for the platform's store, the backend servers
// and the clients in this process, and checks one rule by what these have seen.
package standins2

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// timeLimit is how long a case may take.
const timeLimit = 115 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){
	"stale-watchers": staleWatchers,
	"lost-leave":     lostLeave,
	"two-keepers":    twoKeepers,
	"locked-route":   lockedRoute,
}

// TestMain plays a case. There are no tests to run: the stand-ins are test files because they
// use the names of the platform's interfaces, which only test files and package platform may.
func TestMain(*testing.M) {
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
	type verdict struct {
		broken bool
		err    error
	}
	ended := make(chan verdict, 1)
	go func() {
		broken, err := play(c, os.Getenv("TROUBLE") != "0")
		ended <- verdict{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var v verdict
	select {
	case v = <-ended:
	case <-signals:
		v.err = fmt.Errorf("interrupted")
	case <-time.After(timeLimit):
		v.err = fmt.Errorf("not finished after %v", timeLimit)
	}
	switch {
	case v.err != nil:
		c.logf("the case could not run: %v", v.err)
		fmt.Println("could not run:", v.err)
		return exitNotRun
	case v.broken:
		c.logf("RESULT the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		c.logf("RESULT the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
