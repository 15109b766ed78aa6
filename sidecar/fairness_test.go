package sidecar_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrelay/lane"
	"dandelionrelay/sidecar"
	"dandelionrelay/standin/engine"
)

// fairness runs eight customers of equal weight, one of which sends five times
// its share, at sidecars picked at random, and returns the served part of the
// worst-served other one.
func fairness(t *testing.T, policy lane.Policy, sidecars int) (worst float64) {
	const customers, capacity = 8, 16.0 // requests per second that one engine serves, about
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var group sync.WaitGroup
		var loads []*load
		for range sidecars {
			l := &load{engine: newEngine(t, engine.Options{})}
			l.rig = newRig(t, l.engine, modelDeployment(measureSlots), func(st *sidecar.Settings, _ *sidecar.Deps) { st.Policy = policy })
			loads = append(loads, l)
		}
		var sent, served [customers]int
		for c := range customers {
			rate := float64(sidecars) * capacity / customers
			if c == 0 {
				rate *= 5
			}
			rnd := rand.New(rand.NewPCG(uint64(c), 3))
			group.Go(func() {
				start := time.Now()
				for i := 0; time.Since(start) < measureTime; i++ {
					sent[c]++
					l := loads[rnd.IntN(sidecars)]
					group.Go(func() {
						ctx, cancel := context.WithTimeout(l.t.Context(), 5*time.Second)
						defer cancel()
						if l.send(ctx, fmt.Sprintf("%d-%d", c, i), fmt.Sprint("c", c), onlineTokens) {
							mu.Lock()
							served[c]++
							mu.Unlock()
						}
					})
					time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
				}
			})
		}
		group.Wait()
		worst = 1
		for c := 1; c < customers; c++ {
			worst = min(worst, float64(served[c])/float64(sent[c]))
		}
		t.Logf("policy %d, %d sidecars: sent %v, served %v", policy, sidecars, sent, served)
	})
	return worst
}

func TestMeasureWorstServedCustomer(t *testing.T) {
	if !*measure {
		t.Skip("prints a table; run with -measure")
	}
	for _, n := range []int{1, 2, 3} {
		lanes, fifo := fairness(t, lane.PreemptivePriority, n), fairness(t, lane.FIFO, n)
		t.Logf("%d sidecars, worst-served customer, served over sent: start-time fair queueing %.3f, FIFO %.3f", n, lanes, fifo)
	}
}
