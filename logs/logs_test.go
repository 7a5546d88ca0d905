package logs_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/logs"
)

// buffer is an output that can be read and written concurrently.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *buffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// A surge must not flood the log, and the log must show how many lines were omitted.
func TestLinesPerEventAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger := slog.New(logs.Limit(slog.NewTextHandler(&out, nil), logs.PerSecond(3)))
		for range 10 {
			logger.Info("refused")
		}
		logger.Info("other")
		must.Eq(t, 4, strings.Count(out.String(), "\n"))
		time.Sleep(time.Second)
		logger.Info("refused")
		must.StrContains(t, out.String(), "omitted=7")
	})
}

// Writing a line must never block a request, even if nothing reads the output.
func TestWriteDoesNotBlockOnStuckOutput(t *testing.T) {
	reader, output := io.Pipe()
	w := logs.New(output)
	line := bytes.Repeat([]byte("x"), 1<<10)
	for range 2000 {
		_, err := w.Write(line)
		must.NoError(t, err)
	}
	must.Positive(t, w.Dropped())
	must.NoError(t, reader.Close())
	w.Close()
}

func TestCloseWritesBufferedLines(t *testing.T) {
	out := &buffer{}
	w := logs.New(out)
	_, err := w.Write([]byte("last\n"))
	must.NoError(t, err)
	w.Close()
	must.Eq(t, "last\n", out.String())
}
