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

// Buckets of the stream histograms, in seconds. The latency targets for the
// first token and for the gap between tokens are among the bucket bounds.
var (
	firstTokenBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 5, 10, 30, 60}
	tokenGapBuckets   = []float64{0.005, 0.01, 0.015, 0.02, 0.025, 0.029, 0.035, 0.05, 0.1, 0.25, 1, 5}
)

// Metrics holds the metrics of requests and streams. All Handlers of a process
// share one.
type Metrics struct {
	requests   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstToken *prometheus.HistogramVec
	tokenGap   *prometheus.HistogramVec
	events     *prometheus.CounterVec
}

// NewMetrics returns Metrics registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_requests_total",
			Help: "Requests answered, by customer, error code (empty: none) and outcome.",
		}, []string{"customer", "code", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
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
	reg.MustRegister(m.requests, m.duration, m.firstToken, m.tokenGap, m.events)
	return m
}

// recordRequest counts a finished call, with the code of err if it is not nil.
func (m *Metrics) recordRequest(c *pipeline.Call, err *api.Error, took time.Duration) {
	m.duration.WithLabelValues(c.RouteID).Observe(took.Seconds())
	code, outcome := api.Code(""), api.Done
	if err != nil {
		code, outcome = err.Code, err.Outcome
	}
	m.requests.WithLabelValues(c.Customer, string(code), string(outcome)).Inc()
}

// eventStream is the content type of streamed responses.
const eventStream = "text/event-stream"

// streamWriter is a ResponseWriter that measures when the events of a stream are
// sent. It serves one call and is not safe for concurrent use.
type streamWriter struct {
	http.ResponseWriter
	call        *pipeline.Call
	metrics     *Metrics
	tokenGap    prometheus.Observer // nil before the first event
	events      prometheus.Counter
	lastEventAt time.Time // when the last event was sent
	notStream   bool      // the response is not a stream
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *streamWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter. Each call on a stream is counted as one
// event.
func (w *streamWriter) Write(b []byte) (int, error) {
	pipeline.ExtendWriteDeadline(w.ResponseWriter)
	n, err := w.ResponseWriter.Write(b)
	if !w.notStream {
		w.recordEvent(time.Now())
	}
	return n, err
}

// recordEvent records an event sent at now.
func (w *streamWriter) recordEvent(now time.Time) {
	switch {
	case w.tokenGap != nil:
		w.tokenGap.Observe(now.Sub(w.lastEventAt).Seconds())
	case strings.HasPrefix(w.Header().Get("Content-Type"), eventStream):
		beside := strconv.FormatBool(w.call.BesideBatch)
		w.metrics.firstToken.WithLabelValues(beside).Observe(now.Sub(w.call.Received).Seconds())
		w.tokenGap = w.metrics.tokenGap.WithLabelValues(beside)
		w.events = w.metrics.events.WithLabelValues(w.call.Customer)
	default:
		w.notStream = true
		return
	}
	w.lastEventAt = now
	w.events.Inc()
}
