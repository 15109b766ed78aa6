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

// fairness sends requests of eight customers of equal weight to randomly picked
// sidecars. One customer sends five times its share. It returns the lowest share
// of served requests among the other customers.
func fairness(t *testing.T, policy lane.Policy, sidecars int) (worst float64) {
	const customers, capacity = 8, 16.0 // capacity: requests per second that one engine serves, approximately
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var group sync.WaitGroup
		var workloads []*workload
		for range sidecars {
			w := &workload{engine: newEngine(t, engine.Options{})}
			w.fixture = newFixture(t, w.engine, modelDeployment(measureSlots), func(s *sidecar.Settings, _ *sidecar.Deps) { s.Policy = policy })
			workloads = append(workloads, w)
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
				for i := 0; time.Since(start) < measureDuration; i++ {
					sent[c]++
					w := workloads[rnd.IntN(sidecars)]
					group.Go(func() {
						ctx, cancel := context.WithTimeout(w.t.Context(), 5*time.Second)
						defer cancel()
						if w.send(ctx, fmt.Sprintf("%d-%d", c, i), fmt.Sprint("c", c), onlineTokens) {
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
		fairQueueing, fifo := fairness(t, lane.PreemptivePriority, n), fairness(t, lane.FIFO, n)
		t.Logf("%d sidecars, worst-served customer, served over sent: start-time fair queueing %.3f, FIFO %.3f", n, fairQueueing, fifo)
	}
}
