package sidecar

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/api"
	"dandelionrelay/lane"
)

// Buckets of the histograms, in seconds. Their bounds include the targets of the
// time to first token and of the time between tokens.
var (
	firstTokenBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 5, 10, 30, 60}
	tokenGapBuckets   = []float64{0.005, 0.01, 0.015, 0.02, 0.025, 0.029, 0.035, 0.05, 0.1, 0.25, 1, 5}
	waitBuckets       = []float64{0.001, 0.005, 0.02, 0.1, 0.4, 1, 1.8, 5, 10, 30, 60}
)

// Label values.
const (
	reasonFull     = "queue_full"
	reasonDeadline = "deadline_miss"
	reasonCold     = "endpoint_cold"

	pullItems  = "items"
	pullNone   = "none"
	pullFailed = "failed"

	orderSent    = "sent"
	orderRefused = "refused"
	orderFailed  = "failed"
)

// metrics holds the metrics of a sidecar.
type metrics struct {
	firstToken    *prometheus.HistogramVec
	tokenGap      *prometheus.HistogramVec
	wait          *prometheus.HistogramVec
	refusals      *prometheus.CounterVec
	queueRefusals *prometheus.CounterVec
	preemptions   prometheus.Counter
	pulls         *prometheus.CounterVec
	items         *prometheus.CounterVec
	itemTokens    prometheus.Counter
	suspects      prometheus.Counter
	losses        prometheus.Counter

	badColdStatements prometheus.Counter

	orders *prometheus.CounterVec
}

// newMetrics returns the metrics of a sidecar, registered with reg unless that
// is nil.
func newMetrics(reg prometheus.Registerer) *metrics {
	f := factory{reg}
	m := &metrics{
		firstToken: f.histogramVec("first_token_seconds",
			"Time from an online request's arrival to the first byte of its streamed answer, by whether batch items ran "+
				"when it arrived and by the part of the slots that online requests wanted then.",
			firstTokenBuckets, "beside_batch", "online_load"),
		tokenGap: f.histogramVec("token_gap_seconds",
			"Time between two reads of tokens of one streamed answer, labelled as the first token.",
			tokenGapBuckets, "beside_batch", "online_load"),
		wait: f.histogramVec("wait_seconds",
			"Time from queued to started at the endpoint, by lane.", waitBuckets, "lane"),
		refusals: f.counterVec("refusals_total",
			"Requests that the sidecar answered itself with an error, by code and outcome.", "code", "outcome"),
		queueRefusals: f.counterVec("queue_refusals_total",
			"Requests that the queue refused, by reason.", "reason"),
		preemptions: f.counter("preemptions_total", "Batch items cut for online requests."),
		pulls:       f.counterVec("pulls_total", "Pulls of batch items, by result.", "result"),
		items: f.counterVec("batch_items_total",
			"Batch items that ended here, by state; an item that did not end as done runs again elsewhere.", "state"),
		itemTokens: f.counter("batch_tokens_total", "Tokens that the endpoint generated for batch items."),
		suspects:   f.counter("suspects_total", "Requests and items that ran here after an endpoint had died with them."),
		losses:     f.counter("endpoint_losses_total", "Calls in which the endpoint was lost."),
		badColdStatements: f.counter("bad_cold_statements_total",
			"Responses of the endpoint whose statement of the time for which it remains cold is not valid."),
		orders: f.counterVec("orders_total", "Orders given to the engine, by result.", "result"),
	}
	m.initSeries()
	return m
}

// initSeries creates the series whose label values are known in advance with 0,
// so that their first increase is visible.
func (m *metrics) initSeries() {
	for _, lane := range []api.Lane{api.Online, api.Batch} {
		m.wait.WithLabelValues(string(lane))
	}
	for _, state := range []api.ResultState{api.ResultDone, api.ResultReturned, api.ResultNotRun, api.ResultUnknown} {
		m.items.WithLabelValues(string(state))
	}
	for _, reason := range []string{reasonFull, reasonDeadline, reasonCold} {
		m.queueRefusals.WithLabelValues(reason)
	}
	for _, result := range []string{pullItems, pullNone, pullFailed} {
		m.pulls.WithLabelValues(result)
	}
	for _, result := range []string{orderSent, orderRefused, orderFailed} {
		m.orders.WithLabelValues(result)
	}
}

// factory creates metrics and registers them with reg, unless that is nil.
type factory struct{ reg prometheus.Registerer }

func (f factory) register(c prometheus.Collector) {
	if f.reg != nil {
		f.reg.MustRegister(c)
	}
}

func (f factory) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "relay", Subsystem: "sidecar", Name: name, Help: help})
	f.register(c)
	return c
}

func (f factory) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "relay", Subsystem: "sidecar", Name: name, Help: help}, labels)
	f.register(c)
	return c
}

func (f factory) histogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "relay", Subsystem: "sidecar", Name: name, Help: help, Buckets: buckets,
	}, labels)
	f.register(h)
	return h
}

// arrivalLoad describes the load of the endpoint when an online request arrived.
type arrivalLoad struct {
	besideBatch bool   // batch items ran
	onlineLoad  string // share of the slots that other online requests used or waited for
}

// newArrivalLoad returns the load of an endpoint, given its numbers of slots,
// of online requests, running and waiting, and of running items.
func newArrivalLoad(slots, online, items int) arrivalLoad {
	a := arrivalLoad{besideBatch: items > 0, onlineLoad: "under_half"}
	switch {
	case online >= slots:
		a.onlineLoad = "full"
	case 2*online >= slots:
		a.onlineLoad = "over_half"
	}
	return a
}

// newLatencyObserver returns an observer of the streamed response to req.
func (m *metrics) newLatencyObserver(req *request) *latencyObserver {
	beside := strconv.FormatBool(req.arrivalLoad.besideBatch)
	return &latencyObserver{
		firstToken: m.firstToken.WithLabelValues(beside, req.arrivalLoad.onlineLoad),
		tokenGap:   m.tokenGap.WithLabelValues(beside, req.arrivalLoad.onlineLoad),
		last:       req.Received,
	}
}

// latencyObserver observes the time to first token and the times between tokens
// of one streamed response. A nil latencyObserver observes nothing.
type latencyObserver struct {
	firstToken prometheus.Observer
	tokenGap   prometheus.Observer
	last       time.Time // arrival of the request, then the last read of tokens
}

// observe records that tokens were read at now.
func (o *latencyObserver) observe(now time.Time) {
	if o == nil {
		return
	}
	observer := o.tokenGap
	if o.firstToken != nil {
		observer, o.firstToken = o.firstToken, nil
	}
	observer.Observe(now.Sub(o.last).Seconds())
	o.last = now
}

// observeWait observes the time that t waited in the queue, by lane.
func (m *metrics) observeWait(t *ticket, now time.Time) {
	l := api.Online
	if t.preempt != nil {
		l = api.Batch
	}
	m.wait.WithLabelValues(string(l)).Observe(now.Sub(t.queued).Seconds())
}

// countRefusal counts a request to which the sidecar responds with an error of
// its own.
func (m *metrics) countRefusal(e *api.Error) {
	m.refusals.WithLabelValues(string(e.Code), string(e.Outcome)).Inc()
}

// countQueueRefusal counts a request that the queue refused.
func (m *metrics) countQueueRefusal(r lane.Reason) {
	reason := reasonFull
	switch r {
	case lane.DeadlineMiss:
		reason = reasonDeadline
	case lane.EndpointCold:
		reason = reasonCold
	}
	m.queueRefusals.WithLabelValues(reason).Inc()
}

// countPull counts a pull. items is the number of its items that were accepted.
func (m *metrics) countPull(items int, err error) {
	result := pullItems
	switch {
	case err != nil:
		result = pullFailed
	case items == 0:
		result = pullNone
	}
	m.pulls.WithLabelValues(result).Inc()
}

// countItem counts an item that has ended at this sidecar, and returns r.
func (m *metrics) countItem(r api.Result) api.Result {
	m.items.WithLabelValues(string(r.State)).Inc()
	return r
}

// countResponseTokens counts the tokens of a response to an item that was not
// streamed.
func (m *metrics) countResponseTokens(body []byte) {
	var response struct {
		Usage api.Usage `json:"usage"`
	}
	if json.Unmarshal(body, &response) == nil {
		m.itemTokens.Add(float64(max(0, response.Usage.CompletionTokens)))
	}
}

// countSuspect counts a request or item if it is a suspect.
func (m *metrics) countSuspect(suspect bool) {
	if suspect {
		m.suspects.Inc()
	}
}
