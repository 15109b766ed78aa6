package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionrelay/api"
)

// Bounds of the histograms, in microseconds.
const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// CustomerStats are the counts and latencies of one customer's online requests.
type CustomerStats struct {
	Sent        int
	WithinLimit int // planned requests within the customer's rate and burst
	Done        int // with a complete response
	Refused     map[api.Code]int
	Incomplete  int                     // failed without a response, or with an incomplete one
	Tokens      int                     // generated
	Cached      int                     // prompt tokens found in an endpoint's cache
	Prompt      int                     // prompt tokens
	FirstToken  *hdrhistogram.Histogram // microseconds
	Latency     *hdrhistogram.Histogram // microseconds
}

func newCustomerStats() *CustomerStats {
	return &CustomerStats{
		Refused:    make(map[api.Code]int),
		FirstToken: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		Latency:    hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

// Result is the result of one run.
type Result struct {
	mu        sync.Mutex
	Customers map[string]*CustomerStats
	Jobs      []JobResult
	Elapsed   time.Duration
}

// JobResult is the result of one batch job.
type JobResult struct {
	ID        string
	Items     int
	Completed int
	Duration  time.Duration // from submission to the last item, or to the end of the run
}

func newResult(p *Plan) *Result {
	r := &Result{Customers: make(map[string]*CustomerStats, len(p.Customers))}
	for _, c := range p.Customers {
		r.Customers[c.Name] = newCustomerStats()
	}
	return r
}

// outcome is the result of one online request.
type outcome struct {
	code       api.Code // of a refusal; empty: not refused
	incomplete bool
	firstToken time.Duration
	latency    time.Duration
	usage      api.Usage
}

// add records the outcome of one request of a customer. Latencies count for complete
// responses only.
func (r *Result) add(customer string, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.Customers[customer]
	t.Sent++
	switch {
	case o.incomplete:
		t.Incomplete++
	case o.code != "":
		t.Refused[o.code]++
	default:
		t.Done++
		t.Tokens += o.usage.CompletionTokens
		t.Prompt += o.usage.PromptTokens
		t.Cached += o.usage.CachedTokens
		_ = t.FirstToken.RecordValue(max(histogramMin, o.firstToken.Microseconds()))
		_ = t.Latency.RecordValue(max(histogramMin, o.latency.Microseconds()))
	}
}

// Total returns the sums over all customers, without WithinLimit.
func (r *Result) Total() *CustomerStats {
	total := newCustomerStats()
	for _, t := range r.Customers {
		total.Sent += t.Sent
		total.Done += t.Done
		total.Incomplete += t.Incomplete
		total.Tokens += t.Tokens
		total.Prompt += t.Prompt
		total.Cached += t.Cached
		for code, n := range t.Refused {
			total.Refused[code] += n
		}
		total.FirstToken.Merge(t.FirstToken)
		total.Latency.Merge(t.Latency)
	}
	return total
}
