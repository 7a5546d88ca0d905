package mesh

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

// Guards against a request that a stopping node accepts and then cuts, and against a call
// that is refused although it could be answered.
func TestStopAcceptsOnlyWhatItCanAnswer(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		grace, at time.Duration
		request   lateRequest
		accepted  bool
	}{
		"just after SIGTERM":                 {6 * s, 0, lateRequest{responseTime: 20 * s}, true},
		"customer in time":                   {6 * s, 2500 * time.Millisecond, lateRequest{responseTime: 2 * s}, true},
		"customer that takes too long":       {6 * s, 2500 * time.Millisecond, lateRequest{responseTime: 3 * s}, false},
		"customer that comes late":           {6 * s, 2800 * time.Millisecond, lateRequest{responseTime: s / 10}, false},
		"customer of unknown duration":       {6 * s, 2800 * time.Millisecond, lateRequest{}, false},
		"call":                               {6 * s, 4900 * time.Millisecond, lateRequest{mayBeCall: true, responseTime: s / 10}, true},
		"call that takes too long":           {6 * s, 3 * s, lateRequest{mayBeCall: true, responseTime: 2500 * time.Millisecond}, false},
		"call of unknown duration":           {6 * s, 3 * s, lateRequest{mayBeCall: true}, true},
		"late call of unknown duration":      {6 * s, 4 * s, lateRequest{mayBeCall: true}, false},
		"customer, short grace":              {2 * s, 1100 * time.Millisecond, lateRequest{responseTime: s / 10}, false},
		"call, short grace":                  {2 * s, 1500 * time.Millisecond, lateRequest{mayBeCall: true, responseTime: s / 10}, true},
		"call that takes long, short grace":  {2 * s, 1100 * time.Millisecond, lateRequest{mayBeCall: true, responseTime: s}, false},
		"customer, long grace":               {10 * s, 2800 * time.Millisecond, lateRequest{responseTime: s / 10}, false},
		"call that takes long, long grace":   {10 * s, 5 * s, lateRequest{mayBeCall: true, responseTime: 4 * s}, true},
		"call at the deadline, long grace":   {10 * s, 9200 * time.Millisecond, lateRequest{mayBeCall: true, responseTime: s / 10}, false},
		"call of unknown duration, 10 s":     {10 * s, 4 * s, lateRequest{mayBeCall: true}, false},
		"call of unknown duration, in time":  {10 * s, 3600 * time.Millisecond, lateRequest{mayBeCall: true}, true},
		"customer that takes long, in time":  {10 * s, 2600 * time.Millisecond, lateRequest{responseTime: 6 * s}, true},
		"customer that takes far too long":   {10 * s, 2600 * time.Millisecond, lateRequest{responseTime: 7 * s}, false},
		"customer, short grace, in time":     {2 * s, 900 * time.Millisecond, lateRequest{responseTime: s / 2}, true},
		"customer, short grace, duration ?":  {2 * s, 900 * time.Millisecond, lateRequest{}, true},
		"customer, short grace, long answer": {2 * s, 900 * time.Millisecond, lateRequest{responseTime: s}, false},
	} {
		t.Run(name, func(t *testing.T) {
			started := time.Now()
			must.EqOp(t, c.accepted, newStopSchedule(started, c.grace).accepts(started.Add(c.at), c.request))
		})
	}
}

// Guards against a request that waits for a slot at a stopping node and gets it when it can
// no longer finish.
func TestWaitingRequestsAreRefusedInTime(t *testing.T) {
	for name, c := range map[string]struct{ longestRun, refusal time.Duration }{
		"unknown":  {0, 5 * time.Second},
		"short":    {100 * time.Millisecond, 5 * time.Second},
		"long":     {time.Second, 4200 * time.Millisecond},
		"too long": {10 * time.Second, customerAcceptTime},
	} {
		t.Run(name, func(t *testing.T) {
			started := time.Now()
			must.EqOp(t, c.refusal, newStopSchedule(started, 6*time.Second).waitingRefusal(c.longestRun).Sub(started))
		})
	}
}

// Guards against a stopping node that relies on response times that were exceeded lately, or
// that refuses calls for one that was long ago.
func TestLongestTimesAreRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		times := newLongestTimes()
		times.record(time.Now(), "a", 2*time.Second)
		time.Sleep(longestTimeWindow)
		times.record(time.Now(), "a", time.Second)
		times.record(time.Now(), "b", 3*time.Second)
		must.EqOp(t, 2*time.Second, times.ofRoute(time.Now(), "a"))
		must.EqOp(t, 0, times.ofRoute(time.Now(), "c"))
		must.EqOp(t, 3*time.Second, times.ofAll(time.Now()))
		time.Sleep(longestTimeWindow)
		must.EqOp(t, time.Second, times.ofRoute(time.Now(), "a"))
		time.Sleep(2 * longestTimeWindow)
		must.EqOp(t, 0, times.ofRoute(time.Now(), "a"))
	})
}

// Guards against a booking that a stopping node accepts too late, passes on and cuts at the
// end of the grace time, and against a refused call of a request that still runs.
func TestLateBookingsAreRefusedAndCallsAreNot(t *testing.T) {
	const grace = 4 * time.Second
	d := newDeployment(t, "catalogue", "orders")
	desk := operator.Route{Name: "desk", Service: "catalogue", Timeout: 20 * time.Second, Attempts: 1}
	booking := once("once")
	booking.Timeout = 20 * time.Second
	d.publish(desk, booking, safe("safe"))
	d.awaitConvergence()
	stopping := d.vms[0]
	settings := stopping.settings
	settings.Bounds.Grace = grace
	stopping.node.Reload(settings)
	running, finish := make(chan struct{}), make(chan struct{})
	stopping.server.SetRunHook(func(*http.Request) bool {
		close(running)
		<-finish
		return true
	})
	for n := range 20 {
		must.EqOp(t, http.StatusOK, d.call(stopping, http.MethodPost, "/safe/", "earlier-"+string(rune('a'+n))).status)
	}
	answered := make(chan callerResult, 1)
	go func() {
		request, _ := operator.Request(stopping.settings.Listen.Caller, http.MethodGet, "/desk/", "parent", 8*time.Second)
		answered <- roundTrip(request)
	}()
	<-running
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.node.Stop(context.Background()) }()
	eventually(t, stopping.node.lifecycle.stopping.Load)
	started := time.Now()
	time.Sleep(time.Until(started.Add(grace / 2)))
	late, err := operator.Request(stopping.settings.Listen.Caller, http.MethodPost, "/once/", "late", 15*time.Second)
	must.NoError(t, err)
	must.EqOp(t, http.StatusServiceUnavailable, roundTrip(late).status)
	must.EqOp(t, 0, d.runs("late"))
	time.Sleep(time.Until(started.Add(grace * 13 / 20)))
	must.EqOp(t, http.StatusOK, d.call(stopping, http.MethodPost, "/safe/", "call").status)
	close(finish)
	r := <-answered
	must.NoError(t, r.err)
	must.EqOp(t, http.StatusOK, r.status)
	must.NoError(t, <-stopped)
}
