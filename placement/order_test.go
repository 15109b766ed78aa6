package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Entries with the same counts chose the same endpoint for its last slot, so that one of the
// requests waited there. With one slot left at each of as many endpoints as there are
// entries, at least as many endpoints are chosen as have an entry that comes first for them.
func TestPlace_EntriesWithSameCountsChooseTheirOwnSlots(t *testing.T) {
	const entries = 12
	var list []Endpoint
	loads := make(map[Key]Load)
	for i := range entries {
		e := testEndpoint(string(rune('a'+i)), "a")
		list = append(list, e)
		loads[e.Key()] = Load{Online: 7}
	}
	var names []string
	for i := range entries {
		names = append(names, string(rune('A'+i)))
	}
	chosen, first, requests := 0, 0, 0
	for seed := range uint64(20) {
		endpoints, owners := make(map[string]bool), make(map[string]bool)
		for _, name := range names {
			tab := NewTable(name, "a", rand.New(rand.NewPCG(seed, uint64(name[0]))), nil)
			tab.SetEndpoints(list)
			tab.SetEntries(names)
			tab.SetNearEntries(names)
			tab.SetPeer("other", Report{Loads: loads})
			grant, _ := tab.Place(0, testRequest())
			endpoints[grant.Endpoint.ID] = true
			for _, e := range tab.ordered {
				if e.nearRank == 0 {
					owners[name] = true
				}
			}
			requests++
		}
		chosen += len(endpoints)
		first += len(owners)
	}
	g := gomega.NewWithT(t)
	g.Expect(chosen).To(gomega.BeNumerically(">=", first), "of %d requests", requests)
}

// The own order must not concentrate requests at light load: there they are spread as before.
func TestPlace_LightLoadIsSpreadAtRandom(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newTable("self", testEndpoint("x", "a"), testEndpoint("y", "a"), testEndpoint("z", "a"))
	tab.SetEntries([]string{"self", "other"})
	tab.SetNearEntries([]string{"self", "other"})
	count := make(map[string]int)
	for range 300 {
		grant, _ := tab.Place(0, testRequest())
		count[grant.Endpoint.ID]++
		grant.Release(0, Aborted, 0)
	}
	for id, n := range count {
		g.Expect(n).To(gomega.BeNumerically(">", 50), id)
	}
	g.Expect(count).To(gomega.HaveLen(3))
}

// In a wave whose peak takes 0.83 of the slots, endpoints must reject under 2% of arrivals and
// the p90 of the time to the first event must stay under 100 ms at the peak. No time may be
// added in the trough, where the p90 of the code before is 48 ms. With a peak of 0.93 these
// targets are missed with some seeds, see docs/design/placement-order.md.
func TestReplay_FewArrivalsRejected(t *testing.T) {
	if raceDetector {
		t.Skip("run without the race detector")
	}
	g := gomega.NewWithT(t)
	l := measuredWave()
	l.mean, l.length = 0.45, 3*wavePeriod
	r := replayWave(l)
	g.Expect(float64(r.rejected)/float64(r.arrivals)).To(gomega.BeNumerically("<", 0.02), "%v", r)
	g.Expect(r.peakP90.Milliseconds()).To(gomega.BeNumerically("<", 100), "%v", r)
	g.Expect(r.troughP90.Milliseconds()).To(gomega.BeNumerically("<=", 48), "%v", r)
}

// Items that a peak would preempt must not start in another data centre, whose entries hear of
// the preemption late, unless they would be late otherwise or may run nowhere near: items of
// an evacuated data centre were held back for good.
func TestPlaceBatch_InWaveStartsAwayOnlyWhatEndsOrIsUrgent(t *testing.T) {
	g := gomega.NewWithT(t)
	near := testEndpoint("near", "a")
	near.Slots = reservedSlots // none for items
	drained := near
	drained.Draining = true
	for _, c := range []struct {
		request Request
		near    Endpoint
		starts  bool
	}{
		{itemRequest(5*time.Second, 18*time.Second), near, false},
		{itemRequest(time.Second, 18*time.Second), near, true},
		{itemRequest(5*time.Second, 10*time.Second), near, true},
		{itemRequest(5*time.Second, 18*time.Second), drained, true},
	} {
		tab, _ := waveTable(testEndpoint("away", "b"), c.near)
		now := 4*wavePeriod + 2*time.Second
		tab.waves[model].since = now // the trough has just begun
		grant := tab.PlaceBatch(now, c.request, func() {})
		g.Expect(grant != nil).To(gomega.Equal(c.starts), "%v", c.request.Item)
	}
}
