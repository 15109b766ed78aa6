package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/locality"
)

var testRegions = locality.Regions{"a": "eu", "b": "eu", "c": "us"}

func evacuating(dataCentres ...string) *locality.Policy {
	set := make(map[string]bool)
	for _, d := range dataCentres {
		set[d] = true
	}
	return locality.NewPolicy(testRegions, set)
}

// Guards against requests, items and resumed attempts that are sent to an evacuated data
// centre, also to endpoints that are listed there later, and against streams that an
// evacuation ends.
func TestTable_EvacuatedDataCentreGetsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newTable("self", testEndpoint("x", "a"), testEndpoint("y", "b"))
	stream, _ := tab.Place(0, testRequest())
	g.Expect(stream.Endpoint.ID).To(gomega.Equal("x"), "the local one")
	preempted := 0
	for range 2 * (8 - reservedSlots) {
		tab.PlaceBatch(0, testRequest(), func() { preempted++ })
	}
	atX := tab.LocalLoads()[stream.Key()].Batch
	g.Expect(atX).To(gomega.BeNumerically(">", 0))

	g.Expect(tab.SetPolicy(evacuating("a"))).To(gomega.Equal(atX))
	g.Expect(preempted).To(gomega.Equal(atX), "running items move")
	g.Expect(tab.SetPolicy(evacuating("a"))).To(gomega.BeZero(), "no item is preempted twice")
	g.Expect(tab.LocalLoads()[stream.Key()].Online).To(gomega.Equal(1), "the stream goes on")

	tab.SetEndpoints([]Endpoint{testEndpoint("x", "a"), testEndpoint("new", "a"), testEndpoint("y", "b")})
	for range 100 {
		grant, refused := tab.Place(0, Request{Deployment: model, MaxWait: time.Minute})
		g.Expect(refused).To(gomega.BeNil())
		g.Expect(grant.Endpoint.ID).To(gomega.Equal("y"))
		if item := tab.PlaceBatch(0, testRequest(), func() {}); item != nil {
			g.Expect(item.Endpoint.ID).To(gomega.Equal("y"))
		}
		grant.Release(0, Done, 0)
	}
	g.Expect(tab.HasFreeSlot(0, Request{Deployment: model, Avoid: map[Key]bool{testEndpoint("y", "b").Key(): true}})).To(gomega.BeFalse())

	tab.SetPolicy(evacuating())
	grant, _ := tab.Place(0, testRequest())
	g.Expect(grant.Endpoint.DataCentre).To(gomega.Equal("a"), "used again once the evacuation has ended")
}

// Guards against entries that have nothing left once the endpoints of their own cell are
// evacuated, for requests and for items.
func TestTable_UsesOtherCellsWhileItsOwnIsEvacuated(t *testing.T) {
	g := gomega.NewWithT(t)
	own, other := testEndpoint("own", "a"), testEndpoint("other", "b")
	other.OtherCell = true
	tab := newTable("self", own, other)
	item := tab.PlaceBatch(0, testRequest(), func() {})
	g.Expect(item.Endpoint.ID).To(gomega.Equal("own"))

	tab.SetPolicy(evacuating("a"))
	grant, refused := tab.Place(0, testRequest())
	g.Expect(refused).To(gomega.BeNil())
	g.Expect(grant.Endpoint.ID).To(gomega.Equal("other"))
	g.Expect(tab.ServesBatch(testRequest())).To(gomega.BeTrue())
	item = tab.PlaceBatch(0, testRequest(), func() {})
	g.Expect(item).NotTo(gomega.BeNil())
	g.Expect(item.Endpoint.ID).To(gomega.Equal("other"))

	tab.SetPolicy(evacuating())
	item = tab.PlaceBatch(0, testRequest(), func() {})
	g.Expect(item.Endpoint.ID).To(gomega.Equal("own"))
}

// Guards against the items of all entries of an evacuated cell at endpoints of other cells,
// which can't have them preempted when online requests come.
func TestTable_ItemsOfEvacuatedCellsLeaveSlotsElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	var list []Endpoint
	for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
		foreign := testEndpoint("f"+id, "b")
		foreign.OtherCell = true
		list = append(list, foreign)
	}
	list = append(list, testEndpoint("own", "a"))
	names := []string{"e1", "e2", "e3", "e4", "e5"}
	items := make(map[string]int)
	for i, name := range names {
		tab := NewTable(name, "a", rand.New(rand.NewPCG(1, uint64(i))), nil)
		tab.SetEntries(names)
		tab.SetEndpoints(list)
		tab.SetPolicy(evacuating("a"))
		for range 50 {
			if item := tab.PlaceBatch(0, testRequest(), func() {}); item != nil {
				items[item.Endpoint.ID]++
			}
		}
	}
	g.Expect(items).To(gomega.Equal(map[string]int{"f1": 1, "f2": 1, "f3": 1, "f4": 1, "f5": 1, "f6": 1}))
}

// Guards against requests and items that leave the homes of their route or customer, and
// against homes that allow a data centre without a region.
func TestTable_HomesBindPlacement(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newTable("self", testEndpoint("x", "a"), testEndpoint("z", "c"), testEndpoint("n", "nowhere"))
	tab.SetPolicy(evacuating())
	for _, c := range []struct {
		homes []locality.Homes
		want  string // endpoint; empty: refused
	}{
		{homes: []locality.Homes{{"us"}}, want: "z"},
		{homes: []locality.Homes{{"eu", "us"}, {"us"}}, want: "z"},
		{homes: []locality.Homes{{"eu"}}, want: "x"},
		{homes: []locality.Homes{{"eu"}, {"us"}}},
		{homes: []locality.Homes{{"mars"}}},
	} {
		req := testRequest()
		req.Homes = c.homes
		for range 20 {
			grant, refused := tab.Place(0, req)
			item := tab.PlaceBatch(0, req, func() {})
			if c.want == "" {
				g.Expect(grant).To(gomega.BeNil())
				g.Expect(item).To(gomega.BeNil())
				g.Expect(refused.Locality).To(gomega.Equal(locality.OutsideHomes))
				continue
			}
			g.Expect(refused).To(gomega.BeNil())
			g.Expect(grant.Endpoint.ID).To(gomega.Equal(c.want))
			g.Expect(item.Endpoint.ID).To(gomega.Equal(c.want))
			grant.Release(0, Aborted, 0)
			item.Release(0, Aborted, 0)
		}
	}
	tab.SetPolicy(nil)
	_, refused := tab.Place(0, Request{Deployment: model, Homes: []locality.Homes{{"us"}}})
	g.Expect(refused.Locality).To(gomega.Equal(locality.OutsideHomes), "without regions homes allow nothing")
}

// Guards against a refusal that names an evacuation where another endpoint is only full or
// draining, and against one without a time to come back.
func TestTable_RefusalSaysWhyNoDataCentreIsLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	draining := testEndpoint("d", "b")
	draining.Draining = true
	tab := newTable("self", testEndpoint("x", "a"), draining, testEndpoint("z", "c"))
	refusal := func(req Request) *Refusal {
		grant, refused := tab.Place(0, req)
		g.Expect(grant).To(gomega.BeNil())
		g.Expect(refused.RetryAfter).To(gomega.BeNumerically(">", 0))
		return refused
	}
	tab.SetPolicy(evacuating("a", "c"))
	g.Expect(refusal(testRequest()).Locality).To(gomega.Equal(locality.Evacuated))
	g.Expect(tab.Verdict(testRequest())).To(gomega.Equal(locality.Evacuated))
	inUS := testRequest()
	inUS.Homes = []locality.Homes{{"us"}}
	g.Expect(refusal(inUS).Locality).To(gomega.Equal(locality.Evacuated))
	tab.SetPolicy(evacuating("a"))
	inEU := testRequest()
	inEU.Homes = []locality.Homes{{"eu"}}
	g.Expect(refusal(inEU).Locality).To(gomega.Equal(locality.Evacuated), "its home is evacuated, and comes back")
	g.Expect(tab.Verdict(testRequest())).To(gomega.Equal(locality.Allowed))
	tried := testRequest()
	tried.Avoid = map[Key]bool{testEndpoint("z", "c").Key(): true}
	g.Expect(refusal(tried).Locality).To(gomega.Equal(locality.Allowed), "the endpoint that is left was tried")
	g.Expect(tab.Verdict(Request{Deployment: "unknown"})).To(gomega.Equal(locality.Allowed))
}

// crowd is entries that share endpoints and send requests at a steady rate, in fake time.
type crowd struct {
	tables  []*Table
	random  *rand.Rand
	pending map[time.Duration][]*Grant
	refused int
	placed  map[string]int // by data centre
}

// run places perSecond requests a second, each of which runs for 800 ms, from begin to end,
// and exchanges reports every 50 ms.
func (c *crowd) run(begin, end time.Duration, perSecond int) {
	c.refused, c.placed = 0, make(map[string]int)
	for now := begin; now < end; now += time.Millisecond {
		for _, grant := range c.pending[now] {
			grant.Release(now, Done, 0)
		}
		delete(c.pending, now)
		if now%(50*time.Millisecond) == 0 {
			c.report()
		}
		for range perSecond / 1000 {
			c.place(now)
		}
		if c.random.IntN(1000) < perSecond%1000 {
			c.place(now)
		}
	}
}

func (c *crowd) place(now time.Duration) {
	grant, _ := c.tables[c.random.IntN(len(c.tables))].Place(now, testRequest())
	if grant == nil {
		c.refused++
		return
	}
	c.placed[grant.Endpoint.DataCentre]++
	end := now + 800*time.Millisecond
	c.pending[end] = append(c.pending[end], grant)
}

func (c *crowd) report() {
	for _, from := range c.tables {
		r := Report{Loads: from.LocalLoads()}
		for _, to := range c.tables {
			if to != from {
				to.SetPeer(from.self, r)
			}
		}
	}
}

func (c *crowd) setPolicy(p *locality.Policy) {
	for _, tab := range c.tables {
		tab.SetPolicy(p)
	}
}

// Guards against an evacuation that is revoked under full load and leaves the returning data
// centre idle, or overloads it: the whole load fits only with it.
func TestTable_EvacuationRevokedUnderFullLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &crowd{random: rand.New(rand.NewPCG(7, 7)), pending: make(map[time.Duration][]*Grant)}
	var list []Endpoint
	for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		list = append(list, testEndpoint("a"+id, "a"), testEndpoint("b"+id, "b"))
	}
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		tab := NewTable(name, "a", rand.New(rand.NewPCG(1, uint64(name[1]))), nil)
		tab.SetEndpoints(list)
		c.tables = append(c.tables, tab)
	}
	const perSecond = 136 // 128 slots of 0.8 s take 160 a second, and half of them 80
	c.run(0, 5*time.Second, perSecond)
	g.Expect(c.refused).To(gomega.BeZero(), "before")

	c.setPolicy(evacuating("b"))
	c.run(5*time.Second, 10*time.Second, perSecond)
	g.Expect(c.placed["b"]).To(gomega.BeZero())
	g.Expect(c.refused).To(gomega.BeNumerically(">", 5*(perSecond-80)/2), "half of the slots take little more than half of the load")

	c.setPolicy(evacuating())
	c.run(10*time.Second, 11*time.Second, perSecond)
	t.Logf("first second after the end: %v, %d refused", c.placed, c.refused)
	g.Expect(c.placed["b"]).To(gomega.BeNumerically(">", 30), "the data centre is used at once")
	g.Expect(c.placed["b"]).To(gomega.BeNumerically("<=", 2*64+8), "and not flooded")
	c.run(11*time.Second, 16*time.Second, perSecond)
	t.Logf("five seconds after that: %v, %d refused", c.placed, c.refused)
	g.Expect(c.refused).To(gomega.BeZero(), "after")
}
