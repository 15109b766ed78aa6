package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// model is the deployment of all endpoints.
const model = "lm"

// goal is the longest time to the first event of a request in the simulation, maxWait
// the longest wait for its start that the online service allows for this goal.
const (
	goal    = 300 * time.Millisecond
	maxWait = 195 * time.Millisecond
)

// newTable returns the table of the entry self in data centre "a".
func newTable(self string, endpoints ...Endpoint) *Table {
	t := NewTable(self, "a", rand.New(rand.NewPCG(1, 2)), nil)
	t.SetEndpoints(endpoints)
	return t
}

// testEndpoint returns an endpoint with eight slots.
func testEndpoint(id, dataCentre string) Endpoint {
	return Endpoint{ID: id, Address: id + ":1", Deployment: model, DataCentre: dataCentre, Slots: 8}
}

// testRequest returns a request that may wait for up to 200 ms.
func testRequest() Request { return Request{Deployment: model, MaxWait: 200 * time.Millisecond} }

func TestTable_SpreadsRequestsEvenly(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newTable("self", testEndpoint("x", "a"), testEndpoint("y", "a"), testEndpoint("z", "a"))
	count := make(map[string]int)
	for range 24 {
		grant, refused := tab.Place(0, testRequest())
		g.Expect(refused).To(gomega.BeNil())
		count[grant.Endpoint.ID]++
	}
	g.Expect(count).To(gomega.Equal(map[string]int{"x": 8, "y": 8, "z": 8}))
}

func TestTable_PrefersLocalDataCentreUntilFull(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newTable("self", testEndpoint("local", "a"), testEndpoint("remote", "b"))
	for i := range 8 {
		grant, _ := tab.Place(0, testRequest())
		g.Expect(grant.Endpoint.ID).To(gomega.Equal("local"), "request %d", i)
	}
	grant, _ := tab.Place(0, testRequest())
	g.Expect(grant.Endpoint.ID).To(gomega.Equal("remote"))
}

// Load that peers report counts like this entry's own load.
func TestTable_CountsPeerLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	x, y := testEndpoint("x", "a"), testEndpoint("y", "a")
	tab := newTable("self", x, y)
	tab.SetPeer("other", Report{Loads: map[Key]Load{x.Key(): {Online: 6}}})
	grant, _ := tab.Place(0, testRequest())
	g.Expect(grant.Endpoint.ID).To(gomega.Equal("y"))
	tab.ForgetPeer("other")
	for range 2 {
		_, refused := tab.Place(0, testRequest())
		g.Expect(refused).To(gomega.BeNil())
	}
	g.Expect(tab.LocalLoads()).To(gomega.HaveLen(2))
}

func TestTable_SkipsDrainingAndFailedEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	draining := testEndpoint("draining", "a")
	draining.Draining = true
	tab := newTable("self", draining, testEndpoint("failed", "a"), testEndpoint("healthy", "a"))
	for {
		grant, _ := tab.Place(0, testRequest())
		g.Expect(grant.Endpoint.ID).NotTo(gomega.Equal("draining"))
		if grant.Endpoint.ID == "failed" {
			grant.Release(0, Failed, 0)
			break
		}
	}
	for range 6 {
		grant, _ := tab.Place(time.Millisecond, testRequest())
		g.Expect(grant.Endpoint.ID).To(gomega.Equal("healthy"))
	}
	retried := false
	for range 6 {
		grant, _ := tab.Place(minSuspension, testRequest())
		retried = retried || grant.Endpoint.ID == "failed"
	}
	g.Expect(retried).To(gomega.BeTrue(), "the failed endpoint is used again after its suspension")
}

// A suspended endpoint is used if there is no other, unless it was already tried for the
// request.
func TestTable_UsesFailedEndpointIfThereIsNoOther(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newTable("self", testEndpoint("x", "a"))
	grant, _ := tab.Place(0, testRequest())
	grant.Release(0, Failed, 0)
	_, refused := tab.Place(1, testRequest())
	g.Expect(refused).To(gomega.BeNil())
	_, refused = tab.Place(1, Request{Deployment: model, Avoid: map[Key]bool{grant.Key(): true}})
	g.Expect(refused).NotTo(gomega.BeNil())
	g.Expect(refused.RetryAfter).To(gomega.BeNumerically(">", 0))
}

func TestTable_SendsFewerRequestsToSlowEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newTable("self", testEndpoint("slow", "a"), testEndpoint("x", "a"), testEndpoint("y", "a"))
	for range 60 {
		grant, _ := tab.Place(0, testRequest())
		gap := 20 * time.Millisecond
		if grant.Endpoint.ID == "slow" {
			gap *= 5
		}
		grant.Release(0, Done, gap)
	}
	count := make(map[string]int)
	for range 12 {
		grant, _ := tab.Place(0, testRequest())
		count[grant.Endpoint.ID]++
	}
	g.Expect(count["slow"]).To(gomega.BeNumerically("<", count["x"]))
}

func TestTable_BatchLeavesReservedSlotAndIsPreempted(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newTable("self", testEndpoint("x", "a"))
	preempted := 0
	var items []*Grant
	for {
		grant := tab.PlaceBatch(0, testRequest(), func() { preempted++ })
		if grant == nil {
			break
		}
		items = append(items, grant)
	}
	g.Expect(items).To(gomega.HaveLen(8 - reservedSlots))
	for i := range 4 {
		_, refused := tab.Place(0, testRequest())
		g.Expect(refused).To(gomega.BeNil(), "batch items must not cause a refusal")
		tab.PreemptBatch()
		tab.PreemptBatch() // no item is preempted twice
		g.Expect(preempted).To(gomega.Equal(max(0, i+1-reservedSlots)))
	}
}

// Entries with the same counts preempt together exactly as many batch items as there are
// requests beyond the slots.
func TestTable_EntriesAgreeOnPreemptions(t *testing.T) {
	g := gomega.NewWithT(t)
	x := testEndpoint("x", "a")
	counts := map[string]Load{"one": {Batch: 3}, "two": {Batch: 3, Online: 1}, "three": {Batch: 1, Online: 3}}
	preempted := 0
	for self, own := range counts {
		tab := newTable(self, x)
		for id, l := range counts {
			if id != self {
				tab.SetPeer(id, Report{Loads: map[Key]Load{x.Key(): l}})
			}
		}
		e := tab.endpoints[x.Key()]
		for range own.Online {
			tab.newGrant(e, Online, 0, nil)
		}
		for range own.Batch {
			tab.newGrant(e, Batch, 0, func() { preempted++ })
		}
		tab.PreemptBatch()
	}
	g.Expect(preempted).To(gomega.Equal(3 + 3 + 1 + 1 + 3 - 8))
}

// runningRequest is a request that runs in the simulation.
type runningRequest struct {
	grant *Grant
	entry int
	end   time.Duration
}

// simulateWaves runs waves of online requests over entries that exchange reports with a
// delay, against endpoints that run eight requests at once in order of arrival. The
// request rate is crest times perSecond at the crest of a wave and 0.378 times perSecond
// between the crests. simulateWaves returns the fractions of the requests that were
// refused and that started late.
func simulateWaves(entries, endpoints int, perSecond, crest float64, length time.Duration) (refused, late float64) {
	const (
		tick    = 5 * time.Millisecond
		service = 750 * time.Millisecond
		lag     = 40 * time.Millisecond // of reports
		start   = 45 * time.Millisecond // of the first event, in an idle slot
	)
	random := rand.New(rand.NewPCG(3, 4))
	var list []Endpoint
	for i := range endpoints {
		list = append(list, testEndpoint(fmt.Sprintf("e%d", i), "a"))
	}
	tables := make([]*Table, entries)
	for i := range tables {
		tables[i] = NewTable(fmt.Sprint(i), "a", rand.New(rand.NewPCG(5, uint64(i))), nil)
		tables[i].SetEndpoints(list)
	}
	freeAt := make(map[Key][]time.Duration) // clock at which each slot of an endpoint is free
	for _, e := range list {
		freeAt[e.Key()] = make([]time.Duration, e.Slots)
	}
	var running []runningRequest
	total, refusals, lateStarts, pending := 0, 0, 0, 0.0
	for now := time.Duration(0); now < length; now += tick {
		remaining := running[:0]
		for _, r := range running {
			if r.end <= now {
				r.grant.Release(now, Done, 0)
				continue
			}
			remaining = append(remaining, r)
		}
		running = remaining
		if now%lag == 0 {
			for i, from := range tables {
				for j, to := range tables {
					if i != j {
						to.SetPeer(fmt.Sprint(i), Report{Loads: from.LocalLoads()})
					}
				}
			}
		}
		rate := perSecond * 0.378
		if now%(5200*time.Millisecond) >= 3*time.Second {
			rate = perSecond * crest
		}
		for pending += rate * tick.Seconds(); pending >= 1; pending-- {
			total++
			entry := random.IntN(entries)
			grant, refusal := tables[entry].Place(now, Request{Deployment: model, MaxWait: maxWait})
			if refusal != nil {
				refusals++
				continue
			}
			slots := freeAt[grant.Key()]
			earliest := 0
			for i := range slots {
				if slots[i] < slots[earliest] {
					earliest = i
				}
			}
			begin := max(now, slots[earliest])
			if begin+start-now > goal {
				lateStarts++
			}
			slots[earliest] = begin + service
			running = append(running, runningRequest{grant: grant, entry: entry, end: begin + service})
		}
	}
	return float64(refusals) / float64(total), float64(lateStarts) / float64(total)
}

// Waves of 56 requests a second on average at 12 endpoints: the crest takes 78 of 96 slots,
// so that no request is refused and nearly all start in time.
func TestTable_WavesWithinCapacityStartInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	refused, late := simulateWaves(7, 12, 56, 1.85, 60*time.Second)
	g.Expect(refused).To(gomega.BeZero())
	g.Expect(late).To(gomega.BeNumerically("<", 0.01))
}

// With 9 of the 12 endpoints left, the crest needs 78 slots or more and there are
// 72: of the requests for which there are slots, at least nine tenths start in time.
func TestTable_WavesAboveCapacityFillSlotsInTime(t *testing.T) {
	for _, crest := range []float64{1.85, 2.2, 3} {
		g := gomega.NewWithT(t)
		refused, late := simulateWaves(7, 9, 56, crest, 60*time.Second)
		crestShare := crest * 2.2 / (crest*2.2 + 0.378*3) // fraction of the requests that arrive at a crest
		servable := 1 - crestShare*(1-9*8/(56*crest*0.75))
		g.Expect(1-refused-late).To(gomega.BeNumerically(">", 0.9*servable), "crest %v", crest)
	}
}

// BenchmarkPlace measures one placement among 48 endpoints.
func BenchmarkPlace(b *testing.B) {
	var list []Endpoint
	for i := range 48 {
		list = append(list, testEndpoint(fmt.Sprintf("e%d", i), "a"))
	}
	tab := newTable("self", list...)
	b.ReportAllocs()
	for b.Loop() {
		grant, _ := tab.Place(0, testRequest())
		grant.Release(0, Done, 20*time.Millisecond)
	}
}
