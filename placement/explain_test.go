package placement

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/locality"
)

// reasonsOf returns the reasons for each excluded endpoint by ID.
func reasonsOf(x Explanation) map[string][]Reason {
	reasons := make(map[string][]Reason)
	for _, e := range x.Excluded {
		reasons[e.Endpoint.ID] = e.Reasons
	}
	return reasons
}

// candidatesOf returns the IDs of the candidates in their order.
func candidatesOf(x Explanation) []string {
	var ids []string
	for _, e := range x.Candidates {
		ids = append(ids, e.Endpoint.ID)
	}
	return ids
}

// grantAt returns a grant at the endpoint with the given ID, after as many requests as needed.
func grantAt(g *gomega.WithT, tab *Table, id string) *Grant {
	for range 1000 {
		grant, refused := tab.Place(0, Request{Deployment: model, MaxWait: time.Hour})
		g.Expect(refused).To(gomega.BeNil())
		if grant.Endpoint.ID == id {
			return grant
		}
		defer grant.Release(0, Aborted, 0)
	}
	g.Fail("no request was placed at " + id)
	return nil
}

// Guards against an excluded endpoint without its reason, or with that of another.
func TestExplain_ReasonOfEachExcludedEndpoint(t *testing.T) {
	request := Request{Deployment: model, MaxWait: time.Second}
	plain := func() (Endpoint, Endpoint) { return testEndpoint("good", "a"), testEndpoint("bad", "a") }
	for name, c := range map[string]struct {
		edit    func(bad *Endpoint)
		req     func(*Request)
		result  Result // of a request at the endpoint; Aborted: none
		times   int
		notice  Notice
		prepare func(*Table)
		want    Reason
	}{
		"draining": {edit: func(e *Endpoint) { e.Draining = true }, want: ReasonDraining},
		"leaving":  {notice: Notice{Leaving: true}, want: ReasonLeaving},
		"replaced": {result: Replaced, times: 1, want: ReasonReplaced},
		"evacuated": {edit: func(e *Endpoint) { e.DataCentre = "b" },
			prepare: func(tab *Table) { tab.SetPolicy(evacuating("b")) }, want: ReasonEvacuated},
		"outside homes": {edit: func(e *Endpoint) { e.DataCentre = "c" }, req: func(r *Request) { r.Homes = []locality.Homes{{"eu"}} },
			prepare: func(tab *Table) { tab.SetPolicy(evacuating()) }, want: ReasonOutsideHomes},
		"version":     {edit: func(e *Endpoint) { e.Version = "v2" }, req: func(r *Request) { r.Version = "v1" }, want: ReasonVersion},
		"other cell":  {edit: func(e *Endpoint) { e.OtherCell = true }, want: ReasonOtherCell},
		"suspended":   {result: Failed, times: 1, want: ReasonSuspended},
		"failing":     {result: ErrorResponse, times: 2, req: func(r *Request) { r.AtMostOnce = true }, want: ReasonFailing},
		"named limit": {notice: Notice{Limited: true, Limit: 0}, want: ReasonNamedLimit},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			good, bad := plain()
			good.Version = "v1"
			if c.edit != nil {
				c.edit(&bad)
			}
			tab := newTable("self", good, bad)
			if c.prepare != nil {
				c.prepare(tab)
			}
			for range c.times {
				grantAt(g, tab, "bad").Release(0, c.result, 0)
			}
			if c.notice != (Notice{}) {
				grant := grantAt(g, tab, "bad")
				grant.Observe(0, c.notice)
				grant.Release(0, Done, 0)
			}
			req := request
			if c.req != nil {
				c.req(&req)
			}
			x := tab.Explain(10*time.Millisecond, req, Online)
			g.Expect(candidatesOf(x)).To(gomega.Equal([]string{"good"}))
			g.Expect(reasonsOf(x)).To(gomega.HaveKey("bad"))
			g.Expect(reasonsOf(x)["bad"]).To(gomega.ContainElement(c.want))
			if c.want != ReasonFailing {
				g.Expect(reasonsOf(x)["bad"]).To(gomega.HaveLen(1))
			}
			g.Expect(x.Refusal).To(gomega.BeNil())
			grant, _ := tab.Place(10*time.Millisecond, req)
			g.Expect(grant.Endpoint.ID).To(gomega.Equal("good"))
		})
	}
}

// A cold endpoint is excluded once the shared rate, or this entry's part, has no token, and
// the explanation names the wait; one of which nothing is known counts as cold.
func TestExplain_ColdEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newColdTable(testEndpoint("x", "a"))
	x := tab.Explain(0, testRequest(), Online)
	g.Expect(x.Excluded[0].ColdLeft).To(gomega.Equal(coldTime))
	g.Expect(reasonsOf(x)).To(gomega.Equal(map[string][]Reason{"x": {ReasonColdToken}}), "no tokens of the time before")
	g.Expect(x.Excluded[0].Retry).To(gomega.BeNumerically(">", 0))
	g.Expect(x.Refusal.Cold).To(gomega.BeTrue())
	g.Expect(tab.Explain(time.Second, testRequest(), Online).Excluded).To(gomega.HaveLen(1), "explanations begin nothing")

	tab.StateCold(0, nil)
	now := time.Second
	g.Expect(candidatesOf(tab.Explain(now, testRequest(), Online))).To(gomega.Equal([]string{"x"}))
	granted := 0
	for {
		x = tab.Explain(now, testRequest(), Online)
		grant, refused := tab.Place(now, testRequest())
		g.Expect(x.Refusal == nil).To(gomega.Equal(refused == nil))
		if refused != nil {
			g.Expect(refused.Cold).To(gomega.BeTrue())
			break
		}
		granted++
		grant.Release(now, Done, 0)
	}
	g.Expect(granted).To(gomega.BeNumerically(">", 1))
	g.Expect(tab.ColdStats().Granted).To(gomega.BeEquivalentTo(granted))
}

// The order is that of the cost: expected wait, the penalty of another data centre, a ramp.
func TestExplain_OrderOfCandidates(t *testing.T) {
	g := gomega.NewWithT(t)
	idle, busy, remote := testEndpoint("idle", "a"), testEndpoint("busy", "a"), testEndpoint("remote", "b")
	tab := newTable("self", remote, busy, idle)
	tab.EnableRamps(func(RampChange) {})
	started := testEndpoint("started", "a")
	tab.SetEndpoints([]Endpoint{remote, busy, idle, started})
	tab.SetPeer("other", Report{Loads: map[Key]Load{busy.Key(): {Online: 6}, started.Key(): {Online: 2}}})
	x := tab.Explain(0, testRequest(), Online)
	g.Expect(candidatesOf(x)).To(gomega.Equal([]string{"idle", "busy", "remote", "started"}))
	g.Expect(x.Candidates[1].Load).To(gomega.Equal(Load{Online: 6}))
	g.Expect(x.Candidates[1].Wait).To(gomega.Equal(6 * stepTimePerRequest))
	const meanJitter = costJitter / 2
	g.Expect(x.Candidates[2].Cost).To(gomega.BeNumerically("~", crossDataCentrePenalty+meanJitter, 10*time.Microsecond))
	g.Expect(x.Candidates[3].Ramp).To(gomega.Equal(initialRamp))
	g.Expect(x.Candidates[3].Cost).To(gomega.BeNumerically("~", 2*stepTimePerRequest+rampPenalty+meanJitter, 10*time.Microsecond))
	g.Expect(tab.started).To(gomega.HaveLen(1), "the ramp has not begun")
}

// Refusals are those of Place: no endpoint, all suspended, evacuated, full.
func TestExplain_Refusals(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newTable("self").Explain(0, testRequest(), Online)
	g.Expect(x.Refusal).To(gomega.Equal(&Refusal{RetryAfter: minSuspension}))
	g.Expect(x.Candidates).To(gomega.BeEmpty())

	e := testEndpoint("x", "a")
	tab := newTable("self", e)
	grantAt(g, tab, "x").Release(0, Failed, 0)
	g.Expect(candidatesOf(tab.Explain(0, testRequest(), Online))).To(gomega.Equal([]string{"x"}), "used if no other is left")

	tab.SetPeer("other", Report{Loads: map[Key]Load{e.Key(): {Online: 30}}})
	x = tab.Explain(0, testRequest(), Online)
	g.Expect(x.Refusal.Endpoint).To(gomega.Equal("x"))
	g.Expect(x.Refusal.Load).To(gomega.Equal(Load{Online: 30}))
	g.Expect(candidatesOf(x)).To(gomega.Equal([]string{"x"}))

	tab.SetPolicy(evacuating("a"))
	x = tab.Explain(0, testRequest(), Online)
	g.Expect(x.Refusal.Locality).To(gomega.Equal(locality.Evacuated))
	g.Expect(x.Locality).To(gomega.Equal(locality.Evacuated))
}

// Items are explained by the rules of PlaceBatch.
func TestExplain_BatchItem(t *testing.T) {
	g := gomega.NewWithT(t)
	idle, part, full, other := testEndpoint("idle", "a"), testEndpoint("part", "a"), testEndpoint("full", "a"), testEndpoint("other", "a")
	other.OtherCell = true
	tab := newTable("self", full, part, idle, other)
	tab.SetPeer("other", Report{Loads: map[Key]Load{part.Key(): {Online: 4}, full.Key(): {Online: 7}}})
	x := tab.Explain(0, testRequest(), Batch)
	g.Expect(candidatesOf(x)).To(gomega.Equal([]string{"idle", "part"}))
	g.Expect(reasonsOf(x)).To(gomega.Equal(map[string][]Reason{"full": {ReasonNoSlot}, "other": {ReasonOtherCell}}))
	g.Expect(tab.PlaceBatch(0, testRequest(), func() {}).Endpoint.ID).To(gomega.Equal("idle"))

	cold := newColdTable(testEndpoint("cold", "a"), testEndpoint("warm", "a"))
	cold.StateCold(0, map[Key]ColdNotice{testEndpoint("warm", "a").Key(): {Given: true}})
	x = cold.Explain(time.Second, testRequest(), Batch)
	g.Expect(reasonsOf(x)).To(gomega.Equal(map[string][]Reason{"cold": {ReasonReserved}}))
}
