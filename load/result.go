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

// CustomerStats is how one customer fared.
type CustomerStats struct {
	Sent        int
	WithinLimit int // of those sent, inside the customer's rate and burst
	Done        int
	Refused     map[api.Code]int
	Incomplete  int                     // answers that were cut or not whole
	Tokens      int                     // generated
	Cached      int                     // prompt tokens found in a cache
	Prompt      int                     // prompt tokens
	FirstToken  *hdrhistogram.Histogram // microseconds
	Latency     *hdrhistogram.Histogram // microseconds
}

func newTally() *CustomerStats {
	return &CustomerStats{
		Refused:    make(map[api.Code]int),
		FirstToken: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		Latency:    hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

// Result is what one run showed.
type Result struct {
	mu        sync.Mutex
	Customers map[string]*CustomerStats
	Jobs      []JobResult
	Elapsed   time.Duration
}

// JobResult is how one batch job fared.
type JobResult struct {
	ID        string
	Items     int
	Completed int
	Duration  time.Duration // from handing in to the last item, or to the end of the run
}

func newResult(p *Plan) *Result {
	r := &Result{Customers: make(map[string]*CustomerStats, len(p.Customers))}
	for _, c := range p.Customers {
		r.Customers[c.Name] = newTally()
	}
	return r
}

// answer is what became of one request.
type answer struct {
	code       api.Code // empty: done
	broken     bool
	firstToken time.Duration
	whole      time.Duration
	usage      api.Usage
}

func (r *Result) add(customer string, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.Customers[customer]
	t.Sent++
	switch {
	case a.broken:
		t.Incomplete++
	case a.code != "":
		t.Refused[a.code]++
	default:
		t.Done++
		t.Tokens += a.usage.CompletionTokens
		t.Prompt += a.usage.PromptTokens
		t.Cached += a.usage.CachedTokens
		_ = t.FirstToken.RecordValue(max(histogramMin, a.firstToken.Microseconds()))
		_ = t.Latency.RecordValue(max(histogramMin, a.whole.Microseconds()))
	}
}

// Total adds up all customers.
func (r *Result) Total() *CustomerStats {
	total := newTally()
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
