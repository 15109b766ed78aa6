package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// cacheSizes are the capacities of the engines' prefix caches that are compared, in
// blocks. The first holds the system prompts of all customers and many of the
// sessions, the second only a part of them.
var cacheSizes = []int{3000, 400}

// BenchmarkSchemes simulates fleets of several sizes and prints the results of all
// schemes:
//
//	go test ./dispatch -run '^$' -bench Schemes -benchtime 1x
func BenchmarkSchemes(b *testing.B) {
	for b.Loop() {
		fmt.Println("\nentries endpoints cache  load scheme                   hits  p50 ms  p99 ms  remote  busiest/mean")
		for _, size := range []struct{ entries, endpoints int }{{4, 12}, {40, 240}, {400, 2400 / 7}} {
			for _, cache := range cacheSizes {
				for _, load := range []float64{8, 14} {
					compare(size.entries, size.endpoints, cache, load)
				}
			}
		}
	}
}

// compare prints one line for each scheme.
func compare(entries, endpoints, cache int, load float64) {
	for _, s := range []scheme{schemeRandom, schemeLeast, schemeSampled, schemeAffinity, schemeSession} {
		r := simulate(simConfig{
			scheme: s, entries: entries, endpoints: endpoints, load: load, cache: cache,
			requests: max(20_000, 80*endpoints), seed: 1,
		})
		fmt.Printf("%7d %9d %5d %5.0f %-23s %5.2f %7.1f %7.1f %7.2f %7.2f\n", entries, endpoints,
			cache, load, s, r.hitShare, ms(r.p50), ms(r.p99), r.remoteShare, r.imbalance)
	}
}

// BenchmarkBudget simulates a fleet in which half of the endpoints refuse all
// requests, and prints the results with and without the retry budget, and with and
// without suspecting failed endpoints:
//
//	go test ./dispatch -run '^$' -bench Budget -benchtime 1x
func BenchmarkBudget(b *testing.B) {
	for b.Loop() {
		fmt.Println("\nbudget suspicion  attempts/request    failed  p99 ms")
		for _, c := range []struct{ budget, suspectFailed bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
			r := simulate(simConfig{
				scheme: schemeSampled, entries: 4, endpoints: 12, load: 5, requests: 20_000, seed: 1,
				cache: cacheSizes[0], halfRefuse: true, budget: c.budget, suspectFailed: c.suspectFailed,
			})
			fmt.Printf("%-6t %-9t %17.3f %9.4f %7.1f\n", c.budget, c.suspectFailed, r.attempts, r.failedShare, ms(r.p99))
		}
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
