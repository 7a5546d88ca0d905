package metrics_test

import (
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/metrics"
)

var ended = metrics.Call{Hop: metrics.Ingress, Service: "orders", Importance: call.Critical, Outcome: call.NotRun, Reason: call.ReasonOverloaded}

// Guards against names and labels that dashboards use and the node does not export.
func TestScrape(t *testing.T) {
	scraped := scrape(t)
	for _, sample := range []string{
		`lacewingslip_calls_total{hop="ingress",importance="critical",outcome="notRun",reason="overloaded",service="orders"} 2`,
		`lacewingslip_call_duration_seconds_bucket{hop="ingress",service="orders",le="0.005"} 1`,
		`lacewingslip_call_duration_seconds_sum{hop="ingress",service="orders"} 1.003`,
		`lacewingslip_retries_total{hop="egress",service="orders"} 1`,
		`lacewingslip_queue_length{service="orders"} 7`,
		`lacewingslip_running{service="orders"} 3`,
		`lacewingslip_limit{service="orders"} 5`,
		`lacewingslip_bookings_total{service="orders",verdict="replay"} 1`,
		`lacewingslip_cross_region_bytes_total{region="hawassa",service="orders"} 4096`,
		`lacewingslip_members{health="alive"} 4`,
		`lacewingslip_settings_offset 17`,
		`lacewingslip_cap_requests_total{verdict="overCap"} 1`,
		`lacewingslip_cap_messages_total{result="answered"} 1`,
		`lacewingslip_share_requests_total{verdict="refused"} 1`,
		`lacewingslip_retry_after_seconds_sum 0.5`,
	} {
		must.StrContains(t, scraped, sample+"\n")
	}
}

// Guards against a difference between the catalogue, which the documentation repeats,
// and the exported metrics.
func TestCatalogueMatchesScrape(t *testing.T) {
	var listed, exported []string
	for _, i := range metrics.Catalogue() {
		listed = append(listed, fmt.Sprintf("# TYPE %s %s", i.Exported, i.Kind))
	}
	for line := range strings.Lines(scrape(t)) {
		if strings.HasPrefix(line, "# TYPE lacewingslip_") {
			exported = append(exported, strings.TrimSpace(line))
		}
	}
	slices.Sort(listed)
	slices.Sort(exported)
	must.Eq(t, listed, exported)
}

// Guards against documentation that lacks or misstates a metric.
func TestPageListsCatalogue(t *testing.T) {
	page, err := os.ReadFile("../docs/operate/metrics.md")
	must.NoError(t, err)
	var listed, want []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `lacewingslip_") {
			listed = append(listed, strings.TrimSpace(line))
		}
	}
	for _, i := range metrics.Catalogue() {
		want = append(want, fmt.Sprintf("| `%s` | %s | `%s` | %s | %s |", i.Exported, i.Kind, i.Unit, strings.Join(i.Labels, ", "), i.Meaning))
	}
	must.Eq(t, want, listed)
}

func BenchmarkCallEnded(b *testing.B) {
	m, err := metrics.New()
	must.NoError(b, err)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.CallEnded(ended, time.Millisecond)
		}
	})
}

func scrape(t *testing.T) string {
	t.Helper()
	m, err := metrics.New()
	must.NoError(t, err)
	m.CallEnded(ended, 3*time.Millisecond)
	m.CallEnded(ended, time.Second)
	m.Retried(metrics.Egress, "orders")
	m.SetLoad("orders", metrics.Load{Running: 3, Limit: 5, Queued: 7})
	m.BookingDecided("orders", "replay")
	m.CrossRegion("orders", "hawassa", 4096)
	m.SetMembers("alive", 4)
	m.SetSettingsOffset(17)
	m.SetPressure("orders", 0.5)
	m.SetDesiredVersion(7)
	m.SetBlockedRequests(1)
	m.SetProofAge(time.Second)
	m.CapDecided(metrics.CapExceeded)
	m.CapMessageSent(true)
	m.LevelAsked(metrics.LevelKnown)
	m.ShareDecided("refused")
	m.ReturnPlanned(500 * time.Millisecond)
	m.SetClientMemory(metrics.ClientHeads, 1, 2)
	m.SetConnections(metrics.OwnConnections, 1, 2)
	m.ClientsRefused(metrics.AnswerCut, 1)
	m.SetCapAccounts(3)
	m.SetCapacity("orders", metrics.Capacity{Pace: 1})
	m.SetCallSuccess("orders", metrics.CallSuccess{SucceededPerS: 40, SustainablePerS: 50, RejectedShare: 0.3, Level: 0.4})

	server := httptest.NewServer(m.Handler())
	defer server.Close()
	resp, err := server.Client().Get(server.URL)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return string(body)
}
