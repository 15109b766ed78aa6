package load

import (
	"time"
)

// bucket is a customer's rate and burst, counted without any error.
type bucket struct {
	limit, burst float64
	tokens       float64
	at           time.Duration // of the last request
}

func newBucket(c Customer) *bucket {
	return &bucket{limit: c.Limit, burst: c.Burst, tokens: c.Burst}
}

// take reports whether a request at a time since the start is inside the rate.
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

// inside counts each customer's arrivals that are inside its rate and burst.
func (p *Plan) inside(arrivals []Arrival) map[string]int {
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

// refusedInside returns how many requests were refused although the customer
// stayed inside its rate: those that its rate and burst leave room for, less
// those that were answered, as far as they were refused.
func (t *CustomerStats) refusedInside() int {
	refused := 0
	for _, n := range t.Refused {
		refused += n
	}
	return max(0, min(refused, t.WithinLimit-t.Done))
}

// servedShare returns the share that was answered of the requests inside the
// customer's rate, at most 1.
func (t *CustomerStats) servedShare() float64 {
	if t.WithinLimit == 0 {
		return 1
	}
	return min(1, float64(t.Done)/float64(t.WithinLimit))
}

// worstShare returns the served share of the customer that fared worst.
func (r *Result) worstShare() float64 {
	worst := 1.0
	for _, t := range r.Customers {
		worst = min(worst, t.servedShare())
	}
	return worst
}

// insideTotals adds up all customers: the requests inside their rates, and
// those of them that were refused.
func (r *Result) insideTotals() (inside, refused int) {
	for _, t := range r.Customers {
		inside += t.WithinLimit
		refused += t.refusedInside()
	}
	return inside, refused
}
