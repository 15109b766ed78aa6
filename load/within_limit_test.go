package load

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandelionrelay/api"
)

func TestPlan_CountsRequestsWithinRateLimit(t *testing.T) {
	g := NewWithT(t)
	p := &Plan{Customers: []Customer{{Name: "a", Limit: 2, Burst: 3}, {Name: "free"}}}
	var arrivals []Arrival
	for n := range 10 { // 5 per second for 2 s; the limit admits a burst of 3, then 2 per second
		at := time.Duration(n) * 200 * time.Millisecond
		arrivals = append(arrivals, Arrival{At: at}, Arrival{At: at, Customer: 1})
	}
	g.Expect(p.countWithinLimit(arrivals)).To(Equal(map[string]int{"a": 6, "free": 10}))
}

func TestCustomerStats_IgnoresRefusalsBeyondRateLimit(t *testing.T) {
	g := NewWithT(t)
	greedy := &CustomerStats{Sent: 50, WithinLimit: 10, Done: 10, Refused: map[api.Code]int{"rate_limited": 40}}
	g.Expect(greedy.refusedWithinLimit()).To(BeZero())
	g.Expect(greedy.servedShare()).To(Equal(1.0))
	refused := &CustomerStats{Sent: 10, WithinLimit: 10, Done: 7, Incomplete: 1, Refused: map[api.Code]int{"overloaded": 2}}
	g.Expect(refused.refusedWithinLimit()).To(Equal(2))
	r := &Result{Customers: map[string]*CustomerStats{"g": greedy, "w": refused}}
	g.Expect(r.minServedShare()).To(Equal(0.7))
}
