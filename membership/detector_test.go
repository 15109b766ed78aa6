package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/infra"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDetectorSuspectsAndRecovers(t *testing.T) {
	g := gomega.NewWithT(t)
	d := NewDetector()
	now := start
	d.RecordFailure("a", now)
	g.Expect(d.Usable("a")).To(gomega.BeFalse())
	g.Expect(d.DueProbes(now)).To(gomega.BeEmpty())
	now = now.Add(firstProbeDelay)
	g.Expect(d.DueProbes(now)).To(gomega.Equal([]string{"a"}))
	g.Expect(d.DueProbes(now)).To(gomega.BeEmpty(), "one probe at a time")
	d.RecordMissedProbe("a", now)
	g.Expect(d.DueProbes(now)).To(gomega.BeEmpty(), "backs off")
	now = now.Add(maxProbeDelay)
	g.Expect(d.DueProbes(now)).To(gomega.Equal([]string{"a"}))
	d.RecordAlive("a", now)
	g.Expect(d.Usable("a")).To(gomega.BeTrue())
}

func TestDetectorProbesOnlySilentEndpointsWithAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	d := NewDetector()
	now := start
	d.RecordAlive("idle", now)
	d.BeginAttempt("busy", now)
	d.BeginAttempt("silent", now)
	now = now.Add(ProbeAfterSilence)
	d.RecordProgress("busy", now)
	g.Expect(d.DueProbes(now)).To(gomega.Equal([]string{"silent"}))
	g.Expect(d.RecordMissedProbe("silent", now)).To(gomega.BeFalse())
	now = now.Add(2 * firstProbeDelay)
	g.Expect(d.DueProbes(now)).To(gomega.Equal([]string{"silent"}))
	g.Expect(d.RecordMissedProbe("silent", now)).To(gomega.BeTrue())
	g.Expect(d.Usable("silent")).To(gomega.BeFalse())
}

func TestDetectorKeepsLeavingAfterResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	d := NewDetector()
	d.RecordLeaving("a", start)
	d.RecordAlive("a", start)
	g.Expect(d.Usable("a")).To(gomega.BeFalse())
}

func TestViewMergesListWithAnnouncements(t *testing.T) {
	g := gomega.NewWithT(t)
	v := NewView(nil)
	a := infra.Instance{ID: "a", Role: infra.RoleSidecar, Deployment: "d", State: infra.Live}
	b := infra.Instance{ID: "b", Role: infra.RoleSidecar, Deployment: "d", State: infra.Live}
	v.ApplyAnnouncement(b, start)
	g.Expect(v.Endpoints("d")).To(gomega.Equal([]infra.Instance{b}), "announced before it is listed")
	v.ApplyList([]infra.Instance{a}, start)
	g.Expect(v.Endpoints("d")).To(gomega.HaveLen(2))
	v.RecordLeaving("a")
	v.ApplyList([]infra.Instance{a}, start.Add(time.Second))
	g.Expect(v.Endpoints("d")[0].State).To(gomega.Equal(infra.Leaving), "the list lags")
	v.ApplyList(nil, start.Add(2*AnnounceTTL))
	g.Expect(v.Endpoints("d")).To(gomega.BeEmpty())
	g.Expect(v.leaving).To(gomega.BeEmpty())
}

// fleet returns n endpoints spread evenly over data centres.
func fleet(n, dataCentres int) []infra.Instance {
	var out []infra.Instance
	for i := range n {
		out = append(out, infra.Instance{
			ID: fmt.Sprintf("s%04d", i), Role: infra.RoleSidecar, State: infra.Live,
			Deployment: "d", DataCentre: fmt.Sprintf("dc%d", i%dataCentres),
		})
	}
	return out
}

func TestSubsetIsBoundedStableAndEven(t *testing.T) {
	g := gomega.NewWithT(t)
	const entries, dataCentres = 400, 6
	endpoints := fleet(342, dataCentres)
	used := make(map[string]int)
	for e := range entries {
		id, dc := fmt.Sprintf("e%03d", e), fmt.Sprintf("dc%d", e%dataCentres)
		s := NewSubset(id, dc, entries/dataCentres, endpoints)
		g.Expect(s.Local).To(gomega.HaveLen(MinLocalEndpoints))
		g.Expect(s.Remote).To(gomega.HaveLen(RemoteEndpointsPerDataCentre * (dataCentres - 1)))
		without := NewSubset(id, dc, entries/dataCentres, endpoints[1:])
		g.Expect(countAdded(s, without)).To(gomega.BeNumerically("<=", 1))
		for _, i := range append(s.Local, s.Remote...) {
			used[i.ID]++
		}
	}
	g.Expect(used).To(gomega.HaveLen(len(endpoints)), "each endpoint is in some subset")
	mean := float64(entries*(MinLocalEndpoints+RemoteEndpointsPerDataCentre*(dataCentres-1))) / float64(len(endpoints))
	for id, n := range used {
		g.Expect(float64(n)).To(gomega.BeNumerically("~", mean, mean/2), id)
	}
}

func TestSubsetIsLargerWithFewEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewSubset("e", "dc0", 13, fleet(240, 3))
	g.Expect(s.Local).To(gomega.HaveLen(80))
	s = NewSubset("e", "dc0", 64, fleet(480, 3))
	g.Expect(s.Local).To(gomega.HaveLen(EntriesPerEndpoint * 160 / 64))
}

// countAdded returns the number of endpoints of b that are not in a.
func countAdded(a, b Subset) int {
	in := make(map[string]bool)
	for _, i := range append(a.Local, a.Remote...) {
		in[i.ID] = true
	}
	n := 0
	for _, i := range append(b.Local, b.Remote...) {
		if !in[i.ID] {
			n++
		}
	}
	return n
}
