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

// restartLoad sends lookups and bookings until it is told to stop, and counts
// what their callers were told.
type restartLoad struct {
	client *lacewingslip.Client
	mu     sync.Mutex
	told   map[string]int
	booked map[string]bool
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
		l.note(request, name, answer, err)
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *restartLoad) note(request lacewingslip.Request, name string, _ lacewingslip.Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	told := "answered"
	var failure *lacewingslip.Error
	if errors.As(err, &failure) {
		told = failure.Outcome().String() + " " + string(failure.Reason())
	} else if err != nil {
		told = err.Error()
	}
	l.told[request.Method+" "+told]++
	if request.Repeat == call.Never && err == nil {
		l.booked[name] = true
	}
}

// Every node of a service is stopped and started once under load, as in an
// ordinary day of replaced VMs. No call may fail, no booking may run twice, and
// each booking that was answered must have run.
func TestRollingRestartUnderLoad(t *testing.T) {
	places := make([]e2e.Place, 3)
	for i := range places {
		places[i] = e2e.Place{Region: "addis", Zone: "addis-a", Service: "orders", Backend: []string{"--service-time", "20ms"}}
	}
	system := start(t, places...)
	client, err := lacewingslip.New([]string{system.Upstream(0).Caller, system.Upstream(1).Caller, system.Upstream(2).Caller})
	must.NoError(t, err)
	load := &restartLoad{client: client, told: make(map[string]int), booked: make(map[string]bool)}
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() { load.run(ctx, caller) })
	}
	for i := range places {
		time.Sleep(500 * time.Millisecond)
		restart(t, system, system.Upstream(i))
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	callers.Wait()
	t.Log(load.told)

	runs := make(map[string]int)
	for i := range places {
		ran, err := system.Upstream(i).Runs(t.Context())
		must.NoError(t, err)
		for name, n := range ran {
			runs[name] += n
		}
	}
	for name, n := range runs {
		must.EqOp(t, 1, n, must.Sprint(name))
	}
	for name := range load.booked {
		must.EqOp(t, 1, runs[name], must.Sprint(name))
	}
	for told := range load.told {
		must.SliceContains(t, []string{"GET answered", "POST answered"}, told, must.Sprint(load.told))
	}
}

// restart stops the node as planned and starts it again beside its running
// backend server.
func restart(t *testing.T, system *e2e.System, u *e2e.Upstream) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	must.NoError(t, u.Node.Signal(syscall.SIGTERM))
	must.NoError(t, u.Node.Wait(ctx), must.Sprint(u.Node.Output()))
	must.NoError(t, system.RestartNode(u))
	must.NoError(t, system.Settle(ctx))
}
