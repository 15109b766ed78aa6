package dispatch

import "github.com/prometheus/client_golang/prometheus"

// metrics counts what the dispatcher did.
type metrics struct {
	attempts prometheus.Counter
	repeats  prometheus.Counter
	denied   prometheus.Counter
	dropped  prometheus.Counter
	resumed  prometheus.Counter
	cut      prometheus.Counter
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
	return &metrics{
		attempts: counter("attempts_total", "Attempts sent to sidecars."),
		repeats:  counter("repeats_total", "Attempts beyond the first of a call."),
		denied:   counter("repeats_denied_total", "Repeats that the retry budget denied."),
		dropped:  counter("answers_dropped_total", "Answers dropped as they belong to another attempt."),
		resumed:  counter("streams_resumed_total", "Streams continued at another endpoint."),
		cut:      counter("streams_cut_total", "Answers that ended with an error after their first byte."),
	}
}
