package e2e_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/e2e"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
)

var binaries e2e.Binaries

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "lacewingslip-e2e-")
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

func start(t *testing.T, places ...e2e.Place) *e2e.System {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	system, err := e2e.Start(ctx, binaries, t.TempDir(), "../../examples/tesfaye", places...)
	must.NoError(t, err)
	t.Cleanup(system.Close)
	return system
}

type answered struct {
	status int
	header http.Header
	text   string
}

// send makes one call with a connection of its own.
func send(ctx context.Context, method, address, path, key, body string) (a answered, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answered{}, err
	}
	request.Close = true
	if key != "" {
		request.Header.Set(call.HeaderKey, key)
	}
	request.Header.Set(backend.HeaderBooking, body)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return answered{}, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answered{answer.StatusCode, answer.Header, string(text)}, err
}

// The whole path over separate processes: ingress, sidecar, backend server, its
// child call through its own node, and the complete answer back.
func TestPath(t *testing.T) {
	system := start(t,
		e2e.Place{Region: "addis", Zone: "addis-a", Service: "orders"},
		e2e.Place{Region: "addis", Zone: "addis-b", Service: "catalogue", Backend: []string{"--child", "GET/drawings/m1"}},
		e2e.Place{Region: "hawassa", Zone: "hawassa-a", Service: "drawings", Backend: []string{"--answer-bytes", "100000"}},
	)
	answer, err := send(t.Context(), http.MethodGet, system.Upstream(0).Caller, "/catalogue/moulds", "", "")
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, answer.status, must.Sprint(answer.text))
	must.EqOp(t, "catalogue GET /catalogue/moulds \n", answer.text)
}

// A planned stop of the node or of the backend server must not cut off the call
// that is in progress, and the process must end by itself.
func TestPlannedStopFinishesCalls(t *testing.T) {
	cases := map[string]struct {
		stop func(u *e2e.Upstream) *e2e.Process
	}{
		"node":           {func(u *e2e.Upstream) *e2e.Process { return u.Node }},
		"backend server": {func(u *e2e.Upstream) *e2e.Process { return u.Backend }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			system := start(t,
				e2e.Place{Region: "addis", Zone: "addis-a", Service: "orders"},
				e2e.Place{Region: "addis", Zone: "addis-b", Service: "catalogue", Backend: []string{"--service-time", "1s"}},
			)
			upstream := system.Upstream(1)
			type end struct {
				answered
				err error
			}
			ended := make(chan end)
			go func() {
				answer, err := send(t.Context(), http.MethodGet, system.Upstream(0).Caller, "/catalogue/moulds", "", "")
				ended <- end{answer, err}
			}()
			waitRunning(t, upstream)
			stopped := c.stop(upstream)
			must.NoError(t, stopped.Signal(syscall.SIGTERM))
			got := <-ended
			must.NoError(t, got.err)
			must.EqOp(t, http.StatusOK, got.status)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			must.NoError(t, stopped.Wait(ctx), must.Sprint(stopped.Output()))
		})
	}
}

// waitRunning waits until the upstream's node says that a call is running.
func waitRunning(t *testing.T, u *e2e.Upstream) {
	t.Helper()
	for tries := 0; ; tries++ {
		must.Less(t, 500, tries, must.Sprint("no call arrived", u.Node.Output()))
		status, err := send(t.Context(), http.MethodGet, u.Operator, "/lacewingslip/v1/status", "", "")
		must.NoError(t, err)
		if strings.Contains(status.text, `"running":1`) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
