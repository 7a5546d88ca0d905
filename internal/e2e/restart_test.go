package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/e2e"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
)

// restartLoad sends lookups and bookings until its context ends, and counts the outcomes
// that the client reported.
type restartLoad struct {
	client           *lacewingslip.Client
	mu               sync.Mutex
	outcomes         map[string]int
	answeredBookings map[string]bool
}

func (l *restartLoad) run(ctx context.Context, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		request := lacewingslip.Request{Service: "orders", Method: http.MethodGet, Path: "/stock"}
		name := fmt.Sprintf("c%d-%d", caller, n)
		if n%2 == 0 {
			request = lacewingslip.Request{
				Service: "orders", Method: http.MethodPost, Path: "/book", Body: []byte(name), Repeat: call.Never,
				Header: http.Header{backend.HeaderBooking: {name}},
			}
		}
		answer, err := l.client.Do(context.WithoutCancel(ctx), request)
		l.recordResult(request, name, answer, err)
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *restartLoad) recordResult(request lacewingslip.Request, name string, _ lacewingslip.Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcome := "answered"
	var failure *lacewingslip.Error
	if errors.As(err, &failure) {
		outcome = failure.Outcome().String() + " " + string(failure.Reason())
	} else if err != nil {
		outcome = err.Error()
	}
	l.outcomes[request.Method+" "+outcome]++
	if request.Repeat == call.Never && err == nil {
		l.answeredBookings[name] = true
	}
}

// Guards against failed calls, bookings that run twice, and bookings that are answered
// but did not run, while every node of a service is stopped and started once under load,
// as in the routine replacement of VMs.
func TestRollingRestartUnderLoad(t *testing.T) {
	specs := make([]e2e.UpstreamSpec, 3)
	for i := range specs {
		specs[i] = e2e.UpstreamSpec{Region: "addis", Zone: "addis-a", Service: "orders", BackendArguments: []string{"--service-time", "20ms"}}
	}
	system := start(t, specs...)
	client, err := lacewingslip.New([]string{system.Upstream(0).CallerAddress, system.Upstream(1).CallerAddress, system.Upstream(2).CallerAddress})
	must.NoError(t, err)
	load := &restartLoad{client: client, outcomes: make(map[string]int), answeredBookings: make(map[string]bool)}
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() { load.run(ctx, caller) })
	}
	for i := range specs {
		time.Sleep(500 * time.Millisecond)
		restart(t, system, system.Upstream(i))
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	callers.Wait()
	t.Log(load.outcomes)

	runs := make(map[string]int)
	for i := range specs {
		upstreamRuns, err := system.Upstream(i).Runs(t.Context())
		must.NoError(t, err)
		for name, n := range upstreamRuns {
			runs[name] += n
		}
	}
	for name, n := range runs {
		must.EqOp(t, 1, n, must.Sprint(name))
	}
	for name := range load.answeredBookings {
		must.EqOp(t, 1, runs[name], must.Sprint(name))
	}
	for outcome := range load.outcomes {
		must.SliceContains(t, []string{"GET answered", "POST answered"}, outcome, must.Sprint(load.outcomes))
	}
}

// restart performs a planned stop of the node and starts it again, while its backend
// server keeps running.
func restart(t *testing.T, system *e2e.System, u *e2e.Upstream) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	must.NoError(t, u.Node.Signal(syscall.SIGTERM))
	must.NoError(t, u.Node.Wait(ctx), must.Sprint(u.Node.Output()))
	must.NoError(t, system.RestartNode(u))
	must.NoError(t, system.WaitReady(ctx))
}
