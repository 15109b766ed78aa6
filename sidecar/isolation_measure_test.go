package sidecar_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/standin/engine"
)

// suspectInterval is the minimum time between two suspects of the measurement.
const suspectInterval = 10 * time.Second

// runIsolation sends online requests to an engine whose other slots run batch
// items. suspect is the value of the header Relay-Suspect. It returns the share
// of the slot time in use and the latency of each request.
func runIsolation(t *testing.T, seed uint64, suspect string) (used float64, latencies []time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		owner := newFakeOwner()
		e := newEngine(t, engine.Options{CacheBlocks: 1 << 14})
		f := newFixture(t, e, modelDeployment(measureSlots), withBatch(owner))
		for i := range 5000 {
			owner.add(work(i, chat(fmt.Sprint("item ", i, strings.Repeat(" ledger", 100)), batchTokens)))
		}
		f.runBatch()
		time.Sleep(2 * time.Second) // until batch items fill the slots
		rnd := rand.New(rand.NewPCG(seed, 1))
		start, before := time.Now(), e.Stats().RunningTime
		for n := 0; time.Since(start) < measureDuration; n++ {
			began := time.Now()
			f.result(t.Context(), call{
				id: fmt.Sprint("s", n), customer: "c", body: chat(fmt.Sprint("question ", n), onlineTokens),
				header: map[string]string{api.HeaderSuspect: suspect},
			})
			latencies = append(latencies, time.Since(began))
			time.Sleep(suspectInterval + time.Duration(rnd.IntN(int(time.Second))))
		}
		used = float64(e.Stats().RunningTime-before) / float64(measureSlots*time.Since(start))
	})
	return used, latencies
}

func TestMeasureIsolation(t *testing.T) {
	if !*measure {
		t.Skip("prints a table; run with -measure")
	}
	for _, suspect := range []string{"", "1"} {
		var sum float64
		var all []time.Duration
		for seed := range uint64(measureSeeds) {
			used, latencies := runIsolation(t, seed, suspect)
			sum += used
			all = append(all, latencies...)
		}
		slices.Sort(all)
		t.Logf("suspect %q: slot time used %.4f, p50 %.1f ms, most %.1f ms, of %d", suspect,
			sum/measureSeeds, ms(all[len(all)/2]), ms(all[len(all)-1]), len(all))
	}
}
