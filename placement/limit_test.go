package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Many entries that do not know of one another's requests use an endpoint that names a
// limit. The sum stays within what its users may send, and comes close to the limit.
func TestLimit_SharedByEntriesWithoutExchange(t *testing.T) {
	for _, n := range []int{1, 3, 7, 34} {
		for _, limit := range []float64{0, 0.5, 1, 3.3, 40} {
			t.Run(fmt.Sprintf("%d entries, limit %g", n, limit), func(t *testing.T) {
				g := gomega.NewWithT(t)
				tables, grants := limitedTables(n, limit)
				const length = 40 * time.Second
				var sent []time.Duration
				for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
					for i, tab := range tables {
						grant, refused := tab.Place(now, testRequest())
						if refused != nil {
							g.Expect(refused.Limited).To(gomega.BeTrue())
							g.Expect(refused.RetryAfter).To(gomega.BeNumerically(">", 0))
							continue
						}
						sent = append(sent, now)
						grant.Release(now, Done, 0)
						grants[i] = grant
						grant.Observe(now, Notice{Limited: true, Limit: limit})
					}
				}
				const window = 4 * time.Second
				for i, at := range sent {
					count := 0
					for _, other := range sent[i:] {
						if other-at < window {
							count++
						}
					}
					g.Expect(float64(count)).To(gomega.BeNumerically("<=", 1.5*limit*window.Seconds()+5))
				}
				g.Expect(float64(len(sent))).To(gomega.BeNumerically(">=", 0.9*limit*length.Seconds()))
			})
		}
	}
}

// limitedTables returns the tables of n entries that have just learned the limit of their
// only endpoint, and the grants under which they learned it.
func limitedTables(n int, limit float64) ([]*Table, []*Grant) {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("entry-", i))
	}
	var tables []*Table
	var grants []*Grant
	for i := range n {
		tab := NewTable(names[i], "a", rand.New(rand.NewPCG(uint64(i), 2)), nil)
		tab.SetEndpoints([]Endpoint{testEndpoint("x", "a")})
		tab.SetEntries(names)
		grant, _ := tab.Place(0, testRequest())
		grant.Release(0, Done, 0)
		grant.Observe(0, Notice{Limited: true, Limit: limit})
		tables, grants = append(tables, tab), append(grants, grant)
	}
	return tables, grants
}

func TestLimit_HoldsUntilAResponseWithoutIt(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newTable("self", testEndpoint("x", "a"))
	grant, _ := tab.Place(0, testRequest())
	g.Expect(grant.Observe(0, Notice{Limited: true, Limit: 0}).Limit).To(gomega.BeTrue())
	g.Expect(grant.Observe(0, Notice{Limited: true, Limit: 0}).Limit).To(gomega.BeFalse())
	_, refused := tab.Place(limitTTL/2, testRequest())
	g.Expect(refused.Limited).To(gomega.BeTrue())
	g.Expect(grant.Observe(limitTTL/2, Notice{}).Limit).To(gomega.BeTrue())
	_, refused = tab.Place(limitTTL/2, testRequest())
	g.Expect(refused).To(gomega.BeNil())
}

// Without a response the entry does not learn that a limit has ended. It finds out with
// one request.
func TestLimit_ProbedAfterItsTime(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newTable("self", testEndpoint("x", "a"))
	grant, _ := tab.Place(0, testRequest())
	grant.Observe(0, Notice{Limited: true, Limit: 0})
	expired := limitTTL
	probe, refused := tab.Place(expired, testRequest())
	g.Expect(refused).To(gomega.BeNil())
	_, refused = tab.Place(expired, testRequest())
	g.Expect(refused.Limited).To(gomega.BeTrue())
	probe.Observe(expired, Notice{})
	_, refused = tab.Place(expired, testRequest())
	g.Expect(refused).To(gomega.BeNil())
}

// Batch items use endpoints that name a limit only if there is no other.
func TestLimit_LeftToOnlineRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newTable("self", testEndpoint("x", "a"), testEndpoint("y", "a"))
	byID := make(map[string]*Grant)
	for len(byID) < 2 {
		grant, _ := tab.Place(0, testRequest())
		byID[grant.Endpoint.ID] = grant
	}
	byID["x"].Observe(0, Notice{Limited: true, Limit: 100})
	for range 5 {
		g.Expect(tab.PlaceBatch(time.Minute, testRequest(), func() {}).Endpoint.ID).To(gomega.Equal("y"))
	}
	byID["y"].Observe(0, Notice{Limited: true, Limit: 100})
	g.Expect(tab.PlaceBatch(time.Minute, testRequest(), func() {})).NotTo(gomega.BeNil())
}
