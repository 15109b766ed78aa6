package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
)

// Buckets of the histograms of streams, in seconds. They hold the targets of
// the first token and of the time between tokens as bounds.
var (
	firstTokenBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 5, 10, 30, 60}
	tokenGapBuckets   = []float64{0.005, 0.01, 0.015, 0.02, 0.025, 0.029, 0.035, 0.05, 0.1, 0.25, 1, 5}
)

// Metrics counts what fronts answer. The fronts of a process share one.
type Metrics struct {
	answered   *prometheus.CounterVec
	seconds    *prometheus.HistogramVec
	firstToken *prometheus.HistogramVec
	tokenGap   *prometheus.HistogramVec
	events     *prometheus.CounterVec
}

// NewMetrics returns the metrics of fronts, registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		answered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_requests_total",
			Help: "Requests answered, by customer, error code (empty: none) and outcome.",
		}, []string{"customer", "code", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "relay_request_duration_seconds",
			Help:    "Time from the request read to its answer sent, by route.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 17),
		}, []string{"route"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "relay_first_token_seconds",
			Help:    "Time from the request read to the first event of its stream sent, by whether batch items ran at the endpoint when it came there.",
			Buckets: firstTokenBuckets,
		}, []string{"beside_batch"}),
		tokenGap: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "relay_token_gap_seconds",
			Help:    "Time between two events of one stream sent to a caller, labelled as the first token.",
			Buckets: tokenGapBuckets,
		}, []string{"beside_batch"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_stream_events_total",
			Help: "Events of streams sent to callers, by customer: one for each token, and one or two beside.",
		}, []string{"customer"}),
	}
	reg.MustRegister(m.answered, m.seconds, m.firstToken, m.tokenGap, m.events)
	return m
}

// finished counts an answered call.
func (m *Metrics) finished(c *pipeline.Call, err *api.Error, took time.Duration) {
	m.seconds.WithLabelValues(c.RouteID).Observe(took.Seconds())
	code, outcome := api.Code(""), api.Done
	if err != nil {
		code, outcome = err.Code, err.Outcome
	}
	m.answered.WithLabelValues(c.Customer, string(code), string(outcome)).Inc()
}

// eventStream is the content type of streams.
const eventStream = "text/event-stream"

// watchedWriter observes when the events of a stream are sent. It belongs to
// one call.
type watchedWriter struct {
	http.ResponseWriter
	call    *pipeline.Call
	metrics *Metrics
	gap     prometheus.Observer // nil before the first event
	events  prometheus.Counter
	last    time.Time // when the last event was sent
	plain   bool      // the answer is no stream
}

// Unwrap is for http.ResponseController.
func (w *watchedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter. Streams are written event by event.
func (w *watchedWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	if !w.plain {
		w.sent(time.Now())
	}
	return n, err
}

// sent notes that an event was sent.
func (w *watchedWriter) sent(now time.Time) {
	switch {
	case w.gap != nil:
		w.gap.Observe(now.Sub(w.last).Seconds())
	case strings.HasPrefix(w.Header().Get("Content-Type"), eventStream):
		beside := strconv.FormatBool(w.call.BesideBatch)
		w.metrics.firstToken.WithLabelValues(beside).Observe(now.Sub(w.call.Received).Seconds())
		w.gap = w.metrics.tokenGap.WithLabelValues(beside)
		w.events = w.metrics.events.WithLabelValues(w.call.Customer)
	default:
		w.plain = true
		return
	}
	w.last = now
	w.events.Inc()
}
