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

func start(t *testing.T, specs ...e2e.UpstreamSpec) *e2e.System {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	system, err := e2e.Start(ctx, binaries, t.TempDir(), "../../examples/tesfaye", specs...)
	must.NoError(t, err)
	t.Cleanup(system.Close)
	return system
}

type response struct {
	status int
	header http.Header
	text   string
}

// send makes one call on a new connection.
func send(ctx context.Context, method, address, path, key, body string) (a response, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	request.Close = true
	if key != "" {
		request.Header.Set(call.HeaderKey, key)
	}
	request.Header.Set(backend.HeaderBooking, body)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{}, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return response{answer.StatusCode, answer.Header, string(text)}, err
}

// Tests the whole path of a call over separate processes: ingress, sidecar, backend
// server, a child call through the node of the backend server, and the complete response.
func TestPath(t *testing.T) {
	system := start(t,
		e2e.UpstreamSpec{Region: "addis", Zone: "addis-a", Service: "orders"},
		e2e.UpstreamSpec{Region: "addis", Zone: "addis-b", Service: "catalogue", BackendArguments: []string{"--child", "GET/drawings/m1"}},
		e2e.UpstreamSpec{Region: "hawassa", Zone: "hawassa-a", Service: "drawings", BackendArguments: []string{"--answer-bytes", "100000"}},
	)
	answer, err := send(t.Context(), http.MethodGet, system.Upstream(0).CallerAddress, "/catalogue/moulds", "", "")
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, answer.status, must.Sprint(answer.text))
	must.EqOp(t, "catalogue GET /catalogue/moulds \n", answer.text)
}

// Guards against a planned stop of the node or of the backend server that cuts off the
// call in progress, or after which the process does not end by itself.
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
				e2e.UpstreamSpec{Region: "addis", Zone: "addis-a", Service: "orders"},
				e2e.UpstreamSpec{Region: "addis", Zone: "addis-b", Service: "catalogue", BackendArguments: []string{"--service-time", "1s"}},
			)
			upstream := system.Upstream(1)
			type end struct {
				response
				err error
			}
			ended := make(chan end)
			go func() {
				answer, err := send(t.Context(), http.MethodGet, system.Upstream(0).CallerAddress, "/catalogue/moulds", "", "")
				ended <- end{answer, err}
			}()
			waitCallRunning(t, upstream)
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

// waitCallRunning waits until the node of the upstream reports a running call.
func waitCallRunning(t *testing.T, u *e2e.Upstream) {
	t.Helper()
	for tries := 0; ; tries++ {
		must.Less(t, 500, tries, must.Sprint("no call arrived", u.Node.Output()))
		status, err := send(t.Context(), http.MethodGet, u.OperatorAddress, "/lacewingslip/v1/status", "", "")
		must.NoError(t, err)
		if strings.Contains(status.text, `"running":1`) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
