// Package ops serves the operational HTTP interface of a process: metrics,
// health, readiness and profiles.
package ops

import (
	"net/http"
	"net/http/pprof"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"dandelionrelay/invariant"
)

// Readiness reports to load balancers whether the process accepts new work. The zero
// value is not ready. It is safe for concurrent use.
type Readiness struct{ ready, draining atomic.Bool }

// MarkReady makes the process ready, unless it is draining.
func (r *Readiness) MarkReady() { r.ready.Store(true) }

// MarkDraining makes the process unready permanently.
func (r *Readiness) MarkDraining() { r.draining.Store(true) }

// IsReady reports whether the process is ready.
func (r *Readiness) IsReady() bool { return r.ready.Load() && !r.draining.Load() }

// Handler returns a mux that serves /metrics, /healthz, /readyz and /debug/pprof/.
func Handler(reg *prometheus.Registry, ready *Readiness) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready.IsReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

// NewRegistry returns a registry with the metrics of the Go runtime and of the
// process.
func NewRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector())
	reg.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return reg
}

// DroppedLines returns a counter, registered with reg, of log lines that were not
// written.
func DroppedLines(reg prometheus.Registerer) prometheus.Counter {
	dropped := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "relay_log_lines_dropped_total",
		Help: "Log lines that were not written.",
	})
	reg.MustRegister(dropped)
	return dropped
}

// Invariants returns the invariants of a process. A violation is logged, counted
// in relay_invariant_violations_total, and passed to each of handlers that is not
// nil.
func Invariants(reg prometheus.Registerer, log zerolog.Logger, handlers ...func(invariant.Violation)) *invariant.Set {
	violations := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "relay_invariant_violations_total",
		Help: "Violations of the promises of the system, by invariant.",
	}, []string{"invariant"})
	reg.MustRegister(violations)
	for _, name := range invariant.All {
		violations.WithLabelValues(string(name))
	}
	return invariant.New(func(v invariant.Violation) {
		violations.WithLabelValues(string(v.Name)).Inc()
		log.Error().Str("invariant", string(v.Name)).Str("detail", v.Detail).Msg("invariant violated")
		for _, handle := range handlers {
			if handle != nil {
				handle(v)
			}
		}
	})
}
