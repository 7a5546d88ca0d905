package node_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip"
	"github.com/lacewingslip/lacewingslip/examples"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
	"github.com/lacewingslip/lacewingslip/timeline"
)

// Guards against documented events and metrics that no node provides. Each hop of a
// call must record them.
func TestCallIsObservedAtEachHop(t *testing.T) {
	root, branches, err := examples.Tesfaye()
	must.NoError(t, err)
	system, err := loopback.Start(t.Context(), loopback.WithTree(root, branches...),
		loopback.WithUpstream("addis", "addis-a", backend.New("orders", backend.WithChildren(
			backend.Child{Method: http.MethodGet, Service: "catalogue", Path: "/stock/egg-tray-30"}))),
		loopback.WithUpstream("hawassa", "hawassa-a", backend.New("catalogue")))
	must.NoError(t, err)
	defer system.Stop(t.Context())
	client, err := lacewingslip.New([]string{system.Caller(0)})
	must.NoError(t, err)
	_, err = client.Do(t.Context(), lacewingslip.Request{Service: "orders", Path: "/7"})
	must.NoError(t, err)

	var events [][]timeline.Event
	for _, u := range system.Upstreams() {
		page, err := timeline.Fetch(t.Context(), http.DefaultClient, u.Node().OperatorAddress(), timeline.Filter{})
		must.NoError(t, err)
		events = append(events, page.Events)
	}
	var started []string
	for _, e := range timeline.Merge(events...) {
		if e.Name == "callStarted" {
			started = append(started, e.Node+" "+e.Attribute(timeline.KeyService))
		}
	}
	must.Eq(t, []string{"n1 orders", "n2 catalogue"}, started)

	first, second := scrape(t, system, 0), scrape(t, system, 1)
	for _, hop := range []string{
		`hop="ingress",importance="normal",outcome="answered",reason="",service="orders"`,
		`hop="sidecar",importance="normal",outcome="answered",reason="",service="orders"`,
		`hop="egress",importance="normal",outcome="answered",reason="",service="catalogue"`,
	} {
		must.StrContains(t, first, `lacewingslip_calls_total{`+hop+`} 1`)
	}
	must.StrContains(t, second, `hop="sidecar",importance="normal",outcome="answered",reason="",service="catalogue"} 1`)
	must.StrContains(t, first, `lacewingslip_cross_region_bytes_total{region="hawassa",service="catalogue"}`)
	must.StrNotContains(t, second, `lacewingslip_cross_region_bytes_total{`)
}

func scrape(t *testing.T, system *loopback.System, i int) string {
	t.Helper()
	resp, err := http.Get("http://" + system.Upstreams()[i].Node().OperatorAddress() + "/metrics")
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return string(body)
}
