package load

import (
	"time"
)

// bucket is the exact token bucket of a customer's rate limit.
type bucket struct {
	limit, burst float64 // requests per second, requests
	tokens       float64
	at           time.Duration // of the last request
}

func newBucket(c Customer) *bucket {
	return &bucket{limit: c.Limit, burst: c.Burst, tokens: c.Burst}
}

// take reports whether a request at a time since the start of the run is within the
// limit, and consumes a token if so. A limit of 0 admits all.
func (b *bucket) take(at time.Duration) bool {
	if b.limit == 0 {
		return true
	}
	b.tokens = min(b.burst, b.tokens+b.limit*(at-b.at).Seconds())
	b.at = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// countWithinLimit returns, for each customer, the number of arrivals within its rate
// and burst.
func (p *Plan) countWithinLimit(arrivals []Arrival) map[string]int {
	buckets := make([]*bucket, len(p.Customers))
	for n, c := range p.Customers {
		buckets[n] = newBucket(c)
	}
	counts := make(map[string]int, len(p.Customers))
	for _, a := range arrivals {
		if buckets[a.Customer].take(a.At) {
			counts[p.Customers[a.Customer].Name]++
		}
	}
	return counts
}

// refusedWithinLimit returns the number of requests that were refused although the rate
// limit left room for them: the requests within the limit less those with a complete
// response, but at most the number of refused requests.
func (c *CustomerStats) refusedWithinLimit() int {
	refused := 0
	for _, n := range c.Refused {
		refused += n
	}
	return max(0, min(refused, c.WithinLimit-c.Done))
}

// servedShare returns the number of requests with a complete response as a share of the
// requests within the rate limit, at most 1. It returns 1 if none is within the limit.
func (c *CustomerStats) servedShare() float64 {
	if c.WithinLimit == 0 {
		return 1
	}
	return min(1, float64(c.Done)/float64(c.WithinLimit))
}

// minServedShare returns the lowest served share of all customers.
func (r *Result) minServedShare() float64 {
	lowest := 1.0
	for _, stats := range r.Customers {
		lowest = min(lowest, stats.servedShare())
	}
	return lowest
}

// totalsWithinLimit returns the sums over all customers of the requests within the rate
// limit and of those that were refused although the limit left room for them.
func (r *Result) totalsWithinLimit() (withinLimit, refused int) {
	for _, stats := range r.Customers {
		withinLimit += stats.WithinLimit
		refused += stats.refusedWithinLimit()
	}
	return withinLimit, refused
}
