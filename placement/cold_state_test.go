package placement

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/quota"
)

// newColdTable returns the table of the only entry of a fleet that started long before 0,
// with endpoints that it knows nothing of.
func newColdTable(endpoints ...Endpoint) *Table {
	tab := newTable("self", endpoints...)
	tab.SetColdRates(-time.Hour, quota.NewTable(quota.Tolerance{}), map[string]ColdRate{model: {Rate: coldPerSecond, Time: coldTime}}, coldTolerance)
	tab.SetColdShare(quota.Share{Observed: 1, Own: 1, ValidUntil: 100 * time.Hour})
	return tab
}

// coldFor returns for how long, in steps of a second, the only endpoint counts as cold.
func coldFor(tab *Table, from time.Duration) time.Duration {
	now := from
	for tab.ColdEndpoints(now) > 0 && now < from+time.Hour {
		now += time.Second
	}
	return now - from
}

// An endpoint of which nothing is known when it is listed counts as cold for the whole
// time, also when it is listed again.
func TestCold_UnknownEndpointCountsAsCold(t *testing.T) {
	g := gomega.NewWithT(t)
	e := testEndpoint("x", "a")
	tab := newColdTable(e)
	changes := tab.StateCold(0, nil)
	g.Expect(changes).To(gomega.Equal([]ColdChange{{Endpoint: e, Cold: true, Left: coldTime}}))
	g.Expect(tab.StateCold(0, nil)).To(gomega.BeEmpty())
	g.Expect(coldFor(tab, 0)).To(gomega.Equal(coldTime))
	tab.SetEndpoints(nil)
	tab.SetEndpoints([]Endpoint{e})
	g.Expect(coldFor(tab, time.Minute)).To(gomega.Equal(coldTime))
}

// The newest statement of an incarnation wins, also if it makes the endpoint cold again. A
// registration that was read right after a response may be older than it.
func TestCold_NewestStatementWins(t *testing.T) {
	g := gomega.NewWithT(t)
	e := testEndpoint("x", "a")
	tab := newColdTable(e)
	registration := func(now, left time.Duration) []ColdChange {
		return tab.StateCold(now, map[Key]ColdNotice{e.Key(): {Given: true, Left: left}})
	}
	g.Expect(registration(0, 5*time.Second)).To(gomega.HaveLen(1))
	g.Expect(coldFor(tab, 0)).To(gomega.Equal(5 * time.Second))
	g.Expect(registration(time.Second, 0)).To(gomega.HaveLen(1))
	g.Expect(tab.ColdEndpoints(time.Second)).To(gomega.BeZero())
	g.Expect(registration(2*time.Second, 8*time.Second)).To(gomega.HaveLen(1))

	grant, _ := tab.Place(5*time.Second, testRequest())
	g.Expect(grant.Observe(5*time.Second, Notice{Cold: ColdNotice{Given: true}}).Cold).To(gomega.BeTrue())
	g.Expect(tab.ColdEndpoints(5 * time.Second)).To(gomega.BeZero())
	g.Expect(grant.Observe(6*time.Second, Notice{Cold: ColdNotice{Given: true, Left: 10 * time.Second}}).Cold).To(gomega.BeTrue())
	g.Expect(registration(6*time.Second+coldNoticeHold/2, 0)).To(gomega.BeEmpty())
	g.Expect(coldFor(tab, 6*time.Second)).To(gomega.Equal(10 * time.Second))
	g.Expect(registration(6*time.Second+coldNoticeHold, 0)).To(gomega.HaveLen(1))
	g.Expect(grant.Observe(9*time.Second, Notice{}).Cold).To(gomega.BeFalse(), "no statement")
}

// The registration of an endpoint is gone while a response says that it is cold: the
// statement holds once the incarnation is listed again, against a registration that may be
// older.
func TestCold_ResponseCountsWhileRegistrationIsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	e := testEndpoint("x", "a")
	tab := newColdTable(e)
	warm := map[Key]ColdNotice{e.Key(): {Given: true}}
	tab.StateCold(0, warm)
	grant, _ := tab.Place(0, testRequest())
	tab.SetEndpoints(nil)
	grant.Observe(time.Second, Notice{Cold: ColdNotice{Given: true, Left: 6 * time.Second}})
	tab.SetEndpoints([]Endpoint{e})
	tab.StateCold(2*time.Second, warm)
	g.Expect(tab.ColdEndpoints(2 * time.Second)).To(gomega.Equal(1))
}

// A response states a longer time than that of the deployment, and the endpoint is listed
// again: what it stated must not be cut to the deployment's time, whether the registration
// says nothing or something older.
func TestCold_ResponseHoldsWhenListedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	e := testEndpoint("x", "a")
	for name, statements := range map[string]map[Key]ColdNotice{
		"nothing": nil,
		"older":   {e.Key(): {Given: true}},
	} {
		tab := newColdTable(e)
		tab.StateCold(0, map[Key]ColdNotice{e.Key(): {Given: true}})
		grant, _ := tab.Place(0, testRequest())
		grant.Observe(time.Second, Notice{Cold: ColdNotice{Given: true, Left: 5 * coldTime}})
		tab.SetEndpoints(nil)
		tab.SetEndpoints([]Endpoint{e})
		tab.StateCold(2*time.Second, statements)
		g.Expect(coldFor(tab, 2*time.Second)).To(gomega.Equal(5*coldTime-time.Second), name)
	}
}

// The end of each cold time is returned once, for the log, unless a statement has ended it.
func TestCold_EndIsReturnedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	e := testEndpoint("x", "a")
	tab := newColdTable(e)
	cold := func(now, left time.Duration) []ColdChange {
		return tab.StateCold(now, map[Key]ColdNotice{e.Key(): {Given: true, Left: left}})
	}
	g.Expect(cold(0, time.Second)).To(gomega.Equal([]ColdChange{{Endpoint: e, Cold: true, Left: time.Second, Source: ColdRegistration}}))
	g.Expect(tab.EndedCold(time.Second - 1)).To(gomega.BeEmpty())
	g.Expect(tab.EndedCold(time.Second)).To(gomega.Equal([]ColdChange{{Endpoint: e, Source: ColdRegistration}}))
	g.Expect(tab.EndedCold(time.Second)).To(gomega.BeEmpty())
	g.Expect(cold(2*time.Second, time.Second)).To(gomega.HaveLen(1))
	g.Expect(cold(2*time.Second, 0)).To(gomega.HaveLen(1))
	g.Expect(tab.EndedCold(time.Minute)).To(gomega.BeEmpty(), "a statement has ended it")
}

// A statement that can't be used means the whole time, counted from the first such one: an
// endpoint that repeats it must not be cold for ever.
func TestCold_MalformedStatementMeansWholeTime(t *testing.T) {
	g := gomega.NewWithT(t)
	e := testEndpoint("x", "a")
	tab := newColdTable(e)
	tab.StateCold(0, map[Key]ColdNotice{e.Key(): {Given: true}})
	grant, _ := tab.Place(0, testRequest())
	bad := Notice{Cold: ColdNotice{Given: true, Malformed: true}}
	g.Expect(grant.Observe(0, bad).Cold).To(gomega.BeTrue())
	grant.Observe(coldTime/2, bad)
	g.Expect(coldFor(tab, 0)).To(gomega.Equal(coldTime))
	g.Expect(tab.ColdStats().Malformed).To(gomega.BeEquivalentTo(2))
}

// A request for which only cold endpoints without tokens are left is refused at once, and
// one that comes after the Retry-After is placed. Warm endpoints are used meanwhile.
func TestCold_RefusalNamesTimeOfToken(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newColdTable(testEndpoint("x", "a"))
	now := 5 * time.Second
	tab.ColdEndpoints(0)
	var refusal *Refusal
	for range 100 {
		var grant *Grant
		if grant, refusal = tab.Place(now, testRequest()); refusal != nil {
			break
		}
		grant.Release(now, Done, 0)
	}
	g.Expect(refusal).NotTo(gomega.BeNil())
	g.Expect(refusal.Cold).To(gomega.BeTrue())
	g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">=", refusal.Wait))
	g.Expect(refusal.RetryAfter).To(gomega.BeNumerically("<", 2*time.Second))
	_, later := tab.Place(now+refusal.RetryAfter, testRequest())
	g.Expect(later).To(gomega.BeNil())
	g.Expect(tab.HasFreeSlot(now+2*time.Second, testRequest())).To(gomega.BeFalse(), "no request is given up elsewhere for a cold endpoint")

	warm := testEndpoint("y", "a")
	tab.SetEndpoints([]Endpoint{testEndpoint("x", "a"), warm})
	tab.StateCold(now, map[Key]ColdNotice{warm.Key(): {Given: true}})
	grant, _ := tab.Place(now, testRequest())
	g.Expect(grant.Endpoint.ID).To(gomega.Equal("y"))
}

// An entry that is none of the users of a cold endpoint refuses with the time at which a
// token is due elsewhere, not with one that never comes.
func TestCold_RefusalOfEntryWithoutPart(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newColdFleet(33, coldEndpoints(1)...)
	f.restartEndpoint(0, 0, coldTime)
	f.step(0)
	placed := 0
	for _, e := range f.entries {
		grant, refusal := e.table.Place(2*time.Second, testRequest())
		if grant != nil {
			placed++
			continue
		}
		g.Expect(refusal.Cold).To(gomega.BeTrue())
		g.Expect(refusal.Wait).To(gomega.BeNumerically("<=", time.Second/23))
	}
	g.Expect(placed).To(gomega.Equal(coldTolerance.users(coldPerSecond, 33)))
}

// Batch items take tokens as well, and only while no other endpoint is listed. One that
// waits is placed as soon as the endpoint is warm.
func TestCold_BatchItemsWaitForTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	cold, warm := testEndpoint("x", "a"), testEndpoint("y", "a")
	tab := newColdTable(cold, warm)
	tab.StateCold(0, map[Key]ColdNotice{warm.Key(): {Given: true}})
	for range warm.Slots - reservedSlots {
		g.Expect(tab.PlaceBatch(0, testRequest(), func() {}).Endpoint.ID).To(gomega.Equal("y"))
	}
	g.Expect(tab.PlaceBatch(5*time.Second, testRequest(), func() {})).To(gomega.BeNil())

	tab = newColdTable(cold)
	tab.ColdEndpoints(0)
	placed := 0
	for now := time.Second; now < 2*time.Second; now += time.Millisecond {
		if grant := tab.PlaceBatch(now, testRequest(), func() {}); grant != nil {
			placed++
			grant.Release(now, Done, 0)
		}
	}
	g.Expect(placed).To(gomega.BeNumerically("<=", coldBound))
	g.Expect(placed).To(gomega.BeNumerically(">=", 20))
	g.Expect(tab.ServesBatch(testRequest())).To(gomega.BeTrue())
	g.Expect(tab.PlaceBatch(coldTime, testRequest(), func() {})).NotTo(gomega.BeNil())
}

// A deployment without a cold rate, and a fleet without any, is not limited, whatever
// endpoints say.
func TestCold_NoRateNoLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	e := testEndpoint("x", "a")
	for name, tab := range map[string]*Table{"no rates": newTable("self", e), "of another deployment": newColdTable(e)} {
		if name != "no rates" {
			tab.SetColdRates(0, quota.NewTable(quota.Tolerance{}), map[string]ColdRate{"other": {Rate: 1, Time: time.Hour}}, coldTolerance)
		}
		tab.StateCold(0, map[Key]ColdNotice{e.Key(): {Given: true, Left: time.Hour}})
		for range 1000 {
			grant, refusal := tab.Place(time.Second, testRequest())
			g.Expect(refusal).To(gomega.BeNil(), name)
			g.Expect(grant.Observe(time.Second, Notice{Cold: ColdNotice{Given: true, Left: time.Hour}}).Cold).To(gomega.BeFalse())
			g.Expect(grant.TakeSendToken(time.Hour)).To(gomega.BeTrue())
			grant.Release(time.Second, Done, 0)
		}
	}
}
