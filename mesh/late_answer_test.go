package mesh

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
)

// Guards against a late second copy of a refusal that passes for the answer to the next
// request on the connection, or to the next attempt of the same request. That request
// would be reported as not run, and sent elsewhere, although it runs.
func TestLateCopyOfRefusal(t *testing.T) {
	for name, behaviour := range map[string]server.Behaviour{
		"without ID": server.ShedTwice, "with ID": server.ShedTwiceWithID,
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "catalogue")
			n := 0
			d.vms[0].server.SetBehaviour(func(*http.Request) server.Behaviour {
				if n++; n%2 == 0 {
					return behaviour
				}
				return server.Answer
			})
			for n := range 30 {
				id := fmt.Sprintf("a%d", n)
				r := d.call(d.vms[1], http.MethodPost, "/once/", id)
				must.NoError(t, r.err)
				runs := d.runs(id)
				must.LessEq(t, 1, runs)
				if r.status == http.StatusServiceUnavailable {
					must.Eq(t, 0, runs)
				}
			}
		})
	}
}

// Guards against a late second copy of a refusal by another instance than the expected one,
// which arrives once this node expects the instance that answers. Without an ID, it would
// pass for the answer to a request that runs.
func TestLateCopyOfMisdirectedRefusal(t *testing.T) {
	d := newDeployment(t, "orders", "catalogue")
	v := d.vms[0]
	v.server.RepeatMisdirected()
	v.startMs++
	status, err := operator.Announce(t.Context(), v.settings.Listen.Announce, operator.Announcement{
		Instance: "i-other", Service: v.settings.Service, Address: v.settings.Backend, Zone: v.settings.Zone, State: "ready",
		StartMs: v.startMs, Sequence: 1, Slots: 8,
	})
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	r := d.call(d.vms[1], http.MethodPost, "/once/", "refused")
	must.NoError(t, r.err)
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, 0, d.runs("refused"))
	v.startMs++
	d.announce(v, "ready")
	for n := range 5 {
		id := fmt.Sprintf("a%d", n)
		r := d.call(d.vms[1], http.MethodPost, "/once/", id)
		must.NoError(t, r.err)
		must.Eq(t, 1, d.runs(id))
		must.Eq(t, http.StatusOK, r.status)
	}
}

// A backend server in trouble may send bytes without end. Its caller gets 502, and not
// 504 when the time-out of the route has passed, or an answer that does not look
// complete.
func TestEndlessAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour server.Behaviour
		cut       bool
	}{
		"head":                    {behaviour: server.EndlessHead},
		"informational responses": {behaviour: server.EndlessInformational},
		"body":                    {behaviour: server.EndlessBody, cut: true},
		"status line":             {behaviour: server.EndlessStatusLine},
		"garbage":                 {behaviour: server.EndlessGarbage},
		"line breaks":             {behaviour: server.EndlessLineBreaks},
		"chunk size":              {behaviour: server.EndlessChunkSize},
		"chunk extension":         {behaviour: server.EndlessChunkExtension},
		"trailers":                {behaviour: server.EndlessTrailers},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "orders", "catalogue")
			d.vms[0].server.SetBehaviour(func(*http.Request) server.Behaviour { return c.behaviour })
			r := d.call(d.vms[1], http.MethodPost, "/once/", "a")
			if c.cut {
				must.Error(t, r.err)
				return
			}
			must.NoError(t, r.err)
			must.Eq(t, http.StatusBadGateway, r.status)
		})
	}
}
