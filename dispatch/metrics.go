package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/locality"
)

// metrics holds the counters of a Dispatcher.
type metrics struct {
	attempts         prometheus.Counter
	retries          prometheus.Counter
	retriesDenied    prometheus.Counter
	responsesDropped prometheus.Counter
	streamsResumed   prometheus.Counter
	responsesAborted prometheus.Counter
	localityRefusals *prometheus.CounterVec // by verdict
}

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "relay", Subsystem: "dispatch", Name: name, Help: help,
		})
		if r != nil {
			r.MustRegister(c)
		}
		return c
	}
	localityRefusals := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "relay", Subsystem: "dispatch", Name: "locality_refusals_total",
		Help: "Calls refused as no data centre may run them, by reason: evacuated, outside_homes.",
	}, []string{"reason"})
	for _, v := range []locality.Verdict{locality.Evacuated, locality.OutsideHomes} {
		localityRefusals.WithLabelValues(v.String())
	}
	if r != nil {
		r.MustRegister(localityRefusals)
	}
	return &metrics{
		localityRefusals: localityRefusals,
		attempts:         counter("attempts_total", "Attempts sent to sidecars."),
		retries:          counter("repeats_total", "Attempts beyond the first of a call."),
		retriesDenied:    counter("repeats_denied_total", "Repeats that the retry budget denied."),
		responsesDropped: counter("answers_dropped_total", "Answers dropped as they belong to another attempt."),
		streamsResumed:   counter("streams_resumed_total", "Streams continued at another endpoint."),
		responsesAborted: counter("streams_cut_total", "Answers that ended with an error after their first byte."),
	}
}
