package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionrelay/api"
)

// Range of the histograms in microseconds, and their precision in significant digits.
const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// CustomerStats holds the counts and latencies of one customer's online requests.
type CustomerStats struct {
	Sent        int
	WithinLimit int // planned requests within the customer's rate and burst
	Done        int // with a complete response
	Refused     map[api.Code]int
	Incomplete  int                     // failed without a response, or with an incomplete one
	Tokens      int                     // generated
	Cached      int                     // prompt tokens found in an endpoint's cache
	Prompt      int                     // prompt tokens
	FirstToken  *hdrhistogram.Histogram // time to the first token, in microseconds
	Latency     *hdrhistogram.Histogram // time to the end of the response, in microseconds
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
	ID        string // empty: not accepted, or sent as online requests
	Items     int
	Completed int           // including failed items of a job, but not of one sent as online requests
	Duration  time.Duration // from submission to the last item, or to the end of the run
}

func newResult(p *Plan) *Result {
	r := &Result{Customers: make(map[string]*CustomerStats, len(p.Customers))}
	for _, c := range p.Customers {
		r.Customers[c.Name] = newCustomerStats()
	}
	return r
}

// requestResult is the result of one online request.
type requestResult struct {
	code       api.Code // of a refusal; empty: not refused
	incomplete bool
	firstToken time.Duration
	latency    time.Duration
	usage      api.Usage
}

// add records the result of one request of a customer. Latencies count for complete
// responses only.
func (r *Result) add(customer string, result requestResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.Customers[customer]
	stats.Sent++
	switch {
	case result.incomplete:
		stats.Incomplete++
	case result.code != "":
		stats.Refused[result.code]++
	default:
		stats.Done++
		stats.Tokens += result.usage.CompletionTokens
		stats.Prompt += result.usage.PromptTokens
		stats.Cached += result.usage.CachedTokens
		_ = stats.FirstToken.RecordValue(max(histogramMin, result.firstToken.Microseconds()))
		_ = stats.Latency.RecordValue(max(histogramMin, result.latency.Microseconds()))
	}
}

// Total returns the sums over all customers, without WithinLimit.
func (r *Result) Total() *CustomerStats {
	total := newCustomerStats()
	for _, stats := range r.Customers {
		total.Sent += stats.Sent
		total.Done += stats.Done
		total.Incomplete += stats.Incomplete
		total.Tokens += stats.Tokens
		total.Prompt += stats.Prompt
		total.Cached += stats.Cached
		for code, n := range stats.Refused {
			total.Refused[code] += n
		}
		total.FirstToken.Merge(stats.FirstToken)
		total.Latency.Merge(stats.Latency)
	}
	return total
}
