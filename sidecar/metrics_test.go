package sidecar_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/sidecar"
	"dandelionrelay/standin/engine"
)

// withMetrics returns an option of newFixture that sets the metrics registry.
func withMetrics(reg *prometheus.Registry) func(*sidecar.Settings, *sidecar.Deps) {
	return func(_ *sidecar.Settings, d *sidecar.Deps) { d.Metrics = reg }
}

// sumSeries returns the sum of the series of a metric that have the labels, given
// as alternating names and values. Histograms contribute their sample counts.
func sumSeries(t *testing.T, reg *prometheus.Registry, name string, labels ...string) float64 {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	total := 0.0
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			have := make(map[string]string)
			for _, l := range m.GetLabel() {
				have[l.GetName()] = l.GetValue()
			}
			match := true
			for i := 0; i < len(labels); i += 2 {
				match = match && have[labels[i]] == labels[i+1]
			}
			if match {
				total += m.GetCounter().GetValue() + m.GetGauge().GetValue() + float64(m.GetHistogram().GetSampleCount())
			}
		}
	}
	return total
}

// TestMetrics_SlotTimeAddsUp checks that the slot times by use add up to the
// elapsed time of all slots, with one item in one of two slots.
func TestMetrics_SlotTimeAddsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		reg := prometheus.NewRegistry()
		e, owner := newEngine(t, engine.Options{}), newFakeOwner()
		owner.add(work(0, chat("ledger", 100)))
		f := newFixture(t, e, modelDeployment(2), withBatch(owner), withMetrics(reg))
		start := time.Now()
		f.runBatch()
		eventually(t, "item completes", func() bool { return owner.completedCount() == 1 })
		use := func(use string) float64 { return sumSeries(t, reg, "relay_sidecar_slot_seconds_total", "use", use) }
		elapsed := time.Since(start).Seconds()
		g.Expect(use("batch") + use("idle") + use("online")).To(gomega.BeNumerically("~", 2*elapsed, 1e-6))
		g.Expect(use("batch")).To(gomega.BeNumerically(">", 0))
		g.Expect(use("online")).To(gomega.BeZero())
		g.Expect(sumSeries(t, reg, "relay_sidecar_batch_items_total", "state", "done")).To(gomega.Equal(1.0))
		g.Expect(sumSeries(t, reg, "relay_sidecar_batch_tokens_total")).To(gomega.Equal(100.0))
		g.Expect(sumSeries(t, reg, "relay_sidecar_wait_seconds", "lane", "batch")).To(gomega.Equal(1.0))
		g.Expect(sumSeries(t, reg, "relay_sidecar_pulls_total", "result", "items")).To(gomega.Equal(1.0))
		before := use("batch")
		time.Sleep(time.Minute)
		g.Expect(use("batch")).To(gomega.Equal(before), "no item runs")
	})
}

// TestMetrics_FirstTokenLabelledByBatch checks the label beside_batch of a request
// without batch items and of one that preempts a batch item.
func TestMetrics_FirstTokenLabelledByBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		reg := prometheus.NewRegistry()
		e, owner := newEngine(t, engine.Options{}), newFakeOwner()
		f := newFixture(t, e, modelDeployment(2), withBatch(owner), withMetrics(reg))
		stream := chat("hello", 5)
		stream.Stream = true
		count := func(name, beside string) float64 { return sumSeries(t, reg, name, "beside_batch", beside) }
		g.Expect(f.result(t.Context(), call{id: "1", body: stream}).failure).To(gomega.BeNil())
		g.Expect(count("relay_sidecar_first_token_seconds", "false")).To(gomega.Equal(1.0))
		g.Expect(count("relay_sidecar_first_token_seconds", "true")).To(gomega.BeZero())
		g.Expect(count("relay_sidecar_token_gap_seconds", "false")).To(gomega.BeNumerically(">=", 4))

		for i := range 2 {
			owner.add(work(i, chat(fmt.Sprint("ledger ", i), 5000)))
		}
		f.runBatch()
		eventually(t, "items run", func() bool { return e.InFlight() == 2 })
		g.Expect(f.result(t.Context(), call{id: "2", body: stream}).failure).To(gomega.BeNil())
		g.Expect(count("relay_sidecar_first_token_seconds", "true")).To(gomega.Equal(1.0))
		g.Expect(sumSeries(t, reg, "relay_sidecar_first_token_seconds", "online_load", "under_half")).To(gomega.Equal(2.0))
		g.Expect(sumSeries(t, reg, "relay_sidecar_preemptions_total")).To(gomega.Equal(1.0))
	})
}

// TestMetrics_RefusalsCountedByCode checks that a request to a draining endpoint
// is counted by code and outcome.
func TestMetrics_RefusalsCountedByCode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		reg := prometheus.NewRegistry()
		f := newFixture(t, newEngine(t, engine.Options{}), modelDeployment(2), withMetrics(reg))
		f.sidecar.StartDrain()
		g.Expect(f.result(t.Context(), call{id: "1", body: chat("hello", 5)}).failure).NotTo(gomega.BeNil())
		g.Expect(sumSeries(t, reg, "relay_sidecar_refusals_total", "code", "no_endpoint", "outcome", "not_run")).To(gomega.Equal(1.0))
		g.Expect(sumSeries(t, reg, "relay_sidecar_leaving")).To(gomega.Equal(1.0))
	})
}
