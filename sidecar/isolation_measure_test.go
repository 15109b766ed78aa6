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

// suspectEvery is the time between two suspects of the measurement.
const suspectInterval = 10 * time.Second

// runIsolation keeps an engine full of batch items and sends an online request
// at times, as a suspect or not. It returns the part of the slot time in use
// and how long the requests took.
func runIsolation(t *testing.T, seed uint64, suspect string) (used float64, took []time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		src := newFakeOwner()
		e := newEngine(t, engine.Options{CacheBlocks: 1 << 14})
		r := newFixture(t, e, modelDeployment(measureSlots), withBatch(src))
		for i := range 5000 {
			src.add(work(i, chat(fmt.Sprint("item ", i, strings.Repeat(" ledger", 100)), batchTokens)))
		}
		r.runBatch()
		time.Sleep(2 * time.Second) // batch fills up
		rnd := rand.New(rand.NewPCG(seed, 1))
		start, before := time.Now(), e.Stats().RunningTime
		for n := 0; time.Since(start) < measureDuration; n++ {
			began := time.Now()
			r.result(t.Context(), call{
				id: fmt.Sprint("s", n), customer: "c", body: chat(fmt.Sprint("question ", n), onlineTokens),
				header: map[string]string{api.HeaderSuspect: suspect},
			})
			took = append(took, time.Since(began))
			time.Sleep(suspectInterval + time.Duration(rnd.IntN(int(time.Second))))
		}
		used = float64(e.Stats().RunningTime-before) / float64(measureSlots*time.Since(start))
	})
	return used, took
}

func TestMeasureIsolation(t *testing.T) {
	if !*measure {
		t.Skip("prints a table; run with -measure")
	}
	for _, suspect := range []string{"", "1"} {
		var sum float64
		var all []time.Duration
		for seed := range uint64(measureSeeds) {
			used, took := runIsolation(t, seed, suspect)
			sum += used
			all = append(all, took...)
		}
		slices.Sort(all)
		t.Logf("suspect %q: slot time used %.4f, p50 %.1f ms, most %.1f ms, of %d", suspect,
			sum/measureSeeds, ms(all[len(all)/2]), ms(all[len(all)-1]), len(all))
	}
}
