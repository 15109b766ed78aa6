package quota

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// full runs all replays instead of a selection: go test ./quota -run TestReplay -v -args -full
var full = flag.Bool("full", false, "replay all combinations of entries, load and disturbances")

// replays holds the replays that have run, for all tests.
var replays = struct {
	sync.Mutex
	fleets map[string]*replayFleet
}{fleets: make(map[string]*replayFleet)}

// forEachReplay calls check with each replay that has run.
func forEachReplay(t *testing.T, check func(g *gomega.WithT, disturbance string, f *replayFleet)) {
	for _, name := range slices.Sorted(maps.Keys(disturbances())) {
		for _, entries := range []int{28, 133} {
			for _, times := range []float64{2, 4, 16} {
				selected := entries == 28 && times != 4 || entries == 133 && times == 16 && name == "undisturbed"
				if !selected && !*full {
					continue
				}
				t.Run(fmt.Sprintf("%s, %d entries, %.0f times", name, entries, times), func(t *testing.T) {
					f := replayed(t.Name()[strings.Index(t.Name(), "/"):], func() replay {
						return replay{entries: entries, times: times, before: 0.5, skew: 0.7, loss: 0.02, seed: 1, length: 36 * time.Second, disturb: disturbances()[name]}
					})
					check(gomega.NewWithT(t), name, f)
				})
			}
		}
	}
}

// replayed returns the replay with the given key, which it runs if it has not run yet.
func replayed(key string, r func() replay) *replayFleet {
	replays.Lock()
	defer replays.Unlock()
	f := replays.fleets[key]
	if f == nil {
		f = newReplayFleet(r())
		f.run()
		replays.fleets[key] = f
	}
	return f
}

// A customer sends up to 16 times its rate, with callers uneven over the entries, while
// entries are cut off, lost, frozen or added or its limit is lowered: no window holds more
// than what is tolerated.
func TestReplay_BoundHolds(t *testing.T) {
	if raceDetector {
		t.Skip("run without the race detector")
	}
	forEachReplay(t, func(g *gomega.WithT, disturbance string, f *replayFleet) {
		most, _ := f.windows(0, f.length)
		g.Expect(most).To(gomega.BeNumerically("<=", f.bound(Limit{Rate: replayRate, Burst: replayBurst})), "%s", f)
		most, _ = f.windows(limitLoweredAt+lowering, f.length)
		g.Expect(most).To(gomega.BeNumerically("<=", f.bound(f.limit)), "after the limit was lowered: %s", f)
	})
}

// Requests within rate and burst are refused although the entries have the tokens
// together: at most one in a thousand of what rate and burst allow is lost so.
func TestReplay_WholeRateIsUsable(t *testing.T) {
	if raceDetector {
		t.Skip("run without the race detector")
	}
	forEachReplay(t, func(g *gomega.WithT, disturbance string, f *replayFleet) {
		t.Log(disturbance, f)
		if disturbance == "undisturbed" {
			g.Expect(float64(f.within[0])).To(gomega.BeNumerically("<=", 0.001*f.allowed()), "%s", f)
		}
	})
}

// Customers within their rate beside one in surge are not refused.
func TestReplay_CustomersWithinRateAreAdmitted(t *testing.T) {
	if raceDetector {
		t.Skip("run without the race detector")
	}
	forEachReplay(t, func(g *gomega.WithT, disturbance string, f *replayFleet) {
		if disturbance == "undisturbed" {
			g.Expect(f.refused[1:]).To(gomega.HaveEach(gomega.BeZero()), "%s", f)
		}
	})
}
