package batch

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters of runs of items and of listed results.
type Metrics struct {
	runs        *prometheus.CounterVec
	listed      *prometheus.CounterVec
	starts      *prometheus.CounterVec
	preemptions *prometheus.CounterVec
}

// NewMetrics returns Metrics registered with reg. It panics if their names are
// registered already.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_batch_runs_total",
			Help: "Runs of batch items by how they ended.",
		}, []string{"outcome"}),
		listed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_batch_results_total",
			Help: "Results listed by this entry.",
		}, []string{"state"}),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_batch_starts_total",
			Help: "Starts of batch items by the phase of the wave of online requests.",
		}, []string{"phase"}),
		preemptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_batch_preemptions_total",
			Help: "Preemptions of batch items, before or after the first event of their run.",
		}, []string{"events"}),
	}
	reg.MustRegister(m.runs, m.listed, m.starts, m.preemptions)
	for _, phase := range []string{"none", "trough", "peak"} {
		m.starts.WithLabelValues(phase)
	}
	for _, events := range []string{"none", "some"} {
		m.preemptions.WithLabelValues(events)
	}
	for _, o := range []outcome{runCompleted, runFailed, runUnprocessable, runLost, runNotExecuted, runUnmet, runAborted} {
		m.runs.WithLabelValues(string(o))
	}
	for _, state := range []ItemState{Completed, Errored} {
		m.listed.WithLabelValues(string(state))
	}
	return m
}
