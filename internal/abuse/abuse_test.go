package abuse_test

import (
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/abuse"
	"github.com/lacewingslip/lacewingslip/internal/e2e"
)

const (
	clients = 512
	// headBytes is what each client has sent of its head when the usage is read.
	headBytes = 60 << 10
	// endlessBytes stands for endless.
	endlessBytes = 1 << 20
	answerWait   = time.Minute
	// manyDescriptors is a limit by which a node keeps all connections of a crowd that is to
	// fill its memory.
	manyDescriptors = 4 * abuse.Descriptors
)

var binaries e2e.Binaries

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "lacewingslip-abuse-")
	if err != nil {
		panic(err)
	}
	if binaries, err = e2e.Build(directory); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// run starts a node for each of its ports, lets a crowd loose on the port, and checks that
// the process lives within its limits and then answers an ordinary request.
func run(t *testing.T, attack abuse.Attack, checks ...func(t *testing.T, answers map[int]int)) {
	runCrowd(t, clients, manyDescriptors, attack, checks...)
}

func runCrowd(t *testing.T, clients, descriptors int, attack abuse.Attack, checks ...func(t *testing.T, answers map[int]int)) {
	for _, port := range abuse.Ports {
		t.Run(port, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), answerWait)
			defer cancel()
			d, err := abuse.Start(binaries, t.TempDir(), descriptors)
			must.NoError(t, err)
			defer d.Close()
			must.NoError(t, d.WaitAnswered(ctx))
			before, err := d.Usage()
			must.NoError(t, err)

			crowd := abuse.Open(ctx, clients, d.Address(port), attack)
			defer crowd.Close()
			during, err := d.Settle()
			must.NoError(t, err)
			answers := crowd.Finish()
			crowd.Close()
			must.NoError(t, d.WaitAnswered(ctx))
			after, err := d.Usage()
			must.NoError(t, err)
			t.Logf("before: %d MB; peak: %d MB; descriptors before %d, during %d; answers %v",
				before.PeakBytes>>20, after.PeakBytes>>20, before.Descriptors, during.Descriptors, answers)
			must.LessEq(t, int64(abuse.MemoryBytes), after.PeakBytes)
			must.LessEq(t, abuse.Descriptors, during.Descriptors)
			for _, check := range checks {
				check(t, answers)
			}
		})
	}
}

// Guards against heads over the limit of the desired state that fill the memory, or that are
// served.
func TestHeadsOverTheLimit(t *testing.T) {
	run(t, abuse.ShortLines(headBytes), func(t *testing.T, answers map[int]int) {
		must.Zero(t, answers[http.StatusOK], must.Sprint("heads over the limit were served"))
	})
}

// Guards against heads without end that fill the memory: of short lines, whose map takes many
// times their bytes, and of one line.
func TestHeadsWithoutEnd(t *testing.T) {
	for name, attack := range map[string]abuse.Attack{
		"short lines": abuse.ShortLines(endlessBytes), "one line": abuse.LongLine(endlessBytes),
	} {
		t.Run(name, func(t *testing.T) { run(t, attack) })
	}
}

// Guards against empty lines before a request that are read without end, on a fresh and on a
// kept connection.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	for name, kept := range map[string]bool{"fresh": false, "kept": true} {
		t.Run(name, func(t *testing.T) { run(t, abuse.EmptyLines(endlessBytes, kept)) })
	}
}

// Guards against connections that send nothing and take all descriptors.
func TestSilentConnections(t *testing.T) {
	runCrowd(t, abuse.Descriptors+200, abuse.Descriptors, abuse.Silence())
}

// Guards against bodies that begin and stop, and fill the memory until the time of their
// requests is over.
func TestBodiesThatStop(t *testing.T) {
	for name, target := range map[string]string{
		"request": "/orders/x", "announcement": "/lacewingslip/rpc?call=instances.heartbeat&of=i-2", "exchange": "/lacewingslip/v1/exchange",
	} {
		t.Run(name, func(t *testing.T) { run(t, abuse.StoppedBody(target, 256<<10, 240<<10)) })
	}
}

// Guards against chunk sizes, chunk extensions and trailers without end that fill the memory.
func TestChunksWithoutEnd(t *testing.T) {
	for name, attack := range map[string]abuse.Attack{
		"size": abuse.Chunks("", "0", endlessBytes), "extension": abuse.Chunks("1;", "x", endlessBytes), "trailers": abuse.Chunks("0\r\n", "a:\r\n", endlessBytes),
		"extensions of small chunks": abuse.Chunks("", "1;a=b\r\nx\r\n", endlessBytes),
	} {
		t.Run(name, func(t *testing.T) { run(t, attack) })
	}
}
