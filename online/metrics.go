package online

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/api"
)

// Metrics counts online requests by outcome and measures their latency.
type Metrics struct {
	requests  *prometheus.CounterVec
	firstByte prometheus.Histogram // metric relay_online_first_event_seconds
	duration  prometheus.Histogram

	// continuations counts streams that went on at another endpoint within a response, by
	// whether the version of its software is the same as before.
	continuations *prometheus.CounterVec
}

// latencyBuckets, in seconds, range from a fast first event to a request that ends
// at its deadline.
var latencyBuckets = []float64{.02, .05, .1, .2, .3, .5, 1, 2, 5, 10}

// NewMetrics registers the metrics with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_online_requests_total",
			Help: "Online requests by how they ended.",
		}, []string{"outcome"}),
		firstByte: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "relay_online_first_event_seconds",
			Help:    "Time from the receipt of a request to the first byte of its answer.",
			Buckets: latencyBuckets,
		}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "relay_online_request_seconds",
			Help:    "Time from the receipt of a request to its end.",
			Buckets: latencyBuckets,
		}),
	}
	m.continuations = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "relay_online_continuations_total",
		Help: "Streams that went on at another endpoint within a response, by the version of its software: same, other or unknown.",
	}, []string{"version"})
	for _, version := range []string{versionSame, versionOther, versionUnknown} {
		m.continuations.WithLabelValues(version)
	}
	reg.MustRegister(m.requests, m.firstByte, m.duration, m.continuations)
	for _, outcome := range []string{outcomeAnswered, outcomeCallerLeft, string(api.CodeOverloaded), string(api.CodeConfigStale),
		string(api.CodeNoEndpoint), string(api.CodeEndpointLost), string(api.CodeDeadline)} {
		m.requests.WithLabelValues(outcome)
	}
	return m
}

// Outcomes of requests in the metrics and the log, other than error codes.
const (
	outcomeAnswered   = "answered"
	outcomeCallerLeft = "caller_left"
)

func (m *Metrics) observe(outcome string, took, first time.Duration) {
	m.requests.WithLabelValues(outcome).Inc()
	m.duration.Observe(took.Seconds())
	if first > 0 {
		m.firstByte.Observe(first.Seconds())
	}
}

// Values of the label of continuations.
const (
	versionSame    = "same"
	versionOther   = "other"
	versionUnknown = "unknown"
)

// observeContinuation counts a stream that went on at another endpoint. before and after
// are the versions of the two endpoints; empty: unknown.
func (m *Metrics) observeContinuation(before, after string) {
	label := versionOther
	switch {
	case before == "" || after == "":
		label = versionUnknown
	case before == after:
		label = versionSame
	}
	m.continuations.WithLabelValues(label).Inc()
}
