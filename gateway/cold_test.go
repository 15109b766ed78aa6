package gateway

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/gossip"
	"dandelionrelay/placement"
	"dandelionrelay/quota"
)

// coldEndpoint is the only endpoint of the tests.
var coldEndpoint = placement.Endpoint{ID: "x", StartMs: 1, Address: "10.0.0.1:80", Deployment: "lm", DataCentre: "a", Slots: 8}

// newColdGateway returns a gateway with one endpoint, of which it knows nothing.
func newColdGateway(t *testing.T, coldRate float64) *testGateway {
	r := newTestGateway(t)
	r.setDeployment(config.Deployment{Slots: 8, ColdRate: coldRate, ColdTime: config.Duration(20 * time.Second)})
	r.SetEndpoints(EndpointList{Listed: []placement.Endpoint{coldEndpoint}})
	synctest.Wait() // until the change of cells is applied, which reads the clock
	r.ShareUpdate(gossip.Share{Observed: 1, Own: 0.5, ValidUntil: 100 * time.Hour})
	return r
}

func (r *testGateway) setDeployment(d config.Deployment) {
	s := config.NewSnapshot(r.Config.Current().Version+1, &config.State{
		Customers:   map[string]config.Customer{"garden": {Rate: 2, Burst: 3}},
		Deployments: map[string]config.Deployment{"lm": d},
	})
	r.ConfigChanged(s)
	r.Config.Set(s)
}

// use places requests for d and returns how many were placed.
func (r *testGateway) use(d time.Duration) int {
	placed := 0
	for end := r.now + d; r.now < end; r.now += 10 * time.Millisecond {
		grant, _ := r.table.Place(r.now, placement.Request{Deployment: "lm", MaxWait: time.Second})
		if grant != nil && grant.TakeSendToken(r.now) {
			placed++
			grant.Release(r.now, placement.Done, 0)
		}
	}
	return placed
}

// Admissions of one entry travel in its reports, beside those of customers, and are charged
// by another, also by way of a relay; without that, entries in contact would not share one
// rate.
func TestCold_CountsTravelInReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		sender, receiver, relayed := newColdGateway(t, 23), newColdGateway(t, 23), newColdGateway(t, 23)
		for _, r := range []*testGateway{sender, receiver, relayed} {
			r.now += 10 * time.Second
		}
		full := func(counts map[quota.Key]quota.Count) gossip.Counts {
			return gossip.Counts{ByCustomer: counts, Full: true}
		}
		receiver.PeerReport("sender", 7, gossip.Report{Counts: full(sender.Report().Counts.ByCustomer)})
		relayed.CellReport("cell", 8, gossip.Report{Counts: full(receiver.CellCounts())})
		used := sender.use(2 * time.Second)
		g.Expect(used).To(gomega.BeNumerically(">", 20))
		sender.limits.Admit(sender.now, "garden")
		counts := sender.Report().Counts.ByCustomer
		g.Expect(counts).To(gomega.HaveLen(2))
		g.Expect(counts[quota.KeyOf("garden")]).To(gomega.BeEquivalentTo(1))

		receiver.PeerReport("sender", 7, gossip.Report{Counts: full(counts)})
		g.Expect(receiver.Report().Counts.ByCustomer).To(gomega.BeEmpty(), "counts of others are not its own")
		g.Expect(receiver.CellCounts()).To(gomega.Equal(counts))
		relayed.CellReport("cell", 8, gossip.Report{Counts: full(receiver.CellCounts())})
		for _, r := range []*testGateway{receiver, relayed} {
			g.Expect(r.use(time.Second)).To(gomega.BeNumerically("<=", 2), "the rate is used up")
		}
	})
}

// An entry of the release before charges counts of endpoints to customers that it doesn't
// know, and a new one counts customers as before: neither changes a customer's rate.
func TestCold_CountsOfEndpointsDoNotChangeCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		without := newColdGateway(t, 0)
		with := newColdGateway(t, 23)
		with.now += 10 * time.Second
		with.use(2 * time.Second)
		without.PeerReport("with", 7, gossip.Report{Counts: gossip.Counts{Full: true}})
		without.PeerReport("with", 7, gossip.Report{Counts: gossip.Counts{ByCustomer: with.Report().Counts.ByCustomer, Full: true}})
		without.now += time.Minute
		before := without.limits.Admit(without.now, "garden").Level
		g.Expect(before).To(gomega.BeNumerically(">=", 3))
		g.Expect(without.Report().Counts.ByCustomer).To(gomega.HaveKeyWithValue(quota.KeyOf("garden"), quota.Count(1)))
	})
}

// Without a cold rate no request takes a token and no report changes, whatever is said of
// endpoints.
func TestCold_NoRateChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newColdGateway(t, 0)
		r.SetEndpoints(EndpointList{Listed: []placement.Endpoint{coldEndpoint}, Cold: map[placement.Key]placement.ColdNotice{coldEndpoint.Key(): {Given: true, Left: time.Hour}}})
		g.Expect(r.use(time.Second)).To(gomega.Equal(100))
		g.Expect(r.coldInUse.Load()).To(gomega.BeFalse())
		g.Expect(r.coldLimits.LocalCounts()).To(gomega.BeEmpty())
		g.Expect(maps.Equal(r.Report().Counts.ByCustomer, r.limits.LocalCounts())).To(gomega.BeTrue())
		g.Expect(r.table.ColdStats()).To(gomega.BeZero())
	})
}

// The rates follow the configuration and the settings of the running process.
func TestCold_FollowsConfigurationAndSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newColdGateway(t, 23)
		r.now += 5 * time.Second
		g.Expect(r.use(time.Second)).To(gomega.BeNumerically("<=", 23))
		s := *r.settings.Load()
		s.ColdExcess, s.ColdSlack = 3, 10
		r.ApplySettings(&s)
		r.now += time.Second
		g.Expect(r.use(time.Second)).To(gomega.BeNumerically(">", 24))
		r.setDeployment(config.Deployment{Slots: 8})
		g.Expect(r.use(time.Second)).To(gomega.Equal(100))
		r.setDeployment(config.Deployment{Slots: 8, ColdRate: 5, ColdTime: config.Duration(20 * time.Second)})
		g.Expect(r.use(time.Second)).To(gomega.BeNumerically("<=", 25), "its state is not known")
	})
}

// Settings are reloaded while a new configuration is applied and not yet stored: the rates of the
// one before must not come back.
func TestCold_ReloadKeepsNewerRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newColdGateway(t, 0)
		r.ConfigChanged(config.NewSnapshot(r.Config.Current().Version+1, &config.State{Deployments: map[string]config.Deployment{
			"lm": {Slots: 8, ColdRate: 5, ColdTime: config.Duration(20 * time.Second)},
		}}))
		r.ApplySettings(r.settings.Load())
		r.now += 5 * time.Second
		g.Expect(r.use(time.Second)).To(gomega.BeNumerically("<=", 5))
	})
}

// An entry is known to be shutting down from its last report until it is no longer a member, so
// that the others take its part of cold endpoints.
func TestCold_LeavingEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newColdGateway(t, 23)
		r.PeerReport("other", 7, gossip.Report{Leaving: true})
		g.Expect(r.entryLeaving("other")).To(gomega.BeTrue())
		r.PeerReport("other", 8, gossip.Report{})
		g.Expect(r.entryLeaving("other")).To(gomega.BeFalse(), "it has started again")
		r.PeerReport("other", 8, gossip.Report{Leaving: true})
		r.assignEndpoints()
		g.Expect(r.entryLeaving("other")).To(gomega.BeFalse(), "it is no member")
	})
}
