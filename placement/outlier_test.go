package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// failures replays a steady load over entries that tell one another what they
// see, and returns which part of the requests got a failure from the endpoints
// that fail. Failures come at once.
func failures(entries, endpoints, failing int, perSecond float64, length time.Duration) float64 {
	const (
		tick    = 5 * time.Millisecond
		service = 750 * time.Millisecond
		lag     = 100 * time.Millisecond // of reports
	)
	random := rand.New(rand.NewPCG(6, 7))
	var list []Endpoint
	bad := make(map[Key]bool)
	for i := range endpoints {
		e := at(fmt.Sprint("e", i), "a")
		list = append(list, e)
		bad[e.Key()] = i < failing
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
	var work []running
	asked, failed, owed := 0, 0, 0.0
	for ; now < length; now += tick {
		left := work[:0]
		for _, r := range work {
			if r.end > now {
				left = append(left, r)
				continue
			}
			r.grant.Release(now, Done, 0)
		}
		work = left
		if now%lag == 0 {
			for i, from := range tables {
				for j, to := range tables {
					if i != j {
						to.SetPeer(fmt.Sprint(i), Report{Loads: from.LocalLoads(), Failing: from.FailingEndpoints()})
					}
				}
			}
		}
		for owed += perSecond * tick.Seconds(); owed >= 1; owed-- {
			asked++
			grant, refused := tables[random.IntN(entries)].Place(now, Request{Deployment: model, MaxWait: patience})
			if refused != nil {
				continue
			}
			if bad[grant.Key()] {
				failed++
				grant.Release(now, ErrorResponse, 0)
				continue
			}
			work = append(work, running{grant: grant, end: now + service})
		}
	}
	return float64(failed) / float64(asked)
}

var _ = ginkgo.Describe("endpoints whose answers fail", func() {
	ginkgo.DescribeTable("draw less than half of their part of the requests, though they look idle",
		func(entries, endpoints, failing int, perSecond float64) {
			share := failures(entries, endpoints, failing, perSecond, 10*time.Second)
			gomega.Expect(share).To(gomega.BeNumerically("<", 0.5*float64(failing)/float64(endpoints)))
		},
		ginkgo.Entry("one of twelve", 7, 12, 1, 56.0),
		ginkgo.Entry("two of twelve", 7, 12, 2, 56.0),
		ginkgo.Entry("three of forty-eight, with many entries", 34, 48, 3, 226.0),
	)

	ginkgo.It("are not passed over for one failure, which may be the request's own fault", func() {
		tab := table("self", at("x", "a"))
		grant, _ := tab.Place(0, ask())
		grant.Release(0, ErrorResponse, 0)
		gomega.Expect(tab.FailingEndpoints()).To(gomega.BeEmpty())
		gomega.Expect(tab.HasFreeSlot(0, ask())).To(gomega.BeTrue())
	})

	ginkgo.It("are tried by the entry that saw it, with one request that may be repeated, and are back once that ends well", func() {
		x, y := at("x", "a"), at("y", "a")
		tab, other := table("self", x, y), table("other", x, y)
		for len(tab.FailingEndpoints()) == 0 {
			grant, _ := tab.Place(0, ask())
			result := Done
			if grant.Endpoint.ID == "x" {
				result = ErrorResponse
			}
			grant.Release(0, result, 0)
		}
		other.SetPeer("self", Report{Failing: tab.FailingEndpoints()})
		placed := func(now time.Duration, tab *Table, a Request) map[string]int {
			count := make(map[string]int)
			for range 4 {
				grant, _ := tab.Place(now, a)
				count[grant.Endpoint.ID]++
				defer grant.Release(now, Aborted, 0)
			}
			return count
		}
		after := minSuspension + time.Millisecond
		once := ask()
		once.AtMostOnce = true
		gomega.Expect(placed(0, tab, ask())).To(gomega.Equal(map[string]int{"y": 4}))
		gomega.Expect(placed(after, tab, once)).To(gomega.Equal(map[string]int{"y": 4}))
		gomega.Expect(placed(after, other, ask())).To(gomega.Equal(map[string]int{"y": 4}))
		gomega.Expect(placed(after, tab, ask())).To(gomega.Equal(map[string]int{"x": 1, "y": 3}))
		var trial *Grant
		for trial == nil || trial.Endpoint.ID != "x" {
			trial, _ = tab.Place(after, ask())
		}
		trial.Release(after, Done, 0)
		gomega.Expect(tab.FailingEndpoints()).To(gomega.BeEmpty())
	})

	ginkgo.It("are all used where most of them fail", func() {
		x, y, z := at("x", "a"), at("y", "a"), at("z", "a")
		tab := table("self", x, y, z)
		tab.SetPeer("other", Report{Failing: []Key{x.Key(), y.Key()}})
		count := make(map[string]int)
		for range 9 {
			grant, _ := tab.Place(0, ask())
			count[grant.Endpoint.ID]++
		}
		gomega.Expect(count).To(gomega.HaveLen(3))
	})

	ginkgo.It("are left to the first by name of the entries that saw it", func() {
		x, y := at("x", "a"), at("y", "a")
		first, second := table("1", x, y), table("2", x, y)
		for _, tab := range []*Table{first, second} {
			for len(tab.FailingEndpoints()) == 0 {
				grant, _ := tab.Place(0, ask())
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
	foreign := at("foreign", "a")
	foreign.OtherCell = true

	ginkgo.It("are a last resort", func() {
		own := at("own", "a")
		tab := table("self", own, foreign)
		for range 8 {
			grant, _ := tab.Place(0, ask())
			gomega.Expect(grant.Endpoint.ID).To(gomega.Equal("own"))
		}
		grant, _ := tab.Place(0, Request{Deployment: model, Avoid: map[Key]bool{own.Key(): true}})
		gomega.Expect(grant.Endpoint.ID).To(gomega.Equal("foreign"))
	})

	ginkgo.It("are used by batch where there are no others", func() {
		tab := table("self", foreign)
		gomega.Expect(tab.PlaceBatch(0, ask(), func() {})).NotTo(gomega.BeNil())
	})
})
