package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// simulateFailures runs a steady load over entries that exchange reports with a delay.
// failing is the number of endpoints that respond to each request at once with an error.
// simulateFailures returns the fraction of the requests that got such an error.
func simulateFailures(entries, endpoints, failing int, perSecond float64, length time.Duration) float64 {
	const (
		tick    = 5 * time.Millisecond
		service = 750 * time.Millisecond
		lag     = 100 * time.Millisecond // of reports
	)
	random := rand.New(rand.NewPCG(6, 7))
	var list []Endpoint
	isFailing := make(map[Key]bool)
	for i := range endpoints {
		e := testEndpoint(fmt.Sprint("e", i), "a")
		list = append(list, e)
		isFailing[e.Key()] = i < failing
	}
	tables := make([]*Table, entries)
	for i := range tables {
		tables[i] = NewTable(fmt.Sprint(i), "a", rand.New(rand.NewPCG(8, uint64(i))), nil)
		tables[i].SetEndpoints(list)
	}
	type running struct {
		grant *Grant
		end   time.Duration
	}
	var now time.Duration
	var active []running
	total, failed, pending := 0, 0, 0.0
	for ; now < length; now += tick {
		remaining := active[:0]
		for _, r := range active {
			if r.end > now {
				remaining = append(remaining, r)
				continue
			}
			r.grant.Release(now, Done, 0)
		}
		active = remaining
		if now%lag == 0 {
			for i, from := range tables {
				for j, to := range tables {
					if i != j {
						to.SetPeer(fmt.Sprint(i), Report{Loads: from.LocalLoads(), Failing: from.FailingEndpoints()})
					}
				}
			}
		}
		for pending += perSecond * tick.Seconds(); pending >= 1; pending-- {
			total++
			grant, refused := tables[random.IntN(entries)].Place(now, Request{Deployment: model, MaxWait: maxWait})
			if refused != nil {
				continue
			}
			if isFailing[grant.Key()] {
				failed++
				grant.Release(now, ErrorResponse, 0)
				continue
			}
			active = append(active, running{grant: grant, end: now + service})
		}
	}
	return float64(failed) / float64(total)
}

var _ = ginkgo.Describe("endpoints whose responses are errors", func() {
	ginkgo.DescribeTable("get less than half of their share of the requests, though they look idle",
		func(entries, endpoints, failing int, perSecond float64) {
			share := simulateFailures(entries, endpoints, failing, perSecond, 10*time.Second)
			gomega.Expect(share).To(gomega.BeNumerically("<", 0.5*float64(failing)/float64(endpoints)))
		},
		ginkgo.Entry("one of twelve", 7, 12, 1, 56.0),
		ginkgo.Entry("two of twelve", 7, 12, 2, 56.0),
		ginkgo.Entry("three of forty-eight, with many entries", 34, 48, 3, 226.0),
	)

	ginkgo.It("are not excluded after one error, which the request may have caused", func() {
		tab := newTable("self", testEndpoint("x", "a"))
		grant, _ := tab.Place(0, testRequest())
		grant.Release(0, ErrorResponse, 0)
		gomega.Expect(tab.FailingEndpoints()).To(gomega.BeEmpty())
		gomega.Expect(tab.HasFreeSlot(0, testRequest())).To(gomega.BeTrue())
	})

	ginkgo.It("are probed by the entry that saw the errors, with one repeatable request, and are used again once it succeeds", func() {
		x, y := testEndpoint("x", "a"), testEndpoint("y", "a")
		tab, other := newTable("self", x, y), newTable("other", x, y)
		for len(tab.FailingEndpoints()) == 0 {
			grant, _ := tab.Place(0, testRequest())
			result := Done
			if grant.Endpoint.ID == "x" {
				result = ErrorResponse
			}
			grant.Release(0, result, 0)
		}
		other.SetPeer("self", Report{Failing: tab.FailingEndpoints()})
		placed := func(now time.Duration, tab *Table, req Request) map[string]int {
			count := make(map[string]int)
			for range 4 {
				grant, _ := tab.Place(now, req)
				count[grant.Endpoint.ID]++
				defer grant.Release(now, Aborted, 0)
			}
			return count
		}
		after := minSuspension + time.Millisecond
		atMostOnce := testRequest()
		atMostOnce.AtMostOnce = true
		gomega.Expect(placed(0, tab, testRequest())).To(gomega.Equal(map[string]int{"y": 4}))
		gomega.Expect(placed(after, tab, atMostOnce)).To(gomega.Equal(map[string]int{"y": 4}))
		gomega.Expect(placed(after, other, testRequest())).To(gomega.Equal(map[string]int{"y": 4}))
		gomega.Expect(placed(after, tab, testRequest())).To(gomega.Equal(map[string]int{"x": 1, "y": 3}))
		var probe *Grant
		for probe == nil || probe.Endpoint.ID != "x" {
			probe, _ = tab.Place(after, testRequest())
		}
		probe.Release(after, Done, 0)
		gomega.Expect(tab.FailingEndpoints()).To(gomega.BeEmpty())
	})

	ginkgo.It("are all used if most of them fail", func() {
		x, y, z := testEndpoint("x", "a"), testEndpoint("y", "a"), testEndpoint("z", "a")
		tab := newTable("self", x, y, z)
		tab.SetPeer("other", Report{Failing: []Key{x.Key(), y.Key()}})
		count := make(map[string]int)
		for range 9 {
			grant, _ := tab.Place(0, testRequest())
			count[grant.Endpoint.ID]++
		}
		gomega.Expect(count).To(gomega.HaveLen(3))
	})

	ginkgo.It("are probed by the entry with the lowest ID of those that saw the errors", func() {
		x, y := testEndpoint("x", "a"), testEndpoint("y", "a")
		first, second := newTable("1", x, y), newTable("2", x, y)
		for _, tab := range []*Table{first, second} {
			for len(tab.FailingEndpoints()) == 0 {
				grant, _ := tab.Place(0, testRequest())
				if grant.Endpoint.ID == "x" {
					grant.Release(0, ErrorResponse, 0)
				} else {
					grant.Release(0, Done, 0)
				}
			}
		}
		first.SetPeer("2", Report{Failing: second.FailingEndpoints()})
		second.SetPeer("1", Report{Failing: first.FailingEndpoints()})
		gomega.Expect(first.FailingEndpoints()).To(gomega.HaveLen(1))
		gomega.Expect(second.FailingEndpoints()).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("endpoints of other cells", func() {
	otherCell := testEndpoint("other-cell", "a")
	otherCell.OtherCell = true

	ginkgo.It("are used only if no other endpoint is eligible", func() {
		own := testEndpoint("own", "a")
		tab := newTable("self", own, otherCell)
		for range 8 {
			grant, _ := tab.Place(0, testRequest())
			gomega.Expect(grant.Endpoint.ID).To(gomega.Equal("own"))
		}
		grant, _ := tab.Place(0, Request{Deployment: model, Avoid: map[Key]bool{own.Key(): true}})
		gomega.Expect(grant.Endpoint.ID).To(gomega.Equal("other-cell"))
	})

	ginkgo.It("get batch items if there are no other endpoints", func() {
		tab := newTable("self", otherCell)
		gomega.Expect(tab.PlaceBatch(0, testRequest(), func() {})).NotTo(gomega.BeNil())
	})
})
