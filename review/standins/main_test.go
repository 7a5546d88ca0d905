//go:build review

package standins

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// timeLimit is how long a case may take.
const timeLimit = 110 * time.Second

// TestMain plays a case. There are no tests to run: the stand-ins are test files because they
// use the names of the platform's interfaces, which only test files and package platform may.
func TestMain(*testing.M) {
	cases := map[string]func(d *deployment, trouble bool){
		"stop": playStop, "late": playLate, "born": playBorn, "frozen": playFrozen, "cut": playCut, "unwritten": playUnwritten,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(2)
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fatal("%v", err)
	}
	d := newDeployment(folder)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			fatal("interrupted")
		case <-time.After(timeLimit):
			fatal("not finished after %v", timeLimit)
		}
	}()
	cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
}
