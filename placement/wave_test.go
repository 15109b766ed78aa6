package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Without a wave the batch decisions must not change: random arrivals at a constant rate
// must not be taken for one, in small and large fleets.
func TestWave_RandomArrivalsAreNone(t *testing.T) {
	for _, mean := range []float64{0.5, 4, 30, 172} {
		for seed := range uint64(10) {
			random := rand.New(rand.NewPCG(seed, 1))
			w, level, service := &wave{}, int(mean), 950*time.Millisecond
			for now := time.Duration(0); now < 2*time.Minute; now += 5 * time.Millisecond {
				tick := 5 * time.Millisecond.Seconds()
				if random.Float64() < mean/service.Seconds()*tick {
					level++
				}
				if random.Float64() < float64(level)/service.Seconds()*tick {
					level--
				}
				w.observe(now, level)
				if w.known(now) {
					t.Fatalf("mean %v, seed %d: a wave at %v", mean, seed, now)
				}
			}
		}
	}
}

// levelAt returns the load of a wave of 65 to 318 requests, which rises and falls for 0.9 s.
func levelAt(now time.Duration) int {
	at := now % wavePeriod
	const ramp = 900 * time.Millisecond
	switch {
	case at < ramp:
		return 318 - int(253*at/ramp)
	case at < waveTrough:
		return 65
	case at < waveTrough+ramp:
		return 65 + int(253*(at-waveTrough)/ramp)
	}
	return 318
}

// A wave that is not recognized, or whose trough is expected to end too late, lets items
// start that are preempted right after.
func TestWave_ExpectsEndOfTrough(t *testing.T) {
	g := gomega.NewWithT(t)
	w := &wave{}
	for now := time.Duration(0); now < 10*wavePeriod; now += 20 * time.Millisecond {
		w.observe(now, levelAt(now))
		if now < 3*wavePeriod {
			continue
		}
		g.Expect(w.known(now)).To(gomega.BeTrue())
		if at := now % wavePeriod; at > time.Second && at < waveTrough {
			// The middle of the rise comes 0.45 s after its begin.
			g.Expect(w.lowLeft(now)).To(gomega.BeNumerically("~", waveTrough+450*time.Millisecond-at, 150*time.Millisecond), "at %v", at)
		}
		if at := now % wavePeriod; at > waveTrough+900*time.Millisecond {
			g.Expect(w.lowLeft(now)).To(gomega.BeZero(), "at %v", at)
		}
	}
}

// A wave that has ended must not hold items back.
func TestWave_EndsWithOverrun(t *testing.T) {
	g := gomega.NewWithT(t)
	w := &wave{}
	now := time.Duration(0)
	for ; now < 4*wavePeriod+2*time.Second; now += 20 * time.Millisecond {
		w.observe(now, levelAt(now))
	}
	g.Expect(w.known(now)).To(gomega.BeTrue())
	for range 200 {
		now += 20 * time.Millisecond
		w.observe(now, 65)
	}
	g.Expect(w.known(now)).To(gomega.BeFalse())
}

// waveTable returns the table of an entry at endpoints with a known wave, 2 s into its
// trough, and the time.
func waveTable(endpoints ...Endpoint) (*Table, time.Duration) {
	tab := newTable("self", endpoints...)
	w := &wave{}
	tab.waves[model] = w
	now := time.Duration(0)
	for ; now < 4*wavePeriod+2*time.Second; now += 20 * time.Millisecond {
		w.observe(now, levelAt(now))
	}
	tab.clock = now
	return tab, now
}

// itemRequest returns the request of an item.
func itemRequest(remaining, untilDue time.Duration) Request {
	return Request{Deployment: model, Item: ItemTimes{Remaining: remaining, Due: true, UntilDue: untilDue}}
}

// Items that can't end before the peak were started and preempted at its begin.
func TestPlaceBatch_LateInTroughStartsWhatEndsOrIsUrgent(t *testing.T) {
	for _, c := range []struct {
		name    string
		request Request
		starts  bool
	}{
		{"ends after the peak begins", itemRequest(5*time.Second, 18*time.Second), false},
		{"ends before the peak", itemRequest(time.Second, 18*time.Second), true},
		{"would be late if it waited", itemRequest(5*time.Second, 10*time.Second), true},
		{"is late", itemRequest(5*time.Second, -time.Second), true},
		{"unknown time, due", Request{Deployment: model, Item: ItemTimes{Due: true, UntilDue: 3 * time.Second}}, true},
		{"nothing is known", Request{Deployment: model}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tab, now := waveTable(testEndpoint("x", "a"))
			grant := tab.PlaceBatch(now, c.request, func() {})
			g.Expect(grant != nil).To(gomega.Equal(c.starts))
			fresh := newTable("self", testEndpoint("x", "a"))
			g.Expect(fresh.PlaceBatch(now, c.request, func() {})).NotTo(gomega.BeNil(), "without a wave each item starts")
		})
	}
}

// The entry preempted its newest item, also if that was nearly complete or due soon.
func TestPreemptBatch_SparesItemsNearTheirEndOrDueTime(t *testing.T) {
	g := gomega.NewWithT(t)
	tab, now := waveTable(testEndpoint("x", "a"))
	e := tab.ordered[0]
	var preempted []string
	place := func(name string, remaining, untilDue time.Duration) {
		grant := tab.newGrant(e, Batch, now, func() { preempted = append(preempted, name) })
		grant.item = ItemTimes{Remaining: remaining, Due: true, UntilDue: untilDue}
		now += time.Millisecond
	}
	place("long", 5*time.Second, 18*time.Second)
	place("shorter", 4*time.Second, 18*time.Second)
	place("due soon", 5*time.Second, 6*time.Second)
	place("nearly complete", 500*time.Millisecond, 18*time.Second)
	g.Expect(tab.LocalLoads()).To(gomega.HaveKeyWithValue(e.key, Load{Batch: 4, Firm: 2}))
	for range 7 {
		tab.newGrant(e, Online, now, nil)
	}
	tab.PreemptBatch()
	g.Expect(preempted).To(gomega.ConsistOf("long", "shorter", "due soon"))
	g.Expect(preempted[:2]).To(gomega.Equal([]string{"long", "shorter"}))
}

// Of several entries, one with a firm item must not preempt it while another has an item
// that is not.
func TestPreemptBatch_FirmItemsOfOtherEntriesComeLast(t *testing.T) {
	g := gomega.NewWithT(t)
	x := testEndpoint("x", "a")
	for _, firm := range []int{0, 1} {
		tab := newTable("self", x)
		e := tab.ordered[0]
		preempted := 0
		tab.newGrant(e, Batch, 0, func() { preempted++ })
		tab.SetPeer("another", Report{Loads: map[Key]Load{x.Key(): {Online: 7, Batch: 1, Firm: firm}}})
		tab.PreemptBatch()
		g.Expect(preempted).To(gomega.Equal(firm))
	}
}

// Where items waited at all entries, each free slot was taken by several at once.
func TestPlaceBatch_EntriesTakeTurnsForScarceSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	x := testEndpoint("x", "a")
	var names []string
	for i := range 31 {
		names = append(names, string(rune('A'+i)))
	}
	for turn := range 31 {
		started := 0
		for _, name := range names {
			tab := newTable(name, x)
			tab.SetEntries(names)
			tab.SetPeer("other", Report{Loads: map[Key]Load{x.Key(): {Online: 8 - reservedSlots - 2}}})
			if tab.PlaceBatch(time.Duration(turn)*turnLength, Request{Deployment: model}, func() {}) != nil {
				started++
			}
		}
		g.Expect(started).To(gomega.Equal(2), "turn %d", turn)
	}
}

// Items were started and preempted several times. In a wave whose trough is longer than an
// item, they take under 1.5 runs and are in time; on the code before they took 2.7.
func TestReplay_ItemsShorterThanTheTrough(t *testing.T) {
	if raceDetector {
		t.Skip("run without the race detector")
	}
	g := gomega.NewWithT(t)
	l := measuredWave()
	l.itemEvents, l.jobs, l.length = 80, 3, 3*wavePeriod
	r := replayWave(l)
	g.Expect(float64(r.runsOfCompleted)/float64(r.completed)).To(gomega.BeNumerically("<", 1.5), "%v", r)
	g.Expect(r.late).To(gomega.BeZero(), "%v", r)
}

// Holding items back must not make them late, nor leave work undone: in the measured wave
// all items are in time, and as many complete as arrive, but for those of a wave's end.
func TestReplay_ItemsInTimeInMeasuredWave(t *testing.T) {
	if raceDetector {
		t.Skip("run without the race detector")
	}
	g := gomega.NewWithT(t)
	l := measuredWave()
	l.length = 3 * wavePeriod
	r := replayWave(l)
	g.Expect(r.late).To(gomega.BeZero(), "%v", r)
	g.Expect(r.completed).To(gomega.BeNumerically(">=", r.submitted-int(l.jobs*wavePeak.Seconds())*l.itemsPerJob), "%v", r)
}
