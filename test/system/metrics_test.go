package system

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/batch"
	"dandelionrelay/boottime"
	"dandelionrelay/config"
	"dandelionrelay/gateway"
	"dandelionrelay/ingress"
	"dandelionrelay/invariant"
	"dandelionrelay/ops"
	"dandelionrelay/reload"
	"dandelionrelay/settings"
	"dandelionrelay/standin/fleet"
	"dandelionrelay/standin/keyed"
	"dandelionrelay/standin/streams"
)

// scrape returns the metrics of an instance in the text format of Prometheus.
func (sim *simulation) scrape(i *fleet.Instance) string {
	resp, err := sim.fleet.Client().Get("http://" + i.OpsAddr + "/metrics")
	sim.must(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	sim.must(err)
	return string(text)
}

// lint checks the names, units and help texts of the metrics whose names begin with
// relay_.
func lint(t *testing.T, text string) {
	problems, err := promlint.New(strings.NewReader(text)).Lint()
	if err != nil {
		t.Error(err)
	}
	for _, p := range problems {
		if strings.HasPrefix(p.Metric, "relay_") {
			t.Errorf("%s: %s", p.Metric, p.Text)
		}
	}
}

// The series that the alerts and examples of docs/OPERATIONS.md use: those that each
// entry or sidecar exposes, and those that at least one instance exposes after the
// load of the test.
var (
	entrySeries = []string{
		`relay_customer_rate_requests_per_second{customer="garden"} 20`,
		`relay_customer_burst_requests{customer="garden"} 40`,
		"relay_config_version", "relay_config_age_seconds",
		"relay_batch_items_open", "relay_batch_earliest_due_timestamp_seconds",
	}
	sidecarSeries = []string{
		`relay_sidecar_slot_seconds_total{use="online"}`,
		`relay_sidecar_slot_seconds_total{use="batch"}`,
		`relay_sidecar_slot_seconds_total{use="idle"}`,
		`relay_sidecar_waiting{lane="online"}`, `relay_sidecar_waiting{lane="batch"}`,
		`relay_sidecar_running{lane="online"}`, `relay_sidecar_running{lane="batch"}`,
		"relay_sidecar_batch_tokens_total", "relay_sidecar_preemptions_total",
		"relay_sidecar_suspects_total", "relay_sidecar_endpoint_losses_total",
		"relay_sidecar_slots 6", "relay_sidecar_batch_slots", "relay_sidecar_results_held_bytes 0",
		"relay_config_version", "relay_config_contact_age_seconds",
	}
	anyInstanceSeries = []string{
		`relay_requests_total{code="",customer="garden",outcome="done"}`,
		`relay_request_duration_seconds_count{route="assistant"}`,
		`relay_stream_events_total{customer="garden"}`,
		`relay_first_token_seconds_bucket{beside_batch="false",le="1.8"}`,
		`relay_token_gap_seconds_bucket{beside_batch="false",le="0.029"}`,
		`relay_batch_items_completed_total{customer="garden",failed="false"}`,
		`relay_batch_items_handed_out_total{customer="garden"}`,
		`relay_sidecar_batch_items_total{state="done"}`,
		`relay_sidecar_wait_seconds_count{lane="online"}`, `relay_sidecar_wait_seconds_count{lane="batch"}`,
		`relay_sidecar_first_token_seconds_bucket{beside_batch="false",online_load="under_half",le="1.8"}`,
		`relay_sidecar_token_gap_seconds_bucket{beside_batch="false",online_load="under_half",le="0.029"}`,
		`relay_sidecar_pulls_total{result="items"}`,
		`relay_peer_sent_bytes_total{method="Limit.Take",side="caller"}`,
		`relay_peer_received_bytes_total{method="Limit.Take",side="server"}`,
		`relay_peer_sent_bytes_total{method="Jobs.Pull",side="caller"}`,
		`relay_peer_received_bytes_total{method="Jobs.Report",side="caller"}`,
	}
)

// TestMetrics_OfAllRolesMatchDocs checks that promlint reports no problem in the
// metrics of entries, sidecars and gateways, and that all metrics that
// docs/OPERATIONS.md names exist.
func TestMetrics_OfAllRolesMatchDocs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, nil)
		defer sim.fleet.Close()
		for n := range 60 {
			sim.sendChat("garden", fmt.Sprint("beans ", n), true)
		}
		sim.awaitJob(sim.submitJob("garden", "ledger", 30), "completed")
		var allMetrics strings.Builder
		for _, i := range sim.entries {
			allMetrics.WriteString(sim.checkSeries(i, entrySeries))
		}
		for _, e := range sim.endpoints {
			allMetrics.WriteString(sim.checkSeries(e.Instance, sidecarSeries))
		}
		allMetrics.WriteString(gatewayMetrics(t))
		checkDocumentedMetrics(t, allMetrics.String())
		for _, series := range anyInstanceSeries {
			if !strings.Contains(allMetrics.String(), series) {
				t.Errorf("no instance exposes %s", series)
			}
		}
	})
}

// gatewayMetrics returns the metrics of a gateway with ramps and an evacuation before its
// first request, after linting them.
func gatewayMetrics(t *testing.T) string {
	registry := prometheus.NewRegistry()
	ops.DroppedLines(registry)
	reload.New(&settings.Gateway{}, reload.Options[settings.Gateway]{Metrics: registry})
	ingress.NewProcess(ingress.Machine{}, zerolog.Nop(), registry).Callers(nil, api.WriteError, ingress.AnyHead)
	log := keyed.NewLog(1)
	g := gateway.New(gateway.Deps{
		Providers: gateway.Providers{
			Config:   new(config.Holder),
			Members:  &keyed.Handle{Log: log},
			Suspects: &keyed.Handle{Log: log},
			Levels:   &keyed.Handle{Log: log},
			Jobs:     &keyed.Handle{Log: log},
			Contents: []batch.Store{&keyed.Handle{Log: log}},
			Dialect:  streams.Dialect{},
		},
		Settings: &settings.Gateway{ID: "gateway-1", EndpointRamp: true},
		Clock:    boottime.Now,
		Log:      zerolog.Nop(),
		Registry: registry,
	})
	// Some metrics have series only while there is an evacuation.
	g.ConfigChanged(config.NewSnapshot(1, &config.State{Evacuations: map[string]bool{"a": true}}))
	response := httptest.NewRecorder()
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := response.Body.String()
	lint(t, text)
	return text
}

// checkDocumentedMetrics checks that all metrics that docs/OPERATIONS.md names exist
// in text. Those of the platform's client are left out, as a system in memory does
// not have them.
func checkDocumentedMetrics(t *testing.T, text string) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range regexp.MustCompile(`\brelay_[a-z_]+`).FindAllString(string(page), -1) {
		name = strings.TrimSuffix(name, "_bucket")
		if !strings.HasPrefix(name, "relay_platform_") && !strings.Contains(text, "# TYPE "+name+" ") {
			t.Errorf("docs/OPERATIONS.md names metric %s, which does not exist", name)
		}
	}
}

// checkSeries returns the metrics of an instance after checking that they pass lint
// and include the given series and the counter of each invariant at 0.
func (sim *simulation) checkSeries(i *fleet.Instance, series []string) string {
	text := sim.scrape(i)
	lint(sim.t, text)
	for _, name := range invariant.All {
		series = append(series, fmt.Sprintf("relay_invariant_violations_total{invariant=%q} 0", name))
	}
	for _, s := range series {
		if !strings.Contains(text, s) {
			sim.t.Errorf("instance %s does not expose %s", i.ID, s)
		}
	}
	return text
}

// TestLint_ReportsUnitThatIsNoBaseUnit checks that promlint, which lint calls,
// reports a metric in milliseconds.
func TestLint_ReportsUnitThatIsNoBaseUnit(t *testing.T) {
	text := "# HELP relay_wait_milliseconds x\n# TYPE relay_wait_milliseconds gauge\nrelay_wait_milliseconds 1\n"
	problems, err := promlint.New(strings.NewReader(text)).Lint()
	if err != nil || len(problems) == 0 {
		t.Error("promlint accepts a unit that is not a base unit", err)
	}
}
